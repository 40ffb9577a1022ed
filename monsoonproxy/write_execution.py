"""Runs writes outside transactions, which commit by themselves."""

import asyncio

from monsoonproxy import handover
from monsoonproxy.client_sessions import (
    NOT_RUN_CODES,
    Attempt,
    PendingStatement,
)
from monsoonproxy.clock import seconds
from monsoonproxy.clusters import Lease
from monsoonproxy.limiters import OverloadError
from monsoonproxy.members import Member
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.statement_runner import (
    BUSY_BACKOFF_MS,
    CONNECTION_ERRORS,
    LATE_ANSWER_MS,
    StatementRunner,
)


async def write(runner: StatementRunner, stmt: PendingStatement) -> Answer:
    """Run a write at the leader.

    :param runner: Runs statements on the backend servers of the service.
    :param stmt: The write.
    :returns: The answer of the leader, or an error answer if the write was not
        run or is in doubt.
    """
    while runner.time_left(stmt) > 0 and not runner.leaders.refuses_writes:
        leader = await runner.cluster.lead.wait(runner.time_left(stmt))
        if leader is not None:
            answer = await _write_before_deadline(runner, stmt, leader)
            if answer is not None:
                return await handover.hold_acknowledgement(
                    runner, stmt, leader, answer
                )
    return runner.failure(
        Code.BUSY, f'write not run; backend servers tried: {stmt.tried}'
    )


async def _write_before_deadline(
    runner: StatementRunner, stmt: PendingStatement, member: Member
) -> Answer | None:
    """Write at the leader; answer the caller at the deadline at the latest.

    The attempt goes on for a while after the deadline. If the late answer
    arrives, the connection can be reused and need not be opened again.
    """
    attempt = Attempt()
    writing = runner.background.spawn(
        _write_once(runner, stmt, attempt, member)
    )
    attempt.task = writing
    done, _late = await asyncio.wait(
        (writing,), timeout=seconds(1) * max(1, runner.time_left(stmt))
    )
    if done:
        return writing.result()
    stmt.abandoned = True
    stmt.session.add_late_attempt(attempt)
    code = Code.IN_DOUBT if stmt.sent else Code.BUSY
    name = member.server.server_id
    return runner.failure(
        code, f'{name}: no answer to the write before its deadline'
    )


async def _write_once(
    runner: StatementRunner,
    stmt: PendingStatement,
    attempt: Attempt,
    member: Member,
) -> Answer | None:
    """Make one attempt to write at the leader.

    :returns: The answer for the caller, or ``None`` if the write did not run
        and may be tried again.
    """
    cluster = runner.cluster
    claim = runner.lease_request(stmt, single=True)
    try:
        async with cluster.leased(member, claim) as lease:
            attempt.wire = lease.conn
            answer = await _send(runner, stmt, lease)
            return answer and await _handle_answer(runner, stmt, lease, answer)
    except OverloadError as exc:
        return runner.overload_failure(exc)
    except CONNECTION_ERRORS as exc:
        attempt.wire = None
        stmt.session.extend_runs_until(getattr(exc, 'runs_until', 0))
        stmt.tried[member.server.server_id] = str(exc)
        if stmt.sent:
            return runner.failure(Code.IN_DOUBT, str(exc))
        await cluster.lead.wait_for_change(
            min(BUSY_BACKOFF_MS, runner.time_left(stmt))
        )
    return None


async def _send(
    runner: StatementRunner, stmt: PendingStatement, lease: Lease
) -> Answer | None:
    await runner.apply_session(lease, stmt)
    if stmt.abandoned:
        # The caller was told that the write did not run.
        lease.clean = True
        return None
    stmt.sent = True
    payload = runner.dialect.query(stmt.request_id, stmt.text)
    answers = await runner.cluster.exchange(
        lease, payload, 1, runner.time_left(stmt) + LATE_ANSWER_MS
    )
    lease.clean = answers[0].state is TransactionState.IDLE
    return answers[0]


async def _handle_answer(
    runner: StatementRunner,
    stmt: PendingStatement,
    lease: Lease,
    answer: Answer,
) -> Answer | None:
    cluster, member = runner.cluster, lease.member
    if answer.succeeded and answer.signed:
        took = lease.conn.answered_at - lease.conn.sent_at
        now = runner.clock.now()
        member.stats.answered(took, answer.position, now)
        cluster.lead.confirm(lease.member, lease.conn.sent_at, answer)
        stmt.session.advance_floor(answer.position)
        return answer
    code = answer.code or Code.IN_DOUBT
    cluster.telemetry.count(f'writes_{code.name.lower()}')
    stmt.tried[member.server.server_id] = code.value
    runner.drop_unknown_prepared(lease, answer)
    if code not in NOT_RUN_CODES:
        if answer.succeeded:
            return runner.failure(
                Code.IN_DOUBT, 'the backend server did not sign its answer'
            )
        return answer
    stmt.sent = False
    if code is Code.READ_ONLY:
        cluster.lead.mark_not_leading(member)
    elif code is not Code.UNKNOWN_STATEMENT:
        await runner.back_off(stmt)
    return None
