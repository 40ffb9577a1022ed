"""Sizing of a connection pool: when to open and close connections.

The decisions do no I/O; the caller carries out the returned commands.
"""

import collections
import enum
import math
from collections.abc import Mapping
from typing import TypeAlias

import attrs

from monsoonproxy.clock import Millis


class CloseReason(enum.Enum):
    """Reason for closing a connection."""

    IDLE = 'idle'
    NOT_CLEAN = 'state unknown'
    OVER_QUOTA = 'over quota'
    NOT_HOLDER = 'no longer holder'
    LEAVING = 'backend server leaving'
    REPLACED = 'replaced by one with another key'


@attrs.frozen
class PoolRules:
    """Settings of a pool.

    :param connection_limit: Connections that the backend server accepts.
    :param holders: Number of holders that share these connections.
    :param slots: Statements that the backend server runs concurrently.
    :param min_idle: Idle connections that are kept open in advance.
    :param max_opening: Greatest number of opens in progress.
    :param open_interval: Least time in ms between opens beyond a burst.
    :param open_burst: Opens allowed without that interval.
    :param idle_timeout: Time in ms after which an idle connection is closed.
    :param backoff: First delay in ms after a failed open; doubles each time.
    :param max_backoff: Longest delay in ms after a failed open.
    :param recovery_interval: Time in ms until the cap, lowered by error 1040,
        is raised by one connection.
    :param share: Greatest number of connections in the pool, if it does not
        follow from the number of holders.
    :param keyed: Whether a connection serves only the transactions that have
        the key with which it was opened.
    """

    connection_limit: int
    holders: int = 2
    slots: int = 2
    min_idle: int = 2
    max_opening: int = 4
    open_interval: Millis = Millis(5)
    open_burst: int = 4
    idle_timeout: Millis = Millis(30_000)
    backoff: Millis = Millis(20)
    max_backoff: Millis = Millis(1000)
    recovery_interval: Millis = Millis(1000)
    share: int | None = None
    keyed: bool = False

    @property
    def quota(self) -> int:
        """Return the greatest number of connections of one holder.

        The division by one more than the holders leaves room for the
        connections of a new holder while it replaces another one.

        :returns: The share, or ``floor(connection_limit / (holders + 1))``.
        """
        if self.share is not None:
            return self.share
        return self.connection_limit // (self.holders + 1)


@attrs.frozen
class Open:
    """Command to open ``count`` connections with a key."""

    count: int
    key: str = ''


@attrs.frozen
class Close:
    """Command to close these connections."""

    connections: tuple[int, ...]
    reason: CloseReason


Command: TypeAlias = Open | Close


@attrs.define
class _OpenAttempts:
    """Opens in progress, consecutive failures, and a token bucket for opens."""

    started: list[int] = attrs.Factory(list)
    failures: int = 0
    retry_at: int = 0
    budget: float = 0
    refilled_at: int = 0
    keys: collections.Counter[str] = attrs.Factory(collections.Counter)


