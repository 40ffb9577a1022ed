"""Queued requests, and a check whether they can meet their deadlines."""

import bisect
import math
from itertools import accumulate, repeat
from operator import add

import attrs

from monsoonproxy.deadline_queues import DeadlineQueue, QueueEntry, Ticket
from monsoonproxy.models import StatementKind


@attrs.frozen
class Capacity:
    """Slots of a set of backend servers and the work already on them.

    :param slots: Statements that the servers run concurrently.
    :param busy: Work in flight, in ms of one slot.
    """

    slots: int = 0
    busy: float = 0

    def plus(self, slots: int, busy: float) -> 'Capacity':
        """Return this capacity with a backend server added.

        :param slots: Slots of the added server.
        :param busy: Work in flight on the added server.
        :returns: The combined capacity.
        """
        return Capacity(self.slots + slots, self.busy + busy)


@attrs.frozen
class CapacityForecast:
    """Capacity of the backend servers that is available for queued work.

    :param primary: Capacity of the primary.
    :param replicas: Total capacity of the replicas.
    :param start: Time of the decision plus the round trip to the servers.
    """

    primary: Capacity
    replicas: Capacity
    start: int


@attrs.frozen
class Shortage:
    """More work is due by a deadline than the backend servers can do.

    :param max_deadline: Ejecting requests for the primary reduces the shortage
        if their deadline is no later than this.
    :param shared_max_deadline: Ejecting reads for replicas reduces the shortage
        if their deadline is no later than this; 0 if no read does.
    """

    max_deadline: int
    shared_max_deadline: int


@attrs.frozen
class _Profile:
    """Demand compared with capacity, per interval of deadlines.

    :param keys: Keys of the intervals, in ascending order.
    :param deadlines: Latest deadline in each interval.
    :param reads: Work by which reads exceed the replicas' capacity.
    :param overflow: Running maximum of ``reads``, at least 0: the read work
        that falls to the primary.
    :param excess: Work by which the primary's capacity is exceeded.
    """

    keys: list[int]
    deadlines: list[int]
    reads: list[float]
    overflow: list[float]
    excess: list[float]

    def shortage(self, index: int) -> Shortage:
        """Describe the shortage in one interval.

        Ejecting reads helps only if they are due before the overflow reached
        its maximum; ejecting later reads would not reduce it.
        """
        overflow = self.overflow[index]
        peak = self.deadlines[self.overflow.index(overflow)]
        return Shortage(self.deadlines[index], peak if overflow > 0 else 0)


class Backlog:
    """Waiting requests of a service, in two queues.

    One queue has the requests that only the primary may serve, the other one
    the reads that a replica may serve too.

    :param interval_ms: Length of the deadline intervals over which waiting
        work is summed.
    :param limit: Maximum number of waiting requests.
    """

    def __init__(self, interval_ms: int, limit: int) -> None:
        self.limit = limit
        self.primary_queue = DeadlineQueue(interval_ms)
        self.shared_queue = DeadlineQueue(interval_ms)

    def __len__(self) -> int:
        """Return the number of waiting requests.

        :returns: The length of both queues together.
        """
        return len(self.primary_queue) + len(self.shared_queue)

    @property
    def full(self) -> bool:
        """Tell whether the number of waiting requests is at its limit.

        :returns: Whether the limit is reached.
        """
        return len(self) >= self.limit

    @property
    def total(self) -> float:
        """Return the estimated work of all waiting requests.

        :returns: Work in ms of one slot.
        """
        return self.primary_queue.total + self.shared_queue.total

    def queue(self, ticket: Ticket) -> DeadlineQueue:
        """Return the queue that a request belongs to.

        :param ticket: The request.
        :returns: The queue of reads that replicas may serve, or that of the
            requests for the primary.
        """
        read = ticket.kind is StatementKind.READ
        return (
            self.shared_queue if read and ticket.replica else self.primary_queue
        )

    def add(self, entry: QueueEntry) -> None:
        """Add an entry without checking the capacity or the limit.

        :param entry: The entry.
        """
        self.queue(entry.ticket).add(entry)

    def discard(self, ticket: Ticket) -> QueueEntry | None:
        """Remove the entry of a request.

        :param ticket: The request.
        :returns: The entry, or ``None`` if the request was not waiting.
        """
        return self.queue(ticket).discard(ticket.number)

    def admit(
        self, entry: QueueEntry, forecast: CapacityForecast
    ) -> list[QueueEntry] | None:
        """Add an entry, removing others of lower weight if needed.

        The removed entries together weigh less than the new one.

        :param entry: The new entry.
        :param forecast: Available capacity of the backend servers.
        :returns: The removed entries, or ``None`` if the new entry does not
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
        """Remove entries that no longer fit the available capacity.

        Accepted entries stop fitting when service times were underestimated or
        capacity was lost.

        :param forecast: Available capacity of the backend servers.
        :param tolerance: Relative excess of work over capacity that is
            tolerated.
        :returns: The removed entries.
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
        """Return the shortage with the earliest deadline, if there is one.

        Reads that the replicas can't serve in time fall to the primary. Slots
        are treated as perfectly divisible, so that work that fits is never
        reported as a shortage. If an entry is given, only shortages that it
        contributes to are considered.
        """
        profile = self._profile(forecast, tolerance)
        overflow = profile.overflow
        short = [index for index, work in enumerate(profile.excess) if work > 0]
        if entry is not None and short:
            without_entry = self._overflow_without(entry, profile)
            short = [
                index
                for index in short
                if overflow[index] > without_entry[index]
            ]
        return profile.shortage(short[0]) if short else None

    def _profile(
        self, forecast: CapacityForecast, tolerance: float
    ) -> _Profile:
        keys = sorted(
            self.primary_queue.work.keys() | self.shared_queue.work.keys()
        )
        deadlines = list(map(self._last_deadline, keys))
        times = [
            max(0, deadline - forecast.start) * (1 + tolerance)
            for deadline in deadlines
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
        """Return the overflow above which an entry adds to a shortage.

        A read contributes where the overflow is greater with the read than
        without it. An entry for the primary contributes to every interval from
        its own deadline on.
        """
        keys = profile.keys
        first = bisect.bisect_left(
            keys, self.primary_queue.interval_of(entry.ticket)
        )
        if self.queue(entry.ticket) is self.primary_queue:
            return [
                math.inf if index < first else -1 for index in range(len(keys))
            ]
        without = [work - entry.cost for work in profile.reads[first:]]
        return _running_max(profile.reads[:first] + without)

    def _pick_victim(
        self, shortage: Shortage | None, weight_below: float, excluded: int
    ) -> QueueEntry | None:
        """Choose the entry of lowest weight, the latest arrival first."""
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


# Later than any deadline in ms.
_NO_DEADLINE = 1 << 62


def _excess(
    queue: DeadlineQueue,
    keys: list[int],
    times: list[float],
    capacity: Capacity,
) -> list[float]:
    """Return by how much the work due by each time exceeds the capacity."""
    work = map(queue.work.get, keys, repeat(0))
    done = list(accumulate(work, initial=capacity.busy))[1:]
    return [
        total - capacity.slots * time
        for total, time in zip(done, times, strict=True)
    ]


def _running_max(numbers: list[float]) -> list[float]:
    start: float = 0
    return list(accumulate(numbers, max, initial=start))[1:]
