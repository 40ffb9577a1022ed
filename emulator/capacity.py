"""Measures how the cost of a daemon grows with the size of a site.

``python -m emulator.capacity`` starts small sites on loopback, one after the
other, and writes raw figures and slopes to ``docs/figures/capacity.json``.
``docs/CAPACITY.md`` works out the design scale from them.
"""

import asyncio
import json
import pathlib
import statistics
import tempfile
import time
from collections.abc import Callable
from typing import Any

import attrs
import uvloop

from emulator import capacity_decisions, capacity_load, processes
from emulator.capacity_memory import (
    import_memory,
    measure_memory,
    noise,
    pid_of,
    port_of,
    slope,
)
from emulator.cluster import Cluster, Site, running
from monsoonproxy import daemon_client

FIGURES = pathlib.Path('docs/figures/capacity.json')
_DAEMONS = (2, 4, 8, 12)
_SERVICES = (1, 2, 4)
_CONCURRENCY = (1, 4, 16)
#: Time in seconds for daemons to meet each other before a measurement.
_SETTLE = 8.0
_WINDOW = 6.0
_FEWEST_POINTS = 3
_STATEMENT_WINDOW = 3.5
_MOST_SECONDS = 360
#: Bytes per second to databases below which a daemon holds no service.
_NO_TRAFFIC = 100
_CONTROL_MEASURES = (
    'processor_share',
    'memory_bytes',
    'peer_links',
    'peer_bytes_per_s',
    'platform_bytes_per_s',
    'database_bytes_per_s',
)


@attrs.frozen
class Snapshot:
    """Counters of a site at one time.

    :param moment: When, in seconds.
    :param daemons: Usage of each daemon.
    :param platform: Counters of the platform stand-in.
    """

    moment: float
    daemons: tuple[processes.Usage, ...]
    platform: dict[str, int]


async def snapshot(cluster: Cluster) -> Snapshot:
    """Read the counters of a site.

    :param cluster: The site.
    :returns: The counters.
    """
    usages = tuple(
        processes.usage(pid_of(daemon)) for daemon in cluster.daemons
    )
    return Snapshot(
        time.monotonic(), usages, await capacity_load.store_counters(cluster)
    )


def _moved(
    before: processes.Usage,
    after: processes.Usage,
    accept: Callable[[processes.Connection], bool],
) -> int:
    """Count the bytes that some sockets of a daemon have carried."""
    total = 0
    for inode, conn in after.connections.items():
        if accept(conn):
            earlier = before.connections.get(inode)
            total += conn.sent + conn.received
            total -= earlier.sent + earlier.received if earlier else 0
    return total


def _daemon_rates(
    cluster: Cluster, number: int, before: Snapshot, after: Snapshot
) -> dict[str, float]:
    old, new = before.daemons[number], after.daemons[number]
    period = after.moment - before.moment
    peers = {port_of(daemon.control) for daemon in cluster.daemons}
    databases = {
        port_of(database.address)
        for group in cluster.databases.values()
        for database in group.values()
    }
    platform = port_of(cluster.platform.address)
    carried = (
        _moved(old, new, lambda conn: bool(peers & {conn.local, conn.remote})),
        _moved(old, new, lambda conn: conn.remote == platform),
        _moved(old, new, lambda conn: conn.remote in databases),
    )
    links = sum(1 for conn in new.connections.values() if conn.remote in peers)
    figures = (
        (new.processor - old.processor) / period,
        new.memory,
        links,
        *(size / period for size in carried),
    )
    return dict(zip(_CONTROL_MEASURES, figures, strict=True))


def _rates(
    cluster: Cluster, before: Snapshot, after: Snapshot
) -> dict[str, Any]:
    period = after.moment - before.moment
    each = [
        _daemon_rates(cluster, number, before, after)
        for number in range(len(cluster.daemons))
    ]
    mean = {
        name: sum(rates[name] for rates in each) / len(each)
        for name in _CONTROL_MEASURES
    }
    store = {
        f'store_{name}_per_s': (after.platform[name] - before.platform[name])
        / period
        for name in ('reads', 'writes')
    }
    standby = [
        rates['processor_share']
        for rates in each
        if rates['database_bytes_per_s'] < _NO_TRAFFIC
    ]
    return {
        **mean,
        **store,
        'each_daemon': each,
        'processor_share_without_service': statistics.fmean(standby)
        if standby
        else None,
    }


async def measure_control(site: Site) -> dict[str, Any]:
    """Measure the cost of the daemons of a site, idle and in use.

    :param site: The site.
    :returns: Figures per daemon.
    """
    with tempfile.TemporaryDirectory() as directory:
        async with running(site, pathlib.Path(directory)) as cluster:
            started = await capacity_load.store_counters(cluster)
            await capacity_load.create_tables(cluster)
            await asyncio.sleep(_SETTLE)
            first = await snapshot(cluster)
            await asyncio.sleep(_WINDOW)
            second = await snapshot(cluster)
            answered = await capacity_load.small_load(cluster, _WINDOW)
            third = await snapshot(cluster)
            loaded = _rates(cluster, second, third)
            loaded['statements_per_s'] = answered / _WINDOW
            return {
                'daemons': site.daemons,
                'services': len(site.services),
                'noise': noise(),
                'store_since_start': {
                    name: first.platform[name] for name in started
                },
                'idle': _rates(cluster, first, second),
                'loaded': loaded,
            }


