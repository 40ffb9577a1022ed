"""Connections of a holder to one backend server."""

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
from monsoonproxy.models import BackendReport, Role
from monsoonproxy.polling import Poll

#: Called with the name, the report and the time its poll was sent.
ReportHandler: TypeAlias = Callable[[str, BackendReport, Millis], None]
#: Tells how to poll a backend server, by its name and the time.
Schedule: TypeAlias = Callable[[str, Millis], Poll]
#: Called with the name and whether the connection was refused.
UnreachableHandler: TypeAlias = Callable[[str, bool], None]

#: How to poll a primary and a replica of an idle service.
_IDLE_PRIMARY = Poll(pause=Millis(100), timeout=Millis(0))
_IDLE_REPLICA = Poll(pause=Millis(0), timeout=Millis(150))
#: Time in ms without a statement after which a service counts as idle.
_IDLE_AFTER = 1_000
#: Pause in ms between two probes, which lets several waiting statements share
#: the next one.
_PROBE_PAUSE = 2
#: Time in ms after which a poll counts as failed.
_POLL_LIMIT = 400
#: Pause in ms between two polls, which bounds their rate under load.
_POLL_PAUSE = 2
_RECONNECT_PAUSE = 50
#: Time in ms within which a step of a failover must be answered.
STEP_TIMEOUT = Millis(500)
_CONNECT_TIMEOUT = Millis(500)
#: Time in ms between two looks at the pool while nobody waits.
_POOL_INTERVAL = 250
_POOL_INTERVAL_WAITING = 5


@attrs.frozen
class Credentials:
    """How a holder logs in to a backend server."""

    user: str
    password: str = attrs.field(repr=False)


@attrs.define
class Lease:
    """A connection that one statement or transaction uses alone.

    :param number: Number of the connection in the pool.
    :param owner: Number of the lease.
    :param conn: The connection.
    :param clean: Whether it may be used again as it is. It is closed if its
        state is unknown.
    """

    number: int
    owner: int
    conn: BackendConnection
    clean: bool = False


