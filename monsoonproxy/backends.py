"""Connection pool and status polls of a holder for one backend server."""

import asyncio
import collections
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias

import attrs

from monsoonproxy import pool_sizing
from monsoonproxy.adapters import BackendConnection, DatabaseAdapter
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    TooManyConnectionsError,
)
from monsoonproxy.logs import log_for
from monsoonproxy.models import BackendReport, Role
from monsoonproxy.polling import Poll

_log = log_for('backend')

#: Called with the name of the backend server, its report and the time at which
#: the poll was sent.
ReportHandler: TypeAlias = Callable[[str, BackendReport, Millis], None]
#: Returns how to poll a backend server next, given its name and the time.
PollSchedule: TypeAlias = Callable[[str, Millis], Poll]
#: Called with the name of the backend server and whether its host refused the
#: connection.
UnreachableHandler: TypeAlias = Callable[[str, bool], None]

#: How to poll the primary and the replicas of an idle service: the primary at
#: intervals, the replicas with a ``WAIT GROUP CHANGE`` that blocks.
_IDLE_PRIMARY = Poll(pause=Millis(100), timeout=Millis(0))
_IDLE_REPLICA = Poll(pause=Millis(0), timeout=Millis(150))
#: Time in ms without a statement after which a service counts as idle.
_IDLE_AFTER_MS = 1_000
#: Pause in ms between two probes. Statements that start to wait during it share
#: the next probe.
_PROBE_PAUSE_MS = 2
#: Time in ms within which a poll or probe must be answered. It has to exceed
#: the timeout of ``WAIT GROUP CHANGE``.
_POLL_TIMEOUT_MS = 400
#: Least pause in ms between two polls, which bounds their rate under load.
_POLL_PAUSE_MS = 2
#: Pause in ms before a lost connection for polls or probes is opened again.
_RECONNECT_PAUSE_MS = 50
#: Time in ms within which a backend server must answer a failover step.
STEP_TIMEOUT = Millis(500)
#: Default time limit in ms for opening a connection.
_CONNECT_TIMEOUT = Millis(500)
#: Time in ms between two checks of the pool size while no statement waits for
#: a connection.
_POOL_INTERVAL_MS = 250
#: The same while statements wait.
_WAITING_POOL_INTERVAL_MS = 5


@attrs.frozen
class Credentials:
    """User name and password of a holder on its backend servers."""

    user: str
    password: str = attrs.field(repr=False)


@attrs.define
class Lease:
    """A connection reserved for one statement or transaction.

    :param number: Number of the connection in the pool.
    :param owner: Number of the statement or transaction that holds the lease.
    :param conn: The leased connection.
    :param clean: Whether the connection has no open transaction or other
        session state, so that the pool may lease it again. It is closed
        otherwise.
    """

    number: int
    owner: int
    conn: BackendConnection
    clean: bool = False


