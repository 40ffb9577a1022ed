"""Measured service times of statements."""

import attrs

from monsoonproxy.models import StatementKind


@attrs.define
class _Average:
    mean: float
    deviation: float
    count: int = 0

    def add(self, sample: float, weight: float) -> None:
        # The first samples count fully, so that the start value fades fast.
        self.count += 1
        share = max(weight, 1 / self.count)
        error = sample - self.mean
        self.mean += share * error
        self.deviation += share * (abs(error) - self.deviation)


class ServiceTimes:
    """Exponentially weighted averages per kind and statement shape.

    :param initial: Assumed time in ms before anything was measured.
    :param weight: Weight of a new sample.
    :param limit: Greatest number of shapes with an average of their own.
    """

    def __init__(self, initial: float, weight: float, limit: int) -> None:
        self._initial = initial
        self._weight = weight
        self._limit = limit
        self._averages: dict[tuple[StatementKind, str], _Average] = {}

    def add(self, kind: StatementKind, shape: str, sample: float) -> None:
        """Take in a measured time.

        :param kind: Kind of the statement.
        :param shape: Its shape.
        :param sample: The time in ms.
        """
        for key in dict.fromkeys(((kind, shape), (kind, ''))):
            average = self._averages.get(key)
            if average is None:
                if len(self._averages) >= self._limit and key[1]:
                    continue
                average = _Average(sample, sample / 4)
                self._averages[key] = average
            average.add(sample, self._weight)

    def mean(self, kind: StatementKind, shape: str = '') -> float:
        """Estimate the time of a statement.

        :param kind: Kind of the statement.
        :param shape: Its shape.
        :returns: The estimate in ms.
        """
        average = self._find(kind, shape)
        return self._initial if average is None else average.mean

    def low(self, kind: StatementKind, shape: str = '') -> float:
        """Estimate the time that a fast run of the statement takes.

        :param kind: Kind of the statement.
        :param shape: Its shape.
        :returns: The estimate in ms; 0 before anything was measured.
        """
        average = self._find(kind, shape)
        if average is None:
            return 0
        return max(0, average.mean - 3 * average.deviation)

    def high(self, kind: StatementKind, shape: str = '') -> float:
        """Estimate the time that a slow run of the statement takes.

        :param kind: Kind of the statement.
        :param shape: Its shape.
        :returns: The estimate in ms.
        """
        average = self._find(kind, shape)
        if average is None:
            return self._initial
        return average.mean + 2 * average.deviation

    def _find(self, kind: StatementKind, shape: str) -> _Average | None:
        own = self._averages.get((kind, shape))
        return own or self._averages.get((kind, ''))
