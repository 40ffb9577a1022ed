"""Chooses a backend server for each read by data age and load."""

import enum
from collections.abc import Iterable, Mapping
from typing import TypeAlias

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.freshness import (
    CLOCK_RESOLUTION_MS,
    Freshness,
    applied_offset,
)
from monsoonproxy.models import Position
from monsoonproxy.polling import Poll, PollPacer
from monsoonproxy.position_samples import PositionSamples


class RouteReason(enum.Enum):
    """Why a read is sent to a backend server, delayed or refused."""

    FRESH_REPLICA = 'replica within bound and floor'
    CATCHING_UP = 'replica about to catch up'
    AGE = 'no replica within the bound'
    FLOOR = 'no replica has applied the floor'
    NO_REPLICA = 'no usable replica'
    REPLICAS_BUSY = 'replicas answer too late'
    NO_PRIMARY = 'no usable primary'
    FUTURE_TERM = 'floor is of a later term'


@attrs.frozen
class RoutingRules:
    """Settings of read routing.

    :param one_way_delay: One-way network delay to a backend server.
    :param max_samples: Maximum number of samples of the primary's position.
    :param resolution: Relative spacing of old samples, see
        :class:`PositionSamples`.
    :param spill_wait: How much later than the primary a fresh replica may
        answer before the read is sent to the primary because of load.
    :param max_wait: Longest wait for a replica that is catching up.
    :param min_poll_pause: Minimum pause between polls of the primary. These
        polls are answered at once, because the time that a poll waits at the
        primary would add to the data ages.
    :param max_poll_pause: Maximum pause between polls of the primary.
    :param report_timeout: Longest time that a poll waits at a replica.
    """

    one_way_delay: Millis = Millis(1)
    max_samples: int = 4096
    resolution: int = 256
    spill_wait: Millis = Millis(50)
    max_wait: Millis = Millis(100)
    min_poll_pause: Millis = Millis(0)
    max_poll_pause: Millis = Millis(50)
    report_timeout: Millis = Millis(20)


@attrs.frozen
class Load:
    """Load of a backend server.

    :param free_slots: Slots without a running statement.
    :param queued: Statements that wait for a slot.
    :param service_time: Measured service time of a statement in ms.
    :param slots: Statements that the server runs concurrently.
    """

    free_slots: int
    queued: int
    service_time: float
    slots: int = 2

    def wait(self) -> float:
        """Estimate how long a new statement waits for a slot.

        :returns: The wait in ms.
        """
        if self.free_slots > self.queued:
            return 0
        behind = self.queued - self.free_slots + 1
        return self.service_time * behind / max(1, self.slots)


@attrs.frozen
class ReadRequest:
    """Consistency requirements of a read.

    :param max_age: Maximum data age in ms when the answer arrives.
    :param floor: Position that the answer must cover.
    :param deadline: Latest useful time of the answer.
    """

    max_age: int
    floor: Position | None
    deadline: Millis


@attrs.frozen
class Route:
    """A decision to send a read to a backend server now.

    :param server: Name of the backend server.
    :param reason: Why the server was chosen.
    :param term: Term in which the choice was made.
    :param applied: Minimum offset that the answer covers.
    :param generation: Generation of the server's data; it changes when the
        server loses applied data.
    """

    server: str
    reason: RouteReason
    term: int
    applied: int
    generation: int = 0


@attrs.frozen
class WaitFor:
    """A replica is about to be fresh enough for the read.

    :param server: Name of the replica.
    :param until: When to choose again, unless a report of the replica arrives
        earlier.
    :param reason: Why the read waits.
    """

    server: str
    until: Millis
    reason: RouteReason


@attrs.frozen
class NoRoute:
    """No backend server can serve the read now.

    :param reason: Why not.
    """

    reason: RouteReason


Choice: TypeAlias = Route | WaitFor | NoRoute


@attrs.frozen
class _Candidate:
    """A replica, with estimates of when it can serve a read.

    :param name: Name of the replica.
    :param answers_at: When the answer would arrive.
    :param ready_at: When its data will be fresh enough to send the read.
    """

    name: str
    answers_at: float
    ready_at: float


