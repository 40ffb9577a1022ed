"""Lifecycle and command loop of a caller's MySQL connection."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from monsoonproxy import commands, packets
from monsoonproxy.callers import Caller
from monsoonproxy.exceptions import (
    MarksError,
    MonsoonError,
    StatementError,
    TokenError,
)
from monsoonproxy.logs import log_for
from monsoonproxy.streams import ConnectionGoneError, PacketError

if TYPE_CHECKING:
    from monsoonproxy.frontends import Frontend

_log = log_for('entry')

_TaskFunction = Callable[[], Coroutine[Any, Any, None]]

_SHUTDOWN_ERROR = packets.error(
    4100,
    'HY000',
    'not run: the proxy is shutting down; come back after 0 ms',
)
_ROLLBACK_ERROR = packets.error(
    4100,
    'HY000',
    'not run: the proxy is shutting down and the transaction was rolled back;'
    ' come back after 0 ms',
)
_ErrorCode = tuple[int, str]
_ERROR_CODES: dict[type[MonsoonError], _ErrorCode] = {
    MarksError: (4102, 'HY000'),
    TokenError: (4103, 'HY000'),
    StatementError: (1235, '42000'),
}


class CallerConnection(Caller):
    """Serves one caller's connection.

    An idle connection has no task: one is started for the handshake, for
    commands that arrive, and to close the connection.

    :param frontend: The frontend that accepted the connection.
    """

    def __init__(self, frontend: 'Frontend') -> None:
        super().__init__(frontend, self)
        self._close_requested = False
        self._abandon_transaction = False
        self._running_bytes = 0

    # What the guard of the frontend asks.

    @property
    def held(self) -> int:
        """Return how many bytes are held for the caller; 0 once it has left."""
        if self.stream.closed:
            return 0
        return self.stream.held + self._running_bytes + self.kept

    @property
    def awaited_packet(self) -> object:
        """Return the number of the packet that has begun to arrive."""
        return self.stream.awaited_packet

    @property
    def unread_answer(self) -> object:
        """Return what stands for the output that the caller has to read."""
        return self.stream.unread_answer

    def shed(self, reason: str) -> None:
        """Close the connection of a caller that costs too much.

        :param reason: Human-readable explanation.
        """
        _log.bind(session=self.state.number).info(
            'Caller connection closed: {}', reason
        )
        self.abort()

    # Callbacks of the stream.

    def connection_opened(self) -> None:
        """Start the handshake, unless draining or at the connection limit."""
        frontend = self.frontend
        if frontend.draining:
            self._reject(1053, 'Server shutdown in progress')
        elif len(frontend.connections) >= frontend.limits.connections:
            self._reject(1040, 'Too many connections')
        else:
            frontend.connections.add(self)
            self._start_task(self._run_handshake)

    def data_available(self) -> None:
        """Run the commands that arrived, unless a task is already running."""
        self.frontend.guard.update(self)
        if self._task is None and not self.stream.closing:
            self._start_task(self._run_commands)

    def connection_closed(self) -> None:
        """End the session after the caller has disconnected."""
        self.frontend.guard.remove(self)
        if self in self.frontend.connections:
            self.frontend.spawn(self._end_session())

    # Shutdown.

    def close_when_idle(self, *, in_transaction: bool = False) -> None:
        """Close the connection once no command is running.

        :param in_transaction: Whether to roll back an open transaction, rather
            than wait for its end.
        """
        self._close_requested = True
        self._abandon_transaction = in_transaction
        if self._task is None and self._can_close:
            self._start_task(self._close_with_error)

    def abort(self) -> None:
        """Close the connection at once and discard unsent output."""
        self.stream.closing = True
        self.stream.transport.abort()

    def _reject(self, code: int, text: str) -> None:
        self.fail(code, '08004', text)
        self.stream.close()

    def _start_task(self, work: _TaskFunction) -> None:
        self._task = asyncio.get_running_loop().create_task(
            self._run_task(work)
        )

    async def _run_task(self, work: _TaskFunction) -> None:
        try:
            await work()
        except MonsoonError as exc:
            if isinstance(exc, PacketError):
                self.fail(exc.code, '08S01', str(exc))
            self.stream.close()
        except Exception:
            _log.exception(
                'Closing a caller connection after an unexpected error'
            )
            self.stream.close()
        finally:
            self._task = None  # type: ignore[assignment]
        self._start_next_task()

    def _start_next_task(self) -> None:
        # Input or a call of close_when_idle may have come after the last check
        # by the task that has just ended.
        if self.stream.closed or self.stream.closing:
            return
        if self.stream.has_input:
            self.data_available()
        elif self._close_requested:
            self.close_when_idle(in_transaction=self._abandon_transaction)

    @property
    def _can_close(self) -> bool:
        return self._abandon_transaction or not self.state.in_transaction

    async def _end_session(self) -> None:
        task = self._task
        if task is not None:
            task.cancel()
            await asyncio.wait((task,))
        try:
            await self.frontend.executor.close(self.state)
        finally:
            self.frontend.connections.discard(self)

    # Handshake.

    async def _run_handshake(self) -> None:
        limit = self.frontend.limits.handshake
        try:
            async with asyncio.timeout(limit / 1000):
                await self.connection_phase()
        except TimeoutError:
            self.fail(
                1159, '08S01', f'handshake not completed within {limit} ms'
            )
            self.stream.close()

    # Commands.

    async def _run_commands(self) -> None:
        while self.stream.has_input:
            packet = await self.stream.read()
            self._running_bytes = len(packet)
            await self._run_command(packet)
            self._running_bytes = 0
            self.frontend.guard.update(self)
            self.stream.reset_seq()
            if self._close_requested and self._can_close:
                await self._close_with_error()

    async def _run_command(self, packet: bytes) -> None:
        try:
            await commands.run(self, packet)
        except (PacketError, ConnectionGoneError):
            raise
        except MonsoonError as exc:
            self._send_error(exc)
        except Exception:
            _log.exception('A command failed with an unexpected error')
            self.fail(1105, 'HY000', 'internal error of the proxy')
        await self.stream.drain()

    def _send_error(self, exc: MonsoonError) -> None:
        code, sqlstate = _ERROR_CODES.get(type(exc), (1105, 'HY000'))
        self.fail(code, sqlstate, str(exc))

    async def _close_with_error(self) -> None:
        # The caller may have sent a request that is not read any more. It takes
        # this packet for the answer, which says that the request was not run.
        in_transaction = self.state.in_transaction
        self.stream.put_answer(
            _ROLLBACK_ERROR if in_transaction else _SHUTDOWN_ERROR
        )
        self.stream.finish_writing()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.frontend.limits.linger / 1000):
                await self.stream.discard()
        raise ConnectionGoneError('the proxy is shutting down')
