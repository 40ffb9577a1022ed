"""Evidence that a group needs a new primary."""

import enum

from monsoonproxy import quorum, signals
from monsoonproxy.clock import Millis
from monsoonproxy.member_contacts import MemberContacts
from monsoonproxy.models import BackendReport

# Probing starts at the full rate and slows down to a rate that still keeps
# reports fresh, after some 4 s of silence with the default rules. An outage
# that can't be ended because no majority is left would otherwise be probed at
# the full rate for as long as it lasts.
_SLOWDOWN = 40

Reports = dict[str, BackendReport]


class Grounds(enum.Enum):
    """Why a new term is needed."""

    SILENT = 'the primary is silent'
    ISOLATED = 'the primary is reached by only some'
    VACANT = 'no member is primary'
    STALLED = 'a majority has promised an unused term'
    STRAY = 'a member has promised an unused term'
    LEAVING = 'the primary is leaving'


class Evidence:
    """Collects reports and decides whether there are grounds for a new term.

    :param members: Names of the configured members.
    :param rules: Time limits.
    """

    def __init__(
        self, members: tuple[str, ...], rules: signals.FailoverRules
    ) -> None:
        self.view = quorum.GroupView(members)
        self.contacts = MemberContacts(members, rules)
        self.leaving: str | None = None
        self._rules = rules
        self._term_primary: str | None = None
        self._term_since = 0
        self._contender = (0, 0)

    def observe(
        self, name: str, report: BackendReport, sent_at: Millis, now: Millis
    ) -> None:
        """Take a report into account.

        :param name: The member that reported.
        :param report: Its report.
        :param sent_at: When the poll was sent that it answered.
        :param now: The current time.
        """
        if name not in self.contacts.members:
            return
        term = self.view.term
        self.view.observe(name, report, sent_at, now)
        self.contacts.record_answer(name, sent_at)
        if self.view.term > term:
            self._term_since = self.contacts.awake_time
            self._term_primary = None
        if report.promised_term > self.highest_promise():
            self._contender = (report.promised_term, self.contacts.awake_time)
        self._term_primary = self.view.primary or self._term_primary

    def change_members(self, members: tuple[str, ...]) -> None:
        """Replace the configured members.

        :param members: Names of the new members.
        """
        self.view.change_members(members)
        self.contacts.change_members(members)

    def highest_promise(self) -> int:
        """Return the highest term that any member is known to have promised.

        :returns: A term.
        """
        return max(self._contender[0], self.view.term)

    def patience_end(self, candidate: str) -> int:
        """Return until when another candidate's attempt is left alone.

        :param candidate: This daemon, which need not wait for itself.
        :returns: A point in awake time.
        """
        if not self._is_contended() or self._is_own(candidate):
            return 0
        return self._contender[1] + self._rules.contender_patience

    def grounds(self) -> Grounds | None:
        """Decide whether a new term is needed.

        :returns: The reason, or ``None``.
        """
        fresh = self._fresh()
        if len(fresh) < self._needed():
            return None
        suspects = self._suspects(fresh)
        if not suspects:
            return Grounds.VACANT
        if self._is_leaving(fresh):
            return Grounds.LEAVING
        return self._silence(suspects, fresh) or self._unused_term(fresh)

    def probes(self) -> list[signals.Command]:
        """Return the polls that are needed now to confirm a suspicion.

        :returns: Probes.
        """
        interval = self._probe_interval(self._suspects(self._fresh()))
        return [] if interval is None else self.contacts.due_probes(interval)

    def wakeup_in(self) -> int:
        """Return after which time the evidence may change by itself.

        :returns: A time in ms.
        """
        suspects = self._suspects(self._fresh())
        limit = self.contacts.suspicion_limit(suspects)
        quiet = self._own_silence(suspects)
        steps = (limit // 2 - quiet, limit - quiet)
        ahead = [step for step in steps if step > 0]
        ahead.append(
            self._probe_interval(suspects) or self._rules.tick_interval
        )
        return min(ahead)

    def _fresh(self) -> Reports:
        reports = {name: self.view.report(name) for name in self.view.members}
        return {
            name: report
            for name, report in reports.items()
            if report is not None and self.contacts.is_fresh(name)
        }

    def _suspects(self, fresh: Reports) -> list[str]:
        """Return the members of which one may be the primary.

        A primary that was seen in a term and then as a replica was demoted;
        it can't be the primary of that term again.
        """
        name = self._term_primary
        if name is None:
            return [other for other in self.view.members if other not in fresh]
        return [name] if name == self.view.primary else []

    def _silence(self, suspects: list[str], fresh: Reports) -> Grounds | None:
        own = self._own_silence(suspects)
        limit = self.contacts.suspicion_limit(suspects)
        witnessed = self._witnessed_silence(suspects, fresh)
        if min(own, witnessed) >= limit:
            return Grounds.SILENT
        if max(own, witnessed) >= self._rules.isolation_detection:
            return Grounds.ISOLATED
        return None

    def _own_silence(self, suspects: list[str]) -> int:
        return self.contacts.silence(suspects, self._term_since)

    def _witnessed_silence(self, suspects: list[str], fresh: Reports) -> int:
        """Return for how long a majority has not heard from the primary.

        Silence towards the primary of an earlier term is none towards this.
        """
        silences = [
            report.source_silence - self._rules.heartbeat_allowance
            for name, report in fresh.items()
            if name not in suspects
        ]
        agreed = quorum.majority_offset(silences, self._needed())
        return min(agreed or 0, self.contacts.awake_time - self._term_since)

    def _unused_term(self, fresh: Reports) -> Grounds | None:
        ahead = [
            report
            for report in fresh.values()
            if report.promised_term > self.view.term
        ]
        waited = self.contacts.awake_time - self._contender[1]
        if len(ahead) >= self._needed():
            return Grounds.STALLED
        if ahead and waited >= self._rules.stray_detection:
            return Grounds.STRAY
        return None

    def _is_leaving(self, fresh: Reports) -> bool:
        primary = self.view.primary
        if primary is None or primary not in fresh:
            return False
        if primary != self.leaving and not fresh[primary].leaving:
            return False
        staying = [
            name
            for name, report in fresh.items()
            if name != primary and not report.leaving
        ]
        return len(staying) >= self._needed()

    def _probe_interval(self, suspects: list[str]) -> int | None:
        """Return how often members are polled, or ``None`` if not at all.

        Reports from long polls are too old to show that no member is primary.
        """
        idle = self._rules.evidence_age // 2
        quiet = self._own_silence(suspects)
        if suspects and 2 * quiet >= self.contacts.suspicion_limit(suspects):
            return max(
                self._rules.probe_interval, min(quiet // _SLOWDOWN, idle)
            )
        settled = self.view.primary is not None and self.leaving is None
        if settled and not self._is_contended() and self._is_heard():
            return None
        return idle

    def _is_heard(self) -> bool:
        """Tell whether replicas hear from the primary.

        While nothing is replicated they answer long polls only at the timeout,
        so their reports are too old to show a long silence.
        """
        reports = [self.view.report(name) for name in self.view.members]
        silences: list[int] = [
            report.source_silence for report in reports if report is not None
        ]
        agreed = quorum.majority_offset(silences, self._needed())
        return (agreed or 0) < self._rules.silence_detection

    def _is_contended(self) -> bool:
        return self._contender[0] > self.view.term

    def _is_own(self, candidate: str) -> bool:
        promise = (self._contender[0], candidate)
        reports = [self.view.report(name) for name in self.view.members]
        return any(
            (report.promised_term, report.candidate) == promise
            for report in reports
            if report is not None
        )

    def _needed(self) -> int:
        return quorum.majority(len(self.view.members))
