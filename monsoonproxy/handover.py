"""Keeps acknowledged commits while another backend server takes the lead.

A successor leads with what it has received, and later commits are rolled back.
So a commit is acknowledged only once the successor has it, from the time when
the leader is about to leave, or a successor is announced.
"""

import asyncio

from monsoonproxy.client_sessions import PendingStatement
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.lanes import Claim
from monsoonproxy.leaders import TAKEOVER_LIMIT
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.statement_runner import CONNECTION_ERRORS, StatementRunner

_log = log_for('handover')

#: Time in ms by which an acknowledgement is held back while no successor is
#: ordered to lead. Replicas are 8 to 20 ms behind; one that is far behind is
#: not promoted in a planned change.
_LONGEST_WAIT = Millis(300)
#: Pause in ms between two looks at the successor.
_LOOK_PAUSE = 5


async def settle(
    runner: StatementRunner,
    stmt: PendingStatement,
    member: Member,
    answer: Answer,
) -> Answer:
    """Hold back the acknowledgement of a commit until a successor has it.

    :param runner: What it ran on.
    :param stmt: The commit, or the write that committed by itself.
    :param member: The backend server that ran it.
    :param answer: Its answer.
    :returns: The answer, or that the outcome is in doubt.
    """
    position = answer.position if answer.succeeded else None
    if position is None:
        return answer
    name = member.server.server_id
    if await _is_kept(runner.cluster, name, position, runner.time_left(stmt)):
        return answer
    _log.bind(
        request=stmt.request_id.decode(errors='replace'),
        position=str(position),
        server=name,
        leader=runner.cluster.leadership.leader,
    ).info('Commit not found at the successor')
    return runner.failure(
        Code.IN_DOUBT,
        'the leader was replaced before its successor had the commit',
        TransactionState.IDLE,
    )


async def _is_kept(
    cluster: Cluster, ran_at: str, position: Position, time_left: float
) -> bool:
    """Wait until a successor has a commit.

    :returns: Whether it has it, or there is no change of the leader for now.
    """
    began = cluster.clock.now()
    while cluster.leadership.leader == ran_at:
        member = _successor(cluster)
        if member is None or await _has(cluster, member, position):
            return True
        waited = cluster.clock.now() - began
        if waited >= time_left:
            return False
        is_late = waited >= _LONGEST_WAIT and _announced(cluster) is None
        if is_late and await _leads(cluster, ran_at):
            return True
        await asyncio.sleep(seconds(_LOOK_PAUSE))
    return False


async def _leads(cluster: Cluster, server_id: str) -> bool:
    """Tell whether a backend server leads still."""
    member = cluster.members.get(server_id)
    answer = await cluster.probe(member) if member else None
    return answer is not None and answer.succeeded


def _announced(cluster: Cluster) -> Member | None:
    """Return the backend server that was ordered to take the lead lately."""
    now = cluster.clock.now()
    name = cluster.leadership.successor(now, TAKEOVER_LIMIT)
    return cluster.members.get(name) if name else None


def _successor(cluster: Cluster) -> Member | None:
    """Return the backend server that is about to take the lead.

    :returns: The announced one, or else the one that started last, which is
        preferred in a planned change; ``None`` if the leader stays.
    """
    announced = _announced(cluster)
    if announced is not None:
        return announced
    leader = cluster.leader
    if leader is None or not leader.server.leaving:
        return None
    staying = (
        member
        for member in cluster.members.values()
        if member is not leader and not member.server.leaving
    )
    return max(staying, key=lambda member: member.server.born, default=None)


async def _has(cluster: Cluster, member: Member, position: Position) -> bool:
    """Tell whether a backend server has a position; this needs no slot."""
    dialect = cluster.dialect
    begin = dialect.begin(read_only=True)
    try:
        async with cluster.leased(member, Claim(_LONGEST_WAIT)) as lease:
            answer = await cluster.own_statement(
                lease, begin, _LONGEST_WAIT, position
            )
            if answer.state is not TransactionState.IDLE:
                await cluster.own_statement(
                    lease, dialect.rollback(), _LONGEST_WAIT
                )
            lease.clean = True
    except CONNECTION_ERRORS as exc:
        _log.debug('{} not asked: {}', member.server.server_id, exc)
        return False
    return answer.succeeded
