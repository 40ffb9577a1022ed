"""Tests of how daemons share backend connections and store reads."""

from monsoonproxy.clock import Millis
from monsoonproxy.connection_plans import ConnectionPlan, make_plan
from monsoonproxy.delegate_selection import choose_delegates, must_follow
from monsoonproxy.models import Host
from monsoonproxy.peer_list import Peer
from monsoonproxy.routes import ServiceRules
from monsoonproxy.stores import Revision
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_NOW = Millis(100_000)


def _hosts(count: int) -> list[Host]:
    return [Host(f'10.0.0.{n}:7000', f'zone-{n % 3}') for n in range(count)]


def test_known_sites() -> None:
    """Guards against lending at sites where all daemons may connect.

    The reverse is tested too: sites of known sizes get the expected plan.
    """
    assert not make_plan(34, 2, 15, ConnectionPlan()).is_shared
    assert not make_plan(60, 2, 14, ConnectionPlan()).is_shared
    assert make_plan(46, 2, 113, ConnectionPlan()).is_shared


def test_restart_of_all_daemons() -> None:
    """Guards against databases that are busy with opens after a restart.

    Pattern: 115 hosts lose power at once, and each of them connects to all
    databases; a connection occupies one of three slots for 27 ms.
    """
    opening_ms, busy_ms = 27, 500
    for slots in (1, 2, 3, 8):
        for daemons in (14, 115, 300, 2_400):
            plan = make_plan(5_000, slots, daemons, ConnectionPlan())
            connecting = plan.lenders or daemons
            assert connecting * opening_ms / slots <= busy_ms


def test_connections_stay_within_the_limit() -> None:
    """Guards against more connections than a database accepts."""
    for limit in (1, 2, 10, 34, 46, 60, 306):
        for daemons in (1, 2, 15, 21, 113, 300, 2_400):
            plan = make_plan(limit, 2, daemons, ConnectionPlan())
            connecting = plan.lenders or daemons
            rules = plan.pool_rules(
                ServiceRules('ledger', limit), connects=True
            )
            # Each connecting daemon keeps one and opens more on demand.
            assert connecting * rules.slots <= max(1, limit)
            if plan.is_shared:
                assert connecting * rules.quota <= limit


def test_plan_has_hysteresis() -> None:
    """Guards against a plan that alternates.

    Pattern: the number of daemons varies around the threshold for lending.
    """
    threshold = next(
        n
        for n in range(1, 99)
        if make_plan(34, 2, n, ConnectionPlan()).is_shared
    )
    shared = make_plan(34, 2, threshold, ConnectionPlan())
    assert make_plan(34, 2, threshold - 1, shared).is_shared
    assert not make_plan(34, 2, threshold - 4, shared).is_shared


def test_all_daemons_of_small_sites_follow() -> None:
    """Guards against small sites that depend on a few delegates."""
    assert len(choose_delegates(_hosts(15))) == 15


def test_delegates_are_spread() -> None:
    """Guards against the loss of all delegates with one zone."""
    hosts = _hosts(113)
    delegates = choose_delegates(hosts)
    assert len(delegates) == 12
    zones = {
        host.availability_zone for host in hosts if host.address in delegates
    }
    assert len(zones) == 3


def _peer(
    number: int, *, heard: int, follows: bool = True, era: int = 0
) -> Peer:
    return Peer(
        f'front-{number}',
        f'10.0.0.{number}:8000',
        f'10.0.0.{number}:7000',
        heard_at=Millis(heard),
        entries=Revision(era, 9),
        follows=follows,
    )


def test_isolated_daemon_follows() -> None:
    """Guards against a daemon without configuration updates (CONFIG).

    Patterns: the delegates can't reach this daemon, or the store rejects their
    requests.
    """
    delegates = choose_delegates(_hosts(113))
    fresh = [_peer(n, heard=_NOW - 1_000) for n in range(3)]
    assert not must_follow('own', delegates, fresh, _NOW)
    silent = [_peer(n, heard=_NOW - 9_000) for n in range(3)]
    assert must_follow('own', delegates, silent, _NOW)
    turned_away = [
        _peer(n, heard=_NOW - 1_000, follows=False) for n in range(3)
    ]
    assert must_follow('own', delegates, turned_away, _NOW)
    own = next(iter(delegates))
    assert must_follow(own, delegates, fresh, _NOW)


def test_delegates_of_earlier_release() -> None:
    """Guards against a daemon whose informants know no eras (DRAIN).

    Pattern: an upgrade one by one, with all delegates still of the earlier
    release. This daemon takes what they tell for older than what it has.
    """
    delegates = choose_delegates(_hosts(113))
    earlier = [_peer(n, heard=_NOW - 1_000) for n in range(12)]
    assert must_follow('own', delegates, earlier, _NOW, era=1)
    # A delegate that has not noticed a restore yet is about to.
    behind = [_peer(n, heard=_NOW - 1_000, era=1) for n in range(3)]
    assert not must_follow('own', delegates, behind, _NOW, era=2)
