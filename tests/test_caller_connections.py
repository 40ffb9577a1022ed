"""Tests of callers' connections."""

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
        end(row_messages=500),
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


async def test_services_of_a_user(running: Running) -> None:
    """Guards against a user that reaches another customer's service."""
    running.frontend.grants = {'u': ('hire-1', 'hire-2')}
    caller = await running.raw(b'hire-2')
    answer = await caller.ask(b'\x02hire-3')
    assert wire.error_code(answer) == 1049
    stranger = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await stranger.log_in(b'hire-3')) == 1049


async def test_login_before_configuration(running: Running) -> None:
    """Guards against a login that nobody checked because users are unknown."""
    running.frontend.ready = False
    caller = await wire.RawCaller.connect(running.port)
    assert wire.error_code(await caller.log_in(b'hire')) == 4100
    assert await caller.closed()


async def test_removed_user(running: Running) -> None:
    """Guards against a removed user whose connection stays open."""
    caller = await running.raw()
    running.frontend.change_users({'someone': '*' + 40 * '0'}, {})
    assert wire.error_code(await caller.read()) == 4100
    assert await caller.closed()


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


async def test_record_before_the_upgrade() -> None:
    """Guards against a TLS record that is lost between request and upgrade.

    Seen as a handshake without an end while the machine was busy: the record
    arrived before the task of the upgrade had begun.
    """
    transport = mock.Mock()
    stream = PacketStream(mock.Mock(), 1024)
    stream.transport = transport
    upgrading = stream.start_tls(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
    # Runs until it waits for the upgrade, whose task has not begun yet.
    upgrading.send(None)
    transport.pause_reading.assert_called_once()
    upgrading.close()
    for begun in asyncio.all_tasks() - {asyncio.current_task()}:
        begun.cancel()


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
