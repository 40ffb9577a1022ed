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


class Nearness:
    """Remembers how near data ages recently came to the bounds of reads.

    :param window: Time in ms for which a distance is remembered at least; it
        is forgotten within twice that time.
    """

    def __init__(self, window: int) -> None:
        self._window = window
        self._since = 0
        self._current = _FAR
        self._previous = _FAR

    def add(self, distance: float, now: Millis) -> None:
        """Take in how far an age was from a bound.

        :param distance: Distance in ms, on either side.
        :param now: The time.
        """
        self._turn(now)
        self._current = min(self._current, distance)

    def pause(self, now: Millis, shortest: int, longest: int) -> Millis:
        """Return how long to wait before the next poll.

        A sixteenth of the distance makes little difference to the choice.

        :param now: The time.
        :param shortest: Least pause.
        :param longest: Greatest pause.
        :returns: The pause in ms.
        """
        self._turn(now)
        nearest = min(self._current, self._previous)
        return Millis(int(max(shortest, min(longest, nearest / 16))))

    def _turn(self, now: int) -> None:
        elapsed = now - self._since
        if elapsed < self._window:
            return
        self._previous = self._current if elapsed < 2 * self._window else _FAR
        self._current = _FAR
        self._since = now


_FAR = float('inf')
