"""Tests of when a daemon opens another connection to a backend server."""

import asyncio

from stand_ins.site import OWN, SERVICE, SiteStandIn

from monsoonproxy.connection_pools import DirectPool, LeaseRequest
from tests.fixtures import load_functions
from tests.platform_sites import until

load_tests = load_functions(__name__)


def _lane(site: SiteStandIn) -> DirectPool:
    runner = site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    return runner.cluster.members[site.leader.server_id].direct


async def _hold(lane: DirectPool, held_s: float) -> None:
    number, _wire = await lane.acquire(LeaseRequest(1_000))
    await asyncio.sleep(held_s)
    lane.release(number, single=False, clean=True)


async def test_short_waits_open_nothing(platform_site: SiteStandIn) -> None:
    """Guards against opening connections that a database has no time for.

    Pattern: many statements come at once after a restart, each as short as
    opening a connection takes.
    """
    caller = await platform_site.caller(OWN)
    assert not (await caller.run('WRITE a 1')).code
    lane = _lane(platform_site)
    await until(lambda: lane.has_idle)
    before = len(platform_site.leader.connections)
    await asyncio.gather(*(_hold(lane, 0.004) for _ in range(5)))
    assert len(platform_site.leader.connections) == before


async def test_long_waits_open_connections(platform_site: SiteStandIn) -> None:
    """Guards against transactions that wait for each other."""
    caller = await platform_site.caller(OWN)
    assert not (await caller.run('WRITE a 1')).code
    lane = _lane(platform_site)
    await until(lambda: lane.has_idle)
    async with asyncio.timeout(0.5):
        await asyncio.gather(*(_hold(lane, 0.3) for _ in range(4)))
