"""Tests of failover and of planned changes of the leader by whole daemons."""

import asyncio
import time
from typing import Any
from unittest import mock

import attrs
from stand_ins.site import PRIMARY_ROUTE, SERVICE, SiteStandIn

from monsoonproxy import promotion
from tests.fixtures import load_functions
from tests.platform_sites import count_events, wait_until

load_tests = load_functions(__name__)

#: Longest time in s for an answer that waits for no other process.
_IMMEDIATE = 0.1
#: Time in s within which any change of a leader is over.
_REPLACED_WITHIN = 10


async def test_primary_killed(platform_site: SiteStandIn) -> None:
    """Guards against a crashed primary that is replaced twice, or never."""
    callers = [await platform_site.caller(PRIMARY_ROUTE, n) for n in range(3)]
    assert not (await callers[0].run('WRITE a 1')).code
    await asyncio.sleep(0.1)
    await platform_site.leader.stop()
    started = time.monotonic()
    replies = await asyncio.gather(
        *(caller.run('WRITE a 2') for caller in callers)
    )
    assert [reply.code for reply in replies] == ['', '', '']
    assert time.monotonic() - started < 10
    tokens = [order[3] for order in platform_site.platform.orders]
    assert len(set(tokens)) == len(tokens) == 1
    assert not platform_site.group.rolled_back


async def test_peer_claims_during_survey(platform_site: SiteStandIn) -> None:
    """Guards against two daemons that order the same promotion.

    The claim of another daemon is announced while the candidates are asked for
    their positions.
    """
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    query = promotion.query_candidates

    async def query_and_announce(*args: Any) -> Any:
        found = await query(*args)
        for node in platform_site.nodes:
            tokens = node._promoter.tokens
            tokens.record_announced(SERVICE, 1, node._clock.now())
        return found

    with mock.patch.object(promotion, 'query_candidates', query_and_announce):
        await platform_site.leader.stop()
        await asyncio.sleep(1)
        assert not platform_site.platform.orders
    # The daemon that announced has failed; another one replaces the leader.
    await wait_until(lambda: platform_site.leader.server_id != 'db-0')


async def test_primary_silent(platform_site: SiteStandIn) -> None:
    """Guards against keeping a primary that connects but answers nothing."""
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    await asyncio.sleep(0.1)
    platform_site.leader.faults.silent = True
    old = platform_site.leader
    for session in tuple(old.connections):
        session.abort()
    await asyncio.sleep(0.1)
    reply = await caller.run('WRITE a 2')
    assert not reply.code, reply
    assert platform_site.leader is not old


async def test_order_lost_and_late(platform_site: SiteStandIn) -> None:
    """Guards against a delayed order that replaces a newer leader (ONE).

    It must not promote a second time either, so the order that follows it has
    a greater token.
    """
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    platform_site.platform.faults.lose_orders = 1
    platform_site.platform.faults.lost_order_delay = 4
    await platform_site.leader.stop()
    await wait_until(lambda: platform_site.leader.server_id != 'db-0')
    new = platform_site.leader
    assert not (await caller.run('WRITE a 2')).code
    await asyncio.sleep(3)
    assert platform_site.leader is new
    tokens = [order[3] for order in platform_site.platform.orders]
    assert len(tokens) > 1
    assert tokens == sorted(set(tokens))


async def test_claim_answer_lost(platform_site: SiteStandIn) -> None:
    """Guards against a daemon that takes its own claim for a peer's.

    The answer to the claim of the fencing token is lost; the daemon would wait
    for a promotion that no one orders.
    """
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    platform_site.platform.faults.lose_writes = 1
    await platform_site.leader.stop()
    await wait_until(lambda: platform_site.leader.server_id != 'db-0')
    assert not (await caller.run('WRITE a 2')).code


async def test_leader_leaves(platform_site: SiteStandIn) -> None:
    """Guards against requests to a primary that has left (DRAIN).

    The primary announces that it leaves, and has to be replaced before.
    """
    old = platform_site.leader
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    await platform_site.add_database()
    old.state = 'draining'
    platform_site.platform.write_entry(old)
    await wait_until(lambda: platform_site.leader is not old, 5)
    assert platform_site.leader.server_id == 'db-3'
    assert not (await caller.run('WRITE a 2')).code
    assert not platform_site.group.rolled_back


