"""Tests of daemons that lend each other connections."""

import asyncio
from collections.abc import AsyncIterator

from stand_ins.site import CURRENT, OWN, RECENT, SERVICE, SiteStandIn

from monsoonproxy.node import Node
from tests.fixtures import fixture, load_functions
from tests.platform_sites import running, runs, until

load_tests = load_functions(__name__)

_DAEMONS = 7
_LIMIT = 6
#: Lenders of each database at that limit.
_LENDERS = 3


@fixture
async def crowded_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site whose databases accept too few connections for all."""
    site = SiteStandIn(daemons=_DAEMONS)
    site.limit_connections(_LIMIT)
    async with running(site):
        borrowers = _DAEMONS - _LENDERS
        await until(lambda: sum(map(_borrows, site.nodes)) == borrowers)
        await asyncio.sleep(0.3)
        yield site


def _borrows(node: Node) -> bool:
    """Tell whether a daemon reaches the leader through others."""
    cluster = node.catalog.runners[SERVICE].cluster
    leader = cluster.leader
    return leader is not None and leader.pool is not leader.direct


async def test_all_daemons_serve(crowded_site: SiteStandIn) -> None:
    """Guards against daemons without a way to the databases."""
    for number in range(_DAEMONS):
        for name in (CURRENT, RECENT, OWN):
            caller = await crowded_site.caller(name, number)
            assert not (await caller.run(f'WRITE {name} {number}')).code
            reply = await caller.run(f'READ {name}')
            assert not reply.code, reply
            await caller.close()
    for database in crowded_site.databases:
        assert len(database.connections) <= _LIMIT


async def test_lent_transaction_is_pinned(crowded_site: SiteStandIn) -> None:
    """Guards against statements of a transaction on other connections."""

    async def book(number: int) -> None:
        caller = await crowded_site.caller(OWN, number)
        for turn in range(5):
            name = f'tx-{number}-{turn}'
            assert (await caller.run('BEGIN', name)).state == b'T'
            assert not (await caller.run(f'WRITE a {number}', name)).code
            assert not (await caller.run('READ a', name)).code
            assert not (await caller.run('COMMIT', name)).code

    await asyncio.gather(*map(book, range(_DAEMONS)))
    for number in range(_DAEMONS):
        for turn in range(5):
            found = runs(crowded_site, f'tx-{number}-{turn}')
            assert len(found) == 3
            assert len({(run.server_id, run.connection) for run in found}) == 1
    assert len(crowded_site.leader.log) == 5 * _DAEMONS


async def test_lent_session_state(crowded_site: SiteStandIn) -> None:
    """Guards against values and statements of another daemon's caller."""

    async def talk(number: int) -> None:
        caller = await crowded_site.caller(OWN, number)
        await caller.run(f'SET crew {number}')
        await caller.run(f'PREPARE s READ shape-{number % 2}')
        for _ in range(6):
            assert not (await caller.run('EXECUTE s a', f'by-{number}')).code

    await asyncio.gather(*map(talk, range(_DAEMONS)))
    for number in range(_DAEMONS):
        found = runs(crowded_site, f'by-{number}')
        values = ((b'crew', str(number).encode()),)
        assert {run.values for run in found} == {values}
        shape = f'READ[shape-{number % 2}] a'.encode()
        assert {run.text for run in found} == {shape}


async def test_lender_killed(crowded_site: SiteStandIn) -> None:
    """Guards against callers that fail with the daemon that lent to them."""
    lenders = [node for node in crowded_site.nodes if not _borrows(node)]
    callers = [
        await crowded_site.caller(CURRENT, number)
        for number, node in enumerate(crowded_site.nodes)
        if _borrows(node)
    ]
    assert lenders
    await lenders[0].abort()
    for caller in callers:
        reply = await caller.run('READ a')
        assert not reply.code, reply


async def test_lender_lost_in_transaction(crowded_site: SiteStandIn) -> None:
    """Guards against a transaction that its lender's end leaves open."""
    number = next(
        index for index, node in enumerate(crowded_site.nodes) if _borrows(node)
    )
    caller = await crowded_site.caller(OWN, number)
    await caller.run('BEGIN')
    assert not (await caller.run('WRITE a 1')).code
    for node in crowded_site.nodes:
        if node is not crowded_site.nodes[number]:
            await node.abort()
    reply = await caller.run('COMMIT')
    assert reply.code in {'ABORTED', 'INDOUBT'}
    await asyncio.sleep(0.1)
    assert not crowded_site.leader.log


async def test_borrower_killed(crowded_site: SiteStandIn) -> None:
    """Guards against leases that their borrower's end leaves open."""
    number = next(
        index for index, node in enumerate(crowded_site.nodes) if _borrows(node)
    )
    caller = await crowded_site.caller(OWN, number)
    await caller.run('BEGIN')
    assert not (await caller.run('WRITE a 1')).code
    await crowded_site.nodes[number].abort()

    def all_returned() -> bool:
        others = crowded_site.nodes.copy()
        others.pop(number)
        return not any(node.gauges()['connections_lent'] for node in others)

    await until(all_returned)
    assert not any(
        session.transaction for session in crowded_site.leader.connections
    )
    assert not crowded_site.leader.log


async def test_no_lender_is_no_evidence(crowded_site: SiteStandIn) -> None:
    """Guards against a promotion since the daemons that lend are gone.

    Pattern: all lenders are killed, or start at the same time as those that
    borrow from them; the primary is well.
    """
    borrowing = {
        number
        for number, node in enumerate(crowded_site.nodes)
        if _borrows(node)
    }
    callers = [await crowded_site.caller(CURRENT, n) for n in borrowing]
    for number in set(range(_DAEMONS)) - borrowing:
        await crowded_site.nodes[number].abort()
    replies = await asyncio.gather(
        *(caller.run('WRITE a 1') for caller in callers)
    )
    assert not any(reply.code for reply in replies), replies
    assert not crowded_site.platform.orders


async def test_failover_of_lent_leader(crowded_site: SiteStandIn) -> None:
    """Guards against a leader that only borrowers miss, or nobody does."""
    callers = [
        await crowded_site.caller(CURRENT, number) for number in range(_DAEMONS)
    ]
    assert not (await callers[0].run('WRITE a 1')).code
    await asyncio.sleep(0.1)
    await crowded_site.leader.stop()
    replies = await asyncio.gather(
        *(caller.run('WRITE a 2') for caller in callers)
    )
    assert not any(reply.code for reply in replies), replies
    assert not crowded_site.group.rolled_back
