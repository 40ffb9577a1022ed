"""Events, commands and time limits of the failover state machine."""

from typing import TypeAlias

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport


@attrs.frozen
class FailoverRules:
    """Time limits of the failover, in ms.

    :param silence_detection: Silence after which a primary is replaced, if
        neither the holders nor a majority of replicas hear from it.
    :param refused_detection: The same, if its host refuses connections.
    :param isolation_detection: Silence after which a primary is replaced that
        only the holders or only the replicas don't hear from.
    :param heartbeat_allowance: Longest interval between two messages of a
        healthy primary to a replica. It is subtracted from the silence that
        replicas report: otherwise a pause slightly shorter than the detection
        time would count as reaching it.
    :param claim_timeout: Time for the table service to answer a claim.
    :param grant_timeout: Time for a majority to grant a term.
    :param grant_grace: Wait after a majority of grants for a further one, if a
        member that has not answered is known to have a longer log.
    :param switch_grace: Wait after a majority of grants for those of members
        that stay, if a leaving or isolated primary is replaced.
    :param promote_timeout: Time for a member to confirm its promotion.
    :param resend_interval: Time after which a failed ``SET GROUP TERM`` is sent
        to the member again.
    :param rank_delay: Delay per rank before a holder starts an attempt, so that
        holders don't compete.
    :param contender_timeout: Time for another candidate to finish its attempt,
        from when a promise to it was first seen.
    :param unused_promise_detection: Time after which a single member that has
        promised a term that no primary uses is reintegrated by a new term. It
        refuses the current term until then.
    :param retry_delay: Least delay after a failed attempt, so that a probe can
        show whether another candidate is ahead.
    :param retry_jitter: Upper limit of the random delay that is added before
        the first retry; it doubles up to eight times this value.
    :param evidence_age: Greatest age of a report that counts as evidence.
    :param probe_interval: Shortest time between two probes of a member.
    :param tick_interval: Longest time between two wake-ups.
    :param pause_limit: A longer time between two events means that this
        process was paused; the excess is not counted as silence of members.
    :param follow_retry: Time between two requests to follow a primary.
    """

    silence_detection: int = 1000
    refused_detection: int = 400
    isolation_detection: int = 5000
    heartbeat_allowance: int = 100
    claim_timeout: int = 300
    grant_timeout: int = 500
    grant_grace: int = 5
    switch_grace: int = 100
    promote_timeout: int = 500
    resend_interval: int = 50
    rank_delay: int = 300
    contender_timeout: int = 600
    unused_promise_detection: int = 2000
    retry_delay: int = 30
    retry_jitter: int = 100
    evidence_age: int = 300
    probe_interval: int = 25
    tick_interval: int = 100
    pause_limit: int = 250
    follow_retry: int = 250


@attrs.frozen
class Reported:
    """A backend server answered a poll that was sent at ``sent_at``."""

    name: str
    report: BackendReport
    sent_at: Millis


@attrs.frozen
class Unreachable:
    """A poll of a backend server failed.

    ``refused`` tells whether its host refused or reset the connection.
    """

    name: str
    refused: bool


@attrs.frozen
class ReachedByPeer:
    """Another holder reached a backend server ``age`` ms ago."""

    name: str
    age: int


@attrs.frozen
class TermClaimed:
    """The table service stored the claim of a term."""

    term: int


@attrs.frozen
class ClaimRefused:
    """The table service has another candidate's claim of at least this term.

    If the stored claim is this candidate's own, written by a request whose
    answer was lost, the event is ``TermClaimed`` instead.
    """

    stored_term: int


@attrs.frozen
class ClaimFailed:
    """The table service failed to answer; the claim may have been stored."""


@attrs.frozen
class TermAnswered:
    """A backend server answered ``SET GROUP TERM``."""

    name: str
    report: BackendReport


@attrs.frozen
class TermFailed:
    """``SET GROUP TERM`` failed or got no answer from a backend server."""

    name: str


@attrs.frozen
class Promoted:
    """A backend server answered ``PROMOTE GROUP TERM``."""

    name: str
    report: BackendReport


@attrs.frozen
class PromoteFailed:
    """``PROMOTE GROUP TERM`` was refused or got no answer."""

    name: str


@attrs.frozen
class Followed:
    """A backend server answered ``FOLLOW GROUP TERM``."""

    name: str
    report: BackendReport


@attrs.frozen
class FollowFailed:
    """``FOLLOW GROUP TERM`` was refused or got no answer."""

    name: str


@attrs.frozen
class MembersChanged:
    """The configured members of the group changed."""

    members: tuple[str, ...]


@attrs.frozen
class RankChanged:
    """This daemon's rank among the holders of the service changed."""

    rank: int


@attrs.frozen
class SwitchRequested:
    """The primary ``name`` is to be replaced because it is leaving."""

    name: str


@attrs.frozen
class Tick:
    """A periodic wake-up, on which time limits are checked."""


ReportEvent: TypeAlias = Reported | TermAnswered | Promoted | Followed
ClaimResult: TypeAlias = TermClaimed | ClaimRefused | ClaimFailed
StepFailure: TypeAlias = TermFailed | PromoteFailed | FollowFailed
ReachabilityEvent: TypeAlias = Unreachable | ReachedByPeer
ConfigurationEvent: TypeAlias = MembersChanged | RankChanged | SwitchRequested
Event: TypeAlias = (
    ReportEvent
    | ClaimResult
    | StepFailure
    | ReachabilityEvent
    | ConfigurationEvent
    | Tick
)


@attrs.frozen
class ClaimTerm:
    """Store the claim of a term by a conditional write."""

    term: int


@attrs.frozen
class SetTerm:
    """Send ``SET GROUP TERM`` to a backend server."""

    name: str
    term: int


@attrs.frozen
class Promote:
    """Send ``PROMOTE GROUP TERM`` to a backend server."""

    name: str
    term: int


@attrs.frozen
class Follow:
    """Send ``FOLLOW GROUP TERM`` to a backend server."""

    name: str
    term: int
    source_name: str


@attrs.frozen
class Probe:
    """Poll a backend server at once, unlike a long poll that waits."""

    name: str


@attrs.frozen
class PrimaryChanged:
    """A backend server is the primary in a term that is now in force."""

    term: int
    name: str


@attrs.frozen
class AttemptFailed:
    """An attempt ended without a promotion; another may follow."""

    reason: str


Command: TypeAlias = (
    ClaimTerm
    | SetTerm
    | Promote
    | Follow
    | Probe
    | PrimaryChanged
    | AttemptFailed
)
