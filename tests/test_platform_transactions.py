"""Tests of transactions and shutdown through whole daemons."""

import asyncio
import time

from stand_ins.site import SESSION_ROUTE, SiteStandIn

from tests.fixtures import load_functions
from tests.platform_sites import runs, until

load_tests = load_functions(__name__)


async def test_transaction(platform_site: SiteStandIn) -> None:
    """Guards against statements on another connection (PINNED)."""
    caller = await platform_site.caller(SESSION_ROUTE)
    begun = await caller.run('BEGIN')
    assert (begun.end, begun.state) == (b'COMPLETE -', b'T')
    assert not (await caller.run('WRITE a 1', 'tx')).code
    assert not (await caller.run('READ b', 'tx')).code
    committed = await caller.run('COMMIT', 'tx')
    assert not committed.code
    assert committed.state == b'I'
    found = runs(platform_site, 'tx')
    assert [run.text for run in found] == [b'WRITE a 1', b'READ b', b'COMMIT']
    assert len({(run.server_id, run.connection) for run in found}) == 1


async def test_leaves_in_transaction(platform_site: SiteStandIn) -> None:
    """Guards against a transaction that goes on without its caller."""
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    await caller.close()

    def ended() -> bool:
        sessions = platform_site.leader.connections
        return not any(session.transaction for session in sessions)

    await until(ended)
    assert not platform_site.leader.log


async def test_idle_transaction_ends(platform_site: SiteStandIn) -> None:
    """Guards against connections that idle transactions hold."""
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    await asyncio.sleep(1.6)
    assert not any(
        session.transaction for session in platform_site.leader.connections
    )
    reply = await caller.run('WRITE b 1')
    assert reply.code == 'ABORTED'
    assert reply.state == b'E'
    assert (await caller.run('ROLLBACK')).state == b'I'
    assert not platform_site.leader.log


async def test_server_lost_in_transaction(platform_site: SiteStandIn) -> None:
    """Guards against a promise after a commit was sent (REFUSED)."""
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    for session in tuple(platform_site.leader.connections):
        session.abort()
    reply = await caller.run('COMMIT')
    # The connection broke before the commit was sent.
    assert reply.code in {'ABORTED', 'INDOUBT'}
    assert not platform_site.leader.log


async def test_lost_commit_is_in_doubt(platform_site: SiteStandIn) -> None:
    """Guards against a promise for a commit that was kept (REFUSED, TWICE)."""
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    platform_site.leader.faults.lose_answers = 1
    platform_site.leader.faults.reset_on_loss = True
    reply = await caller.run('COMMIT')
    assert reply.code == 'INDOUBT'
    assert len(platform_site.leader.log) == 1


async def test_shutdown_cuts_nothing(platform_site: SiteStandIn) -> None:
    """Guards against requests that a shutdown cuts (LOST)."""
    node = platform_site.nodes[0]
    idle = await platform_site.caller(SESSION_ROUTE)
    busy = await platform_site.caller(SESSION_ROUTE)
    await busy.run('BEGIN')
    await busy.run('WRITE a 1')
    stopping = asyncio.create_task(node.stop())
    await asyncio.sleep(0.1)
    assert not node.ready
    assert not (await idle.run('READ b')).code
    assert not (await busy.run('COMMIT')).code
    assert await idle.closed()
    await stopping
    assert len(platform_site.leader.log) == 1


async def test_shutdown_answers_what_has_arrived(
    platform_site: SiteStandIn,
) -> None:
    """Guards against requests cut off in the moment when idle sessions close.

    Pattern: a planned stop under load; requests lie in the kernel's buffers
    while the daemon closes its idle connections one after another.
    """
    node = platform_site.nodes[0]
    callers = [await platform_site.caller(SESSION_ROUTE) for _ in range(40)]
    for caller in callers:
        caller.send(b'QUERY arrived READ a\r\n')
    await node._clients.close_idle()
    replies = await asyncio.gather(*(each.reply() for each in callers))
    assert not any(reply.code for reply in replies)
    assert all([await each.closed() for each in callers])


async def test_shutdown_ends_transactions(platform_site: SiteStandIn) -> None:
    """Guards against an open transaction that holds up a shutdown."""
    node = platform_site.nodes[0]
    busy = await platform_site.caller(SESSION_ROUTE)
    await busy.run('BEGIN')
    await busy.run('WRITE a 1')
    started = time.monotonic()
    stopping = asyncio.create_task(node.stop())
    await asyncio.sleep(1.8)
    reply = await busy.run('COMMIT')
    assert reply.code == 'ABORTED'
    await stopping
    assert time.monotonic() - started < 3
    assert not platform_site.leader.log
