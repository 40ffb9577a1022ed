"""Tests of callers of the MySQL interface that don't stay inside the limits."""

import asyncio
import itertools
from collections.abc import AsyncIterator

from monsoonproxy import frontends, messages, session_tokens
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.overload.caller_guards import GuardRules
from tests import wire
from tests.callers import SECRET, FakeExecutor, Running, end
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_MIB = 1024 * 1024
#: Limit of the bytes of all callers, and what a pass of the event loop may add
#: before callers are closed.
_LIMIT = 4 * _MIB
_ON_THE_WAY = _MIB
_CROWD = 24
_LONG_DATA = 0x18
_PACKET_TIME = Millis(30_000)
_READ_TIME = Millis(60_000)
_PAIR = ((0, 0), (_PACKET_TIME + 1_000, 1))


@fixture
async def guarded() -> AsyncIterator[Running]:
    """Yield a frontend that holds at most 4 MiB for its callers."""
    rules = GuardRules(_LIMIT, _PACKET_TIME, _READ_TIME)
    executor = FakeExecutor()
    frontend = frontends.Frontend(
        executor,
        session_tokens.Signer([session_tokens.Key('k1', SECRET)]),
        limits=frontends.Limits(packet=_MIB, guard=rules),
    )
    port = await frontend.start('127.0.0.1', 0)
    yield Running(executor, frontend, port)
    frontend.stop_accepting()
    frontend.abort()


def _held(running: Running) -> int:
    return sum(conn.held for conn in running.frontend.connections)


def _close_stalled(running: Running, after: int) -> None:
    """Look for stalled callers as if some time in ms had passed."""
    now = Millis(Clock().now() + after)
    running.frontend.guard.close_stalled(running.frontend.connections, now)


async def _settle(running: Running, count: int) -> None:
    """Wait until a number of connections is left."""
    async with asyncio.timeout(5):
        while len(running.frontend.connections) != count:
            await asyncio.sleep(0.01)


async def _check_ordinary(running: Running, caller: wire.RawCaller) -> None:
    """Check that an ordinary caller is served, old connections and new."""
    async with asyncio.timeout(2):
        new = await running.raw()
        for each in (caller, new):
            assert (await running.ask(each, b'INSERT'))[0] == 0
        new.writer.transport.abort()


async def _send(caller: wire.RawCaller, packet: bytes) -> None:
    """Send a packet, unless the connection has been closed."""
    if not caller.writer.is_closing():
        caller.send(packet)
        await asyncio.sleep(0.01)


async def test_many_large_packets(guarded: Running) -> None:
    """Guards against packets of legal size that fill the memory together.

    A crowd of callers sends most of a packet each, and stops.
    """
    ordinary = await guarded.raw()
    crowd = [await guarded.raw() for _ in range(_CROWD)]
    size = (_MIB - 1).to_bytes(3, 'little')
    for caller in crowd:
        caller.writer.write(size + b'\x00' + b'\x03' * (_MIB - 64 * 1024))
        await asyncio.sleep(0.01)
        assert _held(guarded) <= _LIMIT + _ON_THE_WAY
    assert len(guarded.frontend.connections) < _CROWD
    await _check_ordinary(guarded, ordinary)
    for caller in crowd:
        caller.writer.transport.abort()
    await _settle(guarded, 1)
    assert not guarded.frontend.guard.budget.used


async def test_packet_that_stops_half_way(guarded: Running) -> None:
    """Guards against connections that are held for good by half a packet.

    Callers that are idle, or that send one packet after the other, stay.
    """
    ordinary, slow, busy = [await guarded.raw() for _ in range(3)]
    slow.writer.write(b'\x40\x00\x00\x00\x03SELECT')
    busy.writer.write(b'\x07\x00\x00\x00\x03INS')
    for after, number in _PAIR:
        await asyncio.sleep(0.05)
        _close_stalled(guarded, after)
        if not number:
            busy.writer.write(b'ERT' + b'\x07\x00\x00\x00\x03INS')
    assert await slow.closed()
    await _settle(guarded, 2)
    await _check_ordinary(guarded, ordinary)


async def test_answers_that_are_not_read(guarded: Running) -> None:
    """Guards against answers that are kept for callers that never read them.

    A caller that reads a part of its answer now and then stays.
    """
    column = messages.Column('a', 0xFC, 63, 0)
    rows = messages.ResultRows(1, 0, [[bytes(_MIB)]])
    guarded.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        *itertools.repeat(rows, 100),
        end(row_messages=100),
    ]
    ordinary, deaf, slow = [await guarded.raw() for _ in range(3)]
    deaf.send(b'\x03SELECT a')
    slow.send(b'\x03SELECT a')
    for after in (0, _READ_TIME + 1_000):
        await asyncio.sleep(0.1)
        _close_stalled(guarded, after)
        for _ in range(30):
            await slow.read()
    await _settle(guarded, 2)
    await slow.read()
    await _check_ordinary(guarded, ordinary)


async def test_session_state_without_end(guarded: Running) -> None:
    """Guards against a session that keeps ever more bytes.

    One caller prepares long statements, the other sends long parameters of
    several statements; both are closed, and the ordinary one isn't.
    """
    ordinary = await guarded.raw()
    hoarder, sender = await guarded.raw(), await guarded.raw()
    text = b'SELECT ' + b'1' * (_MIB // 2)
    for _ in range(2 * _LIMIT // len(text)):
        await _send(hoarder, b'%c%b' % (wire.PREPARE, text))
    assert await hoarder.closed()
    numbers = [await sender.prepare(b'SELECT ?') for _ in range(12)]
    for number in numbers:
        head = bytes((_LONG_DATA,)) + number.to_bytes(4, 'little')
        await _send(sender, head + b'\x00\x00' + bytes(_MIB // 2))
    assert await sender.closed()
    await _settle(guarded, 1)
    assert not guarded.frontend.guard.budget.used
    await _check_ordinary(guarded, ordinary)


async def test_returned_session_state(guarded: Running) -> None:
    """Guards against bytes that stay counted after a caller gave them up."""
    caller = await guarded.raw()
    text = b'SELECT ' + b'1' * (_MIB // 2)
    for _ in range(2 * _LIMIT // len(text)):
        number = await caller.prepare(text + b' ?')
        head = bytes((_LONG_DATA,)) + number.to_bytes(4, 'little')
        caller.send(head + b'\x00\x00' + bytes(_MIB // 2))
        caller.send(b'\x19' + number.to_bytes(4, 'little'))
    assert (await guarded.ask(caller, b'INSERT'))[0] == 0
    assert not _held(guarded)


async def test_single_large_packet_is_served(guarded: Running) -> None:
    """Guards against limits that hit a legal packet in calm."""
    caller = await guarded.raw()
    sql = b'INSERT ' + b'x' * (_MIB - 64)
    assert (await guarded.ask(caller, sql))[0] == 0
    assert guarded.executor.texts() == [sql]
