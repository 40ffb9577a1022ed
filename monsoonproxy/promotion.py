"""Replaces leaders that failed or leave."""

import asyncio
import itertools
import random
import zlib
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import attrs

from monsoonproxy import notices, verdicts
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.clusters import TAKEOVER_LIMIT, Cluster, Member
from monsoonproxy.exceptions import (
    ConnectionLostError,
    DialectError,
    FencedError,
    PlatformError,
)
from monsoonproxy.gossip import JURY, Gossip
from monsoonproxy.lanes import LaneFullError, ServerGoneError
from monsoonproxy.logs import log_for
from monsoonproxy.stores import Store
from monsoonproxy.tokenbook import TokenBook
from monsoonproxy.verdicts import Survey, Tally, Verdict

_log = log_for('promotion')

#: Time in ms without any answer to probes after which a leader is missing. A
#: probe needs no slot and takes 2 ms; a lost packet is sent again after 200 ms.
DETECTION = Millis(240)
#: Pause in ms between two probes of a leader in doubt.
_PROBE_PAUSE = 30
#: Longest wait in ms for the opinions of the other daemons.
_JURY_LIMIT = Millis(300)
#: Time in ms for the positions of the possible successors.
_SURVEY_LIMIT = Millis(200)
#: Delay in ms by which daemons start one after another, so that one claim is
#: told to the others before the next is made.
_RANK_DELAY = 15
_PLANNED_RANK_DELAY = 250
#: Pause in ms before another try after the others did not agree.
_RETRY_PAUSE = 300
#: Time in ms after which a daemon that hears nobody decides alone.
_ALONE_AFTER = 2_000
#: Tries of one order, and the pause in ms between them.
_ORDER_TRIES = 4
_ORDER_PAUSE = 100


