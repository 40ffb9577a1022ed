"""Runs single statements of callers on the backend servers of a service."""

import asyncio
import random

import attrs

from monsoonproxy import selection
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster, Lease, Member, NotLeadingError
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.gates import GateClosedError
from monsoonproxy.lanes import LaneFullError, ServerGoneError
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.routes import Freshness, Route

#: A read that is not answered after this many times the usual time is sent to
#: another backend server as well.
_HEDGE_FACTOR = 6
#: Bounds in ms of that time. Below, the tail of ordinary reads would be sent
#: twice; above, an operation's objective is missed.
_HEDGE_LEAST = 60
_HEDGE_MOST = 150
#: Attempts of one read that may be in work at once.
_MOST_ATTEMPTS = 3
#: Pause in ms before a statement that found all slots taken is sent again.
_BUSY_PAUSE = 15
#: A sample older than this share of a read's bound is renewed ahead of need.
_RENEWAL_SHARE = 0.4
#: Time in ms for which a connection may owe an answer that nobody waits for
#: any more. Opening another one would cost the backend server more.
_LATE_ANSWER = 1_500
#: Codes of a backend server which mean that a statement did not run there.
NOT_RUN = frozenset(
    (
        Code.BUSY,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.WRONG_SERVER,
        Code.TOO_MANY_CONNECTIONS,
        Code.UNKNOWN_STATEMENT,
    )
)
_UNREACHABLE = (
    ConnectionLostError,
    GateClosedError,
    LaneFullError,
    ServerGoneError,
)
#: A read at the leader is sent again only after this time in ms, and only if
#: the leader answered others since: the answer is probably lost then. An
#: overloaded leader would get even more to do.
_LEADER_HEDGE = 300


@attrs.define
class Session:
    """A caller's session.

    :param number: Its number, for logs.
    :param values: Values that the caller has set.
    :param prepared: Names of the caller's prepared statements, with kind
        (whether it reads) and shape.
    :param floor: Position of the latest commit of the session.
    """

    number: int
    values: dict[bytes, bytes] = attrs.Factory(dict)
    prepared: dict[bytes, tuple[bool, bytes]] = attrs.Factory(dict)
    floor: Position | None = None

    def committed(self, position: Position | None) -> None:
        """Take in the position of a commit.

        :param position: The position, if the answer had one.
        """
        if position is not None:
            if self.floor is None or position > self.floor:
                self.floor = position


@attrs.define
class Job:
    """One statement of a caller on its way.

    :param request_id: The caller's id.
    :param text: Text to send.
    :param is_read: Whether it reads.
    :param route: The route in force when it arrived.
    :param session: The caller's session.
    :param arrived: When it arrived.
    :param prepared: Name, shape and kind of the prepared statement that it
        runs; the name is empty if it runs none.
    :param tried: Backend servers that it was offered to, and how that ended.
    :param refusals: How often nothing could be done.
    :param sent: Whether it may have run.
    :param given_up: Whether the caller has its answer already.
    """

    request_id: bytes
    text: bytes
    is_read: bool
    route: Route
    session: Session
    arrived: Millis
    prepared: tuple[bytes, bytes, bool] = (b'', b'', True)
    tried: dict[str, str] = attrs.Factory(dict)
    refusals: int = 0
    sent: bool = False
    given_up: bool = False

    @property
    def priority(self) -> int:
        """Return the priority of the route; 0 is the highest."""
        return self.route.priority

    @property
    def deadline(self) -> Millis:
        """Return when the statement's time is over."""
        return Millis(self.arrived + self.route.timeout)


