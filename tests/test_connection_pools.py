"""Tests of when a pool opens another connection to a backend server."""

import asyncio

from stand_ins.site import SERVICE, SESSION_ROUTE, SiteStandIn

from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.direct_pools import DirectPool
from tests.fixtures import load_functions
from tests.platform_sites import wait_until

load_tests = load_functions(__name__)


def _direct_pool(site: SiteStandIn) -> DirectPool:
    runner = site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    return runner.cluster.members[site.leader.server_id].direct


async def _hold(pool: DirectPool, held_s: float) -> None:
    number, _wire = await pool.acquire(LeaseRequest(1_000))
    await asyncio.sleep(held_s)
    pool.release(number, single=False, clean=True)


async def test_short_waits_open_no_connections(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a pool that overloads a database with opens.

    Pattern: many statements arrive at once after a restart, and each is as
    short as opening a connection takes.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    pool = _direct_pool(platform_site)
    await wait_until(lambda: pool.has_idle)
    before = len(platform_site.leader.connections)
    await asyncio.gather(*(_hold(pool, 0.004) for _ in range(5)))
    assert len(platform_site.leader.connections) == before


async def test_long_waits_open_connections(platform_site: SiteStandIn) -> None:
    """Guards against transactions that run one after another.

    Pattern: transactions hold all connections of the pool for long, and no
    further ones are opened.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    pool = _direct_pool(platform_site)
    await wait_until(lambda: pool.has_idle)
    async with asyncio.timeout(0.5):
        await asyncio.gather(*(_hold(pool, 0.3) for _ in range(4)))
