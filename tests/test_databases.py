"""Tests of the database adapter, against the simulated backend server."""

import asyncio
import socket

from emulator.database import Database
from emulator.ports import free_port
from monsoonproxy import adapters
from monsoonproxy.clock import Millis
from monsoonproxy.databases import GroupAdapter
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    TermChangedError,
    TooManyConnectionsError,
)
from monsoonproxy.models import Position
from tests.fixtures import load_functions
from tests.stand_ins import PATIENCE, Group, fetch, raised, run

load_tests = load_functions(__name__)

_TABLE = 'CREATE TABLE t (id INT PRIMARY KEY, v TEXT, b BLOB)'
_BIG = 500_000


def _fill(primary: Database, rows: int) -> None:
    # One shared value keeps the table itself small.
    value = b'x' * _BIG
    transaction = primary.member.transactions.begin(0)
    for key in range(rows):
        transaction.view.changes[('t', (key,))] = (key, value, None)
    primary.member.commit(transaction)


async def _settled(primary: Database) -> int:
    """Wait until the backend server sends no more rows."""
    sent: list[int] = []
    while len(set(sent[-10:])) != 1 or len(sent) < 10:
        sent.append(primary.service.counters.rows_sent)
        await asyncio.sleep(0.03)
    return sent[-1]


async def test_values_byte_exact(group: Group) -> None:
    """Guards against values that change between database and caller."""
    connection = await group.connect(await group.start('db1', primary=True))
    await fetch(connection, _TABLE)
    binary = bytes(range(256))
    text = 'é漢字🌧\n\t'.encode()
    literals = b"'%s', 0x%s" % (text, binary.hex().encode())
    await connection.query(b'INSERT INTO t VALUES (1, %s)' % literals)
    await connection.query(b"INSERT INTO t VALUES (-2, NULL, '\xff''')")
    answer = await connection.query(b'SELECT * FROM t')
    rows = [row async for batch in answer.rows for row in batch]
    assert rows == [[b'1', text, binary], [b'-2', None, b"\xff'"]]
    assert [column.name for column in answer.columns] == ['id', 'v', 'b']
    assert [column.charset for column in answer.columns] == [63, 255, 63]


async def test_answer_of_a_write(group: Group) -> None:
    """Guards against a commit without its position or counts."""
    connection = await group.connect(await group.start('db1', primary=True))
    await fetch(
        connection, 'CREATE TABLE a (id INT AUTO_INCREMENT PRIMARY KEY)'
    )
    answer = await connection.query(b'INSERT INTO a VALUES (NULL), (NULL)')
    assert (answer.affected_rows, answer.insert_id) == (2, 1)
    assert answer.position == Position(1, 3)
    answer = await connection.query(b'BEGIN')
    assert answer.in_transaction
    answer = await connection.query(b'DELETE FROM a WHERE id = 1')
    assert (answer.affected_rows, answer.position) == (1, None)
    answer = await connection.query(b'COMMIT')
    assert (answer.in_transaction, answer.position) == (False, Position(1, 4))


async def test_large_result_streamed(group: Group) -> None:
    """Guards against a large result that fills the memory."""
    primary = await group.start('db1', primary=True)
    connection = await group.connect(primary)
    await fetch(connection, _TABLE)
    _fill(primary, 200)
    answer = await connection.query(b'SELECT * FROM t')
    keys: list[bytes | None] = []
    async for batch in answer.rows:
        if not keys:
            assert await _settled(primary) < 200
        keys += [row[0] for row in batch]
        size = sum(len(row[1] or b'') for row in batch)
        assert size < adapters.BATCH_BYTES + _BIG
    assert keys == [str(key).encode() for key in range(200)]
    assert await fetch(connection, 'SELECT 1') == [[b'1']]


async def test_many_small_rows(group: Group) -> None:
    """Guards against lost rows or oversized batches of small rows."""
    connection = await group.connect(await group.start('db1', primary=True))
    await fetch(connection, _TABLE)
    rows = ', '.join(f"({key}, 'v', NULL)" for key in range(2000))
    await fetch(connection, f'INSERT INTO t VALUES {rows}')
    answer = await connection.query(b'SELECT id FROM t ORDER BY id')
    batches = [batch async for batch in answer.rows]
    assert max(map(len, batches)) <= adapters.BATCH_ROWS
    assert sum(map(len, batches)) == 2000


