"""Fixtures that start simulated backend servers and platforms."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
from typing import Any, TypeVar

from emulator.database import Database, Options
from emulator.platform import Platform
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.databases import GroupAdapter, GroupConnection
from monsoonproxy.exceptions import BackendError
from monsoonproxy.messages import Row
from monsoonproxy.models import BackendReport
from monsoonproxy.platforms import HttpPlatform
from tests.fixtures import fixture

_Error = TypeVar('_Error', bound=Exception)

#: No test waits that long unless something hangs.
PATIENCE = Millis(20_000)


class Group:
    """Starts backend servers and opens connections to them."""

    def __init__(self) -> None:
        self.databases: list[Database] = []
        self._connections: list[GroupConnection] = []

    async def start(self, name: str, **options: Any) -> Database:
        database = Database(Options(name, **options))
        await database.start()
        self.databases.append(database)
        return database

    async def start_three(self) -> list[Database]:
        first = await self.start('db1', primary=True)
        for name in ('db2', 'db3'):
            await self.start(name, source=first.address)
        return self.databases

    async def start_connected(
        self, name: str, **options: Any
    ) -> tuple[Database, GroupConnection]:
        database = await self.start(name, **options)
        return database, await self.connect(database)

    async def connect_each(self, *databases: Database) -> list[GroupConnection]:
        return [await self.connect(database) for database in databases]

    async def connect(self, database: Database) -> GroupConnection:
        connection = await GroupAdapter().connect(
            database.address, user='test', password='', timeout=PATIENCE
        )
        self._connections.append(connection)
        return connection

    async def close(self) -> None:
        for connection in self._connections:
            await connection.close()
        for database in self.databases:
            database.switch({'frozen': False, 'cut': []})
            await database.close()


@fixture
async def group() -> AsyncIterator[Group]:
    """Yield a group without members."""
    made = Group()
    yield made
    await made.close()


@fixture
async def platform() -> AsyncIterator[Platform]:
    """Yield a running platform."""
    made = Platform()
    await made.start()
    yield made
    await made.close()


@fixture
async def client(platform: Platform) -> AsyncIterator[HttpPlatform]:
    """Yield an adapter for the platform."""
    made = HttpPlatform(platform.url, timeout=PATIENCE)
    yield made
    await made.close()


async def raised(waiting: Awaitable[Any], kind: type[_Error]) -> _Error:
    """Return the error that a call raises."""
    try:
        await waiting
    except kind as exc:
        return exc
    raise AssertionError(f'{kind.__name__} was not raised')


async def fetch(connection: GroupConnection, sql: str) -> list[Row]:
    """Run a statement and return all rows."""
    answer = await connection.query(sql.encode())
    return [row async for batch in answer.rows for row in batch]


async def fetch_at(
    connection: GroupConnection, offset: int, sql: str
) -> list[Row]:
    """Run a statement once the member has received an offset."""
    await received(connection, offset)
    return await fetch(connection, sql)


async def run(connection: GroupConnection, *statements: str) -> None:
    """Run statements that return nothing of interest."""
    for sql in statements:
        await fetch(connection, sql)


async def error_code(connection: GroupConnection, sql: str) -> int:
    """Run a statement and return the code of its error, 0 if none."""
    try:
        await fetch(connection, sql)
    except BackendError as exc:
        return exc.code
    return 0


async def error_codes(
    connection: GroupConnection, *statements: str
) -> list[int]:
    """Run statements and return the codes of their errors."""
    return [await error_code(connection, sql) for sql in statements]


async def received(connection: GroupConnection, offset: int) -> BackendReport:
    """Wait until a member has received an offset."""
    async with asyncio.timeout(seconds(PATIENCE)):
        report = await connection.status()
        while report.received < offset:
            report = await connection.wait_change(
                report.received, report.applied, PATIENCE
            )
    return report


async def elect(
    candidate: str, term: int, *connections: GroupConnection
) -> BackendReport:
    """Set a term on some members and promote the first of them."""
    for connection in connections:
        await connection.set_term(term, candidate)
    return await connections[0].promote(term, candidate)
