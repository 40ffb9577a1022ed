"""Serves the sessions on callers' connections."""

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from monsoonproxy.client_sessions import Session
from monsoonproxy.clock import Millis
from monsoonproxy.dialects import (
    CallerMessage,
    CloseSession,
    MalformedMessage,
    OpenSession,
)
from monsoonproxy.logs import log_for
from monsoonproxy.queries import Answer, Code, Query, TransactionState
from monsoonproxy.server_connections import configure_keepalive
from monsoonproxy.session_handlers import SessionHandler

if TYPE_CHECKING:
    from monsoonproxy.client_listeners import ClientListener

_log = log_for('client')

#: Bytes of one caller that may wait behind a statement. With more, reading from
#: its connection pauses.
_MAX_WAITING_BYTES = 64 * 1024
#: Bytes of a statement from which it needs a reservation while it is in work,
#: and how often it is counted for the copies that are made on its way.
LARGE_STATEMENT = 16 * 1024
_COPIES = 4
#: The same while it waits for that: its text, and its argument.
_PARSED_COPIES = 2
#: Messages of one caller that are handled before others get their turn.
_MESSAGES_PER_TURN = 16
#: Longest wait in ms for that reservation.
_RESERVATION_LIMIT = Millis(2_000)
#: Times in ms that a caller has to open a session, to send the rest of a
#: message, and to read its answers. A message of 1 MiB takes 2 s on the slowest
#: links of hosts, 5 Mbit/s.
_OPEN_LIMIT = Millis(5_000)
_MESSAGE_LIMIT = Millis(10_000)
_READ_LIMIT = Millis(10_000)
#: Time in ms after a statement for which a connection is not closed as idle. A
#: caller that goes on at once sends its next statement within a round trip. One
#: that goes on for that long after it was refused gets no more refusals, since
#: many such callers would take the daemon's time.
QUIET_TIME = Millis(100)


