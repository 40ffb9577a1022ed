"""State of callers' sessions and of the statements that are being run."""

import asyncio
import math
from typing import Any, Protocol

import attrs

from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.models import Position
from monsoonproxy.queries import Code, Prepared
from monsoonproxy.routes import Freshness, Route

#: Error codes with which a backend server reports that it did not run the
#: statement, so that it can be sent again.
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


#: Time in ms for which a change of session values waits for the answers of late
#: attempts before it cancels them. Statements queue for up to 0.2 s at a busy
#: backend server.
_ANSWER_WAIT = Millis(300)


#: Greatest number of session values, or of prepared statements, and of their
#: bytes together.
_MAX_NAMES = 64
_MAX_STATE_BYTES = 64 * 1024


class _Connection(Protocol):
    def withdraw(self) -> None:
        """Cancel the exchange that is in progress on the connection."""


@attrs.define(eq=False)
class Attempt:
    """One attempt to run a statement on a backend server.

    It may still be running when the caller has its answer, for instance from
    another attempt or after a time-out.

    :param wire: The connection that the attempt uses, once it has leased one.
    :param task: The task that runs the attempt.
    """

    wire: _Connection | None = None
    task: 'asyncio.Task[Any] | None' = None

    def withdraw(self) -> None:
        """Cancel the attempt.

        With a connection, its exchange is cancelled; without one, nothing was
        sent yet, and the task is cancelled.
        """
        if self.wire is not None:
            self.wire.withdraw()
        elif self.task is not None:
            self.task.cancel()


@attrs.define
class Session:
    """State of a caller's session that is kept between statements.

    :param number: Number of the session in this daemon, for logs.
    :param identity: Keyed digest of the caller's key; empty without one.
    :param organisation: The organisation that the current statement or
        transaction belongs to; empty for none.
    :param values: Session values that the caller has set.
    :param prepared: Prepared statements by the names that the caller chose.
    :param floor: Log position of the latest commit of the session, which its
        reads must reflect on routes with session consistency.
    :param late_attempts: Attempts still running after their statement was
        answered.
    :param runs_until: Time until which an attempt whose end was not confirmed
        may still run: a lending daemon that was suspended may forward it, or a
        backend server may have it in its queue.
    """

    number: int
    identity: bytes = attrs.field(default=b'', repr=False)
    organisation: str = ''
    values: dict[bytes, bytes] = attrs.Factory(dict)
    prepared: dict[bytes, Prepared] = attrs.Factory(dict)
    floor: Position | None = None
    late_attempts: set[Attempt] = attrs.Factory(set)
    runs_until: Millis = Millis(0)

    def set_value(self, name: bytes, setting: bytes) -> bool:
        """Set a session value, unless there are too many.

        :param name: Its name.
        :param setting: The value.
        :returns: Whether it was set.
        """
        others = {key: held for key, held in self.values.items() if key != name}
        size = sum([len(key) + len(held) for key, held in others.items()])
        if not _fits(len(others), size + len(name) + len(setting)):
            return False
        self.values[name] = setting
        return True

    def prepare(self, name: bytes, prepared: Prepared) -> bool:
        """Remember a prepared statement, unless there are too many.

        :param name: Name that the caller chose.
        :param prepared: The statement.
        :returns: Whether it is remembered.
        """
        others = {
            key: held for key, held in self.prepared.items() if key != name
        }
        size = sum([len(key) + len(held.shape) for key, held in others.items()])
        if not _fits(len(others), size + len(name) + len(prepared.shape)):
            return False
        self.prepared[name] = prepared
        return True

    def add_late_attempt(self, attempt: Attempt) -> None:
        """Track an attempt that still runs after its statement was answered.

        :param attempt: The attempt; it is dropped when its task ends.
        """
        if attempt.task is not None and not attempt.task.done():
            self.late_attempts.add(attempt)
            attempt.task.add_done_callback(
                lambda _done: self.late_attempts.discard(attempt)
            )

    def extend_runs_until(self, time: int) -> None:
        """Note that an attempt ended without confirmation.

        :param time: Time in ms until which the attempt may still run.
        """
        self.runs_until = max(self.runs_until, Millis(time))

    async def end_late_attempts(self, clock: Clock) -> None:
        """End late attempts and wait until none of them can run any more.

        Those that are not answered soon are cancelled.

        :param clock: Source of time.
        """
        await self._wait_for_late_attempts(_ANSWER_WAIT)
        for attempt in tuple(self.late_attempts):
            attempt.withdraw()
        await self._wait_for_late_attempts()
        left = self.runs_until - clock.now()
        if left > 0:
            await asyncio.sleep(seconds(left))

    async def _wait_for_late_attempts(
        self, limit: Millis | None = None
    ) -> None:
        tasks = [each.task for each in self.late_attempts if each.task]
        if tasks:
            await asyncio.wait(
                tasks, timeout=None if limit is None else seconds(limit)
            )

    def advance_floor(self, position: Position | None) -> None:
        """Raise the floor of the session to the position of a commit.

        :param position: The position, if the answer had one.
        """
        if position is None:
            return
        if self.floor is None or position > self.floor:
            self.floor = position


def _fits(others: int, size: int) -> bool:
    return others < _MAX_NAMES and size <= _MAX_STATE_BYTES


@attrs.define
class PendingStatement:
    """A caller's statement that is being run.

    :param request_id: The caller's id of the statement.
    :param text: Statement text to send to a backend server.
    :param is_read: Whether the statement only reads.
    :param route: The route in force when the statement arrived.
    :param session: The caller's session.
    :param arrived: Time of arrival.
    :param organisation: The organisation that the statement belongs to; empty
        for none.
    :param prepared: The prepared statement that is executed, if any.
    :param tried: Outcome of the latest attempt by id of the backend server.
    :param refusals: How often the statement had to back off, since no backend
        server could run it.
    :param floor: Log position that the answer to a read had to reflect.
    :param sent: Whether a backend server may have run the statement.
    :param abandoned: Whether the caller was answered, so that attempts which
        have not sent the statement yet must not send it.
    """

    request_id: bytes
    text: bytes
    is_read: bool
    route: Route
    session: Session
    arrived: Millis
    organisation: str = ''
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
        """Return the time by which the caller must be answered."""
        return Millis(self.arrived + self.route.timeout)

    def objective_left(self, now: Millis) -> float:
        """Return the time in ms in which it should be answered.

        :param now: The time.
        :returns: The time; negative if it is late, infinite if the route has no
            objective.
        """
        if not self.route.objective:
            return math.inf
        return self.arrived + self.route.objective - now

    @property
    def needs_leader(self) -> bool:
        """Tell whether, outside a transaction, only the leader may run it."""
        return not self.is_read or self.route.freshness is Freshness.PRIMARY
