"""Tests of the MySQL protocol on the side of the callers."""

from typing import Any

import asyncmy
import pymysql

from monsoonproxy import (
    frontends,
    messages,
    session_tokens,
)
from monsoonproxy.clock import Millis
from monsoonproxy.models import Position
from tests import wire
from tests.callers import Running, end
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


async def test_text_select(running: Running) -> None:
    """Guards against rows lost or altered between executor and caller."""
    column = messages.Column('a', 8, 63, 0)
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        messages.ResultRows(1, 0, [[b'1'], [None]]),
        end(row_messages=1),
    ]
    conn = await asyncmy.connect(
        host='127.0.0.1', port=running.port, user='hire', autocommit=None
    )
    async with conn.cursor() as cursor:
        await cursor.execute('SELECT a')
        assert await cursor.fetchall() == ((1,), (None,))
    await conn.ensure_closed()


async def test_insert(running: Running) -> None:
    """Guards against an OK packet without row count, insert id or status."""
    running.executor.answers[b'INSERT a'] = [
        end(affected_rows=300, insert_id=7, in_transaction=True)
    ]

    def call(conn: pymysql.Connection) -> tuple[int, ...]:
        with conn.cursor() as cursor:
            cursor.execute('INSERT a')
            return cursor.rowcount, cursor.lastrowid, conn.server_status

    assert await running.in_thread(call) == (300, 7, 3)


async def test_partial_answer(running: Running) -> None:
    """Guards against a truncated result set that looks complete.

    An answer that fails, is refused or ends after its first rows must end in
    an error packet, not in an EOF packet.
    """
    column = messages.Column('a', 0xFD, 255, 0)
    start = [
        messages.ResultHeader(1, [column]),
        messages.ResultRows(1, 0, [[b'x']]),
    ]
    ends = {
        b'SELECT a': (messages.Failure(1, 1205, 'HY000', 'lock'), 1205),
        b'SELECT b': (messages.Refusal(1, 'busy', 7), 4100),
        b'SELECT c': (messages.Unknown(1, 'gone'), 4101),
        b'SELECT d': (end(row_messages=2), 4101),
    }
    caller = await running.raw()
    for sql, (last, code) in ends.items():
        running.executor.answers[sql] = [*start, last]
        await running.ask(caller, sql)
        packets_read = [await caller.read() for _ in range(4)]
        assert wire.error_code(packets_read[-1]) == code, sql
    running.executor.answers[b'SELECT e'] = start[:1]
    await running.ask(caller, b'SELECT e')
    packets_read = [await caller.read() for _ in range(3)]
    assert b'outcome unknown' in packets_read[-1]
    running.executor.answers[b'INSERT'] = [messages.Refusal(1, 'busy', 7)]
    answer = await running.ask(caller, b'INSERT')
    assert answer.endswith(b'#HY000not run: busy; come back after 7 ms')


async def test_new_protocol(running: Running) -> None:
    """Guards against EOF packets sent despite CLIENT_DEPRECATE_EOF.

    The caller also sends query attributes, which must be parsed.
    """
    column = messages.Column('a', 8, 63, 0)
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        messages.ResultRows(1, 0, [[b'5']]),
        end(row_messages=1, warnings=2),
    ]
    caller = await wire.RawCaller.connect(running.port)
    assert (await caller.log_in(b'hire', extra=0x9000000))[0] == 0
    attribute = b'\x01\x01\x00\x01\xfe\x00\x0amax_age_ms\x03500'
    assert await running.ask(caller, b'%bSELECT a' % attribute) == b'\x01'
    rest = [await caller.read() for _ in range(3)]
    assert rest[1:] == [b'\x015', b'\xfe\x00\x00\x02\x00\x02\x00']
    assert running.executor.seen[0].marks.max_age == 500
    answer = await caller.ask(b'\x16INSERT ?, ?')
    assert answer[7:9] == b'\x02\x00'
    for _ in range(2):
        assert b'?' in await caller.read()
    assert (await caller.ask(b'\x0e'))[0] == 0


async def test_refused_requests(running: Running) -> None:
    """Guards against invalid requests that are run or close the connection.

    Each must get its error code, reach no backend server and leave the
    connection usable.
    """
    other = session_tokens.Signer([session_tokens.Key('k1', b'x' * 32)])
    forged = other.sign('hire', Position(1, 1), Millis(0)).encode()
    caller = await running.raw()
    for sql, code in (
        (b"SELECT a /* max_age_ms='x' */", 4102),
        (b"SET @@monsoonproxy_token = 'x'", 4103),
        (b"SELECT a /* token='%b' */" % forged.replace(b'=', b'%3D'), 4103),
        (b'USE other', 1049),
        (b'SET sql_mode = ANSI', 1235),
        (b'KILL 5', 1235),
        (b"SET GROUP TERM 9 CANDIDATE 'a'", 1235),
        (b' ', 1065),
    ):
        assert wire.error_code(await running.ask(caller, sql)) == code, sql
    assert wire.error_code(await caller.ask(b'\x02other')) == 1049
    assert wire.error_code(await caller.ask(b'\x99')) == 1047
    assert running.executor.texts() == []
    assert (await running.ask(caller, b'INSERT'))[0] == 0


