"""How often backend servers are polled for their positions."""

import attrs

from monsoonproxy.clock import Millis


@attrs.frozen
class Poll:
    """Schedule of the next poll of a backend server.

    :param pause: Time in ms between the server's last report and the poll.
    :param timeout: Timeout in ms of ``WAIT GROUP CHANGE``.
    """

    pause: Millis
    timeout: Millis


class PollPacer:
    """Derives the poll rate from the distance of data ages to read bounds.

    The closer data ages recently came to the bounds of reads, the more a fresh
    sample may change the choice of a backend server.

    :param window: Minimum time in ms for which a distance is kept; it expires
        within twice that time.
    """

    def __init__(self, window: int) -> None:
        self._window = window
        self._window_start = 0
        self._current_min = _NO_DISTANCE
        self._previous_min = _NO_DISTANCE

    def add(self, distance: float, now: Millis) -> None:
        """Record how far a data age was from the bound of a read.

        :param distance: Absolute distance in ms.
        :param now: The current time.
        """
        self._rotate(now)
        self._current_min = min(self._current_min, distance)

    def pause(self, now: Millis, shortest: int, longest: int) -> Millis:
        """Return how long to wait before the next poll.

        The pause is a sixteenth of the least recent distance: data that is
        older by that much seldom changes the choice of a backend server.

        :param now: The current time.
        :param shortest: Minimum pause in ms.
        :param longest: Maximum pause in ms.
        :returns: The pause in ms.
        """
        self._rotate(now)
        nearest = min(self._current_min, self._previous_min)
        return Millis(int(max(shortest, min(longest, nearest / 16))))

    def _rotate(self, now: int) -> None:
        elapsed = now - self._window_start
        if elapsed < self._window:
            return
        self._previous_min = (
            self._current_min if elapsed < 2 * self._window else _NO_DISTANCE
        )
        self._current_min = _NO_DISTANCE
        self._window_start = now


_NO_DISTANCE = float('inf')