class Backend:
    """Polls a backend server and leases connections to it from a pool.

    :param name: Name of the backend server in its group.
    :param address: ``ip:port``.
    :param adapter: Opens connections to databases of this kind.
    :param credentials: User and password for these connections.
    :param rules: Settings of the connection pool.
    :param clock: Source of time.
    """

    def __init__(
        self,
        name: str,
        address: str,
        adapter: DatabaseAdapter,
        *,
        credentials: Credentials,
        rules: pool_sizing.PoolRules,
        clock: Clock,
    ) -> None:
        self.name = name
        self.address = address
        self._adapter = adapter
        self._credentials = credentials
        self._clock = clock
        self._sizer = pool_sizing.PoolSizer(rules, clock.now())
        self._connections: dict[int, BackendConnection] = {}
        self._connection_numbers = itertools.count(1)
        self._waiters: collections.deque[asyncio.Future[None]]
        self._waiters = collections.deque()
        self._pool_changed = asyncio.Event()
        self._tasks = Background()
        self._probe_requested = asyncio.Event()
        self._probe_sent_at = Millis(0)
        self._last_used_at = clock.now()
        #: Chooses the polls while the service is in use.
        self.schedule: PollSchedule = _always_idle

    async def connect(
        self, timeout: Millis = _CONNECT_TIMEOUT
    ) -> BackendConnection:
        """Open a connection outside the pool.

        :param timeout: Time limit in ms.
        :returns: The connection.
        :raises ConnectionLostError: If it can't be opened in time.
        """
        return await self._adapter.connect(
            self.address,
            user=self._credentials.user,
            password=self._credentials.password,
            timeout=timeout,
        )

    async def poll(
        self, on_report: ReportHandler, on_unreachable: UnreachableHandler
    ) -> None:
        """Poll the backend server for its positions, until cancelled.

        Connects again after each failure.

        :param on_report: Called with each report.
        :param on_unreachable: Called after each failed connection or poll.
        """
        while True:
            try:
                await self._poll_until_lost(on_report)
            except (ConnectionLostError, BackendError) as exc:
                on_unreachable(self.name, getattr(exc, 'refused', False))
            await asyncio.sleep(seconds(_RECONNECT_PAUSE_MS))

    def mark_in_use(self) -> None:
        """Record a use of the service, which makes polls more frequent."""
        self._last_used_at = self._clock.now()

    def request_probe(self, since: Millis) -> None:
        """Ask :meth:`probe` for a status that is newer than a point in time.

        Does nothing if a probe has been sent since then.

        :param since: The point in time.
        """
        if self._probe_sent_at <= since:
            self._probe_requested.set()

    async def probe(
        self, on_report: ReportHandler, on_unreachable: UnreachableHandler
    ) -> None:
        """Serve calls of :meth:`request_probe`, until cancelled.

        Probes use a connection of their own, since the one for polls may be
        blocked by ``WAIT GROUP CHANGE``.

        :param on_report: Called with each report.
        :param on_unreachable: Called after each failed connection or probe.
        """
        while True:
            await self._probe_requested.wait()
            try:
                await self._probe_until_lost(on_report)
            except (ConnectionLostError, BackendError) as exc:
                self._probe_sent_at = Millis(0)
                on_unreachable(self.name, getattr(exc, 'refused', False))
                await asyncio.sleep(seconds(_RECONNECT_PAUSE_MS))

    async def maintain_pool(self) -> None:
        """Adapt the number of pooled connections to demand, until cancelled."""
        while True:
            self._execute(
                self._sizer.tick(len(self._waiters), self._clock.now())
            )
            # A waiter that is cancelled after its wake-up leaves the connection
            # idle, so other waiters are woken here.
            self._wake_waiters()
            pause = _POOL_INTERVAL_MS
            if self._waiters:
                pause = _WAITING_POOL_INTERVAL_MS
            self._pool_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(pause)):
                    await self._pool_changed.wait()

    async def acquire(self, owner: int, timeout: int) -> Lease:
        """Lease a connection until :meth:`release`.

        :param owner: Number of the statement or transaction.
        :param timeout: Longest time in ms to wait for a connection.
        :returns: The lease.
        :raises ConnectionLostError: If no connection becomes free in time, or
            if opening one fails.
        """
        try:
            async with asyncio.timeout(seconds(timeout)):
                return await self._acquire(owner)
        except TimeoutError:
            raise ConnectionLostError(
                f'no pooled connection became free within {timeout} ms'
            ) from None

    def release(self, lease: Lease) -> None:
        """Return a connection to the pool.

        :param lease: The lease. Its connection is closed unless it is clean.
        """
        now = self._clock.now()
        self._execute(
            self._sizer.release(lease.number, lease.owner, lease.clean, now)
        )
        self._wake_waiters()

    def abort(self, reason: str) -> None:
        """Close all connections at once, including leased ones.

        Statements that run on them or wait for one fail.

        :param reason: Error text for the statements that wait.
        """
        for number in tuple(self._connections):
            self._tasks.spawn(self._close_connection(number))
        self._fail_waiters(ConnectionLostError(reason))

    def stop_lending(self) -> None:
        """Close idle connections; leased ones are closed when released."""
        self._execute(self._sizer.stop(pool_sizing.CloseReason.NOT_HOLDER))
        self._fail_waiters(
            ConnectionLostError('this holder has released the service')
        )

    async def close(self) -> None:
        """Stop lending and wait until the idle connections are closed."""
        self.stop_lending()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def failover_connection(self) -> AsyncIterator[BackendConnection]:
        """Open a connection for one failover step.

        A pooled connection might be blocked, so each step gets a new one.

        :yields: The connection, which is closed after the step.
        :raises ConnectionLostError: If the step exceeds :data:`STEP_TIMEOUT`.
        """
        conn = await self.connect(STEP_TIMEOUT)
        try:
            async with asyncio.timeout(seconds(STEP_TIMEOUT)):
                yield conn
        except TimeoutError:
            raise ConnectionLostError(
                f'failover step not answered within {STEP_TIMEOUT} ms',
                sent=True,
            ) from None
        finally:
            await conn.close()

    async def _acquire(self, owner: int) -> Lease:
        while True:
            number = self._sizer.lease(owner, self._clock.now())
            if number is not None:
                return Lease(number, owner, self._connections[number])
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            self._pool_changed.set()
            try:
                await waiter
            finally:
                with contextlib.suppress(ValueError):
                    self._waiters.remove(waiter)

    def _wake_waiters(self) -> None:
        """Wake as many waiting tasks as there are idle connections."""
        for waiter in list(self._waiters)[: self._sizer.idle]:
            if not waiter.done():
                waiter.set_result(None)

    def _fail_waiters(self, exc: ConnectionLostError) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(exc)

    def _execute(self, commands: list[pool_sizing.Command]) -> None:
        for command in commands:
            if isinstance(command, pool_sizing.Open):
                for _ in range(command.count):
                    self._tasks.spawn(self._open_connection())
            else:
                for number in command.connections:
                    self._tasks.spawn(self._close_connection(number))

    async def _open_connection(self) -> None:
        try:
            conn = await self.connect()
        except (ConnectionLostError, BackendError) as exc:
            too_many = isinstance(exc, TooManyConnectionsError)
            self._sizer.open_failed(too_many, self._clock.now())
            if not too_many:
                self._fail_waiters(ConnectionLostError(str(exc)))
            return
        except Exception as exc:
            # Otherwise, the connection would count as opening for ever.
            _log.exception('Opening a connection failed unexpectedly')
            self._sizer.open_failed(too_many=False, now=self._clock.now())
            self._fail_waiters(ConnectionLostError(f'{self.address}: {exc!r}'))
            return
        number = next(self._connection_numbers)
        self._connections[number] = conn
        self._execute(self._sizer.opened(number, self._clock.now()))
        self._wake_waiters()

    async def _close_connection(self, number: int) -> None:
        conn = self._connections.pop(number, None)
        try:
            if conn is not None:
                await conn.close()
        finally:
            self._sizer.closed(number)
            self._pool_changed.set()

    async def _poll_until_lost(self, on_report: ReportHandler) -> None:
        conn = await self.connect()
        try:
            sent_at = self._clock.now()
            report = await self._await_report(conn.status())
            while True:
                on_report(self.name, report, sent_at)
                poll = self._next_poll(report.role)
                await asyncio.sleep(seconds(max(poll.pause, _POLL_PAUSE_MS)))
                sent_at = self._clock.now()
                report = await self._await_report(
                    _request_report(conn, report, poll)
                )
        finally:
            await conn.close()

    async def _probe_until_lost(self, on_report: ReportHandler) -> None:
        conn = await self.connect()
        try:
            while True:
                await self._probe_requested.wait()
                self._probe_requested.clear()
                sent_at = self._clock.now()
                self._probe_sent_at = sent_at
                report = await self._await_report(conn.status())
                on_report(self.name, report, sent_at)
                await asyncio.sleep(seconds(_PROBE_PAUSE_MS))
        finally:
            await conn.close()

    async def _await_report(
        self, call: Awaitable[BackendReport]
    ) -> BackendReport:
        try:
            async with asyncio.timeout(seconds(_POLL_TIMEOUT_MS)):
                return await call
        except TimeoutError:
            raise ConnectionLostError(
                f'status poll not answered within {_POLL_TIMEOUT_MS} ms'
            ) from None

    def _is_service_idle(self) -> bool:
        return self._clock.now() - self._last_used_at > _IDLE_AFTER_MS

    def _next_poll(self, role: Role) -> Poll:
        if not self._is_service_idle():
            return self.schedule(self.name, self._clock.now())
        return _IDLE_PRIMARY if role is Role.PRIMARY else _IDLE_REPLICA


def _always_idle(_name: str, _now: Millis) -> Poll:
    return _IDLE_REPLICA


def _request_report(
    conn: BackendConnection, last: BackendReport, poll: Poll
) -> Awaitable[BackendReport]:
    if poll.timeout:
        return conn.wait_change(last.received, last.applied, poll.timeout)
    return conn.status()
