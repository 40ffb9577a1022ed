"""Tests of the removal of rows of daemons that are gone for good."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from monsoonproxy import notices
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.neighbours import Neighbours
from monsoonproxy.retirement import Retirement, RetirementRules
from monsoonproxy.stores import Change, Changes, Table
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_RULES = RetirementRules()
_COUNT = 10


def _listing(number: int) -> notices.Listing:
    return notices.Listing(f'10.0.0.{number}:1', f'10.0.0.{number}:2', 'zone-1')


class _Clock(Clock):
    """A clock that tests set."""

    def __init__(self) -> None:
        self.time = Millis(1_000)

    def now(self) -> Millis:
        """Return the time."""
        return self.time


@attrs.define
class _List:
    """The list of daemons in memory.

    :param rows: Version and content by name.
    :param written_late: Rows that are written right after each reading.
    """

    rows: dict[str, Change]
    written_late: tuple[str, ...] = ()

    async def read(self, table: Table) -> Changes:
        """Return all rows."""
        changes = Changes(tuple(self.rows.values()), 1)
        for name in self.written_late:
            await self.put(table, name, b'y')
        return changes

    async def put(self, _table: Table, key: str, content: bytes) -> None:
        """Write a row."""
        self.rows[key] = Change(key, content, 2)

    async def remove(self, _table: Table, key: str, expected: int) -> bool:
        """Remove a row if its version is as expected."""
        if self.rows[key].version != expected:
            return False
        self.rows.pop(key)
        return True


@attrs.define
class _Watched:
    """A delegate with its list and the daemons that it hears."""

    clock: _Clock
    listed: _List
    neighbours: Neighbours
    retirement: Any

    async def pass_time(self, duration: int, heard: range) -> None:
        """Look at the list at each interval while some daemons are heard."""
        until = self.clock.time + duration
        while self.clock.time < until:
            self.clock.time = Millis(self.clock.time + _RULES.interval)
            for number in heard:
                self.hear(number)
            await self.retirement.look()

    def hear(self, number: int) -> None:
        """Take in the presence of a daemon."""
        where = _listing(number)
        presence = notices.Presence(
            f'd{number}',
            where.address,
            where.relay,
            where.zone,
            1,
            1,
            1,
            follows=True,
        )
        self.neighbours.heard(presence, self.clock.time)


@fixture
def watched() -> Iterator[_Watched]:
    """Yield a delegate of ten daemons."""
    clock = _Clock()
    rows = {
        f'd{number}': Change(f'd{number}', b'x', 1) for number in range(_COUNT)
    }
    listed = _List(rows)
    neighbours = Neighbours('d0', random.Random(1))
    store: Any = listed
    retirement = Retirement('d0', _listing(0), store, neighbours, clock)
    retirement.is_delegate = True
    yield _Watched(clock, listed, neighbours, retirement)


async def test_gone_for_good(watched: _Watched) -> None:
    """Guards against a list that grows with each host that is replaced."""
    await watched.pass_time(_RULES.gone_for // 2, range(1, 8))
    assert len(watched.listed.rows) == _COUNT
    await watched.pass_time(_RULES.gone_for, range(1, 8))
    assert set(watched.listed.rows) == {f'd{number}' for number in range(8)}


async def test_own_freeze_tells_nothing(watched: _Watched) -> None:
    """Guards against rows that are removed since this daemon stood still."""
    await watched.pass_time(_RULES.interval, range(1, _COUNT))
    watched.clock.time = Millis(watched.clock.time + 2 * _RULES.gone_for)
    for number in range(1, 8):
        watched.hear(number)
    await watched.retirement.look()
    await watched.pass_time(_RULES.gone_for // 2, range(1, 8))
    assert len(watched.listed.rows) == _COUNT


async def test_cut_off_tells_nothing(watched: _Watched) -> None:
    """Guards against rows that are removed by a daemon behind a partition."""
    await watched.pass_time(2 * _RULES.gone_for, range(1, 4))
    assert len(watched.listed.rows) == _COUNT


async def test_came_back_elsewhere(watched: _Watched) -> None:
    """Guards against the removal of a row that was written again."""
    await watched.pass_time(_RULES.gone_for // 2, range(1, 8))
    watched.listed.written_late = ('d9',)
    await watched.pass_time(_RULES.gone_for, range(1, 8))
    assert 'd9' in watched.listed.rows
    assert 'd8' not in watched.listed.rows


async def test_missing_row_is_written_again(watched: _Watched) -> None:
    """Guards against a daemon that others can't find any more."""
    watched.listed.rows.pop('d0')
    await watched.pass_time(_RULES.interval, range(1, _COUNT))
    assert 'd0' in watched.listed.rows
