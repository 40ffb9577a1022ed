"""Callers' connections over a dialect."""

import asyncio
import collections
import itertools
from typing import Any, Protocol

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.conversations import Conversation, Services
from monsoonproxy.dialects import (
    CallerMessage,
    Closing,
    Dialect,
    Garbage,
    Opening,
)
from monsoonproxy.jobs import Session
from monsoonproxy.logs import log_for
from monsoonproxy.queries import Answer, Code, Query, TransactionState
from monsoonproxy.wires import reveal_silence

_log = log_for('client')

#: Messages of one caller that wait; reading pauses beyond.
_MAX_WAITING = 32
#: Connections closed between two turns of the event loop, so that hardly a
#: request arrives meanwhile.
_CLOSED_AT_ONCE = 16


class Watcher(Protocol):
    """Is told how statements end."""

    def ended(
        self,
        conversation: Conversation,
        query: Query,
        answer: Answer,
        took: Millis,
    ) -> None:
        """Take in the end of a statement."""


class Clients:
    """Accepts callers.

    :param services: The daemon's configuration and services.
    :param dialect: The protocol.
    :param clock: Source of time.
    :param watcher: Is told how statements end.
    :param most: Greatest number of connections.
    """

    def __init__(
        self,
        services: Services,
        dialect: Dialect,
        clock: Clock,
        watcher: Watcher,
        most: int,
    ) -> None:
        self.services = services
        self.dialect = dialect
        self.clock = clock
        self.watcher = watcher
        self.numbers = itertools.count(1)
        self.connections: set[ClientConnection] = set()
        self.closing = False
        self.most = most
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
        for start in range(0, len(connections), _CLOSED_AT_ONCE):
            # One turn of the event loop reads what has arrived.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            for connection in connections[start : start + _CLOSED_AT_ONCE]:
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
        due = self.clock.now() - limit
        ended = 0
        for connection in self.connections:
            conversation = connection.conversation
            transaction = conversation and conversation.transaction
            if transaction and not transaction.failed:
                if transaction.used_at < due and not connection.busy:
                    connection.end_transaction('idle for too long')
                    ended += 1
        return ended

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

    :param clients: All connections.
    """

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._reader = clients.dialect.caller_reader()
        self._waiting: collections.deque[CallerMessage]
        self._waiting = collections.deque()
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self._writable: asyncio.Event | None = None
        self._gone = False
        self._paused = False
        self.conversation: Conversation | None = None

    @property
    def busy(self) -> bool:
        """Tell whether a request is in work."""
        return self._task is not None

    @property
    def is_idle(self) -> bool:
        """Tell whether it may be closed without cutting anything."""
        conversation = self.conversation
        in_transaction = conversation and conversation.transaction is not None
        return not (self.busy or self._waiting or in_transaction)

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
        if self.conversation is not None and not self.busy:
            self.conversation.abort(reason)

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Start."""
        self._transport = transport
        reveal_silence(transport.get_extra_info('socket'))
        if len(self._clients.connections) >= self._clients.most:
            self._refuse(Code.TOO_MANY_CONNECTIONS, 'too many callers')
            return
        self._clients.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Queue requests."""
        self._waiting.extend(self._reader.feed(data))
        if len(self._waiting) > _MAX_WAITING:
            self._pause_reading()
        if self._waiting and self._task is None and not self._gone:
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """End the session."""
        self._gone = True
        self._clients.connections.discard(self)
        self.resume_writing()
        if self._task is None and self.conversation is not None:
            self.conversation.end()

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
            while self._waiting and not self._gone:
                await self._handle(self._waiting.popleft())
                if self._writable is not None:
                    await self._writable.wait()
        except Exception:
            _log.exception('A connection failed')
            self.close()
        finally:
            self._task = None
        self._rest()

    def _pause_reading(self) -> None:
        if not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _rest(self) -> None:
        if self._gone:
            if self.conversation is not None:
                self.conversation.end()
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        if self._clients.closing:
            self.close_if_idle()

    async def _handle(self, message: CallerMessage) -> None:
        if isinstance(message, Query):
            await self._answer(message)
        elif isinstance(message, Opening):
            self._open(message)
        elif isinstance(message, Closing):
            self.close()
            self._gone = True
        else:
            self._complain(message)

    def _open(self, message: Opening) -> None:
        clients = self._clients
        table = clients.services.table
        if table is None:
            self._refuse(Code.BUSY, 'no configuration yet')
            return
        if message.database not in table.routes:
            self._refuse(Code.UNKNOWN_DATABASE, message.database)
            return
        self.conversation = Conversation(
            message.database,
            Session(next(clients.numbers)),
            clients.services,
            clients.dialect,
            clients.clock,
        )
        self._write(Answer(b'', TransactionState.IDLE))

    async def _answer(self, query: Query) -> None:
        conversation = self.conversation
        if conversation is None:
            self._refuse(Code.MALFORMED, 'no session is open')
            return
        started = self._clients.clock.now()
        answer = await conversation.run(query)
        took = Millis(self._clients.clock.now() - started)
        self._clients.watcher.ended(conversation, query, answer, took)
        self._write(answer)

    def _complain(self, message: Garbage) -> None:
        if self.conversation is None or message.fatal:
            self._refuse(message.code, message.reason)
            return
        dialect = self._clients.dialect
        state = self.conversation.state
        self._write(dialect.failure(message.code, message.reason, state))

    def _write(self, answer: Answer) -> None:
        if not self._gone:
            self._transport.write(self._clients.dialect.answer(answer))

    def _refuse(self, code: Code, reason: str) -> None:
        if not self._gone:
            refusal = self._clients.dialect.refusal(code, reason)
            self._transport.write(refusal)
        self._gone = True
        self.close()
