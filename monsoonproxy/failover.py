"""Failover of a group: replacement of its primary.

Each holder runs one state machine per group. It watches the reports of the
backend servers. When there is a reason for a new term, it runs one election
attempt after the other until a primary is promoted. Safety rests on the backend
servers, which refuse lower terms; the delays here only keep candidates from
competing.
"""

import random

import attrs

from monsoonproxy import failover_events
from monsoonproxy.clock import Millis
from monsoonproxy.elections import Election, Phase
from monsoonproxy.failure_detection import ElectionReason, FailureDetector
from monsoonproxy.follow_requests import FollowRequests

#: Failed attempts after which the retry jitter no longer doubles.
_MAX_DOUBLINGS = 3


@attrs.define
class _Schedule:
    """State that decides when the next attempt may start.

    ``since`` is when a reason for an election was first seen, on the clock that
    leaves out pauses of this process.
    """

    election_reason: ElectionReason | None = None
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
    :param rng: Generator for the jitter before an attempt is repeated.
    """

    def __init__(
        self,
        candidate: str,
        members: tuple[str, ...],
        rank: int,
        rules: failover_events.FailoverRules,
        rng: random.Random,
    ) -> None:
        self.detector = FailureDetector(members, rules)
        self.rank = rank
        self._candidate = candidate
        self._rules = rules
        self._rng = rng
        self._schedule = _Schedule()
        self._election: Election | None = None
        self._follow_requests = FollowRequests(rules)
        self._announced: tuple[int, str] | None = None

    @property
    def electing(self) -> bool:
        """Whether an election attempt is in progress."""
        return self._election is not None

    def handle(
        self, event: failover_events.Event, now: Millis
    ) -> list[failover_events.Command]:
        """Update the state by an event and return the commands that follow.

        :param event: A report, a failure, a change or a tick.
        :param now: The current time.
        :returns: Commands to run, in this order.
        """
        self.detector.contacts.advance(now)
        commands = self._advance(now)
        commands += self._handle_event(event, now)
        return commands + self._advance(now) + self._maintain(now)

    def next_wakeup(self, now: Millis) -> Millis | None:
        """Return when a ``Tick`` is due if nothing else happens.

        :param now: The current time.
        :returns: A time after ``now``.
        """
        times = [now + self._rules.tick_interval]
        if self._election is None:
            times.append(now + self.detector.time_to_wakeup())
            if self._schedule.election_reason is not None:
                times.append(
                    max(self._earliest_start(now), self._schedule.retry_at)
                )
        else:
            times.append(self._election.next_wakeup())
        return Millis(max(min(times), now + 1))

    def _handle_event(
        self, event: failover_events.Event, now: Millis
    ) -> list[failover_events.Command]:
        if isinstance(event, failover_events.ReportEvent):
            self._handle_report(event, now)
        elif isinstance(event, failover_events.ClaimResult):
            return self._handle_claim(event, now)
        elif isinstance(event, failover_events.StepFailure):
            self._handle_failure(event, now)
        else:
            self._handle_observation(event)
        return []

    def _handle_observation(self, event: failover_events.Event) -> None:
        if isinstance(event, failover_events.ReachabilityEvent):
            self._handle_reachability(event)
        elif isinstance(event, failover_events.ConfigurationEvent):
            self._handle_configuration(event)

    def _handle_report(
        self, event: failover_events.ReportEvent, now: Millis
    ) -> None:
        sent_at = self._request_sent_at(event)
        if sent_at is None:
            return
        self.detector.observe(event.name, event.report, sent_at, now)
        election = self._election
        if election is None:
            return
        if isinstance(event, failover_events.TermAnswered):
            election.record_term_answer(event.name, event.report, now)
        elif election.phase is Phase.PROMOTING:
            election.record_promotion(event.name, event.report)
        if election.phase is not Phase.WON:
            self._fail_if_superseded(election, event.name)

    def _request_sent_at(
        self, event: failover_events.ReportEvent
    ) -> Millis | None:
        """Return the earliest time at which the answered request was sent.

        An answer to a request of an earlier attempt may be old and must not
        count as the latest report.
        """
        if isinstance(event, failover_events.Reported):
            return event.sent_at
        if isinstance(event, failover_events.Followed):
            return self._follow_requests.sent_at(event.name)
        if self._election is None:
            return None
        if isinstance(event, failover_events.TermAnswered):
            return self._election.asked_at.get(event.name)
        return self._election.promote_sent_at

    def _fail_if_superseded(self, election: Election, name: str) -> None:
        view = self.detector.view
        ahead = view.term - election.term
        if ahead > 0 or (ahead == 0 and election.phase is not Phase.PROMOTING):
            election.fail(
                f'term {view.term} is in force, so term {election.term}'
                ' can no longer be won'
            )
        elif (
            election.phase is Phase.CLAIMING
            and name == view.primary
            and self.detector.election_reason() is None
        ):
            election.fail(
                f'the primary {name} answered before the term was claimed'
            )

    def _handle_claim(
        self,
        event: failover_events.ClaimResult,
        now: Millis,
    ) -> list[failover_events.Command]:
        election = self._election
        if isinstance(event, failover_events.ClaimRefused):
            self._schedule.used_term = max(
                self._schedule.used_term, event.stored_term
            )
            if election is not None:
                election.claim_refused(event.stored_term)
            return []
        if election is None:
            return []
        if (
            isinstance(event, failover_events.TermClaimed)
            and event.term != election.term
        ):
            return []
        return election.request_grants(now)

    def _handle_failure(
        self,
        event: failover_events.StepFailure,
        now: Millis,
    ) -> None:
        election = self._election
        if election is None:
            return
        if isinstance(event, failover_events.TermFailed):
            election.record_term_failure(event.name, now)
        elif isinstance(event, failover_events.PromoteFailed):
            election.record_promote_failure(event.name)

    def _handle_reachability(
        self, event: failover_events.ReachabilityEvent
    ) -> None:
        if isinstance(event, failover_events.Unreachable):
            self.detector.contacts.record_failure(
                event.name, refused=event.refused
            )
        else:
            self.detector.contacts.record_peer_answer(event.name, event.age)

    def _handle_configuration(
        self, event: failover_events.ConfigurationEvent
    ) -> None:
        if isinstance(event, failover_events.MembersChanged):
            self.detector.change_members(event.members)
            if self._election is not None:
                self._election.fail('the members of the group changed')
        elif isinstance(event, failover_events.RankChanged):
            self.rank = event.rank
        elif isinstance(event, failover_events.SwitchRequested):
            self.detector.leaving = event.name

    def _advance(self, now: Millis) -> list[failover_events.Command]:
        election = self._election
        if election is None:
            return []
        commands = election.advance(now)
        if election.phase is Phase.LOST:
            self._schedule_retry(now)
            return [
                *commands,
                failover_events.AttemptFailed(election.failure_reason),
            ]
        if election.phase is Phase.WON:
            self._election = None
            self._schedule = _Schedule(used_term=election.term)
            commands += self._follow_requests.send_all(self.detector.view, now)
        return commands

    def _schedule_retry(self, now: Millis) -> None:
        self._election = None
        doublings = min(self._schedule.failures, _MAX_DOUBLINGS)
        jitter = self._rng.randint(0, self._rules.retry_jitter << doublings)
        self._schedule.failures += 1
        self._schedule.retry_at = Millis(now + self._rules.retry_delay + jitter)

    def _maintain(self, now: Millis) -> list[failover_events.Command]:
        """Announce a new primary, probe members and start a due attempt."""
        commands = self._announce()
        election = self._election
        if election is not None:
            if election.phase is Phase.CLAIMING:
                commands += self.detector.probes()
            return commands
        view = self.detector.view
        commands += self._follow_requests.send_due(view, self.rank, now)
        return commands + self._start_if_due(now) + self.detector.probes()

    def _announce(self) -> list[failover_events.Command]:
        view = self.detector.view
        if view.primary is None or self._announced == (view.term, view.primary):
            return []
        if self.detector.leaving != view.primary:
            self.detector.leaving = None
        self._announced = (view.term, view.primary)
        return [failover_events.PrimaryChanged(view.term, view.primary)]

    def _start_if_due(self, now: Millis) -> list[failover_events.Command]:
        election_reason = self.detector.election_reason()
        schedule = self._schedule
        if election_reason is None:
            schedule.election_reason = None
            return []
        if schedule.election_reason is None:
            schedule.since = self.detector.contacts.awake_time
        schedule.election_reason = election_reason
        if now < max(self._earliest_start(now), schedule.retry_at):
            return []
        return self._start(election_reason, now)

    def _earliest_start(self, now: Millis) -> Millis:
        """Return when rank and other candidates' attempts allow a start."""
        since = max(
            self._schedule.since,
            self.detector.contender_deadline(self._candidate),
        )
        delay = self.rank * self._rules.rank_delay
        return Millis(now + since + delay - self.detector.contacts.awake_time)

    def _start(
        self, election_reason: ElectionReason, now: Millis
    ) -> list[failover_events.Command]:
        view = self.detector.view
        schedule = self._schedule
        schedule.used_term = 1 + max(
            schedule.used_term, self.detector.highest_promise()
        )
        # A primary whose heartbeats don't reach the replicas has the longest
        # log. Without the exclusion it would be promoted again, and still no
        # write would be acknowledged.
        replaced = election_reason in {
            ElectionReason.LEAVING,
            ElectionReason.ISOLATED,
        }
        unwanted = {view.primary} if replaced else set()
        self._election = Election(
            self._candidate,
            schedule.used_term,
            {name: view.report(name) for name in view.members},
            self._rules,
            {name for name in unwanted if name is not None},
        )
        return self._election.start(now)
