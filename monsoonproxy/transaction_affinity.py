"""Transaction affinity: runs all statements of a transaction on one connection.

The connection to a backend server is leased for the whole transaction.
"""

import attrs

from monsoonproxy import handover, selection
from monsoonproxy.client_sessions import NOT_RUN_CODES, PendingStatement
from monsoonproxy.clock import Millis
from monsoonproxy.clusters import Cluster, Lease, NotLeadingError
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.limiters import OverloadError
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.read_execution import runs_at_leader
from monsoonproxy.statement_runner import (
    BUSY_BACKOFF_MS,
    CONNECTION_ERRORS,
    StatementRunner,
)

#: Time limit for a rollback, after which its connection is closed. A rollback
#: needs no execution slot at the backend server, so it is answered quickly.
_ROLLBACK_TIMEOUT_MS = 500
#: Backend servers without room after which a transaction that a replica may
#: run is refused.
_MAX_OVERLOADED = 2
#: Codes after which a statement may be sent again in the same transaction,
#: since it did not run and the transaction is still open.
_RETRYABLE_CODES = frozenset((Code.BUSY, Code.UNKNOWN_STATEMENT))


@attrs.define
class Transaction:
    """An open transaction of a caller.

    A connection is leased at the first statement after ``BEGIN``, so that none
    is held while the caller pauses before that statement.

    :param runner: Runs statements on the backend servers of the service.
    :param read_only: Whether the caller began it as read-only, so that a
        replica may run it if the route allows that.
    :param last_used_at: Time at which its latest statement ended.
    :param has_written: Whether one of its writes ran.
    :param length: Number of its statements that ran.
    :param admitted: Whether it was counted towards its organisation's limit.
    :param failed: Whether the caller can only roll it back.
    :param reason: Why the daemon ended it, if it did and the caller was not
        told yet.
    """

    runner: StatementRunner
    read_only: bool
    last_used_at: Millis
    has_written: bool = False
    length: int = 0
    admitted: bool = False
    failed: bool = False
    reason: str = ''
    _lease: Lease | None = None
    _overloads: list[OverloadError] = attrs.Factory(list)

    async def run(self, stmt: PendingStatement) -> Answer:
        """Run a read or a write on the transaction's connection.

        :param stmt: The statement.
        :returns: The answer; an error answer if no connection was leased
            before the deadline.
        """
        lease = await self._acquire_lease(stmt)
        if lease is None:
            self.failed = True
            return self._not_begun_answer(stmt, TransactionState.FAILED)
        answer = await self._send(stmt, lease)
        self.last_used_at = self.runner.clock.now()
        return answer

    async def commit(self, stmt: PendingStatement) -> Answer:
        """Commit, and release the connection.

        :param stmt: The commit statement.
        :returns: The answer. The transaction has ended, also after an error.
        """
        if self.failed:
            self.end()
            return self._end_answer(
                Code.ABORTED, 'the transaction had failed before its commit'
            )
        lease = await self._acquire_lease(stmt)
        if lease is None:
            return self._not_begun_answer(stmt, TransactionState.IDLE)
        answer = await self._send_commit(stmt, lease)
        lease.clean = answer.code not in {Code.IN_DOUBT, Code.ABORTED}
        self._release()
        if not self.has_written:
            return answer
        return await handover.hold_acknowledgement(
            self.runner, stmt, lease.member, answer
        )

    def end(self) -> None:
        """Roll back in the background and release the connection.

        A connection that is busy or closed is released at once; closing it
        makes the backend server roll back.
        """
        lease = self._lease
        if lease is None:
            return
        if lease.conn.busy or lease.conn.closed:
            self._release()
            return
        self._lease = None
        self.runner.background.spawn(self._roll_back_and_release(lease))

    @property
    def _cluster(self) -> Cluster:
        return self.runner.cluster

    def _end_answer(self, code: Code, reason: str) -> Answer:
        return self.runner.failure(code, reason, TransactionState.IDLE)

    def _not_begun_answer(
        self, stmt: PendingStatement, state: TransactionState
    ) -> Answer:
        if self._overloads:
            return self.runner.overload_failure(self._overloads[-1], state)
        reason = f'transaction not begun; backend servers tried: {stmt.tried}'
        return self.runner.failure(Code.BUSY, reason, state)

    def _fail(self, reason: str) -> Answer:
        self.failed = True
        state = TransactionState.FAILED
        return self.runner.failure(Code.ABORTED, reason, state)

    def _release(self) -> None:
        lease, self._lease = self._lease, None
        if lease is not None:
            self._cluster.release(lease)

    async def _roll_back_and_release(self, lease: Lease) -> None:
        text = self._cluster.dialect.rollback()
        try:
            answer = await self._cluster.internal_statement(
                lease, text, _ROLLBACK_TIMEOUT_MS
            )
            lease.clean = answer.state is TransactionState.IDLE
        except ConnectionLostError:
            lease.clean = False
        finally:
            self._cluster.release(lease)

    # Leasing a connection and beginning the transaction on it.

    async def _acquire_lease(self, stmt: PendingStatement) -> Lease | None:
        """Return the transaction's lease, and begin if there is none yet.

        :returns: The lease, or ``None`` if no backend server began the
            transaction before the deadline.
        """
        at_leader = runs_at_leader(stmt, read_only=self.read_only)
        needs_leader = at_leader
        while self._lease is None and self._may_begin(
            stmt, needs_leader=needs_leader
        ):
            if at_leader:
                await self._begin_at_leader(stmt)
            else:
                await self._begin_at_replica(stmt)
                needs_leader = stmt.floor is None
        return self._lease

    def _may_begin(self, stmt: PendingStatement, *, needs_leader: bool) -> bool:
        """Tell whether another backend server is to be tried."""
        if needs_leader and self.runner.leaders.is_unavailable:
            return False
        most = 1 if needs_leader else _MAX_OVERLOADED
        is_overloaded = len(self._overloads) >= most
        return self.runner.time_left(stmt) > 0 and not is_overloaded

    async def _begin_at_leader(self, stmt: PendingStatement) -> None:
        cluster = self._cluster
        leader = await cluster.lead.wait(self.runner.time_left(stmt))
        lease = await self._acquire(stmt, leader) if leader else None
        if lease is None:
            limit = min(BUSY_BACKOFF_MS, self.runner.time_left(stmt))
            await cluster.lead.wait_for_change(limit)
            return
        try:
            await self.runner.apply_session(lease, stmt)
            answer = await cluster.begin(lease, self.runner.time_left(stmt))
        except (NotLeadingError, ConnectionLostError) as exc:
            reason = str(exc) or 'not the leader'
            stmt.tried[lease.member.server.server_id] = reason
            cluster.release(lease)
        else:
            self._finish_begin(stmt, lease, answer)

    async def _begin_at_replica(self, stmt: PendingStatement) -> None:
        cluster = self._cluster
        floor = await self.runner.required_floor(stmt)
        option = None
        if floor is not None:
            now = self.runner.clock.now()
            option = selection.choose(
                cluster.options(stmt.organisation), floor, stmt.tried, now
            )
        if option is None or floor is None:
            stmt.tried.clear()
            await self.runner.back_off(stmt)
            return
        stmt.tried[option.name] = 'sent'
        lease = await self._acquire(stmt, cluster.members[option.name])
        if lease is not None:
            await self._begin_read_only(stmt, lease, floor)

    async def _begin_read_only(
        self, stmt: PendingStatement, lease: Lease, floor: Position
    ) -> None:
        cluster, record = self._cluster, lease.member.stats
        text = cluster.dialect.begin(read_only=True)
        now = self.runner.clock.now()
        try:
            await self.runner.apply_session(lease, stmt)
            answer = await cluster.internal_statement(
                lease, text, self.runner.time_left(stmt), floor
            )
        except ConnectionLostError as exc:
            stmt.tried[lease.member.server.server_id] = str(exc)
            record.failed(now, lost=True)
            cluster.release(lease)
            return
        if answer.code is Code.LAGGING:
            record.lagged(floor, now)
        self._finish_begin(stmt, lease, answer)

    def _finish_begin(
        self, stmt: PendingStatement, lease: Lease, answer: Answer
    ) -> None:
        if answer.succeeded:
            self._lease = lease
            return
        code = answer.code or Code.FAILED
        self._cluster.telemetry.count(f'begins_{code.name.lower()}')
        stmt.tried[lease.member.server.server_id] = code.value
        lease.clean = answer.state is TransactionState.IDLE
        self._cluster.release(lease)

    async def _acquire(
        self, stmt: PendingStatement, member: Member
    ) -> Lease | None:
        claim = self.runner.lease_request(stmt, single=False)
        try:
            return await self._cluster.acquire(member, claim)
        except CONNECTION_ERRORS as exc:
            if isinstance(exc, OverloadError):
                self._overloads.append(exc)
            stmt.tried[member.server.server_id] = str(exc)
            return None

    # Running statements.

    async def _send(self, stmt: PendingStatement, lease: Lease) -> Answer:
        try:
            while True:
                await self.runner.apply_session(lease, stmt)
                answer = await self._exchange(stmt, lease)
                if not self._may_retry(stmt, answer):
                    return self._handle_answer(stmt, lease, answer)
                self.runner.drop_unknown_prepared(lease, answer)
                await self.runner.back_off(stmt)
        except ConnectionLostError as exc:
            stmt.session.extend_runs_until(exc.runs_until)
            # Closing the connection makes the backend server roll back.
            self._release()
            return self._fail(str(exc))

    async def _exchange(self, stmt: PendingStatement, lease: Lease) -> Answer:
        payload = self._cluster.dialect.query(stmt.request_id, stmt.text)
        answers = await self._cluster.exchange(
            lease, payload, 1, self.runner.time_left(stmt)
        )
        return answers[0]

    def _may_retry(self, stmt: PendingStatement, answer: Answer) -> bool:
        is_open = answer.state is TransactionState.OPEN
        in_time = self.runner.time_left(stmt) > BUSY_BACKOFF_MS
        return is_open and in_time and answer.code in _RETRYABLE_CODES

    def _handle_answer(
        self, stmt: PendingStatement, lease: Lease, answer: Answer
    ) -> Answer:
        cluster, member = self._cluster, lease.member
        at_leader = runs_at_leader(stmt, read_only=self.read_only)
        if answer.succeeded and answer.signed:
            took = lease.conn.answered_at - lease.conn.sent_at
            now = self.runner.clock.now()
            member.stats.answered(took, answer.position, now)
            self.has_written = self.has_written or not stmt.is_read
            self.length += 1
            if at_leader:
                cluster.lead.confirm(lease.member, lease.conn.sent_at, answer)
            return answer
        code = answer.code or Code.ABORTED
        cluster.telemetry.count(f'transactions_{code.name.lower()}')
        if code is Code.READ_ONLY and at_leader:
            cluster.lead.mark_not_leading(member)
        self.failed = True
        if answer.state is TransactionState.OPEN or code in NOT_RUN_CODES:
            # The caller's transaction has failed, so the one that is open at
            # the backend server is rolled back as well.
            self.end()
            return self._fail(f'{code.value}: {answer.reason}')
        return answer

    # Committing.

    async def _send_commit(
        self, stmt: PendingStatement, lease: Lease
    ) -> Answer:
        try:
            while True:
                answer = await self._exchange(stmt, lease)
                if not self._may_retry(stmt, answer):
                    return self._handle_commit_answer(stmt, lease, answer)
                await self.runner.back_off(stmt)
        except ConnectionLostError as exc:
            stmt.session.extend_runs_until(exc.runs_until)
            # Without writes there is nothing whose commit could be in doubt.
            code = Code.IN_DOUBT if self.has_written else Code.ABORTED
            return self._end_answer(code, str(exc))

    def _handle_commit_answer(
        self, stmt: PendingStatement, lease: Lease, answer: Answer
    ) -> Answer:
        cluster = self._cluster
        if answer.succeeded and answer.signed:
            self.runner.record_transaction(self.length + 1)
            if self.has_written:
                stmt.session.advance_floor(answer.position)
                cluster.lead.confirm(lease.member, lease.conn.sent_at, answer)
            return attrs.evolve(answer, state=TransactionState.IDLE)
        code = answer.code or Code.IN_DOUBT
        cluster.telemetry.count(f'commits_{code.name.lower()}')
        if code is Code.READ_ONLY:
            cluster.lead.mark_not_leading(lease.member)
        if code in NOT_RUN_CODES or not self.has_written:
            return self._end_answer(
                Code.ABORTED, f'{code.value}: {answer.reason}'
            )
        if answer.succeeded:
            return self._end_answer(
                Code.IN_DOUBT, 'the backend server did not sign its answer'
            )
        return attrs.evolve(answer, state=TransactionState.IDLE)
