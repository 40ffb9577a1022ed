"""Tests of transactions and shutdown through complete daemons."""

import asyncio
import contextlib
import itertools
import time

from stand_ins.site import SESSION_ROUTE, Caller, SiteStandIn

from tests.fixtures import load_functions
from tests.platform_sites import statement_runs, wait_until

load_tests = load_functions(__name__)


async def test_transaction_uses_one_connection(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a transaction spread over connections (PINNED)."""
    caller = await platform_site.caller(SESSION_ROUTE)
    begun = await caller.run('BEGIN')
    assert (begun.end, begun.state) == (b'COMPLETE -', b'T')
    assert not (await caller.run('WRITE a 1', 'tx')).code
    assert not (await caller.run('READ b', 'tx')).code
    committed = await caller.run('COMMIT', 'tx')
    assert not committed.code
    assert committed.state == b'I'
    found = statement_runs(platform_site, 'tx')
    assert [run.text for run in found] == [b'WRITE a 1', b'READ b', b'COMMIT']
    assert len({(run.server_id, run.connection) for run in found}) == 1


async def test_disconnect_rolls_back(platform_site: SiteStandIn) -> None:
    """Guards against a transaction that stays open after its caller left."""
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    await caller.close()

    def ended() -> bool:
        sessions = platform_site.leader.connections
        return not any(session.transaction for session in sessions)

    await wait_until(ended)
    assert not platform_site.leader.log


async def test_idle_transaction_ends(platform_site: SiteStandIn) -> None:
    """Guards against idle transactions that hold connections for ever.

    The caller learns at its next statement that the transaction was ended.
    """
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
    """Guards against a wrong report of a failed commit (REFUSED).

    The connection to the backend server breaks inside the transaction; if the
    commit was sent, the daemon must not report that nothing was kept.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    for session in tuple(platform_site.leader.connections):
        session.abort()
    reply = await caller.run('COMMIT')
    # The connection broke before the commit was sent, so both are correct.
    assert reply.code in {'ABORTED', 'INDOUBT'}
    assert not platform_site.leader.log


async def test_lost_commit_is_in_doubt(platform_site: SiteStandIn) -> None:
    """Guards against a kept commit reported as failed (REFUSED, TWICE).

    The leader commits, and the connection breaks before its answer.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    platform_site.leader.faults.lose_answers = 1
    platform_site.leader.faults.reset_on_loss = True
    reply = await caller.run('COMMIT')
    assert reply.code == 'INDOUBT'
    assert len(platform_site.leader.log) == 1


async def test_shutdown_interrupts_nothing(platform_site: SiteStandIn) -> None:
    """Guards against requests that a shutdown interrupts (LOST).

    While the daemon stops, an idle session can still send a request, and an
    open transaction can still commit.
    """
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


async def test_shutdown_answers_received_requests(
    platform_site: SiteStandIn,
) -> None:
    """Guards against requests lost when idle connections are closed.

    During a planned stop under load, requests are in the kernel's buffers while
    the daemon closes its idle connections one after another.
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
    """Guards against an open transaction that delays a shutdown.

    It is rolled back after the grace period, and the caller is told.
    """
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


async def test_shutdown_answers_running_transactions(
    platform_site: SiteStandIn,
) -> None:
    """Guards against statements of transactions that a shutdown cuts off.

    Pattern: transactions run one statement after another while the daemon
    stops (LOST).
    """
    for database in platform_site.databases:
        database.faults.work = 0.02
    node = platform_site.nodes[0]
    callers = [await platform_site.caller(SESSION_ROUTE) for _ in range(20)]
    running = [asyncio.create_task(_run_until_closed(each)) for each in callers]
    await asyncio.sleep(0.2)
    await node.stop()
    for unanswered in await asyncio.gather(*running):
        assert not unanswered


async def test_shutdown_refuses_late_statements(
    platform_site: SiteStandIn,
) -> None:
    """Guards against statements that begin when a daemon is about to end."""
    node = platform_site.nodes[0]
    busy = await platform_site.caller(SESSION_ROUTE)
    await busy.run('BEGIN')
    await busy.run('READ a')
    stopping = asyncio.create_task(node.stop())
    await asyncio.sleep(1.8)
    assert (await busy.run('READ a')).code == 'ABORTED'
    busy.send(
        b'QUERY end ROLLBACK\r\nQUERY late READ a\r\nQUERY late BEGIN\r\n'
    )
    assert not (await busy.reply()).code
    assert [(await busy.reply()).code for _ in range(2)] == ['BUSY', 'BUSY']
    await stopping
    assert not statement_runs(platform_site, 'late')


async def _run_until_closed(caller: Caller) -> list[str]:
    """Run transactions until the daemon closes the connection.

    :returns: The statements that were sent and not answered, unless the
        connection was idle.
    """
    sent: list[str] = []
    with contextlib.suppress(ConnectionError):
        for _ in itertools.repeat(None):
            await _run_transaction(caller, sent)
    return [text for text in sent[-1:] if text != 'BEGIN']


async def _run_transaction(caller: Caller, sent: list[str]) -> None:
    for text in ('BEGIN', *itertools.repeat('READ a', 40), 'COMMIT'):
        sent.append(text)
        if (await caller.run(text)).code:
            await caller.run('ROLLBACK')
            return
