"""Weighted answers in time during a burst of five times capacity.

``python -m emulator.experiment_burst`` runs it and saves the figures. A
refusal counts as wrong if a slot that could have run the request stood idle
for its service time before its deadline, or ran a later request of a lower
weight. ``of_bound`` is relative to a bound that knows all arrivals and the mean
service times; ``of_bound_known_times`` also knows each single service time,
which no one does before a statement has run.
"""

import itertools
import random
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs

from emulator.burst_figures import Request, figures
from emulator.virtual_load import (
    DEPLOYMENTS,
    HOP,
    Deployment,
    Simulation,
    poisson,
    save,
    service_time,
)
from emulator.virtual_replicas import Observer, VirtualGroup, lag_shape
from monsoonproxy.admission import Accepted, Admission, AdmissionRules, Refused
from monsoonproxy.clock import Millis
from monsoonproxy.deadline_queues import Ticket
from monsoonproxy.models import CONFIRMATION, ENQUIRY, RETURN, StatementKind
from monsoonproxy.routing import (
    Load,
    ReadRequest,
    RouteReason,
    Route,
    Router,
    RoutingRules,
)

POLICIES = ('admission', 'returning callers', 'no admission')
SEEDS = (1, 2)

#: Share of each class.
_MIX = {CONFIRMATION: 0.25, RETURN: 0.15, ENQUIRY: 0.6}
_DEADLINES = {CONFIRMATION: 2000, RETURN: 2000, ENQUIRY: 1000}
_BURST_START = 2000
_AFTER = 13_000
# The excess of the burst takes 40 s of the spare half of the capacity.
_AFTER_WITH_RETURNS = 53_000
_LAG = 20
_NORMAL = 0.5
_MAX_TRIES = 10


@attrs.frozen
class Trial:
    """One run.

    :param size: The deployment.
    :param policy: How requests are admitted.
    :param seed: Seed of all random numbers.
    :param factor: Load of the burst relative to the capacity.
    :param length: Length of the burst in ms.
    """

    size: Deployment
    policy: str
    seed: int
    factor: float = 5
    length: int = 5000

    @property
    def capacity(self) -> float:
        """Return the greatest rate of the mix that the slots can serve.

        :returns: Requests per second.
        """
        reads = _MIX[ENQUIRY]
        write_work = (1 - reads) * self.size.write_time
        work = write_work + reads * self.size.read_time
        slots = self.size.slots * 1000
        return min(slots / write_work, 3 * slots / work)


