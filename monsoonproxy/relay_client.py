"""Clients of the peers that lend connections, with failure detection."""

import asyncio
import itertools
import math
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
from monsoonproxy.limiters import OverloadError
from monsoonproxy.logs import log_for
from monsoonproxy.server_connections import configure_keepalive
from monsoonproxy.servers import Server

_log = log_for('remote')

#: Longest time in ms to connect to a peer, far above any round trip. TCP sends
#: a lost SYN packet again only after 1 s; asking another peer takes less.
_CONNECT_TIMEOUT = Millis(250)
#: Time in ms without a byte from a peer with outstanding responses after which
#: it is pinged, after which other peers are asked for connections, and after
#: which it is disconnected. A round trip takes 2 ms; a small host that has just
#: started may be busy for 0.2 s.
_PING_AFTER = Millis(75)
_SKIP_AFTER = Millis(150)
_DISCONNECT_AFTER = Millis(500)
#: Time in ms that a responsive lender gets to answer a lease request, on top of
#: the wait for a connection, since its queue may be long.
_ANSWER_MARGIN = Millis(600)


class RelayClient(asyncio.Protocol):
    """Client of the relay of one peer, with the leases from it.

    :param address: ``ip:port`` of the peer's relay.
    :param clock: Source of time.
    :param on_unresponsive: Called with the address when the peer does not
        answer.
    """

    def __init__(
        self, address: str, clock: Clock, on_unresponsive: Callable[[str], None]
    ) -> None:
        self.address = address
        self._clock = clock
        #: When data last arrived, or the first outstanding request was sent.
        self._heard_at = Millis(0)
        self._monitor_task: asyncio.Task[None] | None = None
        self.leases: dict[int, PooledConnection] = {}
        self._on_unresponsive = on_unresponsive
        self._numbers = itertools.count(1)
        self._reader = relay_messages.Reader()
        self._transport: Any = None
        self._connect_task: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[relay_messages.Response]] = {}

    async def request_lease(
        self, server: Server, lease_request: LeaseRequest
    ) -> tuple[int, relay_messages.Granted]:
        """Borrow a connection to a backend server.

        :param server: The backend server.
        :param lease_request: Requirements on the connection.
        :returns: Number of the lease and the grant.
        :raises PoolExhaustedError: If the peer can lend none in time.
        :raises ConnectionLostError: If the peer can't reach the backend server.
        :raises PeerError: If the peer can't be reached, or does not answer.
        """
        await self._connect()
        stream = next(self._numbers)
        ask = relay_messages.Ask(
            stream,
            server.service,
            server.server_id,
            max(1, int(lease_request.limit)),
            lease_request.priority,
            lease_request.single,
            lease_request.organisation,
            _objective(lease_request),
            lease_request.statements,
        )
        limit = max(1, int(lease_request.limit)) + _ANSWER_MARGIN
        try:
            response = await self._first_response(self.send(ask), limit)
        except TimeoutError:
            self._give_up(stream)
            raise PeerError(
                f'{self.address}: no answer to the lease request in time'
            ) from None
        except asyncio.CancelledError:
            self._give_up(stream)
            raise
        return stream, _grant_of(response)

    async def _first_response(
        self, waiter: 'asyncio.Future[relay_messages.Response]', limit: float
    ) -> relay_messages.Response:
        """Wait for a response, unless the peer falls silent.

        :raises TimeoutError: If the peer is silent for
            :data:`_SKIP_AFTER`, or does not respond within the limit.
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
        """Send a message and return a future of the response on its stream.

        :param message: The message.
        :returns: Future of the response; it fails with :class:`PeerError`.
        """
        waiter = asyncio.get_running_loop().create_future()
        if self._transport is None:
            waiter.set_exception(
                PeerError(f'{self.address}: connection closed')
            )
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
        """Return a borrowed connection to the peer.

        :param message: The message that ends the lease.
        """
        self.leases.pop(message.stream, None)
        self._waiting.pop(message.stream, None)
        self.send_nowait(message)

    def send_nowait(self, message: relay_messages.Request) -> None:
        """Send a message without waiting for a response, if connected.

        :param message: The message.
        """
        if self._transport is not None:
            self._transport.write(relay_messages.encode(message))

    def close(self) -> None:
        """Close the connection to the peer at once."""
        if self._transport is not None:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Set the options that detect a silent path."""
        self._transport = transport
        configure_keepalive(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Pass responses to the tasks that wait for them."""
        self._heard_at = self._clock.now()
        try:
            messages = self._reader.feed(data)
        except PeerError as exc:
            _log.warning('Closed the connection to {}: {}', self.address, exc)
            self.close()
            return
        for message in messages:
            waiter = self._waiting.pop(message.stream, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(message)  # type: ignore[arg-type]

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail outstanding requests and invalidate the leases."""
        self._transport = None
        self._reader = relay_messages.Reader()
        for conn in self.leases.values():
            conn.closed = True
        self.leases.clear()
        waiting, self._waiting = self._waiting, {}
        for waiter in waiting.values():
            if not waiter.done():
                waiter.set_exception(
                    PeerError(f'{self.address}: {exc or "connection closed"}')
                )

    @property
    def _silent_for(self) -> int:
        """Return the time in ms since data last arrived."""
        return self._clock.now() - self._heard_at

    async def _monitor(self) -> None:
        """Check that the peer is alive while responses are outstanding."""
        while self._waiting and self._transport is not None:
            looked_at = self._clock.now()
            await asyncio.sleep(seconds(_PING_AFTER))
            if self._clock.now() - looked_at >= 2 * _PING_AFTER:
                # This process itself was frozen; received data may still be
                # unread, so the silence does not count against the peer.
                self._heard_at = self._clock.now()
            elif self._waiting:
                self._check_silence()

    def _check_silence(self) -> None:
        """Ping a silent peer, or disconnect it after the longest silence."""
        if self._silent_for >= _DISCONNECT_AFTER:
            self._on_unresponsive(self.address)
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
            self._on_unresponsive(self.address)
            raise PeerError(f'{self.address}: {exc!r}') from exc

    def _give_up(self, stream: int) -> None:
        self.return_lease(
            relay_messages.Return(stream, clean=False, values={}, prepared=[])
        )


def _objective(lease_request: LeaseRequest) -> int:
    if math.isinf(lease_request.objective):
        return relay_messages.NO_OBJECTIVE
    return max(0, int(lease_request.objective))


def _grant_of(response: relay_messages.Response) -> relay_messages.Granted:
    if isinstance(response, relay_messages.Granted):
        return response
    if isinstance(response, relay_messages.Denied):
        if response.unreachable:
            raise ConnectionLostError(response.reason)
        if response.retry_after:
            raise OverloadError(Millis(response.retry_after))
    raise PoolExhaustedError(getattr(response, 'reason', 'unexpected response'))


class RelayClients:
    """Clients of the relays of all peers, one for each peer.

    :param clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Called with the relay address of a peer that does not answer.
        self.on_unresponsive: Callable[[str], None] = _ignore
        self._clients: dict[str, RelayClient] = {}

    def get(self, address: str) -> RelayClient:
        """Return the client of a peer, which connects upon first use.

        :param address: ``ip:port`` of the peer's relay.
        :returns: The client.
        """
        client = self._clients.get(address)
        if client is None:
            client = RelayClient(
                address, self._clock, self._report_unresponsive
            )
            self._clients[address] = client
        return client

    def _report_unresponsive(self, address: str) -> None:
        _log.info('Peer at {} does not answer', address)
        self.on_unresponsive(address)

    def close(self) -> None:
        """Close the connections to all peers."""
        for client in self._clients.values():
            client.close()


def _ignore(_address: str) -> None:
    """Default for :attr:`RelayClients.on_unresponsive`."""
