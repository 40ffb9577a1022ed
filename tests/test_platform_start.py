"""Tests of starting daemons: joining peers and sparing the store."""

import asyncio
from collections.abc import AsyncIterator
from unittest import mock

import attrs
from stand_ins.site import PRIMARY_ROUTE, SiteStandIn

from monsoonproxy import delegate_selection
from tests.fixtures import fixture, load_functions
from tests.platform_sites import wait_until

load_tests = load_functions(__name__)


async def test_start_while_store_refuses_writes(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a daemon that has no peers until the store takes writes.

    Half of the daemons are killed and restart while the store is slow, so that
    its queue of writes is full and it refuses more.
    """
    platform_site.platform.faults.refuse_writes = True
    node = await platform_site.add_node()
    await wait_until(lambda: node.gauges()['daemons_alive'] == 3)
    # The balancer sends callers to a daemon only once it is ready.
    await wait_until(lambda: node.ready)
    caller = await platform_site.caller(PRIMARY_ROUTE, 3)
    assert not (await caller.run('READ a')).code


@fixture
async def new_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site whose daemons all start for the first time together."""
    site = SiteStandIn(daemons=0)
    site.platform.faults.delay = 0.05
    await site.start()
    await asyncio.gather(*(site.add_node() for _ in range(8)))
    yield site
    await site.stop()


async def test_simultaneous_first_start(new_site: SiteStandIn) -> None:
    """Guards against daemons that never learn of each other.

    All of them read the list before any has written its row.
    """
    for node in new_site.nodes:
        await wait_until(lambda each=node: each.gauges()['daemons_alive'] == 7)


async def test_restart_writes_nothing(platform_site: SiteStandIn) -> None:
    """Guards against a write to the store at each restart of a daemon."""
    settings = platform_site.settings('front-3')
    rows = platform_site.platform.rows
    first = await platform_site.add_node(settings)
    await wait_until(lambda: ('daemons', 'front-3') in rows)
    _content, version = rows['daemons', 'front-3']
    await first.abort()
    restarted = await platform_site.add_node(settings)
    await wait_until(lambda: restarted.gauges()['daemons_alive'] == 3)
    assert rows['daemons', 'front-3'][1] == version


async def test_start_while_store_is_silent(platform_site: SiteStandIn) -> None:
    """Guards against a daemon that can't serve until the store answers.

    A daemon is killed and restarts while the store is down. Its peers still
    know its address and send it presences, so that it fetches the
    configuration from them.
    """
    settings = platform_site.settings('front-3')
    first = await platform_site.add_node(settings)
    await wait_until(lambda: first.gauges()['daemons_alive'] == 3)
    await first.abort()
    platform_site.platform.faults.silent = True
    restarted = await platform_site.add_node(settings)
    await wait_until(lambda: restarted.ready)
    caller = await platform_site.caller(PRIMARY_ROUTE, 3)
    assert not (await caller.run('READ a')).code


async def test_first_start_while_store_is_silent(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a new daemon without peers until the store answers.

    A host is added while the store is down. Its settings name three seed
    peers, only one of which can answer.
    """
    platform_site.platform.faults.silent = True
    known = platform_site.nodes[0]._settings.peer_address
    running = platform_site.settings('front-3')
    settings = attrs.evolve(
        running, seeds=('127.0.0.1:9', running.peer_address, known)
    )
    node = await platform_site.add_node(settings)
    await wait_until(lambda: node.gauges()['daemons_alive'] == 3)
    # The balancer sends callers to a daemon only once it is ready.
    await wait_until(lambda: node.ready)
    caller = await platform_site.caller(PRIMARY_ROUTE, 3)
    assert not (await caller.run('READ a')).code


@fixture
async def delegating_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site where three of twelve daemons follow the store."""
    with (
        mock.patch.object(delegate_selection, '_SMALL_SITE', 4),
        mock.patch.object(delegate_selection, '_DELEGATE_COUNT', 3),
    ):
        site = SiteStandIn(daemons=12)
        await site.start()
        for node in site.nodes:
            await wait_until(
                lambda each=node: each.gauges()['daemons_alive'] == 11
            )
        yield site
        await site.stop()


async def test_restart_of_all_spares_the_store(
    delegating_site: SiteStandIn,
) -> None:
    """Guards against every daemon reading every table after a power failure.

    All daemons restart together; the store takes 2,000 reads per second from
    all of them, and each call costs. Only the delegates may read the
    configuration and the entries; the others fetch both from them at once.
    """
    site = delegating_site
    settings = [node._settings for node in site.nodes]
    await asyncio.gather(*(node.abort() for node in site.nodes))
    site.nodes.clear()
    site.platform.calls.clear()
    await asyncio.gather(*(site.add_node(each) for each in settings))
    await wait_until(lambda: all(node.ready for node in site.nodes), 1)
    await asyncio.sleep(1)
    calls = site.platform.calls
    assert calls['/rows-get', 'op'] == 3, calls
    assert calls['/rows-get', 'servers'] == 3, calls
    assert calls['/rows-get', 'daemons'] == 12, calls


async def test_first_start_of_all_spares_the_store() -> None:
    """Guards against every daemon reading the list of daemons twice.

    Hundreds of daemons start for the first time within 0.3 s.
    """
    site = SiteStandIn(daemons=0)
    await site.start()
    settings = [
        attrs.evolve(site.settings(f'front-{number}'), first_start=True)
        for number in range(8)
    ]
    await asyncio.gather(*(site.add_node(each) for each in settings))
    for node in site.nodes:
        await wait_until(lambda each=node: each.gauges()['daemons_alive'] == 7)
    assert site.platform.calls['/rows-get', 'daemons'] == 8
    await site.stop()


async def test_no_delegates_before_list_is_read() -> None:
    """Guards against all daemons following the store at the first start.

    Hundreds of daemons start at once and the store needs a second for their
    rows. Until then each knows only a few peers, as on a small site, where all
    daemons are delegates.
    """
    site = SiteStandIn(daemons=0)
    site.platform.faults.delay = 0.4
    await site.start()
    settings = attrs.evolve(site.settings('front-0'), first_start=True)
    node = await site.add_node(settings)
    await asyncio.sleep(0.6)
    assert not site.platform.calls['/rows-get', 'op']
    await wait_until(lambda: node.ready)
    await site.stop()
