"""Retry budget, backoff, and the rule for which statements are retried."""

import random

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import StatementKind

# These delimit a transaction, whose statements depend on each other and on
# their connection.
_NEVER_RETRIED = frozenset(
    (StatementKind.BEGIN, StatementKind.COMMIT, StatementKind.ROLLBACK),
)


@attrs.frozen
class RetryRules:
    """Settings of retries.

    :param ratio: Retries allowed per first try.
    :param floor: Retries allowed per second without any first try.
    :param burst: Greatest number of retries saved up.
    :param initial: Retries allowed before any first try.
    :param base: Upper bound of the first delay in ms.
    :param limit: Upper bound of any delay in ms.
    :param max_tries: Greatest number of tries of one request, the first one
        included.
    """

    ratio: float = 0.1
    floor: float = 1
    burst: float = 50
    initial: float = 1
    base: Millis = Millis(5)
    limit: Millis = Millis(1000)
    max_tries: int = 4


class RetryBudget:
    """Token bucket of one service, filled by first tries.

    :param rules: Settings.
    :param now: The time.
    """

    def __init__(self, rules: RetryRules, now: Millis = Millis(0)) -> None:
        self._rules = rules
        self._tokens = min(rules.initial, rules.burst)
        self._filled_at = now

    @property
    def tokens(self) -> float:
        """Return the retries left in the bucket at the last refill.

        :returns: The number of retries, which may be fractional.
        """
        return self._tokens

    def record_try(self, now: Millis) -> None:
        """Credit the budget for a first try.

        :param now: The time.
        """
        self._fill(now, self._rules.ratio)

    def take(self, now: Millis) -> bool:
        """Spend one retry if the budget allows it.

        :param now: The time.
        :returns: Whether the budget allows it.
        """
        self._fill(now, 0)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now: Millis, earned: float) -> None:
        elapsed = max(0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        earned += elapsed * self._rules.floor / 1000
        self._tokens = min(self._rules.burst, self._tokens + earned)


class Backoff:
    """Exponential delays with full jitter.

    :param rules: Settings.
    :param rng: Source of the jitter.
    """

    def __init__(self, rules: RetryRules, rng: random.Random) -> None:
        self._rules = rules
        self._rng = rng

    def delay(self, tries: int) -> Millis:
        """Return the delay before the next try.

        :param tries: How many tries have failed.
        :returns: A delay between 1 ms and the exponential limit.
        """
        doublings = min(max(0, tries - 1), 30)
        upper = min(self._rules.limit, self._rules.base << doublings)
        return Millis(self._rng.randint(1, max(1, upper)))


def may_retry(kind: StatementKind, repeatable: bool | None, sent: bool) -> bool:
    """Tell whether a statement may be retried without harm.

    :param kind: Kind of the statement.
    :param repeatable: Whether the caller marked it as repeatable; ``None``
        without a mark, in which case only a read is.
    :param sent: Whether the statement may have reached a backend server.
    :returns: Whether a retry can't run the statement a second time, or does no
        harm if it does.
    """
    if kind in _NEVER_RETRIED:
        return False
    if not sent:
        return True
    if repeatable is None:
        return kind is StatementKind.READ
    return repeatable
