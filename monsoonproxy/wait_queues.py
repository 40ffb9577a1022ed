"""Queues of tasks that wait for a resource, in order of priority."""

import asyncio
import heapq
import itertools

import attrs

from monsoonproxy.clock import Millis


@attrs.define(order=True)
class Waiter:
    """A waiting task; the least one in sort order is woken first.

    :param priority: 0 is the highest.
    :param number: Order of arrival.
    :param future: Done once the task is woken, or its wait has failed.
    :param waiting_since: When the task began to wait.
    """

    priority: int
    number: int
    future: 'asyncio.Future[None]' = attrs.field(order=False)
    waiting_since: Millis = attrs.field(order=False)


class WaitQueue:
    """Waiting tasks by priority, then by order of arrival."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._waiting: list[Waiter] = []

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return len(self._waiting)

    def add(self, priority: int, now: Millis = Millis(0)) -> Waiter:
        """Add the current task.

        :param priority: 0 is the highest.
        :param now: The time, for :meth:`count_waiting_since`.
        :returns: An entry whose future the task has to await, and which it
            has to withdraw if it stops waiting earlier.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, next(self._numbers), future, now)
        heapq.heappush(self._waiting, waiter)
        return waiter

    def count_waiting_since(self, time: Millis) -> int:
        """Count the tasks that have waited since a time or longer.

        :param time: The latest time at which they began to wait.
        :returns: Number of these tasks.
        """
        return sum(waiter.waiting_since <= time for waiter in self._waiting)

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a task that stops waiting, if it is still queued.

        :param waiter: The entry that :meth:`add` returned.
        """
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            heapq.heapify(self._waiting)

    def wake_next(self) -> bool:
        """Wake the task with the highest priority.

        :returns: Whether a task was waiting.
        """
        while self._waiting:
            future = heapq.heappop(self._waiting).future
            if not future.done():
                future.set_result(None)
                return True
        return False

    def fail_all(self, exc: Exception) -> None:
        """Fail the waits of all tasks.

        :param exc: The exception that the tasks raise.
        """
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.future.done():
                waiter.future.set_exception(exc)
