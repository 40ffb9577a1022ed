"""Discrete events, databases and deployment sizes for experiments.

Time is virtual, in ms with fractions. Decision modules are told whole ms, as
the clock would tell them.
"""

import bisect
import heapq
import itertools
import json
import pathlib
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from monsoonproxy.clock import Millis

Action = Callable[[], None]

#: One-way time between the holder and a backend server.
HOP = 1

_FIGURES = pathlib.Path(__file__).parent.parent / 'docs' / 'figures'


@attrs.frozen
class Deployment:
    """Size of one service of a deployment.

    :param name: Name of the deployment.
    :param bound: Age bound of its enquiries in ms.
    :param connection_limit: Connections that a database accepts.
    :param open_time: Time in ms to open one.
    :param read_time: Mean time of a read on a slot.
    :param write_time: Mean time of a write on a slot.
    :param slots: Slots of a database.
    """

    name: str
    bound: int
    connection_limit: int
    open_time: int
    read_time: float
    write_time: float
    slots: int = 2


AL_SUWAIQ = Deployment('Al Suwaiq', 500, 35, 10, 3, 5)
GQEBERHA = Deployment('Gqeberha', 200, 60, 30, 4, 6)
DEPLOYMENTS = (AL_SUWAIQ, GQEBERHA)


class Simulation:
    """Runs actions in order of their virtual time."""

    def __init__(self) -> None:
        self.time: float = 0
        self._queue: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> Millis:
        """Return the time as a clock tells it.

        :returns: Whole ms.
        """
        return Millis(int(self.time))

    def after(self, delay: float, action: Action) -> None:
        """Schedule an action.

        :param delay: Time in ms from now.
        :param action: The action.
        """
        self.at(self.time + delay, action)

    def at(self, time: float, action: Action) -> None:
        """Schedule an action.

        :param time: Its time; not before the present.
        :param action: The action.
        """
        heapq.heappush(self._queue, (time, next(self._numbers), action))

    def run(self, until: float) -> None:
        """Run all actions up to a time.

        :param until: The last time.
        """
        while self._queue and self._queue[0][0] <= until:
            event = heapq.heappop(self._queue)
            self.time = event[0]
            event[2]()


class Database:
    """Executes statements on its slots, others wait in order of arrival.

    :param sim: The simulation.
    :param slots: Number of slots.
    """

    def __init__(self, sim: Simulation, slots: int) -> None:
        self._sim = sim
        self._free = slots
        self._queue: deque[tuple[float, Action, Action]] = deque()
        self.busy_time: float = 0

    def execute(self, service: float, begin: Action, end: Action) -> None:
        """Take in a statement that has arrived.

        :param service: Its time on a slot.
        :param begin: Called when it starts.
        :param end: Called when it ends.
        """
        self._queue.append((service, begin, end))
        self._start()

    def _start(self) -> None:
        while self._free and self._queue:
            self._run(*self._queue.popleft())

    def _run(self, service: float, begin: Action, end: Action) -> None:
        self._free -= 1
        self.busy_time += service
        begin()

        def done() -> None:
            self._free += 1
            end()
            self._start()

        self._sim.after(service, done)


def poisson(
    sim: Simulation, rng: random.Random, rate: float, action: Action
) -> None:
    """Call an action at random times for the rest of the run.

    :param sim: The simulation.
    :param rng: Source of the times.
    :param rate: Calls per second.
    :param action: What to call.
    """

    def again() -> None:
        action()
        sim.after(rng.expovariate(rate) * 1000, again)

    sim.after(rng.expovariate(rate) * 1000, again)


def service_time(rng: random.Random, mean: float) -> float:
    """Draw the time of a statement of a known shape.

    :param rng: Source of the draw.
    :param mean: Mean time.
    :returns: A time within 20% of the mean.
    """
    return mean * rng.uniform(0.8, 1.2)


def first_after(times: list[float], time: float) -> int:
    """Count the times up to a given one.

    :param times: Sorted times.
    :param time: The given one.
    :returns: Index of the first later one.
    """
    return bisect.bisect_right(times, time)


def save(name: str, figures: dict[str, Any]) -> None:
    """Print figures and save them to ``docs/figures``.

    :param name: Name of the file without its ending.
    :param figures: What to save.
    """
    text = json.dumps(figures, indent=2)
    _FIGURES.mkdir(exist_ok=True)
    (_FIGURES / f'{name}.json').write_text(f'{text}\n')
    print(text)
