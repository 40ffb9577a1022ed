"""Admission of requests: a weighted bounded queue per service."""

import enum
import random
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

import attrs

from monsoonproxy.backlog import Backlog, Capacity, Outlook
from monsoonproxy.clock import Millis
from monsoonproxy.models import CONFIRMATION, ENQUIRY, RETURN, StatementKind
from monsoonproxy.queues import Entry, Ticket
from monsoonproxy.routing import Load
from monsoonproxy.service_times import ServiceTimes
from monsoonproxy.slots import ServerSlots


class RefusalReason(enum.Enum):
    """Why a request is refused as not run."""

    LATE = 'the queue is too long for the deadline'
    FULL = 'the queue is full'
    DISPLACED = 'requests of a higher weight came in'
    EXPIRED = 'the deadline can no longer be met'


def _default_weights() -> dict[str, float]:
    return {CONFIRMATION: 2, RETURN: 2, ENQUIRY: 1}


@attrs.frozen
class AdmissionRules:
    """Settings of admission.

    :param weights: Value of an answer in time, per class; others count 1.
    :param queue_limit: Greatest number of waiting requests. It only bounds
        memory; the estimates refuse earlier.
    :param hop: One-way time to a backend server.
    :param initial_service: Assumed service time in ms before any measurement.
    :param smoothing: Weight of a new measurement in the moving average.
    :param max_shapes: Statement shapes with an average of their own.
    :param width: Length in ms of the intervals in which work is summed up.
    :param scan: Waiting requests looked at to fill a free slot.
    :param tolerance: Relative excess of estimated work over capacity at which
        an accepted request is given up.
    :param retry_spread: Relative jitter of the time to come back.
    :param max_retry_after: Longest time to come back.
    """

    weights: Mapping[str, float] = attrs.Factory(_default_weights)
    queue_limit: int = 20_000
    hop: Millis = Millis(1)
    initial_service: float = 2
    smoothing: float = 0.05
    max_shapes: int = 256
    width: int = 40
    scan: int = 32
    tolerance: float = 0.02
    retry_spread: float = 0.5
    max_retry_after: Millis = Millis(30_000)


@attrs.frozen
class Accepted:
    """The request waits; it is started or ejected later."""


@attrs.frozen
class Refused:
    """The request was not run.

    :param reason: Why.
    :param retry_after: Time in ms after which to come back.
    """

    reason: RefusalReason
    retry_after: Millis


@attrs.frozen
class Start:
    """Send the request to this backend server now."""

    ticket: Ticket
    server: str


@attrs.frozen
class Ejected:
    """An accepted request that was not run and will not be."""

    ticket: Ticket
    refusal: Refused


Estimate: TypeAlias = Callable[[StatementKind, str], float]
Choose: TypeAlias = Callable[[Ticket, Mapping[str, Load]], str | None]


