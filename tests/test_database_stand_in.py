"""Tests of the simulated backend server."""

import asyncio
import json
import pathlib
import sys
import tempfile
from collections.abc import Callable
from typing import Any

import aiohttp

from emulator.database import Database
from emulator.locks import Locks, Owner
from emulator.log import Entry, Log
from monsoonproxy.databases import GroupConnection
from monsoonproxy.models import Position, Role
from tests.fixtures import load_functions
from tests.stand_ins import (
    Group,
    elect,
    error_code,
    error_codes,
    fetch,
    fetch_at,
    received,
    run,
)

load_tests = load_functions(__name__)

_TABLE = 'CREATE TABLE IF NOT EXISTS t (id INT PRIMARY KEY, v VARCHAR(20))'


def _isolate(database: Database, *others: Database) -> None:
    database.switch({'cut': [other.name for other in others]})


async def _isolated_write(
    on_primary: GroupConnection,
    on_replica: GroupConnection,
    isolate: Callable[[], None],
) -> None:
    await run(on_primary, _TABLE, "INSERT INTO t VALUES (1, 'kept')")
    await received(on_replica, 3)
    isolate()
    await run(on_primary, "INSERT INTO t VALUES (2, 'lost')")


async def test_truncation_on_follow(group: Group) -> None:
    """Guards against a replaced primary keeping writes nobody else has."""
    old, new, third = await group.start_three()
    on_old, on_new = await group.connect_each(old, new)
    await _isolated_write(on_old, on_new, lambda: _isolate(old, new, third))
    await elect('c', 2, on_new)
    await run(on_new, "INSERT INTO t VALUES (3, 'new')")
    await on_old.follow(2, new.address)
    found = await fetch_at(on_old, 5, 'SELECT id FROM t')
    assert found == [[b'1'], [b'3']]
    assert old.member.log.after(0) == new.member.log.after(0)
    assert not old.member.is_primary


async def test_lower_term_refused(group: Group) -> None:
    """Guards against a candidate of an old term getting its way."""
    replica = await group.start('db1')
    connection = await group.connect(replica)
    assert (await connection.set_term(5, 'a')).candidate == 'a'
    assert (await connection.set_term(4, 'b')).promised_term == 5
    assert (await connection.set_term(5, 'b')).candidate == 'a'
    codes = await error_codes(
        connection,
        "PROMOTE GROUP TERM 4 CANDIDATE 'b'",
        "PROMOTE GROUP TERM 5 CANDIDATE 'b'",
        "FOLLOW GROUP TERM 4 SOURCE '127.0.0.1:1'",
    )
    assert codes == [3101, 3101, 3101]
    assert (await connection.status()).role is Role.REPLICA


async def test_received_row_survives_promotion(group: Group) -> None:
    """Guards against the loss of a row that a majority has received."""
    old, new, _third = await group.start_three()
    new.switch({'apply_lag_ms': 3_600_000})
    on_old, on_new = await group.connect_each(old, new)
    await run(on_old, _TABLE)
    answer = await on_old.query(b"INSERT INTO t VALUES (1, 'x')")
    assert answer.position == Position(1, 3)
    report = await received(on_new, 3)
    assert report.applied < report.received
    promoted = await elect('c', 2, on_new)
    assert (promoted.log_term, promoted.received) == (2, 4)
    assert promoted.term_starts == ((1, 1), (2, 4))
    assert await fetch(on_new, 'SELECT v FROM t WHERE id = 1') == [[b'x']]


async def test_grant_ends_the_old_stream(group: Group) -> None:
    """Guards against a replaced primary reaching a majority after a grant."""
    on_old, on_granting, on_other = await group.connect_each(
        *await group.start_three()
    )
    await received(on_granting, 1)
    await on_granting.set_term(2, 'c')
    await run(on_old, _TABLE)
    await received(on_other, 2)
    await asyncio.sleep(0.2)
    assert (await on_granting.status()).received == 1


async def test_term_change_ends_transactions(group: Group) -> None:
    """Guards against a commit on a primary that granted a higher term."""
    primary = await group.start('db1', primary=True)
    writer, other, admin = await group.connect_each(primary, primary, primary)
    insert = "INSERT INTO t VALUES (1, 'x')"
    await run(writer, _TABLE, 'BEGIN', insert)
    waiting = asyncio.create_task(error_code(other, insert))
    await asyncio.sleep(0.05)
    await admin.set_term(2, 'c')
    # Depends on whether the statement had begun to wait for the lock.
    assert await waiting in {3100, 1290}
    assert await error_codes(writer, 'COMMIT', insert) == [3100, 1290]
    assert not await fetch(writer, 'SELECT * FROM t')


