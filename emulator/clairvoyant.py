"""The greatest weighted number of answers in time that any order allows.

Statements are taken as divisible and times are rounded in favour of the bound.
A class is worth its weight per ms of a slot, so serving classes in the order
of that density, each as far as possible, is best.
"""

from collections import deque
from collections.abc import Iterable

import attrs


@attrs.frozen
class Demand:
    """Requests of one class that arrived in one interval.

    :param first: First interval in which they can run.
    :param last: Last interval in which they can run.
    :param work: Their summed service time in ms.
    :param density: Weight per ms of service time.
    :param pools: Indexes of the pools of slots that can run them.
    """

    first: int
    last: int
    work: float
    density: float
    pools: tuple[int, ...]


class Schedule:
    """Assigns work to intervals of pools of slots.

    :param slots: Number of slots of each pool.
    :param width: Length of an interval in ms.
    """

    def __init__(self, slots: tuple[int, ...], width: int) -> None:
        self._capacity = [count * width for count in slots]
        #: Work of a demand that runs in a cell, by cell.
        self._cells: dict[tuple[int, int], dict[int, float]] = {}
        self._demands: list[Demand] = []

    def value(self, demands: Iterable[Demand]) -> float:
        """Return the bound.

        :param demands: All demands.
        :returns: The greatest sum of weights.
        """
        total: float = 0
        for demand in sorted(demands, key=_order):
            self._demands.append(demand)
            total += demand.density * self._place(demand)
        return total

    def _place(self, demand: Demand) -> float:
        left = demand.work
        while left > _TINY:
            moved = self._augment(len(self._demands) - 1, left)
            if not moved:
                break
            left -= moved
        return demand.work - left

    def _augment(self, index: int, wanted: float) -> float:
        """Place some work, moving earlier work elsewhere if needed."""
        came: dict[tuple[int, int], tuple[int, tuple[int, int] | None]] = {}
        seen = {index}
        queue = deque(self._reach(index, None, came))
        while queue:
            cell = queue.popleft()
            free = self._free(cell)
            if free > _TINY:
                return self._shift(cell, min(wanted, free), came)
            for other in self._cells.get(cell, {}):
                if other not in seen:
                    seen.add(other)
                    queue.extend(self._reach(other, cell, came))
        return 0

    def _reach(
        self,
        index: int,
        source: tuple[int, int] | None,
        came: dict[tuple[int, int], tuple[int, tuple[int, int] | None]],
    ) -> list[tuple[int, int]]:
        demand = self._demands[index]
        cells = [
            (pool, time)
            for pool in demand.pools
            for time in range(demand.first, demand.last + 1)
            if (pool, time) not in came
        ]
        came.update((cell, (index, source)) for cell in cells)
        return cells

    def _shift(
        self,
        cell: tuple[int, int],
        amount: float,
        came: dict[tuple[int, int], tuple[int, tuple[int, int] | None]],
    ) -> float:
        path = []
        here: tuple[int, int] | None = cell
        while here is not None:
            index, source = came[here]
            if source is not None:
                amount = min(amount, self._cells[source][index])
            path.append((here, index, source))
            here = source
        for target, moved, origin in path:
            work = self._cells.setdefault(target, {})
            work[moved] = work.get(moved, 0) + amount
            if origin is not None:
                self._take(origin, moved, amount)
        return amount

    def _take(self, cell: tuple[int, int], index: int, amount: float) -> None:
        rest = self._cells[cell][index] - amount
        self._cells[cell][index] = rest
        if rest <= _TINY:
            self._cells[cell].pop(index)

    def _free(self, cell: tuple[int, int]) -> float:
        used = sum(self._cells.get(cell, {}).values())
        return self._capacity[cell[0]] - used


_TINY = 1e-6


def _order(demand: Demand) -> tuple[float, int]:
    return -demand.density, demand.last
