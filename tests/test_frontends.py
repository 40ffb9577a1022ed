"""Tests of the MySQL protocol towards the callers."""

import asyncio
import contextlib
import itertools
import pathlib
import re
import ssl
import struct
from collections.abc import AsyncIterator, Callable
from typing import Any
from unittest import mock

import asyncmy
import attrs
import pymysql
from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy import (
    bindings,
    frontends,
    handshakes,
    identities,
    messages,
    packets,
    sessions,
    statements,
    tokens,
)
from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import StatementError
from monsoonproxy.models import Position
from monsoonproxy.streams import PacketError, PacketStream
from tests import wire
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_UNSIGNED = st.integers(0, 2**64 - 1)
_SECRET = b'0123456789abcdef0123456789abcdef'


def _end(**values: object) -> messages.ResultEnd:
    fields: dict = {
        'request': 1,
        'row_messages': 0,
        'affected_rows': 0,
        'insert_id': 0,
        'warnings': 0,
        'floor': None,
        'in_transaction': False,
        'server': 'a',
        'reason': '',
    }
    return messages.ResultEnd(**{**fields, **values})


@attrs.define
class FakeExecutor:
    """Answers statements from prepared answers; ``None`` waits for ever."""

    answers: dict[bytes, list[messages.Reply | None]] = attrs.Factory(dict)
    seen: list[statements.Statement] = attrs.Factory(list)
    events: asyncio.Queue[str] = attrs.Factory(asyncio.Queue)
    yielded: int = 0

    def known(self, service: str) -> bool:
        return service.startswith('hire')

    async def execute(
        self, session: sessions.Session, statement: statements.Statement
    ) -> AsyncIterator[messages.Reply]:
        self.seen.append(statement)
        inside = session.in_transaction
        if statement.kind.value in {'begin', 'commit', 'rollback'}:
            inside = statement.kind.value == 'begin'
        default = _end(in_transaction=inside)
        for reply in self.answers.get(statement.sql, [default]):
            if reply is None:
                await asyncio.Event().wait()
            else:
                self.yielded += 1
                yield reply

    def cancel(self, session: sessions.Session) -> None:
        self.events.put_nowait('cancel')

    async def close(self, session: sessions.Session) -> None:
        self.events.put_nowait('close')

    def texts(self) -> list[bytes]:
        """Return the statements run so far."""
        return [statement.sql for statement in self.seen]


@attrs.define
class Running:
    executor: FakeExecutor
    frontend: frontends.Frontend
    port: int

    async def raw(self, database: bytes = b'hire') -> wire.RawCaller:
        """Log in a raw caller."""
        caller = await wire.RawCaller.connect(self.port)
        assert (await caller.log_in(database))[0] == 0
        return caller

    async def ask(self, caller: wire.RawCaller, sql: bytes) -> bytes:
        """Send a text statement."""
        return await caller.ask(b'\x03%b' % sql)

    async def in_thread(self, call: Callable[..., Any], **options: Any) -> Any:
        """Call a function with a PyMySQL connection in a thread."""
        arguments: dict = {'user': 'hire', 'autocommit': None, **options}

        def run() -> Any:
            with pymysql.connect(
                host='127.0.0.1', port=self.port, **arguments
            ) as conn:
                return call(conn)

        return await asyncio.to_thread(run)


@fixture
async def running() -> AsyncIterator[Running]:
    executor = FakeExecutor()
    signer = tokens.Signer([tokens.Key('k1', _SECRET)])
    limits = frontends.Limits(packet=1 << 20, linger=60_000)
    frontend = frontends.Frontend(executor, signer, limits=limits)
    port = await frontend.start('127.0.0.1', 0)
    yield Running(executor, frontend, port)
    frontend.stop_accepting()
    frontend.abort()


async def test_text_select(running: Running) -> None:
    """Guards against rows that don't reach the caller."""
    column = messages.Column('a', 8, 63, 0)
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        messages.ResultRows(1, 0, [[b'1'], [None]]),
        _end(row_messages=1),
    ]
    conn = await asyncmy.connect(
        host='127.0.0.1', port=running.port, user='hire', autocommit=None
    )
    async with conn.cursor() as cursor:
        await cursor.execute('SELECT a')
        assert await cursor.fetchall() == ((1,), (None,))
    await conn.ensure_closed()


async def test_insert(running: Running) -> None:
    """Guards against an OK packet without its numbers."""
    running.executor.answers[b'INSERT a'] = [
        _end(affected_rows=300, insert_id=7, in_transaction=True)
    ]

    def call(conn: pymysql.Connection) -> tuple[int, ...]:
        with conn.cursor() as cursor:
            cursor.execute('INSERT a')
            return cursor.rowcount, cursor.lastrowid, conn.server_status

    assert await running.in_thread(call) == (300, 7, 3)


