"""Tests of the list of daemons."""

import random

from monsoonproxy import notices
from monsoonproxy.clock import Millis
from monsoonproxy.neighbours import Neighbours
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def _presence(name: str, started: int = 1) -> notices.Presence:
    return notices.Presence(
        name, '10.0.0.1:1', '10.0.0.1:2', 'zone-1', started, 3, 4, follows=True
    )


def _listing(number: int) -> notices.Listing:
    return notices.Listing(f'10.0.0.{number}:1', f'10.0.0.{number}:2', 'zone-1')


def _neighbours() -> Neighbours:
    return Neighbours('own', random.Random(1))


def test_silent_daemons_are_gone() -> None:
    """Guards against votes of daemons that are not there any more."""
    known = _neighbours()
    known.add('listed', _listing(9), Millis(1_000))
    assert known.heard(_presence('a'), Millis(1_000))
    assert not known.heard(_presence('a'), Millis(2_000))
    assert [other.name for other in known.alive(Millis(3_000))] == ['a']
    assert not known.alive(Millis(60_000))


def test_restart_replaces_address() -> None:
    """Guards against an old notice that brings an old address back."""
    known = _neighbours()
    known.heard(_presence('a', started=5), Millis(1_000))
    moved = notices.Presence(
        'a', '10.0.0.7:1', '10.0.0.7:2', 'zone-1', 9, 3, 4, follows=False
    )
    assert known.heard(moved, Millis(1_100))
    assert not known.heard(_presence('a', started=5), Millis(1_200))
    found = known.get('a')
    assert found is not None
    assert found.address == '10.0.0.7:1'


def test_presences_are_bounded() -> None:
    """Guards against presences that grow with the square of the daemons."""
    known = _neighbours()
    for number in range(2_399):
        known.add(f'front-{number}', _listing(number), Millis(0))
    # Ten presences a second.
    assert known.interval >= len(known) * 100


def test_suspected_daemons_come_back() -> None:
    """Guards against a lender that is asked although it is dead."""
    known = _neighbours()
    known.heard(_presence('a'), Millis(1_000))
    known.suspect('10.0.0.1:2')
    assert not known.hosts(Millis(1_100))
    known.heard(_presence('a'), Millis(1_200))
    assert known.hosts(Millis(1_300))


def test_leaving_daemons_lend_nothing() -> None:
    """Guards against a lender that is about to stop."""
    known = _neighbours()
    known.heard(_presence('a'), Millis(1_000))
    assert len(known.hosts(Millis(1_000))) == 1
    leaving = notices.Presence(
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
    known.heard(leaving, Millis(1_100))
    assert not known.hosts(Millis(1_100))


def test_listed_daemons_count_at_the_start() -> None:
    """Guards against a daemon that starts and takes itself for the only one.

    Pattern: all hosts lose power, and all daemons start at the same moment.
    """
    known = _neighbours()
    for number in range(1, 115):
        known.add(f'front-{number}', _listing(number), Millis(1_000))
    assert len(known.hosts(Millis(1_001))) == 114
    known.suspect('10.0.0.7:2')
    assert len(known.hosts(Millis(1_002))) == 113
    known.heard(_presence('front-9'), Millis(1_100))
    assert len(known.alive(Millis(1_200))) == 1
    # Those that were not heard for long are not there.
    assert len(known.hosts(Millis(9_000))) == 1


def test_listings() -> None:
    """Guards against rows of other writers, and of earlier versions."""
    listing = _listing(3)
    assert notices.decode_listing(notices.encode(listing)) == listing
    assert notices.decode_listing(b'10.0.0.3:1') is None
    assert notices.decode_listing(b'') is None


def test_malformed_notices() -> None:
    """Guards against a daemon that stops at a datagram of somebody else."""
    assert notices.decode(b'') is None
    assert notices.decode(b'\xff' * 40) is None
    whole = notices.encode(_presence('a'))
    assert notices.decode(whole) == _presence('a')
    assert notices.decode(whole[:-3]) is None
