"""Sends and receives notices between daemons."""

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

#: Time in ms between two rounds of presences; each round tells the part of
#: the daemons whose turn it is.
_ROUND_INTERVAL = Millis(250)
#: Least time in ms in which the first presences of a daemon reach all others,
#: and how many it sends per second at most. All at once would cost each daemon
#: 0.1 s of processor time when 115 start.
_FIRST_PASS_INTERVAL = Millis(2_000)
_FIRST_PASS_PER_S = 60
#: Up to this many daemons, each answers a presence of a new one.
_ANSWER_NEW_UP_TO = 20
#: Daemons that are told of news at once; they tell others.
FANOUT = 8
#: Pause in ms between two fetches, whoever has something newer.
_FETCH_PAUSE = Millis(200)
#: Time in ms to wait for a daemon in the own availability zone that has it too,
#: since bytes between zones cost. News are in all zones within one round trip.
_SAME_ZONE_WAIT = Millis(50)

Handle = Callable[[Any, str], None]


class Gossip(asyncio.DatagramProtocol):
    """The socket for notices, and what is told to everybody.

    :param own: This daemon, as others see it.
    :param peers: The other daemons.
    :param library: What this daemon knows and others may fetch.
    :param clock: Source of time.
    """

    def __init__(
        self,
        own: Peer,
        peers: PeerList,
        library: SnapshotStore,
        clock: Clock,
    ) -> None:
        self.name = own.name
        self.peers = peers
        self.leaving = False
        #: Whether this daemon is to follow the store for others.
        self.is_delegate = False
        #: Whether this daemon is in touch with the store.
        self.follows: Callable[[], bool] = _follows_nothing
        #: Handlers of further notices, by type.
        self.handlers: dict[type, Handle] = {}
        self._own = own
        self._library = library
        self._clock = clock
        self._transport: Any = None
        self._server: asyncio.Server | None = None
        self._fetching: asyncio.Task[None] | None = None
        #: Where to fetch from next, and whether it is near.
        self._source: Peer | None = None
        self._same_zone_found = asyncio.Event()

    async def start(self) -> None:
        """Open the sockets."""
        host, port = self._own.address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._server = await loop.create_server(
            lambda: SnapshotServer(self._library), host, int(port)
        )

    async def run(self) -> None:
        """Tell some daemons of this one, again and again."""
        self.announce(self.peers.all())
        turn: float = 0
        is_first = True
        while True:
            await asyncio.sleep(seconds(_ROUND_INTERVAL))
            known = self.peers.all()
            interval = self.peers.interval
            if is_first:
                least = Millis(len(known) * 1_000 // _FIRST_PASS_PER_S)
                interval = max(_FIRST_PASS_INTERVAL, least)
            if self.is_delegate:
                interval = min(interval, DELEGATE_INTERVAL)
            last = turn + len(known) * _ROUND_INTERVAL / interval
            self.announce(known[int(turn) : int(last)])
            if last < len(known):
                turn = last
            elif known:
                turn = 0
                is_first = False

    def close(self) -> None:
        """Close the sockets."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def announce(self, receivers: tuple[Peer, ...]) -> None:
        """Send this daemon's presence.

        :param receivers: To whom.
        """
        own = self._own
        version, stamp = self._library.versions()
        presence = gossip_messages.Presence(
            own.name,
            own.address,
            own.relay,
            own.zone,
            own.started,
            version,
            stamp,
            self.follows(),
            self.leaving,
        )
        self.send(presence, *(known.address for known in receivers))

    def send(
        self, notice: gossip_messages.GossipMessage, *addresses: str
    ) -> None:
        """Send a notice.

        :param notice: The notice.
        :param addresses: To whom.
        """
        if self._transport is None or self._transport.is_closing():
            return
        datagram = gossip_messages.encode(notice)
        for address in addresses:
            host, port = address.rsplit(':', 1)
            self._transport.sendto(datagram, (host, int(port)))

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a notice."""
        notice = gossip_messages.decode(data)
        if notice is None:
            _log.debug('Malformed notice from {}', addr)
        elif isinstance(notice, gossip_messages.Presence):
            self._handle_presence(notice)
        else:
            handle = self.handlers.get(type(notice))
            if handle is not None:
                handle(notice, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams; they may be lost anyway."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport."""
        self._transport = None

    def _handle_presence(self, presence: gossip_messages.Presence) -> None:
        now = self._clock.now()
        is_new = self.peers.record_presence(presence, now)
        known = self.peers.get(presence.sender)
        if known is None:
            return
        if self._is_ahead(known):
            self._fetch(known)
        version, stamp = self._library.versions()
        is_behind = known.version < version or known.stamp < stamp
        if is_behind or (is_new and len(self.peers) <= _ANSWER_NEW_UP_TO):
            # It learns of this daemon, or that there is something newer.
            self.announce((known,))

    def _is_ahead(self, known: Peer) -> bool:
        version, stamp = self._library.versions()
        return known.version > version or known.stamp > stamp

    def _fetch(self, known: Peer) -> None:
        if known.zone == self._own.zone:
            self._source = known
            self._same_zone_found.set()
        elif not self._same_zone_found.is_set():
            self._source = known
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._fetch_newer())

    async def _fetch_newer(self) -> None:
        version, _stamp = self._library.versions()
        if version:
            # A daemon without a configuration can't serve and doesn't wait.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(_SAME_ZONE_WAIT)):
                    await self._same_zone_found.wait()
        known, self._source = self._source, None
        self._same_zone_found.clear()
        if known is None or not self._is_ahead(known):
            return
        try:
            await fetch(known.address, self._library)
        except PeerError as exc:
            _log.info('Nothing fetched from {}: {}', known.name, exc)
        await asyncio.sleep(seconds(_FETCH_PAUSE))


def _follows_nothing() -> bool:
    """Return ``False``; stands in until somebody follows the store."""
    return False
