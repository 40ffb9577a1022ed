"""Tests of how daemons share connections and the store."""

from monsoonproxy.clock import Millis
from monsoonproxy.delegate_selection import choose_delegates, must_follow
from monsoonproxy.models import Host
from monsoonproxy.peer_list import Peer
from monsoonproxy.plans import Plan, make_plan
from monsoonproxy.routes import ServiceRules
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_NOW = Millis(100_000)


def _hosts(count: int) -> list[Host]:
    return [Host(f'10.0.0.{n}:7000', f'zone-{n % 3}') for n in range(count)]


def test_known_sites() -> None:
    """Guards against lending where each daemon may connect, and the reverse."""
    assert not make_plan(34, 2, 15, Plan()).is_shared
    assert not make_plan(60, 2, 14, Plan()).is_shared
    assert make_plan(46, 2, 113, Plan()).is_shared


def test_restart_of_all_daemons() -> None:
    """Guards against databases that only open connections after a restart.

    Pattern: 115 hosts lose power at once, and each connects to all databases,
    which take 27 ms of one of three slots for each connection.
    """
    opening_ms, busy_ms = 27, 500
    for slots in (1, 2, 3, 8):
        for daemons in (14, 115, 300, 2_400):
            plan = make_plan(5_000, slots, daemons, Plan())
            connecting = plan.lenders or daemons
            assert connecting * opening_ms / slots <= busy_ms


def test_connections_stay_within_the_limit() -> None:
    """Guards against more connections than a database accepts."""
    for limit in (1, 2, 10, 34, 46, 60, 306):
        for daemons in (1, 2, 15, 21, 113, 300, 2_400):
            plan = make_plan(limit, 2, daemons, Plan())
            connecting = plan.lenders or daemons
            rules = plan.pool_rules(
                ServiceRules('ledger', limit), connects=True
            )
            # Each connecting daemon keeps one and opens more on demand.
            assert connecting * rules.slots <= max(1, limit)
            if plan.is_shared:
                assert connecting * rules.quota <= limit


def test_plan_is_kept_at_the_border() -> None:
    """Guards against a site that changes its plan back and forth."""
    border = next(
        n for n in range(1, 99) if make_plan(34, 2, n, Plan()).is_shared
    )
    shared = make_plan(34, 2, border, Plan())
    assert make_plan(34, 2, border - 1, shared).is_shared
    assert not make_plan(34, 2, border - 4, shared).is_shared


def test_small_sites_follow_themselves() -> None:
    """Guards against small sites that depend on few daemons."""
    assert len(choose_delegates(_hosts(15))) == 15


def test_delegates_are_spread() -> None:
    """Guards against delegates that a lost zone takes away all at once."""
    hosts = _hosts(113)
    delegates = choose_delegates(hosts)
    assert len(delegates) == 12
    zones = {
        host.availability_zone for host in hosts if host.address in delegates
    }
    assert len(zones) == 3


def _peer(number: int, *, heard: int, follows: bool = True) -> Peer:
    return Peer(
        f'front-{number}',
        f'10.0.0.{number}:8000',
        f'10.0.0.{number}:7000',
        heard_at=Millis(heard),
        follows=follows,
    )


def test_lonely_daemon_follows() -> None:
    """Guards against a daemon without any news (CONFIG).

    Patterns: the delegates are cut off from this daemon, or the store turns
    them away.
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
