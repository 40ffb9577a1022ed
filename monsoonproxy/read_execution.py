"""Runs reads outside transactions."""

import asyncio
from functools import partial

import attrs

from monsoonproxy import selection
from monsoonproxy.client_sessions import (
    NOT_RUN_CODES,
    Attempt,
    PendingStatement,
)
from monsoonproxy.clock import seconds
from monsoonproxy.clusters import Lease, NotLeadingError
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.lanes import Claim
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import INTERNAL_ID, Answer, Code, TransactionState
from monsoonproxy.routes import Freshness
from monsoonproxy.statement_runner import (
    LATE_ANSWER_MS,
    LEASE_ERRORS,
    StatementRunner,
)

_log = log_for('read')

#: A read that is not answered after this many times the usual time is sent to
#: another backend server as well.
_HEDGE_LATENCY_FACTOR = 6
#: Bounds in ms of that time. Below, the tail of ordinary reads would be sent
#: twice; above, an operation's objective is missed.
_MIN_HEDGE_DELAY_MS = 60
_MAX_HEDGE_DELAY_MS = 150
#: Attempts of one read that may be in work at once.
_MAX_ATTEMPTS = 3
#: A read at the leader is sent again only after this time in ms, and only if
#: the leader answered others since: the answer is probably lost then. An
#: overloaded leader would get even more to do.
_LEADER_HEDGE_DELAY_MS = 300


async def read(runner: StatementRunner, stmt: PendingStatement) -> Answer:
    """Run a read.

    :param runner: What it runs on.
    :param stmt: The read.
    :returns: The answer; a promise that nothing is kept if there is none in
        time.
    """
    return await _HedgedRead(runner, stmt).run()


@attrs.frozen
class _Target:
    """Where to send a read.

    :param member: The backend server.
    :param floor: Position that its log must have; ``None`` for the leader.
    """

    member: Member
    floor: Position | None = None