async def test_duplicate_key(group: Group) -> None:
    """Guards against two transactions inserting the same key."""
    primary = await group.start('db1', primary=True)
    first, second = await group.connect_each(primary, primary)
    insert = "INSERT INTO t VALUES (1, 'first')"
    expected = {'ROLLBACK': (0, [[b'1'], [b'2']]), 'COMMIT': (1062, [[b'1']])}
    for ending, (code, keys) in expected.items():
        await run(first, _TABLE, 'DELETE FROM t', 'BEGIN', insert)
        assert not await fetch(second, 'SELECT * FROM t'), 'not committed yet'
        waiting = asyncio.create_task(
            error_code(second, "INSERT INTO t VALUES (2, 'b'), (1, 'second')")
        )
        await asyncio.sleep(0.05)
        assert not waiting.done()
        await run(first, ending)
        assert await waiting == code
        assert await fetch(first, 'SELECT id FROM t ORDER BY id') == keys


async def test_statement_is_atomic(group: Group) -> None:
    """Guards against a failed statement that leaves some of its rows."""
    connection = await group.connect(await group.start('db1', primary=True))
    await run(connection, _TABLE, "INSERT INTO t VALUES (1, 'a')", 'BEGIN')
    insert = "INSERT INTO t VALUES (2, 'b'), (1, 'c')"
    assert await error_codes(connection, insert, 'COMMIT') == [1062, 0]
    assert await fetch(connection, 'SELECT id FROM t') == [[b'1']]


async def test_deadlock(group: Group) -> None:
    """Guards against two transactions that wait for each other for ever."""
    primary = await group.start('db1', primary=True)
    first, second = await group.connect_each(primary, primary)
    await run(first, _TABLE, "INSERT INTO t VALUES (1, 'a'), (2, 'b')")
    await run(first, 'BEGIN', "UPDATE t SET v = 'x' WHERE id = 1")
    await run(second, 'BEGIN', "UPDATE t SET v = 'y' WHERE id = 2")
    codes = await asyncio.gather(
        error_code(first, "UPDATE t SET v = 'x' WHERE id = 2"),
        error_code(second, "UPDATE t SET v = 'y' WHERE id = 1"),
    )
    assert sorted(codes) == [0, 1213]


async def test_lock_hand_over() -> None:
    """Guards against an endless search for a cycle after a hand-over."""
    locks = Locks()
    first, second, third = Owner(), Owner(), Owner()
    key = ('t', (1,))
    await locks.acquire(key, first)
    waiting = asyncio.create_task(locks.acquire(key, second))
    await asyncio.sleep(0)
    locks.release(first)
    assert second.awaited is None
    last = asyncio.create_task(locks.acquire(key, third))
    await waiting
    locks.release(second)
    await last


async def test_kill_connection(group: Group) -> None:
    """Guards against a commit that takes effect after KILL was answered."""
    primary = await group.start('db1', primary=True)
    victim, admin = await group.connect_each(primary, primary)
    await run(victim, _TABLE, 'BEGIN', "INSERT INTO t VALUES (1, 'x')")
    await admin.kill(victim.connection_id)
    assert await error_code(admin, "INSERT INTO t VALUES (1, 'y')") == 0
    assert await fetch(admin, 'SELECT v FROM t') == [[b'y']]


async def test_slots(group: Group) -> None:
    """Guards against more statements running than there are slots."""
    primary = await group.start('db1', primary=True, slots=1)
    connections = await group.connect_each(primary, primary, primary)
    await asyncio.gather(
        *(fetch(each, 'SELECT SLEEP(0.05)') for each in connections)
    )
    assert primary.service.counters.peak_running == 1


async def test_frozen(group: Group) -> None:
    """Guards against a frozen server answering or losing a request."""
    primary = await group.start('db1', primary=True)
    connection = await group.connect(primary)
    primary.switch({'frozen': True})
    waiting = asyncio.create_task(fetch(connection, 'SELECT 1'))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    primary.switch({'frozen': False})
    assert await waiting == [[b'1']]


