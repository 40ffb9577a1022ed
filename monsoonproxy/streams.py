"""Packet framing of the MySQL protocol on a caller's connection."""

import asyncio
import ssl
import struct
from typing import Any, Protocol

import attrs

from monsoonproxy.exceptions import MonsoonError

#: Maximum payload of one frame; longer packets span several frames.
MAX_FRAME_BYTES = 0xFFFFFF
#: Unread input above which reading is paused while a command runs.
READ_AHEAD_BYTES = 65_536
#: Output buffer size from which it is sent before the answer is complete.
FLUSH_BYTES = 32_768
_HEADER_BYTES = 4
_SEQUENCE_NUMBERS = 256


class PacketError(MonsoonError):
    """A caller sent bytes that don't form a valid packet.

    :param code: MySQL error code of the error packet sent in reply.
    :param message: Text of the error packet.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class ConnectionGoneError(MonsoonError):
    """The caller has closed the connection."""


class StreamListener(Protocol):
    """Receives the events of a packet stream."""

    def connection_opened(self) -> None:
        """Handle a newly established connection."""

    def data_available(self) -> None:
        """Handle newly buffered input."""

    def connection_closed(self) -> None:
        """Clean up after the connection was closed or lost."""


@attrs.define(eq=False)
class PacketWriter(asyncio.Protocol):
    """Writes packets to a caller, through an output buffer.

    :param listener: Receives the events of the stream.
    :param limit: Maximum size in bytes of a packet that is read.
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
        """Make :meth:`drain` wait until the transport can take more."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake the pending :meth:`drain`."""
        _wake(self._write_waiter)
        self._write_waiter = None

    def put(self, *packets: bytes) -> None:
        """Append framed packets to the output buffer.

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
        """Send the output buffer and wait while the transport is full.

        :raises ConnectionGoneError: If the caller has disconnected.
        """
        self.flush()
        if self._write_waiter is not None:
            await self._write_waiter
        if self.closed:
            raise ConnectionGoneError('the caller closed the connection')

    async def drain_if_full(self) -> None:
        """Call :meth:`drain` if the buffer holds ``FLUSH_BYTES`` or more."""
        if self._output is not None and len(self._output) >= FLUSH_BYTES:
            await self.drain()

    def flush(self) -> None:
        """Pass the output buffer to the transport without waiting."""
        if self._output is not None:
            if not self.closed:
                self.transport.write(self._output)
            self._output = None

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Write a packet; ``mysql_mimic`` requires this signature.

        :param data: The payload.
        :param drain: Whether to send the output buffer immediately.
        """
        self.put(data)
        if drain:
            await self.drain()

    def put_answer(self, packet: bytes) -> None:
        """Buffer a packet as the answer to a command that was not read.

        The sequence number is 1, so the caller takes the packet for the
        answer to the command that it sends next or has just sent.

        :param packet: The payload.
        """
        self._sequence = 1
        self.put(packet)

    def finish_writing(self) -> None:
        """Send the output buffer and half-close the connection."""
        self.flush()
        if not self.closed and self.transport.can_write_eof():
            self.transport.write_eof()

    def reset_seq(self) -> None:
        """Reset the sequence number for the next command."""
        self._sequence = 0

    def close(self) -> None:
        """Send the output buffer and close the connection."""
        self.flush()
        self.closing = True
        self.transport.close()


@attrs.define(eq=False)
class PacketStream(PacketWriter):
    """Reads and writes the packets of a caller's connection.

    To save memory, an idle connection holds no buffer and needs no task that
    waits for the next packet.

    :param listener: Receives the events of the stream.
    :param limit: Maximum size in bytes of a packet that is read.
    """

    _input: bytearray | None = None
    _read_waiter: asyncio.Future[None] | None = None
    _reading_paused: bool = False
    _partial_packet: list[bytes] | None = None
    _packets: int = 0

    def connection_made(self, transport: Any) -> None:
        """Set the transport, and report the first one to the listener.

        :param transport: The TCP transport or, after an upgrade, the TLS one.
        """
        first = self.transport is None
        self.transport = transport
        if first:
            self.listener.connection_opened()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes.

        Reading is paused above ``READ_AHEAD_BYTES`` if no read is pending.

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
        """Wake the pending read and write, and notify the listener.

        :param exc: Cause of the loss, or ``None`` for a normal close.
        """
        self.closed = True
        _wake(self._read_waiter)
        _wake(self._write_waiter)
        self.listener.connection_closed()

    @property
    def has_input(self) -> bool:
        """Whether unread input is buffered.

        :returns: ``True`` if there are unread bytes.
        """
        return self._input is not None

    @property
    def held(self) -> int:
        """Bytes of packets that are not read, and of output that is not sent.

        :returns: Their number.
        """
        received = len(self._input or b'')
        received += sum(map(len, self._partial_packet or ()))
        if self._write_waiter is None:
            return received
        return received + int(self.transport.get_write_buffer_size())

    @property
    def awaited_packet(self) -> int | None:
        """Number of the packet that a read waits for the rest of.

        :returns: The number, or ``None`` if no packet has begun to arrive.
        """
        if self._read_waiter is None:
            return None
        begun = self.has_input or self._partial_packet is not None
        return self._packets if begun else None

    @property
    def unread_answer(self) -> object:
        """Output that fills the transport until the caller reads.

        :returns: An object that is replaced when the caller has read some, or
            ``None``.
        """
        return self._write_waiter

    async def read(self) -> bytes:
        """Read the next packet.

        :returns: Its payload.
        :raises ConnectionGoneError: If the caller has disconnected.
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
        self._packets += 1
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
                f'packet out of order: sequence number {sequence},'
                f' expected {self._sequence}',
            )
        if size + sum(map(len, self._partial_packet or ())) > self.limit:
            raise PacketError(
                1153,
                f'packet exceeds the limit of {self.limit} bytes',
            )

    async def _wait_for_data(self) -> None:
        self._resume_reading()
        self._read_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Upgrade the connection to TLS.

        :param context: TLS context of the server side.
        """
        loop = asyncio.get_running_loop()
        plain = self.transport
        # The upgrade starts in the next iteration of the event loop, which
        # polls the socket first. A TLS record read there would be parsed as a
        # packet and lost, so reading is paused until then.
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
        """Read and discard input until the caller closes the connection."""
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
    # A caller may send its first TLS record together with the TLS request, so
    # that the record is already buffered as plain input. The TLS layer is in
    # place once the upgrade task and the callbacks it scheduled have run,
    # which takes three iterations of the event loop.
    for _ in range(3):
        await asyncio.sleep(0)
    layer = transport.get_protocol()
    view = layer.get_buffer(len(early))
    struct.pack_into(f'{len(early)}s', view, 0, bytes(early))
    layer.buffer_updated(len(early))


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