class _HedgedRead:
    """One read with its attempts."""

    def __init__(self, runner: StatementRunner, stmt: PendingStatement) -> None:
        self._runner = runner
        self._cluster = runner.cluster
        self._stmt = stmt
        self._attempts: dict[asyncio.Task[Answer | None], Attempt] = {}
        self._lagging = False
        #: Whether only the leader can tell how recent the data must be.
        self._lacks_floor = False

    async def run(self) -> Answer:
        """Make attempts until one succeeds or the time is over."""
        self._runner.hedge_budget.record_try(self._runner.clock.now())
        while self._time_left > 0 and not self._is_unservable:
            await self._start_next_attempt()
            answer = await self._wait_for_answer()
            if answer is not None:
                self._abandon_attempts()
                return answer
        self._abandon_attempts()
        code = Code.LAGGING if self._lagging else Code.BUSY
        return self._runner.failure(code, f'not read: {self._stmt.tried}')

    def _abandon_attempts(self) -> None:
        self._stmt.abandoned = True
        for attempt in self._attempts.values():
            self._stmt.session.add_late_attempt(attempt)

    @property
    def _time_left(self) -> float:
        return self._runner.time_left(self._stmt)

    @property
    def _is_unservable(self) -> bool:
        """Tell whether only other daemons can serve the read now."""
        needs_leader = self._stmt.needs_leader
        if self._lacks_floor and not self._attempts:
            needs_leader = True
        return needs_leader and self._runner.leaders.is_hopeless

    async def _start_next_attempt(self) -> None:
        pending = len(self._attempts)
        if not self._may_attempt(pending):
            return
        target = await self._next_target()
        if target is None:
            if not pending:
                await self._wait_for_targets()
        elif not pending or self._may_hedge(target.member):
            self._start_attempt(target)

    async def _wait_for_targets(self) -> None:
        self._lagging = Code.LAGGING.value in self._stmt.tried.values()
        self._stmt.tried.clear()
        await self._runner.back_off(self._stmt)

    def _may_hedge(self, member: Member) -> bool:
        """Tell whether the read may be sent to another backend server as well.

        One that answers other reads in time and has nothing of this daemon in
        work loses nothing. While all are overloaded, the budget keeps reads
        from being doubled.
        """
        telemetry, now = self._cluster.telemetry, self._runner.clock.now()
        if not member.in_work and member.record.is_timely(now):
            telemetry.count('reads_hedged_freely')
        elif not self._runner.hedge_budget.take(now):
            telemetry.count('hedges_denied')
            return False
        telemetry.count('reads_hedged')
        _log.bind(**self._log_fields()).debug('Read sent again')
        return True

    def _log_fields(self) -> dict[str, object]:
        stmt = self._stmt
        return {
            'request': stmt.request_id.decode(errors='replace'),
            'waited_ms': self._runner.clock.now() - stmt.arrived,
            'tried': stmt.tried,
        }

    def _may_attempt(self, pending: int) -> bool:
        if not self._stmt.needs_leader or not pending:
            return pending < _MAX_ATTEMPTS
        leader = self._cluster.leader
        arrived = self._stmt.arrived
        waited = self._runner.clock.now() - arrived
        leader_answers = (
            leader and leader.answered_at - arrived > _LEADER_HEDGE_DELAY_MS
        )
        return (
            pending < 2
            and waited > _LEADER_HEDGE_DELAY_MS
            and bool(leader_answers)
        )

    async def _next_target(self) -> _Target | None:
        stmt = self._stmt
        if stmt.needs_leader:
            leader = await self._cluster.wait_leader(self._time_left)
            return _Target(leader) if leader else None
        if self._attempts:
            # An answer may come while a new position is waited for.
            floor = self._runner.known_floor(stmt)
        else:
            floor = await self._runner.required_floor(stmt)
        self._lacks_floor = floor is None
        if floor is None:
            return None
        option = selection.choose(
            self._cluster.options(),
            floor,
            stmt.tried,
            self._runner.clock.now(),
        )
        if option is None:
            return None
        return _Target(self._cluster.members[option.name], floor)

    def _start_attempt(self, target: _Target) -> None:
        member = target.member
        attempt = Attempt()
        if self._stmt.needs_leader:
            reading = self._read_at_leader(attempt, member)
        else:
            self._stmt.tried[member.server.server_id] = 'sent'
            reading = self._read_at_floor(attempt, member, target.floor)
        attempt.task = self._runner.background.spawn(reading)
        self._attempts[attempt.task] = attempt
        member.reads += 1
        attempt.task.add_done_callback(partial(_attempt_ended, member))

    async def _wait_for_answer(self) -> Answer | None:
        """Wait until an attempt succeeds or another one should be made."""
        if not self._attempts:
            return None
        limit = self._time_left
        if len(self._attempts) < _MAX_ATTEMPTS:
            limit = min(limit, self._hedge_delay())
        done, _pending = await asyncio.wait(
            self._attempts,
            timeout=seconds(1) * max(1, limit),
            return_when=asyncio.FIRST_COMPLETED,
        )
        answers = [task.result() for task in done]
        for ended in done:
            self._attempts.pop(ended)
        return next((answer for answer in answers if answer is not None), None)

    def _hedge_delay(self) -> float:
        members = self._cluster.members.values()
        usual = [member.record.latency for member in members]
        expected = _HEDGE_LATENCY_FACTOR * min(
            usual, default=_MIN_HEDGE_DELAY_MS
        )
        return min(_MAX_HEDGE_DELAY_MS, max(_MIN_HEDGE_DELAY_MS, expected))

    async def _read_at_floor(
        self, attempt: Attempt, member: Member, floor: Position | None
    ) -> Answer | None:
        """Read from one backend server.

        :returns: The answer for the caller, or ``None`` if another backend
            server is to be tried.
        """
        cluster, stmt = self._cluster, self._stmt
        try:
            async with cluster.leased(member, self._lease_request()) as lease:
                if stmt.abandoned:
                    # The caller may have set other values since its answer.
                    lease.clean = True
                    return None
                attempt.wire = lease.wire
                await self._runner.apply_session(lease, stmt)
                payload = cluster.dialect.query(
                    stmt.request_id, stmt.text, floor
                )
                answers = await cluster.exchange(
                    lease, payload, 1, self._time_left + LATE_ANSWER_MS
                )
                lease.clean = answers[0].state is TransactionState.IDLE
                return self._handle_answer(lease, answers[0], floor)
        except LEASE_ERRORS as exc:
            stmt.tried[member.server.server_id] = str(exc)
        except ConnectionLostError as exc:
            self._record_connection_loss(member, exc)
        return None

    async def _read_at_leader(
        self, attempt: Attempt, member: Member
    ) -> Answer | None:
        """Read in a transaction that only a leader accepts."""
        cluster, stmt = self._cluster, self._stmt
        name = member.server.server_id
        try:
            async with cluster.leased(member, self._lease_request()) as lease:
                if stmt.abandoned:
                    lease.clean = True
                    return None
                attempt.wire = lease.wire
                await self._runner.apply_session(lease, stmt)
                begun = await cluster.begin(lease, self._time_left)
                if begun.succeeded:
                    return await self._read_in_transaction(lease)
                stmt.tried[name] = begun.reason
        except NotLeadingError:
            stmt.tried[name] = 'not leading'
        except LEASE_ERRORS as exc:
            stmt.tried[name] = str(exc)
        except ConnectionLostError as exc:
            self._record_connection_loss(member, exc)
        return None

    async def _read_in_transaction(self, lease: Lease) -> Answer | None:
        cluster, stmt = self._cluster, self._stmt
        dialect = cluster.dialect
        payload = dialect.query(stmt.request_id, stmt.text)
        payload += dialect.query(INTERNAL_ID, dialect.rollback())
        answer, ended = await cluster.exchange(
            lease, payload, 2, self._time_left + LATE_ANSWER_MS
        )
        lease.clean = ended.state is TransactionState.IDLE
        if answer.code is Code.READ_ONLY:
            cluster.not_leading(lease.member)
        elif answer.succeeded:
            cluster.led(lease, answer)
            answer = attrs.evolve(answer, state=TransactionState.IDLE)
        return self._handle_answer(lease, answer, None)

    def _handle_answer(
        self, lease: Lease, answer: Answer, floor: Position | None
    ) -> Answer | None:
        """Learn from an answer; return it if it is for the caller."""
        member = lease.member
        record = member.record
        now = self._runner.clock.now()
        where = 'leader' if member is self._cluster.leader else 'replica'
        if answer.succeeded and answer.signed:
            took = lease.wire.answered_at - lease.wire.sent_at
            record.answered(took, answer.position, now)
            self._cluster.telemetry.count(f'reads_at_{where}')
            return answer
        code = answer.code or Code.FAILED
        self._cluster.telemetry.count(f'reads_{code.name.lower()}_at_{where}')
        self._stmt.tried[member.server.server_id] = code.value
        self._runner.drop_unknown_prepared(lease, answer)
        if code is Code.LAGGING and floor is not None:
            record.lagged(floor, now)
        elif code not in NOT_RUN_CODES:
            record.failed(now, lost=False)
        return None

    def _lease_request(self) -> Claim:
        return Claim(self._time_left, self._stmt.priority, single=True)

    def _record_connection_loss(
        self, member: Member, exc: ConnectionLostError
    ) -> None:
        member.record.failed(self._runner.clock.now(), lost=True)
        self._stmt.session.extend_runs_until(exc.runs_until)
        self._stmt.tried[member.server.server_id] = str(exc)


def _attempt_ended(
    member: Member, _task: 'asyncio.Task[Answer | None]'
) -> None:
    member.reads -= 1


def runs_at_leader(stmt: PendingStatement, *, read_only: bool) -> bool:
    """Tell whether a transaction must run at the leader.

    :param stmt: A statement of it.
    :param read_only: Whether it only reads.
    :returns: Whether no replica may run it.
    """
    return not read_only or stmt.route.freshness is Freshness.PRIMARY
