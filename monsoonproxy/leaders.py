"""Finds the leader of a service, and samples its position."""

import asyncio

from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import PROBE_TIMEOUT, Cluster
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.lanes import LaneFullError, ServerGoneError
from monsoonproxy.members import Member
from monsoonproxy.server_connections import DirectConnection, open_session
from monsoonproxy.verdicts import Evidence

#: Longest time in ms in which a leader is replaced: detection, orders that
#: are sent again, and 1 s to carry one out. Later, callers are told at once
#: that nothing runs here.
TAKEOVER_LIMIT = Millis(2_500)
#: Least and longest pause in ms between two looks for a leader, and the share
#: of the time since somebody wanted one. A daemon that is cut off for long
#: would spend 7% of a core otherwise.
_SEARCH_PAUSE = Millis(50)
_LONGEST_SEARCH_PAUSE = Millis(500)
_SEARCH_SHARE = 0.1
#: Time in ms without an answer after which a connection is opened just to see
#: whether a backend server is alive. Opening takes 12 to 27 ms of a slot, too
#: much for one that is only busy.
_OPEN_TO_PROBE = Millis(350)


class Leaders:
    """Looks after the leader of one service for one daemon.

    :param cluster: The service's backend servers.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._searches: dict[str, asyncio.Task[None]] = {}
        self._sampling: asyncio.Task[bool] | None = None
        cluster.on_leaderless = self.search

    @property
    def is_hopeless(self) -> bool:
        """Tell whether waiting for a leader is in vain.

        :returns: Whether only this daemon can't reach the leader, or none was
            found for longer than a replacement takes.
        """
        cluster = self._cluster
        leader = cluster.leader
        if leader is not None:
            return leader.is_cut_off and not leader.borrowed.is_open
        since = cluster.leaderless_since
        if since is None:
            return False
        return cluster.clock.now() - since > TAKEOVER_LIMIT

    def search(self) -> None:
        """Look for the leader until one accepts a transaction."""
        loop = asyncio.get_running_loop()
        for name in self._cluster.members:
            running = self._searches.get(name)
            if running is None or running.done():
                self._searches[name] = loop.create_task(self._search(name))

    async def sample(self, limit: float) -> bool:
        """Make a sample of the leader's position; callers share it.

        :param limit: Longest wait in ms.
        :returns: Whether there is a new sample.
        """
        if self._sampling is None or self._sampling.done():
            loop = asyncio.get_running_loop()
            self._sampling = loop.create_task(self._take_sample())
        sampling = self._sampling
        done, _pending = await asyncio.wait(
            (sampling,), timeout=seconds(max(1, int(limit)))
        )
        return bool(done) and sampling.result()

    async def evidence(self, member: Member, limit: float) -> Evidence:
        """Look for a sign of life of a backend server.

        If all connections are in use, another one is opened for it; that it
        is refused for the number of connections is an answer too.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :returns: Whether it answered, if that can be told.
        """
        cluster = self._cluster
        lane = member.lane
        if lane is not member.direct:
            return await self._evidence_of_lender(member, limit)
        if lane.has_idle:
            answer = await cluster.probe(member, limit, lane)
            return Evidence.MISSING if answer is None else Evidence.REACHED
        if cluster.clock.now() - member.answered_at < _OPEN_TO_PROBE:
            await asyncio.sleep(seconds(_SEARCH_PAUSE))
            return Evidence.REACHED
        return await self._open_to_probe(member, limit)

    async def _evidence_of_lender(
        self, member: Member, limit: float
    ) -> Evidence:
        try:
            await self._cluster.ask(member, limit, member.lane)
        except ConnectionLostError as exc:
            # A lender that can't connect says so; one that is silent may be
            # cut off itself.
            return Evidence.UNKNOWN if exc.sent else Evidence.MISSING
        except (LaneFullError, ServerGoneError):
            return Evidence.UNKNOWN
        return Evidence.REACHED

    async def _open_to_probe(self, member: Member, limit: float) -> Evidence:
        cluster = self._cluster
        cluster.telemetry.count('probes_by_opening')
        wire = DirectConnection(cluster.dialect, member.server, cluster.clock)
        try:
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                await open_session(wire)
        except TimeoutError:
            if wire.connected and member.may_be_busy(cluster.clock.now()):
                return Evidence.UNKNOWN
            return Evidence.MISSING
        except ConnectionLostError:
            return Evidence.MISSING
        finally:
            wire.abort()
        return Evidence.REACHED

    async def _search(self, name: str) -> None:
        cluster = self._cluster
        while cluster.leadership.leader is None and name in cluster.members:
            believed = cluster.leadership.believed()
            if believed is None or believed == name:
                await cluster.probe(cluster.members[name])
            await asyncio.sleep(seconds(1) * self._search_pause())

    def _search_pause(self) -> float:
        """Return the time in ms until the next look for a leader."""
        cluster = self._cluster
        unwanted = cluster.clock.now() - cluster.leader_wanted_at
        pause = max(_SEARCH_PAUSE, unwanted * _SEARCH_SHARE)
        return min(_LONGEST_SEARCH_PAUSE, pause)

    async def _take_sample(self) -> bool:
        leader = self._cluster.leader
        if leader is None:
            self._cluster.search()
            return False
        answer = await self._cluster.probe(leader, PROBE_TIMEOUT)
        return answer is not None and answer.succeeded
