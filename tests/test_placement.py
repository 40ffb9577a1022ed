"""Tests of the placement of keys: balance, zones and movement."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy.models import Host
from monsoonproxy.placement import Placement, holders
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def _hosts(count: int, zones: int) -> list[Host]:
    names = [f'zone-{number}' for number in range(zones)]
    return [Host(f'10.0.0.{n}:7000', names[n % zones]) for n in range(count)]


def test_placement_is_stable_across_releases() -> None:
    """Guards against a hash that differs between processes or releases."""
    found = holders('hire-ledger-1', _hosts(15, 3), 2)
    assert [host.address for host in found] == [
        '10.0.0.12:7000',
        '10.0.0.4:7000',
    ]


def test_balance() -> None:
    """Guards against hosts that hold far more services than others.

    Each host's number of services is binomial; six standard deviations above
    the mean happen by chance in one of 10**9 cases.
    """
    hosts = _hosts(160, 8)
    names = [f'service-{n}' for n in range(2000)]
    placed = {name: holders(name, hosts, 2) for name in names}
    for rank in (0, 1):
        counts = Counter(found[rank] for found in placed.values())
        mean = len(names) / len(hosts)
        assert max(counts.values()) <= mean + 6 * mean**0.5
        assert min(counts.values()) >= 1


@given(
    st.integers(1, 30),
    st.integers(1, 5),
    st.integers(1, 6),
    st.integers(0, 29),
    st.text(max_size=8),
    st.randoms(use_true_random=False),
)
def _check_host_leaves(count, zones, wanted, gone, name, rng) -> None:
    hosts = _hosts(count, zones)
    leaver = hosts[gone % count]
    before = holders(name, hosts, wanted)
    remaining = [host for host in hosts if host != leaver]
    rng.shuffle(remaining)
    after = holders(name, remaining, wanted)
    assert len(before) == min(wanted, count)
    assert len(set(before)) == len(before)
    moved = set(after) - set(before)
    assert len(moved) <= (leaver in before)
    used = {host.availability_zone for host in before}
    assert len(used) == min(len(before), zones, count)


def test_host_leaves() -> None:
    """Guards against moving services whose hosts stayed.

    At most one holder is new, and only if the leaving host was a holder. The
    order of the host list doesn't matter, and zones are shared only if there
    are more holders than zones.
    """
    _check_host_leaves()


_HOST = st.builds(
    Host,
    st.integers(0, 11).map('10.0.0.{0}:7000'.format),
    st.sampled_from(('a', 'b', 'c')),
)
_HOST_LISTS = st.lists(
    st.lists(_HOST, max_size=12, unique_by=lambda host: host.address),
    min_size=1,
    max_size=8,
)


@given(_HOST_LISTS, st.integers(1, 5), st.text(max_size=8))
def _check_updates(host_lists, wanted, name) -> None:
    placement = Placement()
    for hosts in host_lists:
        placement.update(hosts)
        assert placement.holders(name, wanted) == holders(name, hosts, wanted)


def test_updates_match_fresh_choice() -> None:
    """Guards against placements that depend on a daemon's own history.

    Hosts leave, join and change their zone, alone and together; the result has
    to equal that of a daemon that has just started.
    """
    _check_updates()


def test_keep_only_frees_other_keys() -> None:
    """Guards against keeping the placements of removed services in memory."""
    placement = Placement()
    placement.update(_hosts(6, 3))
    kept = placement.holders('kept', 2)
    placement.holders('removed', 2)
    placement.keep_only([('kept', 2)])
    assert placement.holders('kept', 2) == kept
    assert placement.known() == {('kept', 2)}
