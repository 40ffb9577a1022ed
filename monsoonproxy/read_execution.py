"""Runs reads outside transactions, with hedged attempts.

A read that is not answered in time is also sent to another backend server, and
the first answer is used.
"""

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
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.limiters import OverloadError
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

#: A read is hedged, that is, also sent to another backend server, after this
#: multiple of the lowest usual latency among the members of its cluster.
_HEDGE_LATENCY_FACTOR = 6
#: Bounds of the hedge delay. With a shorter delay the slowest ordinary reads
#: would be sent twice; with a longer one an operation misses its objective.
_MIN_HEDGE_DELAY_MS = 60
_MAX_HEDGE_DELAY_MS = 150
#: Limit of concurrent attempts of one read.
_MAX_ATTEMPTS = 3
#: Delay before a read is sent to the leader a second time. It is sent only if
#: the leader answered other statements that long after the read arrived: then
#: the answer was probably lost. A leader that answers nothing may be
#: overloaded, and a second attempt would add to its load.
_LEADER_HEDGE_DELAY_MS = 300


async def read(runner: StatementRunner, stmt: PendingStatement) -> Answer:
    """Run a read.

    :param runner: Runs statements on the backend servers of the service.
    :param stmt: The read.
    :returns: The answer, or an error answer if no backend server answered
        before the deadline.
    """
    return await _HedgedRead(runner, stmt).run()


@attrs.frozen
class _Target:
    """The backend server to which an attempt sends a read.

    :param member: The backend server.
    :param floor: Position that its log must have reached; ``None`` for the
        leader.
    """

    member: Member
    floor: Position | None = None


