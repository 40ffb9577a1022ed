"""Chooses the backend server for a read."""

import math
import random
from collections.abc import Iterable, Mapping

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import Position

#: Weight of a new measurement in the moving average of answer times.
_LATENCY_SMOOTHING = 0.2
#: The same in the average of times without queueing, while they get longer.
_USUAL_SMOOTHING = 0.01
#: Answers after which the usual time is known.
_MIN_ANSWERS = 10
#: Multiple of the usual answer time from which statements queue.
_CONGESTED_FACTOR = 2.5
#: Assumed answer time in ms before any measurement.
_INITIAL_LATENCY = 10.0
#: Exponent with which a shorter expected time makes a choice more likely. With
#: more, daemons that know the same choose the same backend server at once; with
#: less, slow ones get more than they can serve.
_PREFERENCE = 2
#: Time constant in ms with which a measured queue is forgotten.
_KNOWLEDGE_PERIOD = 500
#: Least answer time in ms in comparisons.
_LEAST_LATENCY = 1.0
#: Time in ms that a read takes longer between availability zones; it breaks
#: ties in favour of the own zone.
_CROSS_ZONE_COST = 2.0
#: Time in ms that a read takes longer where a connection for it has to be
#: opened first.
_OPENING_COST = 12.0
#: Time in ms for which a backend server that failed gets no reads; doubles
#: with each further failure.
_FIRST_EJECTION = 250
_MAX_EJECTION = 4_000
#: Answer time in ms below which a read did not queue, and the time in ms for
#: which such an answer shows that the backend server has spare capacity.
_TIMELY_LIMIT = 60
_TIMELY_PERIOD = 300
#: Share of failed answers at which a backend server is ejected, and the weight
#: of a new answer in its moving average.
_FAILURE_LIMIT = 0.15
_FAILURE_SMOOTHING = 0.1
#: Time in ms after which a backend server that refused a read because of its
#: replication lag is tried again; doubles with each further refusal.
_FIRST_LAG_PAUSE = 20
_MAX_LAG_PAUSE = 320

_rng = random.Random()


@attrs.define
class ServerStats:
    """A daemon's measurements of one backend server.

    :param latency: Moving average of answer times in ms.
    :param usual: The same while statements don't queue there.
    :param answered_at: When the latest answer came.
    :param answers: Number of answers.
    :param failures: Moving average of the share of failed answers.
    :param position: Greatest position seen in its answers.
    :param lagging_until: Until when the backend server is taken to lack
        ``behind``.
    :param behind: Lowest position that it lacked when it refused a read.
    :param refusals: Refusals because of lag in a row.
    :param ejected_until: Until when the backend server gets no reads.
    :param ejections: Ejections in a row.
    :param timely_at: When the latest answer came, if it came without queueing;
        or else ``None``.
    """

    latency: float = _INITIAL_LATENCY
    usual: float = _INITIAL_LATENCY
    answered_at: Millis = Millis(0)
    answers: int = 0
    failures: float = 0
    position: Position | None = None
    lagging_until: int = 0
    behind: Position | None = None
    refusals: int = 0
    ejected_until: int = 0
    ejections: int = 0
    timely_at: Millis | None = None

    def answered(
        self, took: float, position: Position | None, now: Millis
    ) -> None:
        """Record a successful answer.

        :param took: Answer time in ms.
        :param position: Position of the backend server.
        :param now: The time.
        """
        self.latency += (took - self.latency) * _LATENCY_SMOOTHING
        self.answered_at = now
        self.answers += 1
        if self.latency < self.usual or self.answers <= _MIN_ANSWERS:
            self.usual = self.latency
        else:
            self.usual += (self.latency - self.usual) * _USUAL_SMOOTHING
        self.failures -= self.failures * _FAILURE_SMOOTHING
        self.refusals = 0
        self.seen(position)
        self.timely_at = now if took < _TIMELY_LIMIT else None
        if now >= self.ejected_until:
            self.ejections = 0

    @property
    def is_congested(self) -> bool:
        """Tell whether statements queue there."""
        return self.latency > _CONGESTED_FACTOR * self.usual

    def expected_latency(self, now: Millis) -> float:
        """Return the answer time that is expected now.

        A queue that was measured some time ago has probably been served since.

        :param now: The time.
        :returns: The time in ms; from the latest average, it comes closer to
            the usual one the older that is.
        """
        age = max(0, now - self.answered_at)
        weight = math.exp(-age / _KNOWLEDGE_PERIOD)
        return self.usual + (self.latency - self.usual) * weight

    def is_timely(self, now: Millis) -> bool:
        """Tell whether the latest answer is recent and came without queueing.

        :param now: The time.
        :returns: Whether the backend server has spare capacity.
        """
        return (
            self.timely_at is not None and now - self.timely_at < _TIMELY_PERIOD
        )

    def seen(self, position: Position | None) -> None:
        """Record a position if it is the greatest one seen.

        :param position: Position of the backend server, if it is known.
        """
        if position is None:
            return
        if self.position is None or position > self.position:
            self.position = position

    def lagged(self, floor: Position, now: Millis) -> None:
        """Record that the backend server refused a read because of its lag.

        :param floor: Position that the read required.
        :param now: The time.
        """
        if now < self.lagging_until and self.behind is not None:
            # Concurrent reads were refused as well; they count as one refusal.
            self.behind = min(self.behind, floor)
            return
        self.behind = floor
        pause = min(_MAX_LAG_PAUSE, _FIRST_LAG_PAUSE << self.refusals)
        self.refusals = min(self.refusals + 1, 8)
        self.lagging_until = now + pause

    def failed(self, now: Millis, *, lost: bool) -> None:
        """Record a failed or missing answer; eject the backend server if due.

        :param now: The time.
        :param lost: Whether there was no answer at all.
        """
        self.failures += (1 - self.failures) * _FAILURE_SMOOTHING
        if not lost and self.failures < _FAILURE_LIMIT:
            return
        if now < self.ejected_until:
            return
        pause = min(_MAX_EJECTION, _FIRST_EJECTION << self.ejections)
        self.ejections = min(self.ejections + 1, 8)
        self.ejected_until = now + pause

    def lacks(self, floor: Position | None, now: Millis) -> bool:
        """Tell whether the backend server probably still lacks a position.

        :param floor: The position, if one is required.
        :param now: The time.
        :returns: Whether it recently refused a read for that position or an
            earlier one.
        """
        if floor is None or self.behind is None or now >= self.lagging_until:
            return False
        return floor >= self.behind


