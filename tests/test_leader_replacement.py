"""Tests of the decisions about replacing a leader."""

from monsoonproxy.leader_replacement import (
    Assessment,
    CandidateStatus,
    Decision,
    Reachability,
    Tally,
    choose_successor,
)
from monsoonproxy.models import Position
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def _tally(asked: int, missing: int, reaching: int) -> Tally:
    tally = Tally(asked)
    for number in range(missing):
        tally.add(f'missing-{number}', reachable=False)
    for number in range(reaching):
        tally.add(f'reaching-{number}', reachable=True)
    return tally


def test_all_peers_miss_leader() -> None:
    """Guards against keeping a leader that no daemon reaches."""
    tally = _tally(13, 6, 0)
    assert tally.decide() is Decision.REPLACE
    assert tally.is_decided


def test_only_this_daemon_misses_leader() -> None:
    """Guards against a replacement because a single daemon is cut off."""
    tally = _tally(13, 0, 13)
    assert tally.decide() is Decision.KEEP
    assert tally.is_decided


def test_some_peers_miss_leader() -> None:
    """Guards against keeping a leader that many daemons don't reach.

    Their callers would have no primary, while those of a few unreachable
    daemons are served by retries at other daemons.
    """
    assert _tally(13, 4, 9).decide() is Decision.REPLACE
    assert _tally(13, 1, 12).decide() is Decision.KEEP


def test_silent_peers_may_reach_leader() -> None:
    """Guards against a promotion on the smaller side of a partition.

    Three of fourteen daemons are on the store's side with a replica, the other
    eleven on the primary's side; those are silent.
    """
    assert _tally(13, 2, 0).decide() is Decision.KEEP
    assert _tally(13, 8, 0).decide() is Decision.REPLACE


def test_own_reachability_unknown() -> None:
    """Guards against a promotion because lenders are not connected yet.

    After a restart of all daemons at the same moment, those that borrow
    connections can't tell whether the leader answers, and those that lend them
    are still opening theirs.
    """
    unknown = Reachability.UNKNOWN
    assert _tally(16, 0, 0).decide(own=unknown) is Decision.KEEP
    assert _tally(16, 3, 2).decide(own=unknown) is Decision.KEEP
    assert _tally(0, 0, 0).decide(own=unknown) is Decision.KEEP
    # The replies of daemons with own connections suffice.
    assert _tally(16, 10, 0).decide(own=unknown) is Decision.REPLACE


def test_undecided_peers_do_not_cut_off() -> None:
    """Guards against refusing requests while a crashed leader is replaced.

    Most daemons borrow connections to the leader, and can't tell yet whether
    the leader or their lenders failed. This daemon must not count as cut off.
    """
    undecided = _tally(13, 1, 0)
    for number in range(12):
        undecided.add(f'undecided-{number}', reachable=None)
    assert undecided.decide() is Decision.KEEP
    assert not _assess(undecided).is_cut_off
    # A daemon that is partitioned from most peers, or the only one that does
    # not reach the leader, counts as cut off.
    assert _assess(_tally(13, 2, 0)).is_cut_off
    assert _assess(_tally(13, 0, 13)).is_cut_off


def _assess(tally: Tally) -> Assessment:
    reaching = frozenset(tally.reaching)
    return Assessment(tally.decide(), reaching, tally.is_partitioned)


def test_no_peers() -> None:
    """Guards against a daemon without peers that never replaces a leader."""
    assert _tally(0, 0, 0).decide() is Decision.NO_PEERS


def test_decision_is_stable() -> None:
    """Guards against a poll that ends early though a reply could change it."""
    for asked in range(1, 16):
        early = [_tally(asked, missing, 0) for missing in range(asked + 1)]
        settled = [len(t.missing) for t in early if t.is_decided]
        for missing in settled:
            for reaching in range(asked - missing + 1):
                late = _tally(asked, missing, reaching)
                assert late.decide() is Decision.REPLACE


def test_longest_log_is_promoted() -> None:
    """Guards against a promotion that rolls back acknowledged commits.

    A candidate with a shorter log lacks commits that another one has.
    """
    candidates = [
        CandidateStatus('a', Position(1, 5), started_at=9),
        CandidateStatus('b', Position(1, 7), leaving=True),
        CandidateStatus('c', None),
    ]
    assert choose_successor(candidates) == 'b'
    equal = [*candidates, CandidateStatus('d', Position(1, 7))]
    assert choose_successor(equal) == 'd'
    assert choose_successor([CandidateStatus('c', None)]) is None


def test_synchronous_needs_all_candidates() -> None:
    """Guards against losing a commit that only a silent replica has (LOST)."""
    candidates = [
        CandidateStatus('a', Position(1, 5)),
        CandidateStatus('c', None),
    ]
    assert choose_successor(candidates, needs_all=True) is None
    assert choose_successor(candidates[:1], needs_all=True) == 'a'
