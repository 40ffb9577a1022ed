"""The waiting tickets of one service, in order of their deadlines."""

import bisect
from collections.abc import Iterator

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import ENQUIRY, StatementKind


@attrs.frozen
class Ticket:
    """A request that asks for admission.

    :param number: Identifies the request within the holder.
    :param request_class: Weight class.
    :param kind: ``READ``, or ``WRITE`` for all that needs the primary.
    :param arrived: When it arrived.
    :param deadline: When its answer is of no use any more.
    :param shape: Statement shape, for the measured service time.
    :param replica: Whether a replica may serve it.
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
    """A waiting ticket with its weight and estimated service time."""

    ticket: Ticket
    weight: float
    cost: float

    @property
    def density(self) -> float:
        """Return the value of serving it per ms of a slot.

        :returns: Weight divided by estimated service time.
        """
        return self.weight / max(self.cost, 0.001)


class DeadlineQueue:
    """Waiting entries that the same backend servers may serve.

    Work is summed up per interval of deadlines, so that the demand before any
    deadline is known without a walk over all entries.

    :param interval_ms: Length of these intervals in ms.
    """

    def __init__(self, interval_ms: int) -> None:
        self._interval_ms = interval_ms
        self._order: list[tuple[int, int]] = []
        self._entries: dict[int, QueueEntry] = {}
        #: Work in ms, and the last deadline, per interval of deadlines.
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
        """Iterate in order of deadlines.

        :returns: An iterator over a copy.
        """
        entries = self._entries
        return iter([entries[number] for _deadline, number in self._order])

    def head(self) -> QueueEntry | None:
        """Return the entry with the earliest deadline.

        :returns: The entry, or ``None`` if there is none.
        """
        return self._entries[self._order[0][1]] if self._order else None

    def add(self, entry: QueueEntry) -> None:
        """Add an entry.

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

        :param number: Number of its ticket.
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

        :param count: How many at most.
        :returns: The entries.
        """
        return [self._entries[number] for _, number in self._order[:count]]

    def lowest_weight(
        self, max_deadline: int, weight_below: float, excluded: int
    ) -> QueueEntry | None:
        """Find an entry of least weight, the last one added first.

        :param max_deadline: Its deadline is at most this.
        :param weight_below: Its weight is less than this.
        :param excluded: Number of a ticket that is not to be found.
        :returns: The entry, if there is one.
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
