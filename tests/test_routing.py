"""Tests of data ages and the choice of backend servers for reads."""

import bisect
import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Position, Role
from monsoonproxy.routing import (
    Load,
    NoRoute,
    ReadRequest,
    Route,
    Router,
    RouteReason,
    RoutingRules,
    WaitFor,
)
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_LOAD = {name: Load(2, 0, 3) for name in 'prs'}
_END = 400


def _report(name: str, received: int, **changes: object) -> BackendReport:
    role = Role.PRIMARY if name == 'p' else Role.REPLICA
    report = BackendReport(name, role, 1, 'c', 1, received, received, Millis(0))
    return attrs.evolve(report, **changes)


def _router(**changes: int) -> Router:
    rules = RoutingRules(**{name: Millis(v) for name, v in changes.items()})
    router = Router('prs', rules)
    router.set_group(1, 'p', Millis(0), Millis(0))
    return router


def _caught_up(now: int = 100) -> Router:
    router = _router()
    for name in 'prs':
        router.observe(name, _report(name, 7), Millis(now - 2), Millis(now))
    router.set_group(1, 'p', Millis(now), Millis(now))
    return router


def _read(max_age: int = 50, floor: Position | None = None) -> ReadRequest:
    return ReadRequest(max_age, floor, Millis(10_000))


_times = st.integers(0, _END)


class _History:
    """Commits on a primary and a replica that applies them irregularly.

    Times are in quarters of a ms, but the router gets whole ms.
    """

    def __init__(self, rng: random.Random) -> None:
        self.commits = sorted(rng.choices(range(_END), k=rng.randint(1, 120)))
        self.applied = [0]
        for now in range(1, 2 * _END):
            behind = self.committed(now) - self.applied[-1]
            step = rng.choice((0, 0, 1, 1, behind))
            self.applied.append(self.applied[-1] + min(step, behind))

    def committed(self, time: int) -> int:
        return bisect.bisect_right(self.commits, time)

    def age(self, offset: int, now: int) -> int:
        missing = [*self.commits, now][offset]
        return max(0, now - missing)


