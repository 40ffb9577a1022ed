"""Gossip of configuration versions among daemons.

The highest version wins and is never replaced by a lower one. A few daemons,
the readers, poll the store; all others learn of new versions from their peers.
The state machine here does no input or output: it maps events to commands.
"""

import random
import zlib
from collections.abc import Iterator
from typing import TypeAlias

import attrs

from monsoonproxy import placement
from monsoonproxy.clock import Millis
from monsoonproxy.configuration import read_header
from monsoonproxy.declarations import SpreadRules
from monsoonproxy.exceptions import ConfigurationError
from monsoonproxy.models import Host

#: Key of the current document in the platform's table service; the daemons
#: placed on it are the readers.
CONFIGURATION_KEY = 'configuration'

#: Digests of accepted versions to keep, for recognising conflicting documents.
_MAX_DIGESTS = 64
#: Peers to remember that announced a newer version.
_MAX_ANNOUNCERS = 4
#: Documents sent per ``compare_interval``. A peer that gets none asks another.
_MAX_SENDS = 32
#: Largest accepted document after decompression, in bytes.
_MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


@attrs.frozen
class VersionAnnounced:
    """A peer announced the version that it has in force."""

    version: int
    peer: str


@attrs.frozen
class ChangeNotified:
    """``monsoonctl`` announced a new version that is in the store."""

    version: int


@attrs.frozen
class FetchRequested:
    """A peer requested the document if it is newer than ``version``."""

    version: int
    peer: str


@attrs.frozen
class DocumentReceived:
    """A peer sent a compressed document, as :class:`SendDocument` has it."""

    version: int
    document: bytes


@attrs.frozen
class StoreRead:
    """A read of the store succeeded.

    :param version: The stored version, 0 if there is none.
    :param document: The document, or ``None`` if it was not read.
    """

    version: int
    document: bytes | None = None


@attrs.frozen
class StoreFailed:
    """A read of the store failed."""


@attrs.frozen
class PeersChanged:
    """The set of usable hosts, including this one, changed."""

    hosts: tuple[Host, ...]


@attrs.frozen
class Tick:
    """Timers are to be checked."""


Event: TypeAlias = (
    VersionAnnounced
    | ChangeNotified
    | FetchRequested
    | DocumentReceived
    | StoreRead
    | StoreFailed
    | PeersChanged
    | Tick
)


@attrs.frozen
class SendAnnouncement:
    """Announce the version in force to a peer."""

    peer: str
    version: int


@attrs.frozen
class FetchFrom:
    """Request a peer's document if it is newer than ``version``."""

    peer: str
    version: int


@attrs.frozen
class SendDocument:
    """Send the compressed document to a peer."""

    peer: str
    version: int
    document: bytes = attrs.field(repr=False)


@attrs.frozen
class ReadStore:
    """Read the stored version and document."""


@attrs.frozen
class PutInForce:
    """Apply a configuration version.

    :param version: The version.
    :param document: The uncompressed document.
    """

    version: int
    document: bytes = attrs.field(repr=False)


@attrs.frozen
class WriteBack:
    """Write the document in force to the store, which has an older one.

    :param document: The uncompressed document.
    """

    document: bytes = attrs.field(repr=False)


Command: TypeAlias = (
    SendAnnouncement
    | FetchFrom
    | SendDocument
    | ReadStore
    | PutInForce
    | WriteBack
)


