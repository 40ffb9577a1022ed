"""Timers that detect overdue answers of backend servers."""

import asyncio
from collections.abc import Callable

from monsoonproxy.clock import Millis, seconds

#: Time in ms without an answer after which a leader is checked. It can be
#: short, since a check is cheap and needs no slot.
OVERDUE_INTERVAL = Millis(120)


class OverdueTimer:
    """Calls back at each :data:`OVERDUE_INTERVAL` until it is cancelled.

    :param callback: Called without arguments.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._timer = self._schedule()

    def cancel(self) -> None:
        """Stop the timer; the callback is not called any more."""
        self._timer.cancel()

    def _schedule(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds(OVERDUE_INTERVAL), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = self._schedule()
        self._callback()