class Router(Freshness):
    """Chooses backend servers for the reads of one service.

    :param members: Names of the group's backend servers.
    :param rules: Settings.
    """

    def __init__(self, members: Iterable[str], rules: RoutingRules) -> None:
        super().__init__(
            members, PositionSamples(rules.max_samples, rules.resolution)
        )
        self._rules = rules
        self._poll_pacer = PollPacer(_DISTANCE_MEMORY_MS)

    def next_poll(self, name: str, now: Millis) -> Poll:
        """Return when and how to poll a backend server next.

        The primary is polled often while data ages are close to the bounds of
        recent reads. A replica is polled with a timeout, so that it reports
        each change at once; reads with a floor depend on it.

        :param name: Name of the backend server.
        :param now: The current time.
        :returns: The pause before the poll and its timeout.
        """
        rules = self._rules
        if name == self._primary:
            longest = rules.max_poll_pause
            pause = self._poll_pacer.pause(now, rules.min_poll_pause, longest)
            return Poll(pause, Millis(0))
        return Poll(Millis(0), rules.report_timeout)

    def choose_read(
        self, req: ReadRequest, load: Mapping[str, Load], now: Millis
    ) -> Choice:
        """Choose a backend server for a read that could start now.

        :param req: Requirements of the read.
        :param load: Load of each backend server.
        :param now: The current time.
        :returns: The server to send the read to, the replica to wait for, or
            why neither is possible.
        """
        floor = self._required_offset(req.floor)
        if floor is None:
            return NoRoute(RouteReason.FUTURE_TERM)
        replicas = [
            self._candidate(name, req, floor, load, now)
            for name, member in self._members.items()
            if name != self._primary and self._usable(name, member)
        ]
        reason = self._fallback_reason(replicas, req, floor)
        best = min(
            replicas,
            key=lambda replica: (replica.ready_at > now, replica.answers_at),
            default=None,
        )
        primary_at = self._primary_answers_at(load, now)
        if best is not None and best.ready_at <= now:
            spill = primary_at + self._rules.spill_wait
            if best.answers_at <= max(spill, now):
                return self._route(best.name, RouteReason.FRESH_REPLICA)
            reason = RouteReason.REPLICAS_BUSY
        elif best is not None and self._worth_waiting(best, primary_at, now):
            until = Millis(int(best.ready_at) + 1)
            return WaitFor(best.name, until, RouteReason.CATCHING_UP)
        if self._primary is None or primary_at == _NEVER:
            return NoRoute(RouteReason.NO_PRIMARY)
        return self._route(self._primary, reason)

    def primary_route(self) -> Route | None:
        """Return the route of a read that must be served by the primary.

        :returns: The route, or ``None`` if there is no primary.
        """
        if self._primary not in self._members:
            return None
        return self._route(self._primary, RouteReason.NO_REPLICA)

    def still_valid(
        self, route: Route, max_age: int, floor: Position | None, now: Millis
    ) -> bool:
        """Tell whether a received answer is fresh enough to be returned.

        A bound of 0 needs a confirmation of the term that was sent after the
        answer arrived: at ``now + 1``, because the clock truncates to whole
        ms. Callers wait for that confirmation and then call this method again
        with the same ``now``.

        :param route: The route by which the read was sent.
        :param max_age: Maximum data age in ms.
        :param floor: Position that the answer must cover.
        :param now: When the answer arrived.
        :returns: Whether the answer meets the bound and the floor.
        """
        member = self._members.get(route.server)
        needed = self._required_offset(floor)
        if member is None or needed is None or route.term != self._term:
            return False
        if route.server == self._primary:
            fresh: int | None = self._confirmed_at
        elif route.generation != member.generation or route.applied < needed:
            return False
        else:
            fresh = self._fresh_until(route.applied)
        return (
            fresh is not None and now + CLOCK_RESOLUTION_MS - fresh <= max_age
        )

    def _candidate(
        self,
        name: str,
        req: ReadRequest,
        floor: int,
        load: Mapping[str, Load],
        now: Millis,
    ) -> _Candidate:
        """Estimate when a replica can start the read and when it answers."""
        member = self._members[name]
        response_time = _response_time(
            load.get(name), self._rules.one_way_delay
        )
        fresh = self._fresh_until(applied_offset(member))
        if fresh is None:
            return _Candidate(name, _NEVER, _NEVER)
        missing = (
            now + CLOCK_RESOLUTION_MS + response_time - req.max_age - fresh
        )
        self._poll_pacer.add(abs(missing), now)
        # The age bound advances with time while the replica catches up, the
        # floor does not.
        delay = _catch_up_time(missing, member.apply_rate - 1)
        if applied_offset(member) < floor:
            gap = self._floor_gap(floor, fresh, now)
            delay = max(delay, _catch_up_time(gap, member.apply_rate))
        ready_at = now + delay
        return _Candidate(name, ready_at + response_time, ready_at)

    def _floor_gap(self, floor: int, fresh: int, now: int) -> int:
        covered_at = self._samples.covered_at(floor)
        if covered_at is None:
            covered_at = Millis(now)
        return max(1, covered_at - fresh)

    def _primary_answers_at(
        self, load: Mapping[str, Load], now: Millis
    ) -> float:
        name = self._primary
        member = self._members.get(name) if name else None
        if name and member and self._usable(name, member):
            return now + _response_time(
                load.get(name), self._rules.one_way_delay
            )
        return _NEVER

    def _worth_waiting(
        self, best: _Candidate, primary_at: float, now: Millis
    ) -> bool:
        soon = best.ready_at - now <= self._rules.max_wait
        return soon and best.answers_at < primary_at

    def _fallback_reason(
        self, replicas: list[_Candidate], req: ReadRequest, floor: int
    ) -> RouteReason:
        if not replicas:
            return RouteReason.NO_REPLICA
        applied = [
            applied_offset(self._members[replica.name]) for replica in replicas
        ]
        return RouteReason.FLOOR if max(applied) < floor else RouteReason.AGE

    def _route(self, name: str, reason: RouteReason) -> Route:
        member = self._members[name]
        applied = applied_offset(member)
        return Route(name, reason, self._term, applied, member.generation)


# Later than any time.
_NEVER = float('inf')
# Replicas whose lag is close to a bound usually stay there for longer.
_DISTANCE_MEMORY_MS = 1000


def _catch_up_time(missing: float, apply_rate: float) -> float:
    if missing <= 0:
        return 0
    return missing / apply_rate if apply_rate > 0 else _NEVER


def _response_time(load: Load | None, one_way_delay: int) -> float:
    if load is None:
        return 2 * one_way_delay
    return 2 * one_way_delay + load.wait() + load.service_time
