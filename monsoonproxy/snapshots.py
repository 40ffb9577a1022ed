"""Snapshots that daemons fetch from each other over TCP.

A snapshot holds the configuration and the backend servers' entries. The
request has its length in front; the reply ends when the connection is closed.
"""

import asyncio
import contextlib
import zlib
from typing import Any, Protocol

import msgspec

from monsoonproxy.clock import Millis, seconds
from monsoonproxy.decoding import DECODE_ERRORS
from monsoonproxy.exceptions import PeerError
from monsoonproxy.stores import Revision

#: Time limit in ms of fetching a snapshot.
_TIMEOUT = Millis(1_500)
#: Time limit in ms of serving one, for links of 5 Mbit/s.
_SERVER_TIMEOUT = Millis(5_000)
#: Maximum size in bytes of a decompressed document, and of one read.
_MAX_BYTES = 8 * 1024 * 1024
#: Size in bytes of the length in front of a request.
#: Errors while a snapshot is fetched and decoded.
_FETCH_ERRORS = (OSError, TimeoutError, *DECODE_ERRORS)
_LENGTH_BYTES = 4
#: Connections that are answered at once, and greatest size of a request: this
#: port can be reached by others than daemons.
_MAX_CONNECTIONS = 64
_MAX_REQUEST_BYTES = 1024
#: Compression level of zlib; this one takes 6 ms for 2,000 routes.
_FAST_COMPRESSION = 1


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a snapshot, with the versions that the sender has.

    :param version: Version of the sender's configuration.
    :param stamp: Version of the sender's entries of backend servers.
    :param era: Era of the store that ``stamp`` belongs to.
    """

    version: int
    stamp: int
    era: int = 0

    @property
    def revision(self) -> Revision:
        """Return the revision of the sender's entries."""
        return Revision(self.era, self.stamp)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """What is newer than the versions in a :class:`SnapshotRequest`.

    :param configuration: The compressed configuration document; empty if the
        receiver's is as new.
    :param stamp: Version of the entries, or 0 if there are none.
    :param entries: All entries, from :func:`compress_entries`.
    :param era: Era of the store that ``stamp`` belongs to.
    :param lapsed: Identities of backend servers whose entries the store lacks,
        and that are dropped soon unless it has them again.
    """

    configuration: bytes = b''
    stamp: int = 0
    entries: bytes = b''
    era: int = 0
    lapsed: list[str] = []

    @property
    def revision(self) -> Revision:
        """Return the revision of the entries."""
        return Revision(self.era, self.stamp)


def compress(document: bytes) -> bytes:
    """Compress a document, for hosts with slow network links.

    :param document: The document.
    :returns: The compressed document; JSON shrinks to about a tenth.
    """
    return zlib.compress(document, _FAST_COMPRESSION)


def decompress(compressed: bytes) -> bytes:
    """Decompress a document that a peer sent.

    :param compressed: The compressed document.
    :returns: The document.
    :raises PeerError: If it is damaged, truncated or larger than 8 MiB.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, _MAX_BYTES)
    except zlib.error as exc:
        raise PeerError(f'compressed document is damaged: {exc}') from exc
    if not decompressor.eof:
        raise PeerError(
            'compressed document is truncated, or has more than '
            f'{_MAX_BYTES} bytes'
        )
    return document


def compress_entries(entries: dict[str, bytes]) -> bytes:
    """Encode and compress the backend servers' entries.

    :param entries: Entries as stored, by identity of the backend server.
    :returns: The compressed entries.
    """
    return compress(msgspec.msgpack.encode(entries))


def decompress_entries(compressed: bytes) -> dict[str, bytes]:
    """Decompress and decode the backend servers' entries.

    :param compressed: The compressed entries.
    :returns: Entries as stored, by identity of the backend server.
    :raises PeerError: If they are damaged, truncated or larger than 8 MiB.
    """
    try:
        return msgspec.msgpack.decode(
            decompress(compressed), type=dict[str, bytes]
        )
    except DECODE_ERRORS as exc:
        raise PeerError(f'malformed entries of backend servers: {exc}') from exc


class SnapshotStore(Protocol):
    """Configuration and entries of a daemon, as its peers fetch them."""

    def versions(self) -> tuple[int, Revision]:
        """Return version of the configuration and revision of the entries."""

    def newer_than(self, request: SnapshotRequest) -> Snapshot:
        """Return what is newer than the versions of a request."""

    def apply(self, snapshot: Snapshot) -> None:
        """Apply the newer parts of a snapshot from a peer."""


class SnapshotServer(asyncio.Protocol):
    """Answers one snapshot request and closes the connection.

    :param snapshots: Configuration and entries of this daemon.
    :param connections: All open connections, of which there may be some only.
    """

    def __init__(
        self,
        snapshots: SnapshotStore,
        connections: 'set[SnapshotServer] | None' = None,
    ) -> None:
        self._snapshots = snapshots
        self._connections = connections if connections is not None else set()
        self._received = b''
        self._transport: Any = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport that the reply is written to."""
        self._transport = transport
        if len(self._connections) >= _MAX_CONNECTIONS:
            transport.abort()
            return
        self._connections.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds(_SERVER_TIMEOUT), transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the place of the connection."""
        self._connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Reply once the request is complete; ignore a malformed one."""
        self._received += data
        if len(self._received) > _MAX_REQUEST_BYTES:
            self._transport.abort()
            return
        size = int.from_bytes(self._received[:_LENGTH_BYTES], 'big')
        body = self._received[_LENGTH_BYTES:]
        if len(self._received) < _LENGTH_BYTES or len(body) < size:
            return
        with contextlib.suppress(*DECODE_ERRORS):
            request = msgspec.msgpack.decode(body, type=SnapshotRequest)
            snapshot = self._snapshots.newer_than(request)
            self._transport.write(msgspec.msgpack.encode(snapshot))
        self._transport.close()


async def fetch(address: str, snapshots: SnapshotStore) -> None:
    """Fetch a snapshot from a peer and apply it.

    :param address: ``ip:port`` of the peer.
    :param snapshots: Configuration and entries of this daemon.
    :raises PeerError: If the peer does not answer in time, or what it sends
        can't be decoded.
    """
    version, known = snapshots.versions()
    request = msgspec.msgpack.encode(
        SnapshotRequest(version, known.version, known.era)
    )
    try:
        async with asyncio.timeout(seconds(_TIMEOUT)):
            answer = await _call(address, request)
        snapshot = msgspec.msgpack.decode(answer, type=Snapshot)
    except _FETCH_ERRORS as exc:
        raise PeerError(f'{address}: {exc!r}') from exc
    snapshots.apply(snapshot)


async def _call(address: str, request: bytes) -> bytes:
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.closing(writer):
        writer.write(len(request).to_bytes(_LENGTH_BYTES, 'big') + request)
        answer = b''
        while chunk := await reader.read(_MAX_BYTES):
            answer += chunk
            if len(answer) > _MAX_BYTES:
                raise PeerError(f'{address}: snapshot over {_MAX_BYTES} bytes')
    return answer
