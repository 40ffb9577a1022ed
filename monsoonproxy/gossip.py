"""Gossip between daemons: UDP messages and fetches of newer snapshots.

Each daemon sends its presence to its peers, with the versions of the
configuration and of the backend servers' entries that it has. A peer that has
older versions fetches a snapshot over TCP.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from monsoonproxy import gossip_messages
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.delegate_selection import DELEGATE_INTERVAL
from monsoonproxy.exceptions import PeerError
from monsoonproxy.logs import log_for
from monsoonproxy.peer_list import Peer, PeerList
from monsoonproxy.snapshots import SnapshotServer, SnapshotStore, fetch

_log = log_for('gossip')

#: Time in ms between two rounds of presences. Each round serves the next part
#: of the peers, so that a pass over all of them takes one presence interval.
_ROUND_INTERVAL = Millis(250)
#: Minimum time in ms of the first pass over all peers after the start, and the
#: presences per second in it at most. When 115 daemons start together, sending
#: all at once would cost each of them 0.1 s of processor time.
_FIRST_PASS_INTERVAL = Millis(2_000)
_FIRST_PASS_PER_S = 60
#: Up to this many peers, each daemon answers the first presence of a new peer.
_ANSWER_NEW_UP_TO = 20
#: Peers that an update is sent to at once; they pass it on to others.
FANOUT = 8
#: Pause in ms after a fetch, whichever peer has a newer version.
_FETCH_PAUSE = Millis(200)
#: Time in ms to wait for a peer in the own availability zone that has the newer
#: version too, since traffic between zones costs. An update reaches all zones
#: within one round trip.
_SAME_ZONE_WAIT = Millis(50)

Handle = Callable[[Any, str], None]


class Gossip(asyncio.DatagramProtocol):
    """Sends presences, dispatches received messages and fetches snapshots.

    :param own: This daemon's name, addresses, zone and start time, which its
        presences carry.
    :param peers: The other daemons.
    :param snapshots: Snapshot that peers may fetch, and that fetched ones are
        applied to.
    :param clock: Source of time.
    """

    def __init__(
        self,
        own: Peer,
        peers: PeerList,
        snapshots: SnapshotStore,
        clock: Clock,
    ) -> None:
        self.name = own.name
        self.peers = peers
        self.leaving = False
        #: Whether this daemon is a delegate, whose presences are more frequent.
        self.is_delegate = False
        #: Tells whether this daemon is connected to the store.
        self.follows: Callable[[], bool] = _follows_nothing
        #: Handlers of all messages but presences, by message class. They
        #: take the message and the address of its sender.
        self.handlers: dict[type, Handle] = {}
        self._own = own
        self._snapshots = snapshots
        self._clock = clock
        self._transport: Any = None
        self._server: asyncio.Server | None = None
        #: Connections of peers that fetch a snapshot.
        self._fetchers: set[SnapshotServer] = set()
        self._fetching: asyncio.Task[None] | None = None
        #: Peer to fetch from next, and whether it is in the own zone.
        self._source: Peer | None = None
        self._same_zone_found = asyncio.Event()

    async def start(self) -> None:
        """Open the UDP socket for gossip and the TCP socket for snapshots."""
        host, port = self._own.address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._server = await loop.create_server(
            lambda: SnapshotServer(self._snapshots, self._fetchers),
            host,
            int(port),
        )

    async def run(self) -> None:
        """Send presences to the peers in turn until cancelled."""
        self.announce(self.peers.all())
        turn: float = 0
        is_first = True
        while True:
            await asyncio.sleep(seconds(_ROUND_INTERVAL))
            peers = self.peers.all()
            interval = self.peers.interval
            if is_first:
                least = Millis(len(peers) * 1_000 // _FIRST_PASS_PER_S)
                interval = max(_FIRST_PASS_INTERVAL, least)
            if self.is_delegate:
                interval = min(interval, DELEGATE_INTERVAL)
            last = turn + len(peers) * _ROUND_INTERVAL / interval
            self.announce(peers[int(turn) : int(last)])
            if last < len(peers):
                turn = last
            elif peers:
                turn = 0
                is_first = False

    def close(self) -> None:
        """Close the UDP and TCP sockets."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def announce(self, receivers: tuple[Peer, ...]) -> None:
        """Send this daemon's presence to some peers.

        :param receivers: The peers.
        """
        own = self._own
        version, entries = self._snapshots.versions()
        presence = gossip_messages.Presence(
            own.name,
            own.address,
            own.relay,
            own.zone,
            own.started,
            version,
            entries.version,
            self.follows(),
            self.leaving,
            entries.era,
        )
        self.send(presence, *(peer.address for peer in receivers))

    def send(
        self, message: gossip_messages.GossipMessage, *addresses: str
    ) -> None:
        """Send a message as a datagram, unless the socket is closed.

        :param message: The message.
        :param addresses: ``ip:port`` of each receiver.
        """
        if self._transport is None or self._transport.is_closing():
            return
        datagram = gossip_messages.encode(message)
        for address in addresses:
            host, port = address.rsplit(':', 1)
            self._transport.sendto(datagram, (host, int(port)))

    # Callbacks of asyncio.

    def connection_made(self, transport: Any) -> None:
        """Store the transport that messages are sent with."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it to the handler of its class."""
        message = gossip_messages.decode(data)
        if message is None:
            _log.debug('Discarded a malformed gossip datagram from {}', addr)
        elif isinstance(message, gossip_messages.Presence):
            self._handle_presence(message)
        else:
            handle = self.handlers.get(type(message))
            if handle is not None:
                handle(message, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams, which may be lost anyway."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the closed transport, so that nothing more is sent."""
        self._transport = None

    def _handle_presence(self, presence: gossip_messages.Presence) -> None:
        now = self._clock.now()
        is_new = self.peers.record_presence(presence, now)
        peer = self.peers.get(presence.sender)
        if peer is None:
            return
        if self._is_ahead(peer):
            self._fetch(peer)
        version, entries = self._snapshots.versions()
        is_behind = peer.version < version or peer.entries < entries
        if is_behind or (is_new and len(self.peers) <= _ANSWER_NEW_UP_TO):
            # The peer learns of this daemon or of the newer versions here.
            self.announce((peer,))

    def _is_ahead(self, peer: Peer) -> bool:
        version, entries = self._snapshots.versions()
        return peer.version > version or peer.entries > entries

    def _fetch(self, peer: Peer) -> None:
        if peer.zone == self._own.zone:
            self._source = peer
            self._same_zone_found.set()
        elif not self._same_zone_found.is_set():
            self._source = peer
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._fetch_newer())

    async def _fetch_newer(self) -> None:
        version, _entries = self._snapshots.versions()
        if version:
            # A daemon without a configuration can't serve, so it doesn't wait
            # for a peer in its own zone.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(_SAME_ZONE_WAIT)):
                    await self._same_zone_found.wait()
        peer, self._source = self._source, None
        self._same_zone_found.clear()
        if peer is None or not self._is_ahead(peer):
            return
        try:
            await fetch(peer.address, self._snapshots)
        except PeerError as exc:
            _log.info('Fetching a snapshot from {} failed: {}', peer.name, exc)
        await asyncio.sleep(seconds(_FETCH_PAUSE))


def _follows_nothing() -> bool:
    """Return ``False``; the default until the node sets a callback."""
    return False
