"""The connections of a daemon to one backend server."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs

from monsoonproxy import pools
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError, MonsoonError
from monsoonproxy.gates import Gate
from monsoonproxy.logs import log_for
from monsoonproxy.queries import Answer, Code, Prepared
from monsoonproxy.server_connections import DirectConnection, open_connection
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry
from monsoonproxy.waiters import Waiters

_log = log_for('lane')

#: Time in ms between two looks at failed opens and idle connections.
_TICK = Millis(100)
#: Time in ms that a task waits for a connection before another one is opened.
#: Opening takes a database 12 to 27 ms of a slot, as long as a statement; most
#: connections are returned sooner.
_PATIENCE = Millis(30)
#: Time in ms after a failed open in which a lane without connections is not
#: waited for, if others may lend some. Opens are tried each 200 ms.
_STARVED_FOR = Millis(700)


class ServerGoneError(MonsoonError):
    """The address of a backend server belongs to another one now."""


class LaneFullError(MonsoonError):
    """No connection can be had in time."""


class Wire(Protocol):
    """A connection to a backend server, own or of another daemon."""

    values: dict[bytes, bytes]
    prepared: set[bytes]
    setup_count: int
    closed: bool
    sent_at: Millis
    answered_at: Millis

    @property
    def busy(self) -> bool:
        """Tell whether an answer is still to come."""

    def session_setup(
        self, values: dict[bytes, bytes], prepared: Prepared | None
    ) -> bytes:
        """Return the statements that give it a session's state."""

    def exchange(
        self, payload: bytes, count: int, limit: float
    ) -> 'asyncio.Future[list[Answer]]':
        """Send statements and wait for all their answers.

        :param payload: The encoded statements.
        :param count: How many there are.
        :param limit: Time in ms after which they must not be passed on.
        """

    def withdraw(self) -> None:
        """Take back what was sent; the exchange ends once that is done."""

    def abort(self) -> None:
        """Give it up at once; the backend server rolls back."""


@attrs.frozen
class Claim:
    """What a statement or transaction needs a connection for.

    :param limit: Longest wait in ms.
    :param priority: 0 is the highest.
    :param single: Whether it is a single statement, which also needs a place
        at the backend server. Transactions take places as they go.
    """

    limit: float
    priority: int = 0
    single: bool = False


class Lane(Protocol):
    """Connections to one backend server, own or through another daemon."""

    server: Server
    gate: Gate
    gone: bool
    refused_at: Millis
    on_failure: Callable[[], None]

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection can be leased at once."""

    @property
    def is_open(self) -> bool:
        """Tell whether there is any connection."""

    def warm_up(self) -> None:
        """Open the connections that are kept ahead of need."""

    async def acquire(self, claim: Claim) -> tuple[int, Wire]:
        """Lease a connection.

        :param claim: What it is needed for.
        :returns: Its number and the connection.
        :raises LaneFullError: If none becomes free in time.
        :raises ConnectionLostError: If the backend server can't be reached.
        :raises ServerGoneError: If its address belongs to another one.
        """

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection.

        :param number: Its number.
        :param single: Whether it was leased for a single statement.
        :param clean: Whether it is outside a transaction, with no answer to
            come. It is closed otherwise.
        """

    def interrupt(self) -> None:
        """End all waits, since another backend server leads now."""

    def close(self) -> None:
        """Close idle connections; leased ones are closed when released."""

    def abort(self) -> None:
        """Close all connections at once."""