def _check_read(
    router: Router, history: _History, now: int, rng: random.Random
) -> None:
    floor = Position(1, max(0, history.committed(now) - rng.randint(0, 9)))
    max_age = rng.randint(0, 60)
    choice = router.choose_read(_read(max_age, floor), _LOAD, Millis(now // 4))
    if not isinstance(choice, Route) or choice.server == 'p':
        return
    run_at = now + rng.randint(0, 20)
    done = run_at + rng.randint(0, 20)
    if router.still_valid(choice, max_age, floor, Millis(done // 4)):
        applied = history.applied[run_at]
        assert history.age(applied, done) <= 4 * max_age
        assert applied >= floor.offset


@settings(max_examples=60)
@given(st.integers(0, 1 << 32))
def test_age_never_understated(seed: int) -> None:
    """Guards against data ages that are lower than the actual ones.

    Late or reordered reports, and times truncated to whole ms, must not make
    data look fresher than it is or let an outdated answer pass.
    """
    rng = random.Random(seed)
    history = _History(rng)
    router = _router(max_samples=rng.choice((4, 8, 500)), resolution=4)
    polls = []
    for state in rng.choices(range(_END), k=300):
        arrival = state + rng.randint(0, rng.choice((2, 40)))
        sent_at = state - rng.randint(0, rng.choice((2, 40)))
        polls.append((arrival, rng.choice('pr'), state, max(0, sent_at)))
    for now, name, state, sent_at in sorted(polls):
        offset = history.applied[state]
        if name == 'p':
            offset = history.committed(state)
        report = _report(name, offset)
        here = Millis(now // 4)
        router.observe(name, report, Millis(sent_at // 4), here)
        router.set_group(1, 'p', here, here)
        age = router.age('r', here)
        true_age = history.age(history.applied[now], now)
        assert age is None or 4 * age >= true_age
        _check_read(router, history, now, rng)


def test_unconfirmed_primary_ages_replicas() -> None:
    """Guards against an isolated primary whose replicas look fresh.

    Reports of a primary whose term no majority confirms must not lower the
    data ages of replicas.
    """
    router = _caught_up()
    for now in range(101, 200):
        router.observe('p', _report('p', 7), Millis(now - 1), Millis(now))
    assert router.age('r', Millis(200)) == 101


def test_overlapping_report_is_no_data_loss() -> None:
    """Guards against taking a late report for a loss of data.

    A report with a lower position that was requested before the kept one
    arrived may simply be older.
    """
    router = _caught_up()
    router.observe('r', _report('r', 5), Millis(99), Millis(103))
    assert router.age('r', Millis(103)) == 6


@given(st.lists(st.tuples(_times, st.integers(0, 99)), max_size=200))
def test_samples_bounded(pairs: list[tuple[int, int]]) -> None:
    """Guards against memory use that grows with the number of reports."""
    router = _router(max_samples=16, resolution=8)
    for sent_at, offset in pairs:
        router.observe('p', _report('p', offset), Millis(sent_at), Millis(_END))
        assert len(router._samples) <= 16


def test_long_lag_within_samples() -> None:
    """Guards against losing the samples that a lagging replica needs.

    Old samples are thinned out, but data ages of up to 50 s have to stay
    accurate to about 5 %.
    """
    router = _router(max_samples=512)
    for now in range(0, 60_000, 2):
        router.observe('p', _report('p', now), Millis(now), Millis(now + 2))
    router.set_group(1, 'p', Millis(60_000), Millis(60_000))
    for lag in (20, 500, 5_000, 50_000):
        report = _report('r', 60_000 - lag)
        router.add('r')
        router.observe('r', report, Millis(60_000), Millis(60_000))
        age = router.age('r', Millis(60_000))
        assert age is not None
        assert lag <= age <= lag * 1.05 + 5
        router.remove('r')


def test_fresh_replica_preferred() -> None:
    """Guards against reads sent to the primary despite fresh replicas."""
    choice = _caught_up().choose_read(_read(), _LOAD, Millis(101))
    assert isinstance(choice, Route)
    assert choice.server in 'rs'
    assert choice.reason is RouteReason.FRESH_REPLICA


def test_less_loaded_replica() -> None:
    """Guards against reads queued at one replica while another is idle."""
    load = {**_LOAD, 'r': Load(0, 3, 3)}
    choice = _caught_up().choose_read(_read(), load, Millis(101))
    assert isinstance(choice, Route)
    assert choice.server == 's'


def test_floor_of_own_write() -> None:
    """Guards against a read that misses a previous write of its session.

    While no replica has applied the floor, the read waits for one or goes to
    the primary; it goes to the first replica that reports the floor.
    """
    router = _caught_up()
    router.observe_commit(Position(1, 8), Millis(100))
    floor = Position(1, 8)
    load = {**_LOAD, 'p': Load(0, 60, 3)}
    choice = router.choose_read(_read(500, floor), load, Millis(101))
    assert isinstance(choice, WaitFor)
    idle = router.choose_read(_read(500, floor), _LOAD, Millis(101))
    assert isinstance(idle, (Route, WaitFor))
    assert idle.reason in {RouteReason.FLOOR, RouteReason.CATCHING_UP}
    router.observe('s', _report('s', 8), Millis(101), Millis(103))
    choice = router.choose_read(_read(500, floor), load, Millis(103))
    assert isinstance(choice, Route)
    assert choice.server == 's'


def test_floor_of_unacknowledged_write() -> None:
    """Guards against reads blocked by a floor that a failover discarded.

    A floor beyond the start of the new term refers to a write that was lost,
    and must be reduced to that start. A floor of a later term than the known
    one can't be served.
    """
    router = _caught_up()
    router.set_group(2, 's', Millis(110), Millis(110))
    starts = ((1, 1), (2, 8))
    for name, role in (('s', Role.PRIMARY), ('r', Role.REPLICA)):
        report = _report(name, 9, role=role, log_term=2, term_starts=starts)
        router.observe(name, report, Millis(111), Millis(113))
    router.set_group(2, 's', Millis(113), Millis(113))
    read = _read(50, Position(1, 90))
    choice = router.choose_read(read, _LOAD, Millis(114))
    assert isinstance(choice, Route)
    assert choice.server == 'r'
    ahead = _read(50, Position(3, 1))
    future = router.choose_read(ahead, _LOAD, Millis(114))
    assert future == NoRoute(RouteReason.FUTURE_TERM)


def test_old_term_serves_nothing() -> None:
    """Guards against reads from a replaced primary or its replicas.

    Once a new term is known, members that still report the old one must serve
    no reads, and answers from the old term become invalid.
    """
    router = _caught_up()
    before = router.choose_read(_read(), _LOAD, Millis(101))
    router.set_group(2, 'r', Millis(102), Millis(102))
    assert [router.age(name, Millis(103)) for name in 'prsx'] == [
        None,
        None,
        None,
        None,
    ]
    choice = router.choose_read(_read(), _LOAD, Millis(103))
    assert choice == NoRoute(RouteReason.NO_PRIMARY)
    assert isinstance(before, Route)
    assert not router.still_valid(before, 50, None, Millis(103))


def test_leaving_and_removed_serve_nothing() -> None:
    """Guards against reads sent to leaving or removed backend servers."""
    router = _caught_up()
    router.set_leaving('r')
    leaving = _report('s', 7, leaving=True)
    router.observe('s', leaving, Millis(100), Millis(102))
    choice = router.choose_read(_read(), _LOAD, Millis(103))
    assert isinstance(choice, Route)
    assert choice.server == 'p'
    router.remove('p')
    choice = router.choose_read(_read(), _LOAD, Millis(103))
    assert choice == NoRoute(RouteReason.NO_PRIMARY)


def test_lost_data_invalidates_answers() -> None:
    """Guards against answers of a replica that lost applied data.

    A report with a lower position shows the loss, for example after a restart
    without data. A report requested before it must not restore the old state.
    """
    router = _caught_up()
    router.remove('s')
    route = router.choose_read(_read(), _LOAD, Millis(101))
    assert isinstance(route, Route)
    assert router.still_valid(route, 50, None, Millis(105))
    router.observe('r', _report('r', 2), Millis(103), Millis(105))
    assert not router.still_valid(route, 50, None, Millis(105))
    router.observe('r', _report('r', 7), Millis(99), Millis(106))
    assert router.age('r', Millis(106)) is None


def test_primary_needs_confirmation() -> None:
    """Guards against the answer of a primary replaced during the read.

    With a bound of 0, the term has to be confirmed after the answer arrived.
    """
    router = _caught_up()
    router.remove('r')
    router.remove('s')
    route = router.choose_read(_read(0), _LOAD, Millis(101))
    assert isinstance(route, Route)
    assert router.still_valid(route, 20, None, Millis(110))
    assert not router.still_valid(route, 0, None, Millis(110))
    router.set_group(1, 'p', Millis(110), Millis(113))
    assert not router.still_valid(route, 0, None, Millis(110))
    router.set_group(1, 'p', Millis(111), Millis(113))
    assert router.still_valid(route, 0, None, Millis(110))


def test_progress_after_routing_ignored() -> None:
    """Guards against validating an answer by data that was applied later.

    Only the offset known when the read was routed counts for its answer.
    """
    router = _caught_up()
    route = router.choose_read(_read(12), _LOAD, Millis(101))
    assert isinstance(route, Route)
    for name in 'prs':
        router.observe(name, _report(name, 8), Millis(110), Millis(112))
    router.set_group(1, 'p', Millis(112), Millis(112))
    assert router.age(route.server, Millis(113)) == 4
    assert not router.still_valid(route, 12, Position(1, 7), Millis(113))
    assert router.still_valid(route, 16, Position(1, 7), Millis(113))
    assert not router.still_valid(route, 16, Position(1, 8), Millis(113))


def test_poll_pause_follows_distance_to_bound() -> None:
    """Guards against polling too often, or too seldom close to a bound.

    The pause between polls of the primary has to follow the distance between
    data ages and the bounds of recent reads.
    """
    router = _caught_up()
    assert router.next_poll('p', Millis(100)).pause == 50
    router.choose_read(_read(1000), _LOAD, Millis(101))
    far = router.next_poll('p', Millis(101))
    router.choose_read(_read(14), _LOAD, Millis(102))
    near = router.next_poll('p', Millis(102))
    assert near.pause < far.pause
    assert near.pause <= 1
    assert near.timeout == 0
    assert router.next_poll('r', Millis(102)).timeout > 0
    assert router.next_poll('p', Millis(2000)).pause == 50
