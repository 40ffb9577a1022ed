"""Supervisors, which restart the tasks that they own.

A supervisor may own other supervisors, so the tasks of a daemon form a tree.
A child that fails more often than its restart rule allows makes its supervisor
fail, so that the supervisor above decides whether to restart that one.
"""

import asyncio
import contextlib
import enum
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import attrs

from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.logs import log_for

TaskFactory: TypeAlias = Callable[[], Awaitable[None]]

_log = log_for('supervisor')


class SupervisorError(MonsoonError):
    """A child failed more often than its restart rule allows."""


class Restart(enum.Enum):
    """When a child is started again."""

    #: Always, also after it returned.
    PERMANENT = 'permanent'
    #: Only after it raised an error.
    TRANSIENT = 'transient'
    #: Never.
    TEMPORARY = 'temporary'


@attrs.frozen
class RestartRule:
    """When, how often and after which pause a child is restarted.

    :param restart: When the child is started again.
    :param max_restarts: Restarts allowed within ``window``.
    :param window: Time in ms over which restarts are counted.
    :param backoff: Time in ms before a restart.
    """

    restart: Restart = Restart.PERMANENT
    max_restarts: int = 10
    window: Millis = Millis(10_000)
    backoff: Millis = Millis(100)


@attrs.define
class _Child:
    name: str
    factory: TaskFactory
    rule: RestartRule
    task: asyncio.Task[None] | None = None
    restarts: list[Millis] = attrs.field(factory=list)


class Supervisor:
    """Runs child tasks and restarts them by their rules.

    :param name: Name of the supervisor in logs and errors.
    :param clock: Source of time.
    """

    def __init__(self, name: str, clock: Clock | None = None) -> None:
        self.name = name
        self._clock = clock or Clock()
        self._children: dict[str, _Child] = {}
        self._failed: asyncio.Future[None] | None = None

    def start_child(
        self, name: str, factory: TaskFactory, rule: RestartRule | None = None
    ) -> None:
        """Start a child task.

        :param name: Unique name of the child.
        :param factory: Returns a new coroutine for each start.
        :param rule: Restart rule; permanent by default.
        """
        child = _Child(name, factory, rule or RestartRule())
        self._children[name] = child
        child.task = asyncio.create_task(
            self._run_with_restarts(child), name=name
        )

    async def stop_child(self, name: str) -> None:
        """Cancel a child and wait until its task has ended.

        :param name: Name of the child; unknown names are ignored.
        """
        child = self._children.pop(name, None)
        if child is None or child.task is None:
            return
        child.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await child.task

    def children(self) -> tuple[str, ...]:
        """Return the names of the running children.

        :returns: Names in start order.
        """
        return tuple(self._children)

    async def run(self) -> None:
        """Wait until a child fails for good, then stop all children.

        :raises SupervisorError: If a child passed its restart limit.
        """
        self._failed = asyncio.get_running_loop().create_future()
        try:
            await self._failed
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Stop all children, the newest first."""
        for name in reversed(self.children()):
            await self.stop_child(name)

    async def _run_with_restarts(self, child: _Child) -> None:
        while self._should_restart(child, failed=await self._run_once(child)):
            pause = child.rule.backoff
            if self._exceeds_limit(child):
                if self._escalate(child):
                    return
                # The root supervisor can't escalate. It keeps restarting the
                # child: a daemon that goes on without it is in a state that no
                # code expects.
                pause = child.rule.window
            await asyncio.sleep(seconds(pause))
        self._children.pop(child.name, None)

    def _should_restart(self, child: _Child, *, failed: bool) -> bool:
        restart = child.rule.restart
        return restart is Restart.PERMANENT or (
            restart is Restart.TRANSIENT and failed
        )

    async def _run_once(self, child: _Child) -> bool:
        try:
            await child.factory()
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            _log.opt(exception=exc).warning(
                '{}: {} failed: {!r}', self.name, child.name, exc
            )
            return True
        return False

    def _exceeds_limit(self, child: _Child) -> bool:
        now = self._clock.now()
        start = now - child.rule.window
        child.restarts = [at for at in child.restarts if at > start]
        child.restarts.append(now)
        return len(child.restarts) > child.rule.max_restarts

    def _escalate(self, child: _Child) -> bool:
        """Make the supervisor fail; return whether :meth:`run` is awaited."""
        _log.error(
            '{}: {} needed more than {} restarts within {} ms',
            self.name,
            child.name,
            child.rule.max_restarts,
            child.rule.window,
        )
        if self._failed is None:
            return False
        if not self._failed.done():
            self._failed.set_exception(
                SupervisorError(
                    f'{self.name}: {child.name} needed more than '
                    f'{child.rule.max_restarts} restarts within '
                    f'{child.rule.window} ms'
                )
            )
        return True
