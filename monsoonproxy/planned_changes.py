"""Replaces a leader that is about to leave, without losing its commits."""

import asyncio

from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.handover import any_has_position, staying_members
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.reachability import PROBE_LIMIT
from monsoonproxy.statement_runner import CONNECTION_ERRORS

_log = log_for('promotion')

#: Time in ms within which a successor must reach the position that the leader
#: had. Replicas are 8 to 60 ms behind; one that needs longer receives nothing,
#: or too slowly to keep up. The leader's own position moves on meanwhile.
_CATCH_UP_TIME = Millis(400)
#: Pause in ms between two reads of a successor's position.
_POLL_INTERVAL = 10
#: Time in ms that an announcement takes to reach the other daemons.
_ANNOUNCEMENT_TIME = 20


async def find_successor(cluster: Cluster, leader: Member) -> Member | None:
    """Find the successor of a leader that is about to leave.

    :param cluster: The backend servers of the service.
    :param leader: The leader.
    :returns: The one that started last of those that keep up with the leader,
        or ``None`` if none does.
    """
    reached = await _leader_position(cluster, leader)
    if reached is None:
        return None
    staying = staying_members(cluster, leader)
    keeping_up = await asyncio.gather(
        *(_wait_for_position(cluster, each, reached) for each in staying)
    )
    for member, keeps_up in zip(staying, keeping_up, strict=True):
        if keeps_up:
            return member
    return None


class PlannedChange:
    """A planned change whose successor was announced.

    From then on, daemons acknowledge a commit only once the successor has it.

    :param cluster: The backend servers of the service.
    :param leader: The leader that leaves.
    :param successor: The backend server that takes over.
    """

    def __init__(
        self, cluster: Cluster, leader: Member, successor: Member
    ) -> None:
        self._cluster = cluster
        self._leader = leader
        self._successor = successor
        self._paused: list[Member] = []

    async def prepare(self) -> bool:
        """Wait until the successor has all acknowledged commits.

        :returns: Whether it has them, so that it may be promoted.
        """
        await asyncio.sleep(seconds(_ANNOUNCEMENT_TIME))
        if self._cluster.rules.synchronous:
            await self._pause_others()
        reached = await _leader_position(self._cluster, self._leader)
        return reached is not None and await _wait_for_position(
            self._cluster, self._successor, reached
        )

    async def give_up(self) -> None:
        """Let the paused replicas receive commits again."""
        paused, self._paused = self._paused, []
        text = self._cluster.dialect.resume()
        await asyncio.gather(*(self._run(each, text) for each in paused))

    async def _pause_others(self) -> None:
        """Let only the successor receive commits.

        The leader acknowledges a commit once any replica has received it, also
        to daemons that did not hear of the change.
        """
        cluster = self._cluster
        text = cluster.dialect.pause(cluster.lead.leadership.term + 1)
        self._paused = [
            each
            for each in cluster.members.values()
            if each not in (self._leader, self._successor)
        ]
        await asyncio.gather(*(self._run(each, text) for each in self._paused))

    async def _run(self, member: Member, text: bytes) -> None:
        request = LeaseRequest(PROBE_LIMIT)
        try:
            async with self._cluster.leased(member, request) as lease:
                await self._cluster.internal_statement(lease, text, PROBE_LIMIT)
                lease.clean = True
        except CONNECTION_ERRORS as exc:
            _log.warning(
                'Statement {} to {} failed: {}',
                text.decode(),
                member.server.server_id,
                exc,
            )


async def _leader_position(cluster: Cluster, leader: Member) -> Position | None:
    if cluster.leader is not leader:
        return None
    answer = await cluster.probe(leader)
    return None if answer is None else answer.position


async def _wait_for_position(
    cluster: Cluster, member: Member, position: Position
) -> bool:
    until = cluster.clock.now() + _CATCH_UP_TIME
    while not await any_has_position(cluster, [member], position):
        if cluster.clock.now() >= until:
            return False
        await asyncio.sleep(seconds(_POLL_INTERVAL))
    return True