class Admission:
    """The queue of one service on its holder.

    :param rules: Settings.
    :param rng: Source of the jitter of times to come back.
    """

    def __init__(self, rules: AdmissionRules, rng: random.Random) -> None:
        self._rules = rules
        self._rng = rng
        self._times = ServiceTimes(
            rules.initial_service, rules.smoothing, rules.max_shapes
        )
        self._servers: dict[str, ServerSlots] = {}
        self._primary: str | None = None
        self._primary_slots = 1
        self._backlog = Backlog(rules.width, rules.queue_limit)
        self._ejected: list[Ejected] = []
        self._places: dict[int, str] = {}
        self._return_at: dict[bool, float] = {True: 0, False: 0}

    def __len__(self) -> int:
        """Return the length of the queue.

        :returns: The number of waiting requests.
        """
        return len(self._backlog)

    def reconfigure(self, rules: AdmissionRules) -> None:
        """Take new settings into use; waiting requests keep their weights.

        :param rules: Settings.
        """
        self._rules = rules
        self._backlog.limit = rules.queue_limit

    def update_servers(
        self, slots: Mapping[str, int], primary: str | None
    ) -> None:
        """Set the backend servers that may be given work.

        :param slots: Slots per backend server that is usable now.
        :param primary: Name of the primary, if there is one.
        """
        for name, count in slots.items():
            server = self._servers.setdefault(name, ServerSlots(count))
            server.slots = count
        for name in self._servers.keys() - slots.keys():
            self._servers[name].slots = 0
            if not self._servers[name].running:
                self._servers.pop(name)
        self._primary = primary
        self._primary_slots = slots.get(primary or '', self._primary_slots)

    def offer(self, ticket: Ticket, now: Millis) -> Accepted | Refused:
        """Ask for admission.

        Accepting a request may displace others: see :meth:`expired`.

        :param ticket: The request.
        :param now: The time.
        :returns: Whether it waits or was not run.
        """
        entry = self._entry(ticket)
        if not self._fits(entry, now, self._times.low):
            return self._refuse(entry, RefusalReason.LATE, now)
        full = self._backlog.full
        victims = self._backlog.admit(entry, self._outlook(now))
        if victims is None:
            reason = RefusalReason.FULL if full else RefusalReason.LATE
            return self._refuse(entry, reason, now)
        for victim in victims:
            self._eject(victim, RefusalReason.DISPLACED, now)
        return Accepted()

    def next_ready(self, now: Millis, choose: Choose) -> list[Start]:
        """Take the requests that are to be started.

        :param now: The time.
        :param choose: Returns the backend server for a request, given the
            load of each, or ``None`` if it can't start now.
        :returns: The requests; they count as started.
        """
        starts: list[Start] = []
        while True:
            start = self._pick(now, choose)
            if start is None:
                return starts
            self._backlog.discard(start.ticket)
            self.started(start.ticket, start.server, now)
            starts.append(start)

    def expired(self, now: Millis) -> list[Ejected]:
        """Take the accepted requests that can't be served in time any more.

        :param now: The time.
        :returns: Requests that were displaced or can't meet their deadline.
        """
        for lane in (self._backlog.own, self._backlog.shared):
            entry = lane.head()
            while entry and not self._fits(entry, now, self._times.low):
                lane.discard(entry.ticket.number)
                self._eject(entry, RefusalReason.EXPIRED, now)
                entry = lane.head()
        outlook = self._outlook(now)
        for victim in self._backlog.shed(outlook, self._rules.tolerance):
            self._eject(victim, RefusalReason.EXPIRED, now)
        ejected = self._ejected.copy()
        self._ejected.clear()
        return ejected

    def started(self, ticket: Ticket, server: str, now: Millis) -> None:
        """Count a request as running.

        :param ticket: A request that did not wait, such as a statement of an
            open transaction.
        :param server: The backend server it was sent to.
        :param now: The time.
        """
        slots = self._servers.setdefault(server, ServerSlots(0))
        cost = self._times.mean(ticket.kind, ticket.shape)
        slots.start(ticket.number, now + 2 * self._rules.hop, cost)
        self._places[ticket.number] = server

    def finished(
        self, ticket: Ticket, service_time: float | None, now: Millis
    ) -> None:
        """Take in that a request has its answer, and learn its time.

        :param ticket: The request.
        :param service_time: Time on the backend server, if the answer tells
            it; otherwise it is derived from the start and finish times.
        :param now: The time.
        """
        measured = self._free(ticket, now)
        if measured is None:
            return
        sample = measured if service_time is None else service_time
        self._times.add(ticket.kind, ticket.shape, sample)

    def failed(self, ticket: Ticket, now: Millis) -> None:
        """Take in that a running request has no answer to learn from.

        :param ticket: The request.
        :param now: The time.
        """
        self._free(ticket, now)

    def cancel(self, ticket: Ticket) -> bool:
        """Forget a waiting request whose caller has gone.

        :param ticket: The request.
        :returns: Whether it was waiting.
        """
        return self._backlog.discard(ticket) is not None

    def loads(self, now: Millis) -> dict[str, Load]:
        """Return the load of each backend server.

        :param now: The time.
        :returns: Loads by name.
        """
        mean = self._times.mean(StatementKind.READ)
        return {
            name: server.load(mean) for name, server in self._servers.items()
        }

    def _entry(self, ticket: Ticket) -> Entry:
        return Entry(
            ticket,
            self._rules.weights.get(ticket.request_class, 1),
            self._times.mean(ticket.kind, ticket.shape),
        )

    def _fits(self, entry: Entry, now: float, estimate: Estimate) -> bool:
        ticket = entry.ticket
        service = estimate(ticket.kind, ticket.shape)
        return now + 2 * self._rules.hop + service <= ticket.deadline

    def _outlook(self, now: int) -> Outlook:
        primary = Capacity()
        replicas = Capacity()
        for name, server in self._servers.items():
            busy = server.busy(now)
            if name == self._primary:
                primary = Capacity(server.slots, busy)
            else:
                replicas = replicas.plus(server.slots, busy)
        if not primary.slots:
            # A primary is expected to come back before the deadlines.
            primary = Capacity(self._primary_slots)
        return Outlook(primary, replicas, now + 2 * self._rules.hop)

    def _pick(self, now: Millis, choose: Choose) -> Start | None:
        """Find a request to start, preferring those sure to be in time."""
        loads = self.loads(now)
        room = {
            name
            for name, server in self._servers.items()
            if server.room(2 * self._rules.hop, self._mean(name)) > 0
        }
        unsure = None
        for entry in self._startable(room, now):
            server = choose(entry.ticket, loads)
            if server is None or server not in room:
                continue
            begins = now + self._servers[server].wait(now)
            if self._fits(entry, begins, self._times.high):
                return Start(entry.ticket, server)
            if unsure is None:
                unsure = Start(entry.ticket, server)
        return unsure

    def _startable(self, room: set[str], now: Millis) -> Iterator[Entry]:
        entries: list[Entry] = []
        if self._primary in room:
            entries += self._backlog.own.first(self._rules.scan)
        if room:
            entries += self._backlog.shared.first(self._rules.scan)
        for entry in entries:
            if self._fits(entry, now, self._times.low):
                yield entry

    def _mean(self, server: str) -> float:
        kind = StatementKind.READ
        if server == self._primary and len(self._backlog.own):
            kind = StatementKind.WRITE
        return self._times.mean(kind)

    def _free(self, ticket: Ticket, now: Millis) -> float | None:
        name = self._places.pop(ticket.number, None)
        server = self._servers.get(name or '')
        if name is None or server is None:
            return None
        measured = server.finish(ticket.number, now)
        if not server.slots and not server.running:
            self._servers.pop(name)
        return measured

    def _eject(self, entry: Entry, reason: RefusalReason, now: Millis) -> None:
        refusal = self._refuse(entry, reason, now)
        self._ejected.append(Ejected(entry.ticket, refusal))

    def _refuse(
        self, entry: Entry, reason: RefusalReason, now: Millis
    ) -> Refused:
        """Tell the caller to come back when the queue has drained.

        Each refusal books the time that serving it will take, so that the
        callers come back no faster than they can be served.
        """
        lane = self._backlog.lane(entry.ticket)
        slots = self._primary_slots
        work = lane.total
        if lane is self._backlog.shared:
            slots = sum(server.slots for server in self._servers.values())
            work = self._backlog.total
        slots = max(1, slots)
        own = lane is self._backlog.own
        booked = max(self._return_at[own], now + work / slots)
        self._return_at[own] = booked + entry.cost / slots
        spread = 1 + self._rng.random() * self._rules.retry_spread
        after = (booked - now) * spread + self._rng.random() * 10
        return Refused(
            reason,
            Millis(max(1, min(self._rules.max_retry_after, int(after)))),
        )