class DirectLane:
    """A pool of own connections, by the decisions of :class:`pools.Pool`.

    :param server: The backend server.
    :param dialect: Its protocol.
    :param rules: Settings of the pool.
    :param clock: Source of time.
    :param telemetry: Counts what happens.
    """

    def __init__(
        self,
        server: Server,
        dialect: Dialect,
        rules: pools.PoolRules,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.server = server
        self.gate = Gate()
        self.gone = False
        #: When a connection was last refused, and when for their number.
        self.refused_at = Millis(0)
        self.over_limit_at = Millis(0)
        #: When the backend server last answered the opening of a connection.
        self.greeted_at = Millis(0)
        #: Is told when no connection can be opened.
        self.on_failure: Callable[[], None] = _ignore
        self._telemetry = telemetry
        self._dialect = dialect
        self._clock = clock
        self._pool = pools.Pool(rules, clock.now())
        self._wires: dict[int, DirectConnection] = {}
        self._numbers = itertools.count(1)
        self._waiters = Waiters()
        self._tasks = Background()
        self._ticking = False

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection can be leased at once."""
        return self._pool.idle > 0

    @property
    def is_open(self) -> bool:
        """Tell whether there is any connection."""
        return bool(self._wires)

    @property
    def is_starved(self) -> bool:
        """Tell whether there is no connection and none could be opened."""
        if self._wires:
            return False
        failed_at = max(self.refused_at, self.over_limit_at)
        return failed_at > 0 and self._clock.now() - failed_at < _STARVED_FOR

    def warm_up(self) -> None:
        """Open the connections that are kept ahead of need."""
        self._tick()

    async def acquire(self, claim: Claim) -> tuple[int, DirectConnection]:
        """Lease a connection.

        :param claim: What it is needed for.
        :returns: Its number and the connection.
        """
        if not claim.single:
            return await self._acquire(claim)
        began = self._clock.now()
        await self.gate.enter(claim.priority, claim.limit)
        try:
            waited = self._clock.now() - began
            return await self._acquire(
                attrs.evolve(claim, limit=claim.limit - waited)
            )
        except BaseException:
            self.gate.leave()
            raise

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection."""
        if single:
            self.gate.leave()
        wire = self._wires.get(number)
        if wire is None:
            return
        if not clean or wire.closed or wire.busy:
            self._forget(number)
            return
        now = self._clock.now()
        self._run(self._pool.release(number, 0, clean=True, now=now))
        self._hand_out()

    def interrupt(self) -> None:
        """End all waits, since another backend server leads now."""
        self._waiters.fail(
            LaneFullError(f'{self.server.address}: not waited for')
        )
        self.gate.interrupt()

    def close(self) -> None:
        """Close idle connections; leased ones are closed when released."""
        self.gone = True
        self._run(self._pool.stop(pools.CloseReason.LEAVING))
        self._waiters.fail(ServerGoneError(self.server.server_id))
        self.gate.interrupt()

    def abort(self) -> None:
        """Close all connections at once."""
        self.close()
        for number in tuple(self._wires):
            self._forget(number)

    def reconfigure(self, rules: pools.PoolRules) -> None:
        """Take new settings into use.

        :param rules: Settings of the pool.
        """
        self._pool.reconfigure(rules)

    async def _acquire(self, claim: Claim) -> tuple[int, DirectConnection]:
        limit = claim.limit
        while True:
            lease = self._lease()
            if lease is not None:
                return lease
            if self.gone:
                raise ServerGoneError(self.server.server_id)
            limit -= await self._wait(claim.priority, limit)
            if limit <= 0:
                raise LaneFullError(f'{self.server.address}: no connection')

    def _forget(self, number: int) -> None:
        wire = self._wires.pop(number, None)
        if wire is not None:
            self._telemetry.count('connections_given_up')
            wire.abort()
        self._pool.closed(number)
        self._tick()

    def _lease(self) -> tuple[int, DirectConnection] | None:
        while True:
            number = self._pool.lease(0, self._clock.now())
            if number is None:
                return None
            wire = self._wires.get(number)
            if wire is not None and not wire.closed:
                return number, wire
            self._wires.pop(number, None)
            self._pool.closed(number)

    async def _wait(self, priority: int, limit: float) -> float:
        """Wait for a connection; return the time in ms that it took."""
        started = self._clock.now()
        waiter = self._waiters.join(priority, started)
        self._tick()
        loop = asyncio.get_running_loop()
        pressing = loop.call_later(seconds(_PATIENCE), self._tick)
        try:
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                await waiter.place
        except TimeoutError:
            raise LaneFullError(
                f'{self.server.address}: no connection'
            ) from None
        finally:
            pressing.cancel()
            self._waiters.withdraw(waiter)
        return self._clock.now() - started

    def _hand_out(self) -> None:
        idle = self._pool.idle
        while idle and self._waiters.wake():
            idle -= 1

    def _tick(self) -> None:
        now = self._clock.now()
        self._drop_closed()
        self._run(self._pool.tick(self._pressing(now), now))
        if not self._ticking and not self.gone:
            self._ticking = True
            loop = asyncio.get_running_loop()
            loop.call_later(seconds(_TICK), self._tick_again)

    def _pressing(self, now: Millis) -> int:
        """Return how many tasks can't wait for connections that exist."""
        if not self._wires:
            return min(1, len(self._waiters))
        return self._waiters.count_since(Millis(now - _PATIENCE))

    def _tick_again(self) -> None:
        self._ticking = False
        if not self.gone:
            self._tick()

    def _drop_closed(self) -> None:
        for number, wire in tuple(self._wires.items()):
            if wire.closed and not self._pool.is_leased(number):
                self._wires.pop(number)
                self._pool.closed(number)

    def _run(self, commands: list[pools.Command]) -> None:
        for command in commands:
            if isinstance(command, pools.Open):
                for _ in range(command.count):
                    self._tasks.spawn(self._open())
            else:
                self._close_wires(command)

    def _close_wires(self, command: pools.Close) -> None:
        for number in command.connections:
            wire = self._wires.pop(number, None)
            if wire is not None:
                wire.close()
            self._pool.closed(number)

    async def _open(self) -> None:
        try:
            wire, answer = await open_connection(
                self._dialect, self.server, self._clock
            )
        except ConnectionLostError as exc:
            self._not_opened(exc, too_many=False)
            return
        now = self._clock.now()
        self.greeted_at = now
        if answer.code is Code.WRONG_SERVER:
            _log.info('{} is not at its address', self.server.server_id)
            self._pool.open_failed(too_many=False, now=now)
            self.close()
        elif answer.code is None:
            self._telemetry.count('connections_opened')
            number = next(self._numbers)
            self._wires[number] = wire
            self._run(self._pool.opened(number, now))
            self._hand_out()
        else:
            too_many = answer.code is Code.TOO_MANY_CONNECTIONS
            text = f'{self.server.address}: {answer.code.value}'
            self._not_opened(ConnectionLostError(text), too_many=too_many)

    def _not_opened(self, exc: ConnectionLostError, *, too_many: bool) -> None:
        now = self._clock.now()
        self._pool.open_failed(too_many=too_many, now=now)
        if too_many:
            self._telemetry.count('connections_over_limit')
            self.over_limit_at = now
            return
        self._telemetry.count('connections_failed')
        self.refused_at = now
        self.on_failure()
        if not self._wires:
            self._waiters.fail(exc)


def _ignore() -> None:
    """Do nothing; stands in until somebody watches the lane."""