async def test_lost_while_reading(group: Group) -> None:
    """Guards against a part of a result that passes as the whole."""
    primary = await group.start('db1', primary=True)
    connection = await group.connect(primary)
    await fetch(connection, _TABLE)
    _fill(primary, 200)
    answer = await connection.query(b'SELECT * FROM t')
    assert await anext(answer.rows)
    await primary.kill(connection.connection_id)

    async def rest() -> None:
        while True:
            await anext(answer.rows)

    lost = await raised(rest(), ConnectionLostError)
    assert lost.sent


async def test_lost_during_a_statement(group: Group) -> None:
    """Guards against a lost connection reported as `not sent`."""
    primary = await group.start('db1', primary=True)
    connection = await group.connect(primary)
    waiting = asyncio.create_task(connection.query(b'SELECT SLEEP(60)'))
    while not primary.service.counters.reads:
        await asyncio.sleep(0.01)
    await primary.kill(connection.connection_id)
    lost = await raised(waiting, ConnectionLostError)
    assert lost.sent
    again = await raised(connection.query(b'SELECT 1'), ConnectionLostError)
    assert not again.sent


async def test_refused_and_silent(group: Group) -> None:
    """Guards against mixing up a dead process and a silent one."""
    adapter = adapters.databases.get('group')()
    assert adapter.fences
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        port = unused.getsockname()[1]
        address = f'127.0.0.1:{port}'
        refused = await raised(
            adapter.connect(address, user='', password='', timeout=PATIENCE),
            ConnectionLostError,
        )
    assert refused.refused
    frozen = await group.start('db1', primary=True)
    frozen.switch({'frozen': True})
    silent = await raised(
        adapter.connect(
            frozen.address, user='', password='', timeout=Millis(50)
        ),
        ConnectionLostError,
    )
    assert not silent.refused


async def test_connection_limit(group: Group) -> None:
    """Guards against 1040 passing as a dead server, and against leaks."""
    primary = await group.start('db1', primary=True)
    primary.switch({'connection_limit': 2})
    first, _second = [await group.connect(primary) for _ in range(2)]
    await raised(group.connect(primary), TooManyConnectionsError)
    counters = primary.service.counters
    assert (counters.peak_connections, counters.refused_connections) == (2, 1)
    await first.close()
    while counters.connections == 2:
        await asyncio.sleep(0.01)
    await group.connect(primary)


async def test_errors(group: Group) -> None:
    """Guards against errors that lose their code or their type."""
    primary = await group.start('db1', primary=True)
    connection, admin = await group.connect_each(primary, primary)
    insert = "INSERT INTO t VALUES (1, 'a', '')"
    await run(connection, _TABLE, insert)
    duplicate = await raised(fetch(connection, insert), BackendError)
    assert (duplicate.code, duplicate.sqlstate) == (1062, '23000')
    await run(connection, 'BEGIN', 'DELETE FROM t WHERE id = 1')
    await admin.set_term(2, 'c')
    await raised(connection.query(b'COMMIT'), TermChangedError)


async def test_reset(group: Group) -> None:
    """Guards against a transaction that the next session inherits."""
    connection = await group.connect(await group.start('db1', primary=True))
    await run(connection, _TABLE, 'SET autocommit = 0')
    await run(connection, "INSERT INTO t VALUES (1, 'a', '')")
    await connection.reset()
    answer = await connection.query(b"INSERT INTO t VALUES (2, 'b', '')")
    assert not answer.in_transaction
    assert await fetch(connection, 'SELECT id FROM t') == [[b'2']]


async def test_reset_with_rows_left(group: Group) -> None:
    """Guards against the next session reading the rows of the last one."""
    connection = await group.connect(await group.start('db1', primary=True))
    await connection.kill(999_999)
    await connection.query(b'SELECT 1')
    await raised(connection.reset(), ConnectionLostError)
    await raised(connection.query(b'SELECT 2'), ConnectionLostError)


async def test_cancelled_while_refused() -> None:
    """Guards against a task that goes on after it was cancelled.

    A connection that is refused in the same turn of the loop in which it is
    cancelled used to raise its own error, and a daemon's shutdown then
    waited for a poll that never ended.
    """
    adapter = GroupAdapter()
    address = f'127.0.0.1:{free_port()}'
    for number in range(600):
        connecting = asyncio.create_task(
            adapter.connect(
                address, user='x', password='', timeout=Millis(1_000)
            )
        )
        await asyncio.sleep(number % 60 / 50_000)
        if connecting.cancel():
            await asyncio.wait((connecting,))
            assert connecting.cancelled(), connecting
        else:
            connecting.exception()
