"""Log positions that reads must reflect, from the answers of a primary."""

import collections

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import Position

#: Shortest time in ms between two kept samples. An age bound is rounded by at
#: most this much towards fresher data.
MIN_SAMPLE_INTERVAL = Millis(20)
#: Age in ms at which samples are dropped, above any age bound in use: 10 s is
#: four times the greatest bound of the known deployments.
MAX_SAMPLE_AGE = Millis(10_000)


@attrs.frozen
class Sample:
    """A position of the primary.

    :param sent_at: All commits acknowledged before this time are in the log
        at the position.
    :param position: The position.
    """

    sent_at: Millis
    position: Position


class Floors:
    """Samples of the primary's log position in one service.

    Only positions from answers that prove that the backend server led at that
    time may be added.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[Sample] = collections.deque()

    @property
    def latest(self) -> Sample | None:
        """Return the most recent sample.

        :returns: The sample, if there is any.
        """
        return self._samples[-1] if self._samples else None

    def add(self, sent_at: Millis, position: Position) -> None:
        """Add a sample, unless a later one is known already.

        :param sent_at: When the statement was sent.
        :param position: Position in the answer to the statement.
        """
        samples = self._samples
        while samples and samples[0].sent_at < sent_at - MAX_SAMPLE_AGE:
            samples.popleft()
        if samples and samples[-1].sent_at > sent_at:
            return
        if (
            len(samples) > 1
            and sent_at - samples[-2].sent_at < MIN_SAMPLE_INTERVAL
        ):
            samples.pop()
        samples.append(Sample(sent_at, position))

    def required(self, max_age: Millis, now: Millis) -> Position | None:
        """Return the lowest position that satisfies an age bound.

        :param max_age: Greatest age of the data in ms.
        :param now: The time.
        :returns: The position, or ``None`` if no sample is recent enough.
        """
        for sample in self._samples:
            if sample.sent_at >= now - max_age:
                return sample.position
        return None

    def age(self, now: Millis) -> int | None:
        """Return the age of the most recent sample.

        :param now: The time.
        :returns: The age in ms, or ``None`` if there is no sample.
        """
        latest = self.latest
        return None if latest is None else now - latest.sent_at
