"""Holders of a service in virtual time, each with a failover state machine."""

import enum
import functools
import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from emulator.virtual_group import Member, Promotions
from emulator.virtual_network import Network, Respond
from monsoonproxy import failover_events
from monsoonproxy.clock import Millis
from monsoonproxy.failover import Failover
from monsoonproxy.models import BackendReport, Position

STORE = 'store'

_POLL_TIMEOUT = 300
_ANSWER_TIMEOUT = 200
_STORE_TIMEOUT = 1000
_RECONNECT_DELAY = 50


class StoreMode(enum.Enum):
    """How the table service behaves."""

    UP = 'up'
    DOWN = 'down'
    ANSWER_LOST = 'answer lost'


class Store:
    """The claim of a group's term in the table service."""

    def __init__(self) -> None:
        self.mode = StoreMode.UP
        self._claim = (0, '')

    def claim(self, term: int, candidate: str, respond: Respond) -> None:
        """Store a claim if its term is higher than the stored one.

        :param term: The claimed term.
        :param candidate: Who claims it.
        :param respond: Sends the answer.
        """
        if self.mode is StoreMode.DOWN:
            return
        if term > self._claim[0]:
            self._claim = (term, candidate)
        if self.mode is StoreMode.ANSWER_LOST:
            return
        if self._claim == (term, candidate):
            respond(failover_events.TermClaimed(term))
        else:
            respond(failover_events.ClaimRefused(self._claim[0]))


@attrs.define
class Journal:
    """What a holder did, for the figures of experiments."""

    acks: list[tuple[int, int]] = attrs.field(factory=list)
    changes: list[failover_events.PrimaryChanged] = attrs.field(factory=list)
    claims: int = 0
    commands: int = 0


