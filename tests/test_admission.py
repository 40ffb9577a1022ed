"""Tests of admission to the queue of a service."""

import random
from collections.abc import Mapping

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonproxy.admission import (
    Accepted,
    Admission,
    AdmissionRules,
    RefusalReason,
    Refused,
)
from monsoonproxy.backlog import Backlog, Capacity, CapacityForecast
from monsoonproxy.clock import Millis
from monsoonproxy.deadline_queues import QueueEntry, Ticket
from monsoonproxy.models import CONFIRMATION, ENQUIRY, StatementKind
from monsoonproxy.routing import Load
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_SLOTS = {'p': 2, 'r': 2, 's': 2}
_READ = StatementKind.READ
_WRITE = StatementKind.WRITE


def _choose(ticket: Ticket, loads: Mapping[str, Load]) -> str | None:
    names = 'rs' if ticket.kind is _READ and ticket.replica else 'p'
    return min(names, key=lambda name: loads[name].queued, default=None)


def _admission(service: int = 5, **changes: int) -> Admission:
    rules = AdmissionRules(initial_service_time=service, **changes)
    admission = Admission(rules, random.Random(1))
    admission.update_servers(_SLOTS, 'p')
    return admission


def _ticket(number: int, deadline: int, write: bool = False) -> Ticket:
    return Ticket(
        number,
        CONFIRMATION if write else ENQUIRY,
        _WRITE if write else _READ,
        Millis(0),
        Millis(deadline),
    )


