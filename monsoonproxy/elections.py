"""Election: one attempt of a candidate to promote a primary in a new term."""

import enum
from collections.abc import Collection, Mapping

from monsoonproxy import failover_events
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Role
from monsoonproxy.quorum import majority


class Phase(enum.Enum):
    """Phases of an election attempt, in order; it ends as won or lost."""

    CLAIMING = 'claiming'
    GRANTING = 'granting'
    PROMOTING = 'promoting'
    WON = 'won'
    LOST = 'lost'


def granted(report: BackendReport, term: int, candidate: str) -> bool:
    """Tell whether a backend server granted a term.

    :param report: Its answer to ``SET GROUP TERM``.
    :param term: The requested term.
    :param candidate: The requesting candidate.
    :returns: Whether it promised this term to this candidate.
    """
    return report.promised_term == term and report.candidate == candidate


def choose_primary(
    grants: Mapping[str, BackendReport],
    needed: int,
    unwanted: Collection[str] = (),
) -> str | None:
    """Choose the backend server to promote.

    The longest log among any majority of the members contains every
    acknowledged write. Unwanted and leaving members are therefore left out only
    if the others that granted the term are still a majority.

    :param grants: Reports of the members that granted the term.
    :param needed: Size of a majority of the configured members.
    :param unwanted: Members that should not become primary.
    :returns: A member with the longest log, or ``None`` without a majority.
    """
    if len(grants) < needed:
        return None
    wanted = {
        name: report
        for name, report in grants.items()
        if name not in unwanted and not report.leaving
    }
    pool = wanted if len(wanted) >= needed else grants
    return max(pool, key=lambda name: (log_end(pool[name]), name in wanted))


def log_end(report: BackendReport) -> tuple[int, int]:
    """Return the end of a member's log, by which logs are compared.

    :param report: Report of the member.
    :returns: The term and the offset of its last log entry.
    """
    return report.log_term, report.received


