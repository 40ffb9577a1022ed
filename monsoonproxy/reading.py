"""Runs reads outside transactions."""

import asyncio
from functools import partial

import attrs

from monsoonproxy import selection
from monsoonproxy.clock import seconds
from monsoonproxy.clusters import Lease, NotLeadingError
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.jobs import NOT_RUN, Attempt, Job
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import OWN_ID, Answer, Code, TransactionState
from monsoonproxy.routes import Freshness
from monsoonproxy.running import LATE_ANSWER, NOT_LEASED, Runner

_log = log_for('read')

#: A read that is not answered after this many times the usual time is sent to
#: another backend server as well.
_HEDGE_FACTOR = 6
#: Bounds in ms of that time. Below, the tail of ordinary reads would be sent
#: twice; above, an operation's objective is missed.
_HEDGE_LEAST = 60
_HEDGE_MOST = 150
#: Attempts of one read that may be in work at once.
_MOST_ATTEMPTS = 3
#: A read at the leader is sent again only after this time in ms, and only if
#: the leader answered others since: the answer is probably lost then. An
#: overloaded leader would get even more to do.
_LEADER_HEDGE = 300


async def read(runner: Runner, job: Job) -> Answer:
    """Run a read.

    :param runner: What it runs on.
    :param job: The read.
    :returns: The answer; a promise that nothing is kept if there is none in
        time.
    """
    return await _Reading(runner, job).run()


@attrs.frozen
class _Target:
    """Where to send a read.

    :param member: The backend server.
    :param floor: Position that its log must have; ``None`` for the leader.
    """

    member: Member
    floor: Position | None = None


