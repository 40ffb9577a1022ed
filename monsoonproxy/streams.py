"""Packet framing of the MySQL protocol on one caller connection."""

import asyncio
import ssl
import struct
from typing import Any, Protocol

import attrs

from monsoonproxy.exceptions import MonsoonError

#: Longest payload of one frame; a longer packet continues in the next frame.
MAX_FRAME_BYTES = 0xFFFFFF
#: Most unread bytes that are buffered while a command is in work.
READ_AHEAD_BYTES = 65_536
#: Size of the output buffer from which it is sent in the middle of an answer.
FLUSH_BYTES = 32_768
_HEADER_BYTES = 4
_SEQUENCE_NUMBERS = 256


class PacketError(MonsoonError):
    """The bytes of a caller don't form a valid packet.

    :param code: The MySQL error code to answer with.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class ConnectionGoneError(MonsoonError):
    """The caller has closed the connection."""


class StreamListener(Protocol):
    """What a stream reports to."""

    def connection_opened(self) -> None:
        """Start; the connection is made."""

    def data_available(self) -> None:
        """Read; data has arrived."""

    def connection_closed(self) -> None:
        """Clean up; the connection is lost."""


@attrs.define(eq=False)
class PacketWriter(asyncio.Protocol):
    """Writes packets.

    :param listener: Is told what happens.
    :param limit: Greatest size of a packet that is read.
    """

    listener: StreamListener
    limit: int
    transport: Any = None
    closed: bool = False
    closing: bool = False
    _sequence: int = 0
    _output: bytearray | None = None
    _write_waiter: asyncio.Future[None] | None = None

    def pause_writing(self) -> None:
        """Let writers wait until the caller has read enough."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        _wake(self._write_waiter)
        self._write_waiter = None

    def put(self, *packets: bytes) -> None:
        """Frame packets into the output buffer.

        :param packets: The payloads.
        """
        if self._output is None:
            self._output = bytearray()
        output = self._output
        sequence = self._sequence
        for payload in packets:
            size = len(payload)
            if size >= MAX_FRAME_BYTES:
                sequence = _put_frames(output, payload, sequence)
                continue
            output += (size | sequence << 24).to_bytes(4, 'little')
            output += payload
            sequence = (sequence + 1) % _SEQUENCE_NUMBERS
        self._sequence = sequence

    async def drain(self) -> None:
        """Send the output buffer; wait while the caller reads too slowly.

        :raises ConnectionGoneError: If the caller has gone.
        """
        self.flush()
        if self._write_waiter is not None:
            await self._write_waiter
        if self.closed:
            raise ConnectionGoneError('the caller closed the connection')

    async def drain_if_full(self) -> None:
        """Send the output buffer once it is large."""
        if self._output is not None and len(self._output) >= FLUSH_BYTES:
            await self.drain()

    def flush(self) -> None:
        """Hand the output buffer to the transport."""
        if self._output is not None:
            if not self.closed:
                self.transport.write(self._output)
            self._output = None

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Write a packet, in the way that ``mysql_mimic`` asks for it.

        :param data: The payload.
        :param drain: Whether to send it at once.
        """
        self.put(data)
        if drain:
            await self.drain()

    def put_answer(self, packet: bytes) -> None:
        """Put a packet that the caller takes for the answer to its next one.

        :param packet: The payload.
        """
        self._sequence = 1
        self.put(packet)

    def finish_writing(self) -> None:
        """Send what is buffered and tell the caller that nothing follows."""
        self.flush()
        if not self.closed and self.transport.can_write_eof():
            self.transport.write_eof()

    def reset_seq(self) -> None:
        """Start the sequence numbers of the next command."""
        self._sequence = 0

    def close(self) -> None:
        """Send what is buffered and close the connection."""
        self.flush()
        self.closing = True
        self.transport.close()


@attrs.define(eq=False)
class PacketStream(PacketWriter):
    """Reads and writes packets.

    It keeps no buffer while the connection is idle, and it does not need a
    task that waits for the next packet.

    :param listener: Is told what happens.
    :param limit: Greatest size of a packet.
    """

    _input: bytearray | None = None
    _read_waiter: asyncio.Future[None] | None = None
    _reading_paused: bool = False
    _partial_packet: list[bytes] | None = None

    def connection_made(self, transport: Any) -> None:
        """Start on a new transport.

        :param transport: The transport.
        """
        first = self.transport is None
        self.transport = transport
        if first:
            self.listener.connection_opened()

    def data_received(self, data: bytes) -> None:
        """Buffer what the caller sent.

        :param data: The bytes.
        """
        if self._input is None:
            self._input = bytearray(data)
        else:
            self._input += data
        if self._read_waiter is not None:
            _wake(self._read_waiter)
        elif len(self._input) > READ_AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self.listener.data_available()

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake whoever waits for the caller.

        :param exc: Why the connection was lost.
        """
        self.closed = True
        _wake(self._read_waiter)
        _wake(self._write_waiter)
        self.listener.connection_closed()

    @property
    def has_input(self) -> bool:
        """Whether bytes are waiting.

        :returns: ``True`` if there are unread bytes.
        """
        return self._input is not None

    async def read(self) -> bytes:
        """Read the next packet.

        :returns: Its payload.
        :raises ConnectionGoneError: If the caller has gone.
        """
        while True:
            packet = self._take_packet()
            if packet is not None:
                return packet
            if self.closed:
                raise ConnectionGoneError('the caller closed the connection')
            await self._wait_for_data()

    def _take_packet(self) -> bytes | None:
        buffered = self._input
        if buffered is None or len(buffered) < _HEADER_BYTES:
            return None
        size = int.from_bytes(buffered[:3], 'little')
        self._check_header(size, buffered[3])
        end = size + _HEADER_BYTES
        if len(buffered) < end:
            return None
        payload = bytes(memoryview(buffered)[_HEADER_BYTES:end])
        self._consume(buffered, end)
        self._sequence = (self._sequence + 1) % _SEQUENCE_NUMBERS
        if size == MAX_FRAME_BYTES:
            self._partial_packet = [*(self._partial_packet or ()), payload]
            return self._take_packet()
        if self._partial_packet is not None:
            payload = b''.join((*self._partial_packet, payload))
            self._partial_packet = None
        return payload

    def _consume(self, buffered: bytearray, end: int) -> None:
        left = len(buffered) - end
        if left:
            del buffered[:end]
        else:
            self._input = None
        if left <= READ_AHEAD_BYTES:
            self._resume_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and not self.closed:
            self._reading_paused = False
            self.transport.resume_reading()

    def _check_header(self, size: int, sequence: int) -> None:
        if sequence != self._sequence:
            raise PacketError(
                1156,
                f'packet {sequence} instead of {self._sequence}',
            )
        if size + sum(map(len, self._partial_packet or ())) > self.limit:
            raise PacketError(
                1153,
                f'a packet is larger than the limit of {self.limit} bytes',
            )

    async def _wait_for_data(self) -> None:
        self._resume_reading()
        self._read_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Change to TLS.

        :param context: The server's context.
        """
        loop = asyncio.get_running_loop()
        plain = self.transport
        # The upgrade begins in the loop's next round, which reads first; a
        # record that arrived then would be taken for a packet and be lost.
        plain.pause_reading()
        early = self._input
        self._input = None
        upgrade = loop.create_task(
            loop.start_tls(plain, self, context, server_side=True)
        )
        if early is not None:
            await _feed_tls(plain, early)
        self.transport = await upgrade

    async def discard(self) -> None:
        """Drop what the caller sends until it closes the connection."""
        while not self.closed:
            self._input = None
            await self._wait_for_data()


def _put_frames(output: bytearray, payload: bytes, sequence: int) -> int:
    view = memoryview(payload)
    for start in range(0, len(payload) + 1, MAX_FRAME_BYTES):
        frame = view[start : start + MAX_FRAME_BYTES]
        output += (len(frame) | sequence << 24).to_bytes(4, 'little')
        output += frame
        sequence = (sequence + 1) % _SEQUENCE_NUMBERS
    return sequence


async def _feed_tls(transport: Any, early: bytearray) -> None:
    # A caller may send its first TLS record together with the request for
    # TLS. The TLS layer is in place after the task of the upgrade and the
    # callbacks that it scheduled have run.
    for _ in range(3):
        await asyncio.sleep(0)
    layer = transport.get_protocol()
    view = layer.get_buffer(len(early))
    struct.pack_into(f'{len(early)}s', view, 0, bytes(early))
    layer.buffer_updated(len(early))


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
