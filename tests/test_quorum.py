"""Acknowledgement of writes, confirmation of terms and session floors."""

import random

import attrs
from hypothesis import given, strategies

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Position, Role
from monsoonproxy.quorum import GroupView, covers
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_MEMBERS = ('a', 'b', 'c')
_NOW = Millis(1000)


def _report(
    name: str,
    log: tuple[int, int],
    promised: int | None = None,
    role: Role = Role.REPLICA,
    starts: tuple[tuple[int, int], ...] = (),
) -> BackendReport:
    return BackendReport(
        name=name,
        role=role,
        promised_term=log[0] if promised is None else promised,
        candidate='x',
        log_term=log[0],
        received=log[1],
        applied=log[1],
        source_silence=Millis(0),
        term_starts=starts,
    )


def _view(*reports: BackendReport) -> GroupView:
    view = GroupView(_MEMBERS)
    for sent_at, report in enumerate(reports):
        view.observe(report.name, report, Millis(sent_at), _NOW)
    return view


def test_majority_acknowledges() -> None:
    """Guards against acknowledging a write that only the primary has."""
    primary = _report('a', (1, 9), role=Role.PRIMARY)
    view = _view(primary, _report('b', (1, 7)))
    assert view.primary == 'a'
    assert view.committed == Position(1, 7)
    assert view.acknowledged(Position(1, 7))
    assert not view.acknowledged(Position(1, 8))
    view.observe_commit('a', Position(1, 12))
    view.observe('b', _report('b', (1, 11)), Millis(5), _NOW)
    assert view.committed == Position(1, 11)


def test_promised_member_does_not_count() -> None:
    """Guards against counting a log that a later candidate may ignore.

    A member that has promised a higher term may no longer vouch for entries of
    the current one.
    """
    view = _view(_report('a', (1, 9)), _report('b', (1, 9), promised=2))
    assert view.committed is None


def test_older_term_is_not_counted() -> None:
    """Guards against acknowledging an old write by its offset alone.

    Members whose log ends in an older term may hold other entries at the same
    offsets as the current primary.
    """
    starts = ((1, 1), (2, 5))
    old = Position(1, 4)
    view = _view(
        _report('a', (2, 5), role=Role.PRIMARY, starts=starts),
        _report('b', (1, 9)),
        _report('c', (1, 9)),
    )
    assert view.term == 2
    assert not view.acknowledged(old)
    view.observe('b', _report('b', (2, 5), starts=starts), Millis(9), _NOW)
    assert view.acknowledged(old)
    assert not view.acknowledged(Position(1, 5))
    assert view.floor(old) == Position(2, 4)


def test_floor_of_lost_write() -> None:
    """Guards against reads that wait for a write lost in a failover.

    The floor of such a write is lowered to the start of the next term.
    """
    starts = ((1, 1), (2, 5), (4, 8))
    view = _view(_report('a', (4, 9), role=Role.PRIMARY, starts=starts))
    assert view.map_floor(Position(1, 7)) == Position(2, 5)
    assert view.map_floor(Position(3, 9)) == Position(4, 8)
    assert view.map_floor(Position(1, 3)) == Position(1, 3)
    assert view.covers('a', Position(1, 7))


def test_unknown_term_is_not_served() -> None:
    """Guards against reads for a floor of a term that is not yet known."""
    report = _report('a', (2, 99))
    assert not covers(report, 2, ((1, 1), (2, 5)), Position(3, 6))
    assert not covers(report, 3, ((2, 5), (3, 9)), Position(2, 6))


def test_late_report_is_not_latest() -> None:
    """Guards against an older report that replaces a newer one.

    Polls overlap, so an answer with an old term may arrive last.
    """
    primary = _report('a', (2, 5), role=Role.PRIMARY)
    view = _view(primary, _report('b', (2, 5)))
    late = attrs.evolve(primary, log_term=1, received=4, role=Role.REPLICA)
    view.observe('a', late, Millis(99), _NOW)
    view.observe('b', _report('b', (1, 3)), Millis(0), _NOW)
    assert (view.term, view.primary) == (2, 'a')
    assert view.committed == Position(2, 5)


def test_confirmation() -> None:
    """Guards against confirming a term without a majority of its members.

    A member that has promised a higher term no longer confirms the current one.
    """
    view = _view(_report('a', (1, 1)), _report('b', (1, 1)))
    assert view.confirmed_at == 0
    view.observe('b', _report('b', (1, 1), promised=2), Millis(8), _NOW)
    view.observe('a', _report('a', (1, 1)), Millis(9), _NOW)
    assert view.confirmed_at == 1
    view.observe('c', _report('c', (1, 1)), Millis(7), _NOW)
    assert view.confirmed_at == 7


_histories = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(_MEMBERS), strategies.integers(1, 6)
    ),
    max_size=30,
)


@given(history=_histories, seed=strategies.integers())
def test_order_of_reports(history: list[tuple[str, int]], seed: int) -> None:
    """Guards against a view that depends on the order of arrival of reports.

    The acknowledged position must not fall at any step, either.
    """
    offsets = dict.fromkeys(_MEMBERS, 1)
    reports = []
    for name, step in history:
        offsets[name] += step
        reports.append(_report(name, (1, offsets[name])))
    timed = list(enumerate(reports))
    random.Random(seed).shuffle(timed)
    shuffled = GroupView(_MEMBERS)
    seen: Position | None = None
    for sent_at, report in timed:
        shuffled.observe(report.name, report, Millis(sent_at), _NOW)
        assert seen is None or (shuffled.committed or seen) >= seen
        seen = shuffled.committed
    ordered = _view(*reports)
    assert shuffled.committed == ordered.committed
    assert shuffled.confirmed_at == ordered.confirmed_at
    for name in _MEMBERS:
        assert shuffled.report(name) == ordered.report(name)
