"""Slots, service times, limits and counters of a backend server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs

from emulator import syntax
from emulator.errors import SqlError
from emulator.member import Member


@attrs.define
class Counters:
    """What a backend server has counted since its start.

    :param connections: Clients' connections now open.
    :param peak_connections: Greatest number of them.
    :param refused_connections: Connections refused with error 1040.
    :param reads: Statements run that read.
    :param writes: Statements run that write.
    :param rows_sent: Rows written to clients.
    :param peak_queue: Greatest number of statements that waited for a slot.
    :param peak_running: Greatest number of statements that held a slot.
    """

    connections: int = 0
    peak_connections: int = 0
    refused_connections: int = 0
    reads: int = 0
    writes: int = 0
    rows_sent: int = 0
    peak_queue: int = 0
    peak_running: int = 0


class Service:
    """Runs statements in a limited number of slots.

    :param member: The backend server.
    :param slots: Number of statements that run at once.
    """

    def __init__(self, member: Member, slots: int) -> None:
        self.member = member
        self.counters = Counters()
        self._slots = asyncio.Semaphore(slots)
        self._queued = 0
        self._running = 0

    def admit(self) -> None:
        """Count a client's new connection.

        :raises SqlError: If the connection limit is reached (1040).
        """
        counters = self.counters
        if counters.connections >= self.member.gate.switches.connection_limit:
            counters.refused_connections += 1
            raise SqlError(1040, '08004', 'Too many connections')
        counters.connections += 1
        counters.peak_connections = max(
            counters.peak_connections, counters.connections
        )

    def leave(self) -> None:
        """Count a client's connection that ended."""
        self.counters.connections -= 1

    async def serve(self, statement: syntax.Statement) -> None:
        """Spend the service time of a statement in a slot.

        A statement waits for row locks after this, outside of its slot.
        Otherwise waiting statements could fill all slots, and the
        transaction that holds the lock couldn't go on.

        :param statement: The statement.
        """
        switches = self.member.gate.switches
        if isinstance(statement, syntax.WRITES):
            self.counters.writes += 1
            duration = switches.write_ms
        elif isinstance(statement, syntax.Select):
            self.counters.reads += 1
            duration = switches.read_ms + _sleep_ms(statement)
        else:
            return
        async with self._slot():
            duration += switches.slow_ms
            if duration > 0:
                await asyncio.sleep(duration / 1000)

    @contextlib.asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        counters = self.counters
        waits = self._slots.locked()
        self._queued += waits
        counters.peak_queue = max(counters.peak_queue, self._queued)
        try:
            await self._slots.acquire()
        finally:
            self._queued -= waits
        self._running += 1
        counters.peak_running = max(counters.peak_running, self._running)
        try:
            yield
        finally:
            self._running -= 1
            self._slots.release()


def _sleep_ms(statement: syntax.Select) -> float:
    total: float = 0
    for output in statement.outputs:
        call = output.expression
        if isinstance(call, syntax.Call) and call.name == 'SLEEP':
            argument = call.arguments[0]
            if isinstance(argument, syntax.Literal):
                total += float(argument.cell or 0) * 1000
    return total
