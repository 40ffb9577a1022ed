"""Limits on the statements that a daemon runs concurrently at a backend server.

The daemons share the few slots of a backend server without coordination. Each
adapts its own limit to the answers: a backend server that rejects statements
because its queue is full gets fewer at a time. Further statements wait in the
daemon, in order of priority.
"""

import asyncio

from monsoonproxy.clock import Millis, seconds
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.queries import Answer, Code
from monsoonproxy.wait_queues import Waiter, WaitQueue

#: Concurrent statements before the first answer. After a loss of power, all
#: daemons start at the same moment, and a database of two slots queues only 16
#: statements before it rejects further ones.
_INITIAL_LIMIT = 1.0
#: Greatest number of concurrent statements.
_MAX_LIMIT = 12.0
#: Increase of the limit per answer until the first rejection (slow start).
_SLOW_START_INCREASE = 1.0
#: Factor by which a rejection lowers the limit, and the least time in ms
#: between two decreases: one full queue rejects many statements at once.
_DECREASE_FACTOR = 0.6
_MIN_DECREASE_INTERVAL = 60
#: Increase of the limit per round of answers while the limit is reached.
_INCREASE_PER_ROUND = 0.5


class ConcurrencyLimitError(MonsoonError):
    """The concurrency limit did not admit a statement in time."""


class AdaptiveLimit:
    """Limit with additive increase and multiplicative decrease (AIMD).

    It starts low and doubles with each round of answers until the first
    rejection.
    """

    def __init__(self) -> None:
        self.current = _INITIAL_LIMIT
        self._has_rejections = False
        self._decreased_at = -_MIN_DECREASE_INTERVAL

    def record_served(self, running: int) -> None:
        """Record that the backend server ran a statement.

        :param running: Statements in progress, including this one.
        """
        if not self._has_rejections and 2 * running >= int(self.current):
            self.current = min(_MAX_LIMIT, self.current + _SLOW_START_INCREASE)
        elif running >= int(self.current):
            self.current = min(
                _MAX_LIMIT, self.current + _INCREASE_PER_ROUND / self.current
            )

    def record_rejected(self, now: Millis) -> None:
        """Record that the backend server rejected a statement as busy.

        :param now: The time.
        """
        self._has_rejections = True
        if now - self._decreased_at >= _MIN_DECREASE_INTERVAL:
            self._decreased_at = now
            self.current = max(1, self.current * _DECREASE_FACTOR)


class ConcurrencyLimiter:
    """Limits the statements of one daemon in progress at a backend server."""

    def __init__(self) -> None:
        self.limit = AdaptiveLimit()
        self.running = 0
        self._waiters = WaitQueue()

    @property
    def waiting(self) -> int:
        """Return how many statements wait for admission."""
        return len(self._waiters)

    async def acquire(self, priority: int, limit: float) -> None:
        """Wait until the limit admits another statement.

        :param priority: 0 is the highest.
        :param limit: Longest wait in ms.
        :raises ConcurrencyLimitError: If that takes longer, or the wait is
            interrupted.
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
            raise ConcurrencyLimitError(
                f'concurrency limit: not admitted within {limit:.0f} ms'
            )
        future.result()

    def record_answer(self, answer: Answer, now: Millis) -> None:
        """Adapt the limit to an answer.

        :param answer: The answer; the code ``BUSY`` counts as a rejection.
        :param now: The time.
        """
        if answer.code is Code.BUSY:
            self.limit.record_rejected(now)
        elif answer.signed:
            self.limit.record_served(self.running)

    def force_acquire(self) -> None:
        """Count a statement of an open transaction, without a wait."""
        self.running += 1

    def release(self) -> None:
        """End a statement, and admit the next if the limit allows it."""
        self.running -= 1
        self._admit()

    def interrupt(self) -> None:
        """Fail the waits of all statements."""
        self._waiters.fail_all(
            ConcurrencyLimitError('wait for admission was interrupted')
        )

    def _admit(self) -> None:
        while (
            self.running < int(self.limit.current) and self._waiters.wake_next()
        ):
            self.running += 1

    def _withdraw(self, waiter: Waiter) -> None:
        if not waiter.future.done():
            self._waiters.withdraw(waiter)
        elif waiter.future.exception() is None:
            # The statement was admitted at the moment of the cancellation.
            self.release()
