"""What reads, writes and transactions of a service have in common."""

import asyncio
import random

from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.clusters import Cluster, Lease
from monsoonproxy.connection_pools import PoolExhaustedError, ServerRemovedError
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.jobs import Job
from monsoonproxy.leader_monitor import LeaderMonitor
from monsoonproxy.limiters import ConcurrencyLimitError
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.retries import RetryBudget, RetryRules
from monsoonproxy.routes import Freshness

#: What happens if no connection can be leased. Nothing was sent then.
NOT_LEASED = (ConcurrencyLimitError, PoolExhaustedError, ServerRemovedError)
#: What happens if a connection can't be leased, or is lost.
NO_CONNECTION = (*NOT_LEASED, ConnectionLostError)
#: Pause in ms before a statement that found all slots taken is sent again;
#: grows with each refusal.
BUSY_PAUSE = 15
#: Time in ms for which a connection may owe an answer that nobody waits for
#: any more. Opening another one would cost the backend server more.
LATE_ANSWER = 1_500
#: Reads sent to a second backend server, for each read. Databases that lose the
#: answers of a twentieth or a fifth of their requests need less; while all are
#: overloaded, every read is late, and sending it twice makes it later. One of
#: many daemons has few reads a second, so almost none are allowed by time.
_HEDGES = RetryRules(ratio=0.15, floor=0.1, burst=3, initial=2)
#: A sample older than this share of a read's bound is renewed ahead of need.
_RENEWAL_SHARE = 0.4


class Runner:
    """Runs statements on the backend servers of one service.

    :param cluster: The backend servers.
    :param leaders: Looks after the leader.
    """

    def __init__(self, cluster: Cluster, leaders: LeaderMonitor) -> None:
        self.cluster = cluster
        self.leaders = leaders
        #: Reads that may be sent to another backend server as well.
        self.hedges = RetryBudget(_HEDGES, cluster.clock.now())
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

    def left(self, job: Job) -> float:
        """Return how much time a statement has left.

        :param job: The statement.
        :returns: The time in ms; negative if it is over.
        """
        return job.deadline - self.clock.now()

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

    async def pause(self, job: Job) -> None:
        """Wait before a statement is sent again, longer each time.

        :param job: The statement.
        """
        job.refusals += 1
        most = min(BUSY_PAUSE * job.refusals, self.left(job))
        await asyncio.sleep(seconds(1) * max(1, most * random.uniform(0.5, 1)))

    async def adopt(self, lease: Lease, job: Job) -> None:
        """Give a connection the state of the caller's session.

        :param lease: The connection.
        :param job: The statement that is to be run on it.
        :raises ConnectionLostError: If that fails.
        """
        wire = lease.conn
        payload = wire.adopt(job.session.values, job.prepared)
        if not payload:
            return
        answers = await self.cluster.exchange(
            lease, payload, wire.adopted, self.left(job)
        )
        if not all(answer.succeeded for answer in answers):
            raise ConnectionLostError('the session state was not accepted')

    async def required_floor(self, job: Job) -> Position | None:
        """Return the position that a read of a route must reflect.

        :param job: A read of a route with an age bound.
        :returns: The position, or ``None`` if none is known in time.
        """
        samples = self.cluster.floors
        max_age = job.route.max_age
        age = samples.age(self.clock.now())
        if age is None or age > max_age:
            await self.leaders.sample(self.left(job))
        elif age > max_age * _RENEWAL_SHARE:
            self.background.spawn(self.leaders.sample(self.left(job)))
        return self.known_floor(job)

    def known_floor(self, job: Job) -> Position | None:
        """Return the position that a read must reflect, as far as it is known.

        :param job: A read of a route with an age bound.
        :returns: The position, or ``None`` if the last one known is too old.
        """
        floor = self.cluster.floors.required(
            job.route.max_age, self.clock.now()
        )
        own = job.session.floor
        if floor is not None and own is not None:
            if job.route.freshness is Freshness.SESSION:
                floor = max(floor, own)
        job.floor = floor
        return floor

    def judge_session(self, lease: Lease, answer: Answer) -> None:
        """Take in that a connection lost what was prepared on it.

        :param lease: The connection.
        :param answer: The answer.
        """
        if answer.code is Code.UNKNOWN_STATEMENT:
            lease.conn.prepared.clear()