class Election:
    """Claims a term, collects grants for it and promotes one member in it.

    At most one member is sent a promotion, so that a term never has two
    primaries. The attempt goes on if the claim in the table service stays
    unanswered: each member grants a term to one candidate only, so that another
    candidate with the same term can't win as well.

    :param candidate: Unique name of this daemon's incarnation. A restarted
        daemon that reused it could promote a second member in a term.
    :param term: A term that this candidate has not used before.
    :param reports: The latest reports of the members, by name; ``None`` for
        members that were never reached.
    :param rules: Time limits.
    :param unwanted: Members that should not become primary.
    """

    def __init__(
        self,
        candidate: str,
        term: int,
        reports: Mapping[str, BackendReport | None],
        rules: failover_events.FailoverRules,
        unwanted: Collection[str] = (),
    ) -> None:
        self.term = term
        self.phase = Phase.CLAIMING
        self.failure_reason = ''
        self.asked_at: dict[str, Millis] = {}
        self.promote_sent_at: Millis | None = None
        self.target: str | None = None
        self._candidate = candidate
        self._reports = reports
        self._rules = rules
        self._unwanted = unwanted
        self._grants: dict[str, BackendReport] = {}
        self._resend_at: dict[str, Millis] = {}
        self._refused: set[str] = set()
        self._deadline = Millis(0)
        self._majority_at: Millis | None = None

    def start(self, now: Millis) -> list[failover_events.Command]:
        """Start the attempt by claiming the term in the table service.

        :param now: The current time.
        :returns: The claim of the term.
        """
        self._deadline = Millis(now + self._rules.claim_timeout)
        return [failover_events.ClaimTerm(self.term)]

    def request_grants(self, now: Millis) -> list[failover_events.Command]:
        """Ask all members to grant the term.

        This follows a stored claim, and also one that failed or timed out.

        :param now: The current time.
        :returns: The requests for grants.
        """
        if self.phase is not Phase.CLAIMING:
            return []
        self.phase = Phase.GRANTING
        self._deadline = Millis(now + self._rules.grant_timeout)
        return [self._request_grant(name, now) for name in self._reports]

    def claim_refused(self, stored_term: int) -> None:
        """End the attempt because another candidate has claimed the term.

        :param stored_term: The highest term claimed in the table service.
        """
        if self.phase is Phase.CLAIMING and stored_term >= self.term:
            self.fail(
                f'term {self.term} is taken: another candidate has claimed'
                f' term {stored_term}'
            )

    def record_term_answer(
        self, name: str, report: BackendReport, now: Millis
    ) -> None:
        """Record a member's answer to ``SET GROUP TERM``.

        :param name: The member.
        :param report: Its report, which shows whether it granted the term.
        :param now: The current time.
        """
        if granted(report, self.term, self._candidate):
            self._grants[name] = report
            self._resend_at.pop(name, None)
        elif report.promised_term >= self.term:
            self._refused.add(name)
        if self._majority_at is None and self._has_majority():
            self._majority_at = now

    def record_term_failure(self, name: str, now: Millis) -> None:
        """Record a failed ``SET GROUP TERM``, which is resent later.

        :param name: The member.
        :param now: The current time.
        """
        if name not in self._grants:
            self._resend_at[name] = Millis(now + self._rules.resend_interval)

    def record_promotion(self, name: str, report: BackendReport) -> None:
        """End the attempt if a report shows the outcome of the promotion.

        It is won if the member is primary in this term, and lost if the
        promoted member has since promised a higher term.

        :param name: The member that reported.
        :param report: Its report.
        """
        if report.role is Role.PRIMARY and report.log_term == self.term:
            self.target = name
            self.phase = Phase.WON
        elif report.promised_term > self.term and name == self.target:
            self.fail(f'{name} has promised term {report.promised_term}')

    def record_promote_failure(self, name: str) -> None:
        """End the attempt because a promotion was refused or unanswered.

        The term is not used again, because the promotion may still take effect.

        :param name: The member that was to be promoted.
        """
        if self.phase is Phase.PROMOTING and name == self.target:
            self.fail(
                f'{name} refused or did not answer PROMOTE GROUP TERM'
                f' {self.term}'
            )

    def fail(self, reason: str) -> None:
        """End the attempt without a confirmed promotion.

        :param reason: Why it failed, for the log.
        """
        self.phase = Phase.LOST
        self.failure_reason = reason

    def advance(self, now: Millis) -> list[failover_events.Command]:
        """Go on to the next phase if the answers so far or a timeout allow it.

        :param now: The current time.
        :returns: Commands to run.
        """
        if self.phase is Phase.CLAIMING and now >= self._deadline:
            return self.request_grants(now)
        if self.phase is Phase.GRANTING:
            return self._advance_grants(now)
        if self.phase is Phase.PROMOTING and now >= self._deadline:
            self.fail(
                f'{self.target} did not confirm its promotion within'
                f' {self._rules.promote_timeout} ms'
            )
        return []

    def next_wakeup(self) -> Millis:
        """Return when ``advance`` is to be called at the latest.

        :returns: The next deadline, resend or end of a grace period.
        """
        times = [self._deadline]
        if self.phase is Phase.GRANTING:
            times.extend(self._resend_at.values())
            if self._majority_at is not None:
                times.append(self._grace_end(self._majority_at))
        return min(times)

    def _advance_grants(self, now: Millis) -> list[failover_events.Command]:
        if self._can_promote(now):
            return self._promote(now)
        spare = len(self._reports) - majority(len(self._reports))
        if len(self._refused) > spare:
            self.fail(
                f'term {self.term} was refused by {len(self._refused)} of'
                f' {len(self._reports)} members'
            )
        elif now >= self._deadline:
            self.fail(
                f'term {self.term} was not decided within'
                f' {self._rules.grant_timeout} ms: {len(self._grants)} of'
                f' {len(self._reports)} members granted it'
            )
        else:
            due = [name for name, at in self._resend_at.items() if now >= at]
            return [self._request_grant(name, now) for name in due]
        return []

    def _promote(self, now: Millis) -> list[failover_events.Command]:
        target = choose_primary(
            self._grants, majority(len(self._reports)), self._unwanted
        )
        if target is None:
            return []
        self.phase = Phase.PROMOTING
        self.target = target
        self.promote_sent_at = now
        self._deadline = Millis(now + self._rules.promote_timeout)
        return [failover_events.Promote(target, self.term)]

    def _can_promote(self, now: Millis) -> bool:
        if self._majority_at is None:
            return False
        if now >= self._grace_end(self._majority_at):
            return True
        return not any(map(self._should_wait_for, self._reports))

    def _grace_end(self, majority_at: Millis) -> Millis:
        if self._unwanted:
            return Millis(majority_at + self._rules.switch_grace)
        return Millis(majority_at + self._rules.grant_grace)

    def _should_wait_for(self, name: str) -> bool:
        report = self._reports[name]
        if name in self._grants or name in self._refused:
            return False
        if report is None or name in self._resend_at:
            return False
        if self._unwanted:
            return (
                name not in self._unwanted and not self._has_wanted_majority()
            )
        return log_end(report) > max(map(log_end, self._grants.values()))

    def _has_wanted_majority(self) -> bool:
        wanted = self._grants.keys() - set(self._unwanted)
        return len(wanted) >= majority(len(self._reports))

    def _has_majority(self) -> bool:
        return len(self._grants) >= majority(len(self._reports))

    def _request_grant(self, name: str, now: Millis) -> failover_events.SetTerm:
        self.asked_at.setdefault(name, now)
        self._resend_at.pop(name, None)
        return failover_events.SetTerm(name, self.term)
