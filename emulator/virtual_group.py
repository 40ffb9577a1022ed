"""A database group in virtual time, with the group protocol of the design."""

import bisect
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from emulator.virtual_network import Network, Respond
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Position, Role

Log = list[tuple[int, str]]

START = 'start'


@attrs.frozen
class GroupRules:
    """How the simulated databases behave where the protocol leaves it open.

    :param heartbeat: Interval in ms between messages to idle replicas.
    :param keeps_role: Whether a restarted primary is still primary, if it has
        promised no higher term.
    :param accepts_old_entries: Whether a replica that has promised a term
        still takes entries from the primary of an older term.
    """

    heartbeat: int = 50
    keeps_role: bool = False
    accepts_old_entries: bool = True


class Promotions:
    """Records what all promotions and acknowledgements have in common.

    It sees everything at once, unlike any process, and raises
    ``AssertionError`` at the first violation.
    """

    def __init__(self) -> None:
        self.logs: dict[int, tuple[str, Log]] = {}
        self.acknowledged: dict[Position, tuple[str, int]] = {}
        self.first_ack: dict[int, int] = {}

    def promoted(self, name: str, log: Log) -> None:
        """Check a promotion.

        :param name: The promoted member.
        :param log: Its log, which ends with the start of the term.
        """
        term = log[-1][0]
        other = self.logs.get(term)
        assert other is None or other[0] == name, (
            f'{name} and {other} were promoted in term {term}'
        )
        self.logs[term] = (name, log.copy())
        for position, (write, acked_in) in self.acknowledged.items():
            if acked_in < term:
                _check_contained(position, write, name, log)

    def acknowledge(
        self, position: Position, write: str, acked_in: int, now: int
    ) -> None:
        """Check an acknowledgement.

        A write of an earlier term may be acknowledged as part of the log of a
        later one, even if a term between them did not have it and was never
        on a majority.

        :param position: Position of the write.
        :param write: The write.
        :param acked_in: The term whose log was found on a majority.
        :param now: The current time.
        """
        self.acknowledged[position] = (write, acked_in)
        self.first_ack.setdefault(acked_in, now)
        for term, (name, log) in self.logs.items():
            if term >= acked_in and term > position.term:
                _check_contained(position, write, name, log)

    def check_confirmed(self, term: int, confirmed_at: int) -> None:
        """Check that no write of a later term was acknowledged before.

        :param term: The term that was confirmed.
        :param confirmed_at: The time for which it was confirmed.
        """
        for later, first in self.first_ack.items():
            assert later <= term or first >= confirmed_at, (
                f'term {term} confirmed at {confirmed_at}, but a write of '
                f'term {later} was acknowledged at {first}'
            )


