"""Replaces leaders that failed or leave."""

import asyncio
import zlib
from collections.abc import Coroutine, Iterable
from typing import Any

from monsoonproxy import notices
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import (
    DialectError,
    FencedError,
    PlatformError,
)
from monsoonproxy.gossip import Gossip
from monsoonproxy.juries import PROBE_LIMIT, Find, Jury
from monsoonproxy.lanes import Claim
from monsoonproxy.leaders import TAKEOVER_LIMIT
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer
from monsoonproxy.statement_runner import CONNECTION_ERRORS, StatementRunner
from monsoonproxy.stores import Store
from monsoonproxy.tokenbook import TokenBook
from monsoonproxy.verdicts import (
    Evidence,
    Finding,
    Survey,
    Verdict,
    choose_replacement,
    choose_successor,
    decided_alone,
)

_log = log_for('promotion')

#: Time in ms without any answer to probes after which a leader is missing. A
#: probe needs no slot and takes 2 ms; a lost packet is sent again after 200 ms.
DETECTION = Millis(240)
#: Pause in ms between two probes of a leader in doubt.
_PROBE_PAUSE = 30
#: Pause in ms between two looks at a successor that another daemon announced.
_FOLLOW_PAUSE = 60
#: Refused connections after which a leader is missing.
_REFUSALS = 2
#: Delay in ms by which daemons start one after another, so that one claim is
#: told to the others before the next is made.
_RANK_DELAY = 15
_PLANNED_RANK_DELAY = 250
#: First and longest pause in ms before another try after the others did not
#: agree, and its growth. Who loses the leader later asks this daemon.
_RETRY_PAUSE = 300
_LONGEST_RETRY_PAUSE = 1_500
_RETRY_GROWTH = 1.5
#: Time in ms after which a daemon that hears nobody decides alone.
_ALONE_AFTER = 2_000
#: Tries of one order, and the pause in ms between them.
_ORDER_TRIES = 4
_ORDER_PAUSE = 100


