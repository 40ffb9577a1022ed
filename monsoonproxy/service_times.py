"""Moving averages of the service times of statements."""

import attrs

from monsoonproxy.models import StatementKind


@attrs.define
class _Average:
    mean: float
    deviation: float
    count: int = 0

    def add(self, sample: float, weight: float) -> None:
        # The first samples get a higher weight, so that the average converges
        # quickly.
        self.count += 1
        share = max(weight, 1 / self.count)
        error = sample - self.mean
        self.mean += share * error
        self.deviation += share * (abs(error) - self.deviation)


class ServiceTimes:
    """Exponentially weighted averages per kind and statement shape.

    A shape without an average of its own uses the one of its kind.

    :param initial: Service time in ms assumed before any measurement.
    :param weight: Weight of a new sample.
    :param limit: Number of averages from which on no further shape gets an
        average of its own.
    """

    def __init__(self, initial: float, weight: float, limit: int) -> None:
        self._initial = initial
        self._weight = weight
        self._limit = limit
        self._averages: dict[tuple[StatementKind, str], _Average] = {}

    def add(self, kind: StatementKind, shape: str, sample: float) -> None:
        """Add a measured service time.

        :param kind: Kind of the statement.
        :param shape: Shape of the statement.
        :param sample: Service time in ms.
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
        """Estimate the mean service time of a statement.

        :param kind: Kind of the statement.
        :param shape: Shape of the statement.
        :returns: The estimate in ms.
        """
        average = self._find(kind, shape)
        return self._initial if average is None else average.mean

    def low(self, kind: StatementKind, shape: str = '') -> float:
        """Estimate the service time of a fast run of a statement.

        :param kind: Kind of the statement.
        :param shape: Shape of the statement.
        :returns: The mean less 3 mean deviations, in ms; 0 before any
            measurement.
        """
        average = self._find(kind, shape)
        if average is None:
            return 0
        return max(0, average.mean - 3 * average.deviation)

    def high(self, kind: StatementKind, shape: str = '') -> float:
        """Estimate the service time of a slow run of a statement.

        :param kind: Kind of the statement.
        :param shape: Shape of the statement.
        :returns: The mean plus 2 mean deviations, in ms.
        """
        average = self._find(kind, shape)
        if average is None:
            return self._initial
        return average.mean + 2 * average.deviation

    def _find(self, kind: StatementKind, shape: str) -> _Average | None:
        average = self._averages.get((kind, shape))
        return average or self._averages.get((kind, ''))
