"""Tests of how evenly daemons load backend servers that they know little of.

Virtual time: daemons choose a replica for each read by their own measurements,
which are as old as their last answers. No server is asked for its load.
"""

import collections
import heapq
import itertools
import math
import random
import statistics

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.selection import ReadTarget, ServerStats, choose
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

#: Median time in ms of a read, and the deviation of its logarithm.
_WORK, _SIGMA = 28.0, 0.7
_SLOTS = 6
_ROUND_TRIP = 3


@attrs.define
class _Replica:
    """A backend server of the model.

    :param slowdown: Factor of the time that a read takes.
    :param ends: When the reads in its slots end.
    :param unfinished: When each read ends that it works on or queues.
    :param served: Number of reads.
    """

    slowdown: float = 1
    ends: list[float] = attrs.Factory(list)
    unfinished: list[float] = attrs.Factory(list)
    served: int = 0

    def serve(self, now: float, work: float) -> float:
        """Return when a read that arrives now ends."""
        while len(self.ends) > _SLOTS and self.ends[0] <= now:
            heapq.heappop(self.ends)
        start = now
        if len(self.ends) >= _SLOTS:
            start = max(now, heapq.heappop(self.ends))
        ends = start + work * self.slowdown
        heapq.heappush(self.ends, ends)
        heapq.heappush(self.unfinished, ends)
        self.served += 1
        return ends

    def load(self, now: float) -> int:
        """Return how many reads it works on or queues."""
        while self.unfinished and self.unfinished[0] <= now:
            heapq.heappop(self.unfinished)
        return len(self.unfinished)


@attrs.define
class _Outcome:
    """What a run of the model has shown.

    :param spread: Mean difference between the most and the least loaded
        replica in reads in work or queued, looked at every 100 ms.
    :param late: Share of reads that took longer than 400 ms.
    :param worst: Longest time of a read in ms, of the slowest percent.
    """

    spread: float
    late: float
    worst: float


def _play(
    daemons: int,
    replicas: list[_Replica],
    load: float,
    rng: random.Random | None,
    seconds: int = 20,
) -> _Outcome:
    """Read through some daemons.

    :param daemons: Number of daemons.
    :param replicas: The backend servers.
    :param load: Load as a share of what their slots can serve.
    :param rng: Source of the choices; without one, the best one is taken.
    :param seconds: How long reads arrive.
    :returns: What was seen.
    """
    slots = sum([_SLOTS / replica.slowdown for replica in replicas])
    mean_work = _WORK * math.exp(_SIGMA**2 / 2)
    per_s = load * slots / mean_work * 1000
    arrivals = random.Random(1)
    stats = [
        {str(n): ServerStats() for n, _replica in enumerate(replicas)}
        for _ in range(daemons)
    ]
    running: list[collections.Counter[str]] = [
        collections.Counter() for _ in range(daemons)
    ]
    answers: list[tuple[float, int, tuple[int, str, float]]] = []
    numbers = itertools.count()
    took: list[float] = []
    spreads: list[int] = []
    now, next_look = float(0), float(0)
    while now < seconds * 1000:
        now += arrivals.expovariate(per_s / 1000)
        while answers and answers[0][0] <= now:
            at, _number, (daemon, name, time) = heapq.heappop(answers)
            running[daemon][name] -= 1
            stats[daemon][name].answered(time, None, Millis(int(at)))
            took.append(time)
        if now >= next_look:
            loads = [replica.load(now) for replica in replicas]
            spreads.append(max(loads) - min(loads))
            next_look = now + 100
        daemon = arrivals.randrange(daemons)
        targets = [
            ReadTarget(
                name,
                stats[daemon][name],
                running[daemon][name],
                _SLOTS,
                in_own_zone=True,
                is_leader=False,
            )
            for name in stats[daemon]
        ]
        name = _choose(targets, Millis(int(now)), rng)
        work = arrivals.lognormvariate(0, _SIGMA) * _WORK
        replica = replicas[int(name)]
        ends = replica.serve(now + _ROUND_TRIP / 2, work) + _ROUND_TRIP / 2
        running[daemon][name] += 1
        answer = (daemon, name, ends - now)
        heapq.heappush(answers, (ends, next(numbers), answer))
    took.sort()
    late = sum([time > 400 for time in took]) / len(took)
    return _Outcome(statistics.mean(spreads), late, took[int(len(took) * 0.99)])


def _choose(
    targets: list[ReadTarget], now: Millis, rng: random.Random | None
) -> str:
    if rng is None:
        # The choice before: all daemons take the one with the least time.
        return min(
            targets,
            key=lambda each: each.stats.latency * (1 + each.running / _SLOTS),
        ).name
    chosen = choose(targets, None, {}, now, rng)
    assert chosen is not None
    return chosen.name


def _replicas(*slowdowns: float) -> list[_Replica]:
    return [_Replica(slowdown) for slowdown in slowdowns]


def test_equal_replicas() -> None:
    """Guards against replicas that are overrun in turns while others idle.

    Load: 25 or 95 daemons, three equal replicas at 0.95 of their slots.
    """
    for daemons in (25, 95):
        best = _play(daemons, _replicas(1, 1, 1), 0.95, None)
        even = _play(daemons, _replicas(1, 1, 1), 0.95, random.Random(2))
        assert even.spread < 0.6 * best.spread
        assert even.worst < best.worst
        assert even.late <= best.late


def test_slow_replica() -> None:
    """Guards against a slow replica that gets as much as the others.

    Load: 25 daemons at 0.7; one of three replicas takes four times as long.
    """
    replicas = _replicas(1, 1, 4)
    even = _play(25, replicas, 0.7, random.Random(2))
    best = _play(25, _replicas(1, 1, 4), 0.7, None)
    assert replicas[2].served < 0.25 * replicas[0].served
    assert even.late <= best.late


def test_replica_that_was_slow() -> None:
    """Guards against a replica that is left for good after a slow moment."""
    stats = ServerStats()
    now = Millis(0)
    for _ in range(50):
        stats.answered(20, None, now)
    for _ in range(20):
        stats.answered(400, None, now)
    slow = ReadTarget('slow', stats, 0, 6, in_own_zone=True, is_leader=False)
    assert int(slow.cost(now)) > 300
    assert int(slow.cost(Millis(2_000))) < 100
