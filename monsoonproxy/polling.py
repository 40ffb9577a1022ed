"""How often backend servers are to be polled for their positions."""

import attrs

from monsoonproxy.clock import Millis


@attrs.frozen
class Poll:
    """How to poll a backend server.

    :param pause: Time in ms between its last report and the poll.
    :param timeout: Timeout in ms of ``WAIT GROUP CHANGE``.
    """

    pause: Millis
    timeout: Millis


class PollPacer:
    """Remembers how near data ages recently came to the bounds of reads.

    :param window: Time in ms for which a distance is remembered at least; it
        is forgotten within twice that time.
    """

    def __init__(self, window: int) -> None:
        self._window = window
        self._window_start = 0
        self._current_min = _NO_DISTANCE
        self._previous_min = _NO_DISTANCE

    def add(self, distance: float, now: Millis) -> None:
        """Take in how far an age was from a bound.

        :param distance: Distance in ms, on either side.
        :param now: The time.
        """
        self._rotate(now)
        self._current_min = min(self._current_min, distance)

    def pause(self, now: Millis, shortest: int, longest: int) -> Millis:
        """Return how long to wait before the next poll.

        A sixteenth of the distance makes little difference to the choice.

        :param now: The time.
        :param shortest: Least pause.
        :param longest: Greatest pause.
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