async def test_hand_over_keeps_commits(platform_site: SiteStandIn) -> None:
    """Guards against a planned change that rolls back acknowledged commits.

    All daemons write without a pause while the primary is about to leave, and
    replicas stop receiving its log once the promotion is ordered.
    """
    group, old = platform_site.group, platform_site.leader
    callers = [await platform_site.caller(PRIMARY_ROUTE, n) for n in range(3)]
    acknowledged: set[bytes] = set()

    async def write_repeatedly(number: int) -> None:
        turn = 0
        while group.leader is old:
            request_id = f'{number}-{turn}'
            turn += 1
            reply = await callers[number].run('WRITE a 1', request_id)
            if not reply.code:
                acknowledged.add(request_id.encode())

    writing = asyncio.gather(*map(write_repeatedly, range(3)))
    await asyncio.sleep(0.2)
    old.state = 'draining'
    platform_site.platform.write_entry(old)
    await wait_until(lambda: bool(platform_site.platform.orders))
    for database in platform_site.databases:
        database.faults.replication_stopped = True
    await writing
    assert acknowledged
    log = platform_site.leader.log
    kept = {name for entry in log for name in entry.request_ids}
    assert acknowledged <= kept


async def test_leader_left_without_successor(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a service that stays without a leader for good.

    The leader leaves while no replica is up, so that nobody can take over; its
    entry is gone when the replicas are back.
    """
    site = platform_site
    caller = await site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    await asyncio.sleep(0.1)
    for database in site.databases:
        await database.stop()
        site.platform.remove_entry(database.server_id)
    await asyncio.sleep(0.5)
    for replica in site.databases[1:]:
        await replica.restart()
    async with asyncio.timeout(_REPLACED_WITHIN):
        # Refusals are promises that nothing is kept; the caller tries again.
        while (await caller.run('WRITE a 2')).code:
            await asyncio.sleep(0.1)
    assert site.leader.server_id != 'db-0'
    assert len(site.platform.orders) == 1


async def test_one_daemon_cut_off(five_daemon_site: SiteStandIn) -> None:
    """Guards against a replacement because one daemon is cut off.

    Only one daemon fails to reach the leader; its peers lend connections.
    """
    caller = await five_daemon_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('READ a')).code
    runner = five_daemon_site.nodes[0].catalog.runners[SERVICE]
    pool = runner.cluster.members[five_daemon_site.leader.server_id].direct
    # This daemon connects to an unused port instead of the leader's.
    pool.server = attrs.evolve(pool.server, address='127.0.0.1:9')
    for session in tuple(five_daemon_site.leader.connections):
        session.abort()
    reply = await caller.run('READ a')
    # The read runs on a connection that a peer lends.
    assert not reply.code, reply
    assert not five_daemon_site.platform.orders


async def test_leader_unreachable_for_all(
    five_daemon_site: SiteStandIn,
) -> None:
    """Guards against waiting for a leader that no answering daemon reaches.

    The request is refused at once if no peer can lend a connection.
    """
    caller = await five_daemon_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('READ a')).code
    runner = five_daemon_site.nodes[0].catalog.runners[SERVICE]
    member = runner.cluster.members[five_daemon_site.leader.server_id]
    await wait_until(lambda: member.borrowed.is_open)
    member.is_cut_off = True
    reply = await caller.run('READ a')
    assert not reply.code, reply
    member.borrowed.restrict(frozenset())
    async with asyncio.timeout(_IMMEDIATE):
        assert (await caller.run('READ a')).code == 'BUSY'


async def test_cut_off_for_long(platform_site: SiteStandIn) -> None:
    """Guards against a daemon that is kept busy by the search for a leader.

    All databases are down. Control work may take 2.6% of a core, which is 26
    probes of 1 ms a second.
    """
    for database in platform_site.databases:
        await database.stop()
    await asyncio.sleep(6)
    before = count_events(platform_site.nodes, 'probes')
    await asyncio.sleep(2)
    daemons = len(platform_site.nodes)
    probes = count_events(platform_site.nodes, 'probes') - before
    assert probes / daemons <= 2 * 26


async def test_failed_check_clears_unreachable(
    five_daemon_site: SiteStandIn,
) -> None:
    """Guards against a daemon that stays unready after an unexpected error.

    The check of a leader raises after it marked the leader as cut off; no
    later check would clear the marks.
    """
    node = five_daemon_site.nodes[0]
    runner = node.catalog.runners[SERVICE]
    member = runner.cluster.members[five_daemon_site.leader.server_id]
    member.is_cut_off = True
    member.is_partitioned = True
    assert not node.ready
    with mock.patch.object(node._promoter, '_assess', side_effect=LookupError):
        node._promoter.check_leader(runner.cluster, member.server.server_id)
        await wait_until(lambda: node.ready)
    assert not member.is_cut_off
