"""Runs writes that commit by themselves."""

import asyncio

from monsoonproxy import handover
from monsoonproxy.clock import seconds
from monsoonproxy.clusters import Lease
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.jobs import NOT_RUN, Attempt, Job
from monsoonproxy.members import Member
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.running import (
    BUSY_PAUSE,
    LATE_ANSWER,
    NO_CONNECTION,
    Runner,
)


async def write(runner: Runner, job: Job) -> Answer:
    """Run a write.

    :param runner: What it runs on.
    :param job: The write.
    :returns: The answer.
    """
    while runner.left(job) > 0 and not runner.leaders.is_unavailable:
        leader = await runner.cluster.wait_for_leader(runner.left(job))
        if leader is not None:
            answer = await _write_in_time(runner, job, leader)
            if answer is not None:
                return await handover.hold_acknowledgement(
                    runner, job, leader, answer
                )
    return runner.failure(Code.BUSY, f'not written: {job.tried}')


async def _write_in_time(
    runner: Runner, job: Job, member: Member
) -> Answer | None:
    """Write at the leader; give up when the time is over.

    The connection still takes the answer that is late, so that it need not be
    opened again.
    """
    attempt = Attempt()
    writing = runner.background.spawn(_write_once(runner, job, attempt, member))
    attempt.task = writing
    done, _late = await asyncio.wait(
        (writing,), timeout=seconds(1) * max(1, runner.left(job))
    )
    if done:
        return writing.result()
    job.given_up = True
    job.session.outlived(attempt)
    code = Code.IN_DOUBT if job.sent else Code.BUSY
    name = member.server.server_id
    return runner.failure(code, f'{name}: no answer in time')


async def _write_once(
    runner: Runner, job: Job, attempt: Attempt, member: Member
) -> Answer | None:
    """Write at the leader.

    :returns: The answer for the caller, or ``None`` if the write did not run
        and may be tried again.
    """
    cluster = runner.cluster
    claim = LeaseRequest(runner.left(job), job.priority, single=True)
    try:
        async with cluster.leased(member, claim) as lease:
            attempt.wire = lease.conn
            answer = await _send(runner, job, lease)
            return answer and await _judge(runner, job, lease, answer)
    except NO_CONNECTION as exc:
        attempt.wire = None
        job.session.may_run_until(getattr(exc, 'runs_until', 0))
        job.tried[member.server.server_id] = str(exc)
        if job.sent:
            return runner.failure(Code.IN_DOUBT, str(exc))
        await cluster.wait_for_change(min(BUSY_PAUSE, runner.left(job)))
    return None


async def _send(runner: Runner, job: Job, lease: Lease) -> Answer | None:
    await runner.adopt(lease, job)
    if job.given_up:
        # The caller was told that it did not run.
        lease.clean = True
        return None
    job.sent = True
    payload = runner.dialect.query(job.request_id, job.text)
    answers = await runner.cluster.exchange(
        lease, payload, 1, runner.left(job) + LATE_ANSWER
    )
    lease.clean = answers[0].state is TransactionState.IDLE
    return answers[0]


async def _judge(
    runner: Runner, job: Job, lease: Lease, answer: Answer
) -> Answer | None:
    cluster, member = runner.cluster, lease.member
    if answer.succeeded and answer.signed:
        took = lease.conn.answered_at - lease.conn.sent_at
        now = runner.clock.now()
        member.stats.answered(took, answer.position, now)
        cluster.confirm_leader(lease, answer)
        job.session.committed(answer.position)
        return answer
    code = answer.code or Code.IN_DOUBT
    cluster.telemetry.count(f'writes_{code.name.lower()}')
    job.tried[member.server.server_id] = code.value
    runner.judge_session(lease, answer)
    if code not in NOT_RUN:
        if answer.succeeded:
            return runner.failure(Code.IN_DOUBT, 'the answer is not signed')
        return answer
    job.sent = False
    if code is Code.READ_ONLY:
        cluster.mark_not_leading(member)
    elif code is not Code.UNKNOWN_STATEMENT:
        await runner.pause(job)
    return None
