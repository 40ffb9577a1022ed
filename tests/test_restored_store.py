"""Tests of whole daemons whose store comes back from an older copy.

The store then lacks its latest rows, gives versions out again, and raises the
era in its answers.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
from unittest import mock

from stand_ins.databases import Database
from stand_ins.site import PRIMARY_ROUTE, SERVICE, SiteStandIn, configuration

from monsoonproxy import delegate_selection
from monsoonproxy.members import Member
from monsoonproxy.stores import Revision
from tests.fixtures import fixture, load_functions
from tests.platform_sites import (
    config_version,
    running_site,
    wait_until,
)

load_tests = load_functions(__name__)

#: Time in s in which a change of the configuration must be in force
#: everywhere, and until which a daemon must be listed again.
_IN_FORCE_LIMIT = 3
#: Time in s after which a backend server that leaves must get no new work.
_DRAIN_LIMIT = 7
#: Time in s after which databases have written what a restore lost.
_REWRITE_TIME = 2


async def test_restored_store_reuses_no_fencing_token(
    platform_site: SiteStandIn,
) -> None:
    """Guards against two promotions ordered with one fencing token (ONE).

    The row with the last token is not in the copy, and the daemons that
    remember the token are killed.
    """
    site = platform_site
    copy = site.platform.copy()
    await _replace_leader(site)
    site.platform.restore(copy)
    site.platform.write_again()
    settings = [node._settings for node in site.nodes]
    await asyncio.gather(*(node.abort() for node in site.nodes))
    site.nodes.clear()
    site.addresses.clear()
    for each in settings:
        await site.add_node(each)
    await wait_until(lambda: all(node.ready for node in site.nodes))
    await _replace_leader(site)
    users = collections.defaultdict(set)
    for _service, server_id, holder, token in site.platform.orders:
        users[token].add((server_id, holder))
    assert all(len(found) == 1 for found in users.values()), users
    tokens = [order[3] for order in site.platform.orders]
    assert tokens == sorted(tokens)


async def test_former_leader_is_not_trusted_in_restored_store(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a second promotion because of an old entry (ONE).

    The copy says that a database leads which has failed and was replaced since;
    a daemon that is killed starts from that.
    """
    site = platform_site
    copy = site.platform.copy()
    caller = await site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    await site.leader.stop()
    await wait_until(lambda: site.leader.server_id != 'db-0')
    site.platform.remove_entry('db-0')
    orders = len(site.platform.orders)
    settings = site.nodes[0]._settings
    await site.nodes[0].abort()
    site.platform.restore(copy)
    node = await site.add_node(settings)
    await wait_until(lambda: node.ready)
    started = asyncio.get_running_loop().time()
    caller = await site.caller(PRIMARY_ROUTE, 3)
    while (await caller.run('WRITE a 2')).code:
        await asyncio.sleep(0.02)
    took = asyncio.get_running_loop().time() - started
    assert took < _REWRITE_TIME
    await asyncio.sleep(_REWRITE_TIME)
    assert len(site.platform.orders) == orders


