"""Samples of a primary's log position, from which data ages are derived."""

import bisect

from monsoonproxy.clock import Millis


class PositionSamples:
    """Pairs ``(sent_at, offset)`` of one primary in one term.

    A pair means that every write committed before ``sent_at`` has an offset of
    at most ``offset``. A pair with a later time and no greater offset replaces
    an earlier one, so both columns are strictly increasing, whatever the order
    in which the reports arrive.

    :param limit: Maximum number of pairs kept.
    :param resolution: The spacing of pairs grows with their age: two pairs
        that are closer than ``age / resolution`` may be merged. The
        resolution is lowered as far as the limit requires.
    """

    def __init__(self, limit: int, resolution: int) -> None:
        self._limit = limit
        self._resolution = resolution
        self._times: list[int] = []
        self._offsets: list[int] = []

    def __len__(self) -> int:
        """Return the number of pairs.

        :returns: The number of pairs kept.
        """
        return len(self._times)

    def clear(self) -> None:
        """Remove all pairs; they are not valid in another term."""
        self._times.clear()
        self._offsets.clear()

    def add(self, sent_at: Millis, offset: int) -> None:
        """Add a pair, unless another one already implies it.

        :param sent_at: When the report was requested.
        :param offset: End of the primary's log in that report.
        """
        after = bisect.bisect_left(self._times, sent_at)
        if after < len(self._times) and self._offsets[after] <= offset:
            return
        same_time = self._times[after : after + 1] == [sent_at]
        stop = after + 1 if same_time else after
        start = bisect.bisect_left(self._offsets, offset, 0, stop)
        del self._times[start:stop]
        del self._offsets[start:stop]
        self._times.insert(start, sent_at)
        self._offsets.insert(start, offset)
        if len(self._times) > self._limit:
            self._thin()

    def fresh_until(self, applied: int) -> Millis | None:
        """Return the time up to which an applied offset has all writes.

        :param applied: Offset that a backend server has applied.
        :returns: A time before which no committed write is missing, or
            ``None`` if the offset covers no sample.
        """
        index = bisect.bisect_right(self._offsets, applied) - 1
        return Millis(self._times[index]) if index >= 0 else None

    def covered_at(self, offset: int) -> Millis | None:
        """Return when the primary's log is known to have reached an offset.

        :param offset: Offset of a write.
        :returns: Request time of the first sample that covers the offset, or
            ``None`` if no sample does.
        """
        index = bisect.bisect_left(self._offsets, offset)
        if index == len(self._offsets):
            return None
        return Millis(self._times[index])

    def _thin(self) -> None:
        """Thin out old samples, to free at least a quarter of the space.

        Freeing less would make this run too often.
        """
        resolution = self._resolution
        kept = self._spaced(resolution)
        while len(kept) > self._limit * 3 // 4 and resolution > 1:
            resolution //= 2
            kept = self._spaced(resolution)
        kept = kept[: self._limit * 3 // 4]
        kept.reverse()
        self._times = [self._times[index] for index in kept]
        self._offsets = [self._offsets[index] for index in kept]

    def _spaced(self, resolution: int) -> list[int]:
        newest = self._times[-1]
        oldest = bisect.bisect_left(self._times, newest - _MAX_LAG_MS)
        kept = [len(self._times) - 1]
        for index in range(len(self._times) - 2, oldest, -1):
            gap = self._times[kept[-1]] - self._times[index - 1]
            if gap * resolution > newest - self._times[index]:
                kept.append(index)
        if kept[-1] != oldest:
            kept.append(oldest)
        return kept


# Older samples are not needed: a replica that lags by more than ten minutes
# serves no reads before it has caught up.
_MAX_LAG_MS = 600_000
