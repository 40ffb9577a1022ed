"""Statements that run on one backend server."""

import math

import attrs

from monsoonproxy.routing import Load


@attrs.define
class _Running:
    """A statement that was sent.

    :param answer_base: Time from which the answer takes the service time:
        the round trip after the start, or when a slot was seen to get free.
    :param cost: Estimated service time.
    :param waits: Whether all slots were taken when it was sent.
    """

    answer_base: int
    cost: float
    waits: bool


class ServerSlots:
    """Counts statements in flight and derives their service times.

    :param slots: Statements that the backend server runs concurrently.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._running: dict[int, _Running] = {}

    @property
    def running(self) -> int:
        """Return the number of statements in flight.

        :returns: Statements sent and not answered.
        """
        return len(self._running)

    def start(self, number: int, answer_base: int, cost: float) -> None:
        """Count a statement as sent.

        :param number: Number of its request.
        :param answer_base: When an answer without service time would arrive.
        :param cost: Estimated service time.
        """
        waits = len(self._running) >= self.slots
        self._running[number] = _Running(answer_base, cost, waits)

    def finish(self, number: int, now: int) -> float | None:
        """Count a statement as answered.

        :param number: Number of its request.
        :param now: When the answer arrived.
        :returns: Its service time in ms, or ``None`` if it is unknown here.
        """
        done = self._running.pop(number, None)
        if done is None:
            return None
        for other in self._running.values():
            if other.waits:
                other.waits = False
                other.answer_base = max(other.answer_base, now)
                break
        return max(0, now - done.answer_base)

    def room(self, round_trip: int, mean: float) -> int:
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
        limit = self.slots + math.ceil(ahead + _SPREAD)
        return limit - len(self._running)

    def busy(self, now: int) -> float:
        """Estimate the work in flight.

        :param now: The time.
        :returns: Work in ms of one slot.
        """
        return sum(
            one.cost - min(one.cost, max(0, now - one.answer_base))
            for one in self._running.values()
        )

    def wait(self, now: int) -> float:
        """Estimate how long a new statement waits on the backend server.

        :param now: The time.
        :returns: The wait in ms.
        """
        if len(self._running) < self.slots or not self.slots:
            return 0
        return self.busy(now) / self.slots

    def load(self, mean: float) -> Load:
        """Return the load.

        :param mean: Mean service time.
        :returns: The load as the router takes it.
        """
        taken = len(self._running)
        return Load(
            free_slots=max(0, self.slots - taken),
            queued=max(0, taken - self.slots),
            service_time=mean,
            slots=max(1, self.slots),
        )


_SPREAD = 0.5
