"""Share of reads that replicas serve, against apply lag.

``python -m emulator.experiment_routing`` runs it and saves the figures. The
limit of a trial counts the reads that a router with exact knowledge of all
positions, present and future, could have answered from a replica within bound
and floor without answering later than the primary would have.
"""

import bisect
import itertools
import random
import sys
from collections.abc import Iterator, Mapping
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs

from emulator.virtual_load import (
    DEPLOYMENTS,
    HOP,
    Deployment,
    Simulation,
    first_after,
    poisson,
    save,
    service_time,
)
from emulator.virtual_replicas import Observer, VirtualGroup, lag_shape
from monsoonproxy.admission import Admission, AdmissionRules
from monsoonproxy.clock import Millis
from monsoonproxy.deadline_queues import Ticket
from monsoonproxy.models import ENQUIRY, Position, StatementKind
from monsoonproxy.routing import (
    Choice,
    Load,
    ReadRequest,
    RouteReason,
    Route,
    Router,
    RoutingRules,
)

SHAPES = ('constant', 'jittered', 'sawtooth')
POLICIES = ('router', 'fixed threshold', 'primary only')

_WARM_UP = 1000
_MEASURED = 4000
_READS_PER_SECOND = {'Al Suwaiq': 300, 'Gqeberha': 200}
_WRITES_PER_SECOND = 60
_LAG_STEPS = 40


@attrs.frozen
class Trial:
    """One run.

    :param size: The deployment.
    :param shape: Shape of the lag.
    :param lag: Lag in ms.
    :param policy: Who chooses the backend servers.
    :param seed: Seed of all random numbers.
    """

    size: Deployment
    shape: str
    lag: float
    policy: str
    seed: int


@attrs.define
class _Read:
    arrived: float
    service: float
    floor: int
    sent: float = 0
    server: str = ''
    applied: int = 0
    answered: float = 0
    redone: bool = False


class _Run:
    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.sim = Simulation()
        self.rng = random.Random(trial.seed)
        until = _WARM_UP + _MEASURED
        lags = [lag_shape(trial.shape, trial.lag, self.rng) for _ in 'rs']
        shapes = (lags[0], lags[1])
        self.group = VirtualGroup(self.sim, trial.size, shapes, until)
        self.router = Router('prs', RoutingRules())
        self.observer = Observer(self.sim, self.group, self.router)
        self.admission = Admission(AdmissionRules(), self.rng)
        slots = dict.fromkeys('prs', trial.size.slots)
        self.admission.update_servers(slots, 'p')
        self.numbers = itertools.count()
        self.reads: list[_Read] = []
        self.waiting: dict[int, _Read] = {}
        self.routes: dict[int, Route] = {}
        self.fresh: list[str] = []

    def run(self) -> dict[str, int]:
        rate = _READS_PER_SECOND[self.trial.size.name]
        poisson(self.sim, self.rng, rate, self._read)
        poisson(self.sim, self.rng, _WRITES_PER_SECOND, self._write)
        self._monitor()
        self._tick()
        self.sim.run(_WARM_UP + _MEASURED)
        return self._figures()

    def _write(self) -> None:
        ticket = self._ticket(StatementKind.WRITE)
        self.admission.offer(ticket, self.sim.now)
        self._start()

    def _read(self) -> None:
        floor = 0
        if self.rng.randrange(10) < 3:
            written = self.sim.time - HOP - self.rng.expovariate(1 / 300)
            floor = first_after(self.group.commits, written)
        cost = service_time(self.rng, self.trial.size.read_time)
        read = _Read(self.sim.time, cost, floor)
        if self.sim.time >= _WARM_UP:
            self.reads.append(read)
        self._offer(read)

    def _offer(self, read: _Read) -> None:
        ticket = self._ticket(StatementKind.READ)
        self.waiting[ticket.number] = read
        self.admission.offer(ticket, self.sim.now)
        self._start()

    def _ticket(self, kind: StatementKind) -> Ticket:
        now = self.sim.now
        deadline = Millis(now + 1000)
        return Ticket(next(self.numbers), ENQUIRY, kind, now, deadline)

    def _start(self) -> None:
        for start in self.admission.next_ready(self.sim.now, self._choose):
            read = self.waiting.pop(start.ticket.number, None)
            if read is None:
                self._send_write(start.ticket)
            else:
                route = self.routes.pop(start.ticket.number)
                self._send(start.ticket, read, route)

    def _choose(self, ticket: Ticket, loads: Mapping[str, Load]) -> str | None:
        read = self.waiting.get(ticket.number)
        if read is None:
            return 'p'
        choice = self._route(read, loads)
        if isinstance(choice, Route):
            self.routes[ticket.number] = choice
            return choice.server
        return None

    def _route(self, read: _Read, loads: Mapping[str, Load]) -> Choice:
        if self.trial.policy == 'router' and not read.redone:
            deadline = Millis(int(read.arrived) + 1000)
            req = ReadRequest(
                self.trial.size.bound, Position(1, read.floor), deadline
            )
            return self.router.choose_read(req, loads, self.sim.now)
        names = ['p']
        if self.trial.policy == 'fixed threshold':
            names = self.fresh or names
        name = min(names, key=lambda one: loads[one].wait())
        return Route(name, RouteReason.AGE, 1, 0)

    def _send_write(self, ticket: Ticket) -> None:
        sent_at = self.sim.now
        cost = service_time(self.rng, self.trial.size.write_time)
        offset = 0

        def end() -> None:
            nonlocal offset
            offset = self.group.commit()
            self.sim.after(HOP, answer)

        def answer() -> None:
            self.router.observe_commit(Position(1, offset), sent_at)
            self.admission.finished(ticket, None, self.sim.now)
            self._start()

        database = self.group.servers['p'].database
        self.sim.after(HOP, lambda: database.execute(cost, _nothing, end))

    def _send(self, ticket: Ticket, read: _Read, route: Route) -> None:
        server = self.group.servers[route.server]
        read.server = route.server
        read.sent = self.sim.time

        def begin() -> None:
            read.applied = server.applied

        def end() -> None:
            self.sim.after(HOP, lambda: self._answer(ticket, read, route))

        self.sim.after(
            HOP, lambda: server.database.execute(read.service, begin, end)
        )

    def _answer(self, ticket: Ticket, read: _Read, route: Route) -> None:
        self.admission.finished(ticket, None, self.sim.now)
        read.answered = self.sim.time
        floor = Position(1, read.floor)
        bound = self.trial.size.bound
        checked = self.trial.policy == 'router' and read.server != 'p'
        if checked and not self.router.still_valid(
            route, bound, floor, self.sim.now
        ):
            read.redone = True
            self._offer(read)
        self._start()

    def _monitor(self) -> None:
        """Read the replicas' lag once a second, as a threshold router does."""
        now = self.sim.time
        self.fresh = [
            name
            for name in 'rs'
            if self.group.true_age(self.group.servers[name].applied, now)
            <= self.trial.size.bound
        ]
        self.sim.after(1000, self._monitor)

    def _tick(self) -> None:
        if self.waiting:
            self._start()
        self.sim.after(1, self._tick)

    def _figures(self) -> dict[str, int]:
        done = [read for read in self.reads if read.answered]
        served = [read for read in done if read.server != 'p']
        return {
            'reads': len(done),
            'limit': sum(1 for read in done if self._possible(read)),
            'replica': len(served),
            'violations': sum(1 for read in served if self._violates(read)),
            'redone': sum(1 for read in done if read.redone),
            'polls': self.observer.polls,
        }

    def _violates(self, read: _Read) -> bool:
        age = self.group.true_age(read.applied, read.answered)
        return age > self.trial.size.bound or read.applied < read.floor

    def _possible(self, read: _Read) -> bool:
        if read.server != 'p' and not self._violates(read):
            return True
        earliest = read.arrived + HOP
        latest = max(earliest, read.sent + HOP)
        for start, applied in self._states(earliest, latest):
            answered = start + read.service + HOP
            age = self.group.true_age(applied, answered)
            if applied >= read.floor and age <= self.trial.size.bound:
                return True
        return False

    def _states(
        self, earliest: float, latest: float
    ) -> Iterator[tuple[float, int]]:
        for name in 'rs':
            steps = self.group.servers[name].steps
            first = bisect.bisect_right(steps, (earliest, sys.maxsize))
            last = bisect.bisect_right(steps, (latest, sys.maxsize))
            yield earliest, steps[first - 1][1]
            yield from steps[first:last]


