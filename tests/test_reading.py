"""Tests of how often a daemon sends reads to a second backend server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from unittest import mock

from stand_ins.site import SESSION_ROUTE, BOUNDED_ROUTE, SERVICE, SiteStandIn

from monsoonproxy.clusters import Lease
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.floors import Floors
from monsoonproxy.members import Member
from tests.fixtures import load_functions
from tests.platform_sites import events, runs

load_tests = load_functions(__name__)

_READS = 40


async def test_overload_is_not_doubled(platform_site: SiteStandIn) -> None:
    """Guards against reads that are sent three times since all are late.

    Pattern: after a loss of power, callers bring what they could not do before;
    all databases answer after 0.2 s, far beyond the usual time.
    """
    callers = [await platform_site.caller(SESSION_ROUTE) for _ in range(_READS)]
    assert not (await callers[0].run('READ a')).code
    for database in platform_site.databases:
        database.faults.work = 0.05
    replies = await asyncio.gather(*(each.run('READ a') for each in callers))
    assert not all(reply.code for reply in replies)
    hedged = events(platform_site.nodes, 'reads_hedged')
    # The two that a daemon has at the start come on top.
    assert hedged <= 0.15 * _READS + 2


async def test_late_attempt_does_not_run(platform_site: SiteStandIn) -> None:
    """Guards against a read that runs after its caller went on (PINNED).

    Pattern: the first attempt waits for a connection, a second one answers, and
    the caller sets other values.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('READ a')).code
    runner = platform_site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    lend, waits = runner.cluster.leased, [0.5]

    @contextlib.asynccontextmanager
    async def leased(
        member: Member, claim: LeaseRequest
    ) -> AsyncIterator[Lease]:
        await asyncio.sleep(waits.pop() if waits else 0)
        async with lend(member, claim) as lease:
            yield lease

    with mock.patch.object(runner.cluster, 'leased', leased):
        assert not (await caller.run('READ a', 'late')).code
        await asyncio.sleep(0.7)
    assert len(runs(platform_site, 'late')) == 1


async def test_lost_answers_are_hedged(platform_site: SiteStandIn) -> None:
    """Guards against a read that waits for an answer that is lost."""
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
    """Guards against reads that are held to their end and then refused.

    Pattern: the network is split; the leader and most other daemons are on the
    other side. Once the last known position is too old for a route, nothing on
    this side can tell whether a replica is fresh enough, while callers that are
    refused are served by a daemon on the other side.
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
    cluster.floors = Floors()
    with mock.patch.object(runner.leaders, 'sample', _no_sample):
        async with asyncio.timeout(0.2):
            assert (await caller.run('READ a')).code == 'BUSY'
            assert (await caller.run('BEGIN READ')).state == b'T'
            assert (await caller.run('READ a')).code == 'BUSY'
    assert not platform_site.nodes[0].ready
    cluster.leader.is_partitioned = False
    assert platform_site.nodes[0].ready


async def _no_sample(_limit: float) -> bool:
    return False


async def test_silent_path_spends_no_budget(platform_site: SiteStandIn) -> None:
    """Guards against reads that wait since a cut has used up the budget.

    Pattern: the way to one backend server falls silent for seconds while the
    others answer at once; a third of the reads go to the silent one first.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    runner = platform_site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    for _ in range(_READS):
        assert not (await caller.run('READ a')).code
    silent = next(each for each in platform_site.databases if not each.leads)
    silent.faults.silent = True
    first = runner.cluster.members[silent.server_id].stats
    for _ in range(10):
        # Not set aside, as seen by a daemon with few reads a second.
        first.latency, first.ejected_until = 0, 0
        async with asyncio.timeout(0.3):
            assert not (await caller.run('READ a')).code
    assert events(platform_site.nodes, 'reads_hedged') >= 5
    assert not events(platform_site.nodes, 'hedges_denied')


async def test_attempt_in_work_is_waited_for(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a refusal while a replica is about to answer.

    Pattern: the network is split with a read in work; by the time a second
    attempt would be made, the last known position has become too old.
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
    cluster.floors = Floors()
    assert not (await reading).code
