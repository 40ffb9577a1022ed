"""Connections of a daemon to its peers, opened on the first message."""

from collections.abc import Callable, Sequence

import zmq

from monsoonproxy import messages
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import PeerError
from monsoonproxy.peers import (
    CurveKeys,
    LostHandler,
    PeerConnection,
    ReplyHandler,
)
from monsoonproxy.supervisors import Supervisor

#: How long the first message to a peer waits for the connection.
_CONNECT_TIMEOUT_MS = 300
#: Time without a message to the peer after which a connection is closed.
_IDLE_TIMEOUT_MS = 5_000

#: Receives the messages that this daemon sends to itself.
LocalHandler = Callable[[messages.Message], None]


class PeerConnections:
    """Sends messages to daemons by address, including this one.

    :param own: Address of this daemon.
    :param identity: Identity of the sockets, unique per process start.
    :param supervisor: Runs one task per connection.
    :param handler: Called with the replies of peers.
    :param lost: Called with the address of a peer whose connection broke.
    :param keys: CURVE key pairs, newest first.
    """

    def __init__(
        self,
        own: str,
        identity: bytes,
        supervisor: Supervisor,
        *,
        handler: ReplyHandler,
        lost: LostHandler,
        keys: Sequence[CurveKeys] = (),
    ) -> None:
        self._own = own
        self._identity = identity
        self._supervisor = supervisor
        self._handler = handler
        self._lost = lost
        self._keys = keys
        self._connections: dict[str, PeerConnection] = {}
        self._last_used_at: dict[str, Millis] = {}
        self._clock = Clock()
        self.local_handler: LocalHandler | None = None

    async def send(self, address: str, message: messages.Message) -> None:
        """Send a message to a daemon, opening a connection if there is none.

        Waits up to ``_CONNECT_TIMEOUT_MS`` for a new connection.

        :param address: Address of the daemon.
        :param message: The message.
        :raises PeerError: If the message was not sent; it is not sent later.
        """
        if address == self._own and self.local_handler is not None:
            self.local_handler(message)
            return
        link = self._connections.get(address)
        if link is None:
            link = self.open(address)
            await link.wait_connected(seconds(_CONNECT_TIMEOUT_MS))
        self._last_used_at[address] = self._clock.now()
        await link.send(message)

    async def try_send(self, address: str, message: messages.Message) -> bool:
        """Send a message, without an exception if the peer is unreachable.

        :param address: Address of the daemon.
        :param message: The message.
        :returns: Whether the message was sent.
        """
        try:
            await self.send(address, message)
        except PeerError:
            return False
        return True

    def open(self, address: str) -> PeerConnection:
        """Open a connection to a peer without waiting until it is established.

        :param address: Address of the peer.
        :returns: The connection.
        :raises PeerError: If the address is malformed or the process has no
            socket left.
        """
        try:
            link = PeerConnection(
                address,
                self._identity,
                handler=self._handler,
                lost=self._lost,
                keys=self._keys,
            )
        except zmq.ZMQError as exc:
            raise PeerError(
                f'cannot open a connection to {address}: {exc}'
            ) from exc
        self._connections[address] = link
        self._supervisor.start_child(f'link {address}', link.run)
        return link

    async def close_idle(self, needed: set[str]) -> None:
        """Close the connections unused for ``_IDLE_TIMEOUT_MS``.

        Daemons compare configuration versions with random peers of the site,
        and each connection that stays open costs heartbeats and memory.

        :param needed: Addresses of peers with open requests or transactions.
        """
        limit = self._clock.now() - _IDLE_TIMEOUT_MS
        for address in self._connections.keys() - needed:
            if self._last_used_at.get(address, 0) < limit:
                await self._close(address)

    async def _close(self, address: str) -> None:
        link = self._connections.pop(address)
        self._last_used_at.pop(address, None)
        await self._supervisor.stop_child(f'link {address}')
        link.close()

    def connected(self) -> set[str]:
        """Return the peers with an established connection.

        :returns: Addresses of the peers.
        """
        return {
            address
            for address, link in self._connections.items()
            if link.connected
        }

    async def close(self) -> None:
        """Close the connections to all peers and stop their tasks."""
        for address in tuple(self._connections):
            await self._close(address)