class _HedgedRead:
    """A read and its concurrent attempts."""

    def __init__(self, runner: StatementRunner, stmt: PendingStatement) -> None:
        self._runner = runner
        self._cluster = runner.cluster
        self._stmt = stmt
        self._attempts: dict[asyncio.Task[Answer | None], Attempt] = {}
        self._lagging = False
        #: Why a backend server could not serve it in time, if one could not.
        self._overload: OverloadError | None = None
        #: Whether all of them could not.
        self._is_refused = False
        #: Whether no known position is recent enough to serve as the floor, so
        #: that the leader has to be asked for its position.
        self._lacks_floor = False

    async def run(self) -> Answer:
        """Start attempts until one succeeds or the deadline has passed."""
        while self._time_left > 0 and not self._is_unservable:
            await self._start_next_attempt()
            answer = await self._wait_for_answer()
            if answer is not None:
                self._abandon_attempts()
                budget = self._runner.hedge_budget
                budget.record_try(self._runner.clock.now())
                return answer
            if self._overload is not None and self._is_refused:
                return self._runner.overload_failure(self._overload)
        self._abandon_attempts()
        code = Code.LAGGING if self._lagging else Code.BUSY
        return self._runner.failure(
            code, f'read not served; backend servers tried: {self._stmt.tried}'
        )

    def _abandon_attempts(self) -> None:
        self._stmt.abandoned = True
        for attempt in self._attempts.values():
            self._stmt.session.add_late_attempt(attempt)

    @property
    def _time_left(self) -> float:
        return self._runner.time_left(self._stmt)

    @property
    def _is_unservable(self) -> bool:
        """Tell whether this daemon can't serve the read, but others may.

        That is so if the read needs the leader, as target or for its current
        position, and the leader can't be reached from here.
        """
        needs_leader = self._stmt.needs_leader
        if self._lacks_floor and not self._attempts:
            needs_leader = True
        return needs_leader and self._runner.leaders.is_unavailable

    async def _start_next_attempt(self) -> None:
        pending = len(self._attempts)
        if not self._may_attempt(pending):
            return
        target = await self._next_target()
        if target is None:
            await self._wait_for_targets(pending)
        elif not pending or self._may_hedge(target.member):
            self._start_attempt(target)

    async def _wait_for_targets(self, pending: int) -> None:
        """Wait until a backend server may be tried again, if none was left."""
        if pending:
            return
        if self._overload is not None:
            self._is_refused = True
            return
        self._lagging = Code.LAGGING.value in self._stmt.tried.values()
        self._stmt.tried.clear()
        await self._runner.back_off(self._stmt)

    def _may_hedge(self, member: Member) -> bool:
        """Tell whether the read may also be sent to this backend server.

        A backend server that answers other reads in time and runs no statement
        of this daemon can take it without using the hedge budget. The budget
        prevents reads from being doubled while all backend servers are
        overloaded.
        """
        telemetry, now = self._cluster.telemetry, self._runner.clock.now()
        if not member.outstanding and member.stats.is_timely(now):
            telemetry.count('reads_hedged_freely')
        elif self._overload is not None or member.stats.is_congested:
            telemetry.count('hedges_denied')
            return False
        elif not self._runner.hedge_budget.take(now):
            telemetry.count('hedges_denied')
            return False
        telemetry.count('reads_hedged')
        _log.bind(**self._log_fields()).debug(
            'Read not answered in time; sending it to another backend server'
        )
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
            leader = await self._cluster.lead.wait(self._time_left)
            return _Target(leader) if leader else None
        if self._attempts:
            # Doesn't wait for a new position: a pending attempt may answer
            # meanwhile.
            floor = self._runner.known_floor(stmt)
        else:
            floor = await self._runner.required_floor(stmt)
        self._lacks_floor = floor is None
        if floor is None:
            return None
        option = selection.choose(
            self._cluster.options(stmt.organisation),
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
        """Wait until an attempt ends or the next one should be started.

        :returns: The answer of an attempt that succeeded, if any.
        """
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
        usual = [member.stats.latency for member in members]
        expected = _HEDGE_LATENCY_FACTOR * min(
            usual, default=_MIN_HEDGE_DELAY_MS
        )
        return min(_MAX_HEDGE_DELAY_MS, max(_MIN_HEDGE_DELAY_MS, expected))

    async def _read_at_floor(
        self, attempt: Attempt, member: Member, floor: Position | None
    ) -> Answer | None:
        """Read from one backend server whose log has reached the floor.

        :returns: The answer for the caller, or ``None`` if another backend
            server has to be tried.
        """
        cluster, stmt = self._cluster, self._stmt
        try:
            async with cluster.leased(member, self._lease_request()) as lease:
                if stmt.abandoned:
                    # The caller was answered, and may have changed its session
                    # values since. The connection was not used.
                    lease.clean = True
                    return None
                attempt.wire = lease.conn
                await self._runner.apply_session(lease, stmt)
                payload = cluster.dialect.query(
                    stmt.request_id, stmt.text, floor
                )
                stmt.sent = True
                answers = await cluster.exchange(
                    lease, payload, 1, self._time_left + LATE_ANSWER_MS
                )
                lease.clean = answers[0].state is TransactionState.IDLE
                return self._handle_answer(lease, answers[0], floor)
        except LEASE_ERRORS as exc:
            if isinstance(exc, OverloadError):
                self._overload = exc
            stmt.tried[member.server.server_id] = str(exc)
        except ConnectionLostError as exc:
            self._record_connection_loss(member, exc)
        return None

    async def _read_at_leader(
        self, attempt: Attempt, member: Member
    ) -> Answer | None:
        """Read at the leader.

        Uses a read-write transaction, which only a leader accepts, so that a
        replaced primary can't serve the read.
        """
        cluster, stmt = self._cluster, self._stmt
        name = member.server.server_id
        try:
            async with cluster.leased(member, self._lease_request()) as lease:
                if stmt.abandoned:
                    lease.clean = True
                    return None
                attempt.wire = lease.conn
                await self._runner.apply_session(lease, stmt)
                begun = await cluster.begin(lease, self._time_left)
                if begun.succeeded:
                    return await self._read_in_transaction(lease)
                stmt.tried[name] = begun.reason
        except NotLeadingError:
            stmt.tried[name] = 'not the leader'
        except LEASE_ERRORS as exc:
            if isinstance(exc, OverloadError):
                self._overload, self._is_refused = exc, True
            stmt.tried[name] = str(exc)
        except ConnectionLostError as exc:
            self._record_connection_loss(member, exc)
        return None

    async def _read_in_transaction(self, lease: Lease) -> Answer | None:
        cluster, stmt = self._cluster, self._stmt
        dialect = cluster.dialect
        payload = dialect.query(stmt.request_id, stmt.text)
        payload += dialect.query(INTERNAL_ID, dialect.rollback())
        stmt.sent = True
        answer, ended = await cluster.exchange(
            lease, payload, 2, self._time_left + LATE_ANSWER_MS
        )
        lease.clean = ended.state is TransactionState.IDLE
        if answer.code is Code.READ_ONLY:
            cluster.lead.mark_not_leading(lease.member)
        elif answer.succeeded:
            cluster.lead.confirm(lease.member, lease.conn.sent_at, answer)
            answer = attrs.evolve(answer, state=TransactionState.IDLE)
        return self._handle_answer(lease, answer, None)

    def _handle_answer(
        self, lease: Lease, answer: Answer, floor: Position | None
    ) -> Answer | None:
        """Update the member's statistics with an answer.

        :returns: The answer if it is for the caller, or ``None`` if another
            attempt has to be made.
        """
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
        self._stmt.tried[member.server.server_id] = code.value
        self._runner.drop_unknown_prepared(lease, answer)
        if code is Code.LAGGING and floor is not None:
            record.lagged(floor, now)
        elif code not in NOT_RUN_CODES:
            record.failed(now, lost=False)
        return None

    def _lease_request(self) -> LeaseRequest:
        return self._runner.lease_request(self._stmt, single=True)

    def _record_connection_loss(
        self, member: Member, exc: ConnectionLostError
    ) -> None:
        member.stats.failed(self._runner.clock.now(), lost=True)
        self._stmt.session.extend_runs_until(exc.runs_until)
        self._stmt.tried[member.server.server_id] = str(exc)


def _attempt_ended(
    member: Member, _task: 'asyncio.Task[Answer | None]'
) -> None:
    member.reads -= 1


def runs_at_leader(stmt: PendingStatement, *, read_only: bool) -> bool:
    """Tell whether a transaction must run at the leader.

    :param stmt: A statement of the transaction.
    :param read_only: Whether the transaction was begun as read-only.
    :returns: Whether no replica may run the transaction.
    """
    return not read_only or stmt.route.freshness is Freshness.PRIMARY
