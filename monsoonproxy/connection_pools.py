"""Connection pools of a daemon, one for each backend server."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs

from monsoonproxy import pool_sizing
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError, MonsoonError
from monsoonproxy.limiters import ConcurrencyLimiter
from monsoonproxy.logs import log_for
from monsoonproxy.queries import Answer, Code, Prepared
from monsoonproxy.server_connections import DirectConnection, open_connection
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry
from monsoonproxy.wait_queues import WaitQueue

_log = log_for('lane')

#: Time in ms between two resizes of a pool, which retry failed opens and close
#: connections that have been idle for too long.
_RESIZE_INTERVAL = Millis(100)
#: Time in ms that a task waits for a connection before another one is opened.
#: Opening occupies a slot of the database for 12 to 27 ms, as long as a
#: statement does, and most leased connections are returned sooner than that.
_OPEN_AFTER = Millis(30)
#: Time in ms after a failed open during which a pool without connections
#: counts as starved, so that connections are borrowed from peers instead.
#: Opens are retried at least every 200 ms.
_STARVED_PERIOD = Millis(700)


class ServerRemovedError(MonsoonError):
    """The backend server was removed, or its address was reassigned."""


class PoolExhaustedError(MonsoonError):
    """No connection could be leased in time, or the wait was interrupted."""


class PooledConnection(Protocol):
    """A connection to a backend server, direct or borrowed from a peer."""

    values: dict[bytes, bytes]
    prepared: set[bytes]
    setup_count: int
    closed: bool
    sent_at: Millis
    answered_at: Millis

    @property
    def busy(self) -> bool:
        """Tell whether answers to sent statements are outstanding."""

    def session_setup(
        self, values: dict[bytes, bytes], prepared: Prepared | None
    ) -> bytes:
        """Return the statements that set a session's state on it."""

    def exchange(
        self, payload: bytes, count: int, limit: float
    ) -> 'asyncio.Future[list[Answer]]':
        """Send statements and return a future of all their answers.

        :param payload: The encoded statements.
        :param count: Number of statements in the payload.
        :param limit: Time in ms after which a lender must not forward them to
            the backend server any more.
        """

    def withdraw(self) -> None:
        """Cancel the sent statements; the exchange then ends."""

    def abort(self) -> None:
        """Drop the connection at once; the backend server rolls back."""


@attrs.frozen
class LeaseRequest:
    """Requirements of a statement or transaction on its connection.

    :param limit: Longest wait in ms.
    :param priority: 0 is the highest.
    :param single: Whether it is for a single statement. The lease then also
        waits for the concurrency limit and counts towards it. The statements
        of a transaction count one by one, without a wait.
    """

    limit: float
    priority: int = 0
    single: bool = False


class ConnectionPool(Protocol):
    """Connections to one backend server, direct or borrowed from peers."""

    server: Server
    limiter: ConcurrencyLimiter
    is_closed: bool
    refused_at: Millis
    on_failure: Callable[[], None]

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection can be leased at once."""

    @property
    def is_open(self) -> bool:
        """Tell whether the pool has, or may borrow, any connection."""

    def warm_up(self) -> None:
        """Open the minimum number of idle connections in advance."""

    async def acquire(
        self, request: LeaseRequest
    ) -> tuple[int, PooledConnection]:
        """Lease a connection.

        :param request: Requirements on the connection.
        :returns: Number of the connection in the pool, and the connection.
        :raises PoolExhaustedError: If none becomes free in time.
        :raises ConnectionLostError: If the backend server can't be reached.
        :raises ServerRemovedError: If the backend server was removed, or its
            address was reassigned.
        """

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection.

        :param number: Number of the connection in the pool.
        :param single: Whether it was leased for a single statement.
        :param clean: Whether it is outside a transaction and has no answers
            outstanding. It is closed otherwise.
        """

    def interrupt(self) -> None:
        """Fail all waiting requests, because the leader has changed."""

    def close(self) -> None:
        """Close idle connections; leased ones are closed when released."""

    def abort(self) -> None:
        """Close all connections at once, including leased ones."""


