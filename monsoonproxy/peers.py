"""ZeroMQ sockets between a daemon and its peers.

Each daemon binds one ROUTER socket, which receives requests, and connects one
DEALER socket to each peer that it sends requests to. A reply arrives on the
DEALER socket that sent the request.
"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import TypeAlias

import attrs
import zmq
from zmq.asyncio import Context, Socket
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils.monitor import parse_monitor_message

from monsoonproxy import messages
from monsoonproxy.decoding import DECODE_ERRORS
from monsoonproxy.exceptions import PeerError
from monsoonproxy.logs import log_for

RequestHandler: TypeAlias = Callable[[bytes, messages.AnyMessage], None]
ReplyHandler: TypeAlias = Callable[[str, messages.AnyMessage], None]
LostHandler: TypeAlias = Callable[[str], None]

_log = log_for('peers')

#: Messages queued per connection and direction; when the queue is full, a send
#: fails instead of waiting.
_HIGH_WATER_MARK = 10_000
#: First and longest delay between attempts to reconnect.
_RECONNECT_MS = 50
_RECONNECT_MAX_MS = 1_000
#: First byte of identities that ZeroMQ generates. When a peer reconnects and
#: takes over its identity, unread messages of its broken connection get a
#: generated identity. The peer no longer waits for their replies, and a reply
#: would not reach it.
_GENERATED_IDENTITY = b'\0'
_HEARTBEAT_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1_500
_ZAP_DOMAIN = b'peers'
_ZAP_ENDPOINT = 'inproc://zeromq.zap.01'
_HANDSHAKE_FAILURES = frozenset(
    (
        zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL,
        zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
        zmq.EVENT_HANDSHAKE_FAILED_AUTH,
    )
)
_MONITORED_EVENTS = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED
    | zmq.EVENT_DISCONNECTED
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


@attrs.frozen
class CurveKeys:
    """A CURVE key pair, which all daemons of a site share.

    A daemon uses it as its own key pair, and the public key also as the key
    that it expects of its peers.

    :param public: Public key, Z85-encoded.
    :param secret: Secret key, Z85-encoded.
    """

    public: bytes
    secret: bytes = attrs.field(repr=False)


def _set_limits(sock: Socket) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, _HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, _HIGH_WATER_MARK)
    sock.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)


def _set_keys(sock: Socket, keys: CurveKeys) -> None:
    sock.setsockopt(zmq.CURVE_PUBLICKEY, keys.public)
    sock.setsockopt(zmq.CURVE_SECRETKEY, keys.secret)


class Listener:
    """Receives requests from peers and sends replies to them.

    :param address: ``ip:port`` to bind.
    :param handler: Called with the sender's identity and each message.
    :param keys: CURVE key pairs, the one in use first; empty for sockets
        without encryption. :class:`Authenticator` rejects senders that use
        another pair.
    """

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        keys: Sequence[CurveKeys] = (),
    ) -> None:
        self._handler = handler
        self._socket = Context.instance().socket(zmq.ROUTER)
        _set_limits(self._socket)
        if keys:
            _set_keys(self._socket, keys[0])
            self._socket.setsockopt(zmq.CURVE_SERVER, 1)
            self._socket.setsockopt(zmq.ZAP_DOMAIN, _ZAP_DOMAIN)
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        # A reconnecting peer uses the same identity as before, possibly while
        # its broken connection still looks established on this side.
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._socket.bind(f'tcp://{address}')

    async def run(self) -> None:
        """Pass received messages to the handler until cancelled.

        Malformed messages are logged and dropped.
        """
        while True:
            identity, frame = await self._socket.recv_multipart()
            if identity.startswith(_GENERATED_IDENTITY):
                continue
            try:
                message = messages.decode(frame)
            except DECODE_ERRORS as exc:
                _log.warning(
                    'Dropped a malformed request from peer {!r}: {}',
                    identity,
                    exc,
                )
                continue
            self._handler(identity, message)

    async def send(self, identity: bytes, message: messages.Message) -> None:
        """Send a reply without waiting for room in the send queue.

        :param identity: Sender identity received with the request.
        :param message: The reply.
        :raises PeerError: If the peer is not connected or its queue is full.
        """
        try:
            await self._socket.send_multipart(
                [identity, messages.encode(message)], flags=zmq.NOBLOCK
            )
        except zmq.ZMQError as exc:
            raise PeerError(
                f'reply to peer {identity!r} not sent: {exc}'
            ) from exc

    def close(self) -> None:
        """Close the socket and drop replies that are still queued."""
        self._socket.close()


class Authenticator:
    """Accepts connections only from peers with known CURVE keys.

    One authenticator serves all listeners of a process.

    :param keys: The accepted key pairs.
    """

    def __init__(self, keys: Sequence[CurveKeys]) -> None:
        self._zap = AsyncioAuthenticator(Context.instance())
        self._zap.start()
        self._zap.configure_curve_callback(
            _ZAP_DOMAIN.decode(),
            _AcceptedKeys(frozenset(pair.public for pair in keys)),
        )

    def close(self) -> None:
        """Stop authenticating and free the ZAP endpoint."""
        # After close() alone, a libzmq thread frees the endpoint some time
        # later, and until then another authenticator can not bind it.
        self._zap.zap_socket.unbind(_ZAP_ENDPOINT)
        self._zap.stop()


@attrs.frozen
class _AcceptedKeys:
    public_keys: frozenset[bytes]

    def callback(self, _domain: str, key: bytes) -> bool:
        """Decide on a connecting peer, as pyzmq's authenticator requests.

        :param key: The peer's public key, Z85-encoded.
        :returns: Whether the peer may connect.
        """
        return key in self.public_keys


class PeerConnection:
    """A connection to one peer, which reconnects by itself.

    :param address: ``ip:port`` of the peer.
    :param identity: Identity of this daemon, unique per process start.
    :param handler: Called with the peer's address and each reply.
    :param lost: Called with the peer's address when the connection breaks.
    :param keys: CURVE key pairs, the one in use first; empty for sockets
        without encryption. If a handshake fails, the next pair is tried as the
        peer's key, because daemons use different pairs during a key rotation.
    """

    def __init__(
        self,
        address: str,
        identity: bytes,
        *,
        handler: ReplyHandler,
        lost: LostHandler,
        keys: Sequence[CurveKeys] = (),
    ) -> None:
        self.address = address
        self._handler = handler
        self._lost = lost
        self._keys = keys
        self._failed_handshakes = 0
        self._socket = Context.instance().socket(zmq.DEALER)
        _set_limits(self._socket)
        self._socket.setsockopt(zmq.IDENTITY, identity)
        # Queue messages only for an established connection. A message that is
        # undelivered when the connection breaks is dropped and never sent on
        # the next connection.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        self._monitor = self._socket.get_monitor_socket(_MONITORED_EVENTS)
        self.connected = False
        self._ready = asyncio.Event()
        self._connect()

    async def run(self) -> None:
        """Receive replies and connection events until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._monitor_events())

    async def wait_connected(self, timeout: float) -> bool:
        """Wait until the handshake with the peer has succeeded.

        :param timeout: Longest wait in seconds.
        :returns: Whether the connection is established.
        """
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._ready.wait(), timeout)
        return self.connected

    async def send(self, message: messages.Message) -> None:
        """Send a request without waiting for room in the send queue.

        :param message: The request.
        :raises PeerError: If the request was not sent and never will be.
        """
        if not self.connected:
            raise PeerError(f'peer {self.address} is not connected')
        try:
            await self._socket.send(messages.encode(message), zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            raise PeerError(
                f'request to peer {self.address} not sent: {exc}'
            ) from exc

    def close(self) -> None:
        """Close the socket and its monitor and drop queued requests."""
        self._socket.disable_monitor()
        self._socket.close()

    async def _receive(self) -> None:
        while True:
            frame = await self._socket.recv()
            try:
                message = messages.decode(frame)
            except DECODE_ERRORS as exc:
                _log.warning(
                    'Dropped a malformed reply from peer {}: {}',
                    self.address,
                    exc,
                )
                continue
            self._handler(self.address, message)

    async def _monitor_events(self) -> None:
        while True:
            event = parse_monitor_message(await self._monitor.recv_multipart())
            kind = event['event']
            if kind in _HANDSHAKE_FAILURES:
                self._try_next_key()
            elif kind == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                self.connected = True
                self._ready.set()
            elif self.connected:
                self.connected = False
                self._ready.clear()
                self._lost(self.address)

    def _connect(self) -> None:
        if self._keys:
            server = self._keys[self._failed_handshakes % len(self._keys)]
            _set_keys(self._socket, self._keys[0])
            self._socket.setsockopt(zmq.CURVE_SERVERKEY, server.public)
        self._socket.connect(f'tcp://{self.address}')

    def _try_next_key(self) -> None:
        if self._failed_handshakes == 0:
            _log.warning(
                'Handshake with peer {} failed; trying {} keys in turn',
                self.address,
                len(self._keys),
            )
        self._failed_handshakes += 1
        self._socket.disconnect(f'tcp://{self.address}')
        self._connect()
