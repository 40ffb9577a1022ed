"""Tests of whole daemons against the platform's stand-ins."""

import asyncio
import time
from collections.abc import AsyncIterator

from stand_ins.databases import signature
from stand_ins.site import CURRENT, OWN, RECENT, SiteStandIn, configuration

from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)


@fixture
async def platform_site() -> AsyncIterator[SiteStandIn]:
    """Yield a running site."""
    site = SiteStandIn()
    await site.start()
    await _acquainted(site)
    try:
        yield site
    finally:
        await site.stop()


async def _acquainted(site: SiteStandIn) -> None:
    """Wait until all daemons have heard each other."""
    others = len(site.nodes) - 1
    for node in site.nodes:
        await _until(lambda: node.gauges()['daemons_alive'] == others)


async def _until(condition, limit: float = 10) -> None:
    """Wait until a condition holds; the limit is far above any target."""
    until = time.monotonic() + limit
    while not condition():
        assert time.monotonic() < until, 'the condition never held'
        await asyncio.sleep(0.02)


def _runs(site: SiteStandIn, request_id: str) -> list:
    wanted = request_id.encode()
    return [run for run in site.group.runs if run.request_id == wanted]


# Whole answers, and only the caller's own.


async def test_read_passes_through(platform_site: SiteStandIn) -> None:
    """Guards against an answer without the database's own signature."""
    for name in (CURRENT, RECENT, OWN):
        caller = await platform_site.caller(name)
        reply = await caller.run('READ 1a4', f'id-{name}')
        assert not reply.code, reply
        (run,) = _runs(platform_site, f'id-{name}')
        rows = b'ROW none\r\n'
        expected = signature(run.server_id, f'id-{name}'.encode(), rows)
        assert reply.mac == expected
        assert run.text == b'READ 1a4'


async def test_own_write_is_read(platform_site: SiteStandIn) -> None:
    """Guards against a session that misses its own write (STALE)."""
    for replica in platform_site.databases[1:]:
        replica.faults.lag = 0.3
    caller = await platform_site.caller(OWN)
    for number in range(5):
        written = await caller.run(f'WRITE item v{number}')
        assert not written.code, written
        reply = await caller.run('READ item')
        assert reply.rows == [f'ROW v{number}'.encode()]


async def test_bounded_read_is_fresh(platform_site: SiteStandIn) -> None:
    """Guards against a read of data older than its bound (STALE)."""
    for replica in platform_site.databases[1:]:
        replica.faults.deaf = True
    writer = await platform_site.caller(CURRENT, 1)
    assert not (await writer.run('WRITE item new')).code
    await asyncio.sleep(1.2)
    reader = await platform_site.caller(RECENT)
    reply = await reader.run('READ item')
    assert reply.rows == [b'ROW new']


async def test_bounded_read_at_replica(platform_site: SiteStandIn) -> None:
    """Guards against reads that go to the primary while a replica will do."""
    reader = await platform_site.caller(RECENT)
    for _ in range(20):
        assert not (await reader.run('READ item', 'plain')).code
    served = {run.server_id for run in _runs(platform_site, 'plain')}
    assert platform_site.leader.server_id not in served


