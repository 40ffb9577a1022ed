"""The connections of a daemon to one backend server."""

import asyncio
import collections
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from monsoonproxy import pools
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError, MonsoonError
from monsoonproxy.logs import log_for
from monsoonproxy.queries import Code
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry
from monsoonproxy.wires import ServerWire, open_wire

_log = log_for('lane')

#: Time in ms between two looks at failed opens and idle connections.
_TICK = Millis(100)


class ServerGoneError(MonsoonError):
    """The address of a backend server belongs to another one now."""


class LaneFullError(MonsoonError):
    """No connection can be had in time."""


class Lane:
    """A pool of connections, by the decisions of :class:`pools.Pool`.

    :param server: The backend server.
    :param dialect: Its protocol.
    :param rules: Settings of the pool.
    :param clock: Source of time.
    :param telemetry: Counts what happens.
    """

    def __init__(
        self,
        server: Server,
        dialect: Dialect,
        rules: pools.PoolRules,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.server = server
        self._telemetry = telemetry
        self.gone = False
        #: Is told when no connection can be opened.
        self.on_failure: Callable[[], None] = _ignore
        #: When a connection last answered, and when one was last refused.
        self.opened_at = Millis(0)
        self.refused_at = Millis(0)
        self._dialect = dialect
        self._clock = clock
        self._pool = pools.Pool(rules, clock.now())
        self._wires: dict[int, ServerWire] = {}
        self._numbers = itertools.count(1)
        self._waiting: collections.deque[asyncio.Future[None]]
        self._waiting = collections.deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticking = False

    def __len__(self) -> int:
        """Return the number of open connections.

        :returns: The number.
        """
        return len(self._wires)

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a connection.

        :returns: The number.
        """
        return len(self._waiting)

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection can be leased at once."""
        return self._pool.idle > 0

    def warm_up(self) -> None:
        """Open the connections that are kept ahead of need."""
        self._tick()

    async def acquire(self, limit: float) -> tuple[int, ServerWire]:
        """Lease a connection.

        :param limit: Longest wait in ms.
        :returns: Its number and the connection.
        :raises LaneFullError: If none becomes free in time.
        :raises ConnectionLostError: If the backend server can't be reached.
        :raises ServerGoneError: If its address belongs to another one.
        """
        while True:
            lease = self._lease()
            if lease is not None:
                return lease
            if self.gone:
                raise ServerGoneError(self.server.server_id)
            limit -= await self._wait(limit)
            if limit <= 0:
                raise LaneFullError(f'{self.server.address}: no connection')

    def release(self, number: int, *, clean: bool) -> None:
        """Return a leased connection.

        :param number: Its number.
        :param clean: Whether it is outside a transaction, with no answer to
            come. It is closed otherwise.
        """
        wire = self._wires.get(number)
        if wire is None:
            return
        clean = clean and not wire.closed and not wire.busy
        now = self._clock.now()
        self._run(self._pool.release(number, 0, clean, now))
        self._hand_out()

    def forget(self, number: int) -> None:
        """Close a leased connection whose state is unknown.

        :param number: Its number.
        """
        wire = self._wires.pop(number, None)
        if wire is not None:
            self._telemetry.count('connections_given_up')
            wire.abort()
        self._pool.closed(number)
        self._tick()

    def interrupt(self) -> None:
        """End all waits, since another backend server leads now."""
        self._wake_all(LaneFullError(f'{self.server.address}: not waited for'))

    def close(self) -> None:
        """Close idle connections; leased ones are closed when released."""
        self.gone = True
        self._run(self._pool.stop(pools.CloseReason.LEAVING))
        self._wake_all(ServerGoneError(self.server.server_id))

    def abort(self) -> None:
        """Close all connections at once."""
        self.close()
        for number in tuple(self._wires):
            self.forget(number)

    def _lease(self) -> tuple[int, ServerWire] | None:
        while True:
            number = self._pool.lease(0, self._clock.now())
            if number is None:
                return None
            wire = self._wires.get(number)
            if wire is not None and not wire.closed:
                return number, wire
            self._wires.pop(number, None)
            self._pool.closed(number)

    async def _wait(self, limit: float) -> float:
        """Wait for a connection; return the time in ms that it took."""
        started = self._clock.now()
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        self._tick()
        try:
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                await waiter
        except TimeoutError:
            raise LaneFullError(
                f'{self.server.address}: no connection'
            ) from None
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
        return self._clock.now() - started

    def _hand_out(self) -> None:
        idle = self._pool.idle
        while idle and self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                idle -= 1

    def _wake_all(self, exc: MonsoonError) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_exception(exc)

    def _tick(self) -> None:
        now = self._clock.now()
        self._drop_closed()
        self._run(self._pool.tick(len(self._waiting), now))
        if not self._ticking and not self.gone:
            self._ticking = True
            loop = asyncio.get_running_loop()
            loop.call_later(seconds(_TICK), self._tick_again)

    def _tick_again(self) -> None:
        self._ticking = False
        if not self.gone:
            self._tick()

    def _drop_closed(self) -> None:
        for number, wire in tuple(self._wires.items()):
            if wire.closed and not self._pool.is_leased(number):
                self._wires.pop(number)
                self._pool.closed(number)

    def _run(self, commands: list[pools.Command]) -> None:
        for command in commands:
            if isinstance(command, pools.Open):
                for _ in range(command.count):
                    self._spawn(self._open())
                continue
            for number in command.connections:
                wire = self._wires.pop(number, None)
                if wire is not None:
                    wire.close()
                self._pool.closed(number)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        try:
            wire, answer = await open_wire(
                self._dialect, self.server, self._clock
            )
        except ConnectionLostError as exc:
            self._not_opened(exc, too_many=False)
            return
        now = self._clock.now()
        if answer.code is Code.WRONG_SERVER:
            _log.info('{} is not at its address', self.server.server_id)
            self._pool.open_failed(too_many=False, now=now)
            self.close()
            return
        if answer.code is not None:
            too_many = answer.code is Code.TOO_MANY_CONNECTIONS
            text = f'{self.server.address}: {answer.code.value}'
            self._not_opened(ConnectionLostError(text), too_many=too_many)
            return
        self.opened_at = now
        self._telemetry.count('connections_opened')
        number = next(self._numbers)
        self._wires[number] = wire
        self._run(self._pool.opened(number, now))
        self._hand_out()

    def _not_opened(self, exc: ConnectionLostError, *, too_many: bool) -> None:
        now = self._clock.now()
        self._pool.open_failed(too_many=too_many, now=now)
        if too_many:
            self._telemetry.count('connections_over_limit')
            return
        self._telemetry.count('connections_failed')
        self.refused_at = now
        self.on_failure()
        if not self._wires:
            self._wake_all(exc)


def _ignore() -> None:
    """Do nothing; stands in until somebody watches the lane."""
