"""Tasks that wait for places, the most urgent first."""

import asyncio
import heapq
import itertools

import attrs

from monsoonproxy.clock import Millis


@attrs.define(order=True)
class Waiter:
    """A task that waits; the least one goes first.

    :param priority: 0 is the highest.
    :param number: Order of arrival.
    :param future: Is done once the task has its place.
    :param waiting_since: When it began to wait.
    """

    priority: int
    number: int
    future: 'asyncio.Future[None]' = attrs.field(order=False)
    waiting_since: Millis = attrs.field(order=False)


class WaitQueue:
    """A queue by priority, then arrival."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._waiting: list[Waiter] = []

    def __len__(self) -> int:
        """Return how many tasks wait."""
        return len(self._waiting)

    def add(self, priority: int, now: Millis = Millis(0)) -> Waiter:
        """Begin to wait.

        :param priority: 0 is the highest.
        :param now: The time, for :meth:`count_waiting_since`.
        :returns: What to wait for, and to withdraw in the end.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, next(self._numbers), future, now)
        heapq.heappush(self._waiting, waiter)
        return waiter

    def count_waiting_since(self, time: Millis) -> int:
        """Return how many tasks have waited for long.

        :param time: The latest time at which they began to wait.
        :returns: Their number.
        """
        return sum(waiter.waiting_since <= time for waiter in self._waiting)

    def withdraw(self, waiter: Waiter) -> None:
        """Stop waiting, if that has not ended yet.

        :param waiter: What :meth:`add` returned.
        """
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            heapq.heapify(self._waiting)

    def wake_next(self) -> bool:
        """Give a place to the most urgent task.

        :returns: Whether there was one.
        """
        while self._waiting:
            future = heapq.heappop(self._waiting).future
            if not future.done():
                future.set_result(None)
                return True
        return False

    def fail_all(self, exc: Exception) -> None:
        """End all waits.

        :param exc: What the tasks get.
        """
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.future.done():
                waiter.future.set_exception(exc)
