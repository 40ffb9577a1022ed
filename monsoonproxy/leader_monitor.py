"""Finds and probes the leader of a service, and samples its log position."""

import asyncio

from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import PROBE_TIMEOUT, Cluster
from monsoonproxy.connection_pools import PoolExhaustedError, ServerRemovedError
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.leader_replacement import Reachability
from monsoonproxy.members import Member
from monsoonproxy.server_connections import DirectConnection, open_session
from monsoonproxy.service_leader import TAKEOVER_LIMIT

#: Shortest and longest pause in ms between two probes that search for a
#: leader. In between, the pause is a share of the time since a request last
#: needed a leader. At a fixed short pause, a daemon that is cut off for long
#: would spend 7% of a core on the search.
_MIN_SEARCH_PAUSE = Millis(50)
_MAX_SEARCH_PAUSE = Millis(500)
_SEARCH_PAUSE_SHARE = 0.1
#: Time in ms without an answer after which a connection is opened just to
#: probe a backend server. Opening one occupies a slot of the backend server
#: for 12 to 27 ms, too much for one that is only busy.
_OPEN_PROBE_AFTER = Millis(350)


class LeaderMonitor:
    """Finds and probes the leader of one service for one daemon.

    :param cluster: The service's backend servers.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._searches: dict[str, asyncio.Task[None]] = {}
        self._sampling: asyncio.Task[bool] | None = None
        cluster.lead.on_missing = self.search

    @property
    def is_unavailable(self) -> bool:
        """Tell whether no leader is expected to become reachable soon.

        :returns: Whether the leader is reachable only for other daemons and
            none of them lends a connection to it, or it is about to leave and
            has no successor, or no leader was found for longer than
            :data:`TAKEOVER_LIMIT`.
        """
        cluster = self._cluster
        leader = cluster.leader
        if cluster.lead.is_drained:
            return cluster.lead.ordered_successor is None
        if leader is not None:
            return leader.is_cut_off and not leader.borrowed.is_open
        since = cluster.lead.missing_since
        if since is None:
            return False
        return cluster.clock.now() - since > TAKEOVER_LIMIT

    @property
    def refuses_writes(self) -> bool:
        """Tell whether a write can't be run, or would be lost with the leader.

        :returns: Whether no leader is expected soon, or it leaves while no
            other backend server receives its commits.
        """
        return self.is_unavailable or self._cluster.lead.is_stalled

    def search(self) -> None:
        """Probe until a backend server accepts a transaction.

        Probes go to the likely leader, or to all backend servers if there is
        none or it does not answer.
        """
        loop = asyncio.get_running_loop()
        for name in self._cluster.members:
            running = self._searches.get(name)
            if running is None or running.done():
                self._searches[name] = loop.create_task(self._search(name))

    async def sample(self, limit: float) -> bool:
        """Sample the leader's log position; concurrent callers share a sample.

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

    async def check_reachability(
        self, member: Member, limit: float
    ) -> Reachability:
        """Probe a backend server once.

        If all own connections are in use, the last answer decides while it is
        recent; or else another connection is opened for the probe. A refusal
        because of too many connections also shows that the server is alive.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :returns: Whether it answered; unknown if a silent lender or opening
            connections may be the cause.
        """
        cluster = self._cluster
        pool = member.pool
        if pool is not member.direct:
            return await self._probe_through_lender(member, limit)
        if pool.has_idle:
            answer = await cluster.probe(member, limit, pool)
            return (
                Reachability.UNREACHABLE
                if answer is None
                else Reachability.REACHABLE
            )
        if cluster.clock.now() - member.answered_at < _OPEN_PROBE_AFTER:
            await asyncio.sleep(seconds(_MIN_SEARCH_PAUSE))
            return Reachability.REACHABLE
        return await self._probe_by_opening(member, limit)

    async def _probe_through_lender(
        self, member: Member, limit: float
    ) -> Reachability:
        try:
            await self._cluster.probe_or_raise(member, limit, member.pool)
        except ConnectionLostError as exc:
            # A lender that can't reach the backend server says so. A lender
            # that stays silent may be cut off itself, which proves nothing.
            return (
                Reachability.UNKNOWN if exc.sent else Reachability.UNREACHABLE
            )
        except (PoolExhaustedError, ServerRemovedError):
            return Reachability.UNKNOWN
        return Reachability.REACHABLE

    async def _probe_by_opening(
        self, member: Member, limit: float
    ) -> Reachability:
        cluster = self._cluster
        cluster.telemetry.count('probes_by_opening')
        conn = DirectConnection(cluster.dialect, member.server, cluster.clock)
        try:
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                await open_session(conn)
        except TimeoutError:
            if conn.connected and member.may_be_busy(cluster.clock.now()):
                return Reachability.UNKNOWN
            return Reachability.UNREACHABLE
        except ConnectionLostError:
            return Reachability.UNREACHABLE
        finally:
            conn.abort()
        return Reachability.REACHABLE

    async def _search(self, name: str) -> None:
        cluster = self._cluster
        while (
            cluster.lead.leadership.leader is None and name in cluster.members
        ):
            if self._must_probe(name):
                await cluster.probe(cluster.members[name])
            await asyncio.sleep(seconds(1) * self._search_pause())

    def _must_probe(self, name: str) -> bool:
        """Tell whether a backend server may be the leader that is searched.

        One that only its entry names may have been replaced since.
        """
        cluster = self._cluster
        if cluster.lead.leadership.likely_leader() in {None, name}:
            return True
        since = cluster.lead.missing_since
        return since is not None and cluster.clock.now() - since > PROBE_TIMEOUT

    def _search_pause(self) -> float:
        """Return the pause in ms until the next search probe."""
        cluster = self._cluster
        unused_for = cluster.clock.now() - cluster.lead.wanted_at
        pause = max(_MIN_SEARCH_PAUSE, unused_for * _SEARCH_PAUSE_SHARE)
        return min(_MAX_SEARCH_PAUSE, pause)

    async def _take_sample(self) -> bool:
        leader = self._cluster.leader
        if leader is None:
            self._cluster.lead.find()
            return False
        answer = await self._cluster.probe(leader, PROBE_TIMEOUT)
        return answer is not None and answer.succeeded