async def test_token(running: Running) -> None:
    """Guards against a session token that loses the session's floor.

    A caller takes its token to a new connection, which must read from no
    replica behind the position of the caller's last write.
    """
    running.executor.answers[b'INSERT'] = [end(floor=(3, 40))]

    def write(conn: pymysql.Connection) -> str:
        with conn.cursor() as cursor:
            cursor.execute('SELECT @@monsoonproxy_token')
            assert cursor.fetchone() == (None,)
            cursor.execute('INSERT')
            cursor.execute('SELECT @@monsoonproxy_token')
            return cursor.fetchone()[0]

    token = await running.in_thread(write)
    conn = await asyncmy.connect(
        host='127.0.0.1', port=running.port, user='hire', autocommit=None
    )
    async with conn.cursor() as cursor:
        await cursor.execute('SET @@monsoonproxy_token = %s', (token,))
    connection = next(iter(running.frontend.connections))
    assert connection.state.floor == Position(3, 40)
    await conn.ensure_closed()


async def test_transactions(running: Running) -> None:
    """Guards against statements that run outside their transaction.

    Covers autocommit = 0, repeated COMMIT and BEGIN, and statements that
    commit implicitly.
    """

    def call(conn: pymysql.Connection) -> None:
        with conn.cursor() as cursor:
            cursor.execute('SELECT a')
            conn.commit()
            conn.commit()
            conn.begin()
            cursor.execute('DROP TABLE a')
            conn.begin()
            cursor.execute('SET autocommit = 1')
            cursor.execute('SELECT b')

    await running.in_thread(call, autocommit=False)
    assert running.executor.texts() == [
        b'BEGIN', b'SELECT a', b'COMMIT', b'BEGIN', b'COMMIT',
        b'DROP TABLE a', b'BEGIN', b'COMMIT', b'SELECT b',
    ]  # fmt: skip


async def test_reset(running: Running) -> None:
    """Guards against an open transaction that survives a session reset.

    Covers COM_RESET_CONNECTION and COM_CHANGE_USER.
    """
    caller = await running.raw()
    change = b'\x11u\x00\x00hire-2\x00\x2d\x00mysql_native_password\x00'
    for command in (b'\x1f', change):
        await running.ask(caller, b'BEGIN')
        answer = await caller.ask(command)
        assert answer[:5] == b'\x00\x00\x00\x02\x00'
        assert await running.executor.events.get() == 'close'
    connection = next(iter(running.frontend.connections))
    assert connection.state.service == 'hire-2'


async def test_local_answers(running: Running) -> None:
    """Guards against wrong answers to statements that the proxy answers.

    Drivers send these while connecting, and fail or work with wrong settings
    if the answers are wrong.
    """
    running.executor.answers[b'INSERT'] = [end(insert_id=9, warnings=2)]
    expected = {
        'SELECT @@session.sql_mode AS a, DATABASE(), @@autocommit LIMIT 1': (
            ('STRICT_TRANS_TABLES', 'hire', '1'),
        ),
        "SHOW VARIABLES LIKE 'lower_case%'": (('lower_case_table_names', '0'),),
        "SHOW VARIABLES WHERE Variable_name IN ('autocommit')": (
            ('autocommit', '1'),
        ),
        'SELECT LAST_INSERT_ID()': (('9',),),
        'SHOW WARNINGS': (
            ('Note', '1105', '2 warnings; their text is not kept'),
        ),
    }

    def call(conn: pymysql.Connection) -> dict[str, tuple[Any, ...]]:
        with conn.cursor() as cursor:
            cursor.execute('SET NAMES utf8mb4 COLLATE utf8mb4_general_ci')
            cursor.execute("SET time_zone = '+00:00', wait_timeout = 5")
            cursor.execute('SET @@monsoonproxy_max_age_ms = 700')
            cursor.execute('INSERT')
            found = {}
            for sql in expected:
                cursor.execute(sql)
                found[sql] = cursor.fetchall()
            return found

    assert await running.in_thread(call) == expected
    assert [known.marks.max_age for known in running.executor.seen] == [700]


async def test_large_values(running: Running) -> None:
    """Guards against corrupt packets that span several frames.

    Sizes include the frame limit of 0xFFFFFF bytes itself.
    """
    running.frontend.limits = frontends.Limits()
    column = messages.Column('a', 0xFC, 63, 0)
    cells = [bytes(size) for size in (0xFFFFFF - 4, 0xFFFFFF, 17_000_000)]
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        *(messages.ResultRows(1, 0, [[cell]]) for cell in cells),
        end(row_messages=3),
    ]
    large = b"INSERT '%b'" % bytes(17_000_000)

    def call(conn: pymysql.Connection) -> list[bytes]:
        conn.query(large)
        with conn.cursor() as cursor:
            cursor.execute('SELECT a')
            return [row[0] for row in cursor.fetchall()]

    options = {'max_allowed_packet': 64 * 1024 * 1024}
    assert await running.in_thread(call, **options) == cells
    assert running.executor.texts()[0] == large
