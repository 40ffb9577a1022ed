"""Usual length of transactions, to tell at BEGIN whether one can still end."""

from monsoonproxy.clock import Millis

#: Weight of the latest transaction in the moving average.
_WEIGHT = 0.1
#: Database names for which an average is kept. Configurations can bring new
#: names as long as the daemon runs.
_MAX_NAMES = 1_000


class TransactionTimes:
    """Averages how long transactions take that were committed.

    The average is kept for each database name, since the callers of one route
    do the same work.
    """

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def record(self, database: str, took: Millis) -> None:
        """Add a transaction to the average.

        :param database: Database name of its session.
        :param took: Time in ms from its BEGIN to its COMMIT.
        """
        is_new = database not in self._averages
        if is_new and len(self._averages) >= _MAX_NAMES:
            self._averages.clear()
        average = self._averages.get(database, float(took))
        average += (took - average) * _WEIGHT
        self._averages[database] = average

    def usual(self, database: str) -> Millis:
        """Return the average time.

        :param database: Database name of a session.
        :returns: The time in ms; 0 if none was committed so far.
        """
        return Millis(int(self._averages.get(database, 0)))