async def test_binary_rows(running: Running) -> None:
    """Guards against a value that the binary protocol changes."""
    cells = {
        (1, 0): (b'-5', b'\xfb'),
        (8, 0x20): (b'18446744073709551615', b'\xff' * 8),
        (5, 0): (b'0.1', struct.pack('<d', 0.1)),
        (12, 0): (b'2026-12-04 00:00:00', b'\x04\xea\x07\x0c\x04'),
        (10, 0): (b'0000-00-00', b'\x00'),
        (11, 0): (
            b'-25:00:01.5',
            b'\x0c\x01\x01\x00\x00\x00\x01\x00\x01\x20\xa1\x07\x00',
        ),
        (0xFC, 0): (b'\x00\xff', b'\x02\x00\xff'),
    }
    columns = [messages.Column('a', code, 63, flag) for code, flag in cells]
    row: messages.Row = [text for text, _packed in cells.values()]
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [*columns, columns[0]]),
        messages.ResultRows(1, 0, [[*row, None]]),
        _end(row_messages=1),
    ]
    caller = await running.raw()
    number = await caller.prepare(b'SELECT a')
    assert await caller.execute(number, []) == b'\x08'
    for _ in range(9):
        await caller.read()
    packed = b''.join(packed for _text, packed in cells.values())
    assert await caller.read() == b'\x00\x00\x02%b' % packed


@given(st.binary(max_size=300), st.text(max_size=50), _UNSIGNED)
def test_parameters(blob: bytes, text: str, number: int) -> None:
    """Guards against a parameter that changes on its way into the text."""
    raw = text.encode()
    fields = b''.join(
        (
            packets.length_prefixed(blob),
            packets.length_prefixed(raw),
            number.to_bytes(8, 'little'),
        )
    )
    head = b'\x00\x01\x00\x00\x00\x08\x01\xfc\x00\xfd\x00\x08\x80\x06\x00'
    prepared = bindings.Prepared(statements.split(b"S '?' ?,?,?,?"))
    sql, _ = bindings.read_execution(
        bindings.Reader(b''.join((head, fields))),
        prepared,
        with_attributes=False,
    )
    binary = b"_binary X'%b'" % blob.hex().encode()
    start = b"S '?' %b,'" % binary
    end = b"',%d,NULL" % number
    assert sql.startswith(start)
    assert sql.endswith(end)
    escaped = sql[len(start) : -len(end)]
    plain = {b'0': b'\x00', b'n': b'\n', b'r': b'\r', b'Z': b'\x1a'}
    undone = re.sub(
        rb'\\(.)', lambda match: plain.get(match[1], match[1]), escaped, 0, re.S
    )
    assert undone == raw
    assert not re.search(rb"[\x00\n\r\x1a]|(?<!\\)(?:\\\\)*'", escaped)


async def test_parameter_types(running: Running) -> None:
    """Guards against dates, numbers and broken text that change."""
    caller = await running.raw()
    number = await caller.prepare(b'INSERT ?,?,?,?,?,?,?')
    answer = await caller.execute(number, [
        (5, struct.pack('<d', 1)),
        (1, b'\xfe'),
        (12, b'\x07\xea\x07\x0c\x04\x01\x02\x03'),
        (11, b'\x08\x01\x01\x00\x00\x00\x02\x03\x04'),
        (0xFD, b'\x01\xff'),
        (0xF6, b'\x041.50'),
        (8, None),
    ])  # fmt: skip
    assert answer[0] == 0
    assert running.executor.texts() == [
        b"INSERT 1.0e0,-2,'2026-12-04 01:02:03','-26:03:04',"
        b"_binary X'ff',1.50,NULL"
    ]


async def test_partial_answer(running: Running) -> None:
    """Guards against a partial answer that looks whole."""
    column = messages.Column('a', 0xFD, 255, 0)
    start = [
        messages.ResultHeader(1, [column]),
        messages.ResultRows(1, 0, [[b'x']]),
    ]
    ends = {
        b'SELECT a': (messages.Failure(1, 1205, 'HY000', 'lock'), 1205),
        b'SELECT b': (messages.Refusal(1, 'busy', 7), 4100),
        b'SELECT c': (messages.Unknown(1, 'gone'), 4101),
        b'SELECT d': (_end(row_messages=2), 4101),
    }
    caller = await running.raw()
    for sql, (end, code) in ends.items():
        running.executor.answers[sql] = [*start, end]
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


