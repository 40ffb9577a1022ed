"""A caller's session over a dialect, statement by statement."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.pinned import Transaction
from monsoonproxy.dialects import Dialect
from monsoonproxy.queries import Answer, Code, Query, TransactionState, Verb
from monsoonproxy.routes import Route, RouteTable
from monsoonproxy.running import Job, Runner, Session

#: Shapes of prepared statements that a daemon names; older ones are renamed.
_MAX_SHAPES = 10_000


class Services(Protocol):
    """What a conversation needs to know of its daemon."""

    table: RouteTable | None

    def runner(self, service: str) -> Runner | None:
        """Return the runner of a service."""


class StatementNames:
    """Names of prepared statements on connections to backend servers.

    Callers' names collide, so a daemon names each shape itself.
    """

    def __init__(self) -> None:
        self._names: dict[tuple[bool, bytes], bytes] = {}
        self._count = 0

    def name(self, shape: tuple[bool, bytes]) -> bytes:
        """Return the name of a shape.

        :param shape: Whether it reads, and the shape.
        :returns: The name, unique to the shape for the life of the process.
        """
        name = self._names.get(shape)
        if name is None:
            if len(self._names) >= _MAX_SHAPES:
                self._names.pop(next(iter(self._names)))
            self._count += 1
            name = b'p%d' % self._count
            self._names[shape] = name
        return name


class Conversation:
    """Runs the statements of one session, one after another.

    :param database: The database name that the caller opened.
    :param session: The session.
    :param services: The daemon's configuration and services.
    :param dialect: The protocol.
    :param names: Names of prepared statements.
    :param clock: Source of time.
    """

    def __init__(
        self,
        database: str,
        session: Session,
        services: Services,
        dialect: Dialect,
        names: StatementNames,
        clock: Clock,
    ) -> None:
        self.database = database
        self.session = session
        self.transaction: Transaction | None = None
        #: Route of the open transaction, which a change does not touch.
        self._route: Route | None = None
        self._services = services
        self._dialect = dialect
        self._names = names
        self._clock = clock

    @property
    def state(self) -> TransactionState:
        """Return the state of the session."""
        if self.transaction is None:
            return TransactionState.IDLE
        if self.transaction.failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    async def run(self, query: Query) -> Answer:
        """Run a statement.

        :param query: The statement.
        :returns: The answer.
        """
        ends = query.verb in {Verb.COMMIT, Verb.ROLLBACK}
        transaction = self.transaction
        if transaction is not None and transaction.failed and not ends:
            if transaction.reason:
                # The daemon ended it, and the caller learns that only now.
                reason, transaction.reason = transaction.reason, ''
                return self._fail(Code.ABORTED, reason)
            return self._fail(Code.MALFORMED, 'the transaction failed')
        return await _handlers.get(query.verb, _reject)(self, query)

    def end(self) -> None:
        """Roll back; the caller has gone or the time is over."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.end()

    def abort(self, reason: str) -> None:
        """End the transaction; the caller learns it at its next statement.

        :param reason: Why.
        """
        if self.transaction is not None:
            self.transaction.end()
            self.transaction.failed = True
            self.transaction.reason = reason

    # Handlers.

    async def begin(self, query: Query) -> Answer:
        """Begin a transaction."""
        if self.transaction is not None:
            return self._fail(Code.MALFORMED, 'a transaction is open')
        route, runner = self._current()
        if route is None or runner is None:
            return self._unknown_route()
        now = self._clock.now()
        self._route = route
        self.transaction = Transaction(runner, query.read_only, now, now)
        return self._dialect.done(TransactionState.OPEN)

    async def commit(self, query: Query) -> Answer:
        """Commit the open transaction."""
        transaction, route = self.transaction, self._route
        if transaction is None or route is None:
            return self._fail(Code.MALFORMED, 'no transaction is open')
        job = self._job(query, route, query.text, is_read=True)
        answer = await transaction.commit(job)
        self.transaction = None
        return answer

    async def roll_back(self, _query: Query) -> Answer:
        """Roll back the open transaction."""
        self.end()
        return self._dialect.done(TransactionState.IDLE)

    async def read(self, query: Query) -> Answer:
        """Run a read."""
        return await self._execute(query, query.text, is_read=True)

    async def write(self, query: Query) -> Answer:
        """Run a write."""
        return await self._execute(query, query.text, is_read=False)

    async def execute(self, query: Query) -> Answer:
        """Run a prepared statement."""
        shape = self.session.prepared.get(query.name)
        if shape is None:
            return self._fail(Code.UNKNOWN_STATEMENT, 'not prepared')
        is_read, shape_text = shape
        name = self._names.name(shape)
        text = self._dialect.execute(name, query.argument)
        return await self._execute(
            query, text, is_read=is_read, prepared=(name, shape_text, is_read)
        )

    async def set_value(self, query: Query) -> Answer:
        """Set a value of the session."""
        self.session.values[query.name] = query.argument
        return self._dialect.done(self.state)

    async def prepare(self, query: Query) -> Answer:
        """Prepare a statement."""
        shape = (query.read_only, query.argument)
        self.session.prepared[query.name] = shape
        return self._dialect.done(self.state)

    async def deallocate(self, query: Query) -> Answer:
        """Forget a prepared statement."""
        self.session.prepared.pop(query.name, None)
        return self._dialect.done(self.state)

    async def _execute(
        self,
        query: Query,
        text: bytes,
        *,
        is_read: bool,
        prepared: tuple[bytes, bytes, bool] = (b'', b'', True),
    ) -> Answer:
        if self.transaction is not None and self._route is not None:
            job = self._job(
                query, self._route, text, is_read=is_read, prepared=prepared
            )
            return await self.transaction.run(job)
        route, runner = self._current()
        if route is None or runner is None:
            return self._unknown_route()
        job = self._job(query, route, text, is_read=is_read, prepared=prepared)
        return await (runner.read(job) if is_read else runner.write(job))

    def _job(
        self,
        query: Query,
        route: Route,
        text: bytes,
        *,
        is_read: bool,
        prepared: tuple[bytes, bytes, bool] = (b'', b'', True),
    ) -> Job:
        return Job(
            query.request_id,
            text,
            is_read,
            route,
            self.session,
            self._clock.now(),
            prepared,
        )

    def _current(self) -> tuple[Route | None, Runner | None]:
        table = self._services.table
        route = table.routes.get(self.database) if table else None
        if route is None:
            return None, None
        return route, self._services.runner(route.service)

    def _unknown_route(self) -> Answer:
        return self._fail(Code.UNKNOWN_DATABASE, self.database)

    def _fail(self, code: Code, reason: str) -> Answer:
        return self._dialect.failure(code, reason, self.state)


async def _reject(conversation: Conversation, query: Query) -> Answer:
    return conversation._fail(Code.MALFORMED, 'unknown statement')


_handlers: dict[Verb, Callable] = {
    Verb.BEGIN: Conversation.begin,
    Verb.COMMIT: Conversation.commit,
    Verb.ROLLBACK: Conversation.roll_back,
    Verb.READ: Conversation.read,
    Verb.WRITE: Conversation.write,
    Verb.EXECUTE: Conversation.execute,
    Verb.SET: Conversation.set_value,
    Verb.PREPARE: Conversation.prepare,
    Verb.DEALLOCATE: Conversation.deallocate,
}
