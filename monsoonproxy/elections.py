"""One attempt of a candidate to have a primary promoted in a new term."""

import enum
from collections.abc import Collection, Mapping

from monsoonproxy import failover_events
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Role
from monsoonproxy.quorum import majority


class Phase(enum.Enum):
    """The steps of an attempt."""

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

    Any majority of the grants includes every acknowledged write in its
    longest log, so unwanted members may be left out if the others are still a
    majority.

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
    """Return the order of logs by which a primary is chosen.

    :param report: A report.
    :returns: The term and the offset of its last log entry.
    """
    return report.log_term, report.received


class Election:
    """Claims a term, collects grants and promotes, all in this one term.

    It sends at most one member a promotion, so that a term never has two
    primaries. A lost claim needs no answer: members grant a term to one
    candidate only, hence an unanswered claim of the same term by another
    candidate can't win as well.

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
        """Start the attempt.

        :param now: The current time.
        :returns: The claim of the term.
        """
        self._deadline = Millis(now + self._rules.claim_timeout)
        return [failover_events.ClaimTerm(self.term)]

    def request_grants(self, now: Millis) -> list[failover_events.Command]:
        """Ask all members for the term: the store has it or can't answer.

        :param now: The current time.
        :returns: The requests for grants.
        """
        if self.phase is not Phase.CLAIMING:
            return []
        self.phase = Phase.GRANTING
        self._deadline = Millis(now + self._rules.grant_timeout)
        return [self._request_grant(name, now) for name in self._reports]

    def claim_refused(self, stored_term: int) -> None:
        """End the attempt: another candidate has claimed the term.

        :param stored_term: The term in the store.
        """
        if self.phase is Phase.CLAIMING and stored_term >= self.term:
            self.fail(f'term {stored_term} was claimed by another candidate')

    def record_term_answer(
        self, name: str, report: BackendReport, now: Millis
    ) -> None:
        """Take the answer to a request for the term into account.

        :param name: The member.
        :param report: Its report after the attempt.
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
        """Ask again later: a request for the term failed.

        :param name: The member.
        :param now: The current time.
        """
        if name not in self._grants:
            self._resend_at[name] = Millis(now + self._rules.resend_interval)

    def record_promotion(self, name: str, report: BackendReport) -> None:
        """End the attempt if a report shows that the promotion worked.

        :param name: The member that reported.
        :param report: Its report.
        """
        if report.role is Role.PRIMARY and report.log_term == self.term:
            self.target = name
            self.phase = Phase.WON
        elif report.promised_term > self.term and name == self.target:
            self.fail(f'term {report.promised_term} was set')

    def record_promote_failure(self, name: str) -> None:
        """End the attempt: a promotion was refused or got no answer.

        The term is used up, because the promotion may still take effect.

        :param name: The member.
        """
        if self.phase is Phase.PROMOTING and name == self.target:
            self.fail(f'{name} did not confirm its promotion')

    def fail(self, reason: str) -> None:
        """End the attempt without a promotion.

        :param reason: Why.
        """
        self.phase = Phase.LOST
        self.failure_reason = reason

    def advance(self, now: Millis) -> list[failover_events.Command]:
        """Do what the time or the answers so far allow.

        :param now: The current time.
        :returns: Commands to run.
        """
        if self.phase is Phase.CLAIMING and now >= self._deadline:
            return self.request_grants(now)
        if self.phase is Phase.GRANTING:
            return self._advance_grants(now)
        if self.phase is Phase.PROMOTING and now >= self._deadline:
            self.fail(f'{self.target} did not confirm its promotion in time')
        return []

    def next_wakeup(self) -> Millis:
        """Return when ``advance`` has something to do at the latest.

        :returns: A time.
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
            self.fail(f'term {self.term} was refused by {len(self._refused)}')
        elif now >= self._deadline:
            self.fail(f'term {self.term} was granted by too few members')
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
