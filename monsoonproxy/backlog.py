"""Waiting requests, and whether they fit before their deadlines."""

import bisect
import math
from itertools import accumulate, repeat
from operator import add

import attrs

from monsoonproxy.deadline_queues import QueueEntry, DeadlineQueue, Ticket
from monsoonproxy.models import StatementKind


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
class CapacityForecast:
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

    :param max_deadline: Giving up work for the primary with at most this
        deadline
        helps.
    :param shared_max_deadline: Giving up reads for replicas with at most this
        deadline
        helps; 0 if none does.
    """

    max_deadline: int
    shared_max_deadline: int


@attrs.frozen
class _Profile:
    """Demand and capacity per interval of deadlines.

    :param keys: The intervals.
    :param deadlines: Their last deadlines.
    :param reads: Work by which the reads exceed the replicas' capacity.
    :param overflow: The greatest such excess so far, at least 0.
    :param excess: Work by which the primary's capacity is exceeded.
    """

    keys: list[int]
    deadlines: list[int]
    reads: list[float]
    overflow: list[float]
    excess: list[float]

    def shortage(self, index: int) -> Shortage:
        """Describe the shortage in one interval.

        Reads help only if they are due before the overflow was at its
        greatest; giving up later ones would leave it as it is.
        """
        overflow = self.overflow[index]
        peak = self.deadlines[self.overflow.index(overflow)]
        return Shortage(self.deadlines[index], peak if overflow > 0 else 0)


class Backlog:
    """Waiting requests: those for the primary only, and those for any server.

    :param interval_ms: Length in ms of the intervals in which work is summed
        up.
    :param limit: Greatest number of waiting requests.
    """

    def __init__(self, interval_ms: int, limit: int) -> None:
        self.limit = limit
        self.primary_queue = DeadlineQueue(interval_ms)
        self.shared_queue = DeadlineQueue(interval_ms)

    def __len__(self) -> int:
        """Return the number of waiting requests.

        :returns: Their number.
        """
        return len(self.primary_queue) + len(self.shared_queue)

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
        return self.primary_queue.total + self.shared_queue.total

    def queue(self, ticket: Ticket) -> DeadlineQueue:
        """Return the lane of a ticket.

        :param ticket: The ticket.
        :returns: The lane.
        """
        read = ticket.kind is StatementKind.READ
        return (
            self.shared_queue if read and ticket.replica else self.primary_queue
        )

    def add(self, entry: QueueEntry) -> None:
        """Add an entry without a check.

        :param entry: The entry.
        """
        self.queue(entry.ticket).add(entry)

    def discard(self, ticket: Ticket) -> QueueEntry | None:
        """Remove an entry.

        :param ticket: Its ticket.
        :returns: The entry, or ``None`` if it was not waiting.
        """
        return self.queue(ticket).discard(ticket.number)

    def admit(
        self, entry: QueueEntry, forecast: CapacityForecast
    ) -> list[QueueEntry] | None:
        """Add an entry, taking out others of lower weight if needed.

        :param entry: The new entry.
        :param forecast: What the backend servers can do.
        :returns: What was taken out, or ``None`` if the new entry does not
            fit, in which case nothing changed.
        """
        victims: list[QueueEntry] = []
        gain = entry.weight
        self.add(entry)
        while gain > 0:
            shortage = self._shortage(forecast, 0, entry)
            if shortage is None and len(self) <= self.limit:
                return victims
            victim = self._pick_victim(
                shortage, entry.weight, entry.ticket.number
            )
            if victim is None:
                break
            gain -= victim.weight
            victims.append(victim)
            self.discard(victim.ticket)
        self.discard(entry.ticket)
        for restored in victims:
            self.add(restored)
        return None

    def shed(
        self, forecast: CapacityForecast, tolerance: float
    ) -> list[QueueEntry]:
        """Take out what does not fit because estimates were too low.

        :param forecast: What the backend servers can do.
        :param tolerance: Relative excess of work that is accepted.
        :returns: What was taken out.
        """
        victims: list[QueueEntry] = []
        shortage = self._shortage(forecast, tolerance)
        while shortage is not None:
            victim = self._pick_victim(shortage, math.inf, -1)
            if victim is None:
                break
            self.discard(victim.ticket)
            victims.append(victim)
            shortage = self._shortage(forecast, tolerance)
        return victims

    def _shortage(
        self,
        forecast: CapacityForecast,
        tolerance: float,
        entry: QueueEntry | None = None,
    ) -> Shortage | None:
        """Compare demand and capacity before each deadline.

        Reads that the replicas can't do in time fall to the primary. Slots
        are taken as perfectly divisible, so that work that fits is never
        found not to fit. With an entry, only a shortage counts to which that
        entry contributes.
        """
        profile = self._profile(forecast, tolerance)
        overflow = profile.overflow
        short = [index for index, one in enumerate(profile.excess) if one > 0]
        if entry is not None and short:
            without_entry = self._overflow_without(entry, profile)
            short = [one for one in short if overflow[one] > without_entry[one]]
        return profile.shortage(short[0]) if short else None

    def _profile(
        self, forecast: CapacityForecast, tolerance: float
    ) -> _Profile:
        keys = sorted(
            self.primary_queue.work.keys() | self.shared_queue.work.keys()
        )
        deadlines = list(map(self._last_deadline, keys))
        times = [
            max(0, max_deadline - forecast.start) * (1 + tolerance)
            for max_deadline in deadlines
        ]
        reads = _excess(self.shared_queue, keys, times, forecast.replicas)
        writes = _excess(self.primary_queue, keys, times, forecast.primary)
        overflow = _running_max(reads)
        excess = list(map(add, writes, overflow))
        return _Profile(keys, deadlines, reads, overflow, excess)

    def _last_deadline(self, key: int) -> int:
        last = (
            self.primary_queue.last.get(key, 0),
            self.shared_queue.last.get(key, 0),
        )
        return max(last)

    def _overflow_without(
        self, entry: QueueEntry, profile: _Profile
    ) -> list[float]:
        """Return the overflow above which the entry contributes.

        A read contributes where the overflow is greater with it than without
        it. An entry for the primary contributes at all later deadlines.
        """
        keys = profile.keys
        since = bisect.bisect_left(
            keys, self.primary_queue.interval_of(entry.ticket)
        )
        if self.queue(entry.ticket) is self.primary_queue:
            return [math.inf if one < since else -1 for one in range(len(keys))]
        without = [one - entry.cost for one in profile.reads[since:]]
        return _running_max(profile.reads[:since] + without)

    def _pick_victim(
        self, shortage: Shortage | None, weight_below: float, excluded: int
    ) -> QueueEntry | None:
        """Choose an entry of least weight, the last one that came."""
        limits = shortage or Shortage(_NO_DEADLINE, _NO_DEADLINE)
        found = (
            self.primary_queue.lowest_weight(
                limits.max_deadline, weight_below, excluded
            ),
            self.shared_queue.lowest_weight(
                limits.shared_max_deadline, weight_below, excluded
            ),
        )
        return min(
            (entry for entry in found if entry is not None),
            key=lambda entry: (entry.weight, -entry.ticket.arrived),
            default=None,
        )


_NO_DEADLINE = 1 << 62


def _excess(
    queue: DeadlineQueue,
    keys: list[int],
    times: list[float],
    capacity: Capacity,
) -> list[float]:
    """Return by how much the work due at each time exceeds the capacity."""
    work = map(queue.work.get, keys, repeat(0))
    done = list(accumulate(work, initial=capacity.busy))[1:]
    return [
        total - capacity.slots * time
        for total, time in zip(done, times, strict=True)
    ]


def _running_max(numbers: list[float]) -> list[float]:
    start: float = 0
    return list(accumulate(numbers, max, initial=start))[1:]
