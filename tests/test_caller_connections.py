"""Tests of caller connections and their packet streams."""

import asyncio
import contextlib
import itertools
import pathlib
import ssl
import struct
from unittest import mock

import pymysql

from monsoonproxy import (
    frontends,
    identities,
    messages,
)
from monsoonproxy.streams import PacketStream
from tests import wire
from tests.callers import Running, end
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


async def test_caller_disconnects(running: Running) -> None:
    """Guards against statements that go on after the caller disconnected.

    One caller leaves amid a large answer that it does not read, and another
    while it waits for an answer.
    """
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
    """Guards against buffering an answer that the caller reads slowly."""
    column = messages.Column('a', 0xFC, 63, 0)
    rows = messages.ResultRows(1, 0, [[bytes(1_000_000)]])
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        *itertools.repeat(rows, 500),
        end(row_messages=500),
    ]
    caller = await running.raw()
    connection = next(iter(running.frontend.connections))
    caller.send(b'\x03SELECT a')
    while connection.stream._write_waiter is None:
        await asyncio.sleep(0)
    for _ in range(1000):
        await asyncio.sleep(0)
    # The socket buffers hold only a few of the 500 rows of 1 MB each.
    assert running.executor.yielded < 100
    for _ in range(503):
        assert len(await caller.read()) < 1_000_100
    assert (await caller.read())[0] == 0xFE


async def test_invalid_handshakes(running: Running) -> None:
    """Guards against an invalid handshake without an error for the caller.

    Handshakes that are malformed or name an unknown service must not disturb
    other connections either.
    """
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
    rejected = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await rejected.log_in(b'other')) == 1049
    assert (await running.ask(good, b'INSERT'))[0] == 0


async def test_service_grants(running: Running) -> None:
    """Guards against a user who reaches a service without a grant.

    Both the handshake and a later change of the database are checked.
    """
    running.frontend.grants = {'u': ('hire-1', 'hire-2')}
    caller = await running.raw(b'hire-2')
    answer = await caller.ask(b'\x02hire-3')
    assert wire.error_code(answer) == 1049
    rejected = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await rejected.log_in(b'hire-3')) == 1049


async def test_login_before_configuration(running: Running) -> None:
    """Guards against an unchecked login before the users are known.

    An empty list of users means that everyone is accepted, so a daemon without
    a configuration has to refuse logins.
    """
    running.frontend.ready = False
    caller = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await caller.log_in(b'hire')) == 4100
    assert await caller.closed()


async def test_removed_user(running: Running) -> None:
    """Guards against a connection that outlives the removal of its user."""
    caller = await running.raw()
    running.frontend.change_users({'someone': '*' + 40 * '0'}, {})
    assert wire.error_code(await caller.read()) == 4100
    assert await caller.closed()


async def test_large_packet(running: Running) -> None:
    """Guards against buffering a packet above the size limit."""
    good, large = await running.raw(), await running.raw()
    large.writer.write(b'\xff\xff\xff\x00')
    assert wire.error_code(await large.read()) == 1153
    assert await large.closed()
    assert (await running.ask(good, b'INSERT'))[0] == 0


async def test_handshake_timeout(running: Running) -> None:
    """Guards against a caller that holds a connection without logging in."""
    running.frontend.limits = frontends.Limits(handshake=1)
    silent = await wire.RawCaller.connect(running.port)
    await silent.read()
    assert wire.error_code(await silent.read()) == 1159
    assert await silent.closed()


async def test_tls(running: Running) -> None:
    """Guards against a TLS handshake that fails if its first record is early.

    A caller may send the request for TLS and the first TLS record in one piece.
    """
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


async def test_tls_record_before_upgrade() -> None:
    """Guards against losing a TLS record between the request and the upgrade.

    On a busy machine, the record arrived before the task of the upgrade had
    started, and the handshake never ended. Reading has to pause until then.
    """
    transport = mock.Mock()
    stream = PacketStream(mock.Mock(), 1024)
    stream.transport = transport
    upgrading = stream.start_tls(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
    # Runs until it waits for the upgrade, whose task has not started yet.
    upgrading.send(None)
    transport.pause_reading.assert_called_once()
    upgrading.close()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()


async def test_passwords(running: Running) -> None:
    """Guards against a login with a wrong password or none.

    Passwords are stored as plain text or as the double SHA-1 of MySQL.
    """
    # SHA1(SHA1('secret')), as in MySQL's user table.
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
    """Guards against a shutdown that interrupts an open transaction.

    Idle connections are closed at once, with an error that the next request
    takes for its answer.
    """
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
    """Guards against an open transaction that blocks a shutdown for ever.

    Callers that connect during the shutdown are rejected meanwhile.
    """
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
    """Guards against accepting more connections than the limit."""
    running.frontend.limits = frontends.Limits(connections=1)
    first = await running.raw()
    second = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await second.read()) == 1040
    assert (await running.ask(first, b'INSERT'))[0] == 0


async def test_resume_reading() -> None:
    """Guards against a stream that stays paused after a burst of input.

    Reading pauses while more than the read-ahead limit is buffered.
    """
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
    """Guards against losing commands that arrive in one segment."""
    caller = await running.raw()
    count = 5000
    sql = b'\x03INSERT'.ljust(100)
    for _ in range(count):
        caller.send(sql)
    for _ in range(count):
        assert (await caller.read())[0] == 0
    assert (await running.ask(caller, b'INSERT'))[0] == 0
