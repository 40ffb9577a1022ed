"""Signals that wake every waiting task."""

import asyncio


class Signal:
    """Wakes all tasks that wait at the moment of :meth:`notify`."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake everyone who waits."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, limit: float | None = None) -> None:
        """Wait for the next call of :meth:`notify`.

        :param limit: Greatest time to wait, in seconds.
        """
        try:
            await asyncio.wait_for(self._event.wait(), limit)
        except asyncio.TimeoutError:
            return
