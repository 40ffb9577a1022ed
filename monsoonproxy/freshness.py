"""How fresh the data of each backend server certainly is."""

from collections.abc import Iterable

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Position, Role
from monsoonproxy.position_samples import PositionSamples

# The clock drops fractions of a ms, so that now is up to this much later.
CLOCK_RESOLUTION_MS = 1


@attrs.define
class MemberState:
    """What is known about a backend server.

    :param report: The report that describes its latest state.
    :param sent_at: When that report was requested.
    :param received_at: When it arrived.
    :param leaving: Whether it may get no more reads.
    :param generation: Counts the times that it lost applied data.
    :param valid_from: Reports requested before this may describe lost data.
    :param apply_rate: Data completeness gained per ms.
    :param rate_start: Time and completeness from which the pace is measured.
    """

    report: BackendReport | None = None
    sent_at: int = 0
    received_at: int = 0
    leaving: bool = False
    generation: int = 0
    valid_from: int = 0
    apply_rate: float = 1
    rate_start: tuple[int, int] | None = None


@attrs.frozen
class _ReportOrder:
    """Compares a new report of a backend server with the one kept."""

    member: MemberState
    report: BackendReport
    sent_at: int

    def stale(self) -> bool:
        kept = self.member
        if self.sent_at < kept.valid_from:
            return True
        if kept.report is None:
            return False
        old, new = _progress(kept.report), _progress(self.report)
        if new == old:
            # Of equal positions, the report requested last has the role.
            return self.sent_at < kept.sent_at
        return new < old and self.sent_at < kept.received_at

    def lost_data(self) -> bool:
        old = self.member.report
        return old is not None and _progress(self.report) < _progress(old)


