"""Callers' connections over a dialect."""

import asyncio
import collections
import itertools
from typing import Any, Protocol

from monsoonproxy.client_sessions import Session
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.dialects import (
    CallerMessage,
    CloseSession,
    Dialect,
    MalformedMessage,
    OpenSession,
)
from monsoonproxy.logs import log_for
from monsoonproxy.queries import Answer, Code, Query, TransactionState
from monsoonproxy.server_connections import configure_keepalive
from monsoonproxy.session_handlers import ServiceLookup, SessionHandler

_log = log_for('client')

#: Messages of one caller that wait; reading pauses beyond.
_MAX_QUEUED_MESSAGES = 32
#: Connections closed between two turns of the event loop, so that hardly a
#: request arrives meanwhile.
_CLOSE_BATCH = 16


class StatementObserver(Protocol):
    """Is told how statements end."""

    def statement_ended(
        self,
        handler: SessionHandler,
        query: Query,
        answer: Answer,
        took: Millis,
    ) -> None:
        """Take in the end of a statement."""


class ClientListener:
    """Accepts callers.

    :param services: The daemon's configuration and services.
    :param dialect: The protocol.
    :param clock: Source of time.
    :param observer: Is told how statements end.
    :param max_connections: Greatest number of connections.
    """

    def __init__(
        self,
        services: ServiceLookup,
        dialect: Dialect,
        clock: Clock,
        observer: StatementObserver,
        max_connections: int,
    ) -> None:
        self.services = services
        self.dialect = dialect
        self.clock = clock
        self.observer = observer
        self.session_numbers = itertools.count(1)
        self.connections: set[ClientConnection] = set()
        self.closing = False
        self.max_connections = max_connections
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Accept callers.

        :param address: ``ip:port`` to listen on.
        """
        host, port = address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), host, int(port), backlog=512
        )

    async def close_idle(self) -> None:
        """Close each connection between requests and outside transactions.

        Closing a connection with bytes that were not read resets it, and its
        caller would not know whether the request ran. So what has arrived is
        read just before.
        """
        self.closing = True
        connections = tuple(self.connections)
        for start in range(0, len(connections), _CLOSE_BATCH):
            # One turn of the event loop reads what has arrived.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            for connection in connections[start : start + _CLOSE_BATCH]:
                connection.close_if_idle()

    def end_transactions(self, reason: str) -> None:
        """Roll back the open transactions; callers learn it when they ask.

        :param reason: Why.
        """
        for connection in tuple(self.connections):
            connection.end_transaction(reason)

    def end_idle_transactions(self, limit: Millis) -> int:
        """Roll back transactions without a statement for some time.

        :param limit: The time in ms.
        :returns: How many were rolled back.
        """
        idle_since = self.clock.now() - limit
        rolled_back = 0
        for connection in self.connections:
            handler = connection.handler
            transaction = handler and handler.transaction
            if transaction and not transaction.failed:
                if (
                    transaction.last_used_at < idle_since
                    and not connection.busy
                ):
                    connection.end_transaction('idle for too long')
                    rolled_back += 1
        return rolled_back

    def stop(self) -> None:
        """Stop accepting and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close()

    @property
    def busy(self) -> int:
        """Return how many connections have a request or a transaction."""
        return sum(not connection.is_idle for connection in self.connections)


class ClientConnection(asyncio.Protocol):
    """One caller's connection; it has a task only while it has requests.

    :param listener: All connections.
    """

    def __init__(self, listener: ClientListener) -> None:
        self._listener = listener
        self._reader = listener.dialect.caller_reader()
        self._queue: collections.deque[CallerMessage]
        self._queue = collections.deque()
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._writable: asyncio.Event | None = None
        self._closed = False
        self._paused = False
        self.handler: SessionHandler | None = None

    @property
    def busy(self) -> bool:
        """Tell whether a request is in work."""
        return self._task is not None

    @property
    def is_idle(self) -> bool:
        """Tell whether it may be closed without cutting anything."""
        handler = self.handler
        in_transaction = handler and handler.transaction is not None
        return not (self.busy or self._queue or in_transaction)

    def close_if_idle(self) -> None:
        """Close the connection unless a request or transaction is open."""
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def end_transaction(self, reason: str) -> None:
        """Roll back the open transaction, if there is one.

        :param reason: Why.
        """
        if self.handler is not None and not self.busy:
            self.handler.abort(reason)

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Start."""
        self._transport = transport
        configure_keepalive(transport.get_extra_info('socket'))
        if len(self._listener.connections) >= self._listener.max_connections:
            self._refuse(Code.TOO_MANY_CONNECTIONS, 'too many callers')
            return
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Queue requests."""
        self._queue.extend(self._reader.feed(data))
        if len(self._queue) > _MAX_QUEUED_MESSAGES:
            self._pause_reading()
        if self._queue and self._task is None and not self._closed:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """End the session."""
        self._closed = True
        self._listener.connections.discard(self)
        self.resume_writing()
        if self._task is None and self.handler is not None:
            self.handler.end()

    def pause_writing(self) -> None:
        """Let answers wait while the caller reads too slowly."""
        self._writable = asyncio.Event()

    def resume_writing(self) -> None:
        """Let answers go on."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    async def _serve(self) -> None:
        try:
            while self._queue and not self._closed:
                await self._handle(self._queue.popleft())
                if self._writable is not None:
                    await self._writable.wait()
        except Exception:
            _log.exception('A connection failed')
            self.close()
        finally:
            self._task = None
        self._finish_serving()

    def _pause_reading(self) -> None:
        if not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _finish_serving(self) -> None:
        if self._closed:
            if self.handler is not None:
                self.handler.end()
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        if self._listener.closing:
            self.close_if_idle()

    async def _handle(self, message: CallerMessage) -> None:
        if isinstance(message, Query):
            await self._answer(message)
        elif isinstance(message, OpenSession):
            self._open(message)
        elif isinstance(message, CloseSession):
            self.close()
            self._closed = True
        else:
            self._answer_malformed(message)

    def _open(self, message: OpenSession) -> None:
        listener = self._listener
        table = listener.services.table
        if table is None:
            self._refuse(Code.BUSY, 'no configuration yet')
            return
        if message.database not in table.routes:
            self._refuse(Code.UNKNOWN_DATABASE, message.database)
            return
        self.handler = SessionHandler(
            message.database,
            Session(next(listener.session_numbers)),
            listener.services,
            listener.dialect,
            listener.clock,
        )
        self._write(Answer(b'', TransactionState.IDLE))

    async def _answer(self, query: Query) -> None:
        handler = self.handler
        if handler is None:
            self._refuse(Code.MALFORMED, 'no session is open')
            return
        started = self._listener.clock.now()
        answer = await handler.run(query)
        took = Millis(self._listener.clock.now() - started)
        self._listener.observer.statement_ended(handler, query, answer, took)
        self._write(answer)

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
        self._closed = True
        self.close()
