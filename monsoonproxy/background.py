"""Tasks that nobody waits for."""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


class Background:
    """Holds tasks while they run; the event loop itself would lose them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        """Iterate over the tasks that run now."""
        return iter(tuple(self._tasks))

    def spawn(
        self, work: Coroutine[Any, Any, _Outcome]
    ) -> 'asyncio.Task[_Outcome]':
        """Run work in a task of its own.

        :param work: The coroutine.
        :returns: Its task.
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