class Promoter:
    """Watches the leaders of all services for one daemon.

    :param store: The platform's store.
    :param gossip: Notices to the other daemons.
    :param jury: Asks the other daemons.
    :param find: Returns the runner of a service.
    :param clock: Source of time.
    """

    def __init__(
        self,
        store: Store,
        gossip: Gossip,
        jury: Jury,
        find: Find,
        clock: Clock,
    ) -> None:
        self.tokens = TokenBook(gossip.name, store)
        self._name = gossip.name
        self._store = store
        self._gossip = gossip
        self._jury = jury
        self._find = find
        self._clock = clock
        self._active: dict[str, asyncio.Task[None]] = {}
        self._tasks = Background()
        jury.on_missing = self._also_missing
        gossip.handlers[notices.Succession] = self._take_succession

    def doubt(self, cluster: Cluster, server_id: str) -> None:
        """Check a leader that did not answer.

        :param cluster: The service's backend servers.
        :param server_id: Identity of the leader.
        """
        runner = self._find(cluster.rules.name)
        member = cluster.members.get(server_id)
        if runner is not None and member is not None:
            self._start(runner, self._resolve(runner, member))

    def look_for_leaving(self, runner: StatementRunner) -> None:
        """Replace the leader of a service if it is about to leave.

        :param runner: Runner of the service.
        """
        leader = runner.cluster.leader
        if leader is not None and leader.server.leaving:
            self._start(runner, self._hand_over(runner, leader))

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
        task.add_done_callback(_report)

    def _also_missing(self, runner: StatementRunner, member: Member) -> None:
        if member is runner.cluster.leader:
            self.doubt(runner.cluster, member.server.server_id)

    # A leader that failed.

    async def _resolve(self, runner: StatementRunner, member: Member) -> None:
        """Replace a missing leader, or wait until it is back."""
        try:
            await self._until_led(runner, member)
        finally:
            # Also after an unexpected error: a daemon that is apart is not
            # ready.
            member.reconnected()

    async def _until_led(self, runner: StatementRunner, member: Member) -> None:
        began = self._clock.now()
        pause: float = _RETRY_PAUSE
        while self._still_leads(runner.cluster, member):
            finding = await self._judge(runner, member)
            if finding is None:
                break
            if self._clock.now() - began > _ALONE_AFTER:
                finding = decided_alone(finding)
            if await self._carry_out(runner, member, finding):
                break
            await asyncio.sleep(seconds(1) * pause)
            pause = min(_LONGEST_RETRY_PAUSE, pause * _RETRY_GROWTH)

    async def _carry_out(
        self, runner: StatementRunner, member: Member, finding: Finding
    ) -> bool:
        """Act on a finding; return whether there is a leader."""
        if finding.verdict is Verdict.REPLACE:
            return await self._replace(runner, member)
        # Statements go through the daemons that reach it meanwhile.
        neighbours = self._gossip.neighbours
        member.borrowed.restrict(neighbours.relays_of(finding.reaching))
        member.is_cut_off = finding.is_cut_off
        member.is_apart = finding.is_cut_off and finding.is_apart
        return False

    def _still_leads(self, cluster: Cluster, member: Member) -> bool:
        name = member.server.server_id
        known = cluster.members.get(name) is member
        return known and cluster.leadership.leader in {name, None}

    async def _judge(
        self, runner: StatementRunner, member: Member
    ) -> Finding | None:
        """Decide about a leader; return ``None`` if it answers."""
        service, name = runner.cluster.rules.name, member.server.server_id
        own, tally = await asyncio.gather(
            self._evidence(runner, member), self._jury.ask(service, member)
        )
        if own is Evidence.REACHED:
            return None
        finding = Finding(
            tally.verdict(own=own), frozenset(tally.reaching), tally.is_apart
        )
        _log.bind(own=own.value).info(
            '{} is missing; verdict: {}', name, finding.verdict.value
        )
        return finding

    async def _evidence(
        self, runner: StatementRunner, member: Member
    ) -> Evidence:
        """Look for a sign of life of a backend server for some time.

        Who can't tell doesn't look for long; the others' opinions decide.
        """
        began = self._clock.now()
        refusals = 0
        found = Evidence.MISSING
        while self._clock.now() - began < DETECTION and refusals < _REFUSALS:
            found = await runner.leaders.evidence(member, PROBE_LIMIT)
            if found is Evidence.REACHED or member.answered_at > began:
                return Evidence.REACHED
            if found is Evidence.UNKNOWN:
                break
            refusals += int(member.lane.refused_at >= began)
            await asyncio.sleep(seconds(_PROBE_PAUSE))
        return found

    async def _replace(self, runner: StatementRunner, member: Member) -> bool:
        """Promote another backend server; return whether there is a leader."""
        cluster = runner.cluster
        service = cluster.rules.name
        cluster.not_leading(member)
        await asyncio.sleep(seconds(self._rank(service) * _RANK_DELAY))
        if self._is_under_way(service):
            return await _taken_over(cluster)
        if cluster.leadership.leader is not None:
            return True
        surveys = await _survey(cluster, _others(cluster, member))
        target = choose_successor(surveys, needs_all=cluster.rules.synchronous)
        if target is None:
            _log.warning('{} has no possible successor', service)
            return False
        return await self._promote(cluster, target)

    async def _promote(self, cluster: Cluster, target: str) -> bool:
        service = cluster.rules.name
        try:
            token = await self.tokens.claim(service, target)
        except PlatformError as exc:
            _log.warning('No token for {}: {}', service, exc)
            return False
        if token is None:
            _log.info('Another daemon promotes for {}', service)
            return await _taken_over(cluster)
        cluster.leadership.announced(target, self._clock.now())
        self._tell(service, target, token)
        if not await self._order(service, target, token):
            return False
        self._tell(service, target, token)
        cluster.leadership.announced(target, self._clock.now())
        cluster.search()
        return await _taken_over(cluster)

    async def _order(self, service: str, target: str, token: int) -> bool:
        for _ in range(_ORDER_TRIES):
            if self.tokens.newest(service) > token:
                _log.info('Token {} for {} is outdated', token, service)
                return False
            try:
                await self._store.promote(service, target, self._name, token)
            except FencedError as exc:
                _log.warning('Order refused: {}', exc)
                return False
            except PlatformError as exc:
                _log.warning('Order not answered: {}', exc)
                await asyncio.sleep(seconds(_ORDER_PAUSE))
            else:
                _log.info('Ordered {} for {} by {}', target, service, token)
                return True
        return False

    def _tell(self, service: str, target: str, token: int) -> None:
        notice = notices.Succession(self._name, service, target, token)
        known = self._gossip.neighbours.all()
        self._gossip.send(notice, *(other.address for other in known))

    # A leader that leaves.

    async def _hand_over(self, runner: StatementRunner, leader: Member) -> None:
        cluster = runner.cluster
        service = cluster.rules.name
        await asyncio.sleep(seconds(self._rank(service) * _PLANNED_RANK_DELAY))
        if self._is_under_way(service):
            return
        target = await self._replacement(cluster, leader)
        if target is None:
            return
        _log.info('{} leaves; {} takes over', leader.server.server_id, target)
        if await self._promote(cluster, target):
            await self._wait_deposed(cluster, leader)

    async def _replacement(
        self, cluster: Cluster, leader: Member
    ) -> str | None:
        if cluster.leader is not leader:
            return None
        answer = await cluster.probe(leader)
        if answer is None or answer.position is None:
            return None
        surveys = await _survey(cluster, _others(cluster, leader))
        return choose_replacement(surveys, answer.position)

    async def _wait_deposed(self, cluster: Cluster, leader: Member) -> None:
        until = self._clock.now() + TAKEOVER_LIMIT
        while cluster.leader is leader and self._clock.now() < until:
            await cluster.probe(leader)
            await asyncio.sleep(seconds(_PROBE_PAUSE))

    def _is_under_way(self, service: str) -> bool:
        """Tell whether another daemon has ordered a promotion lately."""
        now = self._clock.now()
        return self.tokens.taken_by_other(service, TAKEOVER_LIMIT, now)

    def _rank(self, service: str) -> int:
        """Return the place of this daemon among those that are alive."""
        now = self._clock.now()
        alive = [known.name for known in self._gossip.neighbours.alive(now)]
        order = sorted(
            (self._name, *alive),
            key=lambda name: zlib.crc32(f'{service}/{name}'.encode()),
        )
        return order.index(self._name)

    def _take_succession(
        self, succession: notices.Succession, _address: str
    ) -> None:
        self.tokens.heard(
            succession.service, succession.token, self._clock.now()
        )
        runner = self._find(succession.service)
        if runner is not None:
            cluster = runner.cluster
            now = self._clock.now()
            cluster.leadership.announced(succession.server_id, now)
            self._tasks.spawn(self._follow(cluster, succession.server_id))

    async def _follow(self, cluster: Cluster, target: str) -> None:
        """Look at an announced successor until it leads.

        This daemon may take the old leader for well, for want of evidence.
        """
        until = self._clock.now() + TAKEOVER_LIMIT
        while cluster.leadership.leader != target and self._clock.now() < until:
            member = cluster.members.get(target)
            if member is not None:
                await cluster.probe(member)
            await asyncio.sleep(seconds(_FOLLOW_PAUSE))


