"""Helpers for the measurement of capacity, and the memory of connections."""

import asyncio
import functools
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from typing import Any

from emulator import capacity_load, processes
from emulator.cluster import Process, Site, running
from emulator.measure_frontend import Caller

_CONNECTIONS = (0, 500, 1000, 2000)
_NOISE_LOOP = 400_000
_SETTLE = 8
_PAUSE = 2


def slope(points: Sequence[tuple[float, float]]) -> dict[str, float]:
    """Fit a line by least squares.

    :param points: Pairs of ``x`` and ``y``.
    :returns: Its slope and intercept, and the largest deviation of a point.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    square = sum((x - mean_x) ** 2 for x, _ in points)
    product = sum((x - mean_x) * (y - mean_y) for x, y in points)
    rate = product / square
    start = mean_y - rate * mean_x
    return {
        'slope': rate,
        'intercept': start,
        'largest_deviation': max(abs(y - start - rate * x) for x, y in points),
    }


def noise() -> dict[str, float]:
    """Describe how busy the machine is.

    :returns: The load average and the time of a fixed loop.
    """
    wall, cpu = time.perf_counter(), time.process_time()
    sum(range(_NOISE_LOOP))
    return {
        'load_average': os.getloadavg()[0],
        'loop_wall_ms': (time.perf_counter() - wall) * 1000,
        'loop_processor_ms': (time.process_time() - cpu) * 1000,
    }


def pid_of(process: Process) -> int:
    """Return the id of a running process.

    :param process: The process.
    :returns: Its id.
    """
    assert process.process is not None
    return process.process.pid


def port_of(address: str) -> int:
    """Return the port of an address.

    :param address: ``ip:port``.
    :returns: The port.
    """
    return int(address.rsplit(':', 1)[1])


async def measure_memory() -> dict[str, Any]:
    """Measure the memory of idle caller connections.

    :returns: Points and the slope.
    """
    site = Site(daemons=2, services=('hire',))
    points = []
    with tempfile.TemporaryDirectory() as directory:
        async with running(site, pathlib.Path(directory)) as cluster:
            await capacity_load.create_tables(cluster)
            await asyncio.sleep(_SETTLE)
            callers: list[Caller] = []
            for count in _CONNECTIONS:
                await _connect(cluster.daemons[0].address, callers, count)
                await asyncio.sleep(_PAUSE)
                points.append(_memory_point(cluster.daemons[0]))
    return {'points': points, 'fit': slope(points), 'noise': noise()}


async def _connect(address: str, callers: list[Caller], count: int) -> None:
    loop = asyncio.get_running_loop()
    while len(callers) < count:
        caller = Caller(0)
        await loop.create_connection(
            functools.partial(_same, caller), '127.0.0.1', port_of(address)
        )
        await caller.ready
        callers.append(caller)


def _same(caller: Caller) -> Caller:
    return caller


def _memory_point(daemon: Process) -> tuple[int, int]:
    """Return the open caller connections and the memory of a daemon."""
    used = processes.usage(pid_of(daemon))
    port = port_of(daemon.address)
    opened = sum(1 for conn in used.connections.values() if conn.local == port)
    # The listening socket is among them.
    return opened - 1, used.memory


def import_memory(statement: str) -> int:
    """Measure the resident memory of an interpreter after an import.

    :param statement: The statement that imports.
    :returns: Bytes.
    """
    script = f"{statement}; print(open('/proc/self/statm').read())"
    output = subprocess.check_output((sys.executable, '-c', script), text=True)
    return int(output.split()[1]) * os.sysconf('SC_PAGE_SIZE')