async def test_restored_store_hides_no_changes(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a feed that skips changes after a restore (CONFIG, DRAIN).

    Versions that the daemons know from before are given out again while they
    can't reach the store, so that it has all the versions that they ask for.
    """
    site = platform_site
    copy = site.platform.copy()
    for version in (2, 3, 4):
        site.platform.configure(configuration(version))
    await _wait_for_version(site, 4)
    site.platform.faults.status = 503
    site.platform.restore(copy)
    site.platform.configure(configuration(8))
    _drain(site, site.databases[1])
    site.platform.put('elsewhere', 'key', b'')
    assert site.platform.version == copy.version + 3
    await asyncio.sleep(0.2)
    site.platform.faults.status = 0
    await _wait_for_version(site, 8)
    await wait_until(lambda: _all_see_leaving(site, 'db-1'), _DRAIN_LIMIT)


async def test_restored_store_ends_waiting_polls(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a change that a long poll does not return (CONFIG).

    The store is restored without cutting the poll, and its versions rise to
    the one that the poll waits after.
    """
    site = platform_site
    copy = site.platform.copy()
    for version in (2, 3, 4):
        site.platform.configure(configuration(version))
    await _wait_for_version(site, 4)
    await asyncio.sleep(0.1)
    site.platform.restore(copy, cuts_polls=False)
    site.platform.configure(configuration(8))
    site.platform.write_entry(site.databases[1])
    site.platform.put('elsewhere', 'key', b'')
    assert site.platform.version == copy.version + 3
    await _wait_for_version(site, 8)


@fixture
async def gossip_only_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site where three of six daemons follow the store."""
    with (
        mock.patch.object(delegate_selection, '_SMALL_SITE', 3),
        mock.patch.object(delegate_selection, '_DELEGATE_COUNT', 3),
        # The others never follow the store, as if they heard other delegates.
        mock.patch.object(delegate_selection, '_MIN_HEARD', 0),
    ):
        async with running_site(SiteStandIn(daemons=6)) as site:
            await wait_until(lambda: _followers(site) == 3)
            yield site


async def test_restored_store_keeps_peers_informed(
    gossip_only_site: SiteStandIn,
) -> None:
    """Guards against daemons that ignore entries of lower versions (DRAIN).

    A daemon that does not follow the store has entries of a version that the
    restored store has not reached again.
    """
    site = gossip_only_site
    copy = site.platform.copy()
    for _ in range(8):
        site.platform.write_entry(site.databases[2])
    newest = Revision(site.platform.era, site.platform.version)
    await wait_until(
        lambda: all(node.catalog.versions()[1] == newest for node in site.nodes)
    )
    site.platform.restore(copy)
    await asyncio.sleep(_REWRITE_TIME)
    _drain(site, site.databases[1])
    assert site.platform.version < newest.version
    await wait_until(lambda: _all_see_leaving(site, 'db-1'), _DRAIN_LIMIT)


async def test_expired_entry_is_dropped_by_all_daemons(
    gossip_only_site: SiteStandIn,
) -> None:
    """Guards against daemons that go on using a server that has left (DRAIN).

    Its entry is removed while the delegates can't reach the store, so that they
    wait whether it comes back; the others only hear from the delegates.
    """
    site = gossip_only_site
    site.platform.faults.status = 503
    await site.databases[1].stop()
    # Long polls in progress return with this change; the next ones are refused.
    site.platform.write_entry(site.databases[2])
    await asyncio.sleep(0.1)
    site.platform.remove_entry('db-1')
    site.platform.faults.status = 0
    await wait_until(lambda: not any(_members(site, 'db-1')), _DRAIN_LIMIT)


async def test_missing_entry_is_dropped_by_all_daemons(
    gossip_only_site: SiteStandIn,
) -> None:
    """Guards against daemons that go on using a server that has left (DRAIN).

    The delegates read the whole table, in which its entry is missing; there is
    no change of a later version that they could tell the others.
    """
    site = gossip_only_site
    site.platform.faults.status = 503
    await site.databases[1].stop()
    site.platform.write_entry(site.databases[2])
    await asyncio.sleep(0.1)
    site.platform.remove_entry('db-1')
    site.platform.compact()
    site.platform.faults.status = 0
    await wait_until(lambda: not any(_members(site, 'db-1')), _DRAIN_LIMIT)


async def test_draining_server_is_not_ready_in_restored_store(
    platform_site: SiteStandIn,
) -> None:
    """Guards against new work at a server that is about to leave (DRAIN).

    Its entry in the copy is older and says that it is ready; the server writes
    it again only a moment later.
    """
    site = platform_site
    copy = site.platform.copy()
    _drain(site, site.databases[1])
    await wait_until(lambda: _all_see_leaving(site, 'db-1'))
    site.platform.restore(copy)
    await _hold_for(_REWRITE_TIME, lambda: _all_see_leaving(site, 'db-1'))
    site.platform.write_again()
    await asyncio.sleep(0.3)
    assert _all_see_leaving(site, 'db-1')


async def test_first_era_of_restored_store() -> None:
    """Guards against a restore that is not noticed (DRAIN).

    The store sends an era only once it was restored.
    """
    site = SiteStandIn()
    site.platform.era = 0
    async with running_site(site):
        copy = site.platform.copy()
        _drain(site, site.databases[1])
        await wait_until(lambda: _all_see_leaving(site, 'db-1'))
        site.platform.restore(copy)
        await _hold_for(_REWRITE_TIME, lambda: _all_see_leaving(site, 'db-1'))


async def test_departed_server_is_not_back_in_restored_store(
    platform_site: SiteStandIn,
) -> None:
    """Guards against using a server that has left (DRAIN, ROUTE).

    The copy still has its entry, which expires a moment later.
    """
    site = platform_site
    copy = site.platform.copy()
    await site.databases[1].stop()
    site.platform.remove_entry('db-1')
    await wait_until(lambda: not any(_members(site, 'db-1')))
    site.platform.restore(copy)
    await _hold_for(_REWRITE_TIME, lambda: not any(_members(site, 'db-1')))
    site.platform.write_again()
    await asyncio.sleep(0.3)
    assert not any(_members(site, 'db-1'))


async def test_new_server_survives_restored_store(
    platform_site: SiteStandIn,
) -> None:
    """Guards against dropping a live server that is not in the copy.

    It registered after the copy was made and registers again a moment later.
    """
    site = platform_site
    copy = site.platform.copy()
    await site.add_database()
    await wait_until(lambda: len(_members(site, 'db-3')) == 3)
    site.platform.restore(copy)
    await _hold_for(_REWRITE_TIME, lambda: len(_members(site, 'db-3')) == 3)
    site.platform.write_again()
    await asyncio.sleep(1)
    assert len(_members(site, 'db-3')) == 3


async def test_daemon_is_listed_again_in_restored_store(
    platform_site: SiteStandIn,
) -> None:
    """Guards against daemons that never learn of each other.

    A daemon joined after the copy was made; its row is gone, and daemons that
    start later would not find it.
    """
    site = platform_site
    copy = site.platform.copy()
    joined = await site.add_node(site.settings('front-3'))
    await wait_until(lambda: ('daemons', 'front-3') in site.platform.rows)
    site.platform.restore(copy)
    later = await site.add_node(site.settings('front-4'))
    await wait_until(
        lambda: ('daemons', 'front-3') in site.platform.rows, _IN_FORCE_LIMIT
    )
    for node in (joined, later):
        await wait_until(
            lambda each=node: each.gauges()['daemons_alive'] == 4,
            _IN_FORCE_LIMIT,
        )


async def test_daemon_corrects_its_row_in_restored_store(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a daemon that is looked for at an address it has left.

    It started again at another address after the copy was made.
    """
    site = platform_site
    first = await site.add_node(site.settings('front-3'))
    await wait_until(lambda: ('daemons', 'front-3') in site.platform.rows)
    copy = site.platform.copy()
    await first.abort()
    await site.add_node(site.settings('front-3'))
    before = copy.rows['daemons', 'front-3'][0]
    rows = site.platform.rows
    await wait_until(lambda: rows['daemons', 'front-3'][0] != before)
    moved = rows['daemons', 'front-3'][0]
    site.platform.restore(copy)
    await wait_until(
        lambda: site.platform.rows['daemons', 'front-3'][0] == moved,
        _IN_FORCE_LIMIT,
    )


async def test_configuration_survives_restored_store(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a configuration that comes back older (CONFIG).

    The copy has an older one; a daemon that is killed then reads it, and is
    told the newer one by its peers.
    """
    site = platform_site
    copy = site.platform.copy()
    site.platform.configure(configuration(6))
    await _wait_for_version(site, 6)
    site.platform.restore(copy)
    settings = site.nodes[2]._settings
    await site.nodes[2].abort()
    site.nodes[2] = await site.add_node(settings)
    site.nodes.pop()
    await _wait_for_version(site, 6)
    site.platform.write_again()
    site.platform.configure(configuration(7))
    await _wait_for_version(site, 7)


async def _replace_leader(site: SiteStandIn) -> None:
    """Stop the leader, wait for its successor and start it as a replica."""
    old = site.leader
    caller = await site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    await asyncio.sleep(0.1)
    await old.stop()
    await wait_until(lambda: site.leader is not old)
    assert not (await caller.run('WRITE a 2')).code
    await caller.close()
    await old.restart()
    old.catch_up()


async def _wait_for_version(site: SiteStandIn, version: int) -> None:
    """Wait until a configuration is in force at all daemons."""
    await wait_until(
        lambda: all(config_version(node) == version for node in site.nodes),
        _IN_FORCE_LIMIT,
    )


async def _hold_for(duration: float, condition: Callable[[], bool]) -> None:
    """Check a condition at short intervals for some time in s."""
    loop = asyncio.get_running_loop()
    until = loop.time() + duration
    while loop.time() < until:
        assert condition()
        await asyncio.sleep(0.02)


def _drain(site: SiteStandIn, database: Database) -> None:
    database.state = 'draining'
    site.platform.write_entry(database)


def _members(site: SiteStandIn, server_id: str) -> list[Member]:
    """Return a backend server as the daemons that use it know it."""
    clusters = [node.catalog.runners[SERVICE].cluster for node in site.nodes]
    found = [cluster.members.get(server_id) for cluster in clusters]
    return [member for member in found if member is not None]


def _all_see_leaving(site: SiteStandIn, server_id: str) -> bool:
    found = _members(site, server_id)
    return len(found) == len(site.nodes) and all(
        member.server.leaving for member in found
    )


def _followers(site: SiteStandIn) -> int:
    """Return how many daemons follow the store."""
    return sum('servers' in node._supervisor.children() for node in site.nodes)
