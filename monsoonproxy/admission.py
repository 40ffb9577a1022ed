"""Admission control: a bounded queue per service, weighted by class.

A request is refused on arrival if the backend servers can't answer it before
its deadline, so that the caller learns it early and no work is wasted.
"""

import enum
import random
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

import attrs

from monsoonproxy.backlog import Backlog, Capacity, CapacityForecast
from monsoonproxy.clock import Millis
from monsoonproxy.deadline_queues import QueueEntry, Ticket
from monsoonproxy.models import CONFIRMATION, ENQUIRY, RETURN, StatementKind
from monsoonproxy.routing import Load
from monsoonproxy.service_times import ServiceTimes
from monsoonproxy.slots import ServerSlots


class RefusalReason(enum.Enum):
    """Why a request was refused without being run."""

    LATE = 'the queue is too long for the deadline'
    FULL = 'the queue is full'
    DISPLACED = 'requests of a higher weight came in'
    EXPIRED = 'the deadline can no longer be met'


def _default_weights() -> dict[str, float]:
    return {CONFIRMATION: 2, RETURN: 2, ENQUIRY: 1}


@attrs.frozen
class AdmissionRules:
    """Settings of admission control.

    :param weights: Weight of a request that is answered in time, per request
        class; classes that are not listed have weight 1.
    :param queue_limit: Maximum number of waiting requests. It only bounds
        memory: under normal service times the deadline estimates refuse
        requests before this limit is reached.
    :param one_way_delay: One-way network delay to a backend server.
    :param initial_service_time: Service time in ms that is assumed before any
        measurement.
    :param smoothing: Weight of a new measurement in the moving average.
    :param max_shapes: Maximum number of statement shapes with a moving average
        of their own.
    :param interval_ms: Length of the deadline intervals over which waiting
        work is summed.
    :param scan_limit: Maximum number of waiting requests examined per queue to
        fill a free slot.
    :param overload_tolerance: Relative excess of estimated work over capacity
        above which accepted requests are ejected.
    :param retry_spread: Relative jitter added to retry delays.
    :param max_retry_after: Upper bound of retry delays.
    """

    weights: Mapping[str, float] = attrs.Factory(_default_weights)
    queue_limit: int = 20_000
    one_way_delay: Millis = Millis(1)
    initial_service_time: float = 2
    smoothing: float = 0.05
    max_shapes: int = 256
    interval_ms: int = 40
    scan_limit: int = 32
    overload_tolerance: float = 0.02
    retry_spread: float = 0.5
    max_retry_after: Millis = Millis(30_000)


@attrs.frozen
class Accepted:
    """The request was queued; it will be started or ejected later."""


@attrs.frozen
class Refused:
    """The request was not run.

    :param reason: Why it was refused.
    :param retry_after: Delay in ms after which the caller should retry.
    """

    reason: RefusalReason
    retry_after: Millis


@attrs.frozen
class Start:
    """A decision to send a request to a backend server now."""

    ticket: Ticket
    server: str


@attrs.frozen
class Ejected:
    """An accepted request that left the queue without being run."""

    ticket: Ticket
    refusal: Refused


Estimate: TypeAlias = Callable[[StatementKind, str], float]
ChooseServer: TypeAlias = Callable[[Ticket, Mapping[str, Load]], str | None]


