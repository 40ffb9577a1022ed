"""Protects acknowledged commits while the leader of a service changes.

A successor starts with the commits that it has received; later commits of the
old leader are rolled back. So, from the time when the leader is about to leave
or a successor is announced, a commit is acknowledged only once the successor
has it.
"""

import asyncio

from monsoonproxy.client_sessions import PendingStatement
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.leader_monitor import TAKEOVER_LIMIT
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.statement_runner import CONNECTION_ERRORS, StatementRunner

_log = log_for('handover')

#: Longest time in ms by which an acknowledgement is held back while no
#: successor is ordered to lead. Replicas are 8 to 20 ms behind; one that is
#: far behind is not promoted in a planned change.
_MAX_WAIT = Millis(300)
#: Pause in ms between two reads of the successor's position.
_POLL_INTERVAL = 5


async def hold_acknowledgement(
    runner: StatementRunner,
    stmt: PendingStatement,
    member: Member,
    answer: Answer,
) -> Answer:
    """Hold back the acknowledgement of a commit until a successor has it.

    Returns at once unless a change of the leader is expected.

    :param runner: Runner of the service.
    :param stmt: The commit, or the write that committed by itself.
    :param member: The backend server that ran the commit.
    :param answer: The answer of that backend server.
    :returns: The answer, or a failure that says that the outcome is in doubt.
    """
    position = answer.position if answer.succeeded else None
    if position is None:
        return answer
    name = member.server.server_id
    if await _wait_for_successor(
        runner.cluster, name, position, runner.time_left(stmt)
    ):
        return answer
    _log.bind(
        request=stmt.request_id.decode(errors='replace'),
        position=str(position),
        server=name,
        leader=runner.cluster.leadership.leader,
    ).info('Commit not confirmed by the successor; its outcome is in doubt')
    return runner.failure(
        Code.IN_DOUBT,
        'the leader was replaced before its successor had the commit',
        TransactionState.IDLE,
    )


async def _wait_for_successor(
    cluster: Cluster, ran_at: str, position: Position, time_left: float
) -> bool:
    """Wait until the expected successor has a commit.

    :returns: Whether the commit is safe: the successor has it, or no change of
        the leader is expected for now.
    """
    began = cluster.clock.now()
    while cluster.leadership.leader == ran_at:
        member = _expected_successor(cluster)
        if member is None or await _has_position(cluster, member, position):
            return True
        waited = cluster.clock.now() - began
        if waited >= time_left:
            return False
        is_late = waited >= _MAX_WAIT and _ordered_successor(cluster) is None
        if is_late and await _still_leads(cluster, ran_at):
            return True
        await asyncio.sleep(seconds(_POLL_INTERVAL))
    return False


async def _still_leads(cluster: Cluster, server_id: str) -> bool:
    """Probe a backend server to tell whether it still leads."""
    member = cluster.members.get(server_id)
    answer = await cluster.probe(member) if member else None
    return answer is not None and answer.succeeded


def _ordered_successor(cluster: Cluster) -> Member | None:
    """Return the backend server that was recently ordered to lead."""
    now = cluster.clock.now()
    name = cluster.leadership.successor(now, TAKEOVER_LIMIT)
    return cluster.members.get(name) if name else None


def _expected_successor(cluster: Cluster) -> Member | None:
    """Return the backend server that is about to take the lead.

    :returns: The announced one, or else the one that started last, which is
        preferred in a planned change; ``None`` if the leader stays.
    """
    ordered = _ordered_successor(cluster)
    if ordered is not None:
        return ordered
    leader = cluster.leader
    if leader is None or not leader.server.leaving:
        return None
    staying = (
        member
        for member in cluster.members.values()
        if member is not leader and not member.server.leaving
    )
    return max(
        staying, key=lambda member: member.server.started_at, default=None
    )


async def _has_position(
    cluster: Cluster, member: Member, position: Position
) -> bool:
    """Tell whether a backend server has a log position.

    The read-only transaction that asks for it needs no slot.
    """
    dialect = cluster.dialect
    begin = dialect.begin(read_only=True)
    try:
        async with cluster.leased(member, LeaseRequest(_MAX_WAIT)) as lease:
            answer = await cluster.internal_statement(
                lease, begin, _MAX_WAIT, position
            )
            if answer.state is not TransactionState.IDLE:
                await cluster.internal_statement(
                    lease, dialect.rollback(), _MAX_WAIT
                )
            lease.clean = True
    except CONNECTION_ERRORS as exc:
        _log.debug(
            'Position of {} not checked: {}', member.server.server_id, exc
        )
        return False
    return answer.succeeded
