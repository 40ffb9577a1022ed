"""Decisions about replacing a leader."""

import enum
from collections.abc import Iterable

import attrs

from monsoonproxy.models import Position

#: Share of the daemons heard that must miss a leader before it is replaced.
#: Callers of fewer daemons are served on their retries through the others; a
#: replacement interrupts the writes of all daemons.
_MISSING_SHARE = 0.25


class Evidence(enum.Enum):
    """What a daemon knows of whether it reaches a leader."""

    REACHED = 'reached'
    MISSING = 'missing'
    #: The way to it leads through a daemon that does not answer, or it is too
    #: busy to open a connection.
    UNKNOWN = 'unknown'


class Verdict(enum.Enum):
    """What to do about a leader that this daemon can't reach."""

    #: The others don't miss it, or there is a newer one.
    KEEP = 'keep'
    #: Enough daemons miss it.
    REPLACE = 'replace'
    #: There is nobody else to ask.
    ALONE = 'alone'


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
    def heard(self) -> int:
        """Return how many daemons answered."""
        return len(self.missing) + len(self.reaching) + len(self.undecided)

    @property
    def is_apart(self) -> bool:
        """Tell whether most others seem to be behind a partition."""
        return self.asked - self.heard > self.heard

    @property
    def is_settled(self) -> bool:
        """Tell whether further opinions can't change the verdict."""
        return self.heard >= self.asked or self.verdict() is Verdict.REPLACE

    def verdict(self, *, own: Evidence = Evidence.MISSING) -> Verdict:
        """Decide what to do.

        Daemons that don't answer may be together with the leader on the other
        side of a partition. If they and the undecided ones are more than those
        that miss it, the leader stays, since it may serve more callers there.

        :param own: What this daemon knows itself.
        :returns: The verdict.
        """
        misses_it = own is Evidence.MISSING
        if not self.asked:
            return Verdict.ALONE if misses_it else Verdict.KEEP
        missing = len(self.missing) + int(misses_it)
        silent = self.asked - len(self.missing) - len(self.reaching)
        enough = missing >= _MISSING_SHARE * (self.asked + 1)
        return Verdict.REPLACE if enough and missing >= silent else Verdict.KEEP


@attrs.frozen
class Finding:
    """What the other daemons say about a leader.

    :param verdict: What to do.
    :param reaching: Names of those that reach it.
    :param is_apart: Whether most others did not answer.
    """

    verdict: Verdict
    reaching: frozenset[str] = frozenset()
    is_apart: bool = False

    @property
    def is_cut_off(self) -> bool:
        """Tell whether other daemons serve what this one can't.

        If nobody who answered reaches the leader and most answered, it is
        probably gone, and waiting for its successor is worth while.
        """
        served_elsewhere = bool(self.reaching) or self.is_apart
        return self.verdict is Verdict.KEEP and served_elsewhere


def decided_alone(finding: Finding) -> Finding:
    """Decide after a while without anybody to ask.

    :param finding: What the others said.
    :returns: The same, or that the leader is to be replaced.
    """
    if finding.verdict is Verdict.ALONE:
        return Finding(Verdict.REPLACE)
    return finding


@attrs.frozen
class Survey:
    """What a possible successor answered.

    :param name: Its identity.
    :param received: Last position that it has received; ``None`` if it did
        not answer.
    :param leaving: Whether it is about to leave.
    :param born: When it started, in ms since the Unix epoch.
    """

    name: str
    received: Position | None
    leaving: bool = False
    born: int = 0


def choose_successor(
    surveys: Iterable[Survey], *, needs_all: bool = False
) -> str | None:
    """Choose the backend server to promote after a failure.

    The one with the longest log loses the least. Of equals, one that stays
    is preferred, and then the one that started last, as a release replaces
    the oldest first.

    :param surveys: The possible successors.
    :param needs_all: Whether one that did not answer may have a commit that
        no other has, so that nothing can be chosen without it.
    :returns: Its identity, or ``None`` if there is none to choose.
    """
    found = list(surveys)
    answered = [survey for survey in found if survey.received is not None]
    if needs_all and len(answered) < len(found):
        return None
    best = max(
        answered,
        key=lambda survey: (survey.received, not survey.leaving, survey.born),
        default=None,
    )
    return None if best is None else best.name


def choose_replacement(
    surveys: Iterable[Survey], reached: Position
) -> str | None:
    """Choose the backend server that takes over from one that leaves.

    :param surveys: The possible successors.
    :param reached: Position of the leader.
    :returns: Identity of the one that started last of those that have the
        leader's position and stay, or ``None`` if there is none yet.
    """
    complete = [
        survey
        for survey in surveys
        if survey.received is not None
        and survey.received >= reached
        and not survey.leaving
    ]
    best = max(complete, key=lambda survey: survey.born, default=None)
    return None if best is None else best.name
