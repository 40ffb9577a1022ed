"""How many statements a daemon has in work at one backend server.

The daemons share a backend server's few slots without seeing each other. A
backend server that turns statements away is given fewer at once; the rest
waits here, the most urgent first.
"""

import asyncio

from monsoonproxy.clock import Millis, seconds
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.queries import Answer, Code
from monsoonproxy.wait_queues import Waiter, WaitQueue

#: Statements at once before anything is known. After a loss of power, all
#: daemons begin at the same moment; a database of two slots queues 16
#: statements before it turns others away.
_INITIAL_LIMIT = 1.0
#: Statements at once at most.
_MAX_LIMIT = 12.0
#: Growth per answer until a statement is turned away for the first time.
_SLOW_START_INCREASE = 1.0
#: Factor by which the number falls when a statement is turned away, and the
#: least time in ms between two falls: one full queue turns away many.
_DECREASE_FACTOR = 0.6
_MIN_DECREASE_INTERVAL = 60
#: Growth per round of answers while all places are in use.
_INCREASE_PER_ROUND = 0.5


class ConcurrencyLimitError(MonsoonError):
    """No place became free in time."""


class AdaptiveLimit:
    """Additive increase, multiplicative decrease of the statements at once.

    It begins low and doubles from round to round until a statement is turned
    away for the first time.
    """

    def __init__(self) -> None:
        self.current = _INITIAL_LIMIT
        self._has_rejections = False
        self._decreased_at = -_MIN_DECREASE_INTERVAL

    def record_served(self, running: int) -> None:
        """Take in an answer.

        :param running: Statements in work, with this one.
        """
        if not self._has_rejections and 2 * running >= int(self.current):
            self.current = min(_MAX_LIMIT, self.current + _SLOW_START_INCREASE)
        elif running >= int(self.current):
            self.current = min(
                _MAX_LIMIT, self.current + _INCREASE_PER_ROUND / self.current
            )

    def record_rejected(self, now: Millis) -> None:
        """Take in that a statement was turned away.

        :param now: The time.
        """
        self._has_rejections = True
        if now - self._decreased_at >= _MIN_DECREASE_INTERVAL:
            self._decreased_at = now
            self.current = max(1, self.current * _DECREASE_FACTOR)


class ConcurrencyLimiter:
    """The places of one daemon at one backend server."""

    def __init__(self) -> None:
        self.limit = AdaptiveLimit()
        self.running = 0
        self._waiters = WaitQueue()

    @property
    def waiting(self) -> int:
        """Return how many statements wait."""
        return len(self._waiters)

    async def acquire(self, priority: int, limit: float) -> None:
        """Wait for a place.

        :param priority: 0 is the highest.
        :param limit: Longest wait in ms.
        :raises ConcurrencyLimitError: If none becomes free in time.
        """
        if self.running < int(self.limit.current) and not self._waiters:
            self.running += 1
            return
        waiter = self._waiters.add(priority)
        future = waiter.future
        try:
            await asyncio.wait((future,), timeout=seconds(max(1, int(limit))))
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        if not future.done():
            self._withdraw(waiter)
            raise ConcurrencyLimitError('no place in time')
        future.result()

    def record_answer(self, answer: Answer, now: Millis) -> None:
        """Learn from an answer whether there are free slots.

        :param answer: The answer.
        :param now: The time.
        """
        if answer.code is Code.BUSY:
            self.limit.record_rejected(now)
        elif answer.signed:
            self.limit.record_served(self.running)

    def force_acquire(self) -> None:
        """Take a place without waiting, for an open transaction."""
        self.running += 1

    def release(self) -> None:
        """Give a place back."""
        self.running -= 1
        self._admit()

    def interrupt(self) -> None:
        """End all waits."""
        self._waiters.fail_all(ConcurrencyLimitError('not waited for'))

    def _admit(self) -> None:
        while (
            self.running < int(self.limit.current) and self._waiters.wake_next()
        ):
            self.running += 1

    def _withdraw(self, waiter: Waiter) -> None:
        if not waiter.future.done():
            self._waiters.withdraw(waiter)
        elif waiter.future.exception() is None:
            # The place was given at the same moment.
            self.release()
