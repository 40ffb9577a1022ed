"""Events, commands and rules of the failover."""

from typing import TypeAlias

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport


@attrs.frozen
class FailoverRules:
    """Time limits of the failover, in ms.

    :param silence_detection: Silence after which a primary is suspected.
    :param refused_detection: The same, if its host refuses connections.
    :param isolation_detection: Silence towards only the holders or only the
        replicas after which a primary is replaced.
    :param heartbeat_allowance: Longest interval between two messages of a
        healthy primary to a replica. It is added to what replicas must
        report: without it, a pause slightly shorter than the detection time
        would count as reaching it.
    :param claim_timeout: Time for the table service to answer a claim.
    :param grant_timeout: Time for a majority to grant a term.
    :param grant_grace: Wait for a further grant if a member that has not
        answered is known to have more of the log.
    :param switch_grace: Wait for the grants of staying members when a leaving
        primary is replaced.
    :param promote_timeout: Time for a promotion.
    :param resend_interval: Time between two attempts at one step.
    :param rank_delay: Delay per rank before a holder acts.
    :param contender_timeout: Time given to another candidate whose term
        has been seen.
    :param unused_promise_detection: Time after which a single member that has
        promised a term that no primary uses is reintegrated by a new term. It
        refuses the current term until then.
    :param retry_delay: Least delay before a restart, so that a probe shows
        whether another candidate is ahead.
    :param retry_jitter: Upper limit of the random delay that is added for
        the first restart; it doubles up to eight times this value.
    :param evidence_age: Greatest age of a report that counts as evidence.
    :param probe_interval: Time between two probes of a member.
    :param tick_interval: Longest time between two wake-ups.
    :param pause_limit: A longer time between two events means that this
        process was paused; the excess is not counted as silence of others.
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
    """A poll failed; ``refused`` if the connection was refused or reset."""

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

    A refusal that names this candidate's own claim, written by a request whose
    answer was lost, is to be reported as ``TermClaimed``.
    """

    stored_term: int


@attrs.frozen
class ClaimFailed:
    """The table service did not answer, or its answer was lost."""


@attrs.frozen
class TermAnswered:
    """A backend server answered ``SET GROUP TERM``."""

    name: str
    report: BackendReport


@attrs.frozen
class TermFailed:
    """``SET GROUP TERM`` got no answer from a backend server."""

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
    """Time has passed."""


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
    """Poll a backend server at once, without waiting for a change."""

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
