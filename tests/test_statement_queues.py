"""Tests of which statements are served when there is too little room.

Virtual time: a backend server works on some statements at once, and daemons put
further ones into a queue. Each test names the load that it answers.
"""

import collections
import heapq
import itertools
import operator
import random

import attrs
import hypothesis
from hypothesis import strategies as st

from monsoonproxy.clock import Millis
from monsoonproxy.overload.statement_queues import (
    Rate,
    StatementQueue,
    Urgency,
)
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


@attrs.frozen
class _Kind:
    """A kind of statement.

    :param name: Its name.
    :param per_s: Arrivals per second.
    :param work: Time in ms that it takes.
    :param objective: Time in ms in which callers want the answer.
    :param timeout: Time in ms after which they get none.
    :param priority: 0 is the highest.
    """

    name: str
    per_s: float
    work: float
    objective: float
    timeout: float
    priority: int = 2


@attrs.define
class _Result:
    """What became of the statements of a kind, by number."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    expired: int = 0


class _Server:
    """A backend server with some slots, and the queue in front of it.

    :param slots: Statements that it works on at once.
    :param admits: Whether the queue decides; otherwise statements are served
        in order of arrival until their time is over.
    """

    def __init__(self, slots: int, *, admits: bool) -> None:
        self.results: dict[str, _Result] = collections.defaultdict(_Result)
        self.busy: list[tuple[float, int, float, _Kind]] = []
        self._slots = slots
        self._admits = admits
        self._queue = StatementQueue()
        self._service = 10.0
        self._numbers = itertools.count()

    @property
    def _rate(self) -> Rate:
        return Rate(self._service, self._slots)

    def arrive(self, now: float, kind: _Kind) -> None:
        """Refuse, queue or serve a statement."""
        urgency = Urgency(
            kind.priority, now + kind.objective, now + kind.timeout
        )
        if not self._admits:
            urgency = Urgency(0)
        elif len(self.busy) >= self._slots:
            wait = self._queue.expected_wait(urgency, self._rate)
            if wait + self._service > kind.objective:
                self.results[kind.name].refused += 1
                return
        self._queue.add(urgency, Millis(int(now)), (now, kind))
        self._serve(now)

    def end_next(self) -> None:
        """End the statement that ends first."""
        now, _number, arrived, kind = heapq.heappop(self.busy)
        self._service += (kind.work - self._service) * 0.1
        result = self.results[kind.name]
        if now - arrived <= kind.objective:
            result.in_time += 1
        else:
            result.late += 1
        if self._admits:
            self._drop(now)
        self._serve(now)

    def _drop(self, now: float) -> None:
        for dropped in self._queue.drop_hopeless(Millis(int(now)), self._rate):
            _arrived, kind = dropped.tag
            self.results[kind.name].refused += 1

    def _serve(self, now: float) -> None:
        while len(self.busy) < self._slots:
            entry = self._queue.pop(Millis(int(now)), self._rate)
            if entry is None:
                return
            arrived, kind = entry.tag
            if now - arrived > kind.timeout:
                self.results[kind.name].expired += 1
                continue
            ends = now + kind.work
            number = next(self._numbers)
            heapq.heappush(self.busy, (ends, number, arrived, kind))


def _arrivals(kinds: list[_Kind], seconds: float) -> list[tuple[float, _Kind]]:
    """Return random times of arrival, in order."""
    rng = random.Random(0)
    found = []
    for kind in kinds:
        at = rng.expovariate(kind.per_s / 1000)
        while at < seconds * 1000:
            found.append((at, kind))
            at += rng.expovariate(kind.per_s / 1000)
    return sorted(found, key=operator.itemgetter(0))


def _play(
    kinds: list[_Kind], slots: int, seconds: float, *, admits: bool = True
) -> dict[str, _Result]:
    """Serve statements that arrive at random; return what became of them.

    :param kinds: The load.
    :param slots: Statements that the server works on at once.
    :param seconds: How long statements arrive.
    :param admits: Whether the queue decides.
    :returns: The results by kind.
    """
    server = _Server(slots, admits=admits)
    for at, kind in _arrivals(kinds, seconds):
        while server.busy and server.busy[0][0] <= at:
            server.end_next()
        server.arrive(at, kind)
    while server.busy:
        server.end_next()
    return server.results


_TAGGING = _Kind('tagging', 601, 28, 401, 1_204)
_LISTENING = _Kind('listening', 129, 47, 801, 5_008)
_UPLOAD = _Kind('upload', 129, 9.3, 201, 1_208, priority=1)


def test_goodput_in_a_flood() -> None:
    """Guards against work that comes too late for all (goodput collapse).

    Load: for 4 s, twice as many statements as the slots can serve.
    """
    kinds = [_TAGGING, _LISTENING, _UPLOAD]
    slots = 12
    work = sum(kind.per_s * kind.work / 1000 for kind in kinds)
    assert work > 1.9 * slots
    served = _play(kinds, slots, 4)
    before = _play(kinds, slots, 4, admits=False)
    in_time = sum(result.in_time for result in served.values())
    assert in_time > 2 * sum(result.in_time for result in before.values())
    # At least 0.7 of what the slots can do at all is in time.
    in_time_work = sum(
        [served[kind.name].in_time * kind.work / 1000 for kind in kinds]
    )
    assert in_time_work > 0.7 * slots * 4
    assert served['upload'].in_time > 0.9 * 129 * 4


def test_nothing_is_refused_with_room() -> None:
    """Guards against refusals that bursts within the capacity cause.

    Load: 0.75 of what the slots can serve, arriving at random.
    """
    kinds = [
        attrs.evolve(kind, per_s=kind.per_s * 0.75)
        for kind in (_TAGGING, _LISTENING, _UPLOAD)
    ]
    served = _play(kinds, 24, 20)
    for name, result in served.items():
        total = result.in_time + result.late
        assert not result.refused, name
        assert result.in_time > 0.99 * total, name


def test_refusals_come_early() -> None:
    """Guards against statements that are held and then refused.

    Load: twice the capacity. A caller that is refused early can try elsewhere.
    """
    served = _play([_TAGGING, _LISTENING, _UPLOAD], 12, 4)
    assert served['tagging'].refused > 0
    expired = sum(result.expired for result in served.values())
    assert not expired


def test_short_objective_before_long_one() -> None:
    """Guards against a read with much time left that passes a hurried one."""
    queue, rate = StatementQueue(), Rate(10, 1)
    queue.add(Urgency(2, 4_000, 5_000), Millis(0), 'patient')
    queue.add(Urgency(2, 200, 800), Millis(1), 'hurried')
    queue.add(Urgency(1, 300, 800), Millis(2), 'urgent')
    order = [queue.pop(Millis(5), rate) for _ in range(3)]
    assert [entry and entry.tag for entry in order] == [
        'urgent',
        'hurried',
        'patient',
    ]


def test_statement_in_time_before_late_one() -> None:
    """Guards against room that goes to statements that are late already."""
    queue, rate = StatementQueue(), Rate(10, 1)
    queue.add(Urgency(1, 100, 900), Millis(0), 'late')
    queue.add(Urgency(2, 600, 900), Millis(50), 'fresh')
    first = queue.pop(Millis(200), rate)
    second = queue.pop(Millis(210), rate)
    assert first is not None and first.tag == 'fresh'
    assert second is not None and second.tag == 'late'


def test_late_statements_leave_when_there_is_no_room() -> None:
    """Guards against late statements held to the end of their time."""
    queue, rate = StatementQueue(), Rate(10, 1)
    late = queue.add(Urgency(1, 5, 5_000), Millis(0))
    for at in range(0, 400, 10):
        queue.add(Urgency(2, at + 500, at + 900), Millis(at))
        queue.pop(Millis(at), Rate(10, 1))
    assert late in queue.drop_hopeless(Millis(400), rate)


def test_no_class_starves() -> None:
    """Guards against low priority that never gets room.

    Load: urgent statements alone are as many as the slots can serve.
    """
    urgent = _Kind('urgent', 200, 10, 200, 800, priority=1)
    patient = _Kind('patient', 20, 10, 2_000, 4_000, priority=3)
    served = _play([urgent, patient], 2, 10)
    assert served['patient'].in_time > 0.5 * 20 * 10


class _CheckedQueue:
    """A queue whose every step is checked."""

    def __init__(self) -> None:
        self.queue = StatementQueue()
        self.waiting: set[int] = set()
        self._numbers = itertools.count()

    def add(self, now: Millis, priority: int, span: int) -> None:
        number = next(self._numbers)
        urgency = Urgency(priority, now + span, now + 2 * span)
        self.queue.add(urgency, now, number)
        self.waiting.add(number)

    def pop(self, now: Millis, priority: int, span: int) -> None:
        entry = self.queue.pop(now, _rate(priority, span))
        assert (entry is None) == (not self.waiting)
        if entry is not None:
            self.waiting.remove(entry.tag)

    def drop(self, now: Millis, priority: int, span: int) -> None:
        rate = _rate(priority, span)
        for dropped in self.queue.drop_hopeless(now, rate):
            # It is late, or has too many others ahead of it.
            ends = now + rate.time_for(len(self.waiting)) + rate.service
            is_late = now + rate.service > dropped.urgency.objective_at
            assert is_late or ends > dropped.urgency.deadline_at
            self.waiting.remove(dropped.tag)


def _rate(priority: int, span: int) -> Rate:
    return Rate(1 + span / 50, 1 + priority)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(['add', 'pop', 'drop']),
            st.integers(0, 3),
            st.integers(1, 2_000),
        ),
        max_size=60,
    )
)
def _check_conservation(steps: list[tuple[str, int, int]]) -> None:
    checked, now = _CheckedQueue(), 0
    for kind, priority, span in steps:
        now += span // 20
        getattr(checked, kind)(Millis(now), priority, span)
        assert len(checked.queue) == len(checked.waiting)


def test_work_is_conserved() -> None:
    """Guards against statements that are lost, doubled or dropped in time."""
    _check_conservation()


def test_arrival_order_within_equals() -> None:
    """Guards against equal statements that pass each other."""
    queue, rate = StatementQueue(), Rate(1, 1)
    for name in range(5):
        queue.add(Urgency(1, 1_000, 2_000), Millis(0), name)
    order = [queue.pop(Millis(1), rate) for _ in range(5)]
    assert [entry and entry.tag for entry in order] == list(range(5))