class Runner:
    """Runs statements outside transactions.

    :param cluster: The backend servers.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self._dialect = cluster.dialect
        self._clock = cluster.clock
        self._tasks: set[asyncio.Task[Answer | None]] = set()

    async def read(self, job: Job) -> Answer:
        """Run a read.

        :param job: The read.
        :returns: The answer; a promise that nothing is kept if there is none
            in time.
        """
        attempts: set[asyncio.Task[Answer | None]] = set()
        lagging = False
        while self._left(job) > 0 and not self._is_hopeless(job):
            pending = {task for task in attempts if not task.done()}
            if self._may_send_again(job, len(pending)):
                task = await self._next_attempt(job)
                if task is not None:
                    attempts.add(task)
                    if pending:
                        self.cluster.telemetry.count('reads_hedged')
                elif not pending:
                    lagging = 'lagging' in job.tried.values()
                    job.tried.clear()
                    job.refusals += 1
                    await self._pause(job, _BUSY_PAUSE * job.refusals)
                    continue
            answer = await self._first_answer(job, attempts)
            if answer is not None:
                return answer
        code = Code.LAGGING if lagging else Code.BUSY
        return self.failure(code, f'not read in time: {job.tried}')

    async def write(self, job: Job) -> Answer:
        """Run a write that commits by itself.

        :param job: The write.
        :returns: The answer.
        """
        cluster = self.cluster
        while self._left(job) > 0:
            member = await cluster.wait_leader(self._left(job))
            if member is None or cluster.is_hopeless:
                break
            writing = self.spawn(self._write_once(job, member))
            done, _late = await asyncio.wait(
                (writing,), timeout=seconds(1) * max(1, self._left(job))
            )
            if not done:
                name = member.server.server_id
                code = Code.IN_DOUBT if job.sent else Code.BUSY
                job.given_up = True
                return self.failure(code, f'{name}: no answer in time')
            answer = writing.result()
            if answer is not None:
                return answer
        return self.failure(Code.BUSY, f'not written: {job.tried}')

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
        return self._dialect.failure(code, reason, state)

    async def adopt(self, lease: Lease, job: Job, limit: float) -> None:
        """Give a connection the state of the caller's session.

        :param lease: The connection.
        :param job: The statement that is to be run on it.
        :param limit: Longest wait in ms.
        :raises ConnectionLostError: If that fails.
        """
        payload = lease.wire.adopt(job.session.values, job.prepared)
        if not payload:
            return
        answers = await self.cluster.exchange(
            lease, payload, lease.wire.adopted, limit
        )
        if not all(answer.succeeded for answer in answers):
            raise ConnectionLostError('the session state was not accepted')

    async def required_floor(self, job: Job) -> Position | None:
        """Return the position that a read of a route must reflect.

        :param job: A read of a route with an age bound.
        :returns: The position, or ``None`` if none is known in time.
        """
        cluster = self.cluster
        max_age = job.route.max_age
        age = cluster.floors.age(self._clock.now())
        if age is None or age > max_age * _RENEWAL_SHARE:
            renewal = cluster.sample(self._left(job))
            if age is None or age > max_age:
                await renewal
            else:
                self.spawn(renewal)
        floor = cluster.floors.required(max_age, self._clock.now())
        own = job.session.floor
        if job.route.freshness is Freshness.SESSION and own is not None:
            return None if floor is None else max(floor, own)
        return floor

    def _may_send_again(self, job: Job, pending: int) -> bool:
        if job.route.freshness is not Freshness.PRIMARY or not pending:
            return pending < _MOST_ATTEMPTS
        leader = self.cluster.leader
        waited = self._clock.now() - job.arrived
        overtaken = leader and leader.answered_at - job.arrived > _LEADER_HEDGE
        return pending < 2 and waited > _LEADER_HEDGE and bool(overtaken)

    def _is_hopeless(self, job: Job) -> bool:
        """Tell whether only other daemons can serve a read now."""
        needs_leader = job.route.freshness is Freshness.PRIMARY
        return needs_leader and self.cluster.is_hopeless

    def _left(self, job: Job) -> float:
        return job.deadline - self._clock.now()

    async def _pause(self, job: Job, most: float) -> None:
        pause = min(most, self._left(job)) * random.uniform(0.5, 1)
        await asyncio.sleep(seconds(1) * max(1, pause))

    async def _next_attempt(
        self, job: Job
    ) -> 'asyncio.Task[Answer | None] | None':
        if job.route.freshness is Freshness.PRIMARY:
            member = await self.cluster.wait_leader(self._left(job))
            if member is None:
                return None
            return self.spawn(self._read_leader(job, member))
        floor = await self.required_floor(job)
        if floor is None:
            return None
        option = selection.choose(
            self.cluster.options(), floor, job.tried, self._clock.now()
        )
        if option is None:
            return None
        member = self.cluster.members[option.name]
        job.tried[option.name] = 'sent'
        return self.spawn(self._read_once(job, member, floor))

    async def _first_answer(
        self, job: Job, attempts: 'set[asyncio.Task[Answer | None]]'
    ) -> Answer | None:
        """Wait until an attempt succeeds or another one should be made."""
        pending = {task for task in attempts if not task.done()}
        if pending:
            limit = self._left(job)
            if len(pending) < _MOST_ATTEMPTS:
                limit = min(limit, self._hedge_after())
            await asyncio.wait(
                pending,
                timeout=seconds(1) * max(1, limit),
                return_when=asyncio.FIRST_COMPLETED,
            )
        for task in tuple(attempts):
            if task.done():
                attempts.discard(task)
                answer = task.result()
                if answer is not None:
                    return answer
        return None

    def _hedge_after(self) -> float:
        usual = [
            member.record.latency for member in self.cluster.members.values()
        ]
        expected = _HEDGE_FACTOR * min(usual, default=_HEDGE_LEAST)
        return min(_HEDGE_MOST, max(_HEDGE_LEAST, expected))

    def spawn(self, work) -> 'asyncio.Task[Answer | None]':
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _read_once(
        self, job: Job, member: Member, floor: Position | None
    ) -> Answer | None:
        """Read from one backend server.

        :returns: The answer for the caller, or ``None`` if another backend
            server is to be tried.
        """
        name = member.server.server_id
        cluster = self.cluster
        try:
            async with (
                cluster.place(member, job.priority, self._left(job)),
                cluster.leased(member, self._left(job)) as lease,
            ):
                await self.adopt(lease, job, self._left(job))
                payload = self._dialect.query(job.request_id, job.text, floor)
                (answer,) = await cluster.exchange(
                    lease, payload, 1, self._left(job) + _LATE_ANSWER
                )
                lease.clean = answer.state is TransactionState.IDLE
                cluster.judge_load(member, answer)
        except GateClosedError as exc:
            job.tried[name] = str(exc)
            return None
        except _UNREACHABLE as exc:
            member.record.failed(self._clock.now(), lost=True)
            job.tried[name] = str(exc)
            return None
        return self._judge(job, member, answer, lease, floor)

    def _judge(
        self,
        job: Job,
        member: Member,
        answer: Answer,
        lease: Lease,
        floor: Position | None,
    ) -> Answer | None:
        now = self._clock.now()
        name = member.server.server_id
        where = 'leader' if member is self.cluster.leader else 'replica'
        if answer.succeeded and answer.signed:
            took = lease.wire.answered_at - lease.wire.sent_at
            member.record.answered(took, answer.position, now)
            self.cluster.telemetry.count(f'reads_at_{where}')
            return answer
        code = answer.code or Code.FAILED
        self.cluster.telemetry.count(f'reads_{code.name.lower()}_at_{where}')
        job.tried[name] = code.value
        if code is Code.LAGGING and floor is not None:
            member.record.lagged(floor, now)
        elif code not in NOT_RUN:
            member.record.failed(now, lost=False)
        if code is Code.UNKNOWN_STATEMENT:
            # The backend server lost what was prepared on this connection.
            lease.wire.prepared.clear()
        return None

    async def _read_leader(self, job: Job, member: Member) -> Answer | None:
        """Read in a transaction that only a leader accepts."""
        name = member.server.server_id
        cluster = self.cluster
        try:
            async with (
                cluster.place(member, job.priority, self._left(job)),
                cluster.leased(member, self._left(job)) as lease,
            ):
                await self.adopt(lease, job, self._left(job))
                begun = await cluster.begin(lease, self._left(job))
                if not begun.succeeded:
                    job.tried[name] = begun.reason
                    return None
                text = self._dialect.query(job.request_id, job.text)
                answer, _ended = await cluster.exchange(
                    lease,
                    text + self._dialect.query(b'-', self._dialect.rollback()),
                    2,
                    self._left(job) + _LATE_ANSWER,
                )
                lease.clean = _ended.state is TransactionState.IDLE
                cluster.judge_load(member, answer)
        except (NotLeadingError, GateClosedError) as exc:
            job.tried[name] = str(exc) or 'not leading'
            return None
        except _UNREACHABLE as exc:
            member.record.failed(self._clock.now(), lost=True)
            job.tried[name] = str(exc)
            return None
        if answer.code is Code.READ_ONLY:
            cluster.not_leading(member)
        elif answer.succeeded:
            cluster.led(lease, answer)
            answer = attrs.evolve(answer, state=TransactionState.IDLE)
        return self._judge(job, member, answer, lease, None)

    async def _write_once(self, job: Job, member: Member) -> Answer | None:
        """Write at the leader.

        :returns: The answer for the caller, or ``None`` if the write did not
            run and may be tried again.
        """
        cluster = self.cluster
        try:
            async with (
                cluster.place(member, job.priority, self._left(job)),
                cluster.leased(member, self._left(job)) as lease,
            ):
                await self.adopt(lease, job, self._left(job))
                if job.given_up:
                    # The caller was told that it did not run.
                    lease.clean = True
                    return None
                job.sent = True
                payload = self._dialect.query(job.request_id, job.text)
                (answer,) = await cluster.exchange(
                    lease, payload, 1, self._left(job) + _LATE_ANSWER
                )
                lease.clean = answer.state is TransactionState.IDLE
                cluster.judge_load(member, answer)
        except _UNREACHABLE as exc:
            job.tried[member.server.server_id] = str(exc)
            if job.sent:
                return self.failure(Code.IN_DOUBT, str(exc))
            await cluster.wait_change(min(_BUSY_PAUSE, self._left(job)))
            return None
        return await self._judge_write(job, lease, answer)

    async def _judge_write(
        self, job: Job, lease: Lease, answer: Answer
    ) -> Answer | None:
        now = self._clock.now()
        member = lease.member
        if answer.succeeded and answer.signed:
            took = lease.wire.answered_at - lease.wire.sent_at
            member.record.answered(took, answer.position, now)
            self.cluster.led(lease, answer)
            job.session.committed(answer.position)
            return answer
        code = answer.code or Code.IN_DOUBT
        self.cluster.telemetry.count(f'writes_{code.name.lower()}')
        job.tried[member.server.server_id] = code.value
        job.sent = code not in NOT_RUN
        if code is Code.READ_ONLY:
            self.cluster.not_leading(member)
            return None
        if code is Code.UNKNOWN_STATEMENT:
            lease.wire.prepared.clear()
            return None
        if code in NOT_RUN:
            job.refusals += 1
            await self._pause(job, _BUSY_PAUSE * job.refusals)
            return None
        if answer.succeeded:
            return self.failure(Code.IN_DOUBT, 'the answer is not signed')
        return answer
