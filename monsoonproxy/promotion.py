"""Replaces leaders that failed or are about to leave."""

import asyncio
import zlib
from collections.abc import Coroutine
from typing import Any

from monsoonproxy import gossip_messages
from monsoonproxy.background import Background
from monsoonproxy.candidates import query_candidates
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.exceptions import (
    FencedError,
    PlatformError,
)
from monsoonproxy.fencing_tokens import FencingTokens
from monsoonproxy.gossip import Gossip
from monsoonproxy.handover import check_stalled
from monsoonproxy.leader_replacement import (
    Assessment,
    Decision,
    Reachability,
    choose_successor,
    decide_without_peers,
)
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.planned_changes import PlannedChange, find_successor
from monsoonproxy.reachability import (
    PROBE_LIMIT,
    FindRunner,
    ReachabilityPoller,
)
from monsoonproxy.service_leader import TAKEOVER_LIMIT
from monsoonproxy.statement_runner import StatementRunner
from monsoonproxy.stores import Store

_log = log_for('promotion')

#: Time in ms without an answer to any probe after which a leader counts as
#: unreachable. A probe needs no slot and takes 2 ms; the limit leaves time for
#: a lost packet, which is sent again after 200 ms.
_DETECTION_TIME = Millis(240)
#: Pause in ms between two probes of a leader that is checked.
_PROBE_INTERVAL = 30
#: Pause in ms between two probes of a successor that another daemon announced.
_SUCCESSOR_PROBE_INTERVAL = 60
#: Refused connections after which a leader counts as unreachable.
_MAX_REFUSALS = 2
#: Delay in ms per rank between the starts of the daemons, so that the claim of
#: one reaches the others before the next claims a token; after a failure, and
#: for a leader that is about to leave.
_RANK_DELAY = 15
_PLANNED_RANK_DELAY = 250
#: First and longest pause in ms before the next attempt if the leader was not
#: replaced, and the factor between two pauses. Daemons that lose the leader
#: later poll this one.
_FIRST_RETRY_PAUSE = 300
_MAX_RETRY_PAUSE = 1_500
_RETRY_GROWTH = 1.5
#: Time in ms after which a daemon without any peer decides alone.
_DECIDE_ALONE_AFTER = 2_000
#: Time in ms without a leader after which a service gets one although none is
#: known that failed: the entry of the leader is gone, or never came. Entries
#: come within two seconds of a start, or of the return of the store.
_MISSING_LEADER_TIME = 4_000
#: Time in ms within which all backend servers must have answered not to lead.
#: The search for a leader asks each of them every 0.5 s.
_RECENT_REFUSAL = 1_500
#: Attempts to send one promotion order, and the pause in ms between them.
_ORDER_ATTEMPTS = 4
_ORDER_PAUSE = 100