class Freshness:
    """Tracks the positions of the backend servers of one service.

    :param members: Names of the group's backend servers.
    :param samples: Empty samples of the primary's position.
    """

    def __init__(
        self, members: Iterable[str], samples: PositionSamples
    ) -> None:
        self._members = {name: MemberState() for name in members}
        self._samples = samples
        self._term_starts: tuple[tuple[int, int], ...] = ()
        self._generations = 0
        self._term = 0
        self._primary: str | None = None
        self._confirmed_at: Millis | None = None

    def add(self, name: str) -> None:
        """Add a backend server, or one that came back.

        :param name: Its name.
        """
        member = self._members.get(name)
        if member is None or member.leaving:
            # A new generation invalidates answers of the earlier one.
            self._generations += 1
            self._members[name] = MemberState(generation=self._generations)

    def remove(self, name: str) -> None:
        """Forget a backend server; answers it still sends are not valid.

        :param name: Its name.
        """
        self._members.pop(name, None)

    def set_leaving(self, name: str) -> None:
        """Give a backend server no more reads.

        :param name: Its name.
        """
        member = self._members.get(name)
        if member is not None:
            member.leaving = True

    def set_group(
        self,
        term: int,
        primary: str | None,
        confirmed_at: Millis | None,
        now: Millis,
    ) -> None:
        """Set what is known about the group's term.

        :param term: The current term; a lower one than before is ignored.
        :param primary: Its primary, if known.
        :param confirmed_at: Latest time for which a majority confirmed it.
        :param now: The time.
        """
        if term < self._term:
            return
        if (term, primary) != (self._term, self._primary):
            self._samples.clear()
            self._term_starts = ()
            self._confirmed_at = None
        self._term = term
        self._primary = primary
        known = self._confirmed_at
        if confirmed_at is not None and (known is None or known < confirmed_at):
            self._confirmed_at = min(confirmed_at, now)

    def observe(
        self, name: str, report: BackendReport, sent_at: Millis, now: Millis
    ) -> None:
        """Take in a report.

        :param name: The backend server that sent it.
        :param report: The report.
        :param sent_at: When it was requested.
        :param now: When it arrived.
        """
        member = self._members.get(name)
        if member is None:
            return
        self._sample_primary(name, report, sent_at)
        self._replace_report(member, report, sent_at, now)

    def observe_commit(self, position: Position, sent_at: Millis) -> None:
        """Take in the position of a commit on the primary.

        Writes committed before the commit was sent come before it in the log.

        :param position: Position in the answer to the commit.
        :param sent_at: When the commit was sent.
        """
        if position.term == self._term:
            self._samples.add(sent_at, position.offset)

    def age(self, name: str, now: Millis) -> int | None:
        """Return the conservative data age of a backend server.

        :param name: Its name.
        :param now: The time.
        :returns: The age in ms, or ``None`` if it may serve nothing.
        """
        member = self._members.get(name)
        if member is None or not self._usable(name, member):
            return None
        if name == self._primary:
            fresh: int | None = self._confirmed_at
        else:
            fresh = self._fresh_until(applied_offset(member))
        return (
            None if fresh is None else max(0, now + CLOCK_RESOLUTION_MS - fresh)
        )

    def _sample_primary(
        self, name: str, report: BackendReport, sent_at: Millis
    ) -> None:
        is_primary = report.role is Role.PRIMARY and name == self._primary
        if is_primary and report.log_term == self._term:
            self._samples.add(sent_at, report.received)
            self._term_starts = max(
                self._term_starts, report.term_starts, key=len
            )

    def _replace_report(
        self, member: MemberState, report: BackendReport, sent_at: int, now: int
    ) -> None:
        """Keep the report that describes the latest state.

        Positions of one log only grow, so of two reports with overlapping
        intervals the one with the greater position is the later one. A lower
        position in a report requested after the other arrived means that the
        backend server lost data.
        """
        member.leaving = member.leaving or report.leaving
        order = _ReportOrder(member, report, sent_at)
        if order.stale():
            return
        if order.lost_data():
            self._generations += 1
            member.generation = self._generations
            member.valid_from = now
        member.report = report
        member.sent_at = sent_at
        member.received_at = now
        self._update_apply_rate(member, now)

    def _update_apply_rate(self, member: MemberState, now: int) -> None:
        fresh = self._samples.fresh_until(applied_offset(member))
        if fresh is None:
            return
        if member.rate_start is None or member.rate_start[1] > fresh:
            member.rate_start = (now, fresh)
        elapsed = now - member.rate_start[0]
        if elapsed >= _RATE_WINDOW_MS:
            gained = (fresh - member.rate_start[1]) / elapsed
            member.apply_rate = (
                member.apply_rate + min(gained, _MAX_APPLY_RATE)
            ) / 2
            member.rate_start = (now, fresh)

    def _usable(self, name: str, member: MemberState) -> bool:
        report = member.report
        if report is None or member.leaving or report.log_term != self._term:
            return False
        role = Role.PRIMARY if name == self._primary else Role.REPLICA
        return report.role is role

    def _fresh_until(self, applied: int) -> int | None:
        """Return the time up to which an offset is known to be complete.

        A sample newer than the confirmation still says which offsets the
        writes before the confirmation have.
        """
        fresh = self._samples.fresh_until(applied)
        if fresh is None or self._confirmed_at is None:
            return None
        return min(fresh, self._confirmed_at)

    def _required_offset(self, floor: Position | None) -> int | None:
        if floor is None:
            return 0
        if floor.term > self._term:
            return None
        later = [
            start for term, start in self._term_starts if term > floor.term
        ]
        return min([floor.offset, *later])


# Long enough to average over several reports, short enough to notice that a
# replica stopped applying.
_RATE_WINDOW_MS = 20
_MAX_APPLY_RATE = 20


def applied_offset(member: MemberState) -> int:
    """Return the last offset that a backend server is known to have applied.

    :param member: What is known about it.
    :returns: The offset, 0 if it has not reported.
    """
    return member.report.applied if member.report else 0


def _progress(report: BackendReport) -> tuple[int, int, int]:
    return report.log_term, report.applied, report.received
