"""Statements that run on one backend server."""

import math

import attrs

from monsoonproxy.routing import Load


@attrs.define
class _InFlight:
    """A statement that was sent.

    :param earliest_answer: Time from which the answer takes the service time:
        the round trip after the start, or when a slot was seen to get free.
    :param cost: Estimated service time.
    :param queued: Whether all slots were taken when it was sent.
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
        """Count a statement as sent.

        :param number: Number of its request.
        :param earliest_answer: When an answer without service time would
            arrive.
        :param cost: Estimated service time.
        """
        queued = len(self._in_flight) >= self.slots
        self._in_flight[number] = _InFlight(earliest_answer, cost, queued)

    def finish(self, number: int, now: int) -> float | None:
        """Count a statement as answered.

        :param number: Number of its request.
        :param now: When the answer arrived.
        :returns: Its service time in ms, or ``None`` if it is unknown here.
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
        """Return how many more statements to send.

        A slot is idle for a round trip after each answer unless another
        statement already waits at the backend server. Half a statement more
        covers service times that vary.

        :param round_trip: Time between answer and next statement.
        :param mean: Mean service time.
        :returns: The number of statements.
        """
        if not self.slots:
            return 0
        ahead = self.slots * round_trip / max(mean, 1)
        limit = self.slots + math.ceil(ahead + _EXTRA_STATEMENTS)
        return limit - len(self._in_flight)

    def busy(self, now: int) -> float:
        """Estimate the work in flight.

        :param now: The time.
        :returns: Work in ms of one slot.
        """
        return sum(
            one.cost - min(one.cost, max(0, now - one.earliest_answer))
            for one in self._in_flight.values()
        )

    def wait(self, now: int) -> float:
        """Estimate how long a new statement waits on the backend server.

        :param now: The time.
        :returns: The wait in ms.
        """
        if len(self._in_flight) < self.slots or not self.slots:
            return 0
        return self.busy(now) / self.slots

    def load(self, mean: float) -> Load:
        """Return the load.

        :param mean: Mean service time.
        :returns: The load as the router takes it.
        """
        taken = len(self._in_flight)
        return Load(
            free_slots=max(0, self.slots - taken),
            queued=max(0, taken - self.slots),
            service_time=mean,
            slots=max(1, self.slots),
        )


_EXTRA_STATEMENTS = 0.5