async def test_apply_lag(group: Group) -> None:
    """Guards against reads that see what was received but not applied."""
    primary, replica, _third = await group.start_three()
    replica.switch({'apply_lag_ms': 3_600_000})
    on_primary, on_replica = await group.connect_each(primary, replica)
    await run(on_primary, _TABLE)
    await received(on_replica, 2)
    assert await error_code(on_replica, 'SELECT * FROM t') == 1146
    replica.switch({'apply_lag_ms': 0})
    while (await on_replica.status()).applied < 2:
        await asyncio.sleep(0.01)
    assert await error_code(on_replica, 'SELECT * FROM t') == 0


async def test_receive_lag(group: Group) -> None:
    """Guards against a receive lag that loses or reorders entries."""
    primary, replica, _third = await group.start_three()
    on_primary, on_replica = await group.connect_each(primary, replica)
    await received(on_replica, 1)
    replica.switch({'receive_lag_ms': 3_600_000})
    await run(on_primary, _TABLE, "INSERT INTO t VALUES (1, 'x')")
    await asyncio.sleep(0.1)
    assert replica.member.log.end == 1
    replica.switch({'receive_lag_ms': 0})
    await received(on_replica, 3)
    assert replica.member.log.after(0) == primary.member.log.after(0)


async def test_control_port(group: Group) -> None:
    """Guards against a misspelt switch that is silently ignored."""
    primary = await group.start('db1', primary=True)
    url = f'http://{primary.control_address}'
    async with aiohttp.ClientSession() as session:
        reply = await session.post(f'{url}/switches', json={'slowms': 5})
        assert reply.status == 400
        await session.post(f'{url}/switches', json={'leaving': True})
        reply = await session.get(f'{url}/status')
        shown = await reply.json()
    assert shown['status']['leaving'] == '1'
    assert shown['counters']['connections'] == 0


async def test_process() -> None:
    """Guards against a command that does not start or does not end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'emulator',
        'database',
        '--name',
        'db1',
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    line = json.loads(await process.stdout.readline())
    assert line['name'] == 'db1' and line['address'].startswith('127.0.0.1:')
    process.terminate()
    assert await process.wait() == 0


async def test_source_silence(group: Group) -> None:
    """Guards against a cut that the replicas don't report, or never end."""
    primary, replica, _third = await group.start_three()
    connection = await group.connect(replica)
    await received(connection, 1)
    _isolate(primary, replica)
    while (await connection.status()).source_silence < 400:
        await asyncio.sleep(0.02)
    _isolate(primary)
    while (await connection.status()).source_silence >= 400:
        await asyncio.sleep(0.02)


async def test_restart(group: Group) -> None:
    """Guards against a restarted server that forgot a promise or a row."""
    with tempfile.TemporaryDirectory() as directory:
        state = pathlib.Path(directory)
        options: dict[str, Any] = {'primary': True, 'state': state}
        before, connection = await group.start_connected('db1', **options)
        await run(connection, _TABLE, "INSERT INTO t VALUES (1, 'x')")
        await connection.set_term(7, 'c')
        await before.close()
        _after, connection = await group.start_connected('db1', **options)
        report = await connection.status()
        assert (report.promised_term, report.candidate) == (7, 'c')
        assert report.role is Role.REPLICA
        assert await fetch(connection, 'SELECT v FROM t') == [[b'x']]


def test_interrupted_append() -> None:
    """Guards against a half-written entry that spoils the log."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'log'
        log = Log(path)
        entries = [Entry(1, offset, 'x', []) for offset in (1, 2, 3)]
        for entry in entries:
            log.append(entry)
        log.close()
        path.write_bytes(path.read_bytes()[:-1])
        reopened = Log(path)
        assert reopened.after(0) == entries[:2]
        reopened.append(entries[2])
        reopened.close()
        assert Log(path).after(0) == entries


async def test_audit(group: Group) -> None:
    """Guards against a commit that the audit log can't account for."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'audit'
        primary = await group.start('db1', primary=True, audit=path)
        connection = await group.connect(primary)
        await run(connection, _TABLE, 'BEGIN')
        await run(connection, "INSERT INTO t VALUES (1, 'x')", 'COMMIT')
        lines = [json.loads(line) for line in path.read_text().splitlines()]
    committed = [line for line in lines if line['kind'] == 'commit']
    entries = primary.member.log.after(1)
    assert [line['transaction'] for line in committed] == [
        entry.transaction for entry in entries
    ]
    ran = [line for line in lines if line['kind'] == 'statement']
    assert committed[-1]['rows'] == [['t', [1], [1, 'x']]]
    assert ran[-1]['transaction'] == committed[-1]['transaction']
    assert ran[-1]['connection'] == connection.connection_id