async def test_caller_goes(running: Running) -> None:
    """Guards against work that goes on for a caller that has gone."""
    column = messages.Column('a', 0xFD, 255, 0)
    big = messages.ResultRows(
        1, 0, list(itertools.repeat([bytes(100_000)], 10))
    )
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]), *itertools.repeat(big, 100),
    ]  # fmt: skip
    running.executor.answers[b'SELECT b'] = [None]
    for sql in (b'SELECT a', b'SELECT b'):
        caller = await running.raw()
        caller.send(b'\x03%b' % sql)
        while running.executor.texts()[-1:] != [sql]:
            await asyncio.sleep(0)
        caller.writer.transport.abort()
        events = [await running.executor.events.get() for _ in range(2)]
        assert events == ['cancel', 'close']
    assert not running.frontend.connections


async def test_slow_reader(running: Running) -> None:
    """Guards against an answer that piles up in memory."""
    column = messages.Column('a', 0xFC, 63, 0)
    rows = messages.ResultRows(1, 0, [[bytes(1_000_000)]])
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        *itertools.repeat(rows, 500),
        _end(row_messages=500),
    ]
    caller = await running.raw()
    connection = next(iter(running.frontend.connections))
    caller.send(b'\x03SELECT a')
    while connection.stream._writer is None:
        await asyncio.sleep(0)
    for _ in range(1000):
        await asyncio.sleep(0)
    # The caller's and the system's buffers hold a few of the 500 rows.
    assert running.executor.yielded < 100
    for _ in range(503):
        assert len(await caller.read()) < 1_000_100
    assert (await caller.read())[0] == 0xFE


async def test_new_protocol(running: Running) -> None:
    """Guards against EOF packets for a caller that asked for none."""
    column = messages.Column('a', 8, 63, 0)
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        messages.ResultRows(1, 0, [[b'5']]),
        _end(row_messages=1, warnings=2),
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


async def test_bad_callers(running: Running) -> None:
    """Guards against a bad caller that disturbs others or gets no error."""
    good = await running.raw()
    for payload, code in (
        (b'x', 1835),
        (b'\x00' * 40, 1043),
        (b'u' * 40, 1043),
    ):
        caller = await wire.RawCaller.connect(running.port)
        await caller.read()
        caller.send(payload, 1)
        assert wire.error_code(await caller.read()) == code, payload
        assert await caller.closed()
    stranger = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await stranger.log_in(b'other')) == 1049
    assert (await running.ask(good, b'INSERT'))[0] == 0


async def test_large_packet(running: Running) -> None:
    """Guards against a packet that fills the memory."""
    good, large = await running.raw(), await running.raw()
    large.writer.write(b'\xff\xff\xff\x00')
    assert wire.error_code(await large.read()) == 1153
    assert await large.closed()
    assert (await running.ask(good, b'INSERT'))[0] == 0


async def test_silent_caller(running: Running) -> None:
    """Guards against a connection that is held without a handshake."""
    running.frontend.limits = frontends.Limits(handshake=1)
    silent = await wire.RawCaller.connect(running.port)
    await silent.read()
    assert wire.error_code(await silent.read()) == 1159
    assert await silent.closed()


async def test_tls(running: Running) -> None:
    """Guards against a TLS handshake whose first record comes early."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(pathlib.Path(__file__).parent / 'certificate.pem')
    port = await running.frontend.start('127.0.0.1', 0, context)
    secure = Running(running.executor, running.frontend, port)
    options = {'ssl': {'check_hostname': False, 'verify_mode': False}}
    status = await secure.in_thread(
        lambda conn: (conn.query('INSERT'), conn.server_status)[1], **options
    )
    assert status == 2
    outgoing = ssl.MemoryBIO()
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls = client.wrap_bio(ssl.MemoryBIO(), outgoing, server_hostname='a')
    with contextlib.suppress(ssl.SSLWantReadError):
        tls.do_handshake()
    caller = await wire.RawCaller.connect(port)
    await caller.read()
    request = struct.pack('<IIB23x', 0xAA00, 1 << 24, 45)
    caller.writer.writelines((b'\x20\x00\x00\x01', request, outgoing.read()))
    assert (await caller.reader.readexactly(1)) == b'\x16'


async def test_refused_requests(running: Running) -> None:
    """Guards against a caller's mistake that runs or ends the session."""
    other = tokens.Signer([tokens.Key('k1', b'x' * 32)])
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
    """Guards against a session that loses its floor on another proxy."""
    running.executor.answers[b'INSERT'] = [_end(floor=(3, 40))]

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
    """Guards against statements that lose their transaction."""

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
    """Guards against a transaction that survives a reset."""
    caller = await running.raw()
    change = b'\x11u\x00\x00hire-2\x00\x2d\x00mysql_native_password\x00'
    for command in (b'\x1f', change):
        await running.ask(caller, b'BEGIN')
        answer = await caller.ask(command)
        assert answer[:5] == b'\x00\x00\x00\x02\x00'
        assert await running.executor.events.get() == 'close'
    connection = next(iter(running.frontend.connections))
    assert connection.state.service == 'hire-2'


