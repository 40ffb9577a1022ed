"""Token buckets that bound the operations of an organisation."""

import attrs

from monsoonproxy.clock import Millis

_MS_PER_S = 1_000


@attrs.define
class TokenBucket:
    """A token bucket; a token is the right to run one operation.

    In any span of ``t`` seconds, it gives at most ``rate * t + burst`` tokens.

    :param rate: Tokens per second.
    :param burst: Greatest number of tokens that it holds.
    :param filled_at: When ``level`` was computed.
    :param level: Tokens at that time.
    """

    rate: float
    burst: float
    filled_at: Millis
    level: float = 0

    def reconfigure(self, rate: float, burst: float, now: Millis) -> None:
        """Apply new limits; tokens above the new burst are lost.

        :param rate: Tokens per second.
        :param burst: Greatest number of tokens that it holds.
        :param now: The time.
        """
        self.fill(now)
        self.rate, self.burst = rate, burst
        self.level = min(self.level, burst)

    def fill(self, now: Millis) -> float:
        """Add the tokens that have come since the last call.

        :param now: The time; an earlier one than before counts as the same.
        :returns: The tokens that it holds.
        """
        elapsed = max(0, now - self.filled_at)
        self.filled_at = max(now, self.filled_at)
        earned = elapsed * self.rate / _MS_PER_S
        self.level = min(self.burst, self.level + earned)
        return self.level

    def take(self, wanted: int, now: Millis, keep: float = 0) -> int:
        """Take up to some tokens.

        :param wanted: Number of tokens.
        :param now: The time.
        :param keep: Tokens that must be left.
        :returns: How many were taken.
        """
        taken = max(0, min(wanted, int(self.fill(now) - keep)))
        self.level -= taken
        return taken

    def time_until(self, tokens: float) -> Millis:
        """Return after which time it will hold some tokens.

        :param tokens: Number of tokens.
        :returns: The time in ms since the last fill, at most a minute.
        """
        missing = tokens - self.level
        if missing <= 0:
            return Millis(0)
        if self.rate <= 0:
            return _LONGEST_WAIT
        wait = missing * _MS_PER_S / self.rate
        return Millis(min(_LONGEST_WAIT, int(wait) + 1))


#: Longest time in ms that a refusal names.
_LONGEST_WAIT = Millis(60_000)
