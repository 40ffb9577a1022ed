"""Decides whether a leader is replaced, and chooses its successor."""

import enum
from collections.abc import Iterable

import attrs

from monsoonproxy.models import Position

#: Share of the polled daemons, this one included, that must not reach a leader
#: before it is replaced. If fewer are affected, their callers' retries are
#: served through other daemons, while a replacement interrupts the writes of
#: all daemons.
_REPLACE_SHARE = 0.25


class Reachability(enum.Enum):
    """Whether a daemon reaches a backend server."""

    REACHABLE = 'reached'
    UNREACHABLE = 'missing'
    #: The daemon that lends the connections does not answer, or the backend
    #: server is too busy to open one.
    UNKNOWN = 'unknown'


class Decision(enum.Enum):
    """What to do about a leader that this daemon can't reach."""

    #: Too few daemons fail to reach the leader, or too many are undecided or
    #: silent.
    KEEP = 'keep'
    #: Enough daemons don't reach the leader.
    REPLACE = 'replace'
    #: There is no other daemon to poll.
    NO_PEERS = 'alone'


@attrs.define
class Tally:
    """Results of a reachability poll about a leader.

    :param asked: How many daemons were polled.
    :param missing: Names of the daemons that don't reach the leader.
    :param reaching: Names of the daemons that reach it.
    :param undecided: Names of the daemons that can't tell.
    """

    asked: int
    missing: set[str] = attrs.Factory(set)
    reaching: set[str] = attrs.Factory(set)
    undecided: set[str] = attrs.Factory(set)

    def add(self, name: str, *, reachable: bool | None) -> None:
        """Add the reply of a daemon.

        :param name: Name of the daemon.
        :param reachable: Whether the daemon reaches the leader; ``None`` if it
            can't tell.
        """
        if reachable is None:
            self.undecided.add(name)
        else:
            (self.reaching if reachable else self.missing).add(name)

    @property
    def answer_count(self) -> int:
        """Number of daemons that answered, undecided ones included."""
        return len(self.missing) + len(self.reaching) + len(self.undecided)

    @property
    def is_partitioned(self) -> bool:
        """Whether most of the polled daemons did not answer.

        They are probably on the other side of a network partition.
        """
        return self.asked - self.answer_count > self.answer_count

    @property
    def is_decided(self) -> bool:
        """Whether further replies can't change the decision."""
        return (
            self.answer_count >= self.asked or self.decide() is Decision.REPLACE
        )

    def decide(
        self, *, own: Reachability = Reachability.UNREACHABLE
    ) -> Decision:
        """Decide whether to replace the leader.

        Silent daemons may be on the leader's side of a partition. If they and
        the undecided daemons outnumber those that don't reach the leader, it
        stays, since it may serve more callers there.

        :param own: Whether this daemon reaches the leader.
        :returns: The decision.
        """
        is_unreachable = own is Reachability.UNREACHABLE
        if not self.asked:
            return Decision.NO_PEERS if is_unreachable else Decision.KEEP
        missing = len(self.missing) + int(is_unreachable)
        silent = self.asked - len(self.missing) - len(self.reaching)
        enough = missing >= _REPLACE_SHARE * (self.asked + 1)
        return (
            Decision.REPLACE if enough and missing >= silent else Decision.KEEP
        )


@attrs.frozen
class Assessment:
    """Conclusion of a reachability poll about a leader.

    :param decision: What to do about the leader.
    :param reaching: Names of the daemons that reach it.
    :param is_partitioned: Whether most of the polled daemons did not answer.
    """

    decision: Decision
    reaching: frozenset[str] = frozenset()
    is_partitioned: bool = False

    @property
    def is_cut_off(self) -> bool:
        """Whether the leader probably serves other daemons but not this one.

        If most daemons answered and none of them reaches the leader, it has
        probably failed, and requests had better wait for its successor.
        """
        served_elsewhere = bool(self.reaching) or self.is_partitioned
        return self.decision is Decision.KEEP and served_elsewhere


def decide_without_peers(assessment: Assessment) -> Assessment:
    """Turn a poll without any peers into a decision to replace the leader.

    :param assessment: Conclusion of the poll.
    :returns: The assessment itself if there were peers, or else one that
        replaces the leader.
    """
    if assessment.decision is Decision.NO_PEERS:
        return Assessment(Decision.REPLACE)
    return assessment


@attrs.frozen
class CandidateStatus:
    """What a candidate for promotion answered.

    :param name: Identity of the backend server.
    :param received: Last log position that it has received; ``None`` if it
        did not answer.
    :param leaving: Whether it is about to leave.
    :param started_at: When it started, in ms since the Unix epoch.
    """

    name: str
    received: Position | None
    leaving: bool = False
    started_at: int = 0


def choose_successor(
    candidates: Iterable[CandidateStatus], *, needs_all: bool = False
) -> str | None:
    """Choose the backend server to promote after the leader failed.

    The candidate with the longest log loses the fewest commits. Of equals, one
    that is not leaving is preferred, and then the one that started last,
    because a release replaces the oldest backend servers first.

    :param candidates: The candidates.
    :param needs_all: Whether all candidates must have answered, because a
        silent one may have a commit that no other has.
    :returns: Identity of the choice, or ``None`` if there is none.
    """
    found = list(candidates)
    answered = [
        candidate for candidate in found if candidate.received is not None
    ]
    if needs_all and len(answered) < len(found):
        return None
    best = max(
        answered,
        key=lambda candidate: (
            candidate.received,
            not candidate.leaving,
            candidate.started_at,
        ),
        default=None,
    )
    return None if best is None else best.name