async def test_passwords(running: Running) -> None:
    """Guards against a caller that goes on without the right password."""
    # SHA1(SHA1('secret')), as MySQL stores it.
    stored = '*14E65567ABDB5135D0CFD9A70B3032C179A49EE7'
    running.frontend.identities = identities.Identities(
        {
            'hire': 'secret',
            'hire-3': stored,
        }
    )

    def call(_conn: pymysql.Connection) -> str:
        return 'accepted'

    for user in ('hire', 'hire-3'):
        options = {'user': user, 'password': 'secret'}
        assert await running.in_thread(call, **options) == 'accepted'
    for options in ({'password': 'x'}, {}, {'user': 'hire-2'}):
        try:
            await running.in_thread(call, **options)
        except pymysql.err.OperationalError as exc:
            assert exc.args[0] == 1045
        else:
            raise AssertionError(options)
    caller = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await caller.log_in(b'hire')) == 1045
    assert await caller.closed()


async def test_drain(running: Running) -> None:
    """Guards against a shutdown that interrupts a transaction."""
    idle, busy = await running.raw(), await running.raw()
    await running.ask(busy, b'BEGIN')
    drained = asyncio.create_task(running.frontend.drain())
    assert b'not run: the proxy is shutting down' in await idle.read()
    assert (await running.ask(busy, b'INSERT'))[0] == 0
    assert not drained.done()
    assert (await running.ask(busy, b'COMMIT'))[0] == 0
    assert wire.error_code(await busy.read()) == 4100
    for caller in (idle, busy):
        caller.writer.close()
    await drained


async def test_drain_limit(running: Running) -> None:
    """Guards against a transaction that holds up a shutdown for ever."""
    busy = await running.raw()
    await running.ask(busy, b'BEGIN')
    drained = asyncio.create_task(running.frontend.drain())
    await asyncio.sleep(0)
    late = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await late.read()) == 1053
    running.frontend.end_transactions()
    assert b'the transaction was rolled back' in await busy.read()
    busy.writer.close()
    await drained
    assert running.executor.events.get_nowait() == 'close'


async def test_connection_limit(running: Running) -> None:
    """Guards against more connections than the limit."""
    running.frontend.limits = frontends.Limits(connections=1)
    first = await running.raw()
    second = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await second.read()) == 1040
    assert (await running.ask(first, b'INSERT'))[0] == 0


async def test_local_answers(running: Running) -> None:
    """Guards against a driver that can't connect or gets wrong settings."""
    running.executor.answers[b'INSERT'] = [_end(insert_id=9, warnings=2)]
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
    """Guards against values of more than one frame that break."""
    running.frontend.limits = frontends.Limits()
    column = messages.Column('a', 0xFC, 63, 0)
    cells = [bytes(size) for size in (0xFFFFFF - 4, 0xFFFFFF, 17_000_000)]
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        *(messages.ResultRows(1, 0, [[cell]]) for cell in cells),
        _end(row_messages=3),
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


async def test_query_attributes() -> None:
    """Guards against query attributes that are lost."""
    content = b'\x02\x01\x02\x01\xfe\x00\x0amax_age_ms\x08\x00\x01x\x03500S'
    assert bindings.read_query(content, with_attributes=True) == (
        b'S',
        {'max_age_ms': b'500', 'x': None},
    )


@given(st.binary(max_size=120))
def test_malformed_packets(content: bytes) -> None:
    """Guards against an unexpected error or an endless loop."""
    offered = packets.CAPABILITIES
    prepared = bindings.Prepared(statements.split(b'INSERT ?, ?'))
    reads: tuple[Callable[[], Any], ...] = (
        lambda: handshakes.read_login(offered, content),
        lambda: handshakes.read_change(offered, content),
        lambda: bindings.read_query(content, with_attributes=True),
        lambda: bindings.read_execution(
            bindings.Reader(content), prepared, with_attributes=True
        ),
    )
    for read in reads:
        with contextlib.suppress(PacketError, StatementError):
            read()


async def test_reading_resumes() -> None:
    """Guards against a caller that is never read again after a burst."""
    transport, owner = mock.Mock(), mock.Mock()
    stream = PacketStream(owner, 1 << 20)
    stream.connection_made(transport)
    payload = bytes(70_000)
    stream.data_received(
        b'%b\x00%b' % (len(payload).to_bytes(3, 'little'), payload)
    )
    assert transport.pause_reading.called
    assert await stream.read() == payload
    assert transport.resume_reading.called


async def test_pipelined_commands(running: Running) -> None:
    """Guards against commands that are lost when they come in one piece."""
    caller = await running.raw()
    count = 5000
    sql = b'\x03INSERT'.ljust(100)
    for _ in range(count):
        caller.send(sql)
    for _ in range(count):
        assert (await caller.read())[0] == 0
    assert (await running.ask(caller, b'INSERT'))[0] == 0
