"""Chooses the backend server for a read."""

from collections.abc import Iterable, Mapping

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import Position

#: Weight of a new measurement in the moving average of answer times.
_LATENCY_SMOOTHING = 0.2
#: Assumed answer time in ms before any measurement.
_INITIAL_LATENCY = 10.0
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


@attrs.define
class ServerStats:
    """A daemon's measurements of one backend server.

    :param latency: Moving average of answer times in ms.
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
        self.failures -= self.failures * _FAILURE_SMOOTHING
        self.refusals = 0
        self.seen(position)
        self.timely_at = now if took < _TIMELY_LIMIT else None
        if now >= self.ejected_until:
            self.ejections = 0

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

    def cost(self) -> float:
        """Estimate the answer time of a read.

        :returns: The time in ms.
        """
        queued = self.running / max(1, self.slots)
        distance = 0 if self.in_own_zone else _CROSS_ZONE_COST
        opening = 0 if self.is_preferred else _OPENING_COST
        return self.stats.latency * (1 + queued) + distance + opening


def choose(
    targets: Iterable[ReadTarget],
    floor: Position | None,
    tried: Mapping[str, object],
    now: Millis,
) -> ReadTarget | None:
    """Choose the backend server for a read.

    Replicas are preferred to the leader, which serves the writes. Ejected
    backend servers are used only if there is no other. Ones that are about to
    leave are never chosen.

    :param targets: The backend servers.
    :param floor: Position that the read must reflect.
    :param tried: Backend servers that this read was sent to before.
    :param now: The time.
    :returns: The choice, or ``None`` if all were tried.
    """
    best: ReadTarget | None = None
    best_rank: tuple[int, float] = (0, 0)
    for target in targets:
        if target.name in tried or target.is_leaving:
            continue
        rank = (_preference(target, floor, now), target.cost())
        if best is None or rank < best_rank:
            best, best_rank = target, rank
    return best


def _preference(target: ReadTarget, floor: Position | None, now: Millis) -> int:
    """Return the rank of a target; 0 is best, a replica without known lag."""
    ejected = now < target.stats.ejected_until or not target.is_reachable
    lacking = target.stats.lacks(floor, now)
    if target.is_leader:
        return 3 if ejected else 1
    if ejected:
        return 4
    return 2 if lacking else 0