class DirectPool:
    """A pool of direct connections, sized by :class:`pool_sizing.PoolSizer`.

    :param server: The backend server.
    :param dialect: Protocol of the backend server.
    :param rules: Settings of the pool.
    :param clock: Source of time.
    :param telemetry: Counts opened, failed and discarded connections.
    """

    def __init__(
        self,
        server: Server,
        dialect: Dialect,
        rules: pool_sizing.PoolRules,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.server = server
        self.limiter = ConcurrencyLimiter()
        self.is_closed = False
        #: When an open last failed, and when one was last refused because the
        #: backend server had reached its connection limit.
        self.refused_at = Millis(0)
        self.limit_reached_at = Millis(0)
        #: When the backend server last answered an opening handshake, also if
        #: it refused the connection.
        self.open_answered_at = Millis(0)
        #: Called when opening a connection failed for a reason other than the
        #: connection limit.
        self.on_failure: Callable[[], None] = _ignore
        self._telemetry = telemetry
        self._dialect = dialect
        self._clock = clock
        self._sizer = pool_sizing.PoolSizer(rules, clock.now())
        self._connections: dict[int, DirectConnection] = {}
        self._numbers = itertools.count(1)
        self._waiters = WaitQueue()
        self._tasks = Background()
        self._is_resize_scheduled = False

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection can be leased at once."""
        return self._sizer.idle > 0

    @property
    def is_open(self) -> bool:
        """Tell whether the pool has any connection."""
        return bool(self._connections)

    @property
    def is_starved(self) -> bool:
        """Tell whether it has no connection after a recent failed open."""
        if self._connections:
            return False
        failed_at = max(self.refused_at, self.limit_reached_at)
        return failed_at > 0 and self._clock.now() - failed_at < _STARVED_PERIOD

    def warm_up(self) -> None:
        """Open the minimum number of idle connections in advance."""
        self._resize()

    async def acquire(
        self, request: LeaseRequest
    ) -> tuple[int, DirectConnection]:
        """Lease a connection.

        :param request: Requirements on the connection.
        :returns: Number of the connection in the pool, and the connection.
        """
        if not request.single:
            return await self._acquire(request)
        began = self._clock.now()
        await self.limiter.acquire(request.priority, request.limit)
        try:
            waited = self._clock.now() - began
            return await self._acquire(
                attrs.evolve(request, limit=request.limit - waited)
            )
        except BaseException:
            self.limiter.release()
            raise

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection."""
        if single:
            self.limiter.release()
        conn = self._connections.get(number)
        if conn is None:
            return
        if not clean or conn.closed or conn.busy:
            self._discard(number)
            return
        now = self._clock.now()
        self._execute(self._sizer.release(number, 0, clean=True, now=now))
        self._wake_waiters()

    def interrupt(self) -> None:
        """Fail all waiting requests, because the leader has changed."""
        self._waiters.fail_all(
            PoolExhaustedError(
                f'{self.server.address}: wait ended by a change of leader'
            )
        )
        self.limiter.interrupt()

    def close(self) -> None:
        """Close idle connections; leased ones are closed when released."""
        self.is_closed = True
        self._execute(self._sizer.stop(pool_sizing.CloseReason.LEAVING))
        self._waiters.fail_all(
            ServerRemovedError(
                f'{self.server.server_id} was removed or its address reassigned'
            )
        )
        self.limiter.interrupt()

    def abort(self) -> None:
        """Close all connections at once, including leased ones."""
        self.close()
        for number in tuple(self._connections):
            self._discard(number)

    def reconfigure(self, rules: pool_sizing.PoolRules) -> None:
        """Apply new settings; open connections are kept.

        :param rules: Settings of the pool.
        """
        self._sizer.reconfigure(rules)

    async def _acquire(
        self, request: LeaseRequest
    ) -> tuple[int, DirectConnection]:
        limit = request.limit
        while True:
            lease = self._try_lease()
            if lease is not None:
                return lease
            if self.is_closed:
                raise ServerRemovedError(
                    f'{self.server.server_id} was removed or its address '
                    'reassigned'
                )
            limit -= await self._wait_for_idle(request.priority, limit)
            if limit <= 0:
                raise PoolExhaustedError(
                    f'{self.server.address}: no connection became free '
                    f'within {request.limit:.0f} ms'
                )

    def _discard(self, number: int) -> None:
        conn = self._connections.pop(number, None)
        if conn is not None:
            self._telemetry.count('connections_given_up')
            conn.abort()
        self._sizer.closed(number)
        self._resize()

    def _try_lease(self) -> tuple[int, DirectConnection] | None:
        while True:
            number = self._sizer.lease(0, self._clock.now())
            if number is None:
                return None
            conn = self._connections.get(number)
            if conn is not None and not conn.closed:
                return number, conn
            self._connections.pop(number, None)
            self._sizer.closed(number)

    async def _wait_for_idle(self, priority: int, limit: float) -> float:
        """Wait for an idle connection; return the time waited in ms."""
        started = self._clock.now()
        waiter = self._waiters.add(priority, started)
        self._resize()
        loop = asyncio.get_running_loop()
        resize_timer = loop.call_later(seconds(_OPEN_AFTER), self._resize)
        try:
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                await waiter.future
        except TimeoutError:
            raise PoolExhaustedError(
                f'{self.server.address}: no connection became free '
                f'within {limit:.0f} ms'
            ) from None
        finally:
            resize_timer.cancel()
            self._waiters.withdraw(waiter)
        return self._clock.now() - started

    def _wake_waiters(self) -> None:
        idle = self._sizer.idle
        while idle and self._waiters.wake_next():
            idle -= 1

    def _resize(self) -> None:
        now = self._clock.now()
        self._drop_closed()
        self._execute(self._sizer.tick(self._count_overdue(now), now))
        if not self._is_resize_scheduled and not self.is_closed:
            self._is_resize_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(seconds(_RESIZE_INTERVAL), self._on_resize_timer)

    def _count_overdue(self, now: Millis) -> int:
        """Count the waiting tasks for which connections should be opened.

        These have waited for longer than :data:`_OPEN_AFTER`. A pool without
        connections opens a single one at first.
        """
        if not self._connections:
            return min(1, len(self._waiters))
        return self._waiters.count_waiting_since(Millis(now - _OPEN_AFTER))

    def _on_resize_timer(self) -> None:
        self._is_resize_scheduled = False
        if not self.is_closed:
            self._resize()

    def _drop_closed(self) -> None:
        for number, conn in tuple(self._connections.items()):
            if conn.closed and not self._sizer.is_leased(number):
                self._connections.pop(number)
                self._sizer.closed(number)

    def _execute(self, commands: list[pool_sizing.Command]) -> None:
        for command in commands:
            if isinstance(command, pool_sizing.Open):
                for _ in range(command.count):
                    self._tasks.spawn(self._open())
            else:
                self._close_connections(command)

    def _close_connections(self, command: pool_sizing.Close) -> None:
        for number in command.connections:
            conn = self._connections.pop(number, None)
            if conn is not None:
                conn.close()
            self._sizer.closed(number)

    async def _open(self) -> None:
        try:
            conn, answer = await open_connection(
                self._dialect, self.server, self._clock
            )
        except ConnectionLostError as exc:
            self._on_open_failed(exc, too_many=False)
            return
        now = self._clock.now()
        self.open_answered_at = now
        if answer.code is Code.WRONG_SERVER:
            _log.info(
                'Closing the pool of {}: another server answers at its address',
                self.server.server_id,
            )
            self._sizer.open_failed(too_many=False, now=now)
            self.close()
        elif answer.code is None:
            self._telemetry.count('connections_opened')
            number = next(self._numbers)
            self._connections[number] = conn
            self._execute(self._sizer.opened(number, now))
            self._wake_waiters()
        else:
            too_many = answer.code is Code.TOO_MANY_CONNECTIONS
            text = f'{self.server.address}: {answer.code.value}'
            self._on_open_failed(ConnectionLostError(text), too_many=too_many)

    def _on_open_failed(
        self, exc: ConnectionLostError, *, too_many: bool
    ) -> None:
        now = self._clock.now()
        self._sizer.open_failed(too_many=too_many, now=now)
        if too_many:
            self._telemetry.count('connections_over_limit')
            self.limit_reached_at = now
            return
        self._telemetry.count('connections_failed')
        self.refused_at = now
        self.on_failure()
        if not self._connections:
            self._waiters.fail_all(exc)


def _ignore() -> None:
    """Default for :attr:`ConnectionPool.on_failure`."""
