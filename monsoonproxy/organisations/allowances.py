"""Decides whether this daemon has to ask for tokens, and whom."""

import collections
import random
from collections.abc import Iterable

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.organisations.holding import TOKEN_LIFETIME, Grant

_MS_PER_S = 1_000
#: Time in ms whose operations are asked for in advance. It is shorter than the
#: life of a token, so that few expire.
_PREFETCH_TIME = 300
#: Time constant in ms of the rate of operations.
_RATE_PERIOD = 1_000
#: Time in ms after a holder did not answer during which others are asked first.
_SUSPECT_PERIOD = Millis(1_000)
#: Bounds in ms of the time for which a holder without tokens is not asked,
#: before jitter: with shorter ones, each request gets a token at most, and with
#: longer ones tokens lie unused once the load has fallen.
_MIN_PAUSE, _MAX_PAUSE = 50, 800


@attrs.define
class _HolderState:
    """What this daemon knows about a holder of the limit.

    :param left: Tokens that it had left when it last answered.
    :param empty_until: Until when it is taken to have none, by the priority for
        which it had none.
    :param silent_at: When it last did not answer.
    """

    left: float = float('inf')
    empty_until: dict[int, Millis] = attrs.Factory(dict)
    silent_at: int = -_SUSPECT_PERIOD

    def may_have_tokens(self, priority: int, now: Millis) -> bool:
        return self.empty_until.get(priority, Millis(0)) <= now


class Allowance:
    """Tokens of one organisation that this daemon may use.

    :param rng: Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        #: Tokens by the time at which they expire.
        self._tokens: collections.deque[tuple[Millis, int]] = (
            collections.deque()
        )
        self._rate: float = 0
        self._counted_at = Millis(0)
        self._holders: dict[str, _HolderState] = {}

    def record_operation(self, now: Millis) -> None:
        """Count an operation, for the number of tokens to ask for.

        :param now: The time.
        """
        elapsed = max(0, now - self._counted_at)
        self._counted_at = now
        self._rate *= max(0, 1 - elapsed / _RATE_PERIOD)
        self._rate += _MS_PER_S / _RATE_PERIOD

    def take(self, now: Millis) -> bool:
        """Use a token.

        :param now: The time.
        :returns: Whether there was one that has not expired.
        """
        while self._tokens and self._tokens[0][0] <= now:
            self._tokens.popleft()
        if not self._tokens:
            return False
        expires_at, count = self._tokens.popleft()
        if count > 1:
            self._tokens.appendleft((expires_at, count - 1))
        return True

    def add(self, count: int, asked_at: Millis) -> None:
        """Add granted tokens.

        :param count: Number of tokens.
        :param asked_at: When they were asked for; they expire some time after
            that, however late the grant arrives.
        """
        if count > 0:
            expires_at = Millis(asked_at + TOKEN_LIFETIME)
            self._tokens.append((expires_at, count))

    @property
    def expected(self) -> int:
        """Return how many operations are expected soon."""
        return int(self._rate * _PREFETCH_TIME / _MS_PER_S)

    def order(
        self, holders: Iterable[str], priority: int, now: Millis
    ) -> list[str]:
        """Order the holders for a request.

        :param holders: Names of the daemons that hold the limit.
        :param priority: Priority of the operation; 0 is the highest.
        :param now: The time.
        :returns: Those that may have tokens: the ones that answer first, and of
            these the ones with most tokens.
        """
        known = {
            name: self._holders.setdefault(name, _HolderState())
            for name in holders
        }
        names = [
            name
            for name, state in known.items()
            if state.may_have_tokens(priority, now)
        ]
        self._rng.shuffle(names)
        names.sort(
            key=lambda name: (
                now - known[name].silent_at < _SUSPECT_PERIOD,
                -known[name].left,
            )
        )
        return names

    def retry_after(
        self, holders: Iterable[str], priority: int, now: Millis
    ) -> Millis:
        """Return after which time a refused operation may come back.

        :param holders: Names of the daemons that hold the limit.
        :param priority: Priority of the operation; 0 is the highest.
        :param now: The time.
        :returns: The time in ms, with jitter so that callers don't return
            together.
        """
        empty_until = [
            self._holders[name].empty_until.get(priority, now)
            for name in holders
            if name in self._holders
        ]
        wait = max(_MIN_PAUSE, min(empty_until, default=now) - now)
        return Millis(int(wait * self._rng.uniform(1, 2)))

    def record_grant(
        self, holder: str, grant: Grant, priority: int, now: Millis
    ) -> None:
        """Note what a holder answered.

        :param holder: Name of the holder.
        :param grant: Its answer.
        :param priority: Priority that was asked for; 0 is the highest.
        :param now: The time.
        """
        state = self._holders.setdefault(holder, _HolderState())
        state.left = grant.left
        if not grant.retry_after:
            return
        pause = min(_MAX_PAUSE, max(_MIN_PAUSE, grant.retry_after))
        until = Millis(now + int(pause * self._rng.uniform(1, 1.5)))
        empty = self._holders.values() if grant.is_contended else (state,)
        for each in empty:
            each.empty_until[priority] = until

    def record_silence(self, holder: str, now: Millis) -> None:
        """Note that a holder did not answer.

        :param holder: Name of the holder.
        :param now: The time.
        """
        state = self._holders.setdefault(holder, _HolderState())
        state.silent_at = now
