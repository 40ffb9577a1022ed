"""Tests of the limit on concurrent statements at a backend server."""

import asyncio
from collections.abc import AsyncIterator

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.limiters import (
    AdaptiveLimit,
    ConcurrencyLimiter,
    ConcurrencyLimitError,
)
from monsoonproxy.overload.statement_queues import Urgency
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)


def _urgency(priority: int, limit: int) -> Urgency:
    return Urgency(priority, deadline_at=Clock().now() + limit)


@fixture
async def full_limiter() -> AsyncIterator[ConcurrencyLimiter]:
    """Yield a limiter that is at its limit of one statement."""
    limiter = ConcurrencyLimiter(Clock())
    limiter.limit.current = 1
    await limiter.acquire(_urgency(1, 1_000))
    yield limiter


def test_limit_decreases_once_per_burst() -> None:
    """Guards against a burst of rejections that drops the limit to one.

    Pattern: one full queue of a backend server rejects many statements.
    """
    limit = AdaptiveLimit()
    limit.current = 4
    before = limit.current
    for _ in range(10):
        limit.record_rejected(Millis(1_000))
    assert 1 < limit.current < before
    for number in range(100):
        limit.record_rejected(Millis(2_000 + number * 100))
    assert limit.current == 1


def test_limit_grows_only_in_use() -> None:
    """Guards against a limit that grows although it is never reached."""
    limit = AdaptiveLimit()
    limit.current = 4
    limit.record_rejected(Millis(1_000))
    low = limit.current
    limit.record_served(1)
    assert limit.current == low
    for _ in range(200):
        limit.record_served(20)
    assert limit.current > 10


def test_simultaneous_start_of_daemons() -> None:
    """Guards against daemons that overflow a server's queue as they start.

    Pattern: after a loss of power, 18 daemons start at the same moment and
    connect to a database of three slots, which queues 24 more statements.
    """
    limits = [AdaptiveLimit() for _ in range(18)]
    assert sum(int(limit.current) for limit in limits) <= 3 + 24
    # A daemon that has the server to itself needs four rounds of answers.
    for _ in range(4):
        running = int(limits[0].current)
        answers = 0
        while answers < running:
            limits[0].record_served(running)
            answers += 1
    assert limits[0].current >= 8


def test_shares_converge() -> None:
    """Guards against daemons that starve others at a shared server.

    Pattern: after its replicas have fallen behind, a primary with two slots
    and a queue of 16 statements is saturated by 14 daemons.
    """
    limits = [AdaptiveLimit() for _ in range(14)]
    limits[0].current = 12
    refused = []
    for turn in range(400):
        now = Millis(turn * 30)
        wanted = [int(limit.current) for limit in limits]
        room = 18
        rejections = 0
        order = range(turn % 14, turn % 14 + 14)
        for place in order:
            limit = limits[place % 14]
            mine = wanted[place % 14]
            if mine > room:
                limit.record_rejected(now)
                rejections += 1
            else:
                limit.record_served(mine)
            room = max(0, room - mine)
        refused.append(rejections)
    assert max(limit.current for limit in limits) < 6
    assert sum(refused[200:]) < sum(refused[:200])


async def test_priority_order(full_limiter: ConcurrencyLimiter) -> None:
    """Guards against an urgent statement that waits behind others."""
    order: list[str] = []

    async def wait(name: str, priority: int) -> None:
        await full_limiter.acquire(_urgency(priority, 1_000))
        order.append(name)
        full_limiter.release()

    tasks = [asyncio.create_task(wait(f'late-{n}', 2)) for n in range(3)]
    await asyncio.sleep(0)
    tasks.append(asyncio.create_task(wait('urgent', 1)))
    await asyncio.sleep(0)
    full_limiter.release()
    await asyncio.gather(*tasks)
    assert order == ['urgent', 'late-0', 'late-1', 'late-2']
    assert full_limiter.running == 0


async def test_abandoned_waits_are_removed(
    full_limiter: ConcurrencyLimiter,
) -> None:
    """Guards against a limiter that still counts callers that gave up."""
    leaving = asyncio.create_task(full_limiter.acquire(_urgency(1, 1_000)))
    await asyncio.sleep(0)
    leaving.cancel()
    await asyncio.wait((leaving,))
    try:
        await full_limiter.acquire(_urgency(1, 10))
    except ConcurrencyLimitError:
        assert full_limiter.waiting == 0
    else:
        raise AssertionError('acquired a full limiter')
    full_limiter.release()
    await full_limiter.acquire(_urgency(1, 1_000))
    full_limiter.release()
    assert full_limiter.running == 0


async def test_interrupt_fails_waiters(
    full_limiter: ConcurrencyLimiter,
) -> None:
    """Guards against callers that wait for a leader that was replaced."""
    waiting = asyncio.create_task(full_limiter.acquire(_urgency(1, 10_000)))
    await asyncio.sleep(0)
    full_limiter.interrupt()
    await asyncio.wait((waiting,))
    assert isinstance(waiting.exception(), ConcurrencyLimitError)


async def test_cancelled_and_interrupted(
    full_limiter: ConcurrencyLimiter,
) -> None:
    """Guards against a release without an acquisition.

    Pattern: a waiting statement is cancelled just after its wait has failed.
    """
    waiting = asyncio.create_task(full_limiter.acquire(_urgency(1, 10_000)))
    await asyncio.sleep(0)
    full_limiter.interrupt()
    waiting.cancel()
    await asyncio.wait((waiting,))
    assert full_limiter.running == 1
