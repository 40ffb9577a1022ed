"""Queue of admission tickets, ordered by deadline."""

import bisect
from collections.abc import Iterator

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import ENQUIRY, StatementKind


@attrs.frozen
class Ticket:
    """What admission control needs to know about a request.

    :param number: Identifies the request within the holder.
    :param request_class: Class that determines the weight.
    :param kind: ``READ``, or ``WRITE`` for any statement that needs the
        primary.
    :param arrived: When the request arrived.
    :param deadline: Latest useful time of the answer.
    :param shape: Statement shape, the key of measured service times.
    :param replica: Whether a replica may serve the request.
    """

    number: int
    request_class: str = ENQUIRY
    kind: StatementKind = StatementKind.READ
    arrived: Millis = Millis(0)
    deadline: Millis = Millis(0)
    shape: str = ''
    replica: bool = True


@attrs.frozen
class QueueEntry:
    """A waiting ticket with its weight and estimated service time.

    :param ticket: The ticket.
    :param weight: Weight of its request class.
    :param cost: Estimated service time in ms.
    """

    ticket: Ticket
    weight: float
    cost: float

    @property
    def density(self) -> float:
        """Return the weight per ms of service time.

        :returns: Weight divided by estimated service time.
        """
        return self.weight / max(self.cost, 0.001)


class DeadlineQueue:
    """Waiting entries that the same backend servers may serve.

    Work is summed per interval of deadlines, so that the demand before any
    deadline is known without iterating over all entries.

    :param interval_ms: Length of the intervals.
    """

    def __init__(self, interval_ms: int) -> None:
        self._interval_ms = interval_ms
        self._order: list[tuple[int, int]] = []
        self._entries: dict[int, QueueEntry] = {}
        #: Work in ms, and the latest deadline, per interval of deadlines.
        self.work: dict[int, float] = {}
        self.last: dict[int, int] = {}
        self._counts: dict[int, int] = {}
        self._by_weight: dict[float, dict[int, QueueEntry]] = {}
        self.total: float = 0

    def __len__(self) -> int:
        """Return the number of entries.

        :returns: The number of waiting entries.
        """
        return len(self._order)

    def __iter__(self) -> Iterator[QueueEntry]:
        """Iterate over the entries in order of their deadlines.

        :returns: An iterator over a copy, safe against changes of the queue.
        """
        entries = self._entries
        return iter([entries[number] for _deadline, number in self._order])

    def head(self) -> QueueEntry | None:
        """Return the entry with the earliest deadline.

        :returns: The entry, or ``None`` if there is none.
        """
        return self._entries[self._order[0][1]] if self._order else None

    def add(self, entry: QueueEntry) -> None:
        """Insert an entry by its deadline.

        :param entry: The entry.
        """
        ticket = entry.ticket
        key = self.interval_of(ticket)
        bisect.insort(self._order, (ticket.deadline, ticket.number))
        self._entries[ticket.number] = entry
        self.work[key] = self.work.get(key, 0) + entry.cost
        self.last[key] = max(self.last.get(key, 0), ticket.deadline)
        self._counts[key] = self._counts.get(key, 0) + 1
        self._by_weight.setdefault(entry.weight, {})[ticket.number] = entry
        self.total += entry.cost

    def discard(self, number: int) -> QueueEntry | None:
        """Remove an entry.

        :param number: Number of the entry's ticket.
        :returns: The entry, or ``None`` if it was not waiting.
        """
        entry = self._entries.pop(number, None)
        if entry is None:
            return None
        self._by_weight[entry.weight].pop(number)
        self.total -= entry.cost
        deadline = entry.ticket.deadline
        index = bisect.bisect_left(self._order, (deadline, number))
        self._order.pop(index)
        key = self.interval_of(entry.ticket)
        self._counts[key] -= 1
        self.work[key] -= entry.cost
        if not self._counts[key]:
            self._counts.pop(key)
            self.work.pop(key)
            self.last.pop(key)
        return entry

    def first(self, count: int) -> list[QueueEntry]:
        """Return the entries with the earliest deadlines.

        :param count: Maximum number of entries.
        :returns: The entries.
        """
        return [self._entries[number] for _, number in self._order[:count]]

    def lowest_weight(
        self, max_deadline: int, weight_below: float, excluded: int
    ) -> QueueEntry | None:
        """Find the entry of lowest weight, the latest addition first.

        :param max_deadline: Latest deadline that the entry may have.
        :param weight_below: Exclusive upper bound of the entry's weight.
        :param excluded: Number of a ticket to skip.
        :returns: The entry, or ``None`` if no entry meets these conditions.
        """
        weights = sorted(self._by_weight)
        candidates = (
            entry
            for weight in weights[: bisect.bisect_left(weights, weight_below)]
            for entry in reversed(self._by_weight[weight].values())
        )
        for entry in candidates:
            ticket = entry.ticket
            if ticket.deadline <= max_deadline and ticket.number != excluded:
                return entry
        return None

    def interval_of(self, ticket: Ticket) -> int:
        """Return the interval of deadlines of a ticket.

        :param ticket: The ticket.
        :returns: A key of :attr:`work`.
        """
        return ticket.deadline // self._interval_ms