@attrs.frozen
class ReadTarget:
    """A backend server that could serve a read.

    :param name: Identity of the backend server.
    :param stats: Measurements of the backend server.
    :param running: Statements of this daemon in work or waiting there.
    :param slots: Statements that the backend server runs at once.
    :param in_own_zone: Whether it is in the daemon's availability zone.
    :param is_leader: Whether it leads.
    :param is_leaving: Whether it is about to leave.
    :param is_reachable: Whether a connection is open or may be opened.
    :param is_preferred: Whether a connection of the organisation that reads is
        probably open.
    """

    name: str
    stats: ServerStats
    running: int
    slots: int
    in_own_zone: bool
    is_leader: bool
    is_leaving: bool = False
    is_reachable: bool = True
    is_preferred: bool = True

    def cost(self, now: Millis) -> float:
        """Estimate the answer time of a read.

        :param now: The time.
        :returns: The time in ms, above 0.
        """
        queued = self.running / max(1, self.slots)
        distance = 0 if self.in_own_zone else _CROSS_ZONE_COST
        opening = 0 if self.is_preferred else _OPENING_COST
        latency = max(_LEAST_LATENCY, self.stats.expected_latency(now))
        return latency * (1 + queued) + distance + opening


def choose(
    targets: Iterable[ReadTarget],
    floor: Position | None,
    tried: Mapping[str, object],
    now: Millis,
    rng: random.Random = _rng,
) -> ReadTarget | None:
    """Choose the backend server for a read.

    Replicas are preferred to the leader, which serves the writes. Ejected
    backend servers are used only if there is no other. Ones that are about to
    leave are never chosen. Between equals the choice is random, since all
    daemons choose at the same moment with old measurements: one that is
    expected to be twice as fast is chosen four times as often.

    :param targets: The backend servers.
    :param floor: Position that the read must reflect.
    :param tried: Backend servers that this read was sent to before.
    :param now: The time.
    :param rng: Source of randomness.
    :returns: The choice, or ``None`` if all were tried.
    """
    equals, weights = weigh(targets, floor, tried, now)
    if len(equals) < 2:
        return equals[0] if equals else None
    return rng.choices(equals, weights)[0]


def weigh(
    targets: Iterable[ReadTarget],
    floor: Position | None,
    tried: Mapping[str, object],
    now: Millis,
) -> tuple[list[ReadTarget], list[float]]:
    """Return the backend servers that a read may go to, with their weights.

    :param targets: The backend servers.
    :param floor: Position that the read must reflect.
    :param tried: Backend servers that this read was sent to before.
    :param now: The time.
    :returns: The best ones, and in which proportion they are chosen.
    """
    usable = [
        (_preference(target, floor, now), target)
        for target in targets
        if target.name not in tried and not target.is_leaving
    ]
    best = min((rank for rank, _target in usable), default=0)
    equals = [target for rank, target in usable if rank == best]
    costs = [target.cost(now) for target in equals]
    return equals, [(min(costs) / cost) ** _PREFERENCE for cost in costs]


def _preference(target: ReadTarget, floor: Position | None, now: Millis) -> int:
    """Return the rank of a target; 0 is best, a replica without known lag."""
    ejected = now < target.stats.ejected_until or not target.is_reachable
    lacking = target.stats.lacks(floor, now)
    if target.is_leader:
        return 3 if ejected else 1
    if ejected:
        return 4
    return 2 if lacking else 0
