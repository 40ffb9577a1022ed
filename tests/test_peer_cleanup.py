"""Tests of the removal of stale rows from the list of daemons."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from monsoonproxy import gossip_messages
from monsoonproxy.clock import Millis
from monsoonproxy.peer_cleanup import CleanupRules, PeerCleanup
from monsoonproxy.peer_list import PeerList
from monsoonproxy.stores import Revision, StoreRow, Table, TableRows
from tests.fixtures import ManualClock, fixture, load_functions

load_tests = load_functions(__name__)

_RULES = CleanupRules()
_COUNT = 10


def _listing(number: int) -> gossip_messages.Listing:
    return gossip_messages.Listing(
        f'10.0.0.{number}:1', f'10.0.0.{number}:2', 'zone-1'
    )


@attrs.define
class _ListStub:
    """Stands in for the store: the list of daemons in memory.

    :param rows: Rows by name of the daemon.
    :param written_after_read: Names of rows that are written again right after
        each read, with a new version.
    """

    rows: dict[str, StoreRow]
    written_after_read: tuple[str, ...] = ()

    async def read(self, table: Table) -> TableRows:
        """Return all rows, then write those that are due after a read."""
        changes = TableRows(tuple(self.rows.values()), Revision(1, 1))
        for name in self.written_after_read:
            await self.put(table, name, b'y')
        return changes

    async def put(self, _table: Table, key: str, content: bytes) -> None:
        """Write a row as version 2."""
        self.rows[key] = StoreRow(key, content, Revision(1, 2))

    async def remove(self, _table: Table, key: str, expected: Revision) -> bool:
        """Remove a row if its version is as expected."""
        if self.rows[key].revision != expected:
            return False
        self.rows.pop(key)
        return True


@attrs.define
class _CleanupSite:
    """The cleanup of a delegate, with its list of daemons and its peers."""

    clock: ManualClock
    listed: _ListStub
    peers: PeerList
    retirement: Any

    async def pass_time(self, duration: int, heard: range) -> None:
        """Check the list at each interval while some peers are alive."""
        until = self.clock.time + duration
        while self.clock.time < until:
            self.clock.time = Millis(self.clock.time + _RULES.interval)
            for number in heard:
                self.hear(number)
            await self.retirement.reconcile()

    def hear(self, number: int) -> None:
        """Record a presence of a peer."""
        where = _listing(number)
        presence = gossip_messages.Presence(
            f'd{number}',
            where.address,
            where.relay,
            where.zone,
            1,
            1,
            1,
            follows=True,
        )
        self.peers.record_presence(presence, self.clock.time)


@fixture
def cleanup_site() -> Iterator[_CleanupSite]:
    """Yield the cleanup of a delegate on a site of ten daemons."""
    clock = ManualClock()
    rows = {
        f'd{number}': StoreRow(f'd{number}', b'x', Revision(1, 1))
        for number in range(_COUNT)
    }
    listed = _ListStub(rows)
    peers = PeerList('d0', random.Random(1))
    store: Any = listed
    retirement = PeerCleanup('d0', _listing(0), store, peers, clock)
    retirement.is_delegate = True
    yield _CleanupSite(clock, listed, peers, retirement)


async def test_stale_rows_are_removed(cleanup_site: _CleanupSite) -> None:
    """Guards against a list that grows with each host that is replaced.

    Daemons 8 and 9 send no presences any more; their rows stay for the grace
    period and are removed after it.
    """
    await cleanup_site.pass_time(_RULES.stale_after // 2, range(1, 8))
    assert len(cleanup_site.listed.rows) == _COUNT
    await cleanup_site.pass_time(_RULES.stale_after, range(1, 8))
    assert set(cleanup_site.listed.rows) == {
        f'd{number}' for number in range(8)
    }


async def test_own_suspension_removes_nothing(
    cleanup_site: _CleanupSite,
) -> None:
    """Guards against removing rows after a suspension of this daemon.

    While it was suspended, it received no presences of live peers.
    """
    await cleanup_site.pass_time(_RULES.interval, range(1, _COUNT))
    cleanup_site.clock.time = Millis(
        cleanup_site.clock.time + 2 * _RULES.stale_after
    )
    for number in range(1, 8):
        cleanup_site.hear(number)
    await cleanup_site.retirement.reconcile()
    await cleanup_site.pass_time(_RULES.stale_after // 2, range(1, 8))
    assert len(cleanup_site.listed.rows) == _COUNT


async def test_partition_removes_nothing(cleanup_site: _CleanupSite) -> None:
    """Guards against removing rows while this daemon is partitioned.

    It hears three of ten daemons, less than the share that is required.
    """
    await cleanup_site.pass_time(2 * _RULES.stale_after, range(1, 4))
    assert len(cleanup_site.listed.rows) == _COUNT


async def test_rewritten_row_is_kept(cleanup_site: _CleanupSite) -> None:
    """Guards against removing a row that its daemon has written again.

    The daemon comes back between the read of the list and the removal.
    """
    await cleanup_site.pass_time(_RULES.stale_after // 2, range(1, 8))
    cleanup_site.listed.written_after_read = ('d9',)
    await cleanup_site.pass_time(_RULES.stale_after, range(1, 8))
    assert 'd9' in cleanup_site.listed.rows
    assert 'd8' not in cleanup_site.listed.rows


async def test_missing_row_is_written_again(cleanup_site: _CleanupSite) -> None:
    """Guards against a daemon whose row was removed and stays missing.

    Daemons that start later would not find it in the list.
    """
    cleanup_site.listed.rows.pop('d0')
    await cleanup_site.pass_time(_RULES.interval, range(1, _COUNT))
    assert 'd0' in cleanup_site.listed.rows


async def test_older_row_is_written_again(cleanup_site: _CleanupSite) -> None:
    """Guards against a daemon that is listed at an address it has left.

    The list has a row of its that is older, as after a restore of the store.
    """
    own = gossip_messages.encode(_listing(0))
    await cleanup_site.pass_time(_RULES.interval, range(1, _COUNT))
    assert cleanup_site.listed.rows['d0'].content == own