class PoolSizer:
    """Tracks the connections of one pool and decides on its size.

    :param rules: Settings.
    :param now: The time.
    """

    def __init__(self, rules: PoolRules, now: Millis = Millis(0)) -> None:
        self._rules = rules
        self._cap = rules.quota
        self._recovered_at: int = now
        self._idle: dict[int, int] = {}
        self._leased: dict[int, int] = {}
        self._closing: set[int] = set()
        self._keys: dict[int, str] = {}
        self._attempts = _OpenAttempts(budget=rules.open_burst, refilled_at=now)
        self._active = True
        self._stop_reason = CloseReason.NOT_HOLDER

    @property
    def idle(self) -> int:
        """Return the number of connections that are ready for a lease.

        :returns: The number of idle connections.
        """
        return len(self._idle)

    @property
    def total(self) -> int:
        """Return how many connections the backend server may count.

        :returns: Connections that are open, being opened or being closed.
        """
        held = len(self._idle) + len(self._leased) + len(self._closing)
        return held + len(self._attempts.started)

    @property
    def cap(self) -> int:
        """Return the current limit on the size of the pool.

        :returns: The quota, or less after error 1040 (too many connections).
        """
        return self._cap

    def reconfigure(self, rules: PoolRules) -> None:
        """Apply new settings; open connections are kept.

        :param rules: Settings.
        """
        grown = rules.quota - self._rules.quota
        self._rules = rules
        self._cap = max(1, min(rules.quota, self._cap + max(0, grown)))

    @property
    def is_keyed(self) -> bool:
        """Tell whether connections differ by their keys."""
        return self._rules.keyed

    def idle_by_key(self) -> Mapping[str, int]:
        """Count the idle connections of each key."""
        return collections.Counter(self._keys[number] for number in self._idle)

    def has_any(self, key: str) -> bool:
        """Tell whether a connection with a key is leased or being opened.

        :param key: The key.
        :returns: Whether one is, so that it may become idle soon.
        """
        leased = (self._keys.get(number) for number in self._leased)
        return self._attempts.keys[key] > 0 or key in leased

    def lease(
        self, transaction: int, now: Millis, key: str | None = ''
    ) -> int | None:
        """Lease a connection to one transaction.

        :param transaction: Number of the transaction.
        :param now: The time.
        :param key: Key of the connection; ``None`` if any will do.
        :returns: The connection, or ``None`` if none is idle. The most
            recently used one is taken so that the others reach the idle
            timeout.
        """
        if not self._idle or not self._active:
            return None
        for connection in reversed(self._idle):
            if key is None or self._keys[connection] == key:
                self._idle.pop(connection)
                self._leased[connection] = transaction
                return connection
        return None

    def is_leased(self, connection: int) -> bool:
        """Tell whether a connection is leased.

        :param connection: The connection.
        :returns: Whether it is leased now.
        """
        return connection in self._leased

    def release(
        self, connection: int, transaction: int, clean: bool, now: Millis
    ) -> list[Command]:
        """Return a leased connection.

        :param connection: The connection.
        :param transaction: The transaction that leased it; others are ignored.
        :param clean: Whether it is known to be outside a transaction and
            without an open result or session state.
        :param now: The time.
        :returns: A command to close it unless it can be reused.
        """
        if self._leased.get(connection) != transaction:
            return []
        self._leased.pop(connection)
        if not clean:
            return self._close([connection], CloseReason.NOT_CLEAN)
        if not self._active:
            return self._close([connection], self._stop_reason)
        if self.total >= self._cap:
            return self._close([connection], CloseReason.OVER_QUOTA)
        self._idle[connection] = now
        return []

    def opened(
        self, connection: int, now: Millis, key: str = ''
    ) -> list[Command]:
        """Record that an open succeeded.

        :param connection: The new connection.
        :param now: The time.
        :param key: Key of the connection.
        :returns: A command to close it if it is no longer needed.
        """
        self._end_attempt(key)
        self._attempts.failures = 0
        self._keys[connection] = key
        self._idle[connection] = now
        if not self._active:
            return self._close([connection], self._stop_reason)
        if self.total > self._cap:
            return self._close([connection], CloseReason.OVER_QUOTA)
        return []

    def open_failed(self, too_many: bool, now: Millis, key: str = '') -> None:
        """Record that an open failed.

        :param too_many: Whether the backend server answered with error 1040
            (too many connections).
        :param now: The time.
        :param key: Key of the connection.
        """
        attempts = self._attempts
        self._end_attempt(key)
        delay = self._rules.backoff << min(attempts.failures, 16)
        attempts.failures += 1
        attempts.retry_at = now + min(delay, self._rules.max_backoff)
        if too_many:
            self._cap = max(1, min(self._cap, self.total))
            self._recovered_at = now

    def closed(self, connection: int) -> None:
        """Record that a connection is closed, by either side.

        :param connection: The connection.
        """
        self._idle.pop(connection, None)
        self._leased.pop(connection, None)
        self._closing.discard(connection)
        self._keys.pop(connection, None)

    def stop(self, reason: CloseReason) -> list[Command]:
        """Close idle connections now and leased ones when they are released.

        :param reason: Why the pool is no longer needed.
        :returns: The command to close the idle connections.
        """
        self._active = False
        self._stop_reason = reason
        return self._close(list(self._idle), reason)

    def tick(self, waiting: int, now: Millis) -> list[Command]:
        """Decide which connections to open and close; called periodically.

        :param waiting: Number of transactions that wait for a connection.
        :param now: The time.
        :returns: Commands to carry out.
        """
        self._recover_cap(now)
        if not self._active:
            return []
        commands = self._close_idle(now)
        count = self._count_to_open(waiting, now)
        if count:
            self._attempts.started.extend(now for _ in range(count))
            self._attempts.budget -= count
            commands.append(Open(count))
        return commands

    def tick_by_key(
        self, waiting: Mapping[str, int], now: Millis
    ) -> list[Command]:
        """Decide which connections to open and close, by their keys.

        A connection that was idle longest is closed to make room for one with
        a key that transactions wait for.

        :param waiting: Number of transactions that wait, by their key.
        :param now: The time.
        :returns: Commands to carry out.
        """
        self._recover_cap(now)
        if not self._active:
            return []
        commands = self._close_idle(now)
        self._refill_budget(now)
        if now < self._attempts.retry_at:
            return commands
        idle = self.idle_by_key()
        if not self.total and self._rules.slots and not waiting:
            # Shows that the backend server can be reached.
            return [*commands, *self._open_keyed('', waiting, now)]
        for key, count in waiting.items():
            missing = count - idle.get(key, 0) - self._attempts.keys[key]
            for _ in range(missing):
                commands.extend(self._open_keyed(key, waiting, now))
        return commands

    def _open_keyed(
        self, key: str, waiting: Mapping[str, int], now: int
    ) -> list[Command]:
        attempts = self._attempts
        is_limited = len(attempts.started) >= self._rules.max_opening
        if is_limited or attempts.budget < 1:
            return []
        commands: list[Command] = []
        if self.total >= self._cap:
            unused = [
                number
                for number in self._idle
                if self._keys[number] not in waiting
            ]
            if not unused:
                return []
            commands = self._close(unused[:1], CloseReason.REPLACED)
            # It is closed before the new one is opened.
            self._closing.discard(unused[0])
        attempts.started.append(now)
        attempts.keys[key] += 1
        attempts.budget -= 1
        return [*commands, Open(1, key)]

    def _end_attempt(self, key: str) -> None:
        attempts = self._attempts
        if attempts.started:
            attempts.started.pop(0)
        if attempts.keys[key] > 0:
            attempts.keys[key] -= 1

    def _count_to_open(self, waiting: int, now: int) -> int:
        attempts = self._attempts
        self._refill_budget(now)
        if now < attempts.retry_at:
            return 0
        wanted = max(
            len(self._leased) + waiting + self._rules.min_idle,
            self._rules.slots + self._rules.min_idle,
        )
        usable = len(self._idle) + len(self._leased) + len(attempts.started)
        return max(
            0,
            min(
                wanted - usable,
                self._cap - self.total,
                self._rules.max_opening - len(attempts.started),
                math.floor(attempts.budget),
            ),
        )

    def _refill_budget(self, now: int) -> None:
        attempts = self._attempts
        elapsed = now - attempts.refilled_at
        earned = elapsed / max(1, self._rules.open_interval)
        attempts.budget = min(self._rules.open_burst, attempts.budget + earned)
        attempts.refilled_at = now

    def _recover_cap(self, now: int) -> None:
        if self._cap >= self._rules.quota:
            self._recovered_at = now
        elif now - self._recovered_at >= self._rules.recovery_interval:
            self._cap += 1
            self._recovered_at = now

    def _close_idle(self, now: int) -> list[Command]:
        keep = self._rules.slots + self._rules.min_idle
        surplus = max(0, len(self._idle) + len(self._leased) - keep)
        expired = [
            connection
            for connection, since in self._idle.items()
            if now - since >= self._rules.idle_timeout
        ]
        return self._close(expired[:surplus], CloseReason.IDLE)

    def _close(
        self, connections: list[int], reason: CloseReason
    ) -> list[Command]:
        for connection in connections:
            self._idle.pop(connection, None)
            self._closing.add(connection)
        if not connections:
            return []
        return [Close(tuple(connections), reason)]
