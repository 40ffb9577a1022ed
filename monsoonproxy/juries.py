"""Asks other daemons whether they reach a leader, and answers them."""

import asyncio
import itertools
import random
from collections.abc import Callable

from monsoonproxy import notices
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.gossip import Gossip
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.statement_runner import StatementRunner
from monsoonproxy.verdicts import Evidence, Tally

_log = log_for('jury')

#: Daemons that are asked about a leader.
_JURY = 16
#: Longest wait in ms for their opinions, and how often a question is sent.
_LIMIT = Millis(300)
_QUESTIONS = 3
#: Longest time in ms for the answer of a backend server to a probe.
PROBE_LIMIT = Millis(200)
#: An answer of a backend server that is no older than this, in ms, spares a
#: probe.
_RECENT = 30

_OPINIONS = {
    Evidence.REACHED: True,
    Evidence.MISSING: False,
    Evidence.UNKNOWN: None,
}

Find = Callable[[str], StatementRunner | None]


class Jury:
    """Opinions about leaders.

    :param gossip: Notices to the other daemons.
    :param find: Returns the runner of a service.
    :param clock: Source of time.
    :param rng: Chooses whom to ask.
    """

    def __init__(
        self, gossip: Gossip, find: Find, clock: Clock, rng: random.Random
    ) -> None:
        #: Is told of a leader that this daemon misses too.
        self.on_missing: Callable[[StatementRunner, Member], None] = _ignore
        self._gossip = gossip
        self._find = find
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tallies: dict[int, Tally] = {}
        self._settled: dict[int, asyncio.Event] = {}
        self._tasks = Background()
        gossip.handlers[notices.Question] = self._take_question
        gossip.handlers[notices.Opinion] = self._take_opinion

    async def ask(self, service: str, member: Member) -> Tally:
        """Ask other daemons whether they miss a leader too.

        :param service: Name of the service.
        :param member: The leader.
        :returns: Their opinions.
        """
        server_id = member.server.server_id
        asked = self._choose(member)
        number = next(self._numbers)
        tally = Tally(len(asked))
        settled = asyncio.Event()
        self._tallies[number] = tally
        self._settled[number] = settled
        question = notices.Question(
            self._gossip.name, number, service, server_id
        )
        for _ in range(_QUESTIONS if asked else 0):
            self._gossip.send(question, *asked)
            if await _wait(settled, _LIMIT / _QUESTIONS):
                break
        self._tallies.pop(number)
        self._settled.pop(number)
        _log.bind(
            service=service,
            server=server_id,
            asked=tally.asked,
            missing=len(tally.missing),
            reaching=len(tally.reaching),
            undecided=len(tally.undecided),
        ).info('Others asked about a leader')
        return tally

    def _choose(self, member: Member) -> list[str]:
        """Return whom to ask: those that connect to the leader themselves."""
        lenders = member.borrowed.lenders()
        alive = self._gossip.neighbours.alive(self._clock.now())
        addresses = [
            known.address
            for known in alive
            if not known.leaving and (not lenders or known.relay in lenders)
        ]
        if len(addresses) <= _JURY:
            return addresses
        return self._rng.sample(addresses, _JURY)

    def _take_question(self, question: notices.Question, address: str) -> None:
        self._tasks.spawn(self._answer(question, address))

    async def _answer(self, question: notices.Question, address: str) -> None:
        runner = self._find(question.service)
        if runner is None:
            return
        member = runner.cluster.members.get(question.server_id)
        if member is None:
            return
        evidence = await self._evidence(runner, member)
        reachable = _OPINIONS[evidence]
        opinion = notices.Opinion(self._gossip.name, question.number, reachable)
        self._gossip.send(opinion, address)
        if evidence is Evidence.MISSING:
            self.on_missing(runner, member)

    async def _evidence(
        self, runner: StatementRunner, member: Member
    ) -> Evidence:
        if member.silent_since is not None:
            return Evidence.MISSING
        if self._clock.now() - member.answered_at < _RECENT:
            return Evidence.REACHED
        return await runner.leaders.evidence(member, PROBE_LIMIT)

    def _take_opinion(self, opinion: notices.Opinion, _address: str) -> None:
        tally = self._tallies.get(opinion.number)
        if tally is None:
            return
        tally.add(opinion.sender, reachable=opinion.reachable)
        if tally.is_settled:
            self._settled[opinion.number].set()


async def _wait(event: asyncio.Event, limit: float) -> bool:
    try:
        async with asyncio.timeout(seconds(1) * limit):
            await event.wait()
    except TimeoutError:
        return False
    return True


def _ignore(_runner: StatementRunner, _member: Member) -> None:
    """Do nothing; stands in until somebody replaces leaders."""
