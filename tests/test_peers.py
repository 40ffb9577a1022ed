"""Tests of the ZeroMQ sockets between daemons."""

import asyncio
import socket
import tempfile
from collections.abc import AsyncIterator, Sequence

import zmq
from zmq.asyncio import Context

from monsoonproxy import keys, messages
from monsoonproxy.clock import Clock
from monsoonproxy.exceptions import PeerError
from monsoonproxy.peers import (
    Authenticator,
    CurveKeys,
    Listener,
    PeerConnection,
)
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        _host, port = probe.getsockname()
        return f'127.0.0.1:{port}'


class Pair:
    """A listener that answers pings, and a connection to it."""

    def __init__(
        self, server: Sequence[CurveKeys], client: Sequence[CurveKeys]
    ) -> None:
        self.address = _free_address()
        self.replies: asyncio.Queue[messages.AnyMessage] = asyncio.Queue()
        self.lost = asyncio.Event()
        self.authenticator = Authenticator(server)
        self.listener = Listener(self.address, self._answer, server)
        self.link = PeerConnection(
            self.address,
            b'test',
            handler=lambda _address, reply: self.replies.put_nowait(reply),
            lost=lambda _address: self.lost.set(),
            keys=client,
        )
        self.tasks = [
            asyncio.create_task(self.listener.run()),
            asyncio.create_task(self.link.run()),
        ]

    def _answer(self, identity: bytes, message: messages.AnyMessage) -> None:
        reply = messages.Pong(message.sent_at)
        self.tasks.append(
            asyncio.create_task(self.listener.send(identity, reply))
        )

    async def close(self) -> None:
        """Stop the tasks and close the sockets of both sides."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.listener.close()
        self.link.close()
        self.authenticator.close()


def _keys() -> CurveKeys:
    return CurveKeys(*zmq.curve_keypair())


@fixture
async def pair() -> AsyncIterator[Pair]:
    """Yield a listener and a connection that share one key pair."""
    keys = (_keys(),)
    made = Pair(keys, keys)
    yield made
    await made.close()


async def test_round_trip(pair: Pair) -> None:
    """Guards against replies that are not routed to the requesting socket."""
    assert await pair.link.wait_connected(10)
    await pair.link.send(messages.Ping(7))
    assert await pair.replies.get() == messages.Pong(7)


async def test_lost_connection_refuses_sends(pair: Pair) -> None:
    """Guards against a request delivered after its sender reported a failure.

    A send on a broken connection must fail, not queue for the next connection.
    """
    assert await pair.link.wait_connected(10)
    pair.listener.close()
    await pair.lost.wait()
    try:
        await pair.link.send(messages.Ping(1))
    except PeerError:
        return
    raise AssertionError('a message was queued for a lost connection')


async def test_wrong_key_is_refused() -> None:
    """Guards against connecting to a daemon of a site with other keys."""
    made = Pair((_keys(),), (_keys(),))
    connected = await made.link.wait_connected(0.5)
    await made.close()
    assert not connected


async def test_unknown_sender_is_refused() -> None:
    """Guards against accepting a sender that lacks the secret key.

    The sender uses a key pair of its own, or the known public key with the
    secret key of another pair.
    """
    server = _keys()
    impostor = CurveKeys(server.public, _keys().secret)
    stranger = _keys()
    made = Pair((server,), (stranger, impostor))
    connected = await made.link.wait_connected(0.5)
    await made.close()
    assert not connected


async def _connects(server: keys.KeyRing, client: keys.KeyRing) -> bool:
    # One authenticator per event loop, as in a daemon.
    made = Pair(server.peers, client.peers)
    connected = await made.link.wait_connected(10)
    await made.close()
    return connected


async def test_link_to_a_daemon_with_the_old_keys() -> None:
    """Guards against a failed connection during a key rotation.

    The connecting daemon has rotated its keys, the listening one has not.
    """
    now = Clock().wall()
    old = keys.create(now)
    assert await _connects(old, keys.rotate(old, now, 1000))


async def test_link_to_a_daemon_with_the_new_keys() -> None:
    """Guards against a failed connection during a key rotation.

    The listening daemon has rotated its keys, the connecting one has not.
    """
    now = Clock().wall()
    old = keys.rotate(keys.create(now), now, 1000)
    assert await _connects(keys.rotate(old, now, 1000), old)


async def test_withdrawn_keys_after_a_restart() -> None:
    """Guards against a key pair that is accepted again after a restart.

    Two rotations withdraw the pair of a daemon that has missed them, and that
    has learned the new public key of another one, which starts with the newest
    key file.
    """
    now = Clock().wall()
    missed = keys.create(now)
    newest = keys.rotate(keys.rotate(missed, now, 1000), now, 1000)
    own = missed.peers[0]
    used = (own, CurveKeys(newest.peers[0].public, own.secret))
    with tempfile.TemporaryDirectory() as directory:
        path = f'{directory}/keys.toml'
        keys.save(path, newest)
        restarted = keys.load(path)
    made = Pair(restarted.peers, used)
    connected = await made.link.wait_connected(2)
    await made.close()
    assert not connected


async def test_generated_identities_are_dropped() -> None:
    """Guards against taking a generated identity for a peer's address.

    ZeroMQ gives generated identities to messages that are unread when their
    sender reconnects. The test gets one from a sender that sets no identity.
    """
    address = _free_address()
    received: asyncio.Queue[bytes] = asyncio.Queue()
    listener = Listener(
        address, lambda identity, _ping: received.put_nowait(identity)
    )
    running = asyncio.create_task(listener.run())
    for identity in (b'', b'peer'):
        dealer = Context.instance().socket(zmq.DEALER)
        if identity:
            dealer.setsockopt(zmq.IDENTITY, identity)
        dealer.connect(f'tcp://{address}')
        await dealer.send(messages.encode(messages.Ping(1)))
        await asyncio.sleep(0.2)
        dealer.close(0)
    assert await asyncio.wait_for(received.get(), 10) == b'peer'
    assert received.empty()
    running.cancel()
    listener.close()
