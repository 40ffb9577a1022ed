"""Dissemination of configuration versions among daemons.

The highest version wins and is never replaced by a lower one. A few daemons
read the store; the others learn from their peers.
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

#: Key of the current document in the platform's table service.
CONFIGURATION_KEY = 'configuration'

#: How many digests of earlier versions are remembered.
_DIGEST_LIMIT = 64
#: How many peers that announced a newer version are remembered.
_SOURCE_LIMIT = 4
#: Documents sent per ``compare_interval``; a peer that gets none asks another.
_SEND_LIMIT = 32
#: Largest accepted document after decompression.
_SIZE_LIMIT = 16 * 1024 * 1024


@attrs.frozen
class VersionSeen:
    """A peer announced its version."""

    version: int
    peer: str


@attrs.frozen
class FetchRequested:
    """A peer asks for the document if it is newer than ``version``."""

    version: int
    peer: str


@attrs.frozen
class DocumentReceived:
    """A peer sent a document, as :class:`SendDocument` carried it."""

    version: int
    document: bytes


@attrs.frozen
class StoreRead:
    """The store answered.

    :param version: The stored version, 0 if there is none.
    :param document: The document, or ``None`` if it was not read.
    """

    version: int
    document: bytes | None = None


@attrs.frozen
class StoreFailed:
    """The store did not answer."""


@attrs.frozen
class PeersChanged:
    """The usable hosts changed."""

    hosts: tuple[Host, ...]


@attrs.frozen
class Tick:
    """Time has passed."""


Event: TypeAlias = (
    VersionSeen
    | FetchRequested
    | DocumentReceived
    | StoreRead
    | StoreFailed
    | PeersChanged
    | Tick
)


@attrs.frozen
class SendAnnounce:
    """Tell a peer the version in force."""

    peer: str
    version: int


@attrs.frozen
class FetchFrom:
    """Ask a peer for its document if it is newer than ``version``."""

    peer: str
    version: int


@attrs.frozen
class SendDocument:
    """Send a peer the compressed document."""

    peer: str
    version: int
    document: bytes = attrs.field(repr=False)


@attrs.frozen
class ReadStore:
    """Read the document from the store."""


@attrs.frozen
class InForce:
    """A version is in force from now on.

    :param version: The version.
    :param document: The document, not compressed.
    """

    version: int
    document: bytes = attrs.field(repr=False)


Command: TypeAlias = (
    SendAnnounce | FetchFrom | SendDocument | ReadStore | InForce
)


class Spread:
    """Keeps one daemon's configuration version.

    :param own: Address of this daemon.
    :param rules: Times and numbers.
    :param rng: Source of random choices.
    """

    def __init__(
        self, own: str, rules: SpreadRules, rng: random.Random
    ) -> None:
        self.version = 0
        self.refused = 0
        self._own = own
        self._rules = rules
        self._rng = rng
        self._hosts: tuple[Host, ...] = ()
        self._peers: tuple[str, ...] = ()
        self._packed = b''
        self._digests: dict[int, str] = {}
        self._sources: dict[str, int] = {}
        self._fetch_until: Millis | None = None
        self._is_reader = False
        self._read_at: Millis | None = None
        self._read_wait = rules.start_wait
        self._compare_at: Millis | None = None
        self._sent = 0

    def handle(self, event: Event, now: Millis) -> list[Command]:
        """Take an event into account.

        :param event: What happened.
        :param now: When.
        :returns: What is to be done, in order.
        """
        return list(self._dispatch(event, now))

    def _dispatch(self, event: Event, now: Millis) -> Iterator[Command]:
        match event:
            case VersionSeen(version, peer):
                yield from self._see(version, peer, now)
            case FetchRequested(version, peer):
                yield from self._send(version, peer)
            case DocumentReceived(version, packed):
                yield from self._receive(version, packed)
            case StoreRead(version, document):
                yield from self._take(version, document)
            case StoreFailed():
                self._back_off(now)
            case PeersChanged(hosts):
                self._set_hosts(hosts, now)
            case Tick():
                yield from self._tick(now)

    def _see(self, version: int, peer: str, now: Millis) -> Iterator[Command]:
        if version < self.version:
            yield SendAnnounce(peer, self.version)
        elif version > self.version:
            self._sources.pop(peer, None)
            self._sources[peer] = version
            if len(self._sources) > _SOURCE_LIMIT:
                self._sources.pop(next(iter(self._sources)))
            if self._fetch_until is None:
                yield self._fetch(peer, now)

    def _fetch(self, peer: str, now: Millis) -> FetchFrom:
        self._fetch_until = Millis(now + self._rules.fetch_timeout)
        return FetchFrom(peer, self.version)

    def _send(self, version: int, peer: str) -> Iterator[Command]:
        if version < self.version and self._sent < _SEND_LIMIT:
            self._sent += 1
            yield SendDocument(peer, self.version, self._packed)

    def _receive(self, version: int, packed: bytes) -> Iterator[Command]:
        if version > self.version:
            try:
                document = _unpack(packed)
            except zlib.error:
                self.refused += 1
                return
            yield from self._take(version, document)
        elif version in self._digests:
            self._check_again(version, packed)

    def _check_again(self, version: int, packed: bytes) -> None:
        """Count a second document of a known version that differs."""
        try:
            header = read_header(_unpack(packed))
        except (zlib.error, ConfigurationError):
            self.refused += 1
            return
        if header.digest != self._digests[version]:
            self.refused += 1

    def _take(self, version: int, document: bytes | None) -> Iterator[Command]:
        if document is None or version <= self.version:
            return
        try:
            header = read_header(document)
        except ConfigurationError:
            self.refused += 1
            return
        known = self._digests.get(version, header.digest)
        if header.version != version or header.digest != known:
            self.refused += 1
            return
        yield from self._adopt(version, header.digest, document)

    def _adopt(
        self, version: int, digest: str, document: bytes
    ) -> Iterator[Command]:
        self.version = version
        self._packed = zlib.compress(document)
        self._digests[version] = digest
        if len(self._digests) > _DIGEST_LIMIT:
            self._digests.pop(next(iter(self._digests)))
        self._fetch_until = None
        self._sources = {
            peer: seen for peer, seen in self._sources.items() if seen > version
        }
        yield InForce(version, document)
        for peer in self._some_peers(self._rules.fan_out):
            yield SendAnnounce(peer, version)

    def _some_peers(self, count: int) -> list[str]:
        return self._rng.sample(self._peers, min(count, len(self._peers)))

    def _set_hosts(self, hosts: tuple[Host, ...], now: Millis) -> None:
        self._hosts = hosts
        self._peers = tuple(
            host.address for host in hosts if host.address != self._own
        )
        readers = placement.holders(
            CONFIGURATION_KEY, hosts, self._rules.readers
        )
        was_reader = self._is_reader
        self._is_reader = any(host.address == self._own for host in readers)
        if self._is_reader and not was_reader:
            self._read_at = now

    def _tick(self, now: Millis) -> Iterator[Command]:
        yield from self._tick_compare(now)
        yield from self._tick_fetch(now)
        yield from self._tick_store(now)

    def _tick_compare(self, now: Millis) -> Iterator[Command]:
        interval = self._rules.compare_interval
        if self._compare_at is None:
            # A random phase keeps daemons that start together apart.
            self._compare_at = Millis(now + self._rng.randrange(interval))
        if now >= self._compare_at:
            self._compare_at = Millis(now + interval)
            self._sent = 0
            for peer in self._some_peers(1):
                yield SendAnnounce(peer, self.version)

    def _tick_fetch(self, now: Millis) -> Iterator[Command]:
        if self._fetch_until is None or now < self._fetch_until:
            return
        self._fetch_until = None
        if self._sources:
            peer = next(iter(self._sources))
            # The next attempt asks another peer, if there is one.
            version = self._sources.pop(peer)
            yield self._fetch(peer, now)
            if not self._sources:
                self._sources[peer] = version

    def _tick_store(self, now: Millis) -> Iterator[Command]:
        if self._read_at is None:
            self._read_at = Millis(now + self._jittered(self._read_wait))
        if now < self._read_at:
            return
        if self._is_reader:
            self._read_at = Millis(now + self._rules.read_interval)
            yield ReadStore()
        elif self.version == 0 and not self._sources:
            self._back_off(now)
            yield ReadStore()

    def _back_off(self, now: Millis) -> None:
        if self._is_reader:
            return
        limit = self._rules.backoff_limit
        self._read_wait = min(self._read_wait * 2, limit)
        self._read_at = Millis(now + self._jittered(self._read_wait))

    def _jittered(self, duration: int) -> int:
        return duration // 2 + self._rng.randrange(duration)


def _unpack(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    document = unpacker.decompress(packed, _SIZE_LIMIT)
    if not unpacker.eof:
        raise zlib.error('truncated or too large')
    return document
