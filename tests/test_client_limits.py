"""Tests of clients that don't stay inside the limits, against a real daemon.

The daemon runs as a process on a host of 152 MB. Each test plays one kind of
client for some seconds on loopback, beside ordinary callers.
"""

import asyncio
import contextlib
import pathlib
import random
import re
import tempfile
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
from site_platform import wire
from stand_ins.programs import Daemon, ProgramSite, running
from stand_ins.site import SESSION_ROUTE, Caller

from monsoonproxy.client_sessions import Session
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.overload.byte_budgets import ByteBudget, Reservations
from monsoonproxy.queries import Prepared
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_MIB = 1024 * 1024
#: Memory of the host in MiB, the least of any site.
_MEMORY = 152
#: Time in s for which a kind of client is played, and in which an ordinary
#: caller must be answered: its route's timeout.
_PLAYED = 4
_TIMEOUT = 3
_ORDINARY = 5


@attrs.define
class _Target:
    """A daemon under test.

    :param site: The site that it belongs to.
    :param directory: Directory with its settings.
    """

    site: ProgramSite
    directory: pathlib.Path

    @property
    def daemon(self) -> Daemon:
        """Return the daemon."""
        return self.site.daemons[0]

    def memory(self, field: str) -> int:
        """Return a figure of the process's memory in MiB.

        :param field: Name of the figure, such as ``VmHWM`` for the peak.
        """
        process = self.daemon.process.process
        assert process is not None
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        found = re.search(rf'{field}:\s+(\d+) kB', status)
        assert found is not None
        return int(found[1]) // 1024

    def address(self, port: str) -> tuple[str, int]:
        """Return host and port of a listener, such as ``ready``."""
        path = self.directory / 'front-0.toml'
        listen = tomllib.loads(path.read_text())['listen']
        host, _, number = listen[port].partition(':')
        return host, int(number)


