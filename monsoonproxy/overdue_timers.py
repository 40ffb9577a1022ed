"""Timers that notice a missing answer."""

import asyncio
from collections.abc import Callable

from monsoonproxy.clock import Millis, seconds

#: Time in ms without an answer after which a leader is checked. Checks are
#: cheap, since they need no slot.
OVERDUE_INTERVAL = Millis(120)


class OverdueTimer:
    """Calls something each :data:`OVERDUE_INTERVAL` until it is cancelled.

    :param callback: What to call.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._timer = self._schedule()

    def cancel(self) -> None:
        """Stop."""
        self._timer.cancel()

    def _schedule(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds(OVERDUE_INTERVAL), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = self._schedule()
        self._callback()
