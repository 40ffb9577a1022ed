"""Tests of the list of backend servers."""

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.servers import Server, ServerList
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def _server(name: str) -> Server:
    return Server(name, 'ledger', '127.0.0.1:9', 'zone-1')


def test_lapsed_entries_come_back() -> None:
    """Guards against dropping live servers after an outage of the store.

    Their entries lapsed during the outage and are restored soon after it.
    """
    servers = ServerList()
    first, second = _server('first'), _server('second')
    servers.put(first)
    servers.put(second)
    gone = servers.replace_all([first], Millis(1_000), was_unavailable=True)
    assert not gone
    assert 'second' in servers
    servers.put(attrs.evolve(second, leaving=True))
    assert not servers.expire(Millis(10_000))
    assert 'second' in servers


def test_lapsed_entries_expire() -> None:
    """Guards against using a server whose entry is not restored (DRAIN)."""
    servers = ServerList()
    servers.put(_server('first'))
    servers.lapse('first', Millis(1_000))
    assert not servers.expire(Millis(1_000 + servers.GRACE - 1))
    assert servers.expire(Millis(1_000 + servers.GRACE))
    assert 'first' not in servers


def test_missing_entries_are_gone() -> None:
    """Guards against keeping servers that a complete list no longer names."""
    servers = ServerList()
    servers.put(_server('first'))
    servers.put(_server('second'))
    gone = servers.replace_all(
        [_server('first')], Millis(5), was_unavailable=False
    )
    assert [server.server_id for server in gone] == ['second']
