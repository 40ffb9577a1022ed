"""Tests of when a pool opens and closes connections."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonproxy.clock import Millis
from monsoonproxy.pool_sizing import (
    Close,
    CloseReason,
    Open,
    PoolRules,
    PoolSizer,
)
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_RULES = PoolRules(connection_limit=35, idle_timeout=Millis(100))


class _Simulation:
    """Simulates a backend server and the users of a pool of connections."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.pool = PoolSizer(_RULES)
        self.opening = 0
        self.numbers = 0
        self.now = 0
        self.opens: list[int] = []
        self.existing: set[int] = set()
        self.leases: dict[int, int] = {}
        self.closing: set[int] = set()

    def run(self, commands: list[Open | Close]) -> None:
        for command in commands:
            if isinstance(command, Open):
                self.opening += command.count
                self.opens.extend(self.now for _ in range(command.count))
            else:
                assert not self.leases.keys() & set(command.connections)
                self.closing |= set(command.connections)

    def step(self) -> None:
        self.now += self.rng.randint(0, 8)
        action = self.rng.choice(
            (self.open, self.lease, self.disconnect, self.tick)
        )
        action()
        self.check()

    def open(self) -> None:
        if not self.opening:
            return
        self.opening -= 1
        if not self.rng.randrange(5):
            too_many = self.rng.choice((True, False))
            self.pool.open_failed(too_many, Millis(self.now))
            return
        self.numbers += 1
        self.existing.add(self.numbers)
        self.run(self.pool.opened(self.numbers, Millis(self.now)))

    def lease(self) -> None:
        if self.leases and self.rng.randrange(2):
            connection, owner = self.leases.popitem()
            clean = self.rng.randrange(5) > 0
            now = Millis(self.now)
            self.run(self.pool.release(connection, owner, clean, now))
            assert clean or connection in self.closing
            return
        self.numbers += 1
        leased = self.pool.lease(self.numbers, Millis(self.now))
        if leased is not None:
            assert leased in self.existing - self.closing - self.leases.keys()
            self.leases[leased] = self.numbers

    def disconnect(self) -> None:
        connection = next(iter(self.closing or self.existing), None)
        if connection is not None:
            self.existing.discard(connection)
            self.closing.discard(connection)
            self.leases.pop(connection, None)
            self.pool.closed(connection)

    def tick(self) -> None:
        waiting = self.rng.randint(0, 30)
        self.run(self.pool.tick(waiting, Millis(self.now)))

    def check(self) -> None:
        seen = len(self.existing) + self.opening
        assert seen == self.pool.total
        assert seen <= _RULES.quota
        assert self.opening <= _RULES.max_opening
        assert self.pool.idle + len(self.leases) + len(self.closing) == len(
            self.existing
        )


@settings(max_examples=60)
@given(st.integers(0, 1 << 32))
def test_quota_and_leases_hold(seed: int) -> None:
    """Guards against a pool that exceeds its quota or shares connections.

    Pattern: random opens, failures, leases and losses of connections.
    """
    simulation = _Simulation(random.Random(seed))
    for _ in range(300):
        simulation.step()
    span = _RULES.open_interval * _RULES.open_burst
    for start in simulation.opens:
        close = [at for at in simulation.opens if start <= at < start + span]
        assert len(close) <= 2 * _RULES.open_burst


def _filled(count: int) -> PoolSizer:
    pool = PoolSizer(_RULES)
    for connection in range(count):
        pool.opened(connection, Millis(0))
    return pool


def test_quota_leaves_room_for_another_holder() -> None:
    """Guards against a placement change that exceeds the connection limit.

    Pattern: a new holder opens connections before the former one has closed
    its own.
    """
    assert PoolRules(connection_limit=35, holders=2).quota == 11
    assert PoolRules(connection_limit=60, holders=2).quota == 20


def test_opens_ahead_of_need() -> None:
    """Guards against requests that wait for an open.

    Pattern: the pool has no idle connection when a request arrives.
    """
    assert _filled(0).tick(0, Millis(0)) == [Open(4)]
    pool = _filled(4)
    assert pool.tick(0, Millis(0)) == []
    for transaction in range(3):
        pool.lease(transaction, Millis(0))
    assert pool.tick(0, Millis(0)) == [Open(1)]


def test_too_many_connections_shrinks_and_recovers() -> None:
    """Guards against constant opens at a server that answers 1040."""
    pool = _filled(3)
    pool.tick(8, Millis(0))
    pool.open_failed(too_many=True, now=Millis(0))
    shrunk = pool.cap
    assert shrunk < _RULES.quota
    assert pool.tick(8, Millis(19)) == []
    for now in range(20, 30_000, 10):
        pool.tick(0, Millis(now))
    assert pool.cap == _RULES.quota


def test_stopped_pool_closes_everything() -> None:
    """Guards against connections kept by a host that is no longer holder."""
    pool = _filled(3)
    leased = pool.lease(1, Millis(0))
    assert leased is not None
    stop = pool.stop(CloseReason.NOT_HOLDER)[0]
    assert isinstance(stop, Close)
    assert {*stop.connections, leased} == {0, 1, 2}
    assert pool.lease(2, Millis(1)) is None
    assert pool.tick(5, Millis(1)) == []
    late = pool.opened(9, Millis(1))
    assert late == [Close((9,), CloseReason.NOT_HOLDER)]
    last = pool.release(leased, 1, clean=True, now=Millis(1))
    assert last == [Close((leased,), CloseReason.NOT_HOLDER)]


def test_only_the_owner_releases() -> None:
    """Guards against a late release by an earlier transaction."""
    pool = _filled(1)
    assert pool.lease(1, Millis(0)) == 0
    assert pool.release(0, 7, clean=True, now=Millis(0)) == []
    assert pool.lease(2, Millis(0)) is None


def test_idle_connections_close() -> None:
    """Guards against a pool that keeps its size after a burst."""
    pool = _filled(10)
    command = pool.tick(0, Millis(100))[0]
    assert isinstance(command, Close)
    assert command.reason is CloseReason.IDLE
    assert len(command.connections) == 6
