"""Tests of the list of daemons."""

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
    """Guards against votes of daemons that are not there any more."""
    known = _peer_list()
    known.add('listed', _listing(9), Millis(1_000))
    assert known.record_presence(_presence('a'), Millis(1_000))
    assert not known.record_presence(_presence('a'), Millis(2_000))
    assert [other.name for other in known.alive(Millis(3_000))] == ['a']
    assert not known.alive(Millis(60_000))


def test_restart_replaces_address() -> None:
    """Guards against an old notice that brings an old address back."""
    known = _peer_list()
    known.record_presence(_presence('a', started=5), Millis(1_000))
    moved = gossip_messages.Presence(
        'a', '10.0.0.7:1', '10.0.0.7:2', 'zone-1', 9, 3, 4, follows=False
    )
    assert known.record_presence(moved, Millis(1_100))
    assert not known.record_presence(_presence('a', started=5), Millis(1_200))
    found = known.get('a')
    assert found is not None
    assert found.address == '10.0.0.7:1'


def test_presence_rate_is_bounded() -> None:
    """Guards against presences that grow with the square of the daemons."""
    known = _peer_list()
    for number in range(2_399):
        known.add(f'front-{number}', _listing(number), Millis(0))
    # Ten presences a second.
    assert known.interval >= len(known) * 100


def test_suspected_peers_recover() -> None:
    """Guards against a lender that is asked although it is dead."""
    known = _peer_list()
    known.record_presence(_presence('a'), Millis(1_000))
    known.suspect('10.0.0.1:2')
    assert not known.hosts(Millis(1_100))
    known.record_presence(_presence('a'), Millis(1_200))
    assert known.hosts(Millis(1_300))


def test_stopping_peers_are_no_lenders() -> None:
    """Guards against a lender that is about to stop."""
    known = _peer_list()
    known.record_presence(_presence('a'), Millis(1_000))
    assert len(known.hosts(Millis(1_000))) == 1
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
    known.record_presence(leaving, Millis(1_100))
    assert not known.hosts(Millis(1_100))


def test_listed_peers_count_at_start() -> None:
    """Guards against a daemon that starts and takes itself for the only one.

    Pattern: all hosts lose power, and all daemons start at the same moment.
    """
    known = _peer_list()
    for number in range(1, 115):
        known.add(f'front-{number}', _listing(number), Millis(1_000))
    assert len(known.hosts(Millis(1_001))) == 114
    known.suspect('10.0.0.7:2')
    assert len(known.hosts(Millis(1_002))) == 113
    known.record_presence(_presence('front-9'), Millis(1_100))
    assert len(known.alive(Millis(1_200))) == 1
    # Those that were not heard for long are not there.
    assert len(known.hosts(Millis(9_000))) == 1


def test_malformed_listings() -> None:
    """Guards against rows of other writers, and of earlier versions."""
    listing = _listing(3)
    assert (
        gossip_messages.decode_listing(gossip_messages.encode(listing))
        == listing
    )
    assert gossip_messages.decode_listing(b'10.0.0.3:1') is None
    assert gossip_messages.decode_listing(b'') is None


def test_malformed_messages() -> None:
    """Guards against a daemon that stops at a datagram of somebody else."""
    assert gossip_messages.decode(b'') is None
    assert gossip_messages.decode(b'\xff' * 40) is None
    whole = gossip_messages.encode(_presence('a'))
    assert gossip_messages.decode(whole) == _presence('a')
    assert gossip_messages.decode(whole[:-3]) is None
