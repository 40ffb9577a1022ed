"""Tests of what callers see while a daemon stops, through complete daemons.

The daemons stop within 3 s: they close idle connections after 1.05 s, begin
nothing new after 1.5 s, end transactions after 2.4 s, and end after 2.7 s.
"""

import asyncio
import itertools

from stand_ins.site import (
    BOUNDED_ROUTE,
    PRIMARY_ROUTE,
    SESSION_ROUTE,
    Caller,
    SiteStandIn,
)

from monsoonproxy.client_connections import LARGE_STATEMENT
from monsoonproxy.clock import Millis
from tests.fixtures import load_functions
from tests.platform_sites import count_events, statement_runs, wait_until

load_tests = load_functions(__name__)

#: Time in s that a statement takes which outlives the daemon.
_LONG_WORK = 5
#: Statements that don't all find room at the databases.
_CROWD = 40


async def test_shutdown_answers_running_statements(
    platform_site: SiteStandIn,
) -> None:
    """Guards against statements without an answer when a daemon ends (LOST).

    The databases are still at work when the time until SIGKILL is over.
    """
    callers = [await platform_site.caller(SESSION_ROUTE) for _ in range(4)]
    reader, writer, busy, committer = callers
    current = await platform_site.caller(PRIMARY_ROUTE, 1)
    await busy.run('BEGIN')
    await committer.run('BEGIN')
    assert not (await committer.run('WRITE a 1')).code
    nodes = platform_site.nodes[:2]
    stopping = [asyncio.create_task(node.stop()) for node in nodes]
    await asyncio.sleep(0.3)
    _slow_down(platform_site)
    writing = asyncio.create_task(writer.run('WRITE b 1'))
    # The others must not take the room that the write needs.
    await asyncio.sleep(0.1)
    replies = await asyncio.gather(
        writing,
        reader.run('READ a'),
        current.run('READ a'),
        busy.run('READ a'),
        committer.run('COMMIT'),
    )
    assert [(reply.code, reply.state) for reply in replies] == [
        ('INDOUBT', b'I'),
        ('TIMEOUT', b'I'),
        ('TIMEOUT', b'I'),
        ('ABORTED', b'E'),
        ('INDOUBT', b'I'),
    ]
    await asyncio.gather(*stopping)


async def test_shutdown_refuses_waiting_statements(
    platform_site: SiteStandIn,
) -> None:
    """Guards against statements that wait in a daemon that ends (LOST).

    More writes than the leader has room for wait until the end; those that are
    refused as not run must not run.
    """
    callers = [await platform_site.caller(SESSION_ROUTE) for _ in range(_CROWD)]
    stopping = asyncio.create_task(platform_site.nodes[0].stop())
    await asyncio.sleep(0.3)
    _slow_down(platform_site)
    names = [f'write-{number}' for number in range(_CROWD)]
    replies = await asyncio.gather(
        *(
            caller.run('WRITE a 1', name)
            for caller, name in zip(callers, names, strict=True)
        )
    )
    await stopping
    codes = dict(zip(names, [reply.code for reply in replies], strict=True))
    assert set(codes.values()) == {'BUSY', 'INDOUBT'}
    for database in platform_site.databases:
        database.faults.work = 0
    await asyncio.sleep(_LONG_WORK)
    for name, code in codes.items():
        if code == 'BUSY':
            assert not statement_runs(platform_site, name)


async def test_shutdown_answers_statements_without_pause(
    platform_site: SiteStandIn,
) -> None:
    """Guards against connections that close when a statement has been sent.

    Callers send the next statement as soon as one was answered, until one is
    refused. The daemon must not close a connection between the two.
    """
    callers = [await platform_site.caller(SESSION_ROUTE) for _ in range(20)]
    running = [asyncio.create_task(_run_until_refused(c)) for c in callers]
    await platform_site.nodes[0].stop()
    await asyncio.gather(*running)
    assert all([await caller.closed() for caller in callers])


