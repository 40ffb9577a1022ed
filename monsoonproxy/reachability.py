"""Polls other daemons about whether they reach a leader, and answers polls."""

import asyncio
import itertools
import random
from collections.abc import Callable

from monsoonproxy import gossip_messages
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.gossip import Gossip
from monsoonproxy.leader_replacement import Reachability, Tally
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.statement_runner import StatementRunner

_log = log_for('jury')

#: Greatest number of daemons that are polled about a leader.
_MAX_POLLED = 16
#: Longest wait in ms for the replies, and how often the question is sent in
#: that time.
_POLL_TIMEOUT = Millis(300)
_QUESTION_SENDS = 3
#: Longest wait in ms for a backend server's answer to a probe.
PROBE_LIMIT = Millis(200)
#: Age in ms below which the last answer of a backend server makes a probe
#: unnecessary.
_RECENT_ANSWER = 30

_REACHABLE = {
    Reachability.REACHABLE: True,
    Reachability.UNREACHABLE: False,
    Reachability.UNKNOWN: None,
}

FindRunner = Callable[[str], StatementRunner | None]


class ReachabilityPoller:
    """Polls other daemons about leaders, and answers their polls.

    :param gossip: Messages to the other daemons.
    :param find: Returns the runner of a service.
    :param clock: Source of time.
    :param rng: Chooses which daemons are polled.
    """

    def __init__(
        self, gossip: Gossip, find: FindRunner, clock: Clock, rng: random.Random
    ) -> None:
        #: Called with a leader that a peer asked about and that this daemon
        #: does not reach either.
        self.on_unreachable: Callable[[StatementRunner, Member], None] = _ignore
        self._gossip = gossip
        self._find_runner = find
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tallies: dict[int, Tally] = {}
        self._decided: dict[int, asyncio.Event] = {}
        self._tasks = Background()
        gossip.handlers[gossip_messages.ReachabilityQuery] = self._on_question
        gossip.handlers[gossip_messages.ReachabilityReply] = self._on_reply

    async def poll(self, service: str, member: Member) -> Tally:
        """Ask other daemons whether they reach a leader.

        The question is sent again to all of them until the replies are
        decisive or the time is up.

        :param service: Name of the service.
        :param member: The leader.
        :returns: The replies.
        """
        server_id = member.server.server_id
        asked = self._choose_peers(member)
        number = next(self._numbers)
        tally = Tally(len(asked))
        decided = asyncio.Event()
        self._tallies[number] = tally
        self._decided[number] = decided
        question = gossip_messages.ReachabilityQuery(
            self._gossip.name, number, service, server_id
        )
        for _ in range(_QUESTION_SENDS if asked else 0):
            self._gossip.send(question, *asked)
            if await _wait_for(decided, _POLL_TIMEOUT / _QUESTION_SENDS):
                break
        self._tallies.pop(number)
        self._decided.pop(number)
        _log.bind(
            service=service,
            server=server_id,
            asked=tally.asked,
            missing=len(tally.missing),
            reaching=len(tally.reaching),
            undecided=len(tally.undecided),
        ).info('Reachability poll about a leader ended')
        return tally

    def _choose_peers(self, member: Member) -> list[str]:
        """Choose daemons that connect to the leader; return their addresses."""
        lenders = member.borrowed.lenders()
        alive = self._gossip.peers.alive(self._clock.now())
        addresses = [
            peer.address
            for peer in alive
            if not peer.leaving and (not lenders or peer.relay in lenders)
        ]
        if len(addresses) <= _MAX_POLLED:
            return addresses
        return self._rng.sample(addresses, _MAX_POLLED)

    def _on_question(
        self, question: gossip_messages.ReachabilityQuery, address: str
    ) -> None:
        self._tasks.spawn(self._answer(question, address))

    async def _answer(
        self, question: gossip_messages.ReachabilityQuery, address: str
    ) -> None:
        runner = self._find_runner(question.service)
        if runner is None:
            return
        member = runner.cluster.members.get(question.server_id)
        if member is None:
            return
        reachability = await self._check_reachability(runner, member)
        reachable = _REACHABLE[reachability]
        reply = gossip_messages.ReachabilityReply(
            self._gossip.name, question.number, reachable
        )
        self._gossip.send(reply, address)
        if reachability is Reachability.UNREACHABLE:
            self.on_unreachable(runner, member)

    async def _check_reachability(
        self, runner: StatementRunner, member: Member
    ) -> Reachability:
        if member.silent_since is not None:
            return Reachability.UNREACHABLE
        if self._clock.now() - member.answered_at < _RECENT_ANSWER:
            return Reachability.REACHABLE
        return await runner.leaders.check_reachability(member, PROBE_LIMIT)

    def _on_reply(
        self, reply: gossip_messages.ReachabilityReply, _address: str
    ) -> None:
        tally = self._tallies.get(reply.number)
        if tally is None:
            return
        tally.add(reply.sender, reachable=reply.reachable)
        if tally.is_decided:
            self._decided[reply.number].set()


async def _wait_for(event: asyncio.Event, limit: float) -> bool:
    try:
        async with asyncio.timeout(seconds(1) * limit):
            await event.wait()
    except TimeoutError:
        return False
    return True


def _ignore(_runner: StatementRunner, _member: Member) -> None:
    """Do nothing; the default until a handler for leaders is set."""
