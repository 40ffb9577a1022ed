"""Tests of the list of peers and of the decoding of gossip messages."""

import random

from monsoonproxy import gossip_messages
from monsoonproxy.clock import Millis
from monsoonproxy.peer_list import PeerList
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def _presence(name: str, started: int = 1) -> gossip_messages.Presence:
    return gossip_messages.Presence(
        name, '10.0.0.1:1', '10.0.0.1:2', 'zone-1', started, 3, 4, follows=True
    )


def _listing(number: int) -> gossip_messages.Listing:
    return gossip_messages.Listing(
        f'10.0.0.{number}:1', f'10.0.0.{number}:2', 'zone-1'
    )


def _peer_list() -> PeerList:
    return PeerList('own', random.Random(1))


def test_silent_peers_expire() -> None:
    """Guards against counting peers as alive that have stopped.

    A peer that was listed but never heard, and one whose last presence is old,
    must not be asked for their votes.
    """
    peers = _peer_list()
    peers.add('listed', _listing(9), Millis(1_000))
    assert peers.record_presence(_presence('a'), Millis(1_000))
    assert not peers.record_presence(_presence('a'), Millis(2_000))
    assert [peer.name for peer in peers.alive(Millis(3_000))] == ['a']
    assert not peers.alive(Millis(60_000))


def test_restart_replaces_address() -> None:
    """Guards against a late presence that restores an old address.

    A peer restarts with another address; a presence from before the restart
    arrives after the new one.
    """
    peers = _peer_list()
    peers.record_presence(_presence('a', started=5), Millis(1_000))
    moved = gossip_messages.Presence(
        'a', '10.0.0.7:1', '10.0.0.7:2', 'zone-1', 9, 3, 4, follows=False
    )
    assert peers.record_presence(moved, Millis(1_100))
    assert not peers.record_presence(_presence('a', started=5), Millis(1_200))
    found = peers.get('a')
    assert found is not None
    assert found.address == '10.0.0.7:1'


def test_presence_rate_is_bounded() -> None:
    """Guards against presences that grow with the square of the daemons.

    Each daemon sends presences to all others, so the interval has to grow with
    their number.
    """
    peers = _peer_list()
    for number in range(2_399):
        peers.add(f'front-{number}', _listing(number), Millis(0))
    # At most ten presences per second are sent.
    assert peers.interval >= len(peers) * 100


def test_suspected_peers_recover() -> None:
    """Guards against borrowing from a lender that did not answer.

    It is excluded until its next presence arrives.
    """
    peers = _peer_list()
    peers.record_presence(_presence('a'), Millis(1_000))
    peers.suspect('10.0.0.1:2')
    assert not peers.hosts(Millis(1_100))
    peers.record_presence(_presence('a'), Millis(1_200))
    assert peers.hosts(Millis(1_300))


def test_stopping_peers_are_no_lenders() -> None:
    """Guards against borrowing from a daemon that is shutting down."""
    peers = _peer_list()
    peers.record_presence(_presence('a'), Millis(1_000))
    assert len(peers.hosts(Millis(1_000))) == 1
    leaving = gossip_messages.Presence(
        'a',
        '10.0.0.1:1',
        '10.0.0.1:2',
        'zone-1',
        1,
        3,
        4,
        follows=True,
        leaving=True,
    )
    peers.record_presence(leaving, Millis(1_100))
    assert not peers.hosts(Millis(1_100))


def test_listed_peers_count_at_start() -> None:
    """Guards against a starting daemon that plans as if it were alone.

    All hosts lose power and all daemons start at the same moment, so that no
    presence has arrived yet.
    """
    peers = _peer_list()
    for number in range(1, 115):
        peers.add(f'front-{number}', _listing(number), Millis(1_000))
    assert len(peers.hosts(Millis(1_001))) == 114
    peers.suspect('10.0.0.7:2')
    assert len(peers.hosts(Millis(1_002))) == 113
    peers.record_presence(_presence('front-9'), Millis(1_100))
    assert len(peers.alive(Millis(1_200))) == 1
    # Listed peers without a presence count as gone after a while.
    assert len(peers.hosts(Millis(9_000))) == 1


def test_malformed_listings() -> None:
    """Guards against malformed rows in the list of daemons.

    Rows may come from other writers or from earlier releases.
    """
    listing = _listing(3)
    assert (
        gossip_messages.decode_listing(gossip_messages.encode(listing))
        == listing
    )
    assert gossip_messages.decode_listing(b'10.0.0.3:1') is None
    assert gossip_messages.decode_listing(b'') is None


def test_malformed_messages() -> None:
    """Guards against a daemon that fails at a malformed datagram.

    Any program can send datagrams to its port, and they may be truncated.
    """
    assert gossip_messages.decode(b'') is None
    assert gossip_messages.decode(b'\xff' * 40) is None
    whole = gossip_messages.encode(_presence('a'))
    assert gossip_messages.decode(whole) == _presence('a')
    assert gossip_messages.decode(whole[:-3]) is None
