"""Tests of the decisions about replacing a leader."""

from monsoonproxy.models import Position
from monsoonproxy.verdicts import (
    Evidence,
    Finding,
    Survey,
    Tally,
    Verdict,
    choose_replacement,
    choose_successor,
)
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def _tally(asked: int, missing: int, reaching: int) -> Tally:
    tally = Tally(asked)
    for number in range(missing):
        tally.add(f'missing-{number}', reachable=False)
    for number in range(reaching):
        tally.add(f'reaching-{number}', reachable=True)
    return tally


def test_everybody_misses_it() -> None:
    """Guards against a dead primary that is kept."""
    tally = _tally(13, 6, 0)
    assert tally.verdict() is Verdict.REPLACE
    assert tally.is_settled


def test_only_this_daemon_misses_it() -> None:
    """Guards against a replacement because one daemon is cut off."""
    tally = _tally(13, 0, 13)
    assert tally.verdict() is Verdict.KEEP
    assert tally.is_settled


def test_some_miss_it() -> None:
    """Guards against callers of many daemons without a primary."""
    assert _tally(13, 4, 9).verdict() is Verdict.REPLACE
    assert _tally(13, 1, 12).verdict() is Verdict.KEEP


def test_silent_daemons_may_reach_it() -> None:
    """Guards against a promotion on the smaller side of a partition.

    Pattern: three of fourteen daemons are with the store and a replica, the
    other eleven with the primary.
    """
    assert _tally(13, 2, 0).verdict() is Verdict.KEEP
    assert _tally(13, 8, 0).verdict() is Verdict.REPLACE


def test_no_evidence_of_ones_own() -> None:
    """Guards against a promotion since lenders are not there yet.

    Pattern: all daemons start again at the same moment; those that borrow
    connections know nothing of the leader, and those that lend some open them.
    """
    unknown = Evidence.UNKNOWN
    assert _tally(16, 0, 0).verdict(own=unknown) is Verdict.KEEP
    assert _tally(16, 3, 2).verdict(own=unknown) is Verdict.KEEP
    assert _tally(0, 0, 0).verdict(own=unknown) is Verdict.KEEP
    # Those that connect themselves are enough.
    assert _tally(16, 10, 0).verdict(own=unknown) is Verdict.REPLACE


def test_waits_for_a_successor() -> None:
    """Guards against refusals while a dead leader is about to be replaced.

    Pattern: a leader crashes; most daemons borrow connections to it, and can't
    tell yet whether it or their lenders are gone.
    """
    undecided = _tally(13, 1, 0)
    for number in range(12):
        undecided.add(f'undecided-{number}', reachable=None)
    assert undecided.verdict() is Verdict.KEEP
    assert not _finding(undecided).is_cut_off
    # Who is apart from most others, or alone without the leader, says so.
    assert _finding(_tally(13, 2, 0)).is_cut_off
    assert _finding(_tally(13, 0, 13)).is_cut_off


def _finding(tally: Tally) -> Finding:
    reaching = frozenset(tally.reaching)
    return Finding(tally.verdict(), reaching, tally.is_apart)


def test_nobody_to_ask() -> None:
    """Guards against a single daemon that never replaces a primary."""
    assert _tally(0, 0, 0).verdict() is Verdict.ALONE


def test_verdict_is_stable() -> None:
    """Guards against a verdict that a later opinion would change."""
    for asked in range(1, 16):
        early = [_tally(asked, missing, 0) for missing in range(asked + 1)]
        settled = [len(t.missing) for t in early if t.is_settled]
        for missing in settled:
            for reaching in range(asked - missing + 1):
                late = _tally(asked, missing, reaching)
                assert late.verdict() is Verdict.REPLACE


def test_longest_log_leads() -> None:
    """Guards against acknowledged commits that a promotion rolls back."""
    surveys = [
        Survey('a', Position(1, 5), born=9),
        Survey('b', Position(1, 7), leaving=True),
        Survey('c', None),
    ]
    assert choose_successor(surveys) == 'b'
    equal = [*surveys, Survey('d', Position(1, 7))]
    assert choose_successor(equal) == 'd'
    assert choose_successor([Survey('c', None)]) is None


def test_synchronous_needs_all() -> None:
    """Guards against a lost commit that one silent replica has (LOST)."""
    surveys = [Survey('a', Position(1, 5)), Survey('c', None)]
    assert choose_successor(surveys, needs_all=True) is None
    assert choose_successor(surveys[:1], needs_all=True) == 'a'


def test_replacement_is_complete_and_new() -> None:
    """Guards against a hand-over that loses commits, or is done twice."""
    reached = Position(1, 7)
    surveys = [
        Survey('old', Position(1, 7), born=1),
        Survey('new', Position(1, 8), born=5),
        Survey('newest', Position(1, 6), born=9),
        Survey('leaving', Position(1, 8), leaving=True, born=7),
    ]
    assert choose_replacement(surveys, reached) == 'new'
    assert choose_replacement(surveys[2:], reached) is None
