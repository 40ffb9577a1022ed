"""Tests of the choice of a backend server for a read."""

from monsoonproxy.clock import Millis
from monsoonproxy.models import Position
from monsoonproxy.selection import ReadTarget, ServerStats, choose, weigh
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_NOW = Millis(10_000)
_FLOOR = Position(1, 5)


def _target(name: str, **changes: object) -> ReadTarget:
    fields: dict[str, object] = {
        'stats': ServerStats(),
        'running': 0,
        'slots': 2,
        'in_own_zone': True,
        'is_leader': False,
    }
    return ReadTarget(name, **(fields | changes))  # type: ignore[arg-type]


def test_replica_before_leader() -> None:
    """Guards against reads that use the primary's slots for no reason."""
    busy = _target('replica', running=3, in_own_zone=False)
    leader = _target('leader', is_leader=True)
    chosen = choose((leader, busy), _FLOOR, {}, _NOW)
    assert chosen is busy


def test_lagging_replica_after_leader() -> None:
    """Guards against a read that is first sent to a replica known to lag.

    The replica has just refused a read of the same position. It is preferred
    again for older positions, and after a pause.
    """
    stats = ServerStats()
    stats.lagged(_FLOOR, _NOW)
    behind = _target('replica', stats=stats)
    leader = _target('leader', is_leader=True)
    assert choose((leader, behind), _FLOOR, {}, _NOW) is leader
    older = Position(1, 4)
    assert choose((leader, behind), older, {}, _NOW) is behind
    later = Millis(_NOW + 1_000)
    assert choose((leader, behind), _FLOOR, {}, later) is behind


def test_lag_pause_grows() -> None:
    """Guards against retrying a lagging replica with every read.

    The pause grows with each refusal up to its limit, and is reset by an
    answer.
    """
    stats = ServerStats()
    now = _NOW
    pauses = []
    for _ in range(8):
        stats.lagged(_FLOOR, now)
        pauses.append(stats.lagging_until - now)
        now = Millis(stats.lagging_until)
    assert pauses == sorted(pauses)
    assert pauses[-1] <= 320
    stats.answered(3, _FLOOR, now)
    stats.lagged(_FLOOR, now)
    assert stats.lagging_until - now == pauses[0]


def test_failing_server_is_ejected() -> None:
    """Guards against reads sent to a server that answers only with failures."""
    stats = ServerStats()
    for _ in range(3):
        stats.failed(_NOW, lost=False)
    failing = _target('failing', stats=stats)
    other = _target('other', in_own_zone=False, running=4)
    assert choose((failing, other), None, {}, _NOW) is other
    back = Millis(_NOW + 5_000)
    usable, weights = weigh((failing, other), None, {}, back)
    assert usable == [failing, other]
    assert weights[0] > 10 * weights[1]


def test_all_servers_ejected() -> None:
    """Guards against refusing a read because all servers are ejected."""
    targets = [_target('first'), _target('second')]
    for target in targets:
        target.stats.failed(_NOW, lost=True)
    assert choose(targets, None, {}, _NOW) is not None


def test_leaving_server_gets_no_reads() -> None:
    """Guards against new reads on a server that is about to leave (DRAIN)."""
    leaving = _target('leaving', is_leaving=True)
    leader = _target('leader', is_leader=True)
    assert choose((leaving, leader), None, {}, _NOW) is leader
    assert choose((leaving,), None, {}, _NOW) is None


def test_tried_server_is_not_chosen() -> None:
    """Guards against retrying a read on the server that failed it."""
    first, second = _target('first'), _target('second')
    chosen = choose((first, second), None, {'first': 'lost'}, _NOW)
    assert chosen is second