def _others(cluster: Cluster, member: Member) -> list[Member]:
    return [other for other in cluster.members.values() if other is not member]


async def _survey(cluster: Cluster, members: Iterable[Member]) -> list[Survey]:
    """Ask backend servers for their positions."""
    return await asyncio.gather(
        *(_survey_one(cluster, member) for member in members)
    )


async def _survey_one(cluster: Cluster, member: Member) -> Survey:
    server = member.server
    dialect = cluster.dialect
    if cluster.rules.synchronous:
        # Nothing may be acknowledged behind the survey's back.
        text = dialect.pause(cluster.leadership.term + 1)
    else:
        text = dialect.status()
    received = None
    try:
        async with cluster.leased(member, Claim(PROBE_LIMIT)) as lease:
            answer = await cluster.own_statement(lease, text, PROBE_LIMIT)
            lease.clean = True
            received = _received(dialect, answer)
    except CONNECTION_ERRORS as exc:
        _log.info('{} not surveyed: {}', server.server_id, exc)
    return Survey(server.server_id, received, server.leaving, server.born)


def _received(dialect: Dialect, answer: Answer) -> Position | None:
    if not answer.succeeded:
        # A busy one still tells a position, which is not greater.
        return answer.position
    try:
        return dialect.parse_status(answer).received
    except DialectError as exc:
        _log.warning('{}', exc)
        return answer.position


async def _taken_over(cluster: Cluster) -> bool:
    """Wait until a leader accepts transactions; return whether one does."""
    until = cluster.clock.now() + TAKEOVER_LIMIT
    while cluster.leadership.leader is None and cluster.clock.now() < until:
        await cluster.wait_change(until - cluster.clock.now())
    return cluster.leadership.leader is not None


def _report(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.opt(exception=task.exception()).error('A promotion failed')