def _nothing() -> None:
    """Needs no action when a write starts."""


def run_trial(trial: Trial) -> dict[str, int]:
    """Run a trial.

    :param trial: The trial.
    :returns: Counts of reads.
    """
    return _Run(trial).run()


def trials(policy: str) -> list[Trial]:
    """List the trials of a policy.

    :param policy: The policy.
    :returns: Trials over deployments, shapes and lags up to twice the bound.
    """
    return [
        Trial(size, shape, _lag(size, step), policy, step)
        for size, shape, step in itertools.product(
            DEPLOYMENTS, SHAPES, range(_LAG_STEPS)
        )
    ]


def _lag(size: Deployment, step: int) -> float:
    """Spread the lags evenly, at a random place within each step."""
    place = random.Random(step).random()
    return 2 * size.bound * (step + place) / _LAG_STEPS


def summarize(
    todo: list[Trial], counts: list[dict[str, int]]
) -> dict[str, Any]:
    """Sum up the counts per deployment and shape.

    :param todo: The trials.
    :param counts: Their counts.
    :returns: Shares and sums.
    """
    sums: dict[str, dict[str, float]] = {}
    for trial, count in zip(todo, counts, strict=True):
        key = ', '.join((trial.size.name, trial.shape))
        row = sums.setdefault(key, {})
        for name, figure in count.items():
            row[name] = row.get(name, 0) + figure
    for total in sums.values():
        total['share'] = round(total['replica'] / total['reads'], 4)
        total['limit_share'] = round(total['limit'] / total['reads'], 4)
        total['of_limit'] = round(total['replica'] / total['limit'], 4)
    return sums


def main() -> None:
    """Run all trials and save the figures."""
    figures: dict[str, Any] = {}
    with ProcessPoolExecutor(4) as pool:
        for policy in POLICIES:
            todo = trials(policy)
            counts = list(pool.map(run_trial, todo, chunksize=8))
            figures[policy] = summarize(todo, counts)
    save('routing', figures)


if __name__ == '__main__':
    main()