class _Reading:
    """One read with its attempts."""

    def __init__(self, runner: Runner, job: Job) -> None:
        self._runner = runner
        self._cluster = runner.cluster
        self._job = job
        self._attempts: dict[asyncio.Task[Answer | None], Attempt] = {}
        self._lagging = False
        #: Whether only the leader can tell how recent the data must be.
        self._lacks_floor = False

    async def run(self) -> Answer:
        """Make attempts until one succeeds or the time is over."""
        self._runner.hedges.record_try(self._runner.clock.now())
        while self._left > 0 and not self._is_hopeless:
            await self._attempt_again()
            answer = await self._first_answer()
            if answer is not None:
                self._give_up()
                return answer
        self._give_up()
        code = Code.LAGGING if self._lagging else Code.BUSY
        return self._runner.failure(code, f'not read: {self._job.tried}')

    def _give_up(self) -> None:
        self._job.given_up = True
        for attempt in self._attempts.values():
            self._job.session.outlived(attempt)

    @property
    def _left(self) -> float:
        return self._runner.left(self._job)

    @property
    def _is_hopeless(self) -> bool:
        """Tell whether only other daemons can serve the read now."""
        needs_leader = self._job.needs_leader
        if self._lacks_floor and not self._attempts:
            needs_leader = True
        return needs_leader and self._runner.leaders.is_unavailable

    async def _attempt_again(self) -> None:
        pending = len(self._attempts)
        if not self._may_attempt(pending):
            return
        target = await self._next_target()
        if target is None:
            if not pending:
                await self._wait_for_targets()
        elif not pending or self._may_hedge(target.member):
            self._begin(target)

    async def _wait_for_targets(self) -> None:
        self._lagging = Code.LAGGING.value in self._job.tried.values()
        self._job.tried.clear()
        await self._runner.pause(self._job)

    def _may_hedge(self, member: Member) -> bool:
        """Tell whether the read may be sent to another backend server as well.

        One that answers other reads in time and has nothing of this daemon in
        work loses nothing. While all are overloaded, the budget keeps reads
        from being doubled.
        """
        telemetry, now = self._cluster.telemetry, self._runner.clock.now()
        if not member.outstanding and member.stats.is_timely(now):
            telemetry.count('reads_hedged_freely')
        elif not self._runner.hedges.take(now):
            telemetry.count('hedges_denied')
            return False
        telemetry.count('reads_hedged')
        _log.bind(**self._fields()).debug('Read sent again')
        return True

    def _fields(self) -> dict[str, object]:
        job = self._job
        return {
            'request': job.request_id.decode(errors='replace'),
            'waited_ms': self._runner.clock.now() - job.arrived,
            'tried': job.tried,
        }

    def _may_attempt(self, pending: int) -> bool:
        if not self._job.needs_leader or not pending:
            return pending < _MOST_ATTEMPTS
        leader = self._cluster.leader
        arrived = self._job.arrived
        waited = self._runner.clock.now() - arrived
        overtaken = leader and leader.answered_at - arrived > _LEADER_HEDGE
        return pending < 2 and waited > _LEADER_HEDGE and bool(overtaken)

    async def _next_target(self) -> _Target | None:
        job = self._job
        if job.needs_leader:
            leader = await self._cluster.wait_for_leader(self._left)
            return _Target(leader) if leader else None
        if self._attempts:
            # An answer may come while a new position is waited for.
            floor = self._runner.known_floor(job)
        else:
            floor = await self._runner.required_floor(job)
        self._lacks_floor = floor is None
        if floor is None:
            return None
        option = selection.choose(
            self._cluster.options(),
            floor,
            job.tried,
            self._runner.clock.now(),
        )
        if option is None:
            return None
        return _Target(self._cluster.members[option.name], floor)

    def _begin(self, target: _Target) -> None:
        member = target.member
        attempt = Attempt()
        if self._job.needs_leader:
            reading = self._read_leader(attempt, member)
        else:
            self._job.tried[member.server.server_id] = 'sent'
            reading = self._read_once(attempt, member, target.floor)
        attempt.task = self._runner.background.spawn(reading)
        self._attempts[attempt.task] = attempt
        member.reads += 1
        attempt.task.add_done_callback(partial(_ended, member))

    async def _first_answer(self) -> Answer | None:
        """Wait until an attempt succeeds or another one should be made."""
        if not self._attempts:
            return None
        limit = self._left
        if len(self._attempts) < _MOST_ATTEMPTS:
            limit = min(limit, self._hedge_after())
        done, _pending = await asyncio.wait(
            self._attempts,
            timeout=seconds(1) * max(1, limit),
            return_when=asyncio.FIRST_COMPLETED,
        )
        answers = [task.result() for task in done]
        for ended in done:
            self._attempts.pop(ended)
        return next((answer for answer in answers if answer is not None), None)

    def _hedge_after(self) -> float:
        members = self._cluster.members.values()
        usual = [member.stats.latency for member in members]
        expected = _HEDGE_FACTOR * min(usual, default=_HEDGE_LEAST)
        return min(_HEDGE_MOST, max(_HEDGE_LEAST, expected))

    async def _read_once(
        self, attempt: Attempt, member: Member, floor: Position | None
    ) -> Answer | None:
        """Read from one backend server.

        :returns: The answer for the caller, or ``None`` if another backend
            server is to be tried.
        """
        cluster, job = self._cluster, self._job
        try:
            async with cluster.leased(member, self._claim()) as lease:
                if job.given_up:
                    # The caller may have set other values since its answer.
                    lease.clean = True
                    return None
                attempt.wire = lease.conn
                await self._runner.adopt(lease, job)
                payload = cluster.dialect.query(job.request_id, job.text, floor)
                answers = await cluster.exchange(
                    lease, payload, 1, self._left + LATE_ANSWER
                )
                lease.clean = answers[0].state is TransactionState.IDLE
                return self._judge(lease, answers[0], floor)
        except NOT_LEASED as exc:
            job.tried[member.server.server_id] = str(exc)
        except ConnectionLostError as exc:
            self._note_loss(member, exc)
        return None

    async def _read_leader(
        self, attempt: Attempt, member: Member
    ) -> Answer | None:
        """Read in a transaction that only a leader accepts."""
        cluster, job = self._cluster, self._job
        name = member.server.server_id
        try:
            async with cluster.leased(member, self._claim()) as lease:
                if job.given_up:
                    lease.clean = True
                    return None
                attempt.wire = lease.conn
                await self._runner.adopt(lease, job)
                begun = await cluster.begin(lease, self._left)
                if begun.succeeded:
                    return await self._read_in_transaction(lease)
                job.tried[name] = begun.reason
        except NotLeadingError:
            job.tried[name] = 'not leading'
        except NOT_LEASED as exc:
            job.tried[name] = str(exc)
        except ConnectionLostError as exc:
            self._note_loss(member, exc)
        return None

    async def _read_in_transaction(self, lease: Lease) -> Answer | None:
        cluster, job = self._cluster, self._job
        dialect = cluster.dialect
        payload = dialect.query(job.request_id, job.text)
        payload += dialect.query(OWN_ID, dialect.rollback())
        answer, ended = await cluster.exchange(
            lease, payload, 2, self._left + LATE_ANSWER
        )
        lease.clean = ended.state is TransactionState.IDLE
        if answer.code is Code.READ_ONLY:
            cluster.mark_not_leading(lease.member)
        elif answer.succeeded:
            cluster.confirm_leader(lease, answer)
            answer = attrs.evolve(answer, state=TransactionState.IDLE)
        return self._judge(lease, answer, None)

    def _judge(
        self, lease: Lease, answer: Answer, floor: Position | None
    ) -> Answer | None:
        """Learn from an answer; return it if it is for the caller."""
        member = lease.member
        record = member.stats
        now = self._runner.clock.now()
        where = 'leader' if member is self._cluster.leader else 'replica'
        if answer.succeeded and answer.signed:
            took = lease.conn.answered_at - lease.conn.sent_at
            record.answered(took, answer.position, now)
            self._cluster.telemetry.count(f'reads_at_{where}')
            return answer
        code = answer.code or Code.FAILED
        self._cluster.telemetry.count(f'reads_{code.name.lower()}_at_{where}')
        self._job.tried[member.server.server_id] = code.value
        self._runner.judge_session(lease, answer)
        if code is Code.LAGGING and floor is not None:
            record.lagged(floor, now)
        elif code not in NOT_RUN:
            record.failed(now, lost=False)
        return None

    def _claim(self) -> LeaseRequest:
        return LeaseRequest(self._left, self._job.priority, single=True)

    def _note_loss(self, member: Member, exc: ConnectionLostError) -> None:
        member.stats.failed(self._runner.clock.now(), lost=True)
        self._job.session.may_run_until(exc.runs_until)
        self._job.tried[member.server.server_id] = str(exc)


def _ended(member: Member, _task: 'asyncio.Task[Answer | None]') -> None:
    member.reads -= 1


def runs_at_leader(job: Job, *, read_only: bool) -> bool:
    """Tell whether a transaction must run at the leader.

    :param job: A statement of it.
    :param read_only: Whether it only reads.
    :returns: Whether no replica may run it.
    """
    return not read_only or job.route.freshness is Freshness.PRIMARY
