"""Quorum rules: which writes are acknowledged and which term is confirmed.

A report counts for a term only if the backend server had not promised a higher
term when the report was taken. A candidate of a higher term needs promises from
a majority. Any two majorities overlap, so at least one promise comes from a
backend server that had received every write acknowledged before.
"""

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Position, Role

#: The terms of a log with the offset of the first entry of each, ascending.
Lineage = tuple[tuple[int, int], ...]


def majority(count: int) -> int:
    """Return how many members of a group are a majority.

    :param count: Number of configured members.
    :returns: The least number that is more than half of them.
    """
    return count // 2 + 1


def counts_for(report: BackendReport, term: int) -> bool:
    """Tell whether a report is evidence for positions of a term.

    Only an equal ``log_term`` shows that the entry at an offset is the one
    written in that term: an older log may hold another entry there.

    :param report: A report.
    :param term: The term of the positions.
    :returns: Whether the report's ``received`` may be counted.
    """
    return report.log_term == term and report.promised_term <= term


def majority_offset(offsets: list[int], needed: int) -> int | None:
    """Return the highest offset that enough members have received.

    :param offsets: Offsets of the members that count.
    :param needed: How many must have received it.
    :returns: The offset, or ``None`` if too few members count.
    """
    if len(offsets) < needed:
        return None
    return sorted(offsets, reverse=True)[needed - 1]


def next_start(lineage: Lineage, term: int) -> tuple[int, int] | None:
    """Return the first term after a given one in a lineage.

    :param lineage: Terms and the offsets of their first entries, ascending.
    :param term: A term, which need not be part of the lineage.
    :returns: The later term and its first offset, or ``None``.
    """
    return next((entry for entry in lineage if entry[0] > term), None)


def map_position(lineage: Lineage, position: Position) -> Position:
    """Map a floor to the log of the current term.

    Entries of a term from the start of the next one on are not part of the
    log, so the floor is lowered to that start.

    :param lineage: Term starts of the current log.
    :param position: A floor of any term.
    :returns: The floor, or the start of the next term if that is lower.
    """
    start = next_start(lineage, position.term)
    if start is None or position.offset < start[1]:
        return position
    return Position(*start)


def contains(lineage: Lineage, position: Position) -> bool:
    """Tell whether the entry at a position is part of a log.

    :param lineage: Term starts of the log.
    :param position: Position of an entry that once existed.
    :returns: Whether the log has this entry, if it is long enough.
    """
    if all(term != position.term for term, _offset in lineage):
        return False
    start = next_start(lineage, position.term)
    return start is None or position.offset < start[1]


def covers(
    report: BackendReport, term: int, lineage: Lineage, floor: Position
) -> bool:
    """Tell whether a member's data reflects a floor.

    A member whose log ends in an older term may hold other entries at the same
    offsets. So may the log of ``term`` if the floor belongs to a later term.

    :param report: Report of the member.
    :param term: The highest term known to be in force.
    :param lineage: Term starts of that term's log.
    :param floor: Floor of a session, as ``GroupView.floor`` gives it.
    :returns: Whether a read on the member reflects the floor.
    """
    if report.log_term != term or floor.term > term:
        return False
    return report.applied >= map_position(lineage, floor).offset


@attrs.define
class _Member:
    """Reports of one member and what they show about the current term.

    ``received`` is the highest offset and ``confirmed`` the latest time of a
    poll, over the reports that count for the current term. A report that
    arrives late can't lower them.
    """

    report: BackendReport | None = None
    sent_at: Millis = Millis(0)
    heard_at: Millis = Millis(0)
    received: int | None = None
    confirmed: Millis | None = None

    def accept(self, report: BackendReport, sent_at: Millis) -> None:
        """Keep a report if it is the latest of the member.

        Polls overlap, so the order in which they were sent is not always the
        order of the reports. A promise is never withdrawn and a member that
        joined its promised term stays in it, so these are compared first.

        :param report: A report.
        :param sent_at: When its poll was sent.
        """
        last = self.report
        if last is None or _recency(last, self.sent_at) <= _recency(
            report, sent_at
        ):
            self.report = report
            self.sent_at = sent_at

    def count(self, report: BackendReport, sent_at: Millis, term: int) -> None:
        """Use a report as evidence for the current term, if it counts.

        :param report: A report.
        :param sent_at: When its poll was sent.
        :param term: The current term.
        """
        if report.promised_term <= term:
            self.confirmed = max(sent_at, self.confirmed or sent_at)
        if counts_for(report, term):
            self.received = max(report.received, self.received or 0)


def _recency(
    report: BackendReport, sent_at: Millis
) -> tuple[int, bool, Millis]:
    joined = report.log_term == report.promised_term
    return report.promised_term, joined, sent_at


