"""A primary with lagging replicas in virtual time, and its observers."""

import bisect
import random
from collections.abc import Callable

from emulator.virtual_load import HOP, Database, Deployment, Simulation
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Role
from monsoonproxy.polling import Poll
from monsoonproxy.routing import Router

#: Maps a time to the lag that a replica would have then.
LagShape = Callable[[float], float]


def lag_shape(kind: str, lag: float, rng: random.Random) -> LagShape:
    """Make a lag over time.

    :param kind: ``constant``, ``jittered`` or ``sawtooth``.
    :param lag: The lag, its mean, or its peak.
    :param rng: Source of jitter and phase.
    :returns: The lag as a function of time.
    """
    if kind == 'constant':
        return lambda _time: lag
    if kind == 'jittered':
        steps = [lag * rng.uniform(0.5, 1.5) for _ in range(997)]
        return lambda time: steps[int(time / 50) % len(steps)]
    # It stands still until the lag is at its peak, then catches up at once.
    phase = rng.uniform(0, lag)
    return lambda time: (time + phase) % lag if lag else 0


class VirtualServer:
    """A backend server of a group.

    :param sim: The simulation.
    :param name: Its name.
    :param slots: Its slots.
    """

    def __init__(self, sim: Simulation, name: str, slots: int) -> None:
        self.name = name
        self.database = Database(sim, slots)
        self.received = 0
        self.applied = 0
        #: Times and values of the applied offset, for the judge.
        self.steps: list[tuple[float, int]] = [(0, 0)]
        self._waiting: list[Callable[[], None]] = []

    def advance(self, received: int, applied: int, time: float) -> None:
        """Move its positions forward and wake those who wait for that.

        :param received: Received offset.
        :param applied: Applied offset.
        :param time: The time.
        """
        self.received = max(self.received, received)
        if applied > self.applied:
            self.applied = applied
            self.steps.append((time, applied))
        waiting = self._waiting.copy()
        self._waiting.clear()
        for wake in waiting:
            wake()

    def wait(self, wake: Callable[[], None]) -> None:
        """Call back when a position changes.

        :param wake: What to call.
        """
        self._waiting.append(wake)

    def report(self) -> BackendReport:
        """Describe itself.

        :returns: The row of the group protocol.
        """
        role = Role.PRIMARY if self.name == 'p' else Role.REPLICA
        return BackendReport(
            self.name, role, 1, '', 1, self.received, self.applied, Millis(0)
        )


class VirtualGroup:
    """A primary ``p`` and the replicas ``r`` and ``s``.

    :param sim: The simulation.
    :param size: Size of the deployment.
    :param shapes: Lag of each replica.
    :param until: End of the run.
    """

    def __init__(
        self,
        sim: Simulation,
        size: Deployment,
        shapes: tuple[LagShape, LagShape],
        until: int,
    ) -> None:
        self._sim = sim
        self.commits: list[float] = []
        self.servers = {
            name: VirtualServer(sim, name, size.slots) for name in 'prs'
        }
        self._visible = {
            name: _visible(shape, until)
            for name, shape in zip('rs', shapes, strict=True)
        }

    def commit(self) -> int:
        """Append a write to the primary's log.

        :returns: Its offset.
        """
        now = self._sim.time
        self.commits.append(now)
        offset = len(self.commits)
        self.servers['p'].advance(offset, offset, now)
        for name in 'rs':
            self._replicate(name, offset)
        return offset

    def true_age(self, applied: int, time: float) -> float:
        """Return the exact age of data, once the run has ended.

        :param applied: Offset that the data covers.
        :param time: When they are used.
        :returns: Time since the first missing commit, 0 if none is missing.
        """
        if applied < len(self.commits):
            return max(0, time - self.commits[applied])
        return 0

    def _replicate(self, name: str, offset: int) -> None:
        server = self.servers[name]
        now = self._sim.time
        visible = self._visible[name]
        at = max(now + HOP, bisect.bisect_left(visible, now))
        self._sim.after(HOP, lambda: server.advance(offset, 0, self._sim.time))
        self._sim.at(at, lambda: server.advance(offset, offset, self._sim.time))


def _visible(shape: LagShape, until: int) -> list[float]:
    """Tabulate up to which commit time a replica has applied, per ms."""
    times: list[float] = []
    latest: float = 0
    for time in range(until + 5000):
        latest = max(latest, time - shape(time))
        times.append(latest)
    return times


class Observer:
    """Polls the servers of a group for a router.

    :param sim: The simulation.
    :param group: The group.
    :param router: What it tells the reports to.
    """

    def __init__(
        self,
        sim: Simulation,
        group: VirtualGroup,
        router: Router,
    ) -> None:
        self._sim = sim
        self._router = router
        self._answered = dict.fromkeys(group.servers, Millis(-1))
        self.polls = 0
        router.set_group(1, 'p', None, sim.now)
        for server in group.servers.values():
            self._plan(server, (-1, -1))

    def _plan(self, server: VirtualServer, known: tuple[int, int]) -> None:
        plan = self._router.next_poll(server.name, self._sim.now)
        self._sim.after(plan.pause, lambda: self._poll(server, known, plan))

    def _poll(
        self, server: VirtualServer, known: tuple[int, int], plan: Poll
    ) -> None:
        sent_at = self._sim.now
        answered = False

        def answer() -> None:
            nonlocal answered
            if not answered:
                answered = True
                report = server.report()
                self._sim.after(
                    HOP, lambda: self._take(server, report, sent_at)
                )

        def arrive() -> None:
            if known != (server.received, server.applied):
                answer()
                return
            server.wait(answer)
            self._sim.after(plan.timeout, answer)

        self.polls += 1
        self._sim.after(HOP, arrive)

    def _take(
        self, server: VirtualServer, report: BackendReport, sent_at: Millis
    ) -> None:
        now = self._sim.now
        self._router.observe(server.name, report, sent_at, now)
        self._answered[server.name] = sent_at
        confirmed = sorted(self._answered.values())[1]
        self._router.set_group(1, 'p', confirmed, now)
        known = (report.received, report.applied)
        self._plan(server, known)
