"""A short demonstration on loopback: ``python -m emulator demo``.

It starts the platform, one group and three daemons as processes, sends
bookings, returns and enquiries with a MySQL client, kills the primary, changes
the configuration, and checks the result against the backend servers' own data.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import tempfile
import time
from typing import Any

import asyncmy
import attrs
import cappa
import uvloop
from asyncmy.errors import MySQLError, OperationalError

from emulator.cluster import Cluster, Process, Site, running
from monsoonproxy import daemon_client

SERVICE = 'hire-ledger-1'
_CALLERS = 6
_DURATION = 12.0
_KILL_AT = 4.0
_APPLY_AT = 8.0
_PAUSE = 0.02
_NOT_RUN = 4100
_UNKNOWN = 4101
_ROLES = ('booking', 'return', 'enquiry')
_CREATE = (
    'CREATE TABLE IF NOT EXISTS bookings'
    ' (id INT PRIMARY KEY, kind VARCHAR(20), caller INT)'
)


@attrs.define
class Tally:
    """What the callers saw.

    :param answers: Answers by kind of request and outcome.
    :param acknowledged: Ids of acknowledged writes.
    :param refused: Ids whose last answer was ``not run``.
    :param unread: Writes that their own caller did not read back.
    :param write_times: Completion times of acknowledged writes in seconds.
    """

    answers: collections.Counter[str] = attrs.Factory(collections.Counter)
    acknowledged: set[int] = attrs.Factory(set)
    refused: set[int] = attrs.Factory(set)
    unread: list[int] = attrs.Factory(list)
    write_times: list[float] = attrs.Factory(list)

    def longest_gap(self, since: float) -> float:
        """Return the longest time without an acknowledged write.

        :param since: Time of the first event to consider, in seconds.
        :returns: The gap in seconds.
        """
        times = sorted(self.write_times)
        gaps = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
            if later >= since
        ]
        return max(gaps, default=0)


class Caller:
    """A caller that moves between daemons.

    :param number: Its number.
    :param daemons: The daemons.
    :param tally: Where it counts.
    """

    def __init__(
        self, number: int, daemons: list[Process], tally: Tally
    ) -> None:
        self._number = number
        self._daemons = daemons
        self._tally = tally
        self._rng = random.Random(number)
        self._conn: Any = None
        self._ids = iter(range(number * 100_000, (number + 1) * 100_000))

    async def run(self, until: float) -> None:
        """Send requests until a time.

        :param until: When to stop, by ``time.monotonic``.
        """
        while time.monotonic() < until:
            kind = self._rng.choice(_ROLES)
            if kind == 'enquiry':
                await self._enquire()
            else:
                await self._write(kind)
            await asyncio.sleep(_PAUSE)
        await self._leave()

    async def _write(self, kind: str) -> None:
        """Send a write with its request id until the outcome is known."""
        number = next(self._ids)
        request_class = 'confirmation' if kind == 'booking' else 'return'
        sql = (
            f'INSERT INTO bookings (id, kind, caller) VALUES'
            f" ({number}, '{kind}', {self._number})"
            f" /* class='{request_class}',repeatable='false',"
            f"request_id='{number}' */"
        )
        for _ in range(30):
            outcome = await self._send(kind, sql)
            if outcome == 'answered':
                self._tally.acknowledged.add(number)
                self._tally.refused.discard(number)
                self._tally.write_times.append(time.monotonic())
                await self._read_back(number)
                return
            if outcome == 'not run':
                self._tally.refused.add(number)
            else:
                self._tally.refused.discard(number)

    async def _read_back(self, number: int) -> None:
        """Read the write through another daemon."""
        if self._rng.choice((True, False)):
            await self._leave()
        sql = f'SELECT id FROM bookings WHERE id = {number}'
        rows: list[Any] = []
        outcome = await self._send('read back', sql, rows)
        if outcome == 'answered' and not rows:
            self._tally.unread.append(number)

    async def _enquire(self) -> None:
        sql = (
            f'SELECT COUNT(*) FROM bookings WHERE caller = {self._number}'
            " /* max_age_ms='1000',class='enquiry' */"
        )
        await self._send('enquiry', sql, [])

    async def _send(
        self, kind: str, sql: str, rows: list[Any] | None = None
    ) -> str:
        try:
            cursor = (await self._connection()).cursor()
            await cursor.execute(sql)
            if rows is not None:
                rows.extend(await cursor.fetchall())
            outcome = 'answered'
        except (MySQLError, OSError) as exc:
            outcome = await self._failed(exc)
        self._tally.answers[f'{kind}: {outcome}'] += 1
        return outcome

    async def _failed(self, exc: Exception) -> str:
        code = exc.args[0] if exc.args else 0
        if code in {_NOT_RUN, _UNKNOWN}:
            await asyncio.sleep(_PAUSE * 5)
            return 'not run' if code == _NOT_RUN else 'outcome unknown'
        await self._leave()
        if isinstance(exc, OperationalError):
            return 'connection lost'
        return f'error {code}'

    async def _connection(self) -> Any:
        if self._conn is None:
            daemon = self._rng.choice(self._daemons)
            host, port = daemon.address.split(':')
            self._conn = await asyncmy.connect(
                host=host,
                port=int(port),
                user='crew',
                database=SERVICE,
                autocommit=True,
            )
        return self._conn

    async def _leave(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            with contextlib.suppress(MySQLError, OSError):
                await conn.ensure_closed()


@cappa.command(name='demo')
@attrs.define
class DemoCommand:
    """Shows a site under load, a failover and a configuration change."""

    def __call__(self) -> None:
        """Run the demonstration; exits with 1 if a promise was broken."""
        with tempfile.TemporaryDirectory() as directory:
            sys.exit(uvloop.run(_demo(pathlib.Path(directory))))


async def _demo(directory: pathlib.Path) -> int:
    async with running(Site(), directory) as cluster:
        tally = Tally()
        await create_table(cluster)
        print(f'site: {len(cluster.daemons)} daemons, one group of 3')
        start = time.monotonic()
        callers = [
            Caller(number, cluster.daemons, tally)
            for number in range(1, _CALLERS + 1)
        ]
        async with asyncio.TaskGroup() as tasks:
            for caller in callers:
                tasks.create_task(caller.run(start + _DURATION))
            tasks.create_task(_disturb(cluster))
        versions = await _versions(cluster)
        stored = await _stored_ids(cluster)
        return _report(tally, start, versions, stored, cluster)


async def _disturb(cluster: Cluster) -> None:
    await asyncio.sleep(_KILL_AT)
    primary = await cluster.primary(SERVICE)
    assert primary is not None
    await primary.kill()
    print(f'killed the primary {primary.name}')
    await asyncio.sleep(_APPLY_AT - _KILL_AT)
    version = await cluster.apply('queue_limit = 500')
    print(f'applied configuration version {version}')


async def create_table(cluster: Cluster) -> None:
    """Wait until the site answers, then create the table.

    :param cluster: The running site.
    :raises RuntimeError: If it does not answer.
    """
    host, port = cluster.daemons[0].address.split(':')
    for _ in range(100):
        with contextlib.suppress(MySQLError, OSError):
            conn = await asyncmy.connect(
                host=host, port=int(port), user='crew', database=SERVICE
            )
            await conn.cursor().execute(_CREATE)
            await conn.ensure_closed()
            return
        await asyncio.sleep(0.1)
    raise RuntimeError('the site does not answer')


async def _versions(cluster: Cluster) -> list[int]:
    statuses = [
        await daemon_client.ask(daemon.control, keys=cluster.keys.peers)
        for daemon in cluster.daemons
    ]
    return [status['configuration_version'] for status in statuses]


async def _stored_ids(cluster: Cluster) -> list[int]:
    """Read the ids from the primary itself, without the daemons."""
    primary = await cluster.primary(SERVICE)
    assert primary is not None
    host, port = primary.address.split(':')
    conn = await asyncmy.connect(host=host, port=int(port), user='proxy')
    cursor = conn.cursor()
    await cursor.execute('SELECT id FROM bookings')
    rows = await cursor.fetchall()
    await conn.ensure_closed()
    return [int(row[0]) for row in rows]


def _report(
    tally: Tally,
    start: float,
    versions: list[int],
    stored: list[int],
    cluster: Cluster,
) -> int:
    for kind, count in sorted(tally.answers.items()):
        print(f'  {kind}: {count}')
    lost = tally.acknowledged - set(stored)
    doubled = len(stored) - len(set(stored))
    false_refusals = tally.refused & set(stored)
    print(f'failover gap: {tally.longest_gap(start + _KILL_AT):.2f} s')
    print(f'acknowledged writes: {len(tally.acknowledged)}')
    print(f'lost: {len(lost)}, doubled: {doubled}')
    print(f'refused as not run but present: {len(false_refusals)}')
    print(f'own writes not read back: {len(tally.unread)}')
    print(f'configuration versions in force: {versions}')
    current = all(version == cluster.version for version in versions)
    broken = bool(lost or doubled or false_refusals or tally.unread)
    print('all promises held' if current and not broken else 'BROKEN')
    return int(broken or not current)
