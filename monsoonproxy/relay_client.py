"""Links to the daemons that lend connections, and signs of life on them."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from monsoonproxy import relay_messages
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.connection_pools import (
    LeaseRequest,
    PooledConnection,
    PoolExhaustedError,
)
from monsoonproxy.exceptions import ConnectionLostError, PeerError
from monsoonproxy.logs import log_for
from monsoonproxy.servers import Server
from monsoonproxy.wires import reveal_silence

_log = log_for('remote')

#: Longest time in ms to reach another daemon, far above any round trip. A lost
#: opening packet is sent again after 1 s; another daemon is there sooner.
_CONNECT_TIMEOUT = Millis(250)
#: Time in ms without a byte from a daemon that owes answers after which it is
#: asked for a sign of life, after which others are asked for connections, and
#: after which it is taken for gone. A round trip takes 2 ms; a small host that
#: has just started may be busy for 0.2 s.
_PING_AFTER = Millis(75)
_SKIP_AFTER = Millis(150)
_DISCONNECT_AFTER = Millis(500)
#: Time in ms beyond the wait for a connection in which a daemon with a queue
#: has to answer whether it lends one.
_ANSWER_MARGIN = Millis(600)


class RelayClient(asyncio.Protocol):
    """The connection to another daemon, with the leases on it.

    :param address: ``ip:port`` of the daemon's relay.
    :param clock: Source of time.
    :param on_unresponsive: Is told when the daemon does not answer.
    """

    def __init__(
        self, address: str, clock: Clock, on_unresponsive: Callable[[str], None]
    ) -> None:
        self.address = address
        self._clock = clock
        #: When the daemon was last heard, or began to owe an answer.
        self._heard_at = Millis(0)
        self._monitor_task: asyncio.Task[None] | None = None
        self.leases: dict[int, PooledConnection] = {}
        self._on_gone = on_unresponsive
        self._numbers = itertools.count(1)
        self._reader = relay_messages.Reader()
        self._transport: Any = None
        self._connect_task: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[relay_messages.Response]] = {}

    async def request_lease(
        self, server: Server, lease_request: LeaseRequest
    ) -> tuple[int, relay_messages.Granted]:
        """Ask for a connection to a backend server.

        :param server: The backend server.
        :param lease_request: What it is needed for.
        :returns: Number of the lease and the grant.
        :raises PoolExhaustedError: If none can be lent in time.
        :raises ConnectionLostError: If the backend server can't be reached.
        :raises PeerError: If the daemon can't be reached.
        """
        await self._connect()
        stream = next(self._numbers)
        request_lease = relay_messages.Ask(
            stream,
            server.service,
            server.server_id,
            max(1, int(lease_request.limit)),
            lease_request.priority,
            lease_request.single,
        )
        limit = max(1, int(lease_request.limit)) + _ANSWER_MARGIN
        try:
            response = await self._first_response(
                self.send(request_lease), limit
            )
        except TimeoutError:
            self._give_up(stream)
            raise PeerError(f'{self.address}: no grant') from None
        except asyncio.CancelledError:
            self._give_up(stream)
            raise
        return stream, _grant_of(response)

    async def _first_response(
        self, waiter: 'asyncio.Future[relay_messages.Response]', limit: float
    ) -> relay_messages.Response:
        """Wait for a response, but not for a daemon that is silent.

        :raises TimeoutError: If it does not come.
        """
        done, _pending = await asyncio.wait(
            (waiter,), timeout=seconds(_SKIP_AFTER)
        )
        if not done and self._silent_for >= _SKIP_AFTER:
            raise TimeoutError
        async with asyncio.timeout(seconds(1) * limit):
            return await waiter

    def send(
        self, message: relay_messages.Request
    ) -> 'asyncio.Future[relay_messages.Response]':
        """Send a message and wait for the response on its stream.

        :param message: The message.
        :returns: The response, or :class:`PeerError`.
        """
        waiter = asyncio.get_running_loop().create_future()
        if self._transport is None:
            waiter.set_exception(PeerError(f'{self.address}: closed'))
            return waiter
        if not self._waiting:
            self._heard_at = self._clock.now()
        self._waiting[message.stream] = waiter
        self._transport.write(relay_messages.encode(message))
        if self._monitor_task is None or self._monitor_task.done():
            loop = asyncio.get_running_loop()
            self._monitor_task = loop.create_task(self._monitor())
        return waiter

    def return_lease(self, message: relay_messages.Return) -> None:
        """Return a lease.

        :param message: The message.
        """
        self.leases.pop(message.stream, None)
        self._waiting.pop(message.stream, None)
        self.send_nowait(message)

    def send_nowait(self, message: relay_messages.Request) -> None:
        """Send a message without waiting for a response to it.

        :param message: The message.
        """
        if self._transport is not None:
            self._transport.write(relay_messages.encode(message))

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Start."""
        self._transport = transport
        reveal_silence(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Hand out responses."""
        self._heard_at = self._clock.now()
        try:
            messages = self._reader.feed(data)
        except PeerError as exc:
            _log.warning('Closed {}: {}', self.address, exc)
            self.close()
            return
        for message in messages:
            waiter = self._waiting.pop(message.stream, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(message)  # type: ignore[arg-type]

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits for a response."""
        self._transport = None
        self._reader = relay_messages.Reader()
        for conn in self.leases.values():
            conn.closed = True
        self.leases.clear()
        waiting, self._waiting = self._waiting, {}
        for waiter in waiting.values():
            if not waiter.done():
                waiter.set_exception(
                    PeerError(f'{self.address}: {exc or "closed"}')
                )

    @property
    def _silent_for(self) -> int:
        """Return for how long in ms an expected byte has not come."""
        return self._clock.now() - self._heard_at

    async def _monitor(self) -> None:
        """Look for signs of life while the daemon owes answers."""
        while self._waiting and self._transport is not None:
            looked_at = self._clock.now()
            await asyncio.sleep(seconds(_PING_AFTER))
            if self._clock.now() - looked_at >= 2 * _PING_AFTER:
                # This daemon stood still; what came is not read yet.
                self._heard_at = self._clock.now()
            elif self._waiting:
                self._check_silence()

    def _check_silence(self) -> None:
        """Ask a silent daemon for a sign of life, or give it up."""
        if self._silent_for >= _DISCONNECT_AFTER:
            self._on_gone(self.address)
            self.close()
        elif self._silent_for >= _PING_AFTER:
            self.send_nowait(relay_messages.Ping(0))

    async def _connect(self) -> None:
        if self._transport is not None:
            return
        if self._connect_task is None or self._connect_task.done():
            loop = asyncio.get_running_loop()
            self._connect_task = loop.create_task(self._open())
        await asyncio.shield(self._connect_task)

    async def _open(self) -> None:
        host, port = self.address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds(_CONNECT_TIMEOUT)):
                await loop.create_connection(lambda: self, host, int(port))
        except (OSError, TimeoutError) as exc:
            self._on_gone(self.address)
            raise PeerError(f'{self.address}: {exc!r}') from exc

    def _give_up(self, stream: int) -> None:
        self.return_lease(
            relay_messages.Return(stream, clean=False, values={}, prepared=[])
        )


def _grant_of(response: relay_messages.Response) -> relay_messages.Granted:
    if isinstance(response, relay_messages.Granted):
        return response
    if isinstance(response, relay_messages.Denied) and response.unreachable:
        raise ConnectionLostError(response.reason)
    raise PoolExhaustedError(getattr(response, 'reason', 'unexpected answer'))


class RelayClients:
    """The connections to other daemons.

    :param clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Is told of a daemon that does not answer, by its address.
        self.on_unresponsive: Callable[[str], None] = _ignore
        self._clients: dict[str, RelayClient] = {}

    def get(self, address: str) -> RelayClient:
        """Return the connection to a daemon, which may not be open yet.

        :param address: ``ip:port`` of its relay.
        :returns: The connection.
        """
        client = self._clients.get(address)
        if client is None:
            client = RelayClient(
                address, self._clock, self._report_unresponsive
            )
            self._clients[address] = client
        return client

    def _report_unresponsive(self, address: str) -> None:
        _log.info('{} does not answer', address)
        self.on_unresponsive(address)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()


def _ignore(_address: str) -> None:
    """Do nothing; stands in until somebody keeps the list of daemons."""