class ConfigurationGossip:
    """Tracks and spreads the configuration version of one daemon.

    :param own: Address of this daemon.
    :param rules: Intervals, fan-out and number of readers.
    :param rng: Chooses peers and jitter.
    """

    def __init__(
        self, own: str, rules: SpreadRules, rng: random.Random
    ) -> None:
        self.version = 0
        self.refused = 0
        self._own = own
        self.rules = rules
        self._rng = rng
        self._hosts: tuple[Host, ...] = ()
        self._peers: tuple[str, ...] = ()
        self._compressed = b''
        self._digests: dict[int, str] = {}
        self._announcers: dict[str, int] = {}
        self._fetch_peer = ''
        self._fetch_deadline: Millis | None = None
        self._is_reader = False
        self._read_at: Millis | None = None
        self._read_delay = rules.start_wait
        self._compare_at: Millis | None = None
        self._sends = 0
        self._announce_at: Millis | None = None
        self._announce_rounds_left = 0

    @property
    def due_at(self) -> Millis:
        """Return when the next :class:`Tick` has an effect.

        :returns: The time, 0 before the first tick.
        """
        if self._compare_at is None:
            return Millis(0)
        times = (
            self._compare_at,
            self._read_at,
            self._fetch_deadline,
            self._announce_at,
        )
        return min(moment for moment in times if moment is not None)

    def handle(self, event: Event, now: Millis) -> list[Command]:
        """Update the state for an event.

        :param event: The event.
        :param now: The current time.
        :returns: Commands to run, in order.
        """
        return list(self._dispatch(event, now))

    def _dispatch(self, event: Event, now: Millis) -> Iterator[Command]:
        match event:
            case VersionAnnounced(version, peer):
                yield from self._compare_versions(version, peer, now)
            case FetchRequested(version, peer):
                yield from self._send_document(version, peer)
            case DocumentReceived(version, compressed):
                yield from self._receive(version, compressed, now)
            case Tick():
                yield from self._tick(now)
            case _:
                yield from self._dispatch_local(event, now)

    def _dispatch_local(self, event: Event, now: Millis) -> Iterator[Command]:
        match event:
            case ChangeNotified(version) if version > self.version:
                yield ReadStore()
            case StoreRead(version, document):
                yield from self._accept(version, document, now)
                if version < self.version and self._is_reader:
                    # The store was restored from an older copy.
                    yield WriteBack(zlib.decompress(self._compressed))
            case StoreFailed() if self.version == 0:
                self._back_off(now)
            case PeersChanged(hosts):
                self._set_hosts(hosts, now)

    def _compare_versions(
        self, version: int, peer: str, now: Millis
    ) -> Iterator[Command]:
        if version < self.version:
            # An announcement first would need three messages to arrive instead
            # of one.
            yield from self._send_document(version, peer)
        elif version > self.version:
            self._remember_announcer(version, peer)
            if self._fetch_deadline is None:
                yield self._fetch(peer, now)

    def _remember_announcer(self, version: int, peer: str) -> None:
        self._announcers.pop(peer, None)
        self._announcers[peer] = version
        if len(self._announcers) > _MAX_ANNOUNCERS:
            self._announcers.pop(next(iter(self._announcers)))

    def _fetch(self, peer: str, now: Millis) -> FetchFrom:
        self._fetch_peer = peer
        self._fetch_deadline = Millis(now + self.rules.fetch_timeout)
        return FetchFrom(peer, self.version)

    def _send_document(self, version: int, peer: str) -> Iterator[Command]:
        if version < self.version and self._sends < _MAX_SENDS:
            self._sends += 1
            yield SendDocument(peer, self.version, self._compressed)

    def _receive(
        self, version: int, compressed: bytes, now: Millis
    ) -> Iterator[Command]:
        if version < self.version and version not in self._digests:
            return
        try:
            document = _decompress(compressed)
        except zlib.error:
            self.refused += 1
            return
        yield from self._accept(version, document, now, compressed)

    def _accept(
        self,
        version: int,
        document: bytes | None,
        now: Millis,
        compressed: bytes = b'',
    ) -> Iterator[Command]:
        if document is None:
            return
        try:
            header = read_header(document)
        except ConfigurationError:
            self.refused += 1
            return
        known = self._digests.get(version, header.digest)
        if header.version != version or header.digest != known:
            self.refused += 1
        elif version > self.version:
            self._compressed = compressed or zlib.compress(document)
            self._digests[version] = header.digest
            yield from self._put_in_force(version, document, now)

    def _put_in_force(
        self, version: int, document: bytes, now: Millis
    ) -> Iterator[Command]:
        self.version = version
        if len(self._digests) > _MAX_DIGESTS:
            self._digests.pop(next(iter(self._digests)))
        self._fetch_deadline = None
        self._announcers = {
            peer: seen
            for peer, seen in self._announcers.items()
            if seen > version
        }
        yield PutInForce(version, document)
        self._announce_rounds_left = self.rules.announce_rounds
        yield from self._announce(now)

    def _announce(self, now: Millis) -> Iterator[Command]:
        # A single round dies out at 30% message loss: of 3 peers that are sent
        # an announcement, 1 gets the document.
        self._announce_rounds_left -= 1
        interval = self.rules.announce_interval
        self._announce_at = (
            Millis(now + interval) if self._announce_rounds_left else None
        )
        for peer in self._sample_peers(self.rules.fan_out):
            yield SendAnnouncement(peer, self.version)

    def _sample_peers(self, count: int) -> list[str]:
        return self._rng.sample(self._peers, min(count, len(self._peers)))

    def _set_hosts(self, hosts: tuple[Host, ...], now: Millis) -> None:
        self._hosts = hosts
        self._peers = tuple(
            host.address for host in hosts if host.address != self._own
        )
        readers = placement.holders(
            CONFIGURATION_KEY, hosts, self.rules.readers
        )
        was_reader = self._is_reader
        self._is_reader = any(host.address == self._own for host in readers)
        if self._is_reader and not was_reader:
            self._read_at = now
        elif self._is_reader != was_reader and self.version:
            self._read_at = None

    def _tick(self, now: Millis) -> Iterator[Command]:
        if self._compare_at is None:
            # A random phase spreads the comparisons of daemons that started
            # at the same time.
            phase = self._rng.randrange(self.rules.compare_interval)
            self._compare_at = Millis(now + phase)
            if self._read_at is None:
                self._read_at = self._jittered(now)
        if now >= self._compare_at:
            self._compare_at = Millis(now + self.rules.compare_interval)
            self._sends = 0
            for peer in self._sample_peers(1):
                yield SendAnnouncement(peer, self.version)
        yield from self._check_fetch_deadline(now)
        if _is_due(self._announce_at, now):
            yield from self._announce(now)
        if _is_due(self._read_at, now):
            yield from self._handle_read_due(now)

    def _check_fetch_deadline(self, now: Millis) -> Iterator[Command]:
        if self._fetch_deadline is None or now < self._fetch_deadline:
            return
        self._fetch_deadline = None
        if len(self._announcers) > 1:
            self._announcers.pop(self._fetch_peer, None)
        for peer in list(self._announcers)[:1]:
            yield self._fetch(peer, now)

    def _handle_read_due(self, now: Millis) -> Iterator[Command]:
        if self._is_reader:
            self._read_at = Millis(now + self.rules.read_interval)
            yield ReadStore()
        elif self.version == 0:
            self._back_off(now)
            if not self._announcers:
                yield ReadStore()
        else:
            self._read_at = None

    def _back_off(self, now: Millis) -> None:
        if not self._is_reader:
            limit = self.rules.backoff_limit
            self._read_delay = min(self._read_delay * 2, limit)
            self._read_at = self._jittered(now)

    def _jittered(self, now: Millis) -> Millis:
        wait = self._read_delay
        return Millis(now + wait // 2 + self._rng.randrange(wait))


def _is_due(moment: Millis | None, now: Millis) -> bool:
    return moment is not None and moment <= now


def _decompress(compressed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    document = unpacker.decompress(compressed, _MAX_DOCUMENT_BYTES)
    if not unpacker.eof:
        raise zlib.error('document is truncated or exceeds the size limit')
    return document