class _Run:
    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.sim = Simulation()
        self.rng = random.Random(trial.seed)
        shape = lag_shape('constant', _LAG, self.rng)
        self.burst = (_BURST_START, _BURST_START + trial.length)
        self.end = self.burst[1] + _AFTER
        if trial.policy == 'returning callers':
            self.end = self.burst[1] + _AFTER_WITH_RETURNS
        shapes = (shape, shape)
        self.group = VirtualGroup(self.sim, trial.size, shapes, self.end)
        self.router = Router('prs', RoutingRules())
        Observer(self.sim, self.group, self.router)
        self.admission = Admission(AdmissionRules(), random.Random(trial.seed))
        slots = dict.fromkeys('prs', trial.size.slots)
        self.admission.update_servers(slots, 'p')
        self.requests: list[Request] = []
        self.tickets: dict[int, Request] = {}
        self.routes: dict[int, Route] = {}
        self.numbers = 0

    def run(self) -> dict[str, Any]:
        normal = self.trial.capacity * _NORMAL
        poisson(self.sim, self.rng, normal, self._arrive)
        extra = self.trial.capacity * self.trial.factor - normal
        self.sim.at(self.burst[0], lambda: self._burst(extra))
        self._tick()
        self.sim.run(self.end)
        return figures(self.requests, self.trial.size, self.burst)

    def _burst(self, rate: float) -> None:
        if self.sim.time < self.burst[1]:
            self._arrive()
            delay = self.rng.expovariate(rate) * 1000
            self.sim.after(delay, lambda: self._burst(rate))

    def _arrive(self) -> None:
        name = self.rng.choices(list(_MIX), list(_MIX.values()))[0]
        size = self.trial.size
        read = name == ENQUIRY
        mean = size.read_time if read else size.write_time
        request = Request(
            name,
            1 if read else 2,
            self.sim.time,
            _DEADLINES[name],
            service_time(self.rng, mean),
        )
        self.requests.append(request)
        self._offer(request)

    def _offer(self, request: Request) -> None:
        self.numbers += 1
        kind = StatementKind.READ if request.read else StatementKind.WRITE
        now = self.sim.now
        deadline = Millis(now + request.patience)
        ticket = Ticket(self.numbers, request.name, kind, now, deadline)
        request.tries += 1
        request.deadline = self.sim.time + request.patience
        self.tickets[ticket.number] = request
        if self.trial.policy == 'no admission':
            self._send(ticket, request, self._first_choice(request))
            return
        outcome = self.admission.offer(ticket, now)
        if isinstance(outcome, Accepted):
            self._work()
        else:
            self._refused(request, outcome)

    def _refused(self, request: Request, outcome: Refused) -> None:
        request.refused_at = self.sim.time
        request.reason = outcome.reason.name
        returns = self.trial.policy == 'returning callers'
        if returns and request.tries < _MAX_TRIES:
            self.sim.after(outcome.retry_after, lambda: self._offer(request))

    def _first_choice(self, request: Request) -> str:
        return self.rng.choice('rs') if request.read else 'p'

    def _work(self) -> None:
        now = self.sim.now
        for ejected in self.admission.take_ejected(now):
            request = self.tickets.pop(ejected.ticket.number)
            self._refused(request, ejected.refusal)
        for start in self.admission.next_ready(now, self._choose):
            request = self.tickets[start.ticket.number]
            self._send(start.ticket, request, start.server)

    def _tick(self) -> None:
        if self.admission:
            self._work()
        self.sim.after(5, self._tick)

    def _choose(self, ticket: Ticket, loads: Mapping[str, Load]) -> str | None:
        if ticket.kind is StatementKind.WRITE:
            return 'p'
        req = ReadRequest(self.trial.size.bound, None, ticket.deadline)
        choice = self.router.choose_read(req, loads, self.sim.now)
        if isinstance(choice, Route):
            self.routes[ticket.number] = choice
            return choice.server
        return None

    def _send(self, ticket: Ticket, request: Request, name: str) -> None:
        request.server = name
        database = self.group.servers[name].database

        def begin() -> None:
            request.begun = self.sim.time

        def end() -> None:
            request.ended = self.sim.time
            if not request.read:
                self.group.commit()
            self.sim.after(HOP, lambda: self._answer(ticket, request))

        self.sim.after(
            HOP, lambda: database.execute(request.service, begin, end)
        )

    def _answer(self, ticket: Ticket, request: Request) -> None:
        request.answered = self.sim.time
        if self.trial.policy == 'no admission':
            return
        self.admission.finished(ticket, None, self.sim.now)
        route = self.routes.pop(
            ticket.number, Route('p', RouteReason.AGE, 1, 0)
        )
        bound = self.trial.size.bound
        valid = self.router.still_valid(route, bound, None, self.sim.now)
        request.stale = request.read and not valid
        self._work()


def run_trial(trial: Trial) -> dict[str, Any]:
    """Run a trial.

    :param trial: The trial.
    :returns: Its figures.
    """
    return _Run(trial).run()


def main() -> None:
    """Run all trials and save the figures."""
    todo = [
        Trial(size, policy, seed)
        for size, policy, seed in itertools.product(
            DEPLOYMENTS, POLICIES, SEEDS
        )
    ]
    with ProcessPoolExecutor(4) as pool:
        found = list(pool.map(run_trial, todo))
    rows: dict[str, Any] = {}
    for trial, row in zip(todo, found, strict=True):
        key = ', '.join((trial.size.name, trial.policy))
        rows.setdefault(key, {})[f'seed {trial.seed}'] = row
    save('burst', rows)


if __name__ == '__main__':
    main()
