"""Upper bounds of the data age of each backend server."""

from collections.abc import Iterable

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Position, Role
from monsoonproxy.position_samples import PositionSamples

# The clock truncates to whole ms, so the actual time may be this much later.
CLOCK_RESOLUTION_MS = 1


@attrs.define
class MemberState:
    """What is known about a backend server.

    :param report: The report that describes the server's latest state.
    :param sent_at: When that report was requested.
    :param received_at: When that report arrived.
    :param leaving: Whether the server must get no more reads.
    :param generation: Changes each time the server loses applied data.
    :param valid_from: Reports requested before this time may describe data
        that the server has lost since.
    :param apply_rate: By how many ms of the primary's history the replica
        advances per ms.
    :param rate_start: Time, and the point of the primary's history reached
        then, from which ``apply_rate`` is measured next.
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
    """Order of a new report of a backend server and the one kept."""

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
            # The position is the same, but the role may have changed: the
            # report requested last has the current one.
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
        """Add a backend server, or one that rejoins after leaving.

        :param name: Name of the backend server.
        """
        member = self._members.get(name)
        if member is None or member.leaving:
            # The new generation invalidates answers from before it left.
            self._generations += 1
            self._members[name] = MemberState(generation=self._generations)

    def remove(self, name: str) -> None:
        """Remove a backend server; its outstanding answers become invalid.

        :param name: Name of the backend server.
        """
        self._members.pop(name, None)

    def set_leaving(self, name: str) -> None:
        """Stop routing reads to a backend server that is leaving.

        :param name: Name of the backend server.
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
        """Set the group's term, its primary and the latest confirmation.

        :param term: The current term; a lower one than before is ignored.
        :param primary: Primary of the term, if known.
        :param confirmed_at: Latest time at which a majority is known to have
            been in this term.
        :param now: The current time.
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
        """Process a report of a backend server.

        :param name: The backend server that sent the report.
        :param report: The report.
        :param sent_at: When the report was requested.
        :param now: When the report arrived.
        """
        member = self._members.get(name)
        if member is None:
            return
        self._sample_primary(name, report, sent_at)
        self._replace_report(member, report, sent_at, now)

    def observe_commit(self, position: Position, sent_at: Millis) -> None:
        """Use the position of a commit as a sample of the primary's log.

        Writes committed before the commit was sent precede it in the log.

        :param position: Position in the answer to the commit.
        :param sent_at: When the commit was sent.
        """
        if position.term == self._term:
            self._samples.add(sent_at, position.offset)

    def age(self, name: str, now: Millis) -> int | None:
        """Return an upper bound of a backend server's data age.

        :param name: Name of the backend server.
        :param now: The current time.
        :returns: The age in ms, or ``None`` if the server must not serve reads.
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

        Positions in a log only increase. If two polls overlapped in time, the
        report with the greater position is therefore the later one. If the
        second report was requested after the first arrived and has a lower
        position, the backend server lost data.
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
        """Return the time up to which an applied offset has all writes.

        The result is limited by the latest confirmation of the term. Samples
        taken after that confirmation are valid for the time before it.
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


# Long enough to average over several reports, short enough to detect a replica
# that stopped applying.
_RATE_WINDOW_MS = 20
# Limits the effect of a burst on the moving average; in ms of history per ms.
_MAX_APPLY_RATE = 20


def applied_offset(member: MemberState) -> int:
    """Return the last offset that a backend server is known to have applied.

    :param member: State of the backend server.
    :returns: The offset, or 0 if the server has not reported yet.
    """
    return member.report.applied if member.report else 0


def _progress(report: BackendReport) -> tuple[int, int, int]:
    return report.log_term, report.applied, report.received
