"""The connections of a daemon to its peers, opened when they are needed."""

from collections.abc import Callable, Sequence

import zmq

from monsoonproxy import messages
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import PeerError
from monsoonproxy.peers import CurveKeys, Link, LostHandler, ReplyHandler
from monsoonproxy.supervisors import Supervisor

#: Time in ms that a first message waits for its connection.
_CONNECT_TIMEOUT_MS = 300
#: Time in ms without a message after which a connection is closed.
_IDLE_TIMEOUT_MS = 5_000

LocalHandler = Callable[[messages.Message], None]


class PeerConnections:
    """Sends messages to daemons by address, this one included.

    :param own: Address of this daemon.
    :param identity: Identity of its sockets, unique per incarnation.
    :param supervisor: Runs the tasks of the links.
    :param handler: Takes the replies of peers.
    :param lost: Takes the addresses of broken connections.
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
        self._connections: dict[str, Link] = {}
        self._last_used_at: dict[str, Millis] = {}
        self._clock = Clock()
        self.local_handler: LocalHandler | None = None

    async def send(self, address: str, message: messages.Message) -> None:
        """Send a message over an established connection.

        A new connection is given a short time to be established.

        :param address: The peer.
        :param message: The message.
        :raises PeerError: If it was not sent and never will be.
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
        """Send a message that may be lost.

        :param address: The peer.
        :param message: The message.
        :returns: Whether it was sent.
        """
        try:
            await self.send(address, message)
        except PeerError:
            return False
        return True

    def open(self, address: str) -> Link:
        """Open the connection to a peer.

        :param address: The peer.
        :returns: Its link.
        :raises PeerError: If the address is malformed or the process has no
            socket left.
        """
        try:
            link = Link(
                address,
                self._identity,
                handler=self._handler,
                lost=self._lost,
                keys=self._keys,
            )
        except zmq.ZMQError as exc:
            raise PeerError(f'{address} can not be connected: {exc}') from exc
        self._connections[address] = link
        self._supervisor.start_child(f'link {address}', link.run)
        return link

    async def close_idle(self, needed: set[str]) -> None:
        """Close the connections that have not been used for a while.

        Each connection costs heartbeats and memory, and a daemon compares
        versions with any peer of the site.

        :param needed: The peers with open requests or transactions.
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

        :returns: Their addresses.
        """
        return {
            address
            for address, link in self._connections.items()
            if link.connected
        }

    async def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._connections):
            await self._close(address)
