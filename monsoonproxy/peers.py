"""Sockets between daemons.

Each daemon binds one ROUTER socket and connects one DEALER socket to each peer
that it sends to. Replies come back on the DEALER socket.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import TypeAlias

import attrs
import msgspec
import zmq
from zmq.asyncio import Context, Socket
from zmq.utils.monitor import parse_monitor_message

from monsoonproxy import messages
from monsoonproxy.exceptions import PeerError
from monsoonproxy.logs import log_for

RequestHandler: TypeAlias = Callable[[bytes, messages.AnyMessage], None]
ReplyHandler: TypeAlias = Callable[[str, messages.AnyMessage], None]
LostHandler: TypeAlias = Callable[[str], None]

_log = log_for('peers')

#: Messages queued per connection before a send is refused.
_HIGH_WATER_MARK = 10_000
_RECONNECT_MS = 50
_RECONNECT_MAX_MS = 1_000
_HEARTBEAT_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1_500


@attrs.frozen
class CurveKeys:
    """CURVE key pair of a daemon and the public key of its peers.

    All daemons of a site hold the same server key pair.

    :param public: Public key, Z85 text.
    :param secret: Secret key, Z85 text.
    """

    public: bytes
    secret: bytes = attrs.field(repr=False)


def _limit(sock: Socket, keys: CurveKeys | None) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, _HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, _HIGH_WATER_MARK)
    sock.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
    if keys:
        sock.setsockopt(zmq.CURVE_PUBLICKEY, keys.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, keys.secret)


class Listener:
    """Receives requests of peers and sends replies to them.

    :param address: ``ip:port`` to bind.
    :param handler: Called with the sender's identity and each message.
    :param keys: CURVE keys, or ``None`` for plain sockets.
    """

    def __init__(
        self, address: str, handler: RequestHandler, keys: CurveKeys | None
    ) -> None:
        self._handler = handler
        self._socket = Context.instance().socket(zmq.ROUTER)
        _limit(self._socket, keys)
        if keys:
            self._socket.setsockopt(zmq.CURVE_SERVER, 1)
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        # A peer that reconnects takes its identity over from its old
        # connection, which may not have been seen to break yet.
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._socket.bind(f'tcp://{address}')

    async def run(self) -> None:
        """Receive messages until cancelled."""
        while True:
            identity, frame = await self._socket.recv_multipart()
            try:
                message = messages.decode(frame)
            except msgspec.MsgspecError as exc:
                _log.warning('A malformed message was dropped: {}', exc)
                continue
            self._handler(identity, message)

    async def send(self, identity: bytes, message: messages.Message) -> None:
        """Send a reply.

        :param identity: Identity that came with the request.
        :param message: The reply.
        :raises PeerError: If the peer has gone or reads too slowly.
        """
        try:
            await self._socket.send_multipart(
                [identity, messages.encode(message)], flags=zmq.NOBLOCK
            )
        except zmq.ZMQError as exc:
            raise PeerError(f'the peer can not be reached: {exc}') from exc

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class Link:
    """A connection to one peer.

    :param address: ``ip:port`` of the peer.
    :param identity: Own identity, unique per incarnation.
    :param handler: Called with the peer's address and each reply.
    :param lost: Called with the peer's address when the connection breaks.
    :param keys: CURVE keys, or ``None`` for plain sockets.
    """

    def __init__(
        self,
        address: str,
        identity: bytes,
        *,
        handler: ReplyHandler,
        lost: LostHandler,
        keys: CurveKeys | None,
    ) -> None:
        self.address = address
        self._handler = handler
        self._lost = lost
        self._socket = Context.instance().socket(zmq.DEALER)
        _limit(self._socket, keys)
        if keys:
            self._socket.setsockopt(zmq.CURVE_SERVERKEY, keys.public)
        self._socket.setsockopt(zmq.IDENTITY, identity)
        # Messages are only queued for an established connection. A message
        # that could not be delivered is dropped with its connection, and is
        # never delivered later.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        self._monitor = self._socket.get_monitor_socket(
            zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        )
        self.connected = False
        self._ready = asyncio.Event()
        self._socket.connect(f'tcp://{address}')

    async def run(self) -> None:
        """Receive replies and connection events until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._watch())

    async def wait_connected(self, timeout: float) -> bool:
        """Wait for the connection.

        :param timeout: Longest wait in seconds.
        :returns: Whether the connection is established.
        """
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._ready.wait(), timeout)
        return self.connected

    async def send(self, message: messages.Message) -> None:
        """Send a message.

        :param message: The message.
        :raises PeerError: If it was not sent and never will be.
        """
        if not self.connected:
            raise PeerError(f'{self.address} is not connected')
        try:
            await self._socket.send(messages.encode(message), zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            raise PeerError(f'{self.address} does not take messages') from exc

    def close(self) -> None:
        """Close the sockets."""
        self._socket.disable_monitor()
        self._socket.close()

    async def _receive(self) -> None:
        while True:
            frame = await self._socket.recv()
            try:
                message = messages.decode(frame)
            except msgspec.MsgspecError as exc:
                _log.warning('A malformed message was dropped: {}', exc)
                continue
            self._handler(self.address, message)

    async def _watch(self) -> None:
        while True:
            event = parse_monitor_message(await self._monitor.recv_multipart())
            self.connected = event['event'] == zmq.EVENT_HANDSHAKE_SUCCEEDED
            if self.connected:
                self._ready.set()
            else:
                self._ready.clear()
                self._lost(self.address)
