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


_RESTORED_AT = Millis(100_000)
_SOON = Millis(_RESTORED_AT + 1_000)
_TRUSTED_AT = Millis(_RESTORED_AT + ServerList.DISTRUST)


def _restored_list(*known: Server) -> ServerList:
    """Return a list whose store was just restored from an older copy."""
    servers = ServerList()
    for server in known:
        servers.put(server, Millis(1))
    servers.start_distrust(_RESTORED_AT)
    return servers


def test_older_entry_in_copy() -> None:
    """Guards against a leaving server that counts as ready again (DRAIN).

    The copy of the store has its entry from before it announced to leave.
    """
    ready = attrs.evolve(_server('first'), started_at=5, sequence=7)
    leaving = attrs.evolve(ready, leaving=True, sequence=9)
    servers = _restored_list(leaving)
    assert not servers.put(ready, _SOON)
    assert servers.get('first') == leaving
    # The server writes the same entry again.
    assert servers.put(leaving, _SOON)
    assert not servers.end_distrust(_TRUSTED_AT)
    assert servers.get('first') == leaving


def test_restarted_server_in_distrust() -> None:
    """Guards against ignoring a server that restarts after a restore.

    It counts its entries anew.
    """
    servers = _restored_list(
        attrs.evolve(_server('first'), started_at=5, sequence=90)
    )
    restarted = attrs.evolve(_server('first'), started_at=6, sequence=1)
    assert servers.put(restarted, _SOON)
    assert servers.get('first') == restarted


def test_departed_server_in_copy() -> None:
    """Guards against using a server that has left (DRAIN, ROUTE).

    The copy still has its last entry; the store drops it a moment later.
    """
    first = attrs.evolve(_server('first'), started_at=5, sequence=7)
    servers = _restored_list(first)
    assert servers.remove('first', Millis(90_000))
    assert not servers.replace_all([first], _SOON, was_unavailable=True)
    assert 'first' not in servers
    servers.lapse('first', Millis(_SOON + 1))
    assert not servers.end_distrust(_TRUSTED_AT)
    assert 'first' not in servers


def test_entry_that_stays_in_copy() -> None:
    """Guards against ignoring a live server for good.

    It was cut off when its entry was removed; the restored store has that
    entry, and the server has no reason to write another one.
    """
    first = attrs.evolve(_server('first'), started_at=5, sequence=7)
    servers = _restored_list(first)
    servers.remove('first', Millis(90_000))
    servers.replace_all([first], _SOON, was_unavailable=True)
    assert not servers.end_distrust(Millis(_TRUSTED_AT - 1))
    assert servers.end_distrust(_TRUSTED_AT) == (first,)
    assert 'first' in servers


def test_entries_are_trusted_without_restore() -> None:
    """Guards against ignoring a server whose clock was set back.

    Without a restore, the order of the store decides.
    """
    servers = ServerList()
    servers.put(attrs.evolve(_server('first'), started_at=9), Millis(1))
    earlier = attrs.evolve(_server('first'), started_at=2)
    assert servers.put(earlier, Millis(2))


def test_departed_servers_are_forgotten() -> None:
    """Guards against memory that grows with each server that has left."""
    servers = ServerList()
    for number in range(50):
        name = f's{number}'
        servers.put(_server(name), Millis(number))
        servers.remove(name, Millis(number))
    servers.expire(Millis(50 + ServerList.DEPARTED_MEMORY))
    assert not servers._departed
