"""Tests of the removal of rows of daemons that are gone for good."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from monsoonproxy import gossip_messages
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.peer_cleanup import CleanupRules, PeerCleanup
from monsoonproxy.peer_list import PeerList
from monsoonproxy.stores import StoreRow, Table, TableRows
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_RULES = CleanupRules()
_COUNT = 10


def _listing(number: int) -> gossip_messages.Listing:
    return gossip_messages.Listing(
        f'10.0.0.{number}:1', f'10.0.0.{number}:2', 'zone-1'
    )


class _ManualClock(Clock):
    """A clock that tests set."""

    def __init__(self) -> None:
        self.time = Millis(1_000)

    def now(self) -> Millis:
        """Return the time."""
        return self.time


@attrs.define
class _ListStub:
    """The list of daemons in memory.

    :param rows: Version and content by name.
    :param written_after_read: Rows that are written right after each reading.
    """

    rows: dict[str, StoreRow]
    written_after_read: tuple[str, ...] = ()

    async def read(self, table: Table) -> TableRows:
        """Return all rows."""
        changes = TableRows(tuple(self.rows.values()), 1)
        for name in self.written_after_read:
            await self.put(table, name, b'y')
        return changes

    async def put(self, _table: Table, key: str, content: bytes) -> None:
        """Write a row."""
        self.rows[key] = StoreRow(key, content, 2)

    async def remove(self, _table: Table, key: str, expected: int) -> bool:
        """Remove a row if its version is as expected."""
        if self.rows[key].version != expected:
            return False
        self.rows.pop(key)
        return True


@attrs.define
class _CleanupSite:
    """A delegate with its list and the daemons that it hears."""

    clock: _ManualClock
    listed: _ListStub
    peers: PeerList
    retirement: Any

    async def pass_time(self, duration: int, heard: range) -> None:
        """Look at the list at each interval while some daemons are heard."""
        until = self.clock.time + duration
        while self.clock.time < until:
            self.clock.time = Millis(self.clock.time + _RULES.interval)
            for number in heard:
                self.hear(number)
            await self.retirement.reconcile()

    def hear(self, number: int) -> None:
        """Take in the presence of a daemon."""
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
    """Yield a delegate of ten daemons."""
    clock = _ManualClock()
    rows = {
        f'd{number}': StoreRow(f'd{number}', b'x', 1)
        for number in range(_COUNT)
    }
    listed = _ListStub(rows)
    peers = PeerList('d0', random.Random(1))
    store: Any = listed
    retirement = PeerCleanup('d0', _listing(0), store, peers, clock)
    retirement.is_delegate = True
    yield _CleanupSite(clock, listed, peers, retirement)


async def test_stale_rows_are_removed(cleanup_site: _CleanupSite) -> None:
    """Guards against a list that grows with each host that is replaced."""
    await cleanup_site.pass_time(_RULES.stale_after // 2, range(1, 8))
    assert len(cleanup_site.listed.rows) == _COUNT
    await cleanup_site.pass_time(_RULES.stale_after, range(1, 8))
    assert set(cleanup_site.listed.rows) == {
        f'd{number}' for number in range(8)
    }


async def test_own_suspension_removes_nothing(
    cleanup_site: _CleanupSite,
) -> None:
    """Guards against rows that are removed since this daemon stood still."""
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
    """Guards against rows that are removed by a daemon behind a partition."""
    await cleanup_site.pass_time(2 * _RULES.stale_after, range(1, 4))
    assert len(cleanup_site.listed.rows) == _COUNT


async def test_rewritten_row_is_kept(cleanup_site: _CleanupSite) -> None:
    """Guards against the removal of a row that was written again."""
    await cleanup_site.pass_time(_RULES.stale_after // 2, range(1, 8))
    cleanup_site.listed.written_after_read = ('d9',)
    await cleanup_site.pass_time(_RULES.stale_after, range(1, 8))
    assert 'd9' in cleanup_site.listed.rows
    assert 'd8' not in cleanup_site.listed.rows


async def test_missing_row_is_written_again(cleanup_site: _CleanupSite) -> None:
    """Guards against a daemon that others can't find any more."""
    cleanup_site.listed.rows.pop('d0')
    await cleanup_site.pass_time(_RULES.interval, range(1, _COUNT))
    assert 'd0' in cleanup_site.listed.rows
