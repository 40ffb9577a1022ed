"""Pools of direct connections of this daemon to backend servers."""

import asyncio
import collections
import itertools
from collections.abc import Callable

from monsoonproxy import pool_sizing
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.connection_pools import (
    LeaseRequest,
    PoolExhaustedError,
    ServerRemovedError,
)
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.limiters import ConcurrencyLimiter
from monsoonproxy.logs import log_for
from monsoonproxy.queries import Code
from monsoonproxy.server_connections import DirectConnection, open_connection
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry
from monsoonproxy.wait_queues import Waiter, WaitQueue

_log = log_for('lane')

#: Time in ms between two resizes of a pool, which retry failed opens and close
#: connections that have been idle for too long.
_RESIZE_INTERVAL = Millis(100)
#: Time in ms that a task waits for a connection before another one is opened.
#: Opening occupies a slot of the database for 12 to 27 ms, as long as a
#: statement does, and most leased connections are returned sooner than that.
_OPEN_AFTER = Millis(30)
#: Assumed time in ms for which a transaction holds a connection before any has
#: ended, and the weight of a new time in the moving average.
_INITIAL_HOLD = 100.0
_HOLD_SMOOTHING = 0.2
#: Time in ms after a failed open during which a pool without connections
#: counts as starved, so that connections are borrowed from peers instead.
#: Opens are retried at least every 200 ms.
_STARVED_PERIOD = Millis(700)


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
        self.limiter = ConcurrencyLimiter(clock)
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
        #: Waiting tasks by organisation; ``None`` for those of the daemon.
        self._waiters: dict[str | None, WaitQueue] = {}
        #: Connections that transactions hold, also while they pause, and since
        #: when; and the usual time in ms.
        self._held: dict[int, Millis] = {}
        self._usual_hold = _INITIAL_HOLD
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
        began = self._clock.now()
        urgency = request.urgency(began)
        if not request.single:
            self.limiter.check(urgency)
            lease = await self._acquire(request)
            self._held[lease[0]] = self._clock.now()
            self._update_limiter()
            return lease
        await self.limiter.acquire(urgency)
        try:
            return await self._acquire(request.after(self._clock.now() - began))
        except BaseException:
            self.limiter.release()
            raise

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection."""
        held_since = self._held.pop(number, None)
        if held_since is not None:
            held = self._clock.now() - held_since
            self._usual_hold += (held - self._usual_hold) * _HOLD_SMOOTHING
        self._update_limiter()
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
        if self._sizer.is_keyed and self._waiters:
            self._resize()

    def interrupt(self) -> None:
        """Fail all waiting requests, because the leader has changed."""
        self._fail_waiters(
            PoolExhaustedError(
                f'{self.server.address}: wait ended by a change of leader'
            )
        )
        self.limiter.interrupt()

    def close(self) -> None:
        """Close idle connections; leased ones are closed when released."""
        self.is_closed = True
        self._execute(self._sizer.stop(pool_sizing.CloseReason.LEAVING))
        self._fail_waiters(
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
        self._update_limiter()

    def _update_limiter(self) -> None:
        held = len(self._held)
        self.limiter.connections = self._sizer.cap - held
        self.limiter.connection_wait = Millis(
            int(self._usual_hold / max(1, held))
        )

    async def _acquire(
        self, request: LeaseRequest
    ) -> tuple[int, DirectConnection]:
        limit = request.limit
        while True:
            lease = self._try_lease(request.organisation)
            if lease is not None:
                return lease
            if self.is_closed:
                raise ServerRemovedError(
                    f'{self.server.server_id} was removed or its address '
                    'reassigned'
                )
            limit -= await self._wait_for_idle(request, limit)
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

    def _try_lease(
        self, organisation: str | None
    ) -> tuple[int, DirectConnection] | None:
        while True:
            number = self._sizer.lease(0, self._clock.now(), organisation)
            if number is None:
                return None
            conn = self._connections.get(number)
            if conn is not None and not conn.closed:
                return number, conn
            self._connections.pop(number, None)
            self._sizer.closed(number)

    async def _wait_for_idle(
        self, request: LeaseRequest, limit: float
    ) -> float:
        """Wait for an idle connection; return the time waited in ms."""
        started = self._clock.now()
        organisation = request.organisation
        queue = self._waiters.setdefault(organisation, WaitQueue())
        waiter = queue.add(request.priority, started)
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
            self._stop_waiting(organisation, waiter)
        return self._clock.now() - started

    def _stop_waiting(self, organisation: str | None, waiter: Waiter) -> None:
        queue = self._waiters.get(organisation)
        if queue is not None:
            queue.withdraw(waiter)
            if not queue:
                self._waiters.pop(organisation)

    def _wake_waiters(self) -> None:
        left = self._sizer.idle
        for organisation, idle in self._sizer.idle_by_key().items():
            left -= self._wake(organisation, idle)
        self._wake(None, left)

    def _wake(self, organisation: str | None, limit: int) -> int:
        """Wake waiting tasks of an organisation; return how many."""
        queue = self._waiters.get(organisation)
        woken = 0
        while queue is not None and woken < limit and queue.wake_next():
            woken += 1
        return woken

    def _fail_waiters(self, exc: Exception) -> None:
        for queue in tuple(self._waiters.values()):
            queue.fail_all(exc)

    def _resize(self) -> None:
        now = self._clock.now()
        self._drop_closed()
        self._execute(self._commands(now))
        if not self._is_resize_scheduled and not self.is_closed:
            self._is_resize_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(seconds(_RESIZE_INTERVAL), self._on_resize_timer)

    def _commands(self, now: Millis) -> list[pool_sizing.Command]:
        sizer = self._sizer
        if not sizer.is_keyed:
            overdue = sum(
                self._count_overdue(queue, bool(self._connections), now)
                for queue in self._waiters.values()
            )
            return sizer.tick(overdue, now)
        waiting: collections.Counter[str] = collections.Counter()
        for organisation, queue in self._waiters.items():
            key = organisation or ''
            may_become_idle = (
                bool(self._connections)
                if organisation is None
                else sizer.has_any(key)
            )
            waiting[key] += self._count_overdue(queue, may_become_idle, now)
        return sizer.tick_by_key(+waiting, now)

    def _count_overdue(
        self, queue: WaitQueue, has_connections: bool, now: Millis
    ) -> int:
        """Count the waiting tasks for which connections should be opened.

        These have waited for longer than :data:`_OPEN_AFTER`. If no connection
        may become idle for them, a single one is opened at first.
        """
        if not has_connections:
            return min(1, len(queue))
        return queue.count_waiting_since(Millis(now - _OPEN_AFTER))

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
                    self._tasks.spawn(self._open(command.key))
            else:
                self._close_connections(command)

    def _close_connections(self, command: pool_sizing.Close) -> None:
        for number in command.connections:
            conn = self._connections.pop(number, None)
            if conn is not None:
                conn.close()
            self._sizer.closed(number)
        if command.reason is pool_sizing.CloseReason.REPLACED:
            self._telemetry.count('connections_replaced')

    async def _open(self, organisation: str) -> None:
        try:
            conn, answer = await open_connection(
                self._dialect, self.server, self._clock, organisation
            )
        except ConnectionLostError as exc:
            self._on_open_failed(exc, organisation, too_many=False)
            return
        except Exception as exc:
            # Otherwise, the connection would count as opening for ever.
            _log.exception('Opening a connection failed unexpectedly')
            lost = ConnectionLostError(f'{self.server.address}: {exc!r}')
            self._on_open_failed(lost, organisation, too_many=False)
            return
        now = self._clock.now()
        self.open_answered_at = now
        if answer.code is Code.WRONG_SERVER:
            _log.info(
                'Closing the pool of {}: another server answers at its address',
                self.server.server_id,
            )
            self._sizer.open_failed(too_many=False, now=now, key=organisation)
            self.close()
        elif answer.code is None:
            self._telemetry.count('connections_opened')
            number = next(self._numbers)
            self._connections[number] = conn
            self._execute(self._sizer.opened(number, now, organisation))
            self._wake_waiters()
        else:
            too_many = answer.code is Code.TOO_MANY_CONNECTIONS
            text = f'{self.server.address}: {answer.code.value}'
            self._on_open_failed(
                ConnectionLostError(text), organisation, too_many=too_many
            )

    def _on_open_failed(
        self, exc: ConnectionLostError, organisation: str, *, too_many: bool
    ) -> None:
        now = self._clock.now()
        self._sizer.open_failed(too_many=too_many, now=now, key=organisation)
        if too_many:
            self._telemetry.count('connections_over_limit')
            self.limit_reached_at = now
            return
        self._telemetry.count('connections_failed')
        self.refused_at = now
        self.on_failure()
        if not self._connections:
            self._fail_waiters(exc)


def _ignore() -> None:
    """Default for :attr:`ConnectionPool.on_failure`."""
