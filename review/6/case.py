"""Sessions change a value while one replica is slow and has a long queue."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import sys
import tempfile
from collections.abc import Coroutine
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2.callers import Caller  # noqa: E402
from stand_ins_2.daemons import Daemon  # noqa: E402
from stand_ins_2.databases import Group  # noqa: E402
from stand_ins_2.platform_store import PlatformStore  # noqa: E402
from stand_ins_2.records import Record  # noqa: E402

_SERVICE = 'catalogue'
_DATABASE = 'listening'
#: Mean time in s of a statement: that of the site's bounded reads.
_WORK = 0.047
_LAG = 0.02
_PROMOTE_TIME = 0.3
_DATABASES = 3
_DAEMONS = 8
_SESSIONS = 130
#: Longest pause in s of a caller between two operations.
_PAUSE = 1.4
_WARM_UP = 5
#: The disruption (srv_slow): one database, a replica, is slow.
_SLOWNESS, _SLOW_TIME, _CALM_TIME = 5.0, 6.5, 6
_START_TIMEOUT = 40
_TIMEOUT = 8
#: Exit status of a case that could not run, and reads below which it did not.
_NOT_RUN = 2
_MIN_READS = 2000


def _configuration() -> bytes:
    route = {
        'name': 'r-1',
        'host': _DATABASE,
        'prefix': '/',
        'kind': 'bounded',
        'timeout_ms': 3000,
        'slo_ms': 801,
        'priority': 2,
        'service': _SERVICE,
        'attempts': 2,
        'max_staleness_ms': 1500,
    }
    service = {
        'name': _SERVICE,
        'max_conns': Group.max_connections,
        'sync_replicas': 0,
    }
    limits = {'tx_idle_ms': 3000}
    return json.dumps(
        {
            'version': 2,
            'routes': [route],
            'services': [service],
            'limits': limits,
        }
    ).encode()


async def _call(daemons: list[Daemon], record: Record, seed: int) -> None:
    """Run one caller until cancelled: set a value, read, and pause."""
    rng = random.Random(seed)
    while True:
        caller = Caller(rng.choice(daemons).port, record)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_TIMEOUT):
                await caller.open(_DATABASE)
            await _run_session(caller, record, rng, seed)
        caller.close()
        await asyncio.sleep(rng.uniform(0, 1))


async def _run_session(
    caller: Caller, record: Record, rng: random.Random, seed: int
) -> None:
    session = f's{seed}-{rng.getrandbits(32)}'
    number = 0
    while True:
        number += 1
        tag = f'{session}/{number}'
        async with asyncio.timeout(_TIMEOUT):
            answer = await caller.run(f'SET tag {tag}')
        if answer.code:
            raise ConnectionError(answer.code)
        record.add('acknowledged', session=session, number=number)
        async with asyncio.timeout(_TIMEOUT):
            await caller.run(f'READ {rng.randrange(2000)}')
        await asyncio.sleep(rng.uniform(0, _PAUSE))


def _violations(record: Record) -> list[str]:
    """Find statements that began to run with a value that was replaced."""
    acknowledged: dict[str, int] = {}
    found = []
    for event in record.events:
        if event['kind'] == 'acknowledged':
            acknowledged[event['session']] = event['number']
        elif event['kind'] == 'run' and _is_replaced(
            event['tag'], acknowledged
        ):
            found.append(str(event))
    return found


def _is_replaced(tag: str, acknowledged: dict[str, int]) -> bool:
    session, _, number = tag.partition('/')
    newest = acknowledged.get(session, 0)
    return int(number or newest) < newest


async def _disturb(group: Group, record: Record, *, is_slow: bool) -> None:
    """Let one replica after the other be slow for a while."""
    replicas = [each for each in group.members.values() if not each.leads]
    for replica in replicas:
        record.add('slow' if is_slow else 'as usual', server=replica.server_id)
        replica.slowness = _SLOWNESS if is_slow else 1
        await asyncio.sleep(_SLOW_TIME)
        replica.slowness = 1
        await asyncio.sleep(_CALM_TIME)


async def _start_site(record: Record) -> tuple[Group, PlatformStore]:
    group = Group(
        _SERVICE, record, random.Random(1), _WORK, _LAG, _PROMOTE_TIME
    )
    store = PlatformStore(
        record, lambda _service, server_id: group.order_promotion(server_id)
    )
    await store.start()
    group.publish = lambda key, content: store.put('servers', key, content)
    store.put('op', 'config', _configuration())
    for number in range(_DATABASES):
        await group.add(f'i-{number}')
    return group, store


async def _start_daemons(daemons: list[Daemon]) -> None:
    async with asyncio.timeout(_START_TIMEOUT):
        for daemon in daemons:
            await daemon.start()
        for started in daemons:
            await started.wait_ready()


async def _run(record: Record, folder: pathlib.Path, *, is_slow: bool) -> None:
    group, store = await _start_site(record)
    names = [f'front-{number}' for number in range(_DAEMONS)]
    daemons = [Daemon(name, folder, store.address) for name in names]
    try:
        await _start_daemons(daemons)
        await _load(daemons, record, _disturb(group, record, is_slow=is_slow))
    finally:
        for ended in daemons:
            await ended.kill()


async def _load(
    daemons: list[Daemon],
    record: Record,
    disturbance: Coroutine[Any, Any, None],
) -> None:
    callers = [
        asyncio.ensure_future(_call(daemons, record, seed))
        for seed in range(_SESSIONS)
    ]
    await asyncio.sleep(_WARM_UP)
    await disturbance
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


def main() -> int:
    """Run the case.

    :returns: 1 if the rule was broken, 0 if it held, and 2 if the case could
        not run.
    """
    record = Record()
    is_slow = os.environ.get('TROUBLE', '1') != '0'
    try:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_run(record, pathlib.Path(folder), is_slow=is_slow))
    except (OSError, RuntimeError, TimeoutError) as exc:
        sys.stdout.write(f'the case could not run: {exc!r}\n')
        return _NOT_RUN
    found = _violations(record)
    record.add('result', violations=found)
    record.write(FOLDER / 'record.txt')
    reads = sum(event['kind'] == 'run' for event in record.events)
    sys.stdout.write(f'{len(found)} of {reads} runs broke PINNED\n')
    if reads < _MIN_READS:
        return _NOT_RUN
    return int(bool(found))


if __name__ == '__main__':
    sys.exit(main())