class Member:
    """A simulated database of a group.

    :param name: Its name.
    :param network: The network it is in.
    :param rules: How it behaves where the protocol leaves it open.
    :param promotions: Where its promotions are checked.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        rules: GroupRules,
        promotions: Promotions,
    ) -> None:
        self.name = name
        self.log: Log = []
        self.role = Role.REPLICA
        self.promised = 0
        self.leaving = False
        self.source: str | None = None
        self.lagging = False
        self._candidate = ''
        self._network = network
        self._rules = rules
        self._promotions = promotions
        self._heard_at = 0
        self._waiters: list[Callable[[], None]] = []

    @property
    def log_term(self) -> int:
        """Term of the last log entry."""
        return self.log[-1][0] if self.log else 0

    def start(self, followers: Mapping[str, 'Member']) -> None:
        """Start sending to replicas.

        :param followers: All members, by name.
        """
        self._replicate(followers)
        self._network.after(
            self._rules.heartbeat, self.name, lambda: self.start(followers)
        )

    def restart(self) -> None:
        """Forget what is not durable."""
        self._waiters.clear()
        self._heard_at = self._network.now
        if not self._rules.keeps_role:
            self.role = Role.REPLICA

    def report(self) -> BackendReport:
        """Return the row of ``SHOW GROUP STATUS``.

        :returns: The report.
        """
        primary = self.role is Role.PRIMARY
        silence = 0 if primary else self._network.now - self._heard_at
        return BackendReport(
            name=self.name,
            role=self.role,
            promised_term=self.promised,
            candidate=self._candidate,
            log_term=self.log_term,
            received=len(self.log),
            applied=len(self.log),
            source_silence=Millis(silence),
            leaving=self.leaving,
            term_starts=_term_starts(self.log),
        )

    def wait_change(
        self, received: int, timeout: int, respond: Respond
    ) -> None:
        """Answer once a position has changed or time is up.

        :param received: The position that the caller knows.
        :param timeout: The time in ms.
        :param respond: Sends the answer.
        """
        pending = [respond]

        def answer() -> None:
            if pending:
                pending.pop()(self.report())

        if len(self.log) == received:
            self._waiters.append(answer)
            self._network.after(timeout, self.name, answer)
        else:
            answer()

    def set_term(self, term: int, candidate: str) -> BackendReport:
        """Run ``SET GROUP TERM``.

        :param term: The term.
        :param candidate: Who asks for it.
        :returns: The report after the attempt.
        """
        if term > self.promised:
            self.promised = term
            self._candidate = candidate
            self.role = Role.REPLICA
        return self.report()

    def promote(self, term: int, candidate: str) -> BackendReport | None:
        """Run ``PROMOTE GROUP TERM``.

        :param term: The term.
        :param candidate: Who was granted it.
        :returns: The report, or ``None`` if it was refused.
        """
        if (self.promised, self._candidate) != (term, candidate):
            return None
        if self.log_term != term:
            self.log.append((term, START))
            self._promotions.promoted(self.name, self.log)
        self.role = Role.PRIMARY
        self.source = None
        self._changed()
        return self.report()

    def follow(self, term: int, source: str) -> BackendReport | None:
        """Run ``FOLLOW GROUP TERM``.

        :param term: The term.
        :param source: The primary of the term.
        :returns: The report, or ``None`` if it was refused.
        """
        if term < self.promised:
            return None
        if term > self.promised:
            self.promised = term
            self._candidate = ''
        self.role = Role.REPLICA
        self.source = source
        return self.report()

    def commit(self, write: str, followers: Mapping[str, 'Member']) -> Any:
        """Commit a write.

        :param write: The write.
        :param followers: All members, by name.
        :returns: Its position, or ``None`` if this is no primary.
        """
        if self.role is not Role.PRIMARY:
            return None
        self.log.append((self.log_term, write))
        self._changed()
        self._replicate(followers)
        return Position(self.log_term, len(self.log))

    def _replicate(self, followers: Mapping[str, 'Member']) -> None:
        if self.role is not Role.PRIMARY:
            return
        entries = self.log.copy()
        for follower in followers.values():
            if follower is not self:
                self._send(follower, entries)

    def _send(self, follower: 'Member', entries: Log) -> None:
        self._network.send(
            self.name,
            follower.name,
            lambda: follower.receive(self.name, entries),
        )

    def receive(self, source: str, entries: Log) -> None:
        """Take entries from the source.

        An entry list that is a prefix of the log arrived late or is a
        heartbeat. One that differs replaces what is not common history.

        :param source: The sender.
        :param entries: The whole log of the sender.
        """
        term = entries[-1][0]
        if self.source != source or term < self.log_term:
            return
        if term < self.promised and not self._rules.accepts_old_entries:
            return
        self._heard_at = self._network.now
        if self.lagging or self.log[: len(entries)] == entries:
            return
        self.log = entries.copy()
        self._changed()

    def _changed(self) -> None:
        waiters = self._waiters.copy()
        self._waiters.clear()
        for answer in waiters:
            answer()


def _term_starts(log: Log) -> tuple[tuple[int, int], ...]:
    starts = []
    index = 0
    while index < len(log):
        term = log[index][0]
        starts.append((term, index + 1))
        index = bisect.bisect_right(log, term, key=_entry_term)
    return tuple(starts)


def _entry_term(entry: tuple[int, str]) -> int:
    return entry[0]


def _check_contained(
    position: Position, write: str, name: str, log: Log
) -> None:
    entry = (position.term, write)
    term = log[-1][0]
    assert log[position.offset - 1 : position.offset] == [entry], (
        f'{write} at {position} is lost by the promotion of {name} in {term}'
    )
