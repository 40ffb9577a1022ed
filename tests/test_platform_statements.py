"""Tests of statements outside transactions through complete daemons."""

import asyncio

from stand_ins.sessions import signature
from stand_ins.site import (
    BOUNDED_ROUTE,
    PRIMARY_ROUTE,
    SESSION_ROUTE,
    Caller,
    SiteStandIn,
)

from tests.fixtures import load_functions
from tests.platform_sites import statement_runs

load_tests = load_functions(__name__)


async def test_read_keeps_signature(platform_site: SiteStandIn) -> None:
    """Guards against an answer without the signature of the database.

    The signature covers server, request id and rows, so any change breaks it.
    """
    for name in (PRIMARY_ROUTE, BOUNDED_ROUTE, SESSION_ROUTE):
        caller = await platform_site.caller(name)
        reply = await caller.run('READ 1a4', f'id-{name}')
        assert not reply.code, reply
        found = statement_runs(platform_site, f'id-{name}')
        rows = b'ROW none\r\n'
        server_id = found[0].server_id
        expected = signature(server_id, f'id-{name}'.encode(), rows)
        assert reply.mac == expected
        assert [run.text for run in found] == [b'READ 1a4']


async def test_session_reads_own_write(platform_site: SiteStandIn) -> None:
    """Guards against a session that misses its own write (STALE).

    The replicas lag, and a read after a write must not be served by one that
    has not received the write.
    """
    for replica in platform_site.databases[1:]:
        replica.faults.lag = 0.3
    caller = await platform_site.caller(SESSION_ROUTE)
    for number in range(5):
        written = await caller.run(f'WRITE item v{number}')
        assert not written.code, written
        reply = await caller.run('READ item')
        assert reply.rows == [f'ROW v{number}'.encode()]


async def test_bounded_read_is_fresh(platform_site: SiteStandIn) -> None:
    """Guards against a read of data older than its age bound (STALE).

    The replicas stop receiving before a write, and the read comes when the
    write is older than the bound.
    """
    for replica in platform_site.databases[1:]:
        replica.faults.replication_stopped = True
    writer = await platform_site.caller(PRIMARY_ROUTE, 1)
    assert not (await writer.run('WRITE item new')).code
    await asyncio.sleep(1.2)
    reader = await platform_site.caller(BOUNDED_ROUTE)
    reply = await reader.run('READ item')
    assert reply.rows == [b'ROW new']


async def test_bounded_read_at_replica(platform_site: SiteStandIn) -> None:
    """Guards against reads at the primary that a replica could serve."""
    reader = await platform_site.caller(BOUNDED_ROUTE)
    for _ in range(20):
        assert not (await reader.run('READ item', 'plain')).code
    served = {run.server_id for run in statement_runs(platform_site, 'plain')}
    assert platform_site.leader.server_id not in served


async def test_replaced_primary_serves_no_reads(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a read by a primary that was replaced (STALE).

    Another database is promoted behind the back of the caller's daemon, which
    must not read from the old primary after a write at the new one.
    """
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('READ item')).code
    old = platform_site.leader
    platform_site.group.promote('db-1')
    writer = await platform_site.caller(PRIMARY_ROUTE, 1)
    assert not (await writer.run('WRITE item new')).code
    reply = await caller.run('READ item', 'later')
    assert reply.rows == [b'ROW new']
    assert all(
        run.server_id != old.server_id
        for run in statement_runs(platform_site, 'later')
    )


async def test_values_follow_the_session(platform_site: SiteStandIn) -> None:
    """Guards against session values of another session (PINNED).

    Two sessions with different values use the same connections in turn.
    """
    first = await platform_site.caller(SESSION_ROUTE)
    second = await platform_site.caller(SESSION_ROUTE)
    await first.run('SET lang ar')
    await second.run('SET zone dubai')
    for number in range(6):
        await first.run(f'WRITE a {number}', 'first')
        await second.run(f'WRITE b {number}', 'second')
    for name, values in (
        ('first', ((b'lang', b'ar'),)),
        ('second', ((b'zone', b'dubai'),)),
    ):
        assert {run.values for run in statement_runs(platform_site, name)} == {
            values
        }


async def test_prepared_names_collide(platform_site: SiteStandIn) -> None:
    """Guards against the prepared statement of another session (PINNED).

    Two sessions prepare different statements under the same name.
    """
    first = await platform_site.caller(SESSION_ROUTE)
    second = await platform_site.caller(SESSION_ROUTE)
    await first.run('PREPARE s1 READ shape one')
    await second.run('PREPARE s1 WRITE two')
    for _ in range(5):
        assert not (await first.run('EXECUTE s1 a', 'first')).code
        assert not (await second.run('EXECUTE s1 a x', 'second')).code
    assert {run.text for run in statement_runs(platform_site, 'first')} == {
        b'READ[shape one] a'
    }
    assert {run.text for run in statement_runs(platform_site, 'second')} == {
        b'WRITE[two] a x'
    }
    await first.run('CLOSE s1')
    assert (await first.run('EXECUTE s1 a')).code == 'NOSTMT'


async def test_malformed_messages(platform_site: SiteStandIn) -> None:
    """Guards against requests smuggled into others (UNASKED).

    Sends malformed, pipelined and oversized messages.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert (await caller.run('DROP everything')).code == 'MALFORMED'
    assert (await caller.run('READ a', '-')).code == 'MALFORMED'
    assert (await caller.run('WRITE a')).code == 'MALFORMED'
    caller.send(b'QUERY x1 READ a\r\nQUERY x2 READ b\r\n')
    assert not (await caller.reply()).code
    assert not (await caller.reply()).code
    big = 'x' * (1024 * 1024 - 40)
    assert not (await caller.run(f'WRITE a {big}')).code
    caller.send(b'y' * (1024 * 1024 + 100))
    rest = await caller._reader.read()
    assert rest.startswith(b'ERROR TOOBIG')


async def test_unknown_database(platform_site: SiteStandIn) -> None:
    """Guards against a session on a database without a route (ROUTE)."""
    session = Caller(platform_site.addresses[0])
    assert (await session.open('nowhere')).startswith(b'ERROR NODB')
    assert await session.closed()


async def test_lost_write_is_not_retried(platform_site: SiteStandIn) -> None:
    """Guards against a write that takes effect twice (TWICE).

    The leader runs the write, and the connection breaks before its answer. The
    daemon must report the write as in doubt and not send it again.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('WRITE a 0')).code
    platform_site.leader.faults.lose_answers = 1
    platform_site.leader.faults.reset_on_loss = True
    reply = await caller.run('WRITE a 1', 'once')
    assert reply.code == 'INDOUBT'
    assert len(statement_runs(platform_site, 'once')) == 1


async def test_lost_read_is_retried(platform_site: SiteStandIn) -> None:
    """Guards against a replica's lost answer that fails a caller's read."""
    replica = platform_site.databases[1]
    replica.faults.lose_answers = 1
    caller = await platform_site.caller(BOUNDED_ROUTE)
    for _ in range(10):
        assert not (await caller.run('READ a')).code
