"""Replacement of a group's primary.

One state machine per holder and group. It watches the members' reports, and
when there are grounds for a new term it runs one attempt after the other until
a primary is in office. Safety rests on the members, which refuse lower terms;
the waiting rules here only keep candidates from competing.
"""

import random

import attrs

from monsoonproxy import signals
from monsoonproxy.clock import Millis
from monsoonproxy.elections import Election, Phase
from monsoonproxy.follow_requests import FollowRequests
from monsoonproxy.suspicion import Evidence, Grounds

_MAX_DOUBLINGS = 3


@attrs.define
class _Pace:
    """When the next attempt may start; ``since`` is awake time."""

    grounds: Grounds | None = None
    since: int = 0
    failures: int = 0
    retry_at: Millis = Millis(0)
    used_term: int = 0


class Failover:
    """Decides when and how a group's primary is replaced.

    :param candidate: Unique name of this daemon's incarnation; a restarted
        daemon must use another one.
    :param members: Names of the configured members.
    :param rank: Rank of this daemon among the holders, from 0.
    :param rules: Time limits.
    :param rng: Generator for the delays before a restart.
    """

    def __init__(
        self,
        candidate: str,
        members: tuple[str, ...],
        rank: int,
        rules: signals.FailoverRules,
        rng: random.Random,
    ) -> None:
        self.evidence = Evidence(members, rules)
        self.rank = rank
        self._candidate = candidate
        self._rules = rules
        self._rng = rng
        self._pace = _Pace()
        self._election: Election | None = None
        self._follow_requests = FollowRequests(rules)
        self._announced: tuple[int, str] | None = None

    @property
    def electing(self) -> bool:
        """Whether an attempt is in progress."""
        return self._election is not None

    def handle(
        self, event: signals.Event, now: Millis
    ) -> list[signals.Command]:
        """Take an event into account.

        :param event: What happened.
        :param now: The current time.
        :returns: Commands to run.
        """
        self.evidence.contacts.advance(now)
        commands = self._advance(now)
        commands += self._take(event, now)
        return commands + self._advance(now) + self._settle(now)

    def next_wakeup(self, now: Millis) -> Millis | None:
        """Return when a ``Tick`` is due if nothing else happens.

        :param now: The current time.
        :returns: A time after ``now``.
        """
        times = [now + self._rules.tick_interval]
        if self._election is None:
            times.append(now + self.evidence.wakeup_in())
            if self._pace.grounds is not None:
                times.append(max(self._start_at(now), self._pace.retry_at))
        else:
            times.append(self._election.next_wakeup())
        return Millis(max(min(times), now + 1))

    def _take(self, event: signals.Event, now: Millis) -> list[signals.Command]:
        if isinstance(event, signals.Answer):
            self._take_answer(event, now)
        elif isinstance(event, signals.ClaimEnd):
            return self._take_claim(event, now)
        elif isinstance(event, signals.StepFailure):
            self._take_failure(event, now)
        else:
            self._take_knowledge(event)
        return []

    def _take_knowledge(self, event: signals.Event) -> None:
        if isinstance(event, signals.Contact):
            self._take_contact(event)
        elif isinstance(event, signals.Change):
            self._take_change(event)

    def _take_answer(self, event: signals.Answer, now: Millis) -> None:
        sent_at = self._sent_at(event)
        if sent_at is None:
            return
        self.evidence.observe(event.name, event.report, sent_at, now)
        election = self._election
        if election is None:
            return
        if isinstance(event, signals.TermAnswered):
            election.answered(event.name, event.report, now)
        elif election.phase is Phase.PROMOTING:
            election.promoted(event.name, event.report)
        if election.phase is not Phase.WON:
            self._abandon(election, event.name)

    def _sent_at(self, event: signals.Answer) -> Millis | None:
        """Return when the answered request was sent at the earliest.

        An answer to a request of an earlier attempt may be old, so that it
        must not pass for the latest report.
        """
        if isinstance(event, signals.Reported):
            return event.sent_at
        if isinstance(event, signals.Followed):
            return self._follow_requests.sent_at(event.name)
        if self._election is None:
            return None
        if isinstance(event, signals.TermAnswered):
            return self._election.asked.get(event.name)
        return self._election.promote_sent

    def _abandon(self, election: Election, name: str) -> None:
        view = self.evidence.view
        ahead = view.term - election.term
        if ahead > 0 or (ahead == 0 and election.phase is not Phase.PROMOTING):
            election.lose(f'term {view.term} is in force')
        elif (
            election.phase is Phase.CLAIMING
            and name == view.primary
            and self.evidence.grounds() is None
        ):
            election.lose('the primary answered')

    def _take_claim(
        self,
        event: signals.ClaimEnd,
        now: Millis,
    ) -> list[signals.Command]:
        election = self._election
        if isinstance(event, signals.ClaimRefused):
            self._pace.used_term = max(self._pace.used_term, event.stored_term)
            if election is not None:
                election.claim_refused(event.stored_term)
            return []
        if election is None:
            return []
        if (
            isinstance(event, signals.TermClaimed)
            and event.term != election.term
        ):
            return []
        return election.claimed(now)

    def _take_failure(
        self,
        event: signals.StepFailure,
        now: Millis,
    ) -> None:
        election = self._election
        if election is None:
            return
        if isinstance(event, signals.TermFailed):
            election.unanswered(event.name, now)
        elif isinstance(event, signals.PromoteFailed):
            election.promote_failed(event.name)

    def _take_contact(self, event: signals.Contact) -> None:
        if isinstance(event, signals.Unreachable):
            self.evidence.contacts.record_failure(
                event.name, refused=event.refused
            )
        else:
            self.evidence.contacts.record_peer_answer(event.name, event.age)

    def _take_change(self, event: signals.Change) -> None:
        if isinstance(event, signals.MembersChanged):
            self.evidence.change_members(event.members)
            if self._election is not None:
                self._election.lose('the members changed')
        elif isinstance(event, signals.RankChanged):
            self.rank = event.rank
        elif isinstance(event, signals.SwitchRequested):
            self.evidence.leaving = event.name

    def _advance(self, now: Millis) -> list[signals.Command]:
        election = self._election
        if election is None:
            return []
        commands = election.advance(now)
        if election.phase is Phase.LOST:
            self._restart_later(now)
            return [*commands, signals.GiveUp(election.outcome)]
        if election.phase is Phase.WON:
            self._election = None
            self._pace = _Pace(used_term=election.term)
            commands += self._follow_requests.send_all(self.evidence.view, now)
        return commands

    def _restart_later(self, now: Millis) -> None:
        self._election = None
        doublings = min(self._pace.failures, _MAX_DOUBLINGS)
        jitter = self._rng.randint(0, self._rules.restart_jitter << doublings)
        self._pace.failures += 1
        self._pace.retry_at = Millis(now + self._rules.restart_delay + jitter)

    def _settle(self, now: Millis) -> list[signals.Command]:
        """Do what the state requires beside an attempt in progress."""
        commands = self._announce()
        election = self._election
        if election is not None:
            if election.phase is Phase.CLAIMING:
                commands += self.evidence.probes()
            return commands
        view = self.evidence.view
        commands += self._follow_requests.send_due(view, self.rank, now)
        return commands + self._consider(now) + self.evidence.probes()

    def _announce(self) -> list[signals.Command]:
        view = self.evidence.view
        if view.primary is None or self._announced == (view.term, view.primary):
            return []
        if self.evidence.leaving != view.primary:
            self.evidence.leaving = None
        self._announced = (view.term, view.primary)
        return [signals.PrimaryChanged(view.term, view.primary)]

    def _consider(self, now: Millis) -> list[signals.Command]:
        grounds = self.evidence.grounds()
        pace = self._pace
        if grounds is None:
            pace.grounds = None
            return []
        if pace.grounds is None:
            pace.since = self.evidence.contacts.awake_time
        pace.grounds = grounds
        if now < max(self._start_at(now), pace.retry_at):
            return []
        return self._start(grounds, now)

    def _start_at(self, now: Millis) -> Millis:
        """Return when the rank and other candidates allow an attempt."""
        since = max(
            self._pace.since, self.evidence.patience_end(self._candidate)
        )
        delay = self.rank * self._rules.rank_delay
        return Millis(now + since + delay - self.evidence.contacts.awake_time)

    def _start(self, grounds: Grounds, now: Millis) -> list[signals.Command]:
        view = self.evidence.view
        pace = self._pace
        pace.used_term = 1 + max(
            pace.used_term, self.evidence.highest_promise()
        )
        # A primary that replicas don't hear has the longest log: it would be
        # promoted again, and nothing acknowledged.
        replaced = grounds in {Grounds.LEAVING, Grounds.ISOLATED}
        unwanted = {view.primary} if replaced else set()
        self._election = Election(
            self._candidate,
            pace.used_term,
            {name: view.report(name) for name in view.members},
            self._rules,
            {name for name in unwanted if name is not None},
        )
        return self._election.start(now)
