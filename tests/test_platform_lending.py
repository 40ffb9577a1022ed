"""Tests of daemons that lend each other backend connections."""

import asyncio
from collections.abc import AsyncIterator

from stand_ins.site import (
    BOUNDED_ROUTE,
    PRIMARY_ROUTE,
    SERVICE,
    SESSION_ROUTE,
    SiteStandIn,
)

from monsoonproxy.node import Node
from tests.fixtures import fixture, load_functions
from tests.platform_sites import running_site, statement_runs, wait_until

load_tests = load_functions(__name__)

_DAEMONS = 7
_LIMIT = 6
#: Lenders of each database at that connection limit.
_LENDERS = 3


@fixture
async def limited_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site with fewer connections per database than daemons."""
    site = SiteStandIn(daemons=_DAEMONS)
    site.limit_connections(_LIMIT)
    async with running_site(site):
        borrowers = _DAEMONS - _LENDERS
        await wait_until(lambda: sum(map(_borrows, site.nodes)) == borrowers)
        await asyncio.sleep(0.3)
        yield site


def _borrows(node: Node) -> bool:
    """Tell whether a daemon reaches the leader through peers."""
    cluster = node.catalog.runners[SERVICE].cluster
    leader = cluster.leader
    return leader is not None and leader.pool is not leader.direct


async def test_all_daemons_serve(limited_site: SiteStandIn) -> None:
    """Guards against daemons that can't reach the databases.

    Pattern: the databases accept fewer connections than there are daemons.
    """
    for number in range(_DAEMONS):
        for name in (PRIMARY_ROUTE, BOUNDED_ROUTE, SESSION_ROUTE):
            caller = await limited_site.caller(name, number)
            assert not (await caller.run(f'WRITE {name} {number}')).code
            reply = await caller.run(f'READ {name}')
            assert not reply.code, reply
            await caller.close()
    for database in limited_site.databases:
        assert len(database.connections) <= _LIMIT


async def test_lent_transaction_affinity(limited_site: SiteStandIn) -> None:
    """Guards against a transaction that is spread over connections.

    Pattern: all daemons run transactions at once, most of them on borrowed
    connections.
    """

    async def run_transactions(number: int) -> None:
        caller = await limited_site.caller(SESSION_ROUTE, number)
        for turn in range(5):
            name = f'tx-{number}-{turn}'
            assert (await caller.run('BEGIN', name)).state == b'T'
            assert not (await caller.run(f'WRITE a {number}', name)).code
            assert not (await caller.run('READ a', name)).code
            assert not (await caller.run('COMMIT', name)).code

    await asyncio.gather(*map(run_transactions, range(_DAEMONS)))
    for number in range(_DAEMONS):
        for turn in range(5):
            found = statement_runs(limited_site, f'tx-{number}-{turn}')
            assert len(found) == 3
            assert len({(run.server_id, run.connection) for run in found}) == 1
    assert len(limited_site.leader.log) == 5 * _DAEMONS


async def test_lent_session_state(limited_site: SiteStandIn) -> None:
    """Guards against session state of another daemon's caller.

    Pattern: callers of all daemons set values and prepare statements of the
    same name, and their daemons share connections.
    """

    async def run_statements(number: int) -> None:
        caller = await limited_site.caller(SESSION_ROUTE, number)
        await caller.run(f'SET crew {number}')
        await caller.run(f'PREPARE s READ shape-{number % 2}')
        for _ in range(6):
            assert not (await caller.run('EXECUTE s a', f'by-{number}')).code

    await asyncio.gather(*map(run_statements, range(_DAEMONS)))
    for number in range(_DAEMONS):
        found = statement_runs(limited_site, f'by-{number}')
        values = ((b'crew', str(number).encode()),)
        assert {run.values for run in found} == {values}
        shape = f'READ[shape-{number % 2}] a'.encode()
        assert {run.text for run in found} == {shape}


async def test_lender_killed(limited_site: SiteStandIn) -> None:
    """Guards against reads that fail because a lender was killed."""
    lenders = [node for node in limited_site.nodes if not _borrows(node)]
    callers = [
        await limited_site.caller(PRIMARY_ROUTE, number)
        for number, node in enumerate(limited_site.nodes)
        if _borrows(node)
    ]
    assert lenders
    await lenders[0].abort()
    for caller in callers:
        reply = await caller.run('READ a')
        assert not reply.code, reply


async def test_lender_lost_in_transaction(limited_site: SiteStandIn) -> None:
    """Guards against a transaction left open by the end of its lender.

    Pattern: the lender is killed between a write and its commit.
    """
    number = next(
        index for index, node in enumerate(limited_site.nodes) if _borrows(node)
    )
    caller = await limited_site.caller(SESSION_ROUTE, number)
    await caller.run('BEGIN')
    assert not (await caller.run('WRITE a 1')).code
    for node in limited_site.nodes:
        if node is not limited_site.nodes[number]:
            await node.abort()
    reply = await caller.run('COMMIT')
    assert reply.code in {'ABORTED', 'INDOUBT'}
    await asyncio.sleep(0.1)
    assert not limited_site.leader.log


async def test_borrower_killed(limited_site: SiteStandIn) -> None:
    """Guards against leases left open by the end of their borrower.

    Pattern: the borrower is killed in the middle of a transaction.
    """
    number = next(
        index for index, node in enumerate(limited_site.nodes) if _borrows(node)
    )
    caller = await limited_site.caller(SESSION_ROUTE, number)
    await caller.run('BEGIN')
    assert not (await caller.run('WRITE a 1')).code
    await limited_site.nodes[number].abort()

    def all_returned() -> bool:
        others = limited_site.nodes.copy()
        others.pop(number)
        return not any(node.gauges()['connections_lent'] for node in others)

    await wait_until(all_returned)
    assert not any(
        session.transaction for session in limited_site.leader.connections
    )
    assert not limited_site.leader.log


async def test_lost_lenders_cause_no_promotion(
    limited_site: SiteStandIn,
) -> None:
    """Guards against a promotion that is caused by the loss of lenders.

    Pattern: all lenders are killed, or start at the same time as their
    borrowers, and the primary works.
    """
    borrowing = {
        number
        for number, node in enumerate(limited_site.nodes)
        if _borrows(node)
    }
    callers = [await limited_site.caller(PRIMARY_ROUTE, n) for n in borrowing]
    for number in set(range(_DAEMONS)) - borrowing:
        await limited_site.nodes[number].abort()
    replies = await asyncio.gather(
        *(caller.run('WRITE a 1') for caller in callers)
    )
    assert not any(reply.code for reply in replies), replies
    assert not limited_site.platform.orders


async def test_failover_of_lent_leader(limited_site: SiteStandIn) -> None:
    """Guards against a failed leader that stays undetected.

    Pattern: the leader stops while most daemons reach it only through lenders.
    """
    callers = [
        await limited_site.caller(PRIMARY_ROUTE, number)
        for number in range(_DAEMONS)
    ]
    assert not (await callers[0].run('WRITE a 1')).code
    await asyncio.sleep(0.1)
    await limited_site.leader.stop()
    replies = await asyncio.gather(
        *(caller.run('WRITE a 2') for caller in callers)
    )
    assert not any(reply.code for reply in replies), replies
    assert not limited_site.group.rolled_back
