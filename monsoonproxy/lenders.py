"""Links to the daemons that lend connections, and signs of life on them."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from monsoonproxy import forwards
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import ConnectionLostError, PeerError
from monsoonproxy.lanes import Claim, LaneFullError, Wire
from monsoonproxy.logs import log_for
from monsoonproxy.server_connections import configure_keepalive
from monsoonproxy.servers import Server

_log = log_for('remote')

#: Longest time in ms to reach another daemon, far above any round trip. A lost
#: opening packet is sent again after 1 s; another daemon is there sooner.
_CONNECT_TIMEOUT = Millis(250)
#: Time in ms without a byte from a daemon that owes answers after which it is
#: asked for a sign of life, after which others are asked for connections, and
#: after which it is taken for gone. A round trip takes 2 ms; a small host that
#: has just started may be busy for 0.2 s.
_PING_AFTER = Millis(75)
_PASS_OVER_AFTER = Millis(150)
_GONE_AFTER = Millis(500)
#: Time in ms beyond the wait for a connection in which a daemon with a queue
#: has to answer whether it lends one.
_ANSWER_MARGIN = Millis(600)


class Link(asyncio.Protocol):
    """The connection to another daemon, with the leases on it.

    :param address: ``ip:port`` of the daemon's relay.
    :param clock: Source of time.
    :param on_gone: Is told when the daemon does not answer.
    """

    def __init__(
        self, address: str, clock: Clock, on_gone: Callable[[str], None]
    ) -> None:
        self.address = address
        self._clock = clock
        #: When the daemon was last heard, or began to owe an answer.
        self._heard_at = Millis(0)
        self._watching: asyncio.Task[None] | None = None
        self.leases: dict[int, Wire] = {}
        self._on_gone = on_gone
        self._numbers = itertools.count(1)
        self._reader = forwards.Reader()
        self._transport: Any = None
        self._connecting: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[forwards.Response]] = {}

    async def ask(
        self, server: Server, claim: Claim
    ) -> tuple[int, forwards.Granted]:
        """Ask for a connection to a backend server.

        :param server: The backend server.
        :param claim: What it is needed for.
        :returns: Number of the lease and the grant.
        :raises LaneFullError: If none can be lent in time.
        :raises ConnectionLostError: If the backend server can't be reached.
        :raises PeerError: If the daemon can't be reached.
        """
        await self._connect()
        stream = next(self._numbers)
        ask = forwards.Ask(
            stream,
            server.service,
            server.server_id,
            max(1, int(claim.limit)),
            claim.priority,
            claim.single,
        )
        limit = max(1, int(claim.limit)) + _ANSWER_MARGIN
        try:
            response = await self._first_response(self.send(ask), limit)
        except TimeoutError:
            self._give_up(stream)
            raise PeerError(f'{self.address}: no grant') from None
        except asyncio.CancelledError:
            self._give_up(stream)
            raise
        return stream, _granted(response)

    async def _first_response(
        self, waiter: 'asyncio.Future[forwards.Response]', limit: float
    ) -> forwards.Response:
        """Wait for a response, but not for a daemon that is silent.

        :raises TimeoutError: If it does not come.
        """
        done, _pending = await asyncio.wait(
            (waiter,), timeout=seconds(_PASS_OVER_AFTER)
        )
        if not done and self._quiet >= _PASS_OVER_AFTER:
            raise TimeoutError
        async with asyncio.timeout(seconds(1) * limit):
            return await waiter

    def send(
        self, message: forwards.Request
    ) -> 'asyncio.Future[forwards.Response]':
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
        self._transport.write(forwards.encode(message))
        if self._watching is None or self._watching.done():
            loop = asyncio.get_running_loop()
            self._watching = loop.create_task(self._watch())
        return waiter

    def give_back(self, message: forwards.Return) -> None:
        """Return a lease.

        :param message: The message.
        """
        self.leases.pop(message.stream, None)
        self._waiting.pop(message.stream, None)
        self.tell(message)

    def tell(self, message: forwards.Request) -> None:
        """Send a message without waiting for a response to it.

        :param message: The message.
        """
        if self._transport is not None:
            self._transport.write(forwards.encode(message))

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Start."""
        self._transport = transport
        configure_keepalive(transport.get_extra_info('socket'))

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
        self._reader = forwards.Reader()
        for wire in self.leases.values():
            wire.closed = True
        self.leases.clear()
        waiting, self._waiting = self._waiting, {}
        for waiter in waiting.values():
            if not waiter.done():
                waiter.set_exception(
                    PeerError(f'{self.address}: {exc or "closed"}')
                )

    @property
    def _quiet(self) -> int:
        """Return for how long in ms an expected byte has not come."""
        return self._clock.now() - self._heard_at

    async def _watch(self) -> None:
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
        if self._quiet >= _GONE_AFTER:
            self._on_gone(self.address)
            self.close()
        elif self._quiet >= _PING_AFTER:
            self.tell(forwards.Ping(0))

    async def _connect(self) -> None:
        if self._transport is not None:
            return
        if self._connecting is None or self._connecting.done():
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._open())
        await asyncio.shield(self._connecting)

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
        self.give_back(
            forwards.Return(stream, clean=False, values={}, prepared=[])
        )


def _granted(response: forwards.Response) -> forwards.Granted:
    if isinstance(response, forwards.Granted):
        return response
    if isinstance(response, forwards.Denied) and response.unreachable:
        raise ConnectionLostError(response.reason)
    raise LaneFullError(getattr(response, 'reason', 'unexpected answer'))


class Links:
    """The connections to other daemons.

    :param clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Is told of a daemon that does not answer, by its address.
        self.on_gone: Callable[[str], None] = _ignore_gone
        self._links: dict[str, Link] = {}

    def to(self, address: str) -> Link:
        """Return the connection to a daemon, which may not be open yet.

        :param address: ``ip:port`` of its relay.
        :returns: The connection.
        """
        link = self._links.get(address)
        if link is None:
            link = Link(address, self._clock, self._gone)
            self._links[address] = link
        return link

    def _gone(self, address: str) -> None:
        _log.info('{} does not answer', address)
        self.on_gone(address)

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()


def _ignore_gone(_address: str) -> None:
    """Do nothing; stands in until somebody keeps the list of daemons."""
