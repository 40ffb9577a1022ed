"""Limits on the statements that a daemon runs concurrently at a backend server.

The daemons share the few slots of a backend server without coordination. Each
adapts its own limit to the answers: a backend server that rejects statements
because its queue is full gets fewer at a time. Further statements wait in the
daemon, as long as they can be served in time.
"""

import asyncio
import math

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.overload.statement_queues import (
    QueuedStatement,
    Rate,
    StatementQueue,
    Urgency,
)
from monsoonproxy.queries import Answer, Code

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
#: Multiple of the usual time of a statement from which statements queue at the
#: backend server, and factor by which the limit is lowered then. Some servers
#: queue so many that they hardly ever reject one.
_CONGESTED_FACTOR = 2.5
_CONGESTED_DECREASE = 0.85
#: Weight of an answer in the moving average of recent times, and in that of the
#: usual time while it is shorter than the recent ones.
_RECENT_SMOOTHING = 0.1
_USUAL_SMOOTHING = 0.002
#: Answers after which the usual time is known.
_MIN_ANSWERS = 20
#: Assumed time in ms of a statement before any answer.
_INITIAL_SERVICE = 10.0
#: Time in ms between two checks of the waiting statements.
_REVIEW_INTERVAL = 50
_S = 1_000


class ConcurrencyLimitError(MonsoonError):
    """The concurrency limit did not admit a statement in time."""


class OverloadError(ConcurrencyLimitError):
    """A statement can't be served in time, so that it is refused at once.

    :param retry_after: Time in ms after which there may be room.
    """

    def __init__(self, retry_after: Millis) -> None:
        super().__init__(
            f'too much work ahead; there may be room in {retry_after} ms'
        )
        self.retry_after = retry_after


class AdaptiveLimit:
    """Limit with additive increase and multiplicative decrease (AIMD).

    It starts low and doubles with each round of answers until the first
    rejection.
    """

    def __init__(self) -> None:
        self.current = _INITIAL_LIMIT
        #: Moving average of the time in ms that a statement takes.
        self.service = _INITIAL_SERVICE
        #: The same without queueing at the backend server.
        self.usual = _INITIAL_SERVICE
        self._answers = 0
        self._has_rejections = False
        self._decreased_at = -_MIN_DECREASE_INTERVAL

    def record_served(
        self, running: int, took: float = 0, now: Millis = Millis(0)
    ) -> None:
        """Record that the backend server ran a statement.

        :param running: Statements in progress, including this one.
        :param took: Time in ms that it took.
        :param now: The time.
        """
        if self._is_congested(took):
            self._has_rejections = True
            self._decrease(_CONGESTED_DECREASE, now)
        elif not self._has_rejections and 2 * running >= int(self.current):
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
        self._decrease(_DECREASE_FACTOR, now)

    def _decrease(self, factor: float, now: Millis) -> None:
        if now - self._decreased_at >= _MIN_DECREASE_INTERVAL:
            self._decreased_at = now
            self.current = max(1, self.current * factor)

    def _is_congested(self, took: float) -> bool:
        """Add the time of a statement; tell whether statements queue."""
        self._answers += 1
        self.service += (took - self.service) * _RECENT_SMOOTHING
        if self._answers <= _MIN_ANSWERS or self.service < self.usual:
            self.usual = self.service
        else:
            self.usual += (self.service - self.usual) * _USUAL_SMOOTHING
        return self.service > _CONGESTED_FACTOR * self.usual


