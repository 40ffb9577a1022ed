"""Tests of how often a daemon sends reads to a second backend server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from unittest import mock

from stand_ins.site import OWN, SERVICE, SiteStandIn

from monsoonproxy.clusters import Lease
from monsoonproxy.lanes import Claim
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
    callers = [await platform_site.caller(OWN) for _ in range(_READS)]
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
    caller = await platform_site.caller(OWN)
    assert not (await caller.run('READ a')).code
    runner = platform_site.nodes[0].catalog.runner(SERVICE)
    assert runner is not None
    lend, waits = runner.cluster.leased, [0.5]

    @contextlib.asynccontextmanager
    async def leased(member: Member, claim: Claim) -> AsyncIterator[Lease]:
        await asyncio.sleep(waits.pop() if waits else 0)
        async with lend(member, claim) as lease:
            yield lease

    with mock.patch.object(runner.cluster, 'leased', leased):
        assert not (await caller.run('READ a', 'late')).code
        await asyncio.sleep(0.7)
    assert len(runs(platform_site, 'late')) == 1


async def test_lost_answers_are_hedged(platform_site: SiteStandIn) -> None:
    """Guards against a read that waits for an answer that is lost."""
    caller = await platform_site.caller(OWN)
    for _ in range(_READS):
        assert not (await caller.run('READ a')).code
    for database in platform_site.databases:
        if not database.leads:
            database.faults.lose_answers = 1
    async with asyncio.timeout(1):
        assert not (await caller.run('READ a')).code
