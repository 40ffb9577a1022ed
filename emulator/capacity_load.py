"""Callers for the measurement of capacity."""

import asyncio
import collections
import contextlib
import itertools
import time
from typing import Any

import aiohttp
import asyncmy
import attrs
from asyncmy.errors import MySQLError

from emulator.cluster import Cluster

_CREATE = 'CREATE TABLE IF NOT EXISTS stock (id INT PRIMARY KEY, free INT)'
_SMALL_RATE = 50
_numbers = itertools.count(1)

#: Statements by kind.
KINDS = {
    'read with an age bound': (
        "SELECT id, free FROM stock WHERE id = 1 /* max_age_ms='1000' */"
    ),
    'strict read': 'SELECT id, free FROM stock WHERE id = 1',
    'write': 'INSERT INTO stock (id, free) VALUES ({0}, 1)',
}


@attrs.define
class Answers:
    """What callers got.

    :param answered: Statements that were answered.
    :param errors: Error codes and how often they came.
    """

    answered: int = 0
    errors: collections.Counter[str] = attrs.Factory(collections.Counter)


async def store_counters(cluster: Cluster) -> dict[str, int]:
    """Read the counters of the platform stand-in.

    :param cluster: The site.
    :returns: Counters by name.
    """
    url = f'http://{cluster.platform.address}/control/counters'
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            counters: dict[str, int] = (await response.json())['counters']
            return counters


async def create_tables(cluster: Cluster) -> None:
    """Wait until every service answers, then create its table.

    :param cluster: The site.
    :raises RuntimeError: If a service does not answer.
    """
    for service in cluster.site.services:
        for _ in range(150):
            with contextlib.suppress(MySQLError, OSError):
                conn = await _connect(cluster.daemons[0].address, service)
                await conn.cursor().execute(_CREATE)
                await conn.ensure_closed()
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError(f'{service} does not answer')


async def small_load(cluster: Cluster, duration: float) -> int:
    """Send 50 statements a second to daemons and services in turn.

    :param cluster: The site.
    :param duration: For how many seconds.
    :returns: How many were answered.
    """
    services = cluster.site.services
    conns = [
        await _connect(daemon.address, service)
        for daemon in cluster.daemons
        for service in services
    ]
    answers = Answers()
    kinds = itertools.cycle(KINDS)
    until = time.monotonic() + duration
    for conn in itertools.cycle(conns):
        if time.monotonic() >= until:
            break
        await _ask(conn, next(kinds), answers)
        await asyncio.sleep(1 / _SMALL_RATE)
    for open_conn in conns:
        await open_conn.ensure_closed()
    return answers.answered


async def closed_loop(
    address: str, kind: str, callers: int, duration: float
) -> Answers:
    """Let some callers send statements without a pause.

    :param address: The daemon that they use.
    :param kind: Key of :data:`KINDS`.
    :param callers: How many.
    :param duration: For how many seconds.
    :returns: What they got.
    """
    answers = Answers()
    until = time.monotonic() + duration
    await asyncio.gather(
        *(_caller(address, kind, until, answers) for _ in range(callers))
    )
    return answers


async def _caller(
    address: str, kind: str, until: float, answers: Answers
) -> None:
    conn = await _connect(address, 'hire-ledger-1')
    while time.monotonic() < until:
        await _ask(conn, kind, answers)
    await conn.ensure_closed()


async def _ask(conn: Any, kind: str, answers: Answers) -> None:
    sql = KINDS[kind].format(next(_numbers))
    try:
        cursor = conn.cursor()
        await cursor.execute(sql)
        await cursor.fetchall()
    except MySQLError as exc:
        answers.errors[str(exc.args[0])] += 1
    else:
        answers.answered += 1


async def _connect(address: str, service: str) -> Any:
    host, port = address.split(':')
    return await asyncmy.connect(
        host=host,
        port=int(port),
        user='crew',
        database=service,
        autocommit=True,
    )