class Promoter:
    """Replaces the leaders of all services for one daemon.

    :param store: The platform's store.
    :param gossip: Messages to the other daemons.
    :param poller: Polls the other daemons about leaders.
    :param find: Returns the runner of a service.
    :param clock: Source of time.
    """

    def __init__(
        self,
        store: Store,
        gossip: Gossip,
        poller: ReachabilityPoller,
        find: FindRunner,
        clock: Clock,
    ) -> None:
        self.tokens = FencingTokens(gossip.name, store)
        self._name = gossip.name
        self._store = store
        self._gossip = gossip
        self._poller = poller
        self._find_runner = find
        self._clock = clock
        self._active: dict[str, asyncio.Task[None]] = {}
        self._tasks = Background()
        poller.on_unreachable = self._on_unreachable
        gossip.handlers[gossip_messages.PromotionOrdered] = self._on_succession

    def check_leader(self, cluster: Cluster, server_id: str) -> None:
        """Check a leader that did not answer, and replace it if it failed.

        :param cluster: The service's backend servers.
        :param server_id: Identity of the leader.
        """
        runner = self._find_runner(cluster.rules.name)
        member = cluster.members.get(server_id)
        if runner is not None and member is not None:
            self._start(runner, self._replace_if_failed(runner, member))

    def replace_leaving_leader(self, runner: StatementRunner) -> None:
        """Start a planned change if the leader of a service is about to leave.

        :param runner: Runner of the service.
        """
        leader = runner.cluster.leader
        if leader is not None and leader.server.leaving:
            if runner.cluster.lead.is_stalled:
                runner.background.spawn(check_stalled(runner.cluster))
            self._start(runner, self._hand_over(runner, leader))

    def replace_missing_leader(self, runner: StatementRunner) -> None:
        """Start a replacement if no backend server of a service leads.

        The leader may have left, or lost its entry, while none of the others
        was up to take over.

        :param runner: Runner of the service.
        """
        cluster, now = runner.cluster, self._clock.now()
        if cluster.leader is not None or not cluster.members:
            return
        cluster.lead.find()
        since = cluster.lead.missing_since
        # A leader that has left as announced does not come back.
        least = 0 if cluster.lead.left else _MISSING_LEADER_TIME
        if since is None or now - since < least:
            return
        recent = Millis(now - _RECENT_REFUSAL)
        if cluster.lead.leadership.have_all_refused(cluster.members, recent):
            self._start(runner, self._replace_missing(runner))

    def _start(
        self, runner: StatementRunner, work: Coroutine[Any, Any, None]
    ) -> None:
        service = runner.cluster.rules.name
        active = self._active.get(service)
        if active is not None and not active.done():
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._active[service] = task
        task.add_done_callback(_log_failure)

    def _on_unreachable(self, runner: StatementRunner, member: Member) -> None:
        if member is runner.cluster.leader:
            self.check_leader(runner.cluster, member.server.server_id)

    # Replacement of a failed leader.

    async def _replace_if_failed(
        self, runner: StatementRunner, member: Member
    ) -> None:
        """Replace an unreachable leader, or wait until it answers again."""
        try:
            await self._retry_replacement(runner, member)
        finally:
            # Also after an unexpected error: a daemon that counts as
            # partitioned does not report that it is ready.
            member.clear_unreachable()

    async def _retry_replacement(
        self, runner: StatementRunner, member: Member
    ) -> None:
        began = self._clock.now()
        pause: float = _FIRST_RETRY_PAUSE
        while self._still_leads(runner.cluster, member):
            # Another one may lead if only its entry says that this one does.
            runner.cluster.lead.find()
            assessment = await self._assess(runner, member)
            if assessment is None:
                break
            if self._clock.now() - began > _DECIDE_ALONE_AFTER:
                assessment = decide_without_peers(assessment)
            if await self._act_on(runner, member, assessment):
                break
            await asyncio.sleep(seconds(1) * pause)
            pause = min(_MAX_RETRY_PAUSE, pause * _RETRY_GROWTH)

    async def _act_on(
        self, runner: StatementRunner, member: Member, assessment: Assessment
    ) -> bool:
        """Act on an assessment; return whether there is a leader."""
        if assessment.decision is Decision.REPLACE:
            return await self._replace(runner, member)
        # Meanwhile, statements go through the daemons that reach the leader.
        peers = self._gossip.peers
        member.borrowed.restrict(peers.relay_addresses(assessment.reaching))
        member.is_cut_off = assessment.is_cut_off
        member.is_partitioned = (
            assessment.is_cut_off and assessment.is_partitioned
        )
        return False

    def _still_leads(self, cluster: Cluster, member: Member) -> bool:
        name = member.server.server_id
        known = cluster.members.get(name) is member
        return known and cluster.lead.leadership.leader in {name, None}

    async def _assess(
        self, runner: StatementRunner, member: Member
    ) -> Assessment | None:
        """Probe a leader and poll the peers; return ``None`` if it answers."""
        service, name = runner.cluster.rules.name, member.server.server_id
        own, tally = await asyncio.gather(
            self._check_reachability(runner, member),
            self._poller.poll(service, member),
        )
        if own is Reachability.REACHABLE:
            return None
        assessment = Assessment(
            tally.decide(own=own),
            frozenset(tally.reaching),
            tally.is_partitioned,
        )
        _log.bind(own=own.value).info(
            'No answer from leader {}; decision: {}',
            name,
            assessment.decision.value,
        )
        return assessment

    async def _check_reachability(
        self, runner: StatementRunner, member: Member
    ) -> Reachability:
        """Probe a backend server until it answers or counts as unreachable.

        Stops at once if a probe is inconclusive; the peers' replies decide
        then.
        """
        began = self._clock.now()
        refusals = 0
        found = Reachability.UNREACHABLE
        while (
            self._clock.now() - began < _DETECTION_TIME
            and refusals < _MAX_REFUSALS
        ):
            found = await runner.leaders.check_reachability(member, PROBE_LIMIT)
            if found is Reachability.REACHABLE or member.answered_at > began:
                return Reachability.REACHABLE
            if found is Reachability.UNKNOWN:
                break
            refusals += int(member.pool.refused_at >= began)
            await asyncio.sleep(seconds(_PROBE_INTERVAL))
        return found

    async def _replace(self, runner: StatementRunner, member: Member) -> bool:
        """Promote another backend server; return whether there is a leader."""
        cluster = runner.cluster
        cluster.lead.mark_not_leading(member)
        return await self._elect(
            cluster, _other_members(cluster, member), member.server.server_id
        )

    async def _replace_missing(self, runner: StatementRunner) -> None:
        cluster = runner.cluster
        _log.warning(
            'No backend server of {} has led for {} ms; promoting one',
            cluster.rules.name,
            self._clock.now() - (cluster.lead.missing_since or 0),
        )
        await self._elect(cluster, list(cluster.members.values()))

    async def _elect(
        self, cluster: Cluster, members: list[Member], replaced: str = ''
    ) -> bool:
        """Promote one of some backend servers, unless another daemon does.

        :param cluster: The backend servers of the service.
        :param members: Those that may lead.
        :param replaced: Identity of the failed leader, if there was one.
        :returns: Whether there is a leader.
        """
        service = cluster.rules.name
        await asyncio.sleep(seconds(self._rank(service) * _RANK_DELAY))
        if self._is_promotion_pending(service):
            return await _wait_for_leader(cluster)
        if cluster.lead.leadership.leader is not None:
            return True
        candidates = await query_candidates(cluster, members)
        target = choose_successor(
            candidates, needs_all=cluster.rules.synchronous
        )
        if target is None:
            _log.warning('Service {} has no candidate to promote', service)
            return False
        return await self._promote(cluster, target, replaced)

    async def _promote(
        self,
        cluster: Cluster,
        target: str,
        replaced: str,
        planned: PlannedChange | None = None,
    ) -> bool:
        service = cluster.rules.name
        if self._is_promotion_pending(service):
            # Announced while the candidates were asked.
            return await _wait_for_leader(cluster)
        try:
            token = await self.tokens.claim(service, target, replaced)
        except PlatformError as exc:
            _log.warning(
                'Fencing token for {} could not be claimed: {}', service, exc
            )
            return False
        if token is None:
            _log.info(
                'Another daemon claimed the fencing token for {};'
                ' waiting for its promotion',
                service,
            )
            return await _wait_for_leader(cluster)
        cluster.lead.leadership.announce_successor(target, self._clock.now())
        self._announce(service, target, token)
        if planned is not None and not await planned.prepare():
            _log.warning(
                'Planned change of {} given up: {} does not have all commits',
                service,
                target,
            )
            return False
        token = await self._order_promotion(cluster, target, token)
        if token is None:
            return False
        self._announce(service, target, token)
        cluster.lead.leadership.announce_successor(target, self._clock.now())
        cluster.lead.find()
        return await _wait_for_leader(cluster)

    async def _order_promotion(
        self, cluster: Cluster, target: str, token: int
    ) -> int | None:
        """Order a promotion, again if an order is not answered.

        :returns: The token of the order, or ``None`` if none was accepted.
        """
        service = cluster.rules.name
        for _ in range(_ORDER_ATTEMPTS):
            if self.tokens.newest(service) > token:
                _log.info(
                    'Promotion order withdrawn: fencing token {} for {} is'
                    ' outdated',
                    token,
                    service,
                )
                return None
            is_ordered = await self._send_order(service, target, token)
            if is_ordered is not None:
                return token if is_ordered else None
            if await self._leads(cluster, target):
                return token
            token = await self._renew_token(service, target, token)
        return None

    async def _send_order(
        self, service: str, target: str, token: int
    ) -> bool | None:
        """Order a promotion; return ``None`` if there was no answer."""
        try:
            await self._store.promote(service, target, self._name, token)
        except FencedError as exc:
            _log.warning('Promotion order refused: {}', exc)
            return False
        except PlatformError as exc:
            _log.warning('Promotion order failed: {}', exc)
            await asyncio.sleep(seconds(_ORDER_PAUSE))
            return None
        _log.info(
            'Ordered promotion of {} for {} with fencing token {}',
            target,
            service,
            token,
        )
        return True

    async def _leads(self, cluster: Cluster, target: str) -> bool:
        """Tell whether an order without an answer was carried out."""
        member = cluster.members.get(target)
        if member is not None:
            await cluster.probe(member)
        return cluster.lead.leadership.leader == target

    async def _renew_token(self, service: str, target: str, token: int) -> int:
        """Claim a token for the next order of a promotion.

        An order without an answer may be carried out late, and would promote a
        second time. A later order with a greater token fences it off.

        :returns: The token; the same if the store does not answer, or if
            another daemon claims one.
        """
        try:
            claimed = await self.tokens.claim(service, target)
        except PlatformError as exc:
            _log.warning('Fencing token for {} not renewed: {}', service, exc)
            return token
        if claimed is None:
            return token
        self._announce(service, target, claimed)
        return claimed

    def _announce(self, service: str, target: str, token: int) -> None:
        notice = gossip_messages.PromotionOrdered(
            self._name, service, target, token
        )
        known = self._gossip.peers.all()
        self._gossip.send(notice, *(other.address for other in known))

    # Planned change of a leader that is about to leave.

    async def _hand_over(self, runner: StatementRunner, leader: Member) -> None:
        cluster = runner.cluster
        service = cluster.rules.name
        await asyncio.sleep(seconds(self._rank(service) * _PLANNED_RANK_DELAY))
        if self._is_promotion_pending(service):
            return
        successor = await find_successor(cluster, leader)
        if successor is None:
            return
        target = successor.server.server_id
        _log.info(
            'Leader {} is about to leave; promoting {}',
            leader.server.server_id,
            target,
        )
        change = PlannedChange(cluster, leader, successor)
        replaced = leader.server.server_id
        if await self._promote(cluster, target, replaced, change):
            await self._wait_until_replaced(cluster, leader)
            return
        if not self._is_promotion_pending(service):
            await change.give_up()
        await asyncio.sleep(seconds(_FIRST_RETRY_PAUSE))

    async def _wait_until_replaced(
        self, cluster: Cluster, leader: Member
    ) -> None:
        until = self._clock.now() + TAKEOVER_LIMIT
        while cluster.leader is leader and self._clock.now() < until:
            await cluster.probe(leader)
            await asyncio.sleep(seconds(_PROBE_INTERVAL))

    def _is_promotion_pending(self, service: str) -> bool:
        """Tell whether another daemon has recently claimed a promotion."""
        now = self._clock.now()
        return self.tokens.claimed_by_peer(service, TAKEOVER_LIMIT, now)

    def _rank(self, service: str) -> int:
        """Return the rank of this daemon among the live ones for a service."""
        now = self._clock.now()
        alive = [known.name for known in self._gossip.peers.alive(now)]
        order = sorted(
            (self._name, *alive),
            key=lambda name: zlib.crc32(f'{service}/{name}'.encode()),
        )
        return order.index(self._name)

    def _on_succession(
        self, succession: gossip_messages.PromotionOrdered, _address: str
    ) -> None:
        self.tokens.record_announced(
            succession.service, succession.token, self._clock.now()
        )
        runner = self._find_runner(succession.service)
        if runner is not None:
            cluster = runner.cluster
            now = self._clock.now()
            cluster.lead.leadership.announce_successor(
                succession.server_id, now
            )
            self._tasks.spawn(
                self._probe_successor(cluster, succession.server_id)
            )

    async def _probe_successor(self, cluster: Cluster, target: str) -> None:
        """Probe an announced successor until it leads.

        Otherwise, a daemon that has seen no failure of the old leader might go
        on using it.
        """
        until = self._clock.now() + TAKEOVER_LIMIT
        while (
            cluster.lead.leadership.leader != target
            and self._clock.now() < until
        ):
            member = cluster.members.get(target)
            if member is not None:
                await cluster.probe(member)
            await asyncio.sleep(seconds(_SUCCESSOR_PROBE_INTERVAL))


def _other_members(cluster: Cluster, member: Member) -> list[Member]:
    return [other for other in cluster.members.values() if other is not member]


async def _wait_for_leader(cluster: Cluster) -> bool:
    """Wait for a leader to accept transactions; return whether one does."""
    until = cluster.clock.now() + TAKEOVER_LIMIT
    while (
        cluster.lead.leadership.leader is None and cluster.clock.now() < until
    ):
        await cluster.lead.wait_for_change(until - cluster.clock.now())
    return cluster.lead.leadership.leader is not None


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.opt(exception=task.exception()).error(
            'Check or replacement of a leader failed'
        )
