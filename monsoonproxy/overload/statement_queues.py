"""Statements that wait for a backend server, and which of them can be served.

Decides without a clock or a task; callers pass the time.
"""

import bisect
import itertools
import math
from typing import Any

import attrs

from monsoonproxy.clock import Millis

#: Of this many admissions, one goes to the statement that has waited longest,
#: whatever its priority, so that none waits behind urgent ones for ever.
_FAIR_EVERY = 8
#: Time in ms without room for a late statement after which all of them are
#: refused: the server is busy with statements that can still be in time.
_NO_ROOM_TIME = 150


@attrs.frozen
class Urgency:
    """What decides when a statement is served.

    :param priority: 0 is the highest.
    :param objective_at: Time in ms by which it should be answered.
    :param deadline_at: Time in ms by which it must be answered.
    :param statements: Expected number of statements until its operation ends,
        itself included, which the objective is for.
    """

    priority: int
    objective_at: float = math.inf
    deadline_at: float = math.inf
    statements: float = 1


@attrs.define(eq=False)
class QueuedStatement:
    """A statement in a queue.

    :param urgency: What decides its place.
    :param arrived_at: When it was added.
    :param number: Order of arrival.
    :param tag: What the owner of the queue wakes up.
    """

    urgency: Urgency
    arrived_at: Millis
    number: int
    tag: Any = None

    @property
    def key(self) -> tuple[int, float, int]:
        """Return what orders the statements that can still be in time."""
        urgency = self.urgency
        return urgency.priority, urgency.objective_at, self.number


@attrs.frozen
class Rate:
    """How fast a backend server takes the statements of a queue.

    :param service: Time in ms that it needs for one.
    :param concurrency: How many it works on at once.
    """

    service: float
    concurrency: float

    def time_for(self, count: int) -> float:
        """Return after which time in ms the last of some statements starts."""
        return count * self.service / max(1, self.concurrency)


class StatementQueue:
    """Statements that wait, in the order in which they are served.

    Those that can still meet their objective come first, by priority and then
    by objective. Late ones are served while there is room.
    """

    def __init__(self) -> None:
        self._waiting: list[QueuedStatement] = []
        self._numbers = itertools.count()
        self._admissions = itertools.count(1)
        #: When there was last room for a late statement.
        self._room_at = Millis(0)

    def __len__(self) -> int:
        """Return the number of waiting statements."""
        return len(self._waiting)

    def add(
        self, urgency: Urgency, now: Millis, tag: Any = None
    ) -> QueuedStatement:
        """Add a statement.

        :param urgency: What decides its place.
        :param now: The time.
        :param tag: What the owner of the queue wakes up.
        :returns: The entry of the statement.
        """
        entry = QueuedStatement(urgency, now, next(self._numbers), tag)
        if not self._waiting:
            self._room_at = now
        bisect.insort(self._waiting, entry, key=_key)
        return entry

    def remove(self, entry: QueuedStatement) -> None:
        """Remove a statement that waits no longer; others are ignored.

        :param entry: The entry of the statement.
        """
        if entry in self._waiting:
            self._waiting.remove(entry)

    def clear(self) -> list[QueuedStatement]:
        """Remove all statements.

        :returns: Their entries.
        """
        waiting, self._waiting = self._waiting, []
        return waiting

    def expected_wait(self, urgency: Urgency, rate: Rate) -> float:
        """Return how long another statement would wait.

        :param urgency: What would decide its place.
        :param rate: How fast statements are taken.
        :returns: The time in ms.
        """
        place = (urgency.priority, urgency.objective_at, math.inf)
        ahead = bisect.bisect_left(self._waiting, place, key=_key)
        return rate.time_for(ahead + 1)

    def pop(self, now: Millis, rate: Rate) -> QueuedStatement | None:
        """Remove the statement that is served next.

        :param now: The time.
        :param rate: How fast statements are taken.
        :returns: Its entry, or ``None`` if none waits.
        """
        if not self._waiting:
            return None
        in_time = [
            entry
            for entry in self._waiting
            if now + rate.service <= entry.urgency.objective_at
        ]
        if not in_time:
            self._room_at = now
            in_time = self._waiting
        chosen = in_time[0]
        if next(self._admissions) % _FAIR_EVERY == 0:
            chosen = min(in_time, key=_arrival)
        self._waiting.remove(chosen)
        return chosen

    def drop_hopeless(self, now: Millis, rate: Rate) -> list[QueuedStatement]:
        """Remove the statements that can't be served before their deadlines.

        :param now: The time.
        :param rate: How fast statements are taken.
        :returns: Their entries.
        """
        has_room = now - self._room_at < _NO_ROOM_TIME
        kept: list[QueuedStatement] = []
        dropped: list[QueuedStatement] = []
        for entry in self._waiting:
            start = now + rate.time_for(len(kept))
            is_late = now + rate.service > entry.urgency.objective_at
            misses = start + rate.service > entry.urgency.deadline_at
            hopeless = misses or (is_late and not has_room)
            (dropped if hopeless else kept).append(entry)
        self._waiting = kept
        return dropped


def _key(entry: QueuedStatement) -> tuple[int, float, int]:
    return entry.key


def _arrival(entry: QueuedStatement) -> tuple[Millis, int]:
    return entry.arrived_at, entry.number