class GroupView:
    """A holder's view of a group: term, primary and acknowledged position.

    :param members: Names of the configured members.
    """

    def __init__(self, members: tuple[str, ...]) -> None:
        self._members = {name: _Member() for name in members}
        self._term = 0
        self._lineage: Lineage = ()
        self._committed: Position | None = None
        self._primary: str | None = None

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the configured members."""
        return tuple(self._members)

    @property
    def term(self) -> int:
        """The highest term known to be in force; 0 if none is known."""
        return self._term

    @property
    def primary(self) -> str | None:
        """The primary of the current term, unless it is known to be demoted."""
        return self._primary

    @property
    def committed(self) -> Position | None:
        """The highest acknowledged position."""
        return self._committed

    @property
    def confirmed_at(self) -> Millis | None:
        """The latest time at which a majority confirmed the current term."""
        times = sorted(
            member.confirmed
            for member in self._members.values()
            if member.confirmed is not None
        )
        needed = majority(len(self._members))
        return times[-needed] if len(times) >= needed else None

    @property
    def lineage(self) -> Lineage:
        """Terms of the current log with the offsets of their first entries."""
        return self._lineage

    def observe(
        self, name: str, report: BackendReport, sent_at: Millis, now: Millis
    ) -> None:
        """Update the view by a report.

        :param name: The member that reported; others are ignored.
        :param report: Its report.
        :param sent_at: When the poll was sent that the report answers.
        :param now: The current time.
        """
        member = self._members.get(name)
        if member is None:
            return
        member.heard_at = max(now, member.heard_at)
        member.accept(report, sent_at)
        if report.log_term > self._term:
            self._enter_term(report.log_term)
        if report.log_term == self._term and report.term_starts:
            self._lineage = report.term_starts
        member.count(report, sent_at, self._term)
        self._update()

    def observe_commit(self, name: str, position: Position) -> None:
        """Count a commit's position as received by the primary.

        :param name: The primary.
        :param position: The position in its answer to the commit.
        """
        member = self._members.get(name)
        if member is not None and position.term == self._term:
            member.received = max(position.offset, member.received or 0)
            self._raise_committed()

    def acknowledged(self, position: Position) -> bool:
        """Tell whether a majority has received a write.

        A position of an earlier term counts only if it is part of the log that
        ends in the acknowledged position of the current term.

        :param position: Position of a write.
        :returns: Whether it is known to survive any failover.
        """
        done = self._committed
        if done is None or position.term > done.term:
            return False
        if position.term == done.term:
            return position.offset <= done.offset
        return contains(self._lineage, position)

    def floor(self, position: Position) -> Position:
        """Return the floor that makes a session see a write.

        A write of an earlier term may be acknowledged in a later one although
        a term between them did not have it. The floor must carry the later
        term: a daemon that knows only the term between them would otherwise
        lower the floor to the start of that term.

        :param position: Position of the write.
        :returns: The floor.
        """
        done = self._committed
        if done is None or not self.acknowledged(position):
            return position
        return Position(done.term, position.offset)

    def covers(self, name: str, floor: Position) -> bool:
        """Tell whether the latest report of a member reflects a floor.

        :param name: A member.
        :param floor: Floor of a session.
        :returns: Whether a read on it reflects the floor.
        """
        report = self.report(name)
        return report is not None and covers(
            report, self._term, self._lineage, floor
        )

    def map_floor(self, position: Position) -> Position:
        """Map a session's floor to the current log.

        A floor of a term that is not yet known is returned unchanged; no
        backend server may serve it before that term is known.

        :param position: The floor.
        :returns: The position that a read in the current term must reflect.
        """
        return map_position(self._lineage, position)

    def report(self, name: str) -> BackendReport | None:
        """Return the latest report of a member.

        :param name: A member.
        :returns: Its latest report, if any.
        """
        member = self._members.get(name)
        return member.report if member else None

    def change_members(self, members: tuple[str, ...]) -> None:
        """Replace the configured members.

        :param members: Names of the new members.
        """
        self._members = {
            name: self._members.get(name, _Member()) for name in members
        }
        self._update()

    def _enter_term(self, term: int) -> None:
        self._term = term
        self._lineage = ()
        for member in self._members.values():
            member.received = None
            if member.report is not None:
                member.count(member.report, member.sent_at, term)

    def _update(self) -> None:
        primaries = [
            name
            for name, member in self._members.items()
            if _is_primary(member.report, self._term)
        ]
        self._primary = primaries[0] if primaries else None
        self._raise_committed()

    def _raise_committed(self) -> None:
        offsets = [
            member.received
            for member in self._members.values()
            if member.received is not None
        ]
        offset = majority_offset(offsets, majority(len(self._members)))
        if offset is None:
            return
        reached = Position(self._term, offset)
        if self._committed is None or reached > self._committed:
            self._committed = reached


def _is_primary(report: BackendReport | None, term: int) -> bool:
    return (
        report is not None
        and report.role is Role.PRIMARY
        and counts_for(report, term)
    )
