"""Tests of configuration and entries of backend servers in whole daemons."""

import asyncio

from stand_ins.site import (
    BOUNDED_ROUTE,
    PRIMARY_ROUTE,
    SESSION_ROUTE,
    SiteStandIn,
    configuration,
)

from tests.fixtures import load_functions
from tests.platform_sites import config_version, running_site, wait_until

load_tests = load_functions(__name__)


async def test_configuration_in_force(platform_site: SiteStandIn) -> None:
    """Guards against serving a route that was removed (CONFIG).

    Also, an older configuration must not replace a newer one.
    """
    caller = await platform_site.caller(BOUNDED_ROUTE)
    document = configuration(7)
    document['routes'] = [
        route for route in document['routes'] if route['host'] != BOUNDED_ROUTE
    ]
    platform_site.platform.configure(document)
    await wait_until(lambda: config_version(platform_site.nodes[0]) == 7, 3)
    assert (await caller.run('READ a')).code == 'NODB'
    platform_site.platform.configure(configuration(5))
    await asyncio.sleep(0.3)
    assert config_version(platform_site.nodes[0]) == 7


async def test_configuration_from_peers(platform_site: SiteStandIn) -> None:
    """Guards against a stale configuration in a daemon without a feed (CONFIG).

    A daemon that does not follow the store fetches changes from its peers.
    """
    without_feed = platform_site.nodes[2]
    await without_feed._supervisor.stop_child('routes')
    platform_site.platform.configure(configuration(9))
    await wait_until(lambda: config_version(without_feed) == 9, 3)


async def test_history_lost(platform_site: SiteStandIn) -> None:
    """Guards against missed changes after the history was compacted (CONFIG).

    The store refuses calls while the configuration changes, and then no longer
    has the change; the follower must read the whole table.
    """
    platform_site.platform.faults.status = 503
    platform_site.platform.configure(configuration(3))
    platform_site.platform.compact()
    await asyncio.sleep(0.2)
    platform_site.platform.faults.status = 0
    await wait_until(lambda: config_version(platform_site.nodes[0]) == 3)


async def test_malformed_entry(platform_site: SiteStandIn) -> None:
    """Guards against a malformed entry that affects other backend servers."""
    for key, content in (
        ('bad-1', b'\xff\x00'),
        ('bad-2', b'{"service": "ledger"}'),
        ('bad-3', b'{"service":"ledger","addr":7,"zone":"z","state":"ready"}'),
    ):
        platform_site.platform.put('servers', key, content)
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('READ a')).code


async def test_address_reused_by_other_server(
    platform_site: SiteStandIn,
) -> None:
    """Guards against statements sent to a reused address (ROUTE).

    Another backend server takes over the address of a replica.
    """
    caller = await platform_site.caller(BOUNDED_ROUTE)
    replica = platform_site.databases[1]
    replica.server_id = 'somebody-else'
    await replica.stop()
    await replica.restart()
    platform_site.platform.remove_entry('somebody-else')
    for _ in range(10):
        assert not (await caller.run('READ a')).code
    assert all(
        run.server_id != 'somebody-else' for run in platform_site.group.executed
    )


async def test_connection_limit_changes() -> None:
    """Guards against a daemon that ignores a changed connection limit."""
    site = SiteStandIn(daemons=1)
    services = site.document['services']
    services[0]['max_conns'] = 2
    async with running_site(site):
        callers = [await site.caller(SESSION_ROUTE) for _ in range(3)]
        for caller in callers[:2]:
            assert not (await caller.run('BEGIN')).code
            assert not (await caller.run('WRITE a 1')).code
        document = configuration(7, timeout_ms=1_000)
        site.platform.configure(document)
        await wait_until(lambda: config_version(site.nodes[0]) == 7, 3)
        assert not (await callers[2].run('BEGIN')).code
        assert not (await callers[2].run('WRITE b 1')).code
