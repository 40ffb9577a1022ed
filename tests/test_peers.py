"""Tests of the sockets between daemons."""

import asyncio
import socket
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
    """A listener that answers pings, and a link to it."""

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
        """Stop both sides."""
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
    """Yield a connected pair with one common key pair."""
    keys = (_keys(),)
    made = Pair(keys, keys)
    yield made
    await made.close()


async def test_round_trip(pair: Pair) -> None:
    """Guards against replies that don't find their way back."""
    assert await pair.link.wait_connected(10)
    await pair.link.send(messages.Ping(7))
    assert await pair.replies.get() == messages.Pong(7)


async def test_lost_connection_refuses_sends(pair: Pair) -> None:
    """Guards against a message that is delivered after it was given up."""
    assert await pair.link.wait_connected(10)
    pair.listener.close()
    await pair.lost.wait()
    try:
        await pair.link.send(messages.Ping(1))
    except PeerError:
        return
    raise AssertionError('a message was queued for a lost connection')


async def test_wrong_key_is_refused() -> None:
    """Guards against a peer that knows another site's key."""
    made = Pair((_keys(),), (_keys(),))
    connected = await made.link.wait_connected(0.5)
    await made.close()
    assert not connected


async def test_unknown_sender_is_refused() -> None:
    """Guards against a sender that knows only the public key."""
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
    """Guards against daemons that lose each other during a rotation."""
    now = Clock().wall()
    old = keys.create(now)
    assert await _connects(old, keys.rotate(old, now, 1000))


async def test_link_to_a_daemon_with_the_new_keys() -> None:
    """Guards against daemons that lose each other during a rotation."""
    now = Clock().wall()
    old = keys.rotate(keys.create(now), now, 1000)
    assert await _connects(keys.rotate(old, now, 1000), old)


async def test_generated_identities_are_dropped() -> None:
    """Guards against a generated identity that passes for a peer's address.

    The library gives one to messages that were unread when their sender's
    connection broke and the sender connected again. Here it gives one to a
    sender without an identity.
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