class _RandomTraffic:
    """Random traffic that follows each ticket until it ends."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.admission = _admission(queue_limit=40)
        self.now = Millis(0)
        self.waiting: dict[int, Ticket] = {}
        self.running: dict[int, tuple[Ticket, str]] = {}

    def step(self, number: int) -> None:
        self.now = Millis(self.now + self.rng.randint(0, 4))
        self._offer(number)
        if self.waiting and not self.rng.randrange(9):
            ticket = self.waiting.pop(self.rng.choice(list(self.waiting)))
            assert self.admission.cancel(ticket)
            assert not self.admission.cancel(ticket)
        for ejected in self.admission.take_ejected(self.now):
            self.waiting.pop(ejected.ticket.number)
        self.start()
        self._finish(self.rng.randint(0, 3))
        assert len(self.admission) == len(self.waiting)

    def start(self) -> None:
        for start in self.admission.next_ready(self.now, _choose):
            ticket = self.waiting.pop(start.ticket.number)
            assert self.now <= ticket.deadline
            self.running[ticket.number] = (ticket, start.server)
        for server, slots in _SLOTS.items():
            inflight = [name for _, name in self.running.values()]
            assert inflight.count(server) <= 2 * slots

    def drain(self) -> None:
        while self.waiting or self.running:
            self.now = Millis(self.now + 5)
            for ejected in self.admission.take_ejected(self.now):
                self.waiting.pop(ejected.ticket.number)
            self.start()
            self._finish(9)
        assert not self.admission

    def _offer(self, number: int) -> None:
        deadline = self.now + self.rng.choice((3, 20, 100, 1000))
        ticket = _ticket(number, deadline, self.rng.choice((True, False)))
        outcome = self.admission.offer(ticket, self.now)
        if isinstance(outcome, Accepted):
            self.waiting[number] = ticket
        else:
            assert outcome.retry_after > 0

    def _finish(self, count: int) -> None:
        for number in list(self.running)[:count]:
            ticket, _ = self.running.pop(number)
            self.admission.finished(ticket, 5, self.now)


@settings(max_examples=60)
@given(st.integers(0, 1 << 32))
def test_each_ticket_ends_once(seed: int) -> None:
    """Guards against tickets that end twice, never, or start too late.

    Random offers, cancellations and answers must leave each accepted ticket
    with exactly one end, and start none after its deadline.
    """
    traffic = _RandomTraffic(random.Random(seed))
    for number in range(200):
        traffic.step(number)
    traffic.drain()


def test_refused_when_too_late() -> None:
    """Guards against accepting requests that can only expire in the queue.

    A request that can't be answered before its deadline has to be refused on
    arrival.
    """
    admission = _admission()
    outcomes = [
        admission.offer(_ticket(number, 100, write=True), Millis(0))
        for number in range(100)
    ]
    accepted = [
        outcome for outcome in outcomes if isinstance(outcome, Accepted)
    ]
    # Two slots, 98 ms without the round trip, and 5 ms each.
    assert len(accepted) == 39
    assert isinstance(outcomes[-1], Refused)
    assert outcomes[-1].reason is RefusalReason.LATE


def test_idle_service_refuses_nothing() -> None:
    """Guards against an idle service that refuses a short deadline.

    Service times are derived here from start and finish; including the round
    trip in them would make the deadline look too short.
    """
    admission = _admission()
    for number in range(50):
        admission.started(_ticket(number, 0), 'r', Millis(number * 10))
        elapsed = Millis(number * 10 + 7)
        admission.finished(_ticket(number, 0), None, elapsed)
    outcome = admission.offer(_ticket(99, 1007), Millis(1000))
    assert isinstance(outcome, Accepted)


def test_higher_weight_displaces() -> None:
    """Guards against queued enquiries that keep out a confirmation.

    With the queue full of enquiries, the request of higher weight has to
    displace one of them.
    """
    admission = _admission()
    admission.update_servers({'p': 2}, 'p')
    number = 0
    while isinstance(
        admission.offer(_ticket(number, 100), Millis(0)), Accepted
    ):
        number += 1
    before = len(admission)
    write = _ticket(1000, 100, write=True)
    assert isinstance(admission.offer(write, Millis(0)), Accepted)
    displaced = admission.take_ejected(Millis(0))
    assert [one.refusal.reason for one in displaced] == [
        RefusalReason.DISPLACED
    ]
    assert displaced[0].ticket.request_class == ENQUIRY
    assert len(admission) == before


def test_enquiry_displaces_nothing() -> None:
    """Guards against accepted confirmations displaced by enquiries.

    A request of lower weight must be refused without any change to the queue.
    """
    admission = _admission()
    admission.update_servers({'p': 2}, 'p')
    for number in range(100):
        admission.offer(_ticket(number, 100, write=True), Millis(0))
    before = len(admission)
    assert isinstance(admission.offer(_ticket(100, 100), Millis(0)), Refused)
    assert admission.take_ejected(Millis(0)) == []
    assert len(admission) == before


def test_ejected_before_deadline() -> None:
    """Guards against requests that are ejected only at their deadline.

    Service times rise after the requests were accepted. Those that no longer
    fit have to be ejected as soon as that is known, so that callers can retry.
    """
    admission = _admission()
    for number in range(30):
        admission.offer(_ticket(number, 100, write=True), Millis(0))
    for number in range(100, 300):
        admission.started(_ticket(number, 0, write=True), 'r', Millis(0))
        admission.finished(_ticket(number, 0, write=True), 20, Millis(0))
    assert not admission.take_ejected(Millis(0))
    late = admission.take_ejected(Millis(60))
    assert late
    assert {one.refusal.reason for one in late} == {RefusalReason.EXPIRED}


def test_refused_callers_spread() -> None:
    """Guards against refused callers that all retry at the same time.

    Retry delays have to be spread over the time that serving the refused
    requests takes.
    """
    admission = _admission()
    returns = []
    for number in range(400):
        outcome = admission.offer(_ticket(number, 100, write=True), Millis(0))
        if isinstance(outcome, Refused):
            returns.append(outcome.retry_after)
    # 360 callers need 900 ms on two slots.
    assert max(returns) - min(returns) >= 900
    busiest = max(returns.count(at) for at in returns)
    assert busiest <= 10


def test_waits_for_a_new_primary() -> None:
    """Guards against refusing writes whose deadline outlasts a failover.

    Without a primary, a write has to stay queued and start once there is a
    new one.
    """
    admission = _admission()
    admission.update_servers({'r': 2, 's': 2}, None)
    write = _ticket(1, 10_000, write=True)
    assert isinstance(admission.offer(write, Millis(0)), Accepted)
    assert admission.next_ready(Millis(0), _choose) == []
    admission.update_servers({'r': 2, 's': 2}, 'r')
    starts = admission.next_ready(Millis(2000), lambda _ticket, _loads: 'r')
    assert [start.server for start in starts] == ['r']


def test_displacement_needs_lower_total_weight() -> None:
    """Guards against several enquiries ejected for one long confirmation.

    Displacing is allowed only if the ejected requests weigh less in total than
    the new one. Here the confirmation needs the time of four enquiries.
    """
    admission = _admission()
    admission.update_servers({'p': 2}, 'p')
    for number, write in enumerate((True, False) * 100):
        ticket = _ticket(number, 0, write=write)
        admission.started(ticket, 'p', Millis(0))
        admission.finished(ticket, 20 if write else 5, Millis(0))
    for number in range(100):
        admission.offer(_ticket(number, 100), Millis(0))
    before = len(admission)
    write = _ticket(1000, 100, write=True)
    assert isinstance(admission.offer(write, Millis(0)), Refused)
    assert admission.take_ejected(Millis(0)) == []
    assert len(admission) == before


def test_shed_only_what_reduces_shortage() -> None:
    """Guards against ejecting reads that do not reduce a shortage.

    Of the reads, only those due before the overflow of the replicas cause the
    shortage of the primary; ejecting later ones would not help.
    """
    backlog = Backlog(interval_ms=40, limit=1000)
    for number in range(100):
        # 9 reads exceed the replicas' 40 ms before 10; 50 later ones fit.
        deadline = 10 if number < 9 else 95
        write = number >= 59
        ticket = _ticket(number, 100 if write else deadline, write)
        backlog.add(QueueEntry(ticket, 2 if write else 1, 5))
    victims = backlog.shed(CapacityForecast(Capacity(2), Capacity(4), 0), 0)
    assert [victim.ticket.deadline for victim in victims] == [10, 100]
