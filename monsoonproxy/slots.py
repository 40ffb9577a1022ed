"""Tracks the statements that are in flight to one backend server."""

import math

import attrs

from monsoonproxy.routing import Load


@attrs.define
class _InFlight:
    """A statement that was sent and has no answer yet.

    :param earliest_answer: When an answer without service time would arrive:
        one round trip after the start or, if the statement had to queue, when
        the answer that freed its slot arrived.
    :param cost: Estimated service time in ms.
    :param queued: Whether the statement waits for a slot of the server.
    """

    earliest_answer: int
    cost: float
    queued: bool


class ServerSlots:
    """Counts statements in flight and derives their service times.

    :param slots: Statements that the backend server runs concurrently.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._in_flight: dict[int, _InFlight] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of statements in flight.

        :returns: Statements sent and not answered.
        """
        return len(self._in_flight)

    def start(self, number: int, earliest_answer: int, cost: float) -> None:
        """Add a statement that was sent.

        :param number: Number of the request.
        :param earliest_answer: When an answer without service time would
            arrive.
        :param cost: Estimated service time in ms.
        """
        queued = len(self._in_flight) >= self.slots
        self._in_flight[number] = _InFlight(earliest_answer, cost, queued)

    def finish(self, number: int, now: int) -> float | None:
        """Remove a statement that was answered or failed.

        Its slot passes to the statement that has queued the longest.

        :param number: Number of the request.
        :param now: When the answer arrived.
        :returns: The service time in ms, or ``None`` if the statement was not
            in flight.
        """
        done = self._in_flight.pop(number, None)
        if done is None:
            return None
        for other in self._in_flight.values():
            if other.queued:
                other.queued = False
                other.earliest_answer = max(other.earliest_answer, now)
                break
        return max(0, now - done.earliest_answer)

    def remaining_window(self, round_trip: int, mean: float) -> int:
        """Return how many more statements may be sent.

        A slot is idle for a round trip after each answer, unless another
        statement is already queued at the backend server. The window is
        therefore larger than the number of slots by the statements that the
        server completes in a round trip, plus half a statement for service
        times that vary.

        :param round_trip: Time in ms between an answer and the next statement.
        :param mean: Mean service time in ms.
        :returns: The number of statements; not positive if the window is full.
        """
        if not self.slots:
            return 0
        ahead = self.slots * round_trip / max(mean, 1)
        limit = self.slots + math.ceil(ahead + _EXTRA_STATEMENTS)
        return limit - len(self._in_flight)

    def busy(self, now: int) -> float:
        """Estimate the remaining work of the statements in flight.

        :param now: The current time.
        :returns: Work in ms of one slot.
        """
        return sum(
            stmt.cost - min(stmt.cost, max(0, now - stmt.earliest_answer))
            for stmt in self._in_flight.values()
        )

    def wait(self, now: int) -> float:
        """Estimate how long a new statement queues at the backend server.

        :param now: The current time.
        :returns: The wait in ms.
        """
        if len(self._in_flight) < self.slots or not self.slots:
            return 0
        return self.busy(now) / self.slots

    def load(self, mean: float) -> Load:
        """Return the load in the form that the router needs.

        :param mean: Mean service time in ms.
        :returns: The load of the backend server.
        """
        taken = len(self._in_flight)
        return Load(
            free_slots=max(0, self.slots - taken),
            queued=max(0, taken - self.slots),
            service_time=mean,
            slots=max(1, self.slots),
        )


# Statements added to the window because service times vary.
_EXTRA_STATEMENTS = 0.5
