"""Compares statements through one daemon with statements sent directly.

``python -m emulator.measure_path`` starts one daemon and one group, runs the
same statements through the daemon and against the backend server itself, one
after the other in one run, and prints JSON: statements/s, their ratio, latency
quantiles and the daemon's processor time per statement.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time
from typing import Any

import asyncmy
import attrs
import uvloop
from hdrh.histogram import HdrHistogram

from emulator import demo
from emulator.cluster import Cluster, Process, Site, running

_SECONDS = 3
_LONGEST_US = 10_000_000
_DIGITS = 3
_TICKS = os.sysconf('SC_CLK_TCK')
_CALLERS = (1, 16)
_READ = 'SELECT id FROM bookings WHERE id = 1'
_SITE = Site(
    daemons=1,
    holders=1,
    slots=8,
    connection_limit=200,
    switches='read_ms=0,write_ms=0',
)


@attrs.frozen
class Target:
    """What is measured.

    :param name: Name in the output.
    :param process: Where callers connect.
    :param sql: The statement.
    """

    name: str
    process: Process
    sql: str


def _processor_seconds(process: Process) -> float:
    assert process.process is not None
    stat = pathlib.Path(f'/proc/{process.process.pid}/stat').read_text()
    fields = stat.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


async def _call(target: Target, until: float, histogram: HdrHistogram) -> None:
    host, port = target.process.address.split(':')
    conn = await asyncmy.connect(
        host=host,
        port=int(port),
        user='proxy',
        database=demo.SERVICE,
        autocommit=True,
    )
    cursor = conn.cursor()
    while time.monotonic() < until:
        started = time.perf_counter_ns()
        await cursor.execute(target.sql)
        await cursor.fetchall()
        histogram.record_value((time.perf_counter_ns() - started) // 1000)
    await conn.ensure_closed()


async def _measure(
    target: Target, callers: int, daemon: Process
) -> dict[str, Any]:
    histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
    before = _processor_seconds(daemon)
    until = time.monotonic() + _SECONDS
    async with asyncio.TaskGroup() as tasks:
        for _ in range(callers):
            tasks.create_task(_call(target, until, histogram))
    used = _processor_seconds(daemon) - before
    count = histogram.get_total_count()
    return {
        'target': target.name,
        'callers': callers,
        'per_second': round(count / _SECONDS),
        'p50_ms': histogram.get_value_at_percentile(50) / 1000,
        'p99_ms': histogram.get_value_at_percentile(99) / 1000,
        'daemon_us_per_statement': round(used / max(1, count) * 1_000_000),
    }


async def _run(cluster: Cluster) -> list[dict[str, Any]]:
    await demo.create_table(cluster)
    daemon = cluster.daemons[0]
    primary = await cluster.primary(demo.SERVICE)
    assert primary is not None
    marked = f"{_READ} /* max_age_ms='2000' */"
    targets = (
        Target('direct', primary, _READ),
        Target('daemon, read with an age bound', daemon, marked),
        Target('daemon, strict read', daemon, _READ),
    )
    found = []
    for callers in _CALLERS:
        direct = 0
        for target in targets:
            row = await _measure(target, callers, daemon)
            direct = direct or row['per_second']
            row['ratio_to_direct'] = round(row['per_second'] / direct, 3)
            found.append(row)
    return found


async def measure() -> dict[str, Any]:
    """Start a site and measure it.

    :returns: Figures, with the load average before the run.
    """
    load = os.getloadavg()[0]
    with tempfile.TemporaryDirectory() as directory:
        async with running(_SITE, pathlib.Path(directory)) as cluster:
            return {'load_average': load, 'runs': await _run(cluster)}


if __name__ == '__main__':
    json.dump(uvloop.run(measure()), sys.stdout, indent=1)
    sys.stdout.write('\n')
