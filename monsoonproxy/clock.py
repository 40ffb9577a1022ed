"""Clocks and durations in milliseconds."""

import time
from typing import NewType

Millis = NewType('Millis', int)

_NANOS_PER_MILLI = 1_000_000


class Clock:
    """Reads the system's clocks.

    Modules that only decide never read a clock: their callers pass the current
    time as an argument.
    """

    def now(self) -> Millis:
        """Return the monotonic time, including time spent suspended.

        Without that time, a host that was suspended would take old data for
        fresh.

        :returns: Milliseconds since an arbitrary start.
        """
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanos // _NANOS_PER_MILLI)

    def wall(self) -> Millis:
        """Return the wall-clock time, for reports and expiry dates only.

        :returns: Milliseconds since the Unix epoch.
        """
        return Millis(time.time_ns() // _NANOS_PER_MILLI)


def seconds(duration: int) -> float:
    """Convert a duration to seconds.

    :param duration: A duration in ms.
    :returns: The same duration in seconds.
    """
    return duration / 1000