@fixture
async def target() -> AsyncIterator[_Target]:
    """Yield a site of one daemon, which runs as a process."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        site = ProgramSite(directory, random.Random(0), daemons=1)
        async with running(site):
            yield _Target(site, directory)


class _Client:
    """A connection that sends any bytes.

    :param address: Host and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self, opening: bytes = b'') -> '_Client':
        """Connect, and send the first bytes."""
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        self.writer.write(opening)
        if opening:
            await self.reader.readline()
        return self

    async def send(self, content: bytes, piece: int = 65_536) -> None:
        """Send bytes in pieces until the daemon closes the connection."""
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(content), piece):
                self.writer.write(content[start : start + piece])
                await self.writer.drain()

    def close(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


async def _run_ordinary(target: _Target, stop: asyncio.Event) -> int:
    """Read and write as an ordinary caller; return how often.

    A caller whose connection is closed between two statements connects again.
    """
    served = 0
    caller = None
    while not stop.is_set():
        async with asyncio.timeout(_TIMEOUT):
            if caller is None:
                caller = Caller(target.daemon.process.address)
                greeting = await caller.open(SESSION_ROUTE)
                assert greeting.startswith(b'READY'), greeting
            for text in ('READ a', 'WRITE a 1'):
                reply = await caller.run(text)
                assert not reply.code, reply
        served += 1
        await asyncio.sleep(0.05)
    return served


async def _play(
    target: _Target, attack: Callable[[list[_Client]], Awaitable[object]]
) -> None:
    """Play misbehaving clients beside ordinary callers; check the daemon."""
    process = target.daemon.process.process
    stop = asyncio.Event()
    ordinary = [
        asyncio.create_task(_run_ordinary(target, stop))
        for _ in range(_ORDINARY)
    ]
    await asyncio.sleep(1)
    before = target.memory('VmRSS')
    clients: list[_Client] = []
    attacking = asyncio.ensure_future(attack(clients))
    await asyncio.wait((attacking,), timeout=_PLAYED)
    stop.set()
    served = await asyncio.gather(*ordinary)
    peak = target.memory('VmHWM')
    attacking.cancel()
    with contextlib.suppress(asyncio.CancelledError, ConnectionError):
        await attacking
    for client in clients:
        client.close()
    assert peak < _MEMORY, peak
    # Without load, a turn takes 0.07 s.
    assert min(served) > 0.5 * _PLAYED / 0.07 * 0.5, served
    assert process is not None and process.returncode is None
    await asyncio.sleep(1)
    # The allocator keeps part of what was freed.
    assert target.memory('VmRSS') < before + 40
    assert await target.daemon.is_ready()


_Connect = Callable[[], Awaitable[_Client]]


def _opener(target: _Target, clients: list[_Client]) -> _Connect:
    """Return a function that connects another client with a session."""

    async def connect() -> _Client:
        client = _Client(target.address('front'))
        clients.append(client)
        return await client.connect(f'OPEN {SESSION_ROUTE} k\r\n'.encode())

    return connect


def _large(number: int) -> bytes:
    """Return a write of almost the greatest legal size."""
    head = f'QUERY big-{number} WRITE item '.encode()
    return head + b'x' * (_MIB - len(head) - 2) + b'\r\n'


async def test_many_large_messages(target: _Target) -> None:
    """Guards against messages of legal size, many at once, in one piece."""

    async def attack(clients: list[_Client]) -> None:
        connect = _opener(target, clients)
        opened = [await connect() for _ in range(100)]
        await asyncio.gather(
            *(each.send(_large(n)) for n, each in enumerate(opened))
        )

    await _play(target, attack)


async def test_large_messages_in_small_pieces(target: _Target) -> None:
    """Guards against a search of all bytes for each small piece."""

    async def attack(clients: list[_Client]) -> None:
        connect = _opener(target, clients)
        opened = [await connect() for _ in range(8)]
        await asyncio.gather(
            *(each.send(_large(n), 300) for n, each in enumerate(opened))
        )

    await _play(target, attack)


async def test_messages_far_over_the_limit(target: _Target) -> None:
    """Guards against messages without an end."""

    async def attack(clients: list[_Client]) -> None:
        connect = _opener(target, clients)
        opened = [await connect() for _ in range(60)]
        await asyncio.gather(
            *(each.send(b'QUERY a READ ' + b'y' * 8 * _MIB) for each in opened)
        )

    await _play(target, attack)


async def test_messages_sent_ahead(target: _Target) -> None:
    """Guards against many messages sent ahead without reading the answers."""
    small = b''.join(b'QUERY s%d READ a\r\n' % n for n in range(50_000))
    unanswerable = b'QUERY s BEGIN\r\nQUERY s ROLLBACK\r\n' * 30_000

    async def attack(clients: list[_Client]) -> None:
        connect = _opener(target, clients)
        opened = [await connect() for _ in range(20)]
        await asyncio.gather(
            *(each.send(small) for each in opened[:10]),
            *(each.send(unanswerable) for each in opened[10:]),
        )

    await _play(target, attack)


async def test_crowd_that_stops_half_way(target: _Target) -> None:
    """Guards against crowds that send slowly, stop half-way or do nothing."""

    async def attack(clients: list[_Client]) -> None:
        for number in range(600):
            client = _Client(target.address('front'))
            clients.append(client)
            opening = b'OPEN x' if number % 2 else b''
            client.reader, client.writer = await asyncio.open_connection(
                *target.address('front')
            )
            client.writer.write(opening)
        connect = _opener(target, clients)
        slow = [await connect() for _ in range(100)]
        for _ in range(40):
            for each in slow:
                each.writer.write(b'QUERY slow READ ' + b'z' * 2_000)
            await asyncio.sleep(0.1)

    await _play(target, attack)


async def test_session_state_without_end(target: _Target) -> None:
    """Guards against sessions that keep more and more values."""

    async def attack(clients: list[_Client]) -> None:
        connect = _opener(target, clients)
        opened = [await connect() for _ in range(10)]
        for turn in range(300):
            for each in opened:
                head = f'QUERY v SET name-{turn} '.encode()
                await each.send(head + b'v' * 60_000 + b'\r\n')

    await _play(target, attack)


async def test_other_ports(target: _Target) -> None:
    """Guards against clients of the readiness and peers' ports."""

    async def attack(clients: list[_Client]) -> None:
        contents = {
            'ready': b'GET /metrics HTTP/1.1\r\nX: ' + b'h' * 4 * _MIB,
            'control': b'\xff\xff\xff\xff' + b'c' * 4 * _MIB,
        }
        work = []
        for port, content in contents.items():
            for _ in range(50):
                client = _Client(target.address(port))
                clients.append(client)
                await client.connect()
                work.append(client.send(content))
        await asyncio.gather(*work)

    await _play(target, attack)


async def test_single_large_message_is_served(target: _Target) -> None:
    """Guards against limits that hit a legal message in calm."""
    caller = Caller(target.daemon.process.address)
    greeting = await caller.open(SESSION_ROUTE)
    assert greeting.startswith(b'READY')
    caller.send(_large(1))
    assert not (await caller.reply()).code
    runs = [
        run for run in target.site.group.executed if run.request_id == b'big-1'
    ]
    assert len(runs) == 1
    assert len(runs[0].text) > 0.99 * _MIB


async def test_slow_clients_are_closed(target: _Target) -> None:
    """Guards against connections that are held for good for nothing."""
    front = target.address('front')
    silent = await _Client(front).connect()
    async with asyncio.timeout(8):
        line = await silent.reader.readline()
    assert line.startswith(b'ERROR TOOBIG'), line


# Decisions without a network.


def test_budget_names_the_largest() -> None:
    """Guards against ordinary callers closed for the bytes of others."""
    budget = ByteBudget(100)
    small, large = budget.open(), budget.open()
    budget.set(small, 10)
    budget.set(large, 95)
    assert budget.is_exceeded
    assert budget.shed(least=16) == [large]
    # It frees its bytes soon, so that nobody else has to.
    assert not budget.shed(least=16)
    budget.close(large)
    assert not budget.is_exceeded
    assert budget.used == 10


async def test_reservations_in_order() -> None:
    """Guards against large statements that pass each other or leak room."""
    reservations = Reservations(100)
    # A single one may exceed the limit.
    assert await reservations.acquire(150, Millis(10))
    assert not await reservations.acquire(1, Millis(10))
    waiting = [
        asyncio.create_task(reservations.acquire(60, Millis(5_000)))
        for _ in range(2)
    ]
    await asyncio.sleep(0.01)
    reservations.release(150)
    await asyncio.sleep(0.01)
    assert [task.done() for task in waiting] == [True, False]
    reservations.release(60)
    assert await waiting[1]
    reservations.release(60)
    assert not reservations.used


def test_session_keeps_a_bounded_state() -> None:
    """Guards against values and prepared statements without end."""
    session = Session(1)
    assert session.set_value(b'a', b'1')
    assert not session.set_value(b'b', b'x' * 70_000)
    for number in range(200):
        session.set_value(b'n%d' % number, b'1')
        shape = b's%d' % number
        session.prepare(shape, Prepared.of(shape, read_only=True))
    assert len(session.values) == len(session.prepared) == 64
    # A value that is there can be changed.
    assert session.set_value(b'a', b'2')


def test_pieces_are_searched_once() -> None:
    """Guards against a time that grows with the square of a message."""
    content = b'QUERY a WRITE b ' + b'x' * 900_000 + b'\r\n'
    reader = wire.LineDialect().caller_reader()
    clock = Clock()
    began = clock.now()
    for start in range(0, len(content), 16):
        assert reader.next_message() is None
        reader.feed(content[start : start + 16])
    assert reader.has_message
    assert reader.next_message() is not None
    # With a search of all bytes, this takes minutes.
    assert clock.now() - began < 20_000
