"""Measures the frontend with an executor that answers at once.

``python -m emulator.measure_frontend`` prints statements per second and CPU
time per statement of one frontend process, and the memory of its idle
connections, as JSON. The callers run in another process.
"""

import asyncio
import functools
import gc
import itertools
import json
import multiprocessing
import operator
import os
import struct
import time
from collections.abc import AsyncIterator
from typing import Any

import uvloop

from monsoonproxy import (
    frontends,
    messages,
    session_tokens,
    sessions,
    statements,
)

_LOGIN = b'u\x00\x00hire\x00mysql_native_password\x00'
_STATEMENTS = 20_000
_CALLERS = 16
_IDLE = 2000
_ROWS = 10
_CAPABILITIES = 0x10A8208
_SQL = (
    "SELECT id, name, free FROM stock WHERE depot = 'Sohar' AND id IN (1, {0})"
    " /* max_age_ms='500' */"
)


class InstantExecutor:
    """Answers each statement at once with ten rows."""

    def is_declared(self, service: str) -> bool:
        """Accept any service.

        :param service: Its name.
        :returns: ``True``.
        """
        return True

    async def execute(
        self, session: sessions.Session, statement: statements.Statement
    ) -> AsyncIterator[messages.Reply]:
        """Answer a statement.

        :param session: The caller's session.
        :param statement: The statement.
        :yields: The messages of the answer.
        """
        columns = [messages.Column(name, 0xFD, 255, 0) for name in 'abc']
        rows: list[messages.Row] = list(
            itertools.repeat([b'12', b'panel', b'7'], _ROWS)
        )
        yield messages.ResultHeader(1, columns)
        yield messages.ResultRows(1, 0, rows)
        yield messages.ResultEnd(1, 1, 0, 0, 0, None, False, 'a', '')

    def cancel(self, session: sessions.Session) -> None:
        """Do nothing.

        :param session: The caller's session.
        """

    async def close(self, session: sessions.Session) -> None:
        """Do nothing.

        :param session: The caller's session.
        """


class Caller(asyncio.Protocol):
    """A caller that does as little work as possible.

    :param statements_left: How many statements it sends.
    """

    def __init__(self, statements_left: int) -> None:
        self.left = statements_left
        self.ready = asyncio.get_running_loop().create_future()
        self.done = asyncio.get_running_loop().create_future()
        self._greeted = False
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport.

        :param transport: The transport.
        """
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Log in or send the next statement.

        An answer comes in one piece on a local connection at this size; its
        last packet is an OK packet of 7 bytes.

        :param data: What the frontend sent.
        """
        if not self._greeted:
            self._greeted = True
            head = struct.pack('<IIB23x', _CAPABILITIES, 1 << 24, 45)
            self._send(1, b''.join((head, _LOGIN)))
        elif not self.ready.done():
            self.ready.set_result(None)
        elif data[-11:-8] == b'\x07\x00\x00':
            self.ask()

    def ask(self) -> None:
        """Send the next statement."""
        if not self.left:
            self.done.set_result(None)
            return
        self.left -= 1
        self._send(0, b'\x03%b' % _SQL.format(self.left).encode())

    def _send(self, sequence: int, payload: bytes) -> None:
        head = (len(payload) | sequence << 24).to_bytes(4, 'little')
        self._transport.writelines((head, payload))


async def _connect(port: int, count: int, each: int) -> list[Caller]:
    loop = asyncio.get_running_loop()
    callers = []
    for _ in range(count):
        _, caller = await loop.create_connection(
            functools.partial(Caller, each), '127.0.0.1', port
        )
        await caller.ready
        callers.append(caller)
    return callers


async def _run_all(callers: list[Caller]) -> None:
    for caller in callers:
        caller.ask()
    await asyncio.gather(*map(operator.attrgetter('done'), callers))


async def _call(port: int, pipe: Any) -> None:
    callers = await _connect(port, _CALLERS, _STATEMENTS // _CALLERS)
    pipe.send('connected')
    await asyncio.to_thread(pipe.recv)
    idle = await _connect(port, _IDLE, 1)
    await _run_all(idle)
    pipe.send('idle')
    await asyncio.to_thread(pipe.recv)
    await _run_all(callers)
    pipe.send('answered')
    await asyncio.to_thread(pipe.recv)


def _callers(port: int, pipe: Any) -> None:
    uvloop.run(_call(port, pipe))


def _resident() -> int:
    gc.collect()
    with open('/proc/self/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


async def _step(pipe: Any) -> None:
    pipe.send('go on')
    await asyncio.to_thread(pipe.recv)


async def measure() -> dict[str, float]:
    """Measure one frontend in this process, with callers in another one.

    :returns: The figures by name.
    """
    signer = session_tokens.Signer([session_tokens.Key('a', b'a' * 32)])
    frontend = frontends.Frontend(InstantExecutor(), signer)
    port = await frontend.start('127.0.0.1', 0)
    pipe, other = multiprocessing.Pipe()
    context = multiprocessing.get_context('spawn')
    process = context.Process(target=_callers, args=(port, other), daemon=True)
    process.start()
    await asyncio.to_thread(pipe.recv)
    # Memory comes first: nothing freed earlier may be used again.
    before = _resident()
    await _step(pipe)
    grown = _resident() - before
    wall, cpu = time.perf_counter(), time.process_time()
    await _step(pipe)
    wall, cpu = time.perf_counter() - wall, time.process_time() - cpu
    frontend.stop_accepting()
    frontend.abort()
    pipe.send('end')
    await asyncio.to_thread(process.join, 10)
    return {
        'statements': _STATEMENTS,
        'rows_per_statement': _ROWS,
        'statements_per_s': round(_STATEMENTS / wall),
        'cpu_us_per_statement': round(cpu / _STATEMENTS * 1e6, 1),
        'idle_connections': _IDLE,
        'bytes_per_idle_connection': round(grown / _IDLE),
    }


if __name__ == '__main__':
    print(json.dumps(uvloop.run(measure()), indent=2))
