"""Failure detection: whether a group needs a new term and primary."""

import enum

from monsoonproxy import failover_events, quorum
from monsoonproxy.clock import Millis
from monsoonproxy.member_contacts import MemberContacts
from monsoonproxy.models import BackendReport

# The longer the primary is silent, the less often members are probed: the
# interval is the silence divided by this number. With the default rules it
# grows from 25 ms at 1 s of silence to 150 ms at 6 s, the longest interval that
# still keeps reports fresh. A group without a majority would otherwise be
# probed at the full rate for as long as the outage lasts.
_PROBE_BACKOFF_DIVISOR = 40

Reports = dict[str, BackendReport]


class ElectionReason(enum.Enum):
    """Why a group needs an election in a new term."""

    SILENT = 'the primary is silent'
    ISOLATED = 'only some processes reach the primary'
    VACANT = 'no member is primary'
    STALLED = 'a majority has promised an unused term'
    UNUSED_PROMISE = 'a member has promised an unused term'
    LEAVING = 'the primary is leaving'


class FailureDetector:
    """Collects reports and decides whether the group needs a new term.

    :param members: Names of the configured members.
    :param rules: Time limits.
    """

    def __init__(
        self, members: tuple[str, ...], rules: failover_events.FailoverRules
    ) -> None:
        self.view = quorum.GroupView(members)
        self.contacts = MemberContacts(members, rules)
        self.leaving: str | None = None
        self._rules = rules
        self._term_primary: str | None = None
        self._term_since = 0
        # Highest term that a member has promised and when it was first seen.
        self._latest_promise = (0, 0)

    def observe(
        self, name: str, report: BackendReport, sent_at: Millis, now: Millis
    ) -> None:
        """Update the evidence by a report.

        :param name: The member that reported; others are ignored.
        :param report: Its report.
        :param sent_at: When the poll was sent that the report answers.
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
            self._latest_promise = (
                report.promised_term,
                self.contacts.awake_time,
            )
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
        return max(self._latest_promise[0], self.view.term)

    def contender_deadline(self, candidate: str) -> int:
        """Return until when another candidate's attempt is not disturbed.

        :param candidate: This daemon, which does not wait for its own attempt.
        :returns: A time on the clock of :class:`MemberContacts`, which leaves
            out pauses of this process; 0 if there is no such attempt.
        """
        if not self._is_contended() or self._is_own_promise(candidate):
            return 0
        return self._latest_promise[1] + self._rules.contender_timeout

    def election_reason(self) -> ElectionReason | None:
        """Return why a new term is needed.

        Without recent reports from a majority there is never a reason, because
        the election could not be won.

        :returns: The reason, or ``None`` if no new term is needed.
        """
        fresh = self._fresh()
        if len(fresh) < self._majority():
            return None
        suspects = self._suspects(fresh)
        if not suspects:
            return ElectionReason.VACANT
        if self._can_switch(fresh):
            return ElectionReason.LEAVING
        return self._silence_reason(suspects, fresh) or self._unused_promise(
            fresh
        )

    def probes(self) -> list[failover_events.Command]:
        """Return the polls that are due now to confirm a suspected failure.

        :returns: Probes.
        """
        interval = self._probe_interval(self._suspects(self._fresh()))
        return [] if interval is None else self.contacts.due_probes(interval)

    def time_to_wakeup(self) -> int:
        """Return after which time silence alone may change the decision.

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
        """Return the members that may be the primary of the current term.

        A primary that later reported as a replica in the same term was demoted
        and can't be the primary of that term again.
        """
        name = self._term_primary
        if name is None:
            return [other for other in self.view.members if other not in fresh]
        return [name] if name == self.view.primary else []

    def _silence_reason(
        self, suspects: list[str], fresh: Reports
    ) -> ElectionReason | None:
        own = self._own_silence(suspects)
        limit = self.contacts.suspicion_limit(suspects)
        witnessed = self._witnessed_silence(suspects, fresh)
        if min(own, witnessed) >= limit:
            return ElectionReason.SILENT
        if max(own, witnessed) >= self._rules.isolation_detection:
            return ElectionReason.ISOLATED
        return None

    def _own_silence(self, suspects: list[str]) -> int:
        return self.contacts.silence(suspects, self._term_since)

    def _witnessed_silence(self, suspects: list[str], fresh: Reports) -> int:
        """Return for how long a majority has not heard from the primary.

        Silence of an earlier term's primary doesn't count, so the result is at
        most the age of the current term.
        """
        silences = [
            report.source_silence - self._rules.heartbeat_allowance
            for name, report in fresh.items()
            if name not in suspects
        ]
        agreed = quorum.majority_offset(silences, self._majority())
        return min(agreed or 0, self.contacts.awake_time - self._term_since)

    def _unused_promise(self, fresh: Reports) -> ElectionReason | None:
        ahead = [
            report
            for report in fresh.values()
            if report.promised_term > self.view.term
        ]
        waited = self.contacts.awake_time - self._latest_promise[1]
        if len(ahead) >= self._majority():
            return ElectionReason.STALLED
        if ahead and waited >= self._rules.unused_promise_detection:
            return ElectionReason.UNUSED_PROMISE
        return None

    def _can_switch(self, fresh: Reports) -> bool:
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
        return len(staying) >= self._majority()

    def _probe_interval(self, suspects: list[str]) -> int | None:
        """Return the interval between probes, or ``None`` for no probes.

        While the state is settled, long polls are enough. Their reports are too
        old to show that no member is primary.
        """
        idle = self._rules.evidence_age // 2
        quiet = self._own_silence(suspects)
        if suspects and 2 * quiet >= self.contacts.suspicion_limit(suspects):
            return max(
                self._rules.probe_interval,
                min(quiet // _PROBE_BACKOFF_DIVISOR, idle),
            )
        settled = self.view.primary is not None and self.leaving is None
        if (
            settled
            and not self._is_contended()
            and self._replicas_hear_primary()
        ):
            return None
        return idle

    def _replicas_hear_primary(self) -> bool:
        """Tell whether a majority of replicas may still hear from the primary.

        While nothing is replicated, replicas answer long polls only at their
        timeout. Such reports are too old to show a long silence, so a silence
        in the latest ones asks for probes.
        """
        reports = [self.view.report(name) for name in self.view.members]
        silences: list[int] = [
            report.source_silence for report in reports if report is not None
        ]
        agreed = quorum.majority_offset(silences, self._majority())
        return (agreed or 0) < self._rules.silence_detection

    def _is_contended(self) -> bool:
        return self._latest_promise[0] > self.view.term

    def _is_own_promise(self, candidate: str) -> bool:
        promise = (self._latest_promise[0], candidate)
        reports = [self.view.report(name) for name in self.view.members]
        return any(
            (report.promised_term, report.candidate) == promise
            for report in reports
            if report is not None
        )

    def _majority(self) -> int:
        return quorum.majority(len(self.view.members))
