"""Choice of a backend server for a read."""

from collections.abc import Iterable, Mapping

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import Position

#: Weight of a new measurement in the moving average of answer times.
_LATENCY_SMOOTHING = 0.2
#: Assumed time of an answer in ms before any measurement.
_INITIAL_LATENCY = 10.0
#: Time in ms that a read between availability zones takes longer; breaks
#: ties in favour of the own zone.
_CROSS_ZONE_COST = 2.0
#: Time in ms for which a backend server that failed gets no reads; doubles
#: with each further failure.
_FIRST_EJECTION = 250
_MAX_EJECTION = 4_000
#: Time in ms within which an answer is as fast as without any queue, and for
#: how long it shows that the backend server has time for more.
_TIMELY_LIMIT = 60
_TIMELY_PERIOD = 300
#: Share of failed answers above which a backend server is set aside.
_FAILURE_LIMIT = 0.15
_FAILURE_SMOOTHING = 0.1
#: Time in ms after which a backend server that refused a read for its lag is
#: tried again without other news of its position; doubles with each further
#: refusal.
_FIRST_LAG_PAUSE = 20
_MAX_LAG_PAUSE = 320


@attrs.define
class ServerStats:
    """What a daemon knows about one backend server.

    :param latency: Moving average of answer times in ms.
    :param failures: Moving average of the share of failed answers.
    :param position: Greatest position seen in its answers.
    :param lagging_until: Until when it is taken for too far behind.
    :param behind: Position that it lacked.
    :param refusals: How often it was too far behind in a row.
    :param ejected_until: Until when it gets no reads.
    :param ejections: How often it was set aside in a row.
    :param timely_at: When it last answered without a queue, or ``None``.
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
        """Take in a good answer.

        :param took: Time in ms that it took.
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
        """Tell whether its latest answer is recent and came at once.

        :param now: The time.
        :returns: Whether it has time for more.
        """
        return (
            self.timely_at is not None and now - self.timely_at < _TIMELY_PERIOD
        )

    def seen(self, position: Position | None) -> None:
        """Take in a position.

        :param position: Position of the backend server.
        """
        if position is None:
            return
        if self.position is None or position > self.position:
            self.position = position

    def lagged(self, floor: Position, now: Millis) -> None:
        """Take in that it refused a read since it lacks a position.

        :param floor: The position.
        :param now: The time.
        """
        if now < self.lagging_until and self.behind is not None:
            # Several reads found it behind at the same time.
            self.behind = min(self.behind, floor)
            return
        self.behind = floor
        pause = min(_MAX_LAG_PAUSE, _FIRST_LAG_PAUSE << self.refusals)
        self.refusals = min(self.refusals + 1, 8)
        self.lagging_until = now + pause

    def failed(self, now: Millis, *, lost: bool) -> None:
        """Take in a failed or missing answer.

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
        """Tell whether it probably lacks a position still.

        :param floor: The position.
        :param now: The time.
        :returns: Whether it refused a read for it just now.
        """
        if floor is None or self.behind is None or now >= self.lagging_until:
            return False
        return floor >= self.behind


@attrs.frozen
class ReadTarget:
    """A backend server that could serve a read.

    :param name: Its identity.
    :param stats: What is known about it.
    :param running: Own statements in work on it.
    :param slots: Statements that it runs at once.
    :param in_own_zone: Whether it is in the own availability zone.
    :param is_leader: Whether it leads.
    :param is_leaving: Whether it is about to leave.
    :param is_reachable: Whether a connection is open or may be opened.
    """

    name: str
    stats: ServerStats
    running: int
    slots: int
    in_own_zone: bool
    is_leader: bool
    is_leaving: bool = False
    is_reachable: bool = True

    def cost(self) -> float:
        """Estimate when a read would be answered.

        :returns: A time in ms.
        """
        queued = self.running / max(1, self.slots)
        distance = 0 if self.in_own_zone else _CROSS_ZONE_COST
        return self.stats.latency * (1 + queued) + distance


def choose(
    targets: Iterable[ReadTarget],
    floor: Position | None,
    tried: Mapping[str, object],
    now: Millis,
) -> ReadTarget | None:
    """Choose the backend server for a read.

    A replica is preferred to the leader, which has writes to do. Backend
    servers that were set aside are used if there is no other.

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
    """Rank an target: 0 is a replica that should answer at once."""
    ejected = now < target.stats.ejected_until or not target.is_reachable
    lacking = target.stats.lacks(floor, now)
    if target.is_leader:
        return 3 if ejected else 1
    if ejected:
        return 4
    return 2 if lacking else 0
