"""Waiting requests, and whether they fit before their deadlines."""

import bisect
import math
from itertools import accumulate, repeat
from operator import add

import attrs

from monsoonproxy.models import StatementKind
from monsoonproxy.queues import Entry, Lane, Ticket


@attrs.frozen
class Capacity:
    """Slots and the work already in flight on them.

    :param slots: Slots of some backend servers.
    :param busy: Work in flight in ms of one slot.
    """

    slots: int = 0
    busy: float = 0

    def plus(self, slots: int, busy: float) -> 'Capacity':
        """Return the capacity together with another backend server's.

        :param slots: Slots of the other one.
        :param busy: Work in flight on the other one.
        :returns: The sum.
        """
        return Capacity(self.slots + slots, self.busy + busy)


@attrs.frozen
class Outlook:
    """What the backend servers can do from now on.

    :param primary: Capacity of the primary.
    :param replicas: Capacity of the replicas.
    :param start: Time of the decision plus the round trip to them.
    """

    primary: Capacity
    replicas: Capacity
    start: int


@attrs.frozen
class Shortage:
    """More work is due by a time than can be done.

    :param due: Giving up work for the primary with at most this deadline
        helps.
    :param shared_due: Giving up reads for replicas with at most this deadline
        helps; 0 if none does.
    """

    due: int
    shared_due: int


@attrs.frozen
class _Profile:
    """Demand and capacity per interval of deadlines.

    :param keys: The intervals.
    :param dues: Their last deadlines.
    :param reads: Work by which the reads exceed the replicas' capacity.
    :param overflow: The greatest such excess so far, at least 0.
    :param excess: Work by which the primary's capacity is exceeded.
    """

    keys: list[int]
    dues: list[int]
    reads: list[float]
    overflow: list[float]
    excess: list[float]

    def shortage(self, index: int) -> Shortage:
        """Describe the shortage in one interval.

        Reads help only if they are due before the overflow was at its
        greatest; giving up later ones would leave it as it is.
        """
        overflow = self.overflow[index]
        peak = self.dues[self.overflow.index(overflow)]
        return Shortage(self.dues[index], peak if overflow > 0 else 0)


