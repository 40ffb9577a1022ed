"""Tests of daemons that start while others run."""

import asyncio
from collections.abc import AsyncIterator

from stand_ins.site import CURRENT, SiteStandIn

from tests.fixtures import fixture, load_functions
from tests.platform_sites import until

load_tests = load_functions(__name__)


async def test_start_while_writes_are_turned_away(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a daemon that knows nobody until the store takes writes.

    Pattern: half of the daemons are killed while the store is slow, so that
    its queue of writes is full.
    """
    platform_site.platform.faults.refuse_writes = True
    node = await platform_site.add_node()
    await until(lambda: node.gauges()['daemons_alive'] == 3)
    caller = await platform_site.caller(CURRENT, 3)
    assert not (await caller.run('READ a')).code


@fixture
async def new_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site whose daemons all start for the first time, at once."""
    site = SiteStandIn(daemons=0)
    site.platform.faults.delay = 0.05
    await site.start()
    await asyncio.gather(*(site.add_node() for _ in range(8)))
    yield site
    await site.stop()


async def test_all_start_for_the_first_time(new_site: SiteStandIn) -> None:
    """Guards against daemons that never hear of each other.

    Pattern: all read the list before any of them has written its row.
    """
    for node in new_site.nodes:
        await until(lambda each=node: each.gauges()['daemons_alive'] == 7)


async def test_restart_writes_nothing(platform_site: SiteStandIn) -> None:
    """Guards against a write to the store for each daemon that starts again."""
    settings = platform_site.settings('front-3')
    rows = platform_site.platform.rows
    first = await platform_site.add_node(settings)
    await until(lambda: ('daemons', 'front-3') in rows)
    _content, version = rows['daemons', 'front-3']
    await first.abort()
    again = await platform_site.add_node(settings)
    await until(lambda: again.gauges()['daemons_alive'] == 3)
    assert rows['daemons', 'front-3'][1] == version


async def test_start_while_store_is_silent(platform_site: SiteStandIn) -> None:
    """Guards against a daemon that serves nobody until the store answers.

    Pattern: a daemon is killed while the store is down. The others tell it
    the configuration, since they know where it was.
    """
    settings = platform_site.settings('front-3')
    first = await platform_site.add_node(settings)
    await until(lambda: first.gauges()['daemons_alive'] == 3)
    await first.abort()
    platform_site.platform.faults.silent = True
    again = await platform_site.add_node(settings)
    await until(lambda: again.ready)
    caller = await platform_site.caller(CURRENT, 3)
    assert not (await caller.run('READ a')).code