async def test_replaced_primary_reads_nothing(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a read by a primary that was replaced (STALE)."""
    caller = await platform_site.caller(CURRENT)
    assert not (await caller.run('READ item')).code
    old = platform_site.leader
    platform_site.group.promote('db-1')
    writer = await platform_site.caller(CURRENT, 1)
    assert not (await writer.run('WRITE item new')).code
    reply = await caller.run('READ item', 'later')
    assert reply.rows == [b'ROW new']
    assert all(
        run.server_id != old.server_id for run in _runs(platform_site, 'later')
    )


# Transactions.


async def test_transaction(platform_site: SiteStandIn) -> None:
    """Guards against statements on another connection (PINNED)."""
    caller = await platform_site.caller(OWN)
    begun = await caller.run('BEGIN')
    assert (begun.end, begun.state) == (b'COMPLETE -', b'T')
    assert not (await caller.run('WRITE a 1', 'tx')).code
    assert not (await caller.run('READ b', 'tx')).code
    committed = await caller.run('COMMIT', 'tx')
    assert not committed.code
    assert committed.state == b'I'
    runs = _runs(platform_site, 'tx')
    assert [run.text for run in runs] == [b'WRITE a 1', b'READ b', b'COMMIT']
    assert len({(run.server_id, run.connection) for run in runs}) == 1


async def test_leaves_in_transaction(platform_site: SiteStandIn) -> None:
    """Guards against a transaction that goes on without its caller."""
    caller = await platform_site.caller(OWN)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    await caller.close()

    def ended() -> bool:
        sessions = platform_site.leader.connections
        return not any(session.transaction for session in sessions)

    await _until(ended)
    assert not platform_site.leader.log


async def test_idle_transaction_ends(platform_site: SiteStandIn) -> None:
    """Guards against connections that idle transactions hold."""
    caller = await platform_site.caller(OWN)
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
    caller = await platform_site.caller(OWN)
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
    caller = await platform_site.caller(OWN)
    await caller.run('BEGIN')
    await caller.run('WRITE a 1')
    platform_site.leader.faults.lose_answers = 1
    platform_site.leader.faults.cut_answers = True
    reply = await caller.run('COMMIT')
    assert reply.code == 'INDOUBT'
    assert len(platform_site.leader.log) == 1


async def test_lost_write_is_not_repeated(platform_site: SiteStandIn) -> None:
    """Guards against a write that takes effect twice (TWICE)."""
    caller = await platform_site.caller(OWN)
    assert not (await caller.run('WRITE a 0')).code
    platform_site.leader.faults.lose_answers = 1
    platform_site.leader.faults.cut_answers = True
    reply = await caller.run('WRITE a 1', 'once')
    assert reply.code == 'INDOUBT'
    assert len(_runs(platform_site, 'once')) == 1


async def test_lost_read_is_repeated(platform_site: SiteStandIn) -> None:
    """Guards against callers that get the failure of one replica."""
    replica = platform_site.databases[1]
    replica.faults.lose_answers = 1
    caller = await platform_site.caller(RECENT)
    for _ in range(10):
        assert not (await caller.run('READ a')).code


# Session state.


async def test_values_follow_the_session(platform_site: SiteStandIn) -> None:
    """Guards against values of another session (PINNED)."""
    first = await platform_site.caller(OWN)
    second = await platform_site.caller(OWN)
    await first.run('SET lang ar')
    await second.run('SET zone dubai')
    for number in range(6):
        await first.run(f'WRITE a {number}', 'first')
        await second.run(f'WRITE b {number}', 'second')
    for name, values in (
        ('first', ((b'lang', b'ar'),)),
        ('second', ((b'zone', b'dubai'),)),
    ):
        assert {run.values for run in _runs(platform_site, name)} == {values}


async def test_prepared_names_collide(platform_site: SiteStandIn) -> None:
    """Guards against the statement of another session (PINNED)."""
    first = await platform_site.caller(OWN)
    second = await platform_site.caller(OWN)
    await first.run('PREPARE s1 READ shape one')
    await second.run('PREPARE s1 WRITE two')
    for _ in range(5):
        assert not (await first.run('EXECUTE s1 a', 'first')).code
        assert not (await second.run('EXECUTE s1 a x', 'second')).code
    assert {run.text for run in _runs(platform_site, 'first')} == {
        b'READ[shape one] a'
    }
    assert {run.text for run in _runs(platform_site, 'second')} == {
        b'WRITE[two] a x'
    }
    await first.run('CLOSE s1')
    assert (await first.run('EXECUTE s1 a')).code == 'NOSTMT'


# What callers send wrongly.


async def test_bad_messages(platform_site: SiteStandIn) -> None:
    """Guards against requests smuggled into others (UNASKED)."""
    caller = await platform_site.caller(OWN)
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
    """Guards against a route that no configuration has (ROUTE)."""
    caller = platform_site.addresses[0]
    from stand_ins.site import Caller

    session = Caller(caller)
    assert (await session.open('nowhere')).startswith(b'ERROR NODB')
    assert await session.closed()


# Configuration.


async def test_configuration_in_force(platform_site: SiteStandIn) -> None:
    """Guards against a dropped route that is still served (CONFIG)."""
    caller = await platform_site.caller(RECENT)
    document = configuration(7)
    document['routes'] = [
        route for route in document['routes'] if route['host'] != RECENT
    ]
    platform_site.platform.configure(document)
    await _until(lambda: platform_site.nodes[0].catalog.table.version == 7, 3)
    assert (await caller.run('READ a')).code == 'NODB'
    platform_site.platform.configure(configuration(5))
    await asyncio.sleep(0.3)
    assert platform_site.nodes[0].catalog.table.version == 7


async def test_configuration_from_peers(platform_site: SiteStandIn) -> None:
    """Guards against a daemon that the store turns away (CONFIG)."""
    lonely = platform_site.nodes[2]
    await lonely._supervisor.stop_child('routes')
    platform_site.platform.configure(configuration(9))
    await _until(lambda: lonely.catalog.table.version == 9, 3)


async def test_history_lost(platform_site: SiteStandIn) -> None:
    """Guards against changes that a feed without history misses (CONFIG)."""
    platform_site.platform.faults.status = 503
    platform_site.platform.configure(configuration(3))
    platform_site.platform.compact()
    await asyncio.sleep(0.2)
    platform_site.platform.faults.status = 0
    await _until(lambda: platform_site.nodes[0].catalog.table.version == 3)


async def test_malformed_entry(platform_site: SiteStandIn) -> None:
    """Guards against an entry of another writer that can't be read."""
    for key, content in (
        ('bad-1', b'\xff\x00'),
        ('bad-2', b'{"service": "ledger"}'),
        ('bad-3', b'{"service":"ledger","addr":7,"zone":"z","state":"ready"}'),
    ):
        platform_site.platform.put('servers', key, content)
    caller = await platform_site.caller(CURRENT)
    assert not (await caller.run('READ a')).code


async def test_address_of_another_server(platform_site: SiteStandIn) -> None:
    """Guards against a request to a server that took over an address (ROUTE)."""
    caller = await platform_site.caller(RECENT)
    replica = platform_site.databases[1]
    replica.server_id = 'somebody-else'
    await replica.stop()
    await replica.restart()
    platform_site.platform.leave('somebody-else')
    for _ in range(10):
        assert not (await caller.run('READ a')).code
    assert all(
        run.server_id != 'somebody-else' for run in platform_site.group.runs
    )


# Failover.


async def test_primary_killed(platform_site: SiteStandIn) -> None:
    """Guards against a primary that nobody replaces, and a double order."""
    callers = [await platform_site.caller(CURRENT, n) for n in range(3)]
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


async def test_primary_silent(platform_site: SiteStandIn) -> None:
    """Guards against a primary that accepts connections and answers nothing."""
    caller = await platform_site.caller(CURRENT)
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
    """Guards against a late order that replaces a newer leader (ONE)."""
    caller = await platform_site.caller(CURRENT)
    assert not (await caller.run('WRITE a 1')).code
    platform_site.platform.faults.lose_orders = 1
    platform_site.platform.faults.late_orders = 4
    await platform_site.leader.stop()
    await _until(lambda: platform_site.leader.server_id != 'db-0')
    new = platform_site.leader
    assert not (await caller.run('WRITE a 2')).code
    await asyncio.sleep(3)
    assert platform_site.leader is new
    tokens = [order[3] for order in platform_site.platform.orders]
    assert tokens == sorted(tokens)


async def test_claim_answer_lost(platform_site: SiteStandIn) -> None:
    """Guards against a claim that its own daemon takes for another's."""
    caller = await platform_site.caller(CURRENT)
    assert not (await caller.run('WRITE a 1')).code
    platform_site.platform.faults.lose_writes = 1
    await platform_site.leader.stop()
    await _until(lambda: platform_site.leader.server_id != 'db-0')
    assert not (await caller.run('WRITE a 2')).code


async def test_leader_leaves(platform_site: SiteStandIn) -> None:
    """Guards against requests to a primary after its time (DRAIN)."""
    old = platform_site.leader
    caller = await platform_site.caller(CURRENT)
    assert not (await caller.run('WRITE a 1')).code
    await platform_site.add_database()
    old.state = 'draining'
    platform_site.platform.enter(old)
    await _until(lambda: platform_site.leader is not old, 5)
    assert platform_site.leader.server_id == 'db-3'
    assert not (await caller.run('WRITE a 2')).code
    assert not platform_site.group.rolled_back


async def test_one_daemon_cut_off(platform_site: SiteStandIn) -> None:
    """Guards against a replacement since one daemon misses the leader."""
    site = SiteStandIn(daemons=5)
    await site.start()
    try:
        await _acquainted(site)
        lonely = site.nodes[0]
        caller = await site.caller(CURRENT)
        assert not (await caller.run('READ a')).code
        cluster = lonely.catalog.runner('ledger').cluster
        leader = cluster.leader
        leader.lane.server = attrs_evolve(leader.lane.server)
        for session in tuple(site.leader.connections):
            session.abort()
        reply = await caller.run('READ a')
        assert reply.code == 'BUSY'
        assert not site.platform.orders
    finally:
        await site.stop()


def attrs_evolve(server):
    """Return the entry with an address where nobody listens."""
    import attrs

    return attrs.evolve(server, address='127.0.0.1:9')


# Shutdown.


async def test_shutdown_cuts_nothing(platform_site: SiteStandIn) -> None:
    """Guards against requests that a shutdown cuts (LOST)."""
    node = platform_site.nodes[0]
    idle = await platform_site.caller(OWN)
    busy = await platform_site.caller(OWN)
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


async def test_shutdown_ends_transactions(platform_site: SiteStandIn) -> None:
    """Guards against an open transaction that holds up a shutdown."""
    node = platform_site.nodes[0]
    busy = await platform_site.caller(OWN)
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