async def measure_statements() -> dict[str, Any]:
    """Measure the processor time of a statement on both sides.

    All callers use a daemon that does not hold the service.

    :returns: Points by kind of statement.
    """
    site = Site(
        daemons=2,
        holders=1,
        slots=16,
        connection_limit=80,
        switches='read_ms=0,write_ms=0,open_ms=1',
    )
    with tempfile.TemporaryDirectory() as directory:
        async with running(site, pathlib.Path(directory)) as cluster:
            await capacity_load.create_tables(cluster)
            holder = await _holder(cluster)
            idle = await _idle_shares(cluster)
            points = [
                await _statement_point(cluster, holder, idle, kind, callers)
                for kind in capacity_load.KINDS
                for callers in _CONCURRENCY
            ]
    return {'idle_shares': idle, 'holder': holder, 'points': points}


async def _holder(cluster: Cluster) -> int:
    for number, daemon in enumerate(cluster.daemons):
        status = await daemon_client.ask(
            daemon.control, keys=cluster.keys.peers
        )
        if status['services']:
            return number
    raise RuntimeError('no daemon holds the service')


async def _idle_shares(cluster: Cluster) -> list[float]:
    await asyncio.sleep(2)
    before = await snapshot(cluster)
    await asyncio.sleep(_WINDOW)
    after = await snapshot(cluster)
    return [rates['processor_share'] for rates in _each(cluster, before, after)]


def _each(
    cluster: Cluster, before: Snapshot, after: Snapshot
) -> list[dict[str, float]]:
    return [
        _daemon_rates(cluster, number, before, after)
        for number in range(len(cluster.daemons))
    ]


async def _statement_point(
    cluster: Cluster, holder: int, idle: list[float], kind: str, callers: int
) -> dict[str, Any]:
    entry = cluster.daemons[1 - holder]
    before = await snapshot(cluster)
    answers = await capacity_load.closed_loop(
        entry.address, kind, callers, _STATEMENT_WINDOW
    )
    after = await snapshot(cluster)
    shares = [
        rates['processor_share'] for rates in _each(cluster, before, after)
    ]
    per_second = answers.answered / (after.moment - before.moment)
    added = [
        (share - rest) / per_second * 1e6
        for share, rest in zip(shares, idle, strict=True)
    ]
    return {
        'kind': kind,
        'callers': callers,
        'answered': answers.answered,
        'errors': answers.errors,
        'statements_per_s': per_second,
        'entry_processor_share': shares[1 - holder],
        'service_processor_share': shares[holder],
        'entry_processor_us': added[1 - holder],
        'service_processor_us': added[holder],
        'noise': noise(),
    }


def _fits(
    points: list[dict[str, Any]], over: str, phase: str
) -> dict[str, dict[str, float]]:
    names = (
        *_CONTROL_MEASURES,
        'store_reads_per_s',
        'store_writes_per_s',
        'processor_share_without_service',
    )
    pairs = {
        name: [
            (point.get(over, point[phase].get(over)), point[phase][name])
            for point in points
            if point[phase][name] is not None
        ]
        for name in names
        if name != over
    }
    return {
        name: slope(found)
        for name, found in pairs.items()
        if len(found) >= _FEWEST_POINTS
    }


async def measure() -> dict[str, Any]:
    """Run the whole sweep.

    :returns: Raw figures and slopes.
    """
    begun = noise()
    wall = time.monotonic()
    by_daemons = [
        await measure_control(Site(daemons=count)) for count in _DAEMONS
    ]
    by_services = [
        await measure_control(
            Site(daemons=2, services=tuple(f'hire-{n}' for n in range(count)))
        )
        for count in _SERVICES
    ]
    memory = await measure_memory()
    statements = await measure_statements()
    decisions = capacity_decisions.measure()
    return {
        'command': 'python -m emulator.capacity',
        'seconds': time.monotonic() - wall,
        'noise': {'begin': begun, 'end': noise()},
        'over_daemons': by_daemons,
        'over_services': by_services,
        'fits': {
            f'{phase}, over {over}': _fits(points, over, phase)
            for over, points in (
                ('daemons', by_daemons),
                ('peer_links', by_daemons),
                ('services', by_services),
            )
            for phase in ('idle', 'loaded')
        },
        'memory_of_imports': {
            'bare interpreter': import_memory('pass'),
            'monsoonproxy.daemon': import_memory('import monsoonproxy.daemon'),
        },
        'memory_of_connections': memory,
        'statements': statements,
        'decisions': decisions,
    }


async def _bounded() -> dict[str, Any]:
    async with asyncio.timeout(_MOST_SECONDS):
        return await measure()


if __name__ == '__main__':
    report = json.dumps(uvloop.run(_bounded()), indent=1)
    FIGURES.write_text(f'{report}\n')
    print(report)