async def test_shutdown_lets_transactions_end(
    platform_site: SiteStandIn,
) -> None:
    """Guards against transactions lost to a stop that had time to commit.

    Nothing new is begun in that time, so that the daemon ends.
    """
    caller = await platform_site.caller(PRIMARY_ROUTE)
    await caller.run('BEGIN')
    stopping = asyncio.create_task(platform_site.nodes[0].stop())
    replies = []
    for _ in range(5):
        await asyncio.sleep(0.4)
        replies.append(await caller.run('WRITE a 1'))
    replies.append(await caller.run('COMMIT'))
    assert not any(reply.code for reply in replies)
    for text in ('BEGIN', 'READ a'):
        refusal = await caller.run(text)
        assert (refusal.code, refusal.state) == ('BUSY', b'I')
    assert await caller.closed()
    await stopping


async def test_shutdown_refuses_large_statements_that_wait(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a waiting statement that is answered as in doubt.

    It waits until there is memory for it when the daemon ends, after a
    statement of the same session that ran. It has not run.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    node = platform_site.nodes[0]
    reservations = node._clients.reservations
    assert await reservations.acquire(reservations.limit, Millis(0))
    stopping = asyncio.create_task(node.stop())
    await asyncio.sleep(0.9)
    text = 'x' * LARGE_STATEMENT
    reply = await caller.run(f'WRITE b {text}', 'large')
    assert (reply.code, reply.state) == ('BUSY', b'I')
    await stopping
    assert not statement_runs(platform_site, 'large')


async def test_shutdown_tells_of_ended_transactions(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a close that tells nothing of a rolled back transaction.

    A caller that pauses until the daemon has ended could not know that the
    transaction was rolled back.
    """
    caller = await platform_site.caller(PRIMARY_ROUTE)
    stopping = asyncio.create_task(platform_site.nodes[0].stop())
    await asyncio.sleep(0.9)
    await caller.run('BEGIN')
    await asyncio.sleep(0.8)
    assert not (await caller.run('WRITE a 1')).code
    rest = await caller.rest()
    assert rest.startswith(b'ERROR ABORTED ')
    assert rest.endswith(b'\r\n')
    await stopping


async def test_shutdown_answers_late_sessions(
    platform_site: SiteStandIn,
) -> None:
    """Guards against sessions that open while a daemon stops and get no answer.

    Load balancers send new callers to a daemon that stops if few others are
    left. Their first statement is run, or their session is refused.
    """
    held = await platform_site.caller(BOUNDED_ROUTE)
    await held.run('BEGIN READ')
    stopping = asyncio.create_task(platform_site.nodes[0].stop())
    await asyncio.sleep(1.2)
    early = await platform_site.caller(BOUNDED_ROUTE)
    assert not (await early.run('READ a')).code
    _slow_down(platform_site)
    running = asyncio.create_task(held.run('READ a'))
    await asyncio.sleep(0.6)
    late = Caller(platform_site.addresses[0])
    assert (await late.open(BOUNDED_ROUTE)).startswith(b'ERROR BUSY')
    assert await late.closed()
    assert await early.closed()
    assert (await running).code == 'ABORTED'
    await stopping


async def test_unanswered_statements_are_counted(
    platform_site: SiteStandIn,
) -> None:
    """Guards against lost answers that neither logs nor metrics show.

    It must be told apart whether the caller or the daemon ended the connection.
    """
    node = platform_site.nodes[0]
    leaving = await platform_site.caller(SESSION_ROUTE)
    staying = await platform_site.caller(SESSION_ROUTE)
    assert not (await staying.run('READ a')).code
    for database in platform_site.databases:
        database.faults.work = 0.5
    leaving.send(b'QUERY 1f READ a\r\n')
    staying.send(b'QUERY 2f READ a\r\n')
    await asyncio.sleep(0.1)
    await leaving.close()
    await wait_until(
        lambda: count_events([node], 'statements_unanswered_caller') == 1
    )
    assert count_events([node], 'statements_unanswered_daemon') == 0
    staying.send(b'QUERY 3f READ a\r\n')
    await asyncio.sleep(0.1)
    await node.abort()
    await wait_until(
        lambda: count_events([node], 'statements_unanswered_daemon') > 0
    )
    assert count_events([node], 'statements_unanswered_caller') == 1


def _slow_down(site: SiteStandIn) -> None:
    for database in site.databases:
        database.faults.work = _LONG_WORK


async def _run_until_refused(caller: Caller) -> None:
    """Run transactions and single reads, all of which must be answered."""
    for text in itertools.cycle(('READ a', 'BEGIN', 'READ a', 'COMMIT')):
        if (await caller.run(text)).code:
            await caller.run('ROLLBACK')
            return
