"""Tests over a site of real processes."""

import asyncio
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator

import asyncmy
from asyncmy.errors import MySQLError

from emulator import demo
from emulator.cluster import Cluster, Process, Site, running
from emulator.ports import wait_port
from monsoonproxy import cli, daemon_client
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_SERVICE = demo.SERVICE


@fixture
async def site() -> AsyncIterator[Cluster]:
    """Yield a running site with the table of the demonstration."""
    with tempfile.TemporaryDirectory() as directory:
        async with running(Site(), pathlib.Path(directory)) as cluster:
            await demo.create_table(cluster)
            yield cluster


async def _connect(daemon: Process) -> asyncmy.Connection:
    host, port = daemon.address.split(':')
    return await asyncmy.connect(
        host=host,
        port=int(port),
        user='crew',
        database=_SERVICE,
        autocommit=True,
    )


async def _ask(daemon: Process, *statements: str) -> list[tuple]:
    """Run statements on a new connection; return the last one's rows."""
    conn = await _connect(daemon)
    cursor = conn.cursor()
    for sql in statements:
        await cursor.execute(sql)
    rows = await cursor.fetchall()
    await conn.ensure_closed()
    return [tuple(row) for row in rows]


async def _ask_patiently(daemon: Process, sql: str) -> list[tuple]:
    """Repeat a statement while the daemon refuses it or is starting."""
    for _ in range(100):
        try:
            return await _ask(daemon, sql)
        except (MySQLError, OSError):
            await asyncio.sleep(0.2)
    raise AssertionError('the daemon never answered')


async def test_own_write_through_another_daemon(site: Cluster) -> None:
    """Guards against a session that misses its write after it moved."""
    first, second = site.daemons[:2]
    # A daemon refuses statements until it has connected to a holder.
    await _ask_patiently(second, 'SELECT id FROM bookings LIMIT 1')
    for number in range(20):
        rows = await _ask(
            first,
            f"INSERT INTO bookings (id, kind, caller) VALUES ({number}, '', 1)",
            'SELECT @@monsoonproxy_token',
        )
        token = rows[0][0]
        sql = f'SELECT id FROM bookings WHERE id = {number}'
        marks = "max_age_ms='60000'"
        assert await _ask(second, f"{sql} /* {marks},token='{token}' */")
        assert await _ask(second, f'{sql} /* {marks} */')


async def test_start_without_platform(site: Cluster) -> None:
    """Guards against a daemon that needs the platform to start."""
    daemon = site.daemons[2]
    await site.platform.kill()
    await daemon.kill()
    await daemon.start()
    await wait_port(daemon.address)
    sql = 'SELECT COUNT(*) FROM bookings'
    assert await _ask_patiently(daemon, sql) == [(0,)]


async def test_connection_limit(site: Cluster) -> None:
    """Guards against connections beyond the limit while hosts change."""
    sql = 'SELECT COUNT(*) FROM bookings'

    async def ask_often(number: int) -> None:
        for turn in range(10):
            daemon = site.daemons[(number + turn) % 2]
            await _ask_patiently(daemon, sql)

    async with asyncio.TaskGroup() as tasks:
        for number in range(30):
            tasks.create_task(ask_often(number))
        await asyncio.sleep(1)
        await site.daemons[2].kill()
    for database in site.databases[_SERVICE].values():
        counters = (await site.status(database))['counters']
        assert counters['refused_connections'] == 0, counters
        assert counters['peak_connections'] <= site.site.connection_limit


async def test_apply_with_the_tool(site: Cluster) -> None:
    """Guards against an accepted configuration that is not in force."""
    base = site.directory / 'next.toml'
    base.write_text(site.toml('queue_limit = 77'))
    command = [
        'apply',
        str(base),
        f'--platform-url=http://{site.platform.address}',
        f'--key-file={site.directory}/keys.toml',
    ]
    assert await asyncio.to_thread(cli.run, command) == 0
    for daemon in site.daemons:
        # The time limit of a test is far above the 5 s of the target, which
        # the experiments measure.
        while True:
            status = await daemon_client.ask(
                daemon.control, keys=site.keys.peers
            )
            if status['configuration_version'] == 2:
                break
            await asyncio.sleep(0.1)


async def test_shutdown_after_failover(site: Cluster) -> None:
    """Guards against requests that a holder keeps after their answers."""
    until = time.monotonic() + 4
    tally = demo.Tally()
    async with asyncio.TaskGroup() as tasks:
        for number in range(1, 9):
            caller = demo.Caller(number, site.daemons, tally)
            tasks.create_task(caller.run(until))
        await asyncio.sleep(1)
        primary = await site.primary(_SERVICE)
        await primary.kill()
    assert tally.acknowledged
    for daemon in site.daemons:
        assert await daemon.stop() == 0
        assert 'requests in flight' not in daemon.log.read_text()
