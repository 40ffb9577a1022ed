"""Decisions about replacing a leader."""

import enum
from collections.abc import Iterable

import attrs

from monsoonproxy.models import Position

#: Share of the daemons heard that must miss a leader before it is replaced.
#: Callers of fewer daemons are served on their retries through the others; a
#: replacement interrupts the writes of all daemons.
_REPLACE_SHARE = 0.25


class Reachability(enum.Enum):
    """What a daemon knows of whether it reaches a leader."""

    REACHABLE = 'reached'
    UNREACHABLE = 'missing'
    #: The way to it leads through a daemon that does not answer, or it is too
    #: busy to open a connection.
    UNKNOWN = 'unknown'


class Decision(enum.Enum):
    """What to do about a leader that this daemon can't reach."""

    #: The others don't miss it, or there is a newer one.
    KEEP = 'keep'
    #: Enough daemons miss it.
    REPLACE = 'replace'
    #: There is nobody else to ask.
    NO_PEERS = 'alone'


@attrs.define
class Tally:
    """The opinions of the daemons that were asked.

    :param asked: How many were asked.
    :param missing: Names of those that don't reach the leader.
    :param reaching: Names of those that do.
    :param undecided: Names of those that can't tell.
    """

    asked: int
    missing: set[str] = attrs.Factory(set)
    reaching: set[str] = attrs.Factory(set)
    undecided: set[str] = attrs.Factory(set)

    def add(self, name: str, *, reachable: bool | None) -> None:
        """Take in an opinion.

        :param name: Whose it is.
        :param reachable: Whether it reaches the leader; ``None`` if it can't
            tell.
        """
        if reachable is None:
            self.undecided.add(name)
        else:
            (self.reaching if reachable else self.missing).add(name)

    @property
    def answer_count(self) -> int:
        """Return how many daemons answered."""
        return len(self.missing) + len(self.reaching) + len(self.undecided)

    @property
    def is_partitioned(self) -> bool:
        """Tell whether most others seem to be behind a partition."""
        return self.asked - self.answer_count > self.answer_count

    @property
    def is_decided(self) -> bool:
        """Tell whether further opinions can't change the verdict."""
        return (
            self.answer_count >= self.asked or self.decide() is Decision.REPLACE
        )

    def decide(
        self, *, own: Reachability = Reachability.UNREACHABLE
    ) -> Decision:
        """Decide what to do.

        Daemons that don't answer may be together with the leader on the other
        side of a partition. If they and the undecided ones are more than those
        that miss it, the leader stays, since it may serve more callers there.

        :param own: What this daemon knows itself.
        :returns: The verdict.
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
    """What the other daemons say about a leader.

    :param decision: What to do.
    :param reaching: Names of those that reach it.
    :param is_partitioned: Whether most others did not answer.
    """

    decision: Decision
    reaching: frozenset[str] = frozenset()
    is_partitioned: bool = False

    @property
    def is_cut_off(self) -> bool:
        """Tell whether other daemons serve what this one can't.

        If nobody who answered reaches the leader and most answered, it is
        probably gone, and waiting for its successor is worth while.
        """
        served_elsewhere = bool(self.reaching) or self.is_partitioned
        return self.decision is Decision.KEEP and served_elsewhere


def decide_without_peers(assessment: Assessment) -> Assessment:
    """Decide after a while without anybody to ask.

    :param assessment: What the others said.
    :returns: The same, or that the leader is to be replaced.
    """
    if assessment.decision is Decision.NO_PEERS:
        return Assessment(Decision.REPLACE)
    return assessment


@attrs.frozen
class CandidateStatus:
    """What a possible successor answered.

    :param name: Its identity.
    :param received: Last position that it has received; ``None`` if it did
        not answer.
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
    """Choose the backend server to promote after a failure.

    The one with the longest log loses the least. Of equals, one that stays
    is preferred, and then the one that started last, as a release replaces
    the oldest first.

    :param candidates: The possible successors.
    :param needs_all: Whether one that did not answer may have a commit that
        no other has, so that nothing can be chosen without it.
    :returns: Its identity, or ``None`` if there is none to choose.
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


def choose_planned_successor(
    candidates: Iterable[CandidateStatus], reached: Position
) -> str | None:
    """Choose the backend server that takes over from one that leaves.

    :param candidates: The possible successors.
    :param reached: Position of the leader.
    :returns: Identity of the one that started last of those that have the
        leader's position and stay, or ``None`` if there is none yet.
    """
    complete = [
        candidate
        for candidate in candidates
        if candidate.received is not None
        and candidate.received >= reached
        and not candidate.leaving
    ]
    best = max(
        complete, key=lambda candidate: candidate.started_at, default=None
    )
    return None if best is None else best.name
