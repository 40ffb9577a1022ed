"""Runs the statements of a caller's session, independent of the dialect."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeAlias

import attrs

from monsoonproxy import read_execution, write_execution
from monsoonproxy.client_sessions import PendingStatement, Session
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.dialects import Dialect
from monsoonproxy.queries import (
    Answer,
    Code,
    Prepared,
    Query,
    TransactionState,
    Verb,
)
from monsoonproxy.routes import Route, RouteTable
from monsoonproxy.statement_runner import StatementRunner
from monsoonproxy.transaction_affinity import Transaction


class ServiceLookup(Protocol):
    """Looks up the daemon's routes and services for a session handler."""

    table: RouteTable | None

    def runner(self, service: str) -> StatementRunner | None:
        """Return the runner of a service, or ``None`` if it is unknown."""


class OperationLimits(Protocol):
    """Limits the operations of organisations."""

    async def admit(self, organisation: str, priority: int) -> Millis | None:
        """Take the right to run an operation.

        :param organisation: Name of the organisation; empty for none.
        :param priority: Priority of the operation; 0 is the highest.
        :returns: ``None`` if it may run, or else the time in ms after which
            the caller may come back.
        """


class SessionHandler:
    """Runs the statements of one session, one after another.

    :param database: The database name with which the caller opened the session.
    :param session: State of the session.
    :param services: The daemon's routes and services.
    :param limits: Limits the operations of organisations.
    :param dialect: The protocol that makes answers for the caller.
    :param clock: Source of time.
    """

    def __init__(
        self,
        database: str,
        session: Session,
        services: ServiceLookup,
        limits: OperationLimits,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        self.database = database
        self.session = session
        self.transaction: Transaction | None = None
        #: The current or latest statement; ``None`` if the daemon answered it
        #: without a backend server.
        self.stmt: PendingStatement | None = None
        #: Route of the open transaction. It stays in force if the configuration
        #: changes meanwhile.
        self._route: Route | None = None
        self._services = services
        self._limits = limits
        self._dialect = dialect
        self._clock = clock

    @property
    def state(self) -> TransactionState:
        """Return the transaction state that answers report to the caller."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    async def run(self, query: Query) -> Answer:
        """Run a statement, unless a failed transaction has to be ended first.

        :param query: The statement.
        :returns: The answer.
        """
        self.stmt = None
        ends = query.verb in {Verb.COMMIT, Verb.ROLLBACK}
        if not self._is_identified():
            if self.transaction is None:
                return self._fail(Code.UNAUTHORISED, 'the key was withdrawn')
            self.abort('the key was withdrawn or passed on')
        transaction = self.transaction
        if transaction is not None and transaction.failed and not ends:
            if transaction.reason:
                # The daemon ended the transaction between two statements; the
                # answer to the next one reports why.
                reason, transaction.reason = transaction.reason, ''
                return self._fail(Code.ABORTED, reason)
            return self._fail(
                Code.MALFORMED,
                'the transaction failed and has to be rolled back',
            )
        return await _VERB_HANDLERS[query.verb](self, query)

    def _is_identified(self) -> bool:
        """Tell whether the caller's key is valid, and note its organisation.

        :returns: Whether the route needs no key, or an organisation holds the
            key; within a transaction, the one that held it at its beginning.
        """
        table = self._services.table
        route = self._route if self.transaction else None
        if table is not None and route is None:
            route = table.routes.get(self.database)
        if table is None or route is None:
            return True
        owner: str | None = ''
        if table.directory and not route.is_public:
            owner = table.directory.owner(self.session.identity)
        if self.transaction is not None:
            return owner == self.session.organisation
        self.session.organisation = owner or ''
        return owner is not None

    def refuse(self, reason: str) -> Answer:
        """Answer that a statement is not run, and may be sent again.

        :param reason: Human-readable explanation for the caller.
        :returns: The answer.
        """
        self.stmt = None
        return self._fail(Code.BUSY, reason)

    def interrupt(self, query: Query, reason: str) -> Answer:
        """Answer a statement whose execution was cancelled.

        An open transaction is rolled back. An attempt that has not sent the
        statement yet must not send it any more.

        :param query: The statement.
        :param reason: Human-readable explanation for the caller.
        :returns: The answer.
        """
        transaction = self.transaction
        if transaction is None:
            return self._interrupt_single(reason)
        if query.verb is not Verb.COMMIT:
            self.abort('')
            return self._fail(Code.ABORTED, reason)
        self.end()
        code = Code.IN_DOUBT if transaction.has_written else Code.ABORTED
        return self._fail(code, reason)

    def _interrupt_single(self, reason: str) -> Answer:
        stmt = self.stmt
        if stmt is None:
            return self.refuse(reason)
        stmt.abandoned = True
        if not stmt.sent:
            return self._fail(Code.BUSY, reason)
        code = Code.TIMEOUT if stmt.is_read else Code.IN_DOUBT
        return self._fail(code, reason)

    def end(self) -> None:
        """Roll back the open transaction, if there is one."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.end()

    def abort(self, reason: str) -> None:
        """Roll back the transaction on the daemon's initiative.

        The caller is told when it sends its next statement.

        :param reason: Human-readable explanation for the caller.
        """
        if self.transaction is not None:
            self.transaction.end()
            self.transaction.failed = True
            self.transaction.reason = reason

    # Handlers of the verbs.

    async def begin(self, query: Query) -> Answer:
        """Begin a transaction; no backend server takes part yet."""
        if self.transaction is not None:
            return self._fail(
                Code.MALFORMED, 'BEGIN inside an open transaction'
            )
        route, runner = self._current_route()
        if route is None or runner is None:
            return self._unknown_route()
        self._route = route
        self.transaction = Transaction(
            runner, query.read_only, self._clock.now()
        )
        return self._dialect.done(TransactionState.OPEN)

    async def commit(self, query: Query) -> Answer:
        """Commit the open transaction; it ends, also after an error."""
        transaction, route = self.transaction, self._route
        if transaction is None or route is None:
            return self._fail(
                Code.MALFORMED, 'COMMIT without an open transaction'
            )
        stmt = self._new_stmt(query, route, query.text, is_read=True)
        answer = await transaction.commit(stmt)
        self.transaction = None
        return answer

    async def roll_back(self, _query: Query) -> Answer:
        """Roll back in the background, and answer at once."""
        self.end()
        return self._dialect.done(TransactionState.IDLE)

    async def read(self, query: Query) -> Answer:
        """Run a read, inside or outside a transaction."""
        return await self._execute(query, query.text, is_read=True)

    async def write(self, query: Query) -> Answer:
        """Run a write, inside or outside a transaction."""
        return await self._execute(query, query.text, is_read=False)

    async def execute(self, query: Query) -> Answer:
        """Run a statement that the session has prepared."""
        prepared = self.session.prepared.get(query.name)
        if prepared is None:
            return self._fail(
                Code.UNKNOWN_STATEMENT,
                'EXECUTE of a statement that is not prepared in the session',
            )
        text = self._dialect.execute(prepared.name, query.argument)
        return await self._execute(
            query, text, is_read=prepared.read_only, prepared=prepared
        )

    async def set_value(self, query: Query) -> Answer:
        """Set a session value; backend servers get it with later statements."""
        # Otherwise an attempt of an answered statement could still run with
        # the old values after the caller was told of the new one.
        await self.session.end_late_attempts(self._clock)
        if not self.session.set_value(query.name, query.argument):
            return self._fail(Code.TOO_BIG, 'too many session values')
        return self._dialect.done(self.state)

    async def prepare(self, query: Query) -> Answer:
        """Remember a prepared statement under the name the caller chose.

        It is prepared on a connection when it is first executed there.
        """
        prepared = Prepared.of(query.argument, read_only=query.read_only)
        if not self.session.prepare(query.name, prepared):
            return self._fail(Code.TOO_BIG, 'too many prepared statements')
        return self._dialect.done(self.state)

    async def deallocate(self, query: Query) -> Answer:
        """Forget a prepared statement of the session.

        Connections keep it, since other sessions may use the same shape.
        """
        self.session.prepared.pop(query.name, None)
        return self._dialect.done(self.state)

    async def reject(self, _query: Query) -> Answer:
        """Answer a statement with an unknown verb with an error."""
        return self._fail(Code.MALFORMED, 'unknown statement')

    async def _execute(
        self,
        query: Query,
        text: bytes,
        *,
        is_read: bool,
        prepared: Prepared | None = None,
    ) -> Answer:
        if self.transaction is not None and self._route is not None:
            stmt = self._new_stmt(
                query, self._route, text, is_read=is_read, prepared=prepared
            )
            return await self._run_in_transaction(self.transaction, stmt)
        route, runner = self._current_route()
        if route is None or runner is None:
            return self._unknown_route()
        stmt = self._new_stmt(
            query, route, text, is_read=is_read, prepared=prepared
        )
        refusal = await self._admit(stmt)
        if refusal is not None:
            return refusal
        if is_read:
            return await read_execution.read(runner, stmt)
        return await write_execution.write(runner, stmt)

    async def _run_in_transaction(
        self, transaction: Transaction, stmt: PendingStatement
    ) -> Answer:
        if not transaction.admitted:
            refusal = await self._admit(stmt)
            if refusal is not None:
                transaction.failed = True
                return attrs.evolve(refusal, state=self.state)
            transaction.admitted = True
        return await transaction.run(stmt)

    async def _admit(self, stmt: PendingStatement) -> Answer | None:
        """Count an operation towards its organisation's limit.

        :returns: ``None`` if it may run, or else the refusal.
        """
        wait = await self._limits.admit(stmt.organisation, stmt.priority)
        if wait is None:
            return None
        return self._fail(
            Code.OVER_LIMIT,
            f'limit of {stmt.organisation} reached; come back after {wait} ms',
        )

    def _new_stmt(
        self,
        query: Query,
        route: Route,
        text: bytes,
        *,
        is_read: bool,
        prepared: Prepared | None = None,
    ) -> PendingStatement:
        self.stmt = PendingStatement(
            query.request_id,
            text,
            is_read,
            route,
            self.session,
            self._clock.now(),
            self.session.organisation,
            prepared,
        )
        return self.stmt

    def _current_route(self) -> tuple[Route | None, StatementRunner | None]:
        table = self._services.table
        route = table.routes.get(self.database) if table else None
        if route is None:
            return None, None
        return route, self._services.runner(route.service)

    def _unknown_route(self) -> Answer:
        return self._fail(Code.UNKNOWN_DATABASE, self.database)

    def _fail(self, code: Code, reason: str) -> Answer:
        return self._dialect.failure(code, reason, self.state)


_VerbHandler: TypeAlias = Callable[[SessionHandler, Query], Awaitable[Answer]]

_VERB_HANDLERS: dict[Verb, _VerbHandler] = {
    Verb.BEGIN: SessionHandler.begin,
    Verb.COMMIT: SessionHandler.commit,
    Verb.ROLLBACK: SessionHandler.roll_back,
    Verb.READ: SessionHandler.read,
    Verb.WRITE: SessionHandler.write,
    Verb.EXECUTE: SessionHandler.execute,
    Verb.SET: SessionHandler.set_value,
    Verb.PREPARE: SessionHandler.prepare,
    Verb.DEALLOCATE: SessionHandler.deallocate,
    Verb.UNKNOWN: SessionHandler.reject,
}
