"""A caller's transaction on its connection to a backend server."""

import attrs

from monsoonproxy import handover, selection
from monsoonproxy.clock import Millis
from monsoonproxy.clusters import Cluster, Lease, NotLeadingError
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.jobs import NOT_RUN, Job
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.reading import runs_at_leader
from monsoonproxy.running import BUSY_PAUSE, NO_CONNECTION, Runner

#: Longest time in ms in which a rolled back connection answers; it needs no
#: slot.
_ROLLBACK_LIMIT = 500
#: Codes after which a statement may be sent again in the same transaction.
_REPEATED = frozenset((Code.BUSY, Code.UNKNOWN_STATEMENT))


@attrs.define
class Transaction:
    """An open transaction of a caller.

    It gets its connection with its first statement, so that the caller's
    first pause does not hold one.

    :param runner: Runs statements of the service.
    :param read_only: Whether it may run on a replica.
    :param used_at: When its latest statement ended.
    :param wrote: Whether a write of it ran.
    :param failed: Whether it can only be rolled back.
    :param reason: Why it was ended, if the daemon ended it.
    """

    runner: Runner
    read_only: bool
    used_at: Millis
    wrote: bool = False
    failed: bool = False
    reason: str = ''
    _lease: Lease | None = None

    async def run(self, job: Job) -> Answer:
        """Run a read or a write.

        :param job: The statement.
        :returns: The answer.
        """
        lease = await self._leased(job)
        if lease is None:
            self.failed = True
            return self._not_begun(job, TransactionState.FAILED)
        answer = await self._send(job, lease)
        self.used_at = self.runner.clock.now()
        return answer

    async def commit(self, job: Job) -> Answer:
        """Commit.

        :param job: The statement.
        :returns: The answer; the transaction is over.
        """
        if self.failed:
            self.end()
            return self._ended(Code.ABORTED, 'the transaction had failed')
        lease = await self._leased(job)
        if lease is None:
            return self._not_begun(job, TransactionState.IDLE)
        answer = await self._send_commit(job, lease)
        lease.clean = answer.code not in {Code.IN_DOUBT, Code.ABORTED}
        self._give_back()
        if not self.wrote:
            return answer
        return await handover.hold_acknowledgement(
            self.runner, job, lease.member, answer
        )

    def end(self) -> None:
        """Roll back without waiting for it."""
        lease = self._lease
        if lease is None:
            return
        if lease.conn.busy or lease.conn.closed:
            self._give_back()
            return
        self._lease = None
        self.runner.background.spawn(self._roll_back(lease))

    @property
    def _cluster(self) -> Cluster:
        return self.runner.cluster

    def _ended(self, code: Code, reason: str) -> Answer:
        return self.runner.failure(code, reason, TransactionState.IDLE)

    def _not_begun(self, job: Job, state: TransactionState) -> Answer:
        reason = f'not begun: {job.tried}'
        return self.runner.failure(Code.BUSY, reason, state)

    def _broken(self, reason: str) -> Answer:
        self.failed = True
        state = TransactionState.FAILED
        return self.runner.failure(Code.ABORTED, reason, state)

    def _give_back(self) -> None:
        lease, self._lease = self._lease, None
        if lease is not None:
            self._cluster.release(lease)

    async def _roll_back(self, lease: Lease) -> None:
        text = self._cluster.dialect.rollback()
        try:
            answer = await self._cluster.internal_statement(
                lease, text, _ROLLBACK_LIMIT
            )
            lease.clean = answer.state is TransactionState.IDLE
        except ConnectionLostError:
            lease.clean = False
        finally:
            self._cluster.release(lease)

    # The beginning.

    async def _leased(self, job: Job) -> Lease | None:
        """Return the connection; begin on a backend server if need be."""
        at_leader = runs_at_leader(job, read_only=self.read_only)
        needs_leader = at_leader
        while self._lease is None and self.runner.left(job) > 0:
            if needs_leader and self.runner.leaders.is_unavailable:
                break
            if at_leader:
                await self._begin_at_leader(job)
            else:
                await self._begin_anywhere(job)
                needs_leader = job.floor is None
        return self._lease

    async def _begin_at_leader(self, job: Job) -> None:
        cluster = self._cluster
        leader = await cluster.wait_for_leader(self.runner.left(job))
        lease = await self._acquire(job, leader) if leader else None
        if lease is None:
            limit = min(BUSY_PAUSE, self.runner.left(job))
            await cluster.wait_for_change(limit)
            return
        try:
            await self.runner.adopt(lease, job)
            answer = await cluster.begin(lease, self.runner.left(job))
        except (NotLeadingError, ConnectionLostError) as exc:
            reason = str(exc) or 'not leading'
            job.tried[lease.member.server.server_id] = reason
            cluster.release(lease)
        else:
            self._begun(job, lease, answer)

    async def _begin_anywhere(self, job: Job) -> None:
        cluster = self._cluster
        floor = await self.runner.required_floor(job)
        option = None
        if floor is not None:
            now = self.runner.clock.now()
            option = selection.choose(cluster.options(), floor, job.tried, now)
        if option is None or floor is None:
            job.tried.clear()
            await self.runner.pause(job)
            return
        job.tried[option.name] = 'sent'
        lease = await self._acquire(job, cluster.members[option.name])
        if lease is not None:
            await self._begin_reading(job, lease, floor)

    async def _begin_reading(
        self, job: Job, lease: Lease, floor: Position
    ) -> None:
        cluster, record = self._cluster, lease.member.stats
        text = cluster.dialect.begin(read_only=True)
        now = self.runner.clock.now()
        try:
            await self.runner.adopt(lease, job)
            answer = await cluster.internal_statement(
                lease, text, self.runner.left(job), floor
            )
        except ConnectionLostError as exc:
            job.tried[lease.member.server.server_id] = str(exc)
            record.failed(now, lost=True)
            cluster.release(lease)
            return
        if answer.code is Code.LAGGING:
            record.lagged(floor, now)
        self._begun(job, lease, answer)

    def _begun(self, job: Job, lease: Lease, answer: Answer) -> None:
        if answer.succeeded:
            self._lease = lease
            return
        code = answer.code or Code.FAILED
        self._cluster.telemetry.count(f'begins_{code.name.lower()}')
        job.tried[lease.member.server.server_id] = code.value
        lease.clean = answer.state is TransactionState.IDLE
        self._cluster.release(lease)

    async def _acquire(self, job: Job, member: Member) -> Lease | None:
        claim = LeaseRequest(self.runner.left(job), job.priority)
        try:
            return await self._cluster.acquire(member, claim)
        except NO_CONNECTION as exc:
            job.tried[member.server.server_id] = str(exc)
            return None

    # Statements.

    async def _send(self, job: Job, lease: Lease) -> Answer:
        try:
            while True:
                await self.runner.adopt(lease, job)
                answer = await self._exchange(job, lease)
                if not self._may_repeat(job, answer):
                    return self._judge(job, lease, answer)
                self.runner.judge_session(lease, answer)
                await self.runner.pause(job)
        except ConnectionLostError as exc:
            job.session.may_run_until(exc.runs_until)
            # Closing the connection makes the backend server roll back.
            self._give_back()
            return self._broken(str(exc))

    async def _exchange(self, job: Job, lease: Lease) -> Answer:
        payload = self._cluster.dialect.query(job.request_id, job.text)
        answers = await self._cluster.exchange(
            lease, payload, 1, self.runner.left(job)
        )
        return answers[0]

    def _may_repeat(self, job: Job, answer: Answer) -> bool:
        is_open = answer.state is TransactionState.OPEN
        in_time = self.runner.left(job) > BUSY_PAUSE
        return is_open and in_time and answer.code in _REPEATED

    def _judge(self, job: Job, lease: Lease, answer: Answer) -> Answer:
        cluster, member = self._cluster, lease.member
        at_leader = runs_at_leader(job, read_only=self.read_only)
        if answer.succeeded and answer.signed:
            took = lease.conn.answered_at - lease.conn.sent_at
            now = self.runner.clock.now()
            member.stats.answered(took, answer.position, now)
            self.wrote = self.wrote or not job.is_read
            if at_leader:
                cluster.confirm_leader(lease, answer)
            return answer
        code = answer.code or Code.ABORTED
        cluster.telemetry.count(f'transactions_{code.name.lower()}')
        if code is Code.READ_ONLY and at_leader:
            cluster.mark_not_leading(member)
        self.failed = True
        if answer.state is TransactionState.OPEN or code in NOT_RUN:
            # The caller's transaction ends here; so does the server's.
            self.end()
            return self._broken(f'{code.value}: {answer.reason}')
        return answer

    # The end.

    async def _send_commit(self, job: Job, lease: Lease) -> Answer:
        try:
            while True:
                answer = await self._exchange(job, lease)
                if not self._may_repeat(job, answer):
                    return self._judge_commit(job, lease, answer)
                await self.runner.pause(job)
        except ConnectionLostError as exc:
            # If nothing was written, nothing can be kept.
            code = Code.IN_DOUBT if self.wrote else Code.ABORTED
            return self._ended(code, str(exc))

    def _judge_commit(self, job: Job, lease: Lease, answer: Answer) -> Answer:
        cluster = self._cluster
        if answer.succeeded and answer.signed:
            if self.wrote:
                job.session.committed(answer.position)
                cluster.confirm_leader(lease, answer)
            return attrs.evolve(answer, state=TransactionState.IDLE)
        code = answer.code or Code.IN_DOUBT
        cluster.telemetry.count(f'commits_{code.name.lower()}')
        if code is Code.READ_ONLY:
            cluster.mark_not_leading(lease.member)
        if code in NOT_RUN or not self.wrote:
            return self._ended(Code.ABORTED, f'{code.value}: {answer.reason}')
        if answer.succeeded:
            return self._ended(Code.IN_DOUBT, 'the answer is not signed')
        return attrs.evolve(answer, state=TransactionState.IDLE)