class Backend:
    """Polls a backend server and lends out connections to it.

    :param name: Name of the backend server in its group.
    :param address: ``ip:port``.
    :param adapter: Database adapter.
    :param credentials: Log-in.
    :param rules: Settings of the pool.
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
        self._pool = pool_sizing.PoolSizer(rules, clock.now())
        self._connections: dict[int, BackendConnection] = {}
        self._numbers = itertools.count(1)
        self._waiting: collections.deque[asyncio.Future[None]]
        self._waiting = collections.deque()
        self._wake = asyncio.Event()
        self._tasks = Background()
        self._probe_wanted = asyncio.Event()
        self._probe_sent_at = Millis(0)
        self._used_at = clock.now()
        #: Tells how to poll a backend server of a service in use.
        self.schedule: Schedule = _always_idle

    async def connect(
        self, timeout: Millis = _CONNECT_TIMEOUT
    ) -> BackendConnection:
        """Open a connection.

        :param timeout: Longest time in ms to open it.
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
        """Report positions as they change, until cancelled.

        :param on_report: Takes each report.
        :param on_unreachable: Takes each failure.
        """
        while True:
            try:
                await self._poll_connection(on_report)
            except (ConnectionLostError, BackendError) as exc:
                on_unreachable(self.name, getattr(exc, 'refused', False))
            await asyncio.sleep(seconds(_RECONNECT_PAUSE))

    def touch(self) -> None:
        """Note that the service is in use, which makes polls more frequent."""
        self._used_at = self._clock.now()

    def want_probe(self, since: Millis) -> None:
        """Ask :meth:`probe` for a status that is requested after a time.

        :param since: The time.
        """
        if self._probe_sent_at <= since:
            self._probe_wanted.set()

    async def probe(
        self, on_report: ReportHandler, on_unreachable: UnreachableHandler
    ) -> None:
        """Report the status whenever it is wanted, until cancelled.

        :param on_report: Takes each report.
        :param on_unreachable: Takes each failure.
        """
        while True:
            await self._probe_wanted.wait()
            try:
                await self._probe_connection(on_report)
            except (ConnectionLostError, BackendError) as exc:
                self._probe_sent_at = Millis(0)
                on_unreachable(self.name, getattr(exc, 'refused', False))
                await asyncio.sleep(seconds(_RECONNECT_PAUSE))

    async def keep_pool(self) -> None:
        """Open and close connections as the pool demands, until cancelled."""
        while True:
            self._run(self._pool.tick(len(self._waiting), self._clock.now()))
            # A waiter that was cancelled may have left its connection idle.
            self._hand_out()
            pause = _POOL_INTERVAL
            if self._waiting:
                pause = _POOL_INTERVAL_WAITING
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(pause)):
                    await self._wake.wait()

    async def acquire(self, owner: int, timeout: int) -> Lease:
        """Take a connection until :meth:`release`.

        :param owner: Number of the statement or transaction.
        :param timeout: Longest time in ms to wait.
        :returns: The lease.
        :raises ConnectionLostError: If none could be had in time.
        """
        try:
            async with asyncio.timeout(seconds(timeout)):
                return await self._acquire(owner)
        except TimeoutError:
            raise ConnectionLostError('no connection is free') from None

    def release(self, lease: Lease) -> None:
        """Give a connection back.

        :param lease: The lease; its connection is closed unless it is clean.
        """
        now = self._clock.now()
        self._run(
            self._pool.release(lease.number, lease.owner, lease.clean, now)
        )
        self._hand_out()

    def break_off(self, reason: str) -> None:
        """Close all connections, so that statements on them end now.

        :param reason: Why, for those who wait for a connection.
        """
        for number in tuple(self._connections):
            self._tasks.spawn(self._close(number))
        self._fail_waiting(ConnectionLostError(reason))

    def stop_lending(self) -> None:
        """Close idle connections; leased ones close on their return."""
        self._run(self._pool.stop(pool_sizing.CloseReason.NOT_HOLDER))
        self._fail_waiting(ConnectionLostError('the service is released'))

    async def close(self) -> None:
        """Close all idle connections and wait until they are closed."""
        self.stop_lending()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @contextlib.asynccontextmanager
    async def step(self) -> AsyncIterator[BackendConnection]:
        """Open a connection for one step of a failover.

        :yields: A fresh connection, since those in use may not respond.
        """
        conn = await self.connect(STEP_TIMEOUT)
        try:
            async with asyncio.timeout(seconds(STEP_TIMEOUT)):
                yield conn
        except TimeoutError:
            raise ConnectionLostError('no answer in time', sent=True) from None
        finally:
            await conn.close()

    async def _acquire(self, owner: int) -> Lease:
        while True:
            number = self._pool.lease(owner, self._clock.now())
            if number is not None:
                return Lease(number, owner, self._connections[number])
            waiter = asyncio.get_running_loop().create_future()
            self._waiting.append(waiter)
            self._wake.set()
            try:
                await waiter
            finally:
                with contextlib.suppress(ValueError):
                    self._waiting.remove(waiter)

    def _hand_out(self) -> None:
        """Wake as many waiting tasks as there are idle connections."""
        for waiter in list(self._waiting)[: self._pool.idle]:
            if not waiter.done():
                waiter.set_result(None)

    def _fail_waiting(self, exc: ConnectionLostError) -> None:
        for waiter in self._waiting:
            if not waiter.done():
                waiter.set_exception(exc)

    def _run(self, commands: list[pool_sizing.Command]) -> None:
        for command in commands:
            if isinstance(command, pool_sizing.Open):
                for _ in range(command.count):
                    self._tasks.spawn(self._open())
            else:
                for number in command.connections:
                    self._tasks.spawn(self._close(number))

    async def _open(self) -> None:
        try:
            conn = await self.connect()
        except (ConnectionLostError, BackendError) as exc:
            too_many = isinstance(exc, TooManyConnectionsError)
            self._pool.open_failed(too_many, self._clock.now())
            if not too_many:
                self._fail_waiting(ConnectionLostError(str(exc)))
            return
        number = next(self._numbers)
        self._connections[number] = conn
        self._run(self._pool.opened(number, self._clock.now()))
        self._hand_out()

    async def _close(self, number: int) -> None:
        conn = self._connections.pop(number, None)
        if conn is not None:
            await conn.close()
        self._pool.closed(number)
        self._wake.set()

    async def _poll_connection(self, on_report: ReportHandler) -> None:
        conn = await self.connect()
        try:
            sent_at = self._clock.now()
            report = await self._in_time(conn.status())
            while True:
                on_report(self.name, report, sent_at)
                poll = self._next_poll(report.role)
                await asyncio.sleep(seconds(max(poll.pause, _POLL_PAUSE)))
                sent_at = self._clock.now()
                report = await self._in_time(_send_poll(conn, report, poll))
        finally:
            await conn.close()

    async def _probe_connection(self, on_report: ReportHandler) -> None:
        conn = await self.connect()
        try:
            while True:
                await self._probe_wanted.wait()
                self._probe_wanted.clear()
                sent_at = self._clock.now()
                self._probe_sent_at = sent_at
                report = await self._in_time(conn.status())
                on_report(self.name, report, sent_at)
                await asyncio.sleep(seconds(_PROBE_PAUSE))
        finally:
            await conn.close()

    async def _in_time(self, call: Awaitable[BackendReport]) -> BackendReport:
        try:
            async with asyncio.timeout(seconds(_POLL_LIMIT)):
                return await call
        except TimeoutError:
            raise ConnectionLostError('a poll was not answered') from None

    def _is_idle(self) -> bool:
        return self._clock.now() - self._used_at > _IDLE_AFTER

    def _next_poll(self, role: Role) -> Poll:
        if not self._is_idle():
            return self.schedule(self.name, self._clock.now())
        return _IDLE_PRIMARY if role is Role.PRIMARY else _IDLE_REPLICA


def _always_idle(_name: str, _now: Millis) -> Poll:
    return _IDLE_REPLICA


def _send_poll(
    conn: BackendConnection, last: BackendReport, poll: Poll
) -> Awaitable[BackendReport]:
    if poll.timeout:
        return conn.wait_change(last.received, last.applied, poll.timeout)
    return conn.status()