class Admission:
    """Admission queue of one service on the daemon that holds it.

    :param rules: Settings.
    :param rng: Source of the jitter of retry delays.
    """

    def __init__(self, rules: AdmissionRules, rng: random.Random) -> None:
        self._rules = rules
        self._rng = rng
        self._times = ServiceTimes(
            rules.initial_service_time, rules.smoothing, rules.max_shapes
        )
        self._servers: dict[str, ServerSlots] = {}
        self._primary: str | None = None
        self._primary_slots = 1
        self._backlog = Backlog(rules.interval_ms, rules.queue_limit)
        self._ejected: list[Ejected] = []
        self._server_names: dict[int, str] = {}
        self._booked_until: dict[bool, float] = {True: 0, False: 0}

    def __len__(self) -> int:
        """Return the length of the queue.

        :returns: The number of waiting requests.
        """
        return len(self._backlog)

    def reconfigure(self, rules: AdmissionRules) -> None:
        """Apply new settings; requests already waiting keep their weights.

        :param rules: The new settings.
        """
        self._rules = rules
        self._backlog.limit = rules.queue_limit

    def update_servers(
        self, slots: Mapping[str, int], primary: str | None
    ) -> None:
        """Set the backend servers that requests may be sent to.

        A server that is no longer usable is kept without slots until its
        running statements have ended.

        :param slots: Concurrent statements per backend server usable now.
        :param primary: Name of the primary, if there is one.
        """
        for name, count in slots.items():
            server = self._servers.setdefault(name, ServerSlots(count))
            server.slots = count
        for name in self._servers.keys() - slots.keys():
            self._servers[name].slots = 0
            if not self._servers[name].in_flight:
                self._servers.pop(name)
        self._primary = primary
        self._primary_slots = slots.get(primary or '', self._primary_slots)

    def offer(self, ticket: Ticket, now: Millis) -> Accepted | Refused:
        """Queue a request if it can be answered before its deadline.

        Accepting a request may displace others of lower weight: see
        :meth:`take_ejected`.

        :param ticket: The request.
        :param now: The current time.
        :returns: Whether it was queued or refused.
        """
        entry = self._queue_entry(ticket)
        if not self._meets_deadline(entry, now, self._times.low):
            return self._refuse(entry, RefusalReason.LATE, now)
        full = self._backlog.full
        victims = self._backlog.admit(entry, self._forecast(now))
        if victims is None:
            reason = RefusalReason.FULL if full else RefusalReason.LATE
            return self._refuse(entry, reason, now)
        for victim in victims:
            self._eject(victim, RefusalReason.DISPLACED, now)
        return Accepted()

    def next_ready(self, now: Millis, choose: ChooseServer) -> list[Start]:
        """Dequeue the requests that can be started now.

        :param now: The current time.
        :param choose: Returns the backend server for a request, given the
            load of each server, or ``None`` if the request can't start now.
        :returns: The dequeued requests, already counted as started.
        """
        starts: list[Start] = []
        while True:
            start = self._pick_next(now, choose)
            if start is None:
                return starts
            self._backlog.discard(start.ticket)
            self.started(start.ticket, start.server, now)
            starts.append(start)

    def take_ejected(self, now: Millis) -> list[Ejected]:
        """Dequeue the accepted requests that will not be run.

        :param now: The current time.
        :returns: Requests that were displaced or can no longer meet their
            deadline.
        """
        for queue in (self._backlog.primary_queue, self._backlog.shared_queue):
            entry = queue.head()
            while entry and not self._meets_deadline(
                entry, now, self._times.low
            ):
                queue.discard(entry.ticket.number)
                self._eject(entry, RefusalReason.EXPIRED, now)
                entry = queue.head()
        forecast = self._forecast(now)
        for victim in self._backlog.shed(
            forecast, self._rules.overload_tolerance
        ):
            self._eject(victim, RefusalReason.EXPIRED, now)
        ejected = self._ejected.copy()
        self._ejected.clear()
        return ejected

    def started(self, ticket: Ticket, server: str, now: Millis) -> None:
        """Count a request as running on a backend server.

        Callers use this for requests that bypass the queue, such as the
        statements of an open transaction.

        :param ticket: The request.
        :param server: The backend server it was sent to.
        :param now: The current time.
        """
        slots = self._servers.setdefault(server, ServerSlots(0))
        cost = self._times.mean(ticket.kind, ticket.shape)
        slots.start(ticket.number, now + 2 * self._rules.one_way_delay, cost)
        self._server_names[ticket.number] = server

    def finished(
        self, ticket: Ticket, service_time: float | None, now: Millis
    ) -> None:
        """Release the slot of an answered request and record its time.

        :param ticket: The request.
        :param service_time: Time in ms on the backend server, if the answer
            reports it; otherwise it is derived from the start and finish
            times.
        :param now: The current time.
        """
        measured = self._release(ticket, now)
        if measured is None:
            return
        sample = measured if service_time is None else service_time
        self._times.add(ticket.kind, ticket.shape, sample)

    def failed(self, ticket: Ticket, now: Millis) -> None:
        """Release the slot of a request that failed.

        Its duration is not recorded: it says nothing about service times.

        :param ticket: The request.
        :param now: The current time.
        """
        self._release(ticket, now)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting request whose caller disconnected.

        :param ticket: The request.
        :returns: Whether it was waiting.
        """
        return self._backlog.discard(ticket) is not None

    def loads(self, now: Millis) -> dict[str, Load]:
        """Return the load of each backend server.

        :param now: The current time.
        :returns: Loads by name of the backend server.
        """
        mean = self._times.mean(StatementKind.READ)
        return {
            name: server.load(mean) for name, server in self._servers.items()
        }

    def _queue_entry(self, ticket: Ticket) -> QueueEntry:
        return QueueEntry(
            ticket,
            self._rules.weights.get(ticket.request_class, 1),
            self._times.mean(ticket.kind, ticket.shape),
        )

    def _meets_deadline(
        self, entry: QueueEntry, now: float, estimate: Estimate
    ) -> bool:
        ticket = entry.ticket
        service = estimate(ticket.kind, ticket.shape)
        return now + 2 * self._rules.one_way_delay + service <= ticket.deadline

    def _forecast(self, now: int) -> CapacityForecast:
        primary = Capacity()
        replicas = Capacity()
        for name, server in self._servers.items():
            busy = server.busy(now)
            if name == self._primary:
                primary = Capacity(server.slots, busy)
            else:
                replicas = replicas.plus(server.slots, busy)
        if not primary.slots:
            # During a failover, assume that a new primary with as many slots
            # is available before the deadlines.
            primary = Capacity(self._primary_slots)
        return CapacityForecast(
            primary, replicas, now + 2 * self._rules.one_way_delay
        )

    def _pick_next(self, now: Millis, choose: ChooseServer) -> Start | None:
        """Choose a request to start.

        Requests that meet their deadline even with the high estimate of the
        service time come first.
        """
        loads = self.loads(now)
        available = {
            name
            for name, server in self._servers.items()
            if server.remaining_window(
                2 * self._rules.one_way_delay, self._mean_service_time(name)
            )
            > 0
        }
        fallback = None
        for entry in self._startable(available, now):
            server = choose(entry.ticket, loads)
            if server is None or server not in available:
                continue
            begins = now + self._servers[server].wait(now)
            if self._meets_deadline(entry, begins, self._times.high):
                return Start(entry.ticket, server)
            if fallback is None:
                fallback = Start(entry.ticket, server)
        return fallback

    def _startable(
        self, available: set[str], now: Millis
    ) -> Iterator[QueueEntry]:
        entries: list[QueueEntry] = []
        if self._primary in available:
            entries += self._backlog.primary_queue.first(self._rules.scan_limit)
        if available:
            entries += self._backlog.shared_queue.first(self._rules.scan_limit)
        for entry in entries:
            if self._meets_deadline(entry, now, self._times.low):
                yield entry

    def _mean_service_time(self, server: str) -> float:
        kind = StatementKind.READ
        if server == self._primary and len(self._backlog.primary_queue):
            kind = StatementKind.WRITE
        return self._times.mean(kind)

    def _release(self, ticket: Ticket, now: Millis) -> float | None:
        name = self._server_names.pop(ticket.number, None)
        server = self._servers.get(name or '')
        if name is None or server is None:
            return None
        measured = server.finish(ticket.number, now)
        if not server.slots and not server.in_flight:
            self._servers.pop(name)
        return measured

    def _eject(
        self, entry: QueueEntry, reason: RefusalReason, now: Millis
    ) -> None:
        refusal = self._refuse(entry, reason, now)
        self._ejected.append(Ejected(entry.ticket, refusal))

    def _refuse(
        self, entry: QueueEntry, reason: RefusalReason, now: Millis
    ) -> Refused:
        """Refuse a request, with a retry delay until the queue has drained.

        Each refusal reserves the service time of the later retry, so that
        callers retry no faster than the backend servers can serve them.
        """
        queue = self._backlog.queue(entry.ticket)
        slots = self._primary_slots
        work = queue.total
        if queue is self._backlog.shared_queue:
            slots = sum(server.slots for server in self._servers.values())
            work = self._backlog.total
        slots = max(1, slots)
        primary_only = queue is self._backlog.primary_queue
        booked = max(self._booked_until[primary_only], now + work / slots)
        self._booked_until[primary_only] = booked + entry.cost / slots
        spread = 1 + self._rng.random() * self._rules.retry_spread
        after = (booked - now) * spread + self._rng.random() * 10
        return Refused(
            reason,
            Millis(max(1, min(self._rules.max_retry_after, int(after)))),
        )