class ClientConnection(asyncio.Protocol):
    """The connection of one caller.

    A task serves it only while requests are queued, so that idle connections
    stay cheap.

    :param listener: The listener that accepted the connection.
    """

    def __init__(self, listener: 'ClientListener') -> None:
        self._listener = listener
        self._reader = listener.dialect.caller_reader()
        self.account = listener.budget.open()
        self._since = listener.clock.now()
        #: When the latest message was handled, or the connection was made.
        self._used_at = self._since
        #: When a statement was first refused since the daemon stops.
        self._refused_at: Millis | None = None
        #: Since when a message is incomplete, and an answer is not read.
        self._incomplete_since: Millis | None = None
        self._unread_since: Millis | None = None
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._writable: asyncio.Event | None = None
        self._closed = False
        #: Whether this daemon, and not the caller, has ended the connection.
        self.is_ended_here = False
        self._paused = False
        #: Whether a large statement waits until there is memory for it.
        self._is_reserving = False
        #: Whether a statement is running, and whether it was told to end.
        self._is_running = False
        self._is_interrupted = False
        self.handler: SessionHandler | None = None

    @property
    def busy(self) -> bool:
        """Tell whether requests are being served."""
        return self._task is not None

    @property
    def is_idle(self) -> bool:
        """Tell whether there is neither part of a request nor a transaction."""
        handler = self.handler
        in_transaction = handler and handler.transaction is not None
        return self.is_waiting and not in_transaction

    @property
    def is_waiting(self) -> bool:
        """Tell whether there is no part of a request, and none in work."""
        return not (self.busy or self._reader.buffered)

    def may_close(self, quiet_since: Millis) -> bool:
        """Tell whether it is idle, and its caller is not likely to go on.

        :param quiet_since: Time at which the caller must have been quiet or
            have known that the daemon refuses its statements.
        """
        left_at = self._used_at
        if self._refused_at is not None:
            left_at = self._refused_at
        return left_at <= quiet_since and self.is_idle

    def close(self) -> None:
        """Close the connection once the written answers are sent."""
        if self._transport is not None:
            self.is_ended_here = self.is_ended_here or not self._closed
            self._transport.close()

    def close_waiting(self) -> None:
        """Close the connection of a caller that waits for nothing.

        If its transaction was rolled back since its last statement, it is told
        so; an error before the close is no answer to a statement.
        """
        transaction = self.handler and self.handler.transaction
        if transaction and transaction.reason:
            self._refuse(Code.ABORTED, transaction.reason)
        else:
            self.close()

    def end_transaction(self, reason: str) -> None:
        """Roll back the open transaction, unless a statement is running.

        :param reason: Human-readable explanation for the caller.
        """
        if self.handler is not None and not self.busy:
            self.handler.abort(reason)

    def interrupt(self) -> bool:
        """Make the running statement end, and be answered, at once.

        :returns: Whether a statement is running.
        """
        if self._is_running and self._task is not None:
            self._is_interrupted = True
            self._task.cancel()
        return self._is_running

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Register the connection, or refuse it if there are too many."""
        self._transport = transport
        configure_keepalive(transport.get_extra_info('socket'))
        if len(self._listener.connections) >= self._listener.max_connections:
            self._refuse(
                Code.TOO_MANY_CONNECTIONS,
                f'connection limit reached: {self._listener.max_connections}',
            )
            return
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Keep what was received, and start to serve complete requests."""
        if self._closed:
            return
        reader, listener = self._reader, self._listener
        reader.feed(data)
        listener.budget.set(self.account, self.account.held + len(data))
        listener.shed()
        if self._closed:
            return
        if not reader.has_message:
            if self._incomplete_since is None:
                self._incomplete_since = listener.clock.now()
            return
        if reader.buffered > _MAX_WAITING_BYTES:
            self._pause_reading()
        if self._task is None and not self._closed:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """End the session; a request that is running ends it afterwards."""
        self._closed = True
        self._listener.connections.discard(self)
        if self._task is None:
            self._listener.budget.close(self.account)
        self.resume_writing()
        if self._task is None and self.handler is not None:
            self.handler.end()

    def pause_writing(self) -> None:
        """Stop to serve requests while the caller reads too slowly."""
        self._writable = asyncio.Event()
        self._unread_since = self._listener.clock.now()

    def resume_writing(self) -> None:
        """Go on serving requests, since the caller has read its answers."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None
        self._unread_since = None

    def overdue(self, now: Millis) -> str:
        """Tell why the caller has taken too long.

        :param now: The time.
        :returns: The reason, or an empty text if it has not.
        """
        if self.handler is None and now - self._since > _OPEN_LIMIT:
            return f'no session was opened within {_OPEN_LIMIT} ms'
        if _is_over(self._incomplete_since, _MESSAGE_LIMIT, now):
            return f'a message took more than {_MESSAGE_LIMIT} ms'
        if _is_over(self._unread_since, _READ_LIMIT, now):
            return f'an answer was not read within {_READ_LIMIT} ms'
        return ''

    def shed(self, reason: str) -> None:
        """Close the connection of a caller that costs too much.

        :param reason: Human-readable explanation.
        """
        listener = self._listener
        _log.bind(
            session=self.handler.session.number if self.handler else 0,
            held=self.account.held,
            used=listener.budget.used,
        ).info('Closed the connection of a caller: {}', reason)
        self._reader = listener.dialect.caller_reader()
        if self._task is not None and self._is_reserving:
            self._task.cancel()
        if self._writable is None and not self.busy:
            listener.budget.set(self.account, 0)
            self._refuse(Code.TOO_BIG, reason)
            return
        # A caller that does not read gets nothing more.
        self.is_ended_here = True
        self._closed = True
        self._transport.abort()

    async def _serve(self) -> None:
        try:
            await self._serve_messages()
        except Exception:
            _log.exception(
                'Unexpected error while serving a caller; connection closed'
            )
            self.close()
        finally:
            self._task = None
            self._finish_serving()

    async def _serve_messages(self) -> None:
        budget = self._listener.budget
        for turn in itertools.count(1):
            reader = self._reader
            buffered = reader.buffered
            message = reader.next_message()
            if message is None:
                return
            if self._closed:
                # Those behind it are left: a caller may have sent thousands.
                self._listener.note_unanswered(self, message)
                return
            size = buffered - reader.buffered
            if size >= LARGE_STATEMENT:
                held = reader.buffered + size * _PARSED_COPIES
                budget.set(self.account, held)
                self._listener.shed()
            await self._handle(message)
            self._note_progress()
            if self._writable is not None:
                await self._writable.wait()
            if turn % _MESSAGES_PER_TURN == 0:
                # Messages that need no backend server don't suspend.
                await asyncio.sleep(0)

    def _note_progress(self) -> None:
        reader = self._reader
        self._listener.budget.set(self.account, reader.buffered)
        has_rest = reader.buffered > 0 and not reader.has_message
        now = self._listener.clock.now()
        self._used_at = now
        self._incomplete_since = now if has_rest else None

    def _pause_reading(self) -> None:
        if not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _finish_serving(self) -> None:
        if self._closed:
            self._listener.budget.close(self.account)
            if self.handler is not None:
                self.handler.end()
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        if self._refused_at is not None:
            quiet_since = Millis(self._listener.clock.now() - QUIET_TIME)
            if self.may_close(quiet_since):
                self.close()

    async def _handle(self, message: CallerMessage) -> None:
        if isinstance(message, Query):
            await self._answer(message)
        elif isinstance(message, OpenSession):
            self._open(message)
        elif isinstance(message, CloseSession):
            self._closed = True
            self.close()
        else:
            self._answer_malformed(message)

    def _open(self, message: OpenSession) -> None:
        listener = self._listener
        table = listener.services.table
        if listener.stop_reason:
            self._refuse(Code.BUSY, listener.stop_reason)
            return
        if table is None:
            self._refuse(
                Code.BUSY, 'the daemon has not received its configuration yet'
            )
            return
        route = table.routes.get(message.database)
        if route is None:
            self._refuse(Code.UNKNOWN_DATABASE, message.database)
            return
        identity = table.directory.identify(message.key)
        is_known = table.directory.owner(identity) is not None
        if table.directory and not (is_known or route.is_public):
            self._refuse(Code.UNAUTHORISED, 'the key is unknown')
            return
        self.handler = SessionHandler(
            message.database,
            Session(next(listener.session_numbers), identity),
            listener.services,
            listener.limits,
            listener.dialect,
            listener.clock,
        )
        self._write(Answer(b'', TransactionState.IDLE))

    async def _answer(self, query: Query) -> None:
        handler = self.handler
        if handler is None:
            self._refuse(
                Code.MALFORMED, 'no session was opened on the connection'
            )
            return
        started = self._listener.clock.now()
        answer = await self._run_or_interrupt(handler, query)
        took = Millis(self._listener.clock.now() - started)
        self._listener.observer.statement_ended(handler, query, answer, took)
        if self._closed:
            self._listener.note_unanswered(self, query)
            return
        self._write(answer)
        if answer.code is Code.UNAUTHORISED:
            self.close()

    async def _run_or_interrupt(
        self, handler: SessionHandler, query: Query
    ) -> Answer:
        self._is_running = True
        try:
            return await self._run(handler, query)
        except asyncio.CancelledError:
            if self._task is None or not self._is_interrupted:
                raise
            self._is_interrupted = False
            self._task.uncancel()
            return handler.interrupt(query, self._listener.stop_reason)
        finally:
            self._is_running = False

    async def _run(self, handler: SessionHandler, query: Query) -> Answer:
        listener = self._listener
        if listener.stop_reason and handler.transaction is None:
            self._refused_at = self._refused_at or listener.clock.now()
            return handler.refuse(listener.stop_reason)
        answer = await self._run_reserved(handler, query)
        is_open = handler.state is TransactionState.OPEN
        if is_open and listener.ends_transactions:
            handler.abort(listener.stop_reason)
        return answer

    async def _run_reserved(
        self, handler: SessionHandler, query: Query
    ) -> Answer:
        """Run a statement; a large one once there is memory for its copies."""
        size = len(query.text) * _COPIES
        if len(query.text) < LARGE_STATEMENT:
            return await handler.run(query)
        # If it is interrupted while it waits, its answer must not depend on
        # whether the previous statement was sent.
        handler.stmt = None
        reservations = self._listener.reservations
        self._is_reserving = True
        try:
            has_room = await reservations.acquire(size, _RESERVATION_LIMIT)
        finally:
            self._is_reserving = False
        if not has_room:
            return handler.refuse('too many large statements in work')
        try:
            return await handler.run(query)
        finally:
            reservations.release(size)

    def _answer_malformed(self, message: MalformedMessage) -> None:
        if self.handler is None or message.fatal:
            self._refuse(message.code, message.reason)
            return
        dialect = self._listener.dialect
        state = self.handler.state
        self._write(dialect.failure(message.code, message.reason, state))

    def _write(self, answer: Answer) -> None:
        if not self._closed:
            self._transport.write(self._listener.dialect.answer(answer))

    def _refuse(self, code: Code, reason: str) -> None:
        if not self._closed:
            refusal = self._listener.dialect.refusal(code, reason)
            self._transport.write(refusal)
            self.is_ended_here = True
        self._closed = True
        self.close()


def _is_over(since: Millis | None, limit: Millis, now: Millis) -> bool:
    return since is not None and now - since > limit
