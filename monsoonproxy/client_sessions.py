"""Callers' sessions, and their statements on the way to a backend server."""

import asyncio
from typing import Any, Protocol

import attrs

from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.models import Position
from monsoonproxy.queries import Code, Prepared
from monsoonproxy.routes import Freshness, Route

#: Codes of a backend server which mean that a statement did not run there.
NOT_RUN_CODES = frozenset(
    (
        Code.BUSY,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.WRONG_SERVER,
        Code.TOO_MANY_CONNECTIONS,
        Code.UNKNOWN_STATEMENT,
    )
)


class _Connection(Protocol):
    def withdraw(self) -> None:
        """Take back what was sent."""


@attrs.define(eq=False)
class Attempt:
    """A try to run a statement, which may outlive the statement's answer.

    :param wire: The connection that it uses, once it has one.
    :param task: What runs it.
    """

    wire: _Connection | None = None
    task: 'asyncio.Task[Any] | None' = None

    def withdraw(self) -> None:
        """Make it end without running, or without being waited for."""
        if self.wire is not None:
            self.wire.withdraw()
        elif self.task is not None:
            self.task.cancel()


@attrs.define
class Session:
    """A caller's session.

    :param number: Its number, for logs.
    :param values: Values that the caller has set.
    :param prepared: The caller's prepared statements, by its own names.
    :param floor: Position of the latest commit of the session.
    :param late_attempts: Attempts still running after their statement was
        answered.
    :param runs_until: Until when a daemon that stood still may pass on an
        attempt whose end nobody has confirmed.
    """

    number: int
    values: dict[bytes, bytes] = attrs.Factory(dict)
    prepared: dict[bytes, Prepared] = attrs.Factory(dict)
    floor: Position | None = None
    late_attempts: set[Attempt] = attrs.Factory(set)
    runs_until: Millis = Millis(0)

    def add_late_attempt(self, attempt: Attempt) -> None:
        """Take in that an attempt goes on after its statement's answer.

        :param attempt: The attempt.
        """
        if attempt.task is not None and not attempt.task.done():
            self.late_attempts.add(attempt)
            attempt.task.add_done_callback(
                lambda _done: self.late_attempts.discard(attempt)
            )

    def extend_runs_until(self, time: int) -> None:
        """Take in that an attempt ended without confirmation.

        :param time: Until when it may still run.
        """
        self.runs_until = max(self.runs_until, Millis(time))

    async def end_late_attempts(self, clock: Clock) -> None:
        """Wait until no attempt of an answered statement can run any more.

        :param clock: Source of time.
        """
        tasks = []
        for attempt in tuple(self.late_attempts):
            attempt.withdraw()
            tasks.append(attempt.task)
        if tasks:
            await asyncio.wait(filter(None, tasks))
        left = self.runs_until - clock.now()
        if left > 0:
            await asyncio.sleep(seconds(left))

    def advance_floor(self, position: Position | None) -> None:
        """Take in the position of a commit.

        :param position: The position, if the answer had one.
        """
        if position is None:
            return
        if self.floor is None or position > self.floor:
            self.floor = position


@attrs.define
class PendingStatement:
    """One statement of a caller on its way.

    :param request_id: The caller's id.
    :param text: Text to send.
    :param is_read: Whether it reads.
    :param route: The route in force when it arrived.
    :param session: The caller's session.
    :param arrived: When it arrived.
    :param prepared: The prepared statement that it runs, if any.
    :param tried: Backend servers that it was offered to, and how that ended.
    :param refusals: How often nothing could be done.
    :param floor: Position that its answer had to reflect, if it is a read.
    :param sent: Whether it may have run.
    :param abandoned: Whether the caller has its answer already.
    """

    request_id: bytes
    text: bytes
    is_read: bool
    route: Route
    session: Session
    arrived: Millis
    prepared: Prepared | None = None
    tried: dict[str, str] = attrs.Factory(dict)
    refusals: int = 0
    floor: Position | None = None
    sent: bool = False
    abandoned: bool = False

    @property
    def priority(self) -> int:
        """Return the priority of the route; 0 is the highest."""
        return self.route.priority

    @property
    def deadline(self) -> Millis:
        """Return when the statement's time is over."""
        return Millis(self.arrived + self.route.timeout)

    @property
    def needs_leader(self) -> bool:
        """Tell whether only the leader may run it outside a transaction."""
        return not self.is_read or self.route.freshness is Freshness.PRIMARY
