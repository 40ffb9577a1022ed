"""Shared parts of running reads, writes and transactions of one service."""

import asyncio
import random

from monsoonproxy.background import Background
from monsoonproxy.client_sessions import PendingStatement
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.clusters import Cluster, Lease
from monsoonproxy.connection_pools import (
    LeaseRequest,
    PoolExhaustedError,
    ServerRemovedError,
)
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.leader_monitor import LeaderMonitor
from monsoonproxy.limiters import ConcurrencyLimitError, OverloadError
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.retries import RetryBudget, RetryRules
from monsoonproxy.routes import Freshness

#: Errors that mean that no connection could be leased, and nothing was sent.
LEASE_ERRORS = (ConcurrencyLimitError, PoolExhaustedError, ServerRemovedError)
#: Errors that mean that no connection could be leased, or that it was lost.
CONNECTION_ERRORS = (*LEASE_ERRORS, ConnectionLostError)
#: Back-off before a statement is sent again that was refused since all slots
#: were taken. It grows linearly with the number of refusals.
BUSY_BACKOFF_MS = 15
#: Time after the deadline for which a connection is kept open for a late answer
#: that no caller waits for any more. Opening another connection would cost the
#: backend server more.
LATE_ANSWER_MS = 1_500
#: Budget of hedged reads, as a ratio of all reads. Databases that lose the
#: answers to 5 % or 20 % of their requests need less. While all of them are
#: overloaded, every read is late, and hedging makes it later. One of many
#: daemons has few reads per second, so few are allowed by elapsed time.
_HEDGE_RULES = RetryRules(ratio=0.15, floor=0.1, burst=3, initial=2)
#: Assumed number of statements in a transaction before any was committed, and
#: the weight of a new number in the moving average.
_INITIAL_TRANSACTION_LENGTH = 3.0
_LENGTH_SMOOTHING = 0.05
#: A sample of the leader's position that is older than this fraction of a
#: read's age bound is refreshed in the background before it is too old.
_REFRESH_RATIO = 0.4


class StatementRunner:
    """What the statements of one service need to run on its backend servers.

    :param cluster: The backend servers of the service.
    :param leaders: Monitors the leader and samples its log position.
    """

    def __init__(self, cluster: Cluster, leaders: LeaderMonitor) -> None:
        self.cluster = cluster
        self.leaders = leaders
        #: Limits how many reads are also sent to another backend server.
        self.hedge_budget = RetryBudget(_HEDGE_RULES, cluster.clock.now())
        #: Moving average of the statements in a transaction.
        self.transaction_length = _INITIAL_TRANSACTION_LENGTH
        #: Tasks that may still run when their statement was answered.
        self.background = Background()

    @property
    def clock(self) -> Clock:
        """Return the clock that deadlines of statements refer to."""
        return self.cluster.clock

    @property
    def dialect(self) -> Dialect:
        """Return the protocol spoken with the backend servers."""
        return self.cluster.dialect

    def time_left(self, stmt: PendingStatement) -> float:
        """Return the time until the deadline of a statement.

        :param stmt: The statement.
        :returns: The time in ms; negative after the deadline.
        """
        return stmt.deadline - self.clock.now()

    def failure(
        self,
        code: Code,
        reason: str,
        state: TransactionState = TransactionState.IDLE,
    ) -> Answer:
        """Make an error answer of the daemon.

        :param code: Error code.
        :param reason: Human-readable explanation.
        :param state: Transaction state of the session after the statement.
        :returns: The answer.
        """
        return self.dialect.failure(code, reason, state)

    def lease_request(
        self, stmt: PendingStatement, *, single: bool
    ) -> LeaseRequest:
        """Return what a statement requires of its connection.

        :param stmt: The statement.
        :param single: Whether the connection is for this statement only.
        :returns: The requirements.
        """
        return LeaseRequest(
            self.time_left(stmt),
            stmt.priority,
            single,
            stmt.organisation,
            stmt.objective_left(self.clock.now()),
            1 if single else self.transaction_length,
        )

    def record_transaction(self, statements: int) -> None:
        """Record the length of a transaction that was committed.

        :param statements: Number of its statements.
        """
        more = statements - self.transaction_length
        self.transaction_length += more * _LENGTH_SMOOTHING

    def overload_failure(
        self,
        exc: OverloadError,
        state: TransactionState = TransactionState.IDLE,
    ) -> Answer:
        """Make the answer to a statement that can't be served in time.

        The time to come back is spread, so that callers don't return together.

        :param exc: Why it can't be.
        :param state: Transaction state of the session after the statement.
        :returns: The answer.
        """
        self.cluster.telemetry.count('statements_refused_for_load')
        wait = int(exc.retry_after * random.uniform(1, 2)) + 1
        return self.failure(
            Code.BUSY, f'too much work ahead; come back after {wait} ms', state
        )

    async def back_off(self, stmt: PendingStatement) -> None:
        """Wait, longer each time, before a statement is sent again.

        The wait is jittered, and ends at the deadline of the statement.

        :param stmt: The statement.
        """
        stmt.refusals += 1
        most = min(BUSY_BACKOFF_MS * stmt.refusals, self.time_left(stmt))
        await asyncio.sleep(seconds(1) * max(1, most * random.uniform(0.5, 1)))

    async def apply_session(self, lease: Lease, stmt: PendingStatement) -> None:
        """Apply the state of the caller's session to a leased connection.

        :param lease: The lease of the connection.
        :param stmt: The statement that will be run on it.
        :raises ConnectionLostError: If the backend server refuses the state.
        """
        wire = lease.conn
        payload = wire.session_setup(stmt.session.values, stmt.prepared)
        if not payload:
            return
        answers = await self.cluster.exchange(
            lease, payload, wire.setup_count, self.time_left(stmt)
        )
        if not all(answer.succeeded for answer in answers):
            raise ConnectionLostError(
                'the backend server refused the session state'
            )

    async def required_floor(self, stmt: PendingStatement) -> Position | None:
        """Return the position that a read must reflect; sample it if needed.

        :param stmt: A read of a route with an age bound.
        :returns: The position, or ``None`` if no recent enough position was
            learnt before the deadline.
        """
        samples = self.cluster.lead.floors
        max_age = stmt.route.max_age
        age = samples.age(self.clock.now())
        if age is None or age > max_age:
            await self.leaders.sample(self.time_left(stmt))
        elif age > max_age * _REFRESH_RATIO:
            self.background.spawn(self.leaders.sample(self.time_left(stmt)))
        return self.known_floor(stmt)

    def known_floor(self, stmt: PendingStatement) -> Position | None:
        """Return the position that a read must reflect, without sampling.

        :param stmt: A read of a route with an age bound.
        :returns: The position, or ``None`` if the latest known one is too old
            for the route.
        """
        floor = self.cluster.lead.floors.required(
            stmt.route.max_age, self.clock.now()
        )
        own = stmt.session.floor
        if floor is not None and own is not None:
            if stmt.route.freshness is Freshness.SESSION:
                floor = max(floor, own)
        stmt.floor = floor
        return floor

    def drop_unknown_prepared(self, lease: Lease, answer: Answer) -> None:
        """Forget what was prepared on a connection if its server lost it.

        :param lease: The lease of the connection.
        :param answer: The answer to a statement; the code that reports an
            unknown prepared statement means that the server lost them.
        """
        if answer.code is Code.UNKNOWN_STATEMENT:
            lease.conn.prepared.clear()
