"""Measures what waiting for a majority costs per write.

``python -m emulator.experiment_acknowledge`` runs two sites side by side, one
that acknowledges on a majority and one on the primary alone, with one caller
each, and prints JSON.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

import asyncmy
import uvloop
from hdrh.histogram import HdrHistogram

from emulator import demo
from emulator.cluster import Cluster, Site, running

_WRITES = 1_000
_LONGEST_US = 10_000_000
_DIGITS = 3
_QUANTILES = (50, 90, 99)
_VARIANTS = {
    'majority': '',
    'primary': 'acknowledge = "primary"\naccept_loss = true',
}


async def _measure(cluster: Cluster) -> dict[str, float]:
    """Return latency quantiles of writes in ms."""
    await demo.create_table(cluster)
    host, port = cluster.daemons[0].address.split(':')
    conn = await asyncmy.connect(
        host=host,
        port=int(port),
        user='crew',
        database=demo.SERVICE,
        autocommit=True,
    )
    cursor = conn.cursor()
    histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
    for number in range(_WRITES):
        started = time.perf_counter_ns()
        await cursor.execute(
            "INSERT INTO bookings (id, kind, caller) VALUES (%s, 'b', 1)",
            (number,),
        )
        histogram.record_value((time.perf_counter_ns() - started) // 1000)
    await conn.ensure_closed()
    return {
        f'p{quantile}_ms': histogram.get_value_at_percentile(quantile) / 1000
        for quantile in _QUANTILES
    }


async def run() -> dict[str, Any]:
    """Measure both variants at the same time.

    :returns: Latencies by variant, and the ratio of the medians.
    """
    found: dict[str, Any] = {}

    async def measure(name: str, lines: str) -> None:
        site = Site(daemons=2, service_lines=lines)
        with tempfile.TemporaryDirectory() as directory:
            async with running(site, pathlib.Path(directory)) as cluster:
                found[name] = await _measure(cluster)

    await asyncio.gather(
        *(measure(name, lines) for name, lines in _VARIANTS.items())
    )
    medians = [found[name]['p50_ms'] for name in _VARIANTS]
    found['ratio_of_medians'] = round(medians[0] / medians[1], 2)
    found['writes'] = _WRITES
    return found


if __name__ == '__main__':
    json.dump(uvloop.run(run()), sys.stdout, indent=1)
    sys.stdout.write('\n')
