"""A caller's transaction on its connection to a backend server."""

import asyncio

import attrs

from monsoonproxy import selection
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster, Lease, Member, NotLeadingError
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.lanes import LaneFullError, ServerGoneError
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.routes import Freshness
from monsoonproxy.running import NOT_RUN, Job, Runner

#: Pause in ms before a statement that found all slots taken is sent again.
_BUSY_PAUSE = 10
#: Longest time in ms in which a rolled back connection answers; it needs no
#: slot.
_ROLLBACK_LIMIT = 500
_UNREACHABLE = (ConnectionLostError, LaneFullError, ServerGoneError)


@attrs.define
class Transaction:
    """An open transaction of a caller.

    It gets its connection with its first statement, so that the caller's
    first pause does not hold one.

    :param runner: Runs statements of the service.
    :param read_only: Whether it may run on a replica.
    :param started_at: When the caller began it.
    :param used_at: When its latest statement ended.
    :param wrote: Whether a write of it ran.
    :param failed: Whether it can only be rolled back.
    :param reason: Why it was ended, if the daemon ended it.
    """

    runner: Runner
    read_only: bool
    started_at: Millis
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
        if self._lease is None:
            problem = await self._open(job)
            if problem is not None:
                self.failed = True
                return problem
        answer = await self._send(job)
        self.used_at = self._now()
        return answer

    async def commit(self, job: Job) -> Answer:
        """Commit.

        :param job: The statement.
        :returns: The answer; the transaction is over.
        """
        if self.failed:
            self.end()
            return self._failure(Code.ABORTED, 'the transaction had failed')
        if self._lease is None:
            problem = await self._open(job)
            if problem is not None:
                return attrs.evolve(problem, state=TransactionState.IDLE)
        answer = await self._send_commit(job)
        self._finish(clean=answer.code not in {Code.IN_DOUBT, Code.ABORTED})
        return answer

    def end(self) -> None:
        """Roll back without waiting for it."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        if lease.wire.busy or lease.wire.closed:
            self._cluster.release(lease)
            return
        work = self._roll_back(lease)
        self.runner.spawn(work)

    @property
    def _cluster(self) -> Cluster:
        return self.runner.cluster

    def _now(self) -> Millis:
        return self._cluster.clock.now()

    def _left(self, job: Job) -> float:
        return job.deadline - self._now()

    def _failure(self, code: Code, reason: str) -> Answer:
        return self.runner.failure(code, reason, TransactionState.IDLE)

    def _broken(self, code: Code, reason: str) -> Answer:
        self.failed = True
        return self.runner.failure(code, reason, TransactionState.FAILED)

    def _finish(self, *, clean: bool) -> None:
        lease, self._lease = self._lease, None
        if lease is not None:
            lease.clean = clean
            self._cluster.release(lease)

    async def _roll_back(self, lease: Lease) -> None:
        text = self._cluster.dialect.rollback()
        try:
            answer = await self._cluster.own_statement(
                lease, text, _ROLLBACK_LIMIT
            )
            lease.clean = answer.state is TransactionState.IDLE
        except ConnectionLostError:
            lease.clean = False
        finally:
            self._cluster.release(lease)

    async def _open(self, job: Job) -> Answer | None:
        """Begin on a backend server.

        :returns: What to tell the caller if that is not possible.
        """
        while self._left(job) > 0:
            anywhere = self._runs_read_only(job)
            if not anywhere and self._cluster.is_hopeless:
                break
            begun = await (
                self._open_anywhere(job) if anywhere else self._open_leader(job)
            )
            if begun:
                return None
        return self.runner.failure(
            Code.BUSY, f'not begun: {job.tried}', TransactionState.FAILED
        )

    async def _open_leader(self, job: Job) -> bool:
        cluster = self._cluster
        member = await cluster.wait_leader(self._left(job))
        if member is None:
            return False
        lease = await self._acquire(job, member)
        if lease is None:
            await cluster.wait_change(min(_BUSY_PAUSE, self._left(job)))
            return False
        try:
            await self.runner.adopt(lease, job, self._left(job))
            answer = await cluster.begin(lease, self._left(job))
        except (NotLeadingError, ConnectionLostError) as exc:
            job.tried[member.server.server_id] = str(exc) or 'not leading'
            cluster.release(lease)
            return False
        return self._begun(job, lease, answer)

    async def _open_anywhere(self, job: Job) -> bool:
        cluster = self._cluster
        floor = await self.runner.required_floor(job)
        option = None
        if floor is not None:
            option = selection.choose(
                cluster.options(), floor, job.tried, self._now()
            )
        if option is None or floor is None:
            job.tried.clear()
            await self._pause(job)
            return False
        member = cluster.members[option.name]
        job.tried[option.name] = 'sent'
        lease = await self._acquire(job, member)
        if lease is None:
            return False
        text = cluster.dialect.begin(read_only=True)
        try:
            await self.runner.adopt(lease, job, self._left(job))
            answer = await cluster.own_statement(
                lease, text, self._left(job), floor
            )
        except ConnectionLostError as exc:
            job.tried[option.name] = str(exc)
            member.record.failed(self._now(), lost=True)
            cluster.release(lease)
            return False
        if answer.code is Code.LAGGING:
            member.record.lagged(floor, self._now())
        return self._begun(job, lease, answer)

    def _begun(self, job: Job, lease: Lease, answer: Answer) -> bool:
        if answer.succeeded:
            self._lease = lease
            return True
        code = answer.code or Code.FAILED
        self._cluster.telemetry.count(f'begins_{code.name.lower()}')
        job.tried[lease.member.server.server_id] = code.value
        lease.clean = answer.state is TransactionState.IDLE
        self._cluster.release(lease)
        return False

    async def _acquire(self, job: Job, member: Member) -> Lease | None:
        try:
            return await self._cluster.acquire(member, self._left(job))
        except _UNREACHABLE as exc:
            job.tried[member.server.server_id] = str(exc)
            return None

    async def _send(self, job: Job) -> Answer:
        assert self._lease is not None
        lease = self._lease
        cluster = self._cluster
        try:
            while True:
                await self.runner.adopt(lease, job, self._left(job))
                payload = cluster.dialect.query(job.request_id, job.text)
                answer = await self._exchange(job, payload)
                retried = answer.code in NOT_RUN and self._may_repeat(answer)
                if not retried or self._left(job) < _BUSY_PAUSE:
                    return self._judge(job, lease, answer)
                if answer.code is Code.UNKNOWN_STATEMENT:
                    lease.wire.prepared.clear()
                await self._pause(job)
        except ConnectionLostError as exc:
            # Closing the connection makes the backend server roll back.
            self._finish(clean=False)
            return self._broken(Code.ABORTED, str(exc))

    async def _exchange(self, job: Job, payload: bytes) -> Answer:
        """Send a statement; it does not wait behind new ones."""
        assert self._lease is not None
        member = self._lease.member
        member.gate.pass_by()
        try:
            (answer,) = await self._cluster.exchange(
                self._lease, payload, 1, self._left(job)
            )
        finally:
            member.gate.leave()
        self._cluster.judge_load(member, answer)
        return answer

    def _may_repeat(self, answer: Answer) -> bool:
        still_open = answer.state is TransactionState.OPEN
        return still_open and answer.code in {Code.BUSY, Code.UNKNOWN_STATEMENT}

    def _judge(self, job: Job, lease: Lease, answer: Answer) -> Answer:
        member = lease.member
        now = self._now()
        if answer.succeeded and answer.signed:
            took = lease.wire.answered_at - lease.wire.sent_at
            member.record.answered(took, answer.position, now)
            self.wrote = self.wrote or not job.is_read
            if not self._runs_read_only(job):
                self._cluster.led(lease, answer)
            return answer
        code = answer.code or Code.ABORTED
        cluster = self._cluster
        cluster.telemetry.count(f'transactions_{code.name.lower()}')
        if code is Code.READ_ONLY and not self._runs_read_only(job):
            cluster.not_leading(member)
        self.failed = True
        if answer.state is TransactionState.OPEN or code in NOT_RUN:
            # The caller's transaction ends here; so does the server's.
            self.end()
            return self._broken(Code.ABORTED, f'{code.value}: {answer.reason}')
        return answer

    def _runs_read_only(self, job: Job) -> bool:
        return self.read_only and job.route.freshness is not Freshness.PRIMARY

    async def _send_commit(self, job: Job) -> Answer:
        assert self._lease is not None
        lease = self._lease
        cluster = self._cluster
        try:
            while True:
                payload = cluster.dialect.query(job.request_id, job.text)
                answer = await self._exchange(job, payload)
                busy = answer.code is Code.BUSY
                if not busy or self._left(job) < _BUSY_PAUSE:
                    return self._judge_commit(job, lease, answer)
                await self._pause(job)
        except ConnectionLostError as exc:
            if self.wrote:
                return self._failure(Code.IN_DOUBT, str(exc))
            # Nothing was written, so nothing can be kept.
            return self._failure(Code.ABORTED, str(exc))

    def _judge_commit(self, job: Job, lease: Lease, answer: Answer) -> Answer:
        if answer.succeeded and answer.signed:
            if self.wrote:
                job.session.committed(answer.position)
            if not self._runs_read_only(job) and self.wrote:
                self._cluster.led(lease, answer)
            return attrs.evolve(answer, state=TransactionState.IDLE)
        code = answer.code or Code.IN_DOUBT
        self._cluster.telemetry.count(f'commits_{code.name.lower()}')
        if code is Code.READ_ONLY:
            self._cluster.not_leading(lease.member)
        if code in NOT_RUN or not self.wrote:
            return self._failure(Code.ABORTED, f'{code.value}: {answer.reason}')
        if answer.succeeded:
            return self._failure(Code.IN_DOUBT, 'the answer is not signed')
        return attrs.evolve(answer, state=TransactionState.IDLE)

    async def _pause(self, job: Job) -> None:
        pause = max(1, min(_BUSY_PAUSE, int(self._left(job))))
        await asyncio.sleep(seconds(pause))
