"""Protects acknowledged commits while the leader of a service changes.

A successor starts with the commits that it has received; later commits of the
old leader are rolled back. So, from the time when the leader is about to leave
or a successor is announced, a commit is acknowledged only once the successor
has it. While no other backend server receives the commits of a leader that
leaves, writes are refused: they would be lost with it.
"""

import asyncio

from monsoonproxy.client_sessions import PendingStatement
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer, Code, TransactionState
from monsoonproxy.statement_runner import CONNECTION_ERRORS, StatementRunner

_log = log_for('handover')

#: Time in ms without the commit at any other backend server after which further
#: writes are refused while the leader leaves. Replicas are 8 to 60 ms behind.
_STALL_TIME = Millis(300)
#: Longest wait in ms for the position of a backend server.
_POSITION_TIMEOUT = Millis(300)
#: Pause in ms between two reads of the successors' positions, and the share of
#: the time waited so far that it takes at least.
_POLL_INTERVAL = 5
_POLL_SHARE = 0.1


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
        leader=runner.cluster.lead.leadership.leader,
    ).info('Commit not confirmed by the successor; its outcome is in doubt')
    return runner.failure(
        Code.IN_DOUBT,
        'the leader was replaced before its successor had the commit',
        TransactionState.IDLE,
    )


async def _wait_for_successor(
    cluster: Cluster, ran_at: str, position: Position, time_left: float
) -> bool:
    """Wait until an expected successor has a commit.

    :returns: Whether the commit is safe: a successor has it, or no change of
        the leader is expected.
    """
    began = cluster.clock.now()
    while cluster.lead.leadership.leader == ran_at:
        successors = _expected_successors(cluster)
        if not successors:
            return True
        if await any_has_position(cluster, successors, position):
            cluster.lead.mark_stalled(None)
            return True
        waited = cluster.clock.now() - began
        if waited >= time_left:
            return False
        if waited >= _STALL_TIME and cluster.lead.ordered_successor is None:
            cluster.lead.mark_stalled(cluster.members.get(ran_at))
        pause = max(_POLL_INTERVAL, waited * _POLL_SHARE)
        await asyncio.sleep(seconds(1) * pause)
    return False


async def check_stalled(cluster: Cluster) -> None:
    """Run writes again if a replica has the commits of a leaving leader.

    :param cluster: The backend servers of the service.
    """
    leader, sample = cluster.leader, cluster.lead.floors.latest
    if leader is None or sample is None:
        return
    staying = staying_members(cluster, leader)
    if await any_has_position(cluster, staying, sample.position):
        cluster.lead.mark_stalled(None)


def _expected_successors(cluster: Cluster) -> list[Member]:
    """Return the backend servers of which one is about to take the lead.

    :returns: The announced one, or else those that stay, of which the one that
        started last is preferred; none if the leader stays.
    """
    ordered = cluster.lead.ordered_successor
    if ordered is not None:
        return [ordered]
    leader = cluster.leader
    if leader is None or not leader.server.leaving:
        return []
    return staying_members(cluster, leader)


def staying_members(cluster: Cluster, leader: Member) -> list[Member]:
    """Return the backend servers that may succeed a leader that leaves.

    :param cluster: The backend servers of the service.
    :param leader: The leader.
    :returns: Those that stay, the one that started last first: a release
        replaces the oldest first.
    """
    staying = (
        member
        for member in cluster.members.values()
        if member is not leader and not member.server.leaving
    )
    return sorted(
        staying, key=lambda member: member.server.started_at, reverse=True
    )


async def any_has_position(
    cluster: Cluster, members: list[Member], position: Position
) -> bool:
    """Tell whether one of some backend servers has a log position.

    :param cluster: The backend servers of the service.
    :param members: Those to ask; the first one alone, then the others.
    :param position: The position.
    :returns: Whether one has it.
    """
    if not members or await has_position(cluster, members[0], position):
        return bool(members)
    asked = (has_position(cluster, each, position) for each in members[1:])
    return any(await asyncio.gather(*asked))


async def has_position(
    cluster: Cluster, member: Member, position: Position
) -> bool:
    """Tell whether a backend server has a log position.

    The read-only transaction that asks for it needs no slot.

    :param cluster: The backend servers of the service.
    :param member: The backend server.
    :param position: The position.
    :returns: Whether it answered that it has it.
    """
    dialect = cluster.dialect
    begin = dialect.begin(read_only=True)
    request = LeaseRequest(_POSITION_TIMEOUT)
    try:
        async with cluster.leased(member, request) as lease:
            answer = await cluster.internal_statement(
                lease, begin, _POSITION_TIMEOUT, position
            )
            if answer.state is not TransactionState.IDLE:
                await cluster.internal_statement(
                    lease, dialect.rollback(), _POSITION_TIMEOUT
                )
            lease.clean = True
    except CONNECTION_ERRORS as exc:
        _log.debug(
            'Position of {} not checked: {}', member.server.server_id, exc
        )
        return False
    # After a promotion, any position of the next term is greater, also in a log
    # that lacks this one.
    reached = answer.position
    return (
        answer.succeeded
        and reached is not None
        and reached.term == position.term
    )
