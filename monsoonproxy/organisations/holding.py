"""Decides how many operations of an organisation this daemon may grant.

A few daemons hold the limit of an organisation, each an equal part of it.
"""

from collections.abc import Callable, Mapping

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.organisations.buckets import TokenBucket
from monsoonproxy.organisations.directory import Organisation

#: Daemons that hold parts of an organisation's limit. With five, the loss of
#: one or two leaves enough for the usual load, since limits are well above it.
HOLDERS = 5
#: Time in ms for which a granted token may be used.
TOKEN_LIFETIME = Millis(500)
#: Time in ms after which a daemon that was listed takes over parts of limits:
#: those that held them have heard of it, and their tokens have expired.
TAKEOVER_DELAY = Millis(3_000)
#: Share of a bucket that only operations of the highest priority may use, and
#: the least size of a bucket that has such a share.
_RESERVED_SHARE = 0.33
_RESERVABLE = 3.0
#: Least number of tokens that a bucket can hold. Operations are whole and come
#: at random, so with less a small organisation is refused below its limit.
_MIN_BURST = 3.0
#: Time constant in ms of the number of refused operations.
_REFUSAL_PERIOD = 1_000


@attrs.frozen
class Demand:
    """What a daemon asks for.

    :param organisation: Name of the organisation.
    :param count: Number of operations that wait.
    :param expected: Number of operations that are expected soon.
    :param priority: Highest priority of those that wait; 0 is the highest.
    """

    organisation: str
    count: int
    expected: int
    priority: int


@attrs.frozen
class Grant:
    """Answer to a request for tokens.

    :param count: Number of tokens.
    :param left: Tokens that the holder has left.
    :param retry_after: Time in ms after which more are expected, if too few
        were granted.
    :param is_contended: Whether the holder has recently refused so many
        operations that the others have no tokens either.
    """

    count: int
    left: float = 0
    retry_after: Millis = Millis(0)
    is_contended: bool = False


@attrs.define
class _DecayingCount:
    """Number of recent events, whose weight decreases linearly.

    :param count: The number at ``counted_at``.
    :param counted_at: When it was computed.
    """

    count: float = 0
    counted_at: Millis = Millis(0)

    def add(self, number: int, now: Millis) -> float:
        """Add events; return the number of recent ones.

        :param number: Number of events.
        :param now: The time.
        :returns: The number, at least that of the new ones.
        """
        elapsed = max(0, now - self.counted_at)
        self.counted_at = now
        self.count *= max(0, 1 - elapsed / _REFUSAL_PERIOD)
        self.count += number
        return self.count


class Holding:
    """The parts of limits that this daemon holds.

    :param own: Name of this daemon.
    :param holders: Returns the names of the daemons that hold the limit of an
        organisation.
    :param started_at: When this process started.
    """

    def __init__(
        self,
        own: str,
        holders: Callable[[str], tuple[str, ...]],
        started_at: Millis,
    ) -> None:
        self._own = own
        self._started_at = started_at
        self._holders = holders
        #: From when this daemon may grant tokens; ``None`` until it knows all
        #: listed daemons, since it would take itself for the only holder.
        self._starts_at: Millis | None = None
        self._organisations: Mapping[str, Organisation] = {}
        self._best_priority = 0
        self._buckets: dict[str, TokenBucket] = {}
        #: Refused operations by organisation and whether they were urgent.
        self._refused: dict[tuple[str, bool], _DecayingCount] = {}

    def start(self, now: Millis, *, was_listed: bool) -> None:
        """Begin to grant tokens, once all listed daemons are known.

        If it was restarted, its buckets are empty at the start of this process,
        and the tokens that the former one granted expire first.

        :param now: The time.
        :param was_listed: Whether it was listed before it started, so that the
            others know that it holds parts of limits.
        """
        if self._starts_at is not None:
            return
        if was_listed:
            expired_at = Millis(self._started_at + TOKEN_LIFETIME)
            self._starts_at = max(now, expired_at)
            self._update(self._started_at)
        else:
            self._starts_at = Millis(now + TAKEOVER_DELAY)
            self._update(self._starts_at)

    def configure(
        self,
        organisations: Mapping[str, Organisation],
        best_priority: int,
        now: Millis,
    ) -> None:
        """Apply the limits of a configuration.

        :param organisations: The organisations by name.
        :param best_priority: Highest priority of any route; 0 is the highest.
        :param now: The time.
        """
        self._organisations = organisations
        self._best_priority = best_priority
        self._update(now)

    def update_daemons(self, now: Millis) -> None:
        """Apply a change of the listed daemons.

        Parts that others hold now are dropped. Those that others held before
        are granted from when these have heard of the change.

        :param now: The time.
        """
        self._update(Millis(now + TAKEOVER_DELAY))

    def grant(self, demand: Demand, now: Millis) -> Grant | None:
        """Grant tokens for operations of an organisation.

        :param demand: What a daemon asks for.
        :param now: The time.
        :returns: The grant, or ``None`` if this daemon does not hold a part of
            the limit, or not yet.
        """
        bucket = self._buckets.get(demand.organisation)
        if bucket is None or self._starts_at is None:
            return None
        if now < max(bucket.filled_at, self._starts_at):
            return None
        is_urgent = demand.priority <= self._best_priority
        has_reserve = bucket.burst >= _RESERVABLE and not is_urgent
        keep = bucket.burst * _RESERVED_SHARE if has_reserve else 0
        granted = bucket.take(demand.count + demand.expected, now, keep)
        left = bucket.level - keep
        if granted >= demand.count:
            return Grant(granted, left)
        refused = self._refused.setdefault(
            (demand.organisation, is_urgent), _DecayingCount()
        )
        recent = refused.add(demand.count - granted, now)
        wait = bucket.time_until(keep + max(1, min(recent, bucket.rate)))
        is_contended = recent > bucket.burst + bucket.rate
        return Grant(granted, left, wait, is_contended)

    @property
    def is_started(self) -> bool:
        """Tell whether all listed daemons are known."""
        return self._starts_at is not None

    def parts(self) -> dict[str, TokenBucket]:
        """Return the buckets that this daemon holds, by organisation."""
        return dict(self._buckets)

    def _update(self, from_time: Millis) -> None:
        """Make and change buckets; new ones begin empty at a time."""
        if self._starts_at is None:
            return
        held = (
            each
            for each in self._organisations.values()
            if each.rate and self._own in self._holders(each.name)
        )
        self._buckets = {
            each.name: self._update_bucket(each, from_time) for each in held
        }

    def _update_bucket(
        self, organisation: Organisation, from_time: Millis
    ) -> TokenBucket:
        parts = len(self._holders(organisation.name))
        rate = organisation.rate / parts
        burst = max(_MIN_BURST, organisation.burst / parts)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            return TokenBucket(rate, burst, from_time)
        if (bucket.rate, bucket.burst) != (rate, burst):
            bucket.reconfigure(rate, burst, bucket.filled_at)
        return bucket
