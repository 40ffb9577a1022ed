"""Sends and receives notices between daemons."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from monsoonproxy import notices
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import PeerError
from monsoonproxy.logs import log_for
from monsoonproxy.neighbours import Neighbour, Neighbours

_log = log_for('gossip')

#: Time in ms between two rounds of presences; each round tells the part of
#: the daemons whose turn it is.
_ROUND = Millis(250)
#: Daemons that are told of news at once; they tell others.
FANOUT = 8
#: Time in ms to fetch a configuration from another daemon.
_FETCH_TIMEOUT = Millis(1_500)
#: Pause in ms between two fetches, whoever has something newer.
_FETCH_PAUSE = Millis(200)
#: Greatest size in bytes of a fetched document.
_MAX_DOCUMENT = 8 * 1024 * 1024

Handle = Callable[[Any, str], None]


class Gossip(asyncio.DatagramProtocol):
    """The socket for notices, and what is told to everybody.

    :param own: This daemon, as others see it.
    :param neighbours: The other daemons.
    :param clock: Source of time.
    """

    def __init__(
        self, own: Neighbour, neighbours: Neighbours, clock: Clock
    ) -> None:
        self.name = own.name
        self.neighbours = neighbours
        self.leaving = False
        #: Returns version and document of the configuration in force.
        self.document: Callable[[], tuple[int, bytes]] = _nothing
        #: Takes a document that another daemon has in force.
        self.take_document: Callable[[bytes], None] = _ignore
        #: Handlers of further notices, by type.
        self.handlers: dict[type, Handle] = {}
        self._own = own
        self._clock = clock
        self._transport: Any = None
        self._server: asyncio.Server | None = None
        self._fetching: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the sockets."""
        host, port = self._own.address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._server = await loop.create_server(
            lambda: _DocumentSender(self.document), host, int(port)
        )

    async def run(self) -> None:
        """Tell some daemons of this one, again and again."""
        self.announce(self.neighbours.all())
        turn: float = 0
        while True:
            await asyncio.sleep(seconds(_ROUND))
            known = self.neighbours.all()
            last = turn + len(known) * _ROUND / self.neighbours.interval
            self.announce(known[int(turn) : int(last)])
            turn = last if last < len(known) else 0

    def close(self) -> None:
        """Close the sockets."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def announce(self, receivers: tuple[Neighbour, ...]) -> None:
        """Send this daemon's presence.

        :param receivers: To whom.
        """
        own = self._own
        version, _document = self.document()
        presence = notices.Presence(
            own.name,
            own.address,
            own.relay,
            own.zone,
            own.started,
            version,
            self.leaving,
        )
        self.send(presence, *(known.address for known in receivers))

    def send(self, notice: notices.Notice, *addresses: str) -> None:
        """Send a notice.

        :param notice: The notice.
        :param addresses: To whom.
        """
        if self._transport is None or self._transport.is_closing():
            return
        datagram = notices.encode(notice)
        for address in addresses:
            host, port = address.rsplit(':', 1)
            self._transport.sendto(datagram, (host, int(port)))

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a notice."""
        notice = notices.decode(data)
        if notice is None:
            _log.debug('Malformed notice from {}', addr)
        elif isinstance(notice, notices.Presence):
            self._take_presence(notice)
        else:
            handle = self.handlers.get(type(notice))
            if handle is not None:
                handle(notice, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams; they may be lost anyway."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport."""
        self._transport = None

    def _take_presence(self, presence: notices.Presence) -> None:
        now = self._clock.now()
        is_new = self.neighbours.heard(presence, now)
        known = self.neighbours.get(presence.sender)
        if known is None:
            return
        version, _document = self.document()
        if known.version > version:
            self._fetch(known)
        if is_new or known.version < version:
            # It learns of this daemon, or that there is something newer.
            self.announce((known,))

    def _fetch(self, known: Neighbour) -> None:
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._fetch_from(known))

    async def _fetch_from(self, known: Neighbour) -> None:
        try:
            document = await fetch(known.address)
        except PeerError as exc:
            _log.info('Nothing fetched from {}: {}', known.name, exc)
        else:
            self.take_document(document)
        await asyncio.sleep(seconds(_FETCH_PAUSE))


class _DocumentSender(asyncio.Protocol):
    """Sends the document and closes."""

    def __init__(self, document: Callable[[], tuple[int, bytes]]) -> None:
        self._document = document

    def connection_made(self, transport: Any) -> None:
        transport.write(self._document()[1])
        transport.close()


async def fetch(address: str) -> bytes:
    """Fetch the configuration that another daemon has in force.

    :param address: ``ip:port`` of the daemon.
    :returns: The document.
    :raises PeerError: If it can't be fetched in time.
    """
    host, port = address.rsplit(':', 1)
    try:
        async with asyncio.timeout(seconds(_FETCH_TIMEOUT)):
            reader, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                document = await reader.read(_MAX_DOCUMENT)
                while chunk := await reader.read(_MAX_DOCUMENT):
                    document += chunk
    except (OSError, TimeoutError) as exc:
        raise PeerError(f'{address}: {exc!r}') from exc
    return document


def _nothing() -> tuple[int, bytes]:
    return 0, b''


def _ignore(_document: bytes) -> None:
    """Do nothing; stands in until somebody takes documents."""
