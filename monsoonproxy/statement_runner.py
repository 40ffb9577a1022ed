"""What reads, writes and transactions of a service have in common."""

import asyncio
import random

from monsoonproxy.background import Background
from monsoonproxy.client_sessions import PendingStatement
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.clusters import Cluster, Lease
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.gates import GateClosedError
from monsoonproxy.lanes import LaneFullError, ServerGoneError
from monsoonproxy.leaders import Leaders
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.retries import RetryBudget, RetryRules
from monsoonproxy.routes import Freshness

#: What happens if no connection can be leased. Nothing was sent then.
LEASE_ERRORS = (GateClosedError, LaneFullError, ServerGoneError)
#: What happens if a connection can't be leased, or is lost.
CONNECTION_ERRORS = (*LEASE_ERRORS, ConnectionLostError)
#: Pause in ms before a statement that found all slots taken is sent again;
#: grows with each refusal.
BUSY_BACKOFF_MS = 15
#: Time in ms for which a connection may owe an answer that nobody waits for
#: any more. Opening another one would cost the backend server more.
LATE_ANSWER_MS = 1_500
#: Reads sent to a second backend server, for each read. Databases that lose the
#: answers of a twentieth or a fifth of their requests need less; while all are
#: overloaded, every read is late, and sending it twice makes it later. One of
#: many daemons has few reads a second, so almost none are allowed by time.
_HEDGE_RULES = RetryRules(ratio=0.15, floor=0.1, burst=3, initial=2)
#: A sample older than this share of a read's bound is renewed ahead of need.
_REFRESH_RATIO = 0.4


class StatementRunner:
    """Runs statements on the backend servers of one service.

    :param cluster: The backend servers.
    :param leaders: Looks after the leader.
    """

    def __init__(self, cluster: Cluster, leaders: Leaders) -> None:
        self.cluster = cluster
        self.leaders = leaders
        #: Reads that may be sent to another backend server as well.
        self.hedge_budget = RetryBudget(_HEDGE_RULES, cluster.clock.now())
        #: Work that may outlive its statement.
        self.background = Background()

    @property
    def clock(self) -> Clock:
        """Return the source of time."""
        return self.cluster.clock

    @property
    def dialect(self) -> Dialect:
        """Return the protocol."""
        return self.cluster.dialect

    def time_left(self, stmt: PendingStatement) -> float:
        """Return how much time a statement has left.

        :param stmt: The statement.
        :returns: The time in ms; negative if it is over.
        """
        return stmt.deadline - self.clock.now()

    def failure(
        self,
        code: Code,
        reason: str,
        state: TransactionState = TransactionState.IDLE,
    ) -> Answer:
        """Make an error answer.

        :param code: Why.
        :param reason: Text for people.
        :param state: State of the session after it.
        :returns: The answer.
        """
        return self.dialect.failure(code, reason, state)

    async def back_off(self, stmt: PendingStatement) -> None:
        """Wait before a statement is sent again, longer each time.

        :param stmt: The statement.
        """
        stmt.refusals += 1
        most = min(BUSY_BACKOFF_MS * stmt.refusals, self.time_left(stmt))
        await asyncio.sleep(seconds(1) * max(1, most * random.uniform(0.5, 1)))

    async def apply_session(self, lease: Lease, stmt: PendingStatement) -> None:
        """Give a connection the state of the caller's session.

        :param lease: The connection.
        :param stmt: The statement that is to be run on it.
        :raises ConnectionLostError: If that fails.
        """
        wire = lease.wire
        payload = wire.session_setup(stmt.session.values, stmt.prepared)
        if not payload:
            return
        answers = await self.cluster.exchange(
            lease, payload, wire.setup_count, self.time_left(stmt)
        )
        if not all(answer.succeeded for answer in answers):
            raise ConnectionLostError('the session state was not accepted')

    async def required_floor(self, stmt: PendingStatement) -> Position | None:
        """Return the position that a read of a route must reflect.

        :param stmt: A read of a route with an age bound.
        :returns: The position, or ``None`` if none is known in time.
        """
        samples = self.cluster.floors
        max_age = stmt.route.max_age
        age = samples.age(self.clock.now())
        if age is None or age > max_age:
            await self.leaders.sample(self.time_left(stmt))
        elif age > max_age * _REFRESH_RATIO:
            self.background.spawn(self.leaders.sample(self.time_left(stmt)))
        return self.known_floor(stmt)

    def known_floor(self, stmt: PendingStatement) -> Position | None:
        """Return the position that a read must reflect, as far as it is known.

        :param stmt: A read of a route with an age bound.
        :returns: The position, or ``None`` if the last one known is too old.
        """
        floor = self.cluster.floors.required(
            stmt.route.max_age, self.clock.now()
        )
        own = stmt.session.floor
        if floor is not None and own is not None:
            if stmt.route.freshness is Freshness.SESSION:
                floor = max(floor, own)
        stmt.floor = floor
        return floor

    def drop_unknown_prepared(self, lease: Lease, answer: Answer) -> None:
        """Take in that a connection lost what was prepared on it.

        :param lease: The connection.
        :param answer: The answer.
        """
        if answer.code is Code.UNKNOWN_STATEMENT:
            lease.wire.prepared.clear()
