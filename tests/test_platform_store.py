"""Tests of the client of the platform's store."""

from collections.abc import AsyncIterator, Callable
from typing import Any
from unittest import mock

import attrs
from site_platform import store as store_module
from site_platform.http import Response
from site_platform.store import PlatformStore
from stand_ins.store import PlatformStandIn

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import (
    HistoryLostError,
    PlatformError,
    StoreRestoredError,
)
from monsoonproxy.stores import Revision, Table
from tests.fixtures import fixture, load_functions
from tests.stand_ins import raised

load_tests = load_functions(__name__)

_NO_WAIT = Millis(0)
_TOO_LATE = 1 << 40
#: Versions of a row and of the store, one of them out of range.
_OUT_OF_RANGE = ((-1, 1), (1, _TOO_LATE), (_TOO_LATE, 1), (1, -1))


@attrs.frozen
class _Storage:
    """A store with some rows, and a client of it."""

    server: PlatformStandIn
    client: PlatformStore


@fixture
async def storage() -> AsyncIterator[_Storage]:
    """Yield a store with five rows in the list of daemons."""
    server = PlatformStandIn()
    await server.start()
    for number in range(5):
        server.put('daemons', f'd{number}', b'one')
    client = PlatformStore(server.address, server.address)
    yield _Storage(server, client)
    client.close()
    await server.stop()


async def test_reused_version_meets_no_condition(storage: _Storage) -> None:
    """Guards against two daemons that win the same conditional write (ONE).

    The row has the expected version again, with other content, since the
    store was restored in between.
    """
    copy = storage.server.copy()
    storage.server.put('tokens', 'ledger', b'one')
    row = (await storage.client.read(Table.TOKENS)).rows[0]
    storage.server.restore(copy)
    storage.server.put('tokens', 'ledger', b'two')
    assert row.revision.version == storage.server.version
    write = storage.client.write(Table.TOKENS, 'ledger', b'x', row.revision)
    await raised(write, StoreRestoredError)


async def test_reused_version_allows_no_removal(storage: _Storage) -> None:
    """Guards against removing a row that was just written.

    It has the version of the row that was to be removed, since the store was
    restored in between; the caller must not take it for removed.
    """
    copy = storage.server.copy()
    storage.server.put('daemons', 'd9', b'old')
    row = (await storage.client.read(Table.DAEMONS)).rows[-1]
    storage.server.restore(copy)
    storage.server.put('daemons', 'd9', b'new')
    assert row.revision.version == storage.server.version
    await raised(
        storage.client.remove(Table.DAEMONS, 'd9', row.revision),
        StoreRestoredError,
    )


async def test_changes_of_another_era_are_lost(storage: _Storage) -> None:
    """Guards against changes that a feed skips after a restore (CONFIG).

    The store has the requested version again, but not the changes that the
    caller knows up to it.
    """
    copy = storage.server.copy()
    storage.server.put('daemons', 'd8', b'old')
    known = (await storage.client.read(Table.DAEMONS)).revision
    storage.server.restore(copy)
    for number in (6, 7):
        storage.server.put('daemons', f'd{number}', b'new')
    assert known.version < storage.server.version
    follow = storage.client.follow(Table.DAEMONS, known, _NO_WAIT)
    await raised(follow, StoreRestoredError)


async def test_unknown_version_is_lost_history(storage: _Storage) -> None:
    """Guards against waiting for changes after a version that is gone."""
    await storage.client.read(Table.DAEMONS)
    ahead = Revision(storage.server.era, storage.server.version + 1)
    follow = storage.client.follow(Table.DAEMONS, ahead, _NO_WAIT)
    await raised(follow, HistoryLostError)


async def test_restore_between_pages(storage: _Storage) -> None:
    """Guards against a table that is put together from two histories."""
    copy = storage.server.copy()
    with (
        mock.patch.object(store_module, '_PAGE_SIZE', 2),
        _after_page(storage, lambda: storage.server.restore(copy)),
    ):
        await raised(storage.client.read(Table.DAEMONS), StoreRestoredError)


async def test_change_between_pages(storage: _Storage) -> None:
    """Guards against a change that neither the pages nor the feed return.

    A row of the first page is written before the second one is read; on large
    sites the table of servers has several pages.
    """
    changes_left = [b'two']

    def change_once() -> None:
        if changes_left:
            storage.server.put('daemons', 'd0', changes_left.pop())

    with (
        mock.patch.object(store_module, '_PAGE_SIZE', 2),
        _after_page(storage, change_once),
    ):
        read = await storage.client.read(Table.DAEMONS)
    assert {row.content for row in read.rows} == {b'one'}
    changes = await storage.client.follow(
        Table.DAEMONS, read.revision, _NO_WAIT
    )
    assert [row.content for row in changes.rows] == [b'two']


def _after_page(storage: _Storage, act: Callable[[], None]) -> Any:
    """Do something each time a page of a table was read."""
    read_page = storage.client._get

    async def read_and_act(*args: Any) -> Response:
        response = await read_page(*args)
        act()
        return response

    return mock.patch.object(storage.client, '_get', read_and_act)


async def test_malformed_eras_and_versions(storage: _Storage) -> None:
    """Guards against a follower that ends at an unexpected error.

    Eras and versions out of range would overflow fencing tokens and messages
    to peers.
    """
    row = b'{"rows":[{"key":"k","ver":%d}],"ver":%d}'
    answers = [
        Response(200, row % (1, 1), {'store-era': era})
        for era in ('x', '-1', '9' * 6_000, '8388608', '1.5', '')
    ]
    headers = {'store-era': '1'}
    answers += [
        Response(200, row % (version, newest), headers)
        for version, newest in _OUT_OF_RANGE
    ]
    follow = storage.client.follow
    for answer in answers:
        call = mock.AsyncMock(return_value=answer)
        with mock.patch.object(storage.client._store, 'call', call):
            await raised(storage.client.read(Table.SERVERS), PlatformError)
            await raised(
                follow(Table.SERVERS, Revision(1, 1), _NO_WAIT), PlatformError
            )
