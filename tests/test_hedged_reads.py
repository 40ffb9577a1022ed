"""Tests of hedged reads, which are sent to a second backend server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from unittest import mock

from stand_ins.site import BOUNDED_ROUTE, SERVICE, SESSION_ROUTE, SiteStandIn

from monsoonproxy.clusters import Lease
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.floors import Floors
from monsoonproxy.members import Member
from tests.fixtures import load_functions
from tests.platform_sites import count_events, statement_runs

load_tests = load_functions(__name__)

_READS = 40
#: Latency in ms with which a backend server is hardly ever chosen first.
_SLOW_MS = 10_000


async def test_overload_limits_hedging(platform_site: SiteStandIn) -> None:
    """Guards against hedging that multiplies the load of an overload.

    After a power failure callers send all that they could not send before. All
    databases then answer after 0.2 s, far beyond the hedge delay, so that
    without a budget every read would be sent three times. None ever has spare
    capacity, which hedging may use without the budget.
    """
    callers = [await platform_site.caller(SESSION_ROUTE) for _ in range(_READS)]
    assert not (await callers[0].run('READ a')).code
    for database in platform_site.databases:
        database.faults.work = 0.07
    replies = await asyncio.gather(*(each.run('READ a') for each in callers))
    assert not all(reply.code for reply in replies)
    hedged = count_events(platform_site.nodes, 'reads_hedged')
    # The hedge budget starts with two reads and earns 0.15 for each read.
    assert hedged <= 0.15 * _READS + 2


async def test_late_attempt_does_not_run(platform_site: SiteStandIn) -> None:
    """Guards against a read that runs after its caller went on (PINNED).

    The first attempt waits for a connection, a hedged one answers, and the
    caller may then set other session values.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('READ a')).code
    runner = platform_site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    lease_connection, delays_s = runner.cluster.leased, [0.5]

    @contextlib.asynccontextmanager
    async def leased(
        member: Member, claim: LeaseRequest
    ) -> AsyncIterator[Lease]:
        await asyncio.sleep(delays_s.pop() if delays_s else 0)
        async with lease_connection(member, claim) as lease:
            yield lease

    with mock.patch.object(runner.cluster, 'leased', leased):
        assert not (await caller.run('READ a', 'late')).code
        await asyncio.sleep(0.7)
    assert len(statement_runs(platform_site, 'late')) == 1


async def test_lost_answers_are_hedged(platform_site: SiteStandIn) -> None:
    """Guards against a read that waits for a lost answer.

    Each replica loses its next answer; the read must be hedged.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    for _ in range(_READS):
        assert not (await caller.run('READ a')).code
    for database in platform_site.databases:
        if not database.leads:
            database.faults.lose_answers = 1
    async with asyncio.timeout(1):
        assert not (await caller.run('READ a')).code


async def test_unservable_read_is_refused_at_once(
    platform_site: SiteStandIn,
) -> None:
    """Guards against reads that are refused only at their deadline.

    A network partition separates the daemon from the leader and most peers.
    Once the last known position is too old for a route, the daemon can't tell
    whether a replica is fresh enough. It must refuse at once, so that callers
    turn to a daemon on the other side.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('READ a')).code
    runner = platform_site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    cluster = runner.cluster
    assert cluster.leader is not None
    cluster.leader.is_cut_off = True
    cluster.leader.is_partitioned = True
    cluster.leader.borrowed.restrict(frozenset())
    cluster.lead.floors = Floors()
    with mock.patch.object(runner.leaders, 'sample', _fail_to_sample):
        async with asyncio.timeout(0.2):
            assert (await caller.run('READ a')).code == 'BUSY'
            assert (await caller.run('BEGIN READ')).state == b'T'
            assert (await caller.run('READ a')).code == 'BUSY'
    assert not platform_site.nodes[0].ready
    cluster.leader.is_partitioned = False
    assert platform_site.nodes[0].ready


async def _fail_to_sample(_limit: float) -> bool:
    return False


async def test_silent_path_uses_no_hedge_budget(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a silent path that uses up the hedge budget.

    The network path to one backend server drops all packets for seconds, while
    the others answer at once. Reads go to the silent one first, since it seems
    to be the fastest, and must be hedged without using the budget.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    runner = platform_site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    for _ in range(_READS):
        assert not (await caller.run('READ a')).code
    silent = next(each for each in platform_site.databases if not each.leads)
    silent.faults.silent = True
    members = runner.cluster.members
    stats = members[silent.server_id].stats
    for _ in range(10):
        for each in members.values():
            # The choice is random, by expected latency.
            each.stats.latency, each.stats.usual = _SLOW_MS, _SLOW_MS
        # Keeps the member selectable, as at a daemon with few reads a second.
        stats.latency, stats.usual, stats.ejected_until = 0, 0, 0
        async with asyncio.timeout(0.3):
            assert not (await caller.run('READ a')).code
    assert count_events(platform_site.nodes, 'reads_hedged') >= 5
    assert not count_events(platform_site.nodes, 'hedges_denied')


async def test_pending_attempt_is_awaited(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a refusal while a replica is about to answer.

    A network partition begins during a read. When the hedged attempt is due,
    the last known position is already too old to choose a replica, but the
    first attempt still succeeds.
    """
    caller = await platform_site.caller(BOUNDED_ROUTE)
    assert not (await caller.run('READ a')).code
    runner = platform_site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    cluster = runner.cluster
    assert cluster.leader is not None
    for database in platform_site.databases:
        database.faults.work = 0.4
    reading = asyncio.ensure_future(caller.run('READ a'))
    await asyncio.sleep(0.02)
    cluster.leader.is_cut_off = True
    cluster.leader.borrowed.restrict(frozenset())
    cluster.lead.floors = Floors()
    assert not (await reading).code