class Holder:
    """A simulated holder of a service.

    :param failover: Its state machine.
    :param candidate: Its name in the state machine and in the network.
    :param network: The network.
    :param members: The members of the group.
    :param store: The table service.
    :param promotions: Where its acknowledgements are checked.
    """

    def __init__(
        self,
        failover: Failover,
        candidate: str,
        network: Network,
        members: Mapping[str, Member],
        store: Store,
        promotions: Promotions,
    ) -> None:
        self.failover = failover
        self.name = candidate
        self.journal = Journal()
        self._network = network
        self._members = members
        self._store = store
        self._promotions = promotions
        self._written = 0
        self._open: dict[str, Position] = {}

    def start(self, write_interval: int | None = None) -> None:
        """Start polling and, if asked, writing.

        :param write_interval: Time in ms between two writes.
        """
        for name in self._members:
            self._poll(name)
        self._wake()
        if write_interval is not None:
            self._write(write_interval)

    def handle(self, event: failover_events.Event) -> None:
        """Pass an event to the state machine and run its commands.

        :param event: The event.
        """
        now = Millis(self._network.now)
        for command in self.failover.handle(event, now):
            self.journal.commands += 1
            _RUN[type(command)](self, command)
        self._acknowledge()
        view = self.failover.detector.view
        if view.confirmed_at is not None:
            self._promotions.check_confirmed(view.term, view.confirmed_at)

    def run_claim(self, command: failover_events.ClaimTerm) -> None:
        """Claim a term in the store.

        :param command: The command.
        """
        self.journal.claims += 1
        self._network.request(
            (self.name, STORE),
            lambda respond: self._store.claim(command.term, self.name, respond),
            self.handle,
            lambda _refused: self.handle(failover_events.ClaimFailed()),
            _STORE_TIMEOUT,
        )

    def run_set_term(self, command: failover_events.SetTerm) -> None:
        """Ask a member for a term.

        :param command: The command.
        """
        self._ask(
            command.name,
            lambda member: member.set_term(command.term, self.name),
            failover_events.TermAnswered,
            failover_events.TermFailed(command.name),
        )

    def run_promote(self, command: failover_events.Promote) -> None:
        """Promote a member.

        :param command: The command.
        """
        self._ask(
            command.name,
            lambda member: member.promote(command.term, self.name),
            failover_events.Promoted,
            failover_events.PromoteFailed(command.name),
        )

    def run_follow(self, command: failover_events.Follow) -> None:
        """Tell a member to follow.

        :param command: The command.
        """
        self._ask(
            command.name,
            lambda member: member.follow(command.term, command.source_name),
            failover_events.Followed,
            failover_events.FollowFailed(command.name),
        )

    def run_probe(self, command: failover_events.Probe) -> None:
        """Poll a member at once.

        :param command: The command.
        """
        name = command.name
        sent_at = Millis(self._network.now)
        self._network.request(
            (self.name, name),
            lambda respond: respond(self._members[name].report()),
            lambda report: self.handle(
                failover_events.Reported(name, report, sent_at)
            ),
            lambda refused: self.handle(
                failover_events.Unreachable(name, refused)
            ),
            _ANSWER_TIMEOUT,
        )

    def note_change(self, command: failover_events.PrimaryChanged) -> None:
        """Record a change of the primary.

        :param command: The command.
        """
        self.journal.changes.append(command)

    def note_end(self, command: failover_events.AttemptFailed) -> None:
        """Do nothing: the state machine tries again by itself.

        :param command: The command.
        """

    def _ask(
        self,
        name: str,
        call: Callable[[Member], BackendReport | None],
        answer: Callable[[str, BackendReport], failover_events.Event],
        failure: failover_events.Event,
    ) -> None:
        def reply(report: BackendReport | None) -> None:
            self.handle(answer(name, report) if report else failure)

        self._network.request(
            (self.name, name),
            lambda respond: respond(call(self._members[name])),
            reply,
            lambda _refused: self.handle(failure),
            _ANSWER_TIMEOUT,
        )

    def _poll(self, name: str) -> None:
        view = self.failover.detector.view
        known = view.report(name)
        received = known.received if known else -1
        self._network.request(
            (self.name, name),
            lambda respond: self._members[name].wait_change(
                received, _POLL_TIMEOUT, respond
            ),
            functools.partial(self._polled, name, Millis(self._network.now)),
            functools.partial(self._poll_failed, name),
            _POLL_TIMEOUT + _ANSWER_TIMEOUT,
        )

    def _polled(
        self, name: str, sent_at: Millis, report: BackendReport
    ) -> None:
        self.handle(failover_events.Reported(name, report, sent_at))
        self._poll(name)

    def _poll_failed(self, name: str, refused: Any) -> None:
        self.handle(failover_events.Unreachable(name, refused))
        self._network.after(
            _RECONNECT_DELAY, self.name, lambda: self._poll(name)
        )

    def _wake(self) -> None:
        self.handle(failover_events.Tick())
        now = Millis(self._network.now)
        due = self.failover.next_wakeup(now) or now
        self._network.after(max(1, due - now), self.name, self._wake)

    def _write(self, interval: int) -> None:
        self._network.after(interval, self.name, lambda: self._write(interval))
        name = self.failover.detector.view.primary
        if name is None:
            return
        self._written += 1
        write = f'{self.name}-{self._written}'
        self._network.request(
            (self.name, name),
            lambda respond: respond(
                self._members[name].commit(write, self._members)
            ),
            functools.partial(self._committed, name, write),
            lambda _refused: None,
            _ANSWER_TIMEOUT,
        )

    def _committed(
        self, name: str, write: str, position: Position | None
    ) -> None:
        if position is not None:
            self.failover.detector.view.observe_commit(name, position)
            self._open[write] = position
            self._acknowledge()

    def _acknowledge(self) -> None:
        view = self.failover.detector.view
        committed = view.committed
        if committed is None:
            return
        done = [
            (write, position)
            for write, position in self._open.items()
            if view.acknowledged(position)
        ]
        for write, position in done:
            self._open.pop(write)
            now = self._network.now
            self.journal.acks.append((now, position.term))
            self._promotions.acknowledge(position, write, committed.term, now)


_RUN: dict[type, Callable[[Holder, Any], None]] = {
    failover_events.ClaimTerm: Holder.run_claim,
    failover_events.SetTerm: Holder.run_set_term,
    failover_events.Promote: Holder.run_promote,
    failover_events.Follow: Holder.run_follow,
    failover_events.Probe: Holder.run_probe,
    failover_events.PrimaryChanged: Holder.note_change,
    failover_events.AttemptFailed: Holder.note_end,
}


def build_failover(
    candidate: str,
    members: tuple[str, ...],
    rank: int,
    seed: int,
    rules: failover_events.FailoverRules,
) -> Failover:
    """Build a state machine with its own generator.

    :param candidate: Its name.
    :param members: Names of the members.
    :param rank: Its rank.
    :param seed: Seed of its generator.
    :param rules: Its rules.
    :returns: The state machine.
    """
    rng = random.Random(f'{candidate}-{seed}')
    return Failover(candidate, members, rank, rules, rng)
