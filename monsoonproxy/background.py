"""Background tasks that no caller waits for."""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


class Background:
    """Holds references to tasks while they run.

    The event loop has only weak references, so that a task without another
    one may be garbage-collected before it ends.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        """Iterate over a copy of the set of running tasks."""
        return iter(tuple(self._tasks))

    def spawn(
        self, work: Coroutine[Any, Any, _Outcome]
    ) -> 'asyncio.Task[_Outcome]':
        """Run a coroutine in a task of its own.

        :param work: The coroutine.
        :returns: The task, which is held until it ends.
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
