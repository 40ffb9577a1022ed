"""Accepts callers' connections, and closes them while the daemon stops."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

from monsoonproxy.client_connections import (
    LARGE_STATEMENT,
    QUIET_TIME,
    ClientConnection,
)
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.dialects import CallerMessage, Dialect
from monsoonproxy.logs import log_for
from monsoonproxy.overload.byte_budgets import ByteBudget, Reservations
from monsoonproxy.queries import Answer, Query
from monsoonproxy.session_handlers import (
    OperationLimits,
    ServiceLookup,
    SessionHandler,
)

_log = log_for('client')

#: Share of the budget that large statements in work may take.
_LARGE_SHARE = 0.25
#: Idle connections closed without yielding to the event loop. A small batch
#: leaves little time for a request to arrive between the last read of a
#: connection and its close.
_CLOSE_BATCH = 16
#: Time in ms between two looks for idle connections to close.
_CLOSE_INTERVAL = Millis(50)


class StatementObserver(Protocol):
    """Is notified when a statement of a caller has ended."""

    def statement_ended(
        self,
        handler: SessionHandler,
        query: Query,
        answer: Answer,
        took: Millis,
    ) -> None:
        """Record the answer to a statement and the time that it took."""

    def statement_unanswered(
        self, handler: SessionHandler, query: Query, *, by_caller: bool
    ) -> None:
        """Record that the connection of a statement ended before its answer."""


class ClientListener:
    """Listens for callers and holds their connections.

    :param services: The daemon's routes and services.
    :param limits: Limits the operations of organisations.
    :param dialect: The protocol spoken with callers.
    :param clock: Source of time.
    :param observer: Is notified when statements end.
    :param max_connections: Limit of open connections; further ones are refused.
    :param max_bytes: Limit of the bytes of callers' messages; callers with most
        are closed beyond it.
    """

    def __init__(
        self,
        services: ServiceLookup,
        limits: OperationLimits,
        dialect: Dialect,
        clock: Clock,
        observer: StatementObserver,
        max_connections: int,
        max_bytes: int,
    ) -> None:
        self.services = services
        self.limits = limits
        self.dialect = dialect
        self.clock = clock
        self.observer = observer
        self.session_numbers = itertools.count(1)
        self.connections: set[ClientConnection] = set()
        #: Why no more sessions, transactions and single statements are begun;
        #: empty while they are.
        self.stop_reason = ''
        #: Whether open transactions are rolled back for the same reason.
        self.ends_transactions = False
        self.max_connections = max_connections
        self.budget = ByteBudget(max_bytes)
        self.reservations = Reservations(int(max_bytes * _LARGE_SHARE))
        self._server: asyncio.Server | None = None
        self._closer: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Start to accept connections.

        :param address: ``ip:port`` to listen on.
        """
        host, port = address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ClientConnection(self), host, int(port), backlog=512
        )

    async def close_idle(self) -> None:
        """Close the connections without a request or transaction.

        The others are closed once they have been idle for a moment, since a
        caller may send its next statement as soon as it has an answer.
        """
        await self._close_quiet()
        if self._closer is None:
            loop = asyncio.get_running_loop()
            self._closer = loop.create_task(self._keep_closing())

    async def finish(self) -> None:
        """Answer the running statements, and close the other connections.

        A statement that has not run is refused; of the others, the outcome is
        unknown.
        """
        interrupted = sum(
            [connection.interrupt() for connection in self.connections]
        )
        if interrupted:
            _log.warning(
                'Answered {} running statements: {}',
                interrupted,
                self.stop_reason,
            )
            # The tasks of the statements write their answers.
            await asyncio.sleep(seconds(_CLOSE_INTERVAL))
        await self._close_if(lambda connection: connection.is_waiting)

    def note_unanswered(
        self, connection: ClientConnection, message: CallerMessage
    ) -> None:
        """Report a statement that was read but can't be answered any more.

        :param connection: The connection, which has ended.
        :param message: What the caller sent.
        """
        handler = connection.handler
        if isinstance(message, Query) and handler is not None:
            by_caller = not connection.is_ended_here
            self.observer.statement_unanswered(
                handler, message, by_caller=by_caller
            )

    def refuse_new(self, reason: str) -> None:
        """Refuse sessions, transactions and single statements from now on.

        Open transactions go on.

        :param reason: Human-readable explanation for the callers.
        """
        self.stop_reason = reason

    def end_transactions(self) -> None:
        """Roll back all transactions, since new ones are refused.

        Running statements are answered first. A caller is told when it sends
        its next statement.
        """
        self.ends_transactions = True
        for connection in tuple(self.connections):
            connection.end_transaction(self.stop_reason)

    def end_idle_transactions(self, limit: Millis) -> int:
        """Roll back transactions that have been idle for too long.

        :param limit: Longest time in ms between two statements.
        :returns: Number of transactions that were rolled back.
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
                    connection.end_transaction(
                        f'no statement in the transaction for {limit} ms'
                    )
                    rolled_back += 1
        return rolled_back

    def shed(self) -> None:
        """Close the callers with most bytes until the budget holds."""
        if not self.budget.is_exceeded:
            return
        chosen = self.budget.shed(LARGE_STATEMENT)
        for connection in tuple(self.connections):
            if connection.account in chosen:
                connection.shed('too many bytes of all callers')

    def end_slow(self) -> None:
        """Close the callers that have taken too long."""
        now = self.clock.now()
        for connection in tuple(self.connections):
            reason = connection.overdue(now)
            if reason:
                connection.shed(reason)

    def stop(self) -> None:
        """Stop accepting and close all connections."""
        if self._server is not None:
            self._server.close()
        if self._closer is not None:
            self._closer.cancel()
        for connection in tuple(self.connections):
            connection.close()

    @property
    def busy(self) -> int:
        """Return the number of connections with a request or transaction."""
        return sum(not connection.is_idle for connection in self.connections)

    async def _keep_closing(self) -> None:
        while True:
            await asyncio.sleep(seconds(_CLOSE_INTERVAL))
            await self._close_quiet()

    async def _close_quiet(self) -> None:
        """Close the idle connections whose callers were quiet for a moment."""
        since = Millis(self.clock.now() - QUIET_TIME)
        await self._close_if(lambda connection: connection.may_close(since))

    async def _close_if(
        self, may_close: Callable[[ClientConnection], bool]
    ) -> None:
        """Close the connections for which a condition holds.

        Closing a socket with unread bytes resets the connection, and the caller
        would not know whether its request ran. So what has arrived is read just
        before.

        :param may_close: The condition.
        """
        chosen = list(filter(may_close, self.connections))
        for start in range(0, len(chosen), _CLOSE_BATCH):
            # The event loop reads what has arrived before this resumes.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            for connection in chosen[start : start + _CLOSE_BATCH]:
                if may_close(connection):
                    connection.close_waiting()
