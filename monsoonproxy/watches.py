"""Timers that notice a missing answer."""

import asyncio
from collections.abc import Callable

from monsoonproxy.clock import Millis, seconds

#: Time in ms without an answer after which a leader is checked. Checks are
#: cheap, since they need no slot.
SILENCE = Millis(120)


class Watch:
    """Calls something each :data:`SILENCE` until it is cancelled.

    :param call: What to call.
    """

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._timer = self._arm()

    def cancel(self) -> None:
        """Stop."""
        self._timer.cancel()

    def _arm(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds(SILENCE), self._fire)

    def _fire(self) -> None:
        self._timer = self._arm()
        self._call()