class Backlog:
    """Waiting requests: those for the primary only, and those for any server.

    :param width: Length in ms of the intervals in which work is summed up.
    :param limit: Greatest number of waiting requests.
    """

    def __init__(self, width: int, limit: int) -> None:
        self.limit = limit
        self.own = Lane(width)
        self.shared = Lane(width)

    def __len__(self) -> int:
        """Return the number of waiting requests.

        :returns: Their number.
        """
        return len(self.own) + len(self.shared)

    @property
    def full(self) -> bool:
        """Tell whether there is no place for another request.

        :returns: Whether the limit is reached.
        """
        return len(self) >= self.limit

    @property
    def total(self) -> float:
        """Return the waiting work.

        :returns: Work in ms of one slot.
        """
        return self.own.total + self.shared.total

    def lane(self, ticket: Ticket) -> Lane:
        """Return the lane of a ticket.

        :param ticket: The ticket.
        :returns: The lane.
        """
        read = ticket.kind is StatementKind.READ
        return self.shared if read and ticket.replica else self.own

    def add(self, entry: Entry) -> None:
        """Add an entry without a check.

        :param entry: The entry.
        """
        self.lane(entry.ticket).add(entry)

    def discard(self, ticket: Ticket) -> Entry | None:
        """Remove an entry.

        :param ticket: Its ticket.
        :returns: The entry, or ``None`` if it was not waiting.
        """
        return self.lane(ticket).discard(ticket.number)

    def admit(self, entry: Entry, outlook: Outlook) -> list[Entry] | None:
        """Add an entry, taking out others of lower weight if needed.

        :param entry: The new entry.
        :param outlook: What the backend servers can do.
        :returns: What was taken out, or ``None`` if the new entry does not
            fit, in which case nothing changed.
        """
        victims: list[Entry] = []
        gain = entry.weight
        self.add(entry)
        while gain > 0:
            shortage = self._shortage(outlook, 0, entry)
            if shortage is None and len(self) <= self.limit:
                return victims
            victim = self._victim(shortage, entry.weight, entry.ticket.number)
            if victim is None:
                break
            gain -= victim.weight
            victims.append(victim)
            self.discard(victim.ticket)
        self.discard(entry.ticket)
        for restored in victims:
            self.add(restored)
        return None

    def shed(self, outlook: Outlook, tolerance: float) -> list[Entry]:
        """Take out what does not fit because estimates were too low.

        :param outlook: What the backend servers can do.
        :param tolerance: Relative excess of work that is accepted.
        :returns: What was taken out.
        """
        victims: list[Entry] = []
        shortage = self._shortage(outlook, tolerance)
        while shortage is not None:
            victim = self._victim(shortage, math.inf, -1)
            if victim is None:
                break
            self.discard(victim.ticket)
            victims.append(victim)
            shortage = self._shortage(outlook, tolerance)
        return victims

    def _shortage(
        self, outlook: Outlook, tolerance: float, entry: Entry | None = None
    ) -> Shortage | None:
        """Compare demand and capacity before each deadline.

        Reads that the replicas can't do in time fall to the primary. Slots
        are taken as perfectly divisible, so that work that fits is never
        found not to fit. With an entry, only a shortage counts to which that
        entry contributes.
        """
        profile = self._profile(outlook, tolerance)
        overflow = profile.overflow
        short = [index for index, one in enumerate(profile.excess) if one > 0]
        if entry is not None and short:
            needed = self._needed(entry, profile)
            short = [one for one in short if overflow[one] > needed[one]]
        return profile.shortage(short[0]) if short else None

    def _profile(self, outlook: Outlook, tolerance: float) -> _Profile:
        keys = sorted(self.own.work.keys() | self.shared.work.keys())
        dues = list(map(self._due, keys))
        times = [max(0, due - outlook.start) * (1 + tolerance) for due in dues]
        reads = _excess(self.shared, keys, times, outlook.replicas)
        writes = _excess(self.own, keys, times, outlook.primary)
        overflow = _running_max(reads)
        excess = list(map(add, writes, overflow))
        return _Profile(keys, dues, reads, overflow, excess)

    def _due(self, key: int) -> int:
        last = self.own.last.get(key, 0), self.shared.last.get(key, 0)
        return max(last)

    def _needed(self, entry: Entry, profile: _Profile) -> list[float]:
        """Return the overflow above which the entry contributes.

        A read contributes where the overflow is greater with it than without
        it. An entry for the primary contributes at all later deadlines.
        """
        keys = profile.keys
        since = bisect.bisect_left(keys, self.own.interval(entry.ticket))
        if self.lane(entry.ticket) is self.own:
            return [math.inf if one < since else -1 for one in range(len(keys))]
        without = [one - entry.cost for one in profile.reads[since:]]
        return _running_max(profile.reads[:since] + without)

    def _victim(
        self, shortage: Shortage | None, below: float, spared: int
    ) -> Entry | None:
        """Choose an entry of least weight, the last one that came."""
        limits = shortage or Shortage(_FAR, _FAR)
        found = (
            self.own.cheapest(limits.due, below, spared),
            self.shared.cheapest(limits.shared_due, below, spared),
        )
        return min(
            (entry for entry in found if entry is not None),
            key=lambda entry: (entry.weight, -entry.ticket.arrived),
            default=None,
        )


_FAR = 1 << 62


def _excess(
    lane: Lane, keys: list[int], times: list[float], capacity: Capacity
) -> list[float]:
    """Return by how much the work due at each time exceeds the capacity."""
    work = map(lane.work.get, keys, repeat(0))
    done = list(accumulate(work, initial=capacity.busy))[1:]
    return [
        total - capacity.slots * time
        for total, time in zip(done, times, strict=True)
    ]


def _running_max(numbers: list[float]) -> list[float]:
    start: float = 0
    return list(accumulate(numbers, max, initial=start))[1:]