class Promoter:
    """Watches the leaders of all services for one daemon.

    :param name: Name of the daemon.
    :param store: The platform's store.
    :param gossip: Notices to the other daemons.
    :param find: Returns the cluster of a service.
    :param clock: Source of time.
    :param rng: Source of jitter.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        gossip: Gossip,
        find: Callable[[str], Cluster | None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._store = store
        self._gossip = gossip
        self._find = find
        self._clock = clock
        self._rng = rng
        self.tokens = TokenBook(name, store)
        self._numbers = itertools.count(1)
        self._tallies: dict[int, Tally] = {}
        self._complete: dict[int, asyncio.Event] = {}
        self._active: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        gossip.handlers[notices.Question] = self._take_question
        gossip.handlers[notices.Opinion] = self._take_opinion
        gossip.handlers[notices.Succession] = self._take_succession

    def doubt(self, cluster: Cluster, server_id: str) -> None:
        """Check a leader that did not answer.

        :param cluster: The service's backend servers.
        :param server_id: Identity of the leader.
        """
        member = cluster.members.get(server_id)
        if member is not None:
            self._start(cluster, self._resolve(cluster, member))

    def look_for_leaving(self, cluster: Cluster) -> None:
        """Replace the leader if it is about to leave.

        :param cluster: The service's backend servers.
        """
        leader = cluster.leader
        if leader is not None and leader.server.leaving:
            self._start(cluster, self._hand_over(cluster, leader))

    def _start(self, cluster: Cluster, work: Coroutine[Any, Any, None]) -> None:
        service = cluster.rules.name
        active = self._active.get(service)
        if active is not None and not active.done():
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._active[service] = task
        task.add_done_callback(_report)

    # A leader that failed.

    async def _resolve(self, cluster: Cluster, member: Member) -> None:
        began = self._clock.now()
        name = member.server.server_id
        token = self.tokens.newest(cluster.rules.name)
        while cluster.members.get(name) is member:
            if cluster.leadership.leader not in {name, None}:
                break
            missing, verdict = await asyncio.gather(
                self._is_missing(cluster, member), self._ask(cluster, member)
            )
            if not missing:
                break
            _log.info('{} is missing; verdict: {}', name, verdict.value)
            waited = self._clock.now() - began
            alone = verdict is Verdict.ALONE and waited > _ALONE_AFTER
            if verdict is Verdict.REPLACE or alone:
                if await self._replace(cluster, member, token):
                    break
                token = self.tokens.newest(cluster.rules.name)
            elif verdict is Verdict.KEEP:
                cluster.set_unreachable(name)
            await asyncio.sleep(seconds(_RETRY_PAUSE))
        cluster.set_unreachable(None)

    async def _is_missing(self, cluster: Cluster, member: Member) -> bool:
        """Tell whether a backend server gives no sign of life."""
        began = self._clock.now()
        refusals = 0
        while self._clock.now() - began < DETECTION:
            responds = await cluster.responds(member, _SURVEY_LIMIT)
            if responds or member.answered_at > began:
                return False
            if member.lane.refused_at >= began:
                refusals += 1
            if refusals > 1:
                return True
            await asyncio.sleep(seconds(_PROBE_PAUSE))
        return True

    async def _ask(self, cluster: Cluster, member: Member) -> Verdict:
        """Ask other daemons whether they miss a leader too."""
        now = self._clock.now()
        jury = self._gossip.neighbours.alive(now)
        if len(jury) > JURY:
            jury = tuple(self._rng.sample(jury, JURY))
        number = next(self._numbers)
        tally = Tally(len(jury))
        complete = asyncio.Event()
        self._tallies[number] = tally
        self._complete[number] = complete
        question = notices.Question(
            self._name, number, cluster.rules.name, member.server.server_id
        )
        addresses = [known.address for known in jury]
        until = now + _JURY_LIMIT
        while addresses and self._clock.now() < until:
            self._gossip.send(question, *addresses)
            if await _wait(complete, _JURY_LIMIT / 3):
                break
        self._tallies.pop(number)
        self._complete.pop(number)
        return tally.verdict()

    async def _replace(
        self, cluster: Cluster, member: Member, token_before: int
    ) -> bool:
        """Promote another backend server; return whether there is a leader."""
        service = cluster.rules.name
        cluster.not_leading(member)
        await asyncio.sleep(seconds(1) * self._rank(service) * _RANK_DELAY)
        if self.tokens.newest(service) > token_before:
            # Another daemon has ordered a promotion meanwhile.
            return await self._taken_over(cluster)
        if cluster.leadership.leader is not None:
            return True
        others = [
            other for other in cluster.members.values() if other is not member
        ]
        surveys = await self._survey(cluster, others)
        target = verdicts.choose_successor(
            surveys, needs_all=cluster.rules.synchronous
        )
        if target is None:
            _log.warning('{} has no possible successor', service)
            return False
        return await self._promote(cluster, target)

    async def _survey(
        self, cluster: Cluster, members: Iterable[Member]
    ) -> list[Survey]:
        return await asyncio.gather(
            *(self._survey_one(cluster, member) for member in members)
        )

    async def _survey_one(self, cluster: Cluster, member: Member) -> Survey:
        received = None
        server = member.server
        try:
            async with cluster.leased(member, _SURVEY_LIMIT) as lease:
                if cluster.rules.synchronous:
                    # Nothing may be acknowledged behind the survey's back.
                    text = cluster.dialect.pause(cluster.leadership.term + 1)
                else:
                    text = cluster.dialect.status()
                answer = await cluster.own_statement(
                    lease, text, _SURVEY_LIMIT
                )
                lease.clean = True
                received = answer.position
                if answer.succeeded:
                    status = cluster.dialect.parse_status(answer)
                    received = status.received
        except (
            ConnectionLostError,
            LaneFullError,
            ServerGoneError,
            DialectError,
        ) as exc:
            _log.info('{} not surveyed: {}', server.server_id, exc)
        return Survey(server.server_id, received, server.leaving, server.born)

    async def _promote(self, cluster: Cluster, target: str) -> bool:
        service = cluster.rules.name
        try:
            token = await self.tokens.claim(service, target)
        except PlatformError as exc:
            _log.warning('No token for {}: {}', service, exc)
            return False
        if token is None:
            _log.info('Another daemon promotes for {}', service)
            return await self._taken_over(cluster)
        self._tell(service, target, token)
        if not await self._order(service, target, token):
            return False
        self._tell(service, target, token)
        cluster.leadership.said(target, self._clock.now())
        cluster.search()
        return await self._taken_over(cluster)

    async def _order(self, service: str, target: str, token: int) -> bool:
        for _ in range(_ORDER_TRIES):
            try:
                await self._store.promote(service, target, self._name, token)
            except FencedError as exc:
                _log.warning('Order refused: {}', exc)
                return False
            except PlatformError as exc:
                _log.warning('Order not answered: {}', exc)
                await asyncio.sleep(seconds(_ORDER_PAUSE))
                continue
            _log.info('Ordered {} for {}, token {}', target, service, token)
            return True
        return False

    def _tell(self, service: str, target: str, token: int) -> None:
        notice = notices.Succession(self._name, service, target, token)
        known = self._gossip.neighbours.all()
        self._gossip.send(notice, *(other.address for other in known))

    async def _taken_over(self, cluster: Cluster) -> bool:
        until = self._clock.now() + TAKEOVER_LIMIT
        while self._clock.now() < until:
            if cluster.leadership.leader is not None:
                return True
            await cluster.wait_change(until - self._clock.now())
        return cluster.leadership.leader is not None

    # A leader that leaves.

    async def _hand_over(self, cluster: Cluster, leader: Member) -> None:
        service = cluster.rules.name
        delay = self._rank(service) * _PLANNED_RANK_DELAY
        token_before = self.tokens.newest(service)
        await asyncio.sleep(seconds(delay))
        if self.tokens.newest(service) > token_before:
            await asyncio.sleep(seconds(TAKEOVER_LIMIT))
            return
        if cluster.leader is not leader:
            return
        answer = await cluster.probe(leader)
        if answer is None or answer.position is None:
            return
        others = [
            other for other in cluster.members.values() if other is not leader
        ]
        surveys = await self._survey(cluster, others)
        target = verdicts.choose_replacement(surveys, answer.position)
        if target is None:
            return
        _log.info('{} leaves; {} takes over', leader.server.server_id, target)
        if await self._promote(cluster, target):
            await self._deposed(cluster, leader)

    async def _deposed(self, cluster: Cluster, leader: Member) -> None:
        until = self._clock.now() + TAKEOVER_LIMIT
        while cluster.leader is leader and self._clock.now() < until:
            await cluster.probe(leader)
            await asyncio.sleep(seconds(_PROBE_PAUSE))

    def _rank(self, service: str) -> int:
        """Return the place of this daemon among those that are alive."""
        now = self._clock.now()
        alive = [known.name for known in self._gossip.neighbours.alive(now)]
        order = sorted(
            (self._name, *alive),
            key=lambda name: zlib.crc32(f'{service}/{name}'.encode()),
        )
        return order.index(self._name)

    # Notices.

    def _take_question(self, question: notices.Question, address: str) -> None:
        task = asyncio.get_running_loop().create_task(
            self._answer(question, address)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, question: notices.Question, address: str) -> None:
        cluster = self._find(question.service)
        if cluster is None:
            return
        member = cluster.members.get(question.server_id)
        reachable = False
        if member is not None:
            reachable = await self._reaches(cluster, member)
        leadership = cluster.leadership
        opinion = notices.Opinion(
            self._name,
            question.number,
            reachable,
            leadership.leader or '',
            leadership.term,
        )
        self._gossip.send(opinion, address)
        if not reachable and member is not None and member is cluster.leader:
            self.doubt(cluster, question.server_id)

    async def _reaches(self, cluster: Cluster, member: Member) -> bool:
        if member.silent_since is not None:
            return False
        if self._clock.now() - member.answered_at < _PROBE_PAUSE:
            return True
        return await cluster.responds(member, _SURVEY_LIMIT)

    def _take_opinion(self, opinion: notices.Opinion, _address: str) -> None:
        tally = self._tallies.get(opinion.number)
        if tally is None:
            return
        tally.add(opinion.sender, reachable=opinion.reachable)
        if tally.is_settled:
            self._complete[opinion.number].set()

    def _take_succession(
        self, succession: notices.Succession, _address: str
    ) -> None:
        self.tokens.heard(succession.service, succession.token)
        cluster = self._find(succession.service)
        if cluster is None:
            return
        cluster.leadership.said(succession.server_id, self._clock.now())
        cluster.search()


async def _wait(event: asyncio.Event, limit: float) -> bool:
    try:
        async with asyncio.timeout(seconds(1) * limit):
            await event.wait()
    except TimeoutError:
        return False
    return True


def _report(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.opt(exception=task.exception()).error('A promotion failed')