class ConcurrencyLimiter:
    """Limits the statements of one daemon in progress at a backend server.

    :param clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.limit = AdaptiveLimit()
        self.running = 0
        #: Connections that no transaction holds, and the expected time in ms
        #: until one is free if there is none.
        self.connections = math.inf
        self.connection_wait = Millis(0)
        self._clock = clock
        self._queue = StatementQueue()
        self._review: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Return how many statements wait for admission."""
        return len(self._queue)

    @property
    def rate(self) -> Rate:
        """Return how fast the backend server takes statements."""
        concurrency = min(self.limit.current, max(1, self.connections))
        return Rate(self.limit.service, concurrency)

    @property
    def _has_room(self) -> bool:
        limit = min(int(self.limit.current), self.connections)
        return self.running < max(1, limit)

    def check(self, urgency: Urgency) -> None:
        """Raise if a statement can't be in time.

        :param urgency: What decides its place in the queue.
        :raises OverloadError: If it would wait too long.
        """
        has_room = self._has_room and not self._queue and self.connections > 0
        if has_room and urgency.statements <= 1:
            return
        now = self._clock.now()
        wait = 0 if has_room else self._queue.expected_wait(urgency, self.rate)
        if self.connections <= 0:
            wait += self.connection_wait
        limit = urgency.objective_at
        service = self.limit.service * urgency.statements
        if now + self.limit.usual * urgency.statements > limit:
            # It would be late without any load, so it may be late.
            limit = urgency.deadline_at
        if now + wait + service > limit:
            raise OverloadError(Millis(int(max(service, wait)) + 1))

    async def acquire(self, urgency: Urgency) -> None:
        """Wait until the limit admits another statement.

        :param urgency: What decides its place in the queue.
        :raises OverloadError: If it can't be served in time.
        :raises ConcurrencyLimitError: If its deadline passes, or the wait is
            interrupted.
        """
        if self._has_room and not self._queue:
            self.running += 1
            return
        self.check(urgency)
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        entry = self._queue.add(urgency, self._clock.now(), future)
        self._schedule_review()
        limit = max(1, urgency.deadline_at - self._clock.now())
        try:
            await asyncio.wait(
                (future,), timeout=None if math.isinf(limit) else limit / _S
            )
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise
        if not future.done():
            self._withdraw(entry)
            raise ConcurrencyLimitError(
                f'concurrency limit: not admitted within {limit:.0f} ms'
            )
        future.result()

    def record_answer(self, answer: Answer, took: int, now: Millis) -> None:
        """Adapt the limit to an answer.

        :param answer: The answer; the code ``BUSY`` counts as a rejection.
        :param took: Time in ms from the statement to its answer.
        :param now: The time.
        """
        if answer.code is Code.BUSY:
            self.limit.record_rejected(now)
        elif answer.signed:
            self.limit.record_served(self.running, took, now)

    def force_acquire(self) -> None:
        """Count a statement of an open transaction, without a wait."""
        self.running += 1

    def release(self) -> None:
        """End a statement, and admit the next if the limit allows it."""
        self.running -= 1
        self._admit()

    def interrupt(self) -> None:
        """Fail the waits of all statements."""
        for entry in self._queue.clear():
            _fail(
                entry,
                ConcurrencyLimitError('wait for admission was interrupted'),
            )

    def _admit(self) -> None:
        now = self._clock.now()
        while self._has_room:
            entry = self._queue.pop(now, self.rate)
            if entry is None:
                return
            if not entry.tag.done():
                entry.tag.set_result(None)
                self.running += 1

    def _schedule_review(self) -> None:
        if self._review is None:
            loop = asyncio.get_running_loop()
            self._review = loop.call_later(
                _REVIEW_INTERVAL / _S, self._on_review
            )

    def _on_review(self) -> None:
        """Refuse the waiting statements that can't be served any more."""
        self._review = None
        for entry in self._queue.drop_hopeless(self._clock.now(), self.rate):
            _fail(entry, OverloadError(Millis(int(self.limit.service) + 1)))
        if self._queue:
            self._schedule_review()

    def _withdraw(self, entry: QueuedStatement) -> None:
        if not entry.tag.done():
            self._queue.remove(entry)
        elif entry.tag.exception() is None:
            # The statement was admitted at the moment of the cancellation.
            self.release()


def _fail(entry: QueuedStatement, exc: Exception) -> None:
    if not entry.tag.done():
        entry.tag.set_exception(exc)
