"""Tests of the limit of statements at a backend server."""

import asyncio
from collections.abc import AsyncIterator

from monsoonproxy.clock import Millis
from monsoonproxy.gates import Gate, GateClosedError, Limit
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)


@fixture
async def full_gate() -> AsyncIterator[Gate]:
    """Yield a gate whose only place is taken."""
    gate = Gate()
    gate.limit.current = 1
    await gate.enter(1, 1_000)
    yield gate


def test_limit_falls_once_per_queue() -> None:
    """Guards against one full queue that closes the gate altogether."""
    limit = Limit()
    limit.current = 4
    before = limit.current
    for _ in range(10):
        limit.turned_away(Millis(1_000))
    assert 1 < limit.current < before
    for number in range(100):
        limit.turned_away(Millis(2_000 + number * 100))
    assert limit.current == 1


def test_limit_grows_only_in_use() -> None:
    """Guards against a limit that grows while nothing tests it."""
    limit = Limit()
    limit.current = 4
    limit.turned_away(Millis(1_000))
    low = limit.current
    limit.served(1)
    assert limit.current == low
    for _ in range(200):
        limit.served(20)
    assert limit.current > 10


def test_all_daemons_begin_at_once() -> None:
    """Guards against a full queue at a server right after a restart of all.

    Pattern: 18 daemons that connect to a database of three slots, which queues
    24 more statements, start at the same moment after a loss of power.
    """
    limits = [Limit() for _ in range(18)]
    assert sum(int(limit.current) for limit in limits) <= 3 + 24
    # One that has the server for itself is at its full rate in four rounds.
    for _ in range(4):
        running = int(limits[0].current)
        answers = 0
        while answers < running:
            limits[0].served(running)
            answers += 1
    assert limits[0].current >= 8


def test_shares_converge() -> None:
    """Guards against daemons that starve each other at a shared server.

    Pattern: 14 daemons press on one primary with two slots and 16 places,
    after its replicas have fallen behind.
    """
    limits = [Limit() for _ in range(14)]
    limits[0].current = 12
    refused = []
    for turn in range(400):
        now = Millis(turn * 30)
        wanted = [int(limit.current) for limit in limits]
        room = 18
        turned_away = 0
        order = range(turn % 14, turn % 14 + 14)
        for place in order:
            limit = limits[place % 14]
            mine = wanted[place % 14]
            if mine > room:
                limit.turned_away(now)
                turned_away += 1
            else:
                limit.served(mine)
            room = max(0, room - mine)
        refused.append(turned_away)
    assert max(limit.current for limit in limits) < 6
    assert sum(refused[200:]) < sum(refused[:200])


async def test_urgent_first(full_gate: Gate) -> None:
    """Guards against an urgent statement behind many others."""
    order: list[str] = []

    async def wait(name: str, priority: int) -> None:
        await full_gate.enter(priority, 1_000)
        order.append(name)
        full_gate.leave()

    tasks = [asyncio.create_task(wait(f'late-{n}', 2)) for n in range(3)]
    await asyncio.sleep(0)
    tasks.append(asyncio.create_task(wait('urgent', 1)))
    await asyncio.sleep(0)
    full_gate.leave()
    await asyncio.gather(*tasks)
    assert order == ['urgent', 'late-0', 'late-1', 'late-2']
    assert full_gate.running == 0


async def test_places_are_given_back(full_gate: Gate) -> None:
    """Guards against places lost with callers that give up."""
    leaving = asyncio.create_task(full_gate.enter(1, 1_000))
    await asyncio.sleep(0)
    leaving.cancel()
    await asyncio.wait((leaving,))
    try:
        await full_gate.enter(1, 10)
    except GateClosedError:
        assert full_gate.waiting == 0
    else:
        raise AssertionError('entered a full gate')
    full_gate.leave()
    await full_gate.enter(1, 1_000)
    full_gate.leave()
    assert full_gate.running == 0


async def test_deposed_leader_wakes_waiters(full_gate: Gate) -> None:
    """Guards against callers that wait for a leader that was replaced."""
    waiting = asyncio.create_task(full_gate.enter(1, 10_000))
    await asyncio.sleep(0)
    full_gate.interrupt()
    await asyncio.wait((waiting,))
    assert isinstance(waiting.exception(), GateClosedError)


async def test_cancelled_and_interrupted(full_gate: Gate) -> None:
    """Guards against a place given back that was never given."""
    waiting = asyncio.create_task(full_gate.enter(1, 10_000))
    await asyncio.sleep(0)
    full_gate.interrupt()
    waiting.cancel()
    await asyncio.wait((waiting,))
    assert full_gate.running == 1
