"""Queues that pass items on after a settable delay."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from emulator.switches import Gate

_Item = TypeVar('_Item')


class DelayLine(Generic[_Item]):
    """Passes items on in order, each after a delay that may change.

    :param gate: Nothing is passed on while the process is frozen.
    :param delay: Returns the current delay in ms.
    :param deliver: Takes an item.
    """

    def __init__(
        self,
        gate: Gate,
        delay: Callable[[], float],
        deliver: Callable[[_Item], None],
    ) -> None:
        self._gate = gate
        self._delay = delay
        self._deliver = deliver
        self._waiting: deque[tuple[float, _Item]] = deque()
        self._task: asyncio.Task[None] | None = None

    def put(self, entry: _Item) -> None:
        """Take an item.

        :param entry: The item.
        """
        if not self._waiting and self._delay() <= 0:
            self._deliver(entry)
            return
        self._waiting.append((time.monotonic(), entry))
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    def clear(self) -> None:
        """Drop all items that wait."""
        self._waiting.clear()

    async def close(self) -> None:
        """Drop all items and end the task."""
        self.clear()
        task = self._task
        self._task = None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        while self._waiting:
            await self._gate.running()
            arrived = self._waiting[0][0] if self._waiting else 0
            left = arrived + self._delay() / 1000 - time.monotonic()
            if left > 0:
                await self._gate.changed.wait(left)
            elif self._waiting:
                self._deliver(self._waiting.popleft()[1])
        self._task = None
