"""Follows a table of the platform's store."""

import asyncio
import random
from collections.abc import Callable

from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import HistoryLostError, PlatformError
from monsoonproxy.logs import log_for
from monsoonproxy.stores import Store, Table, TableRows

_log = log_for('store')

#: Longest time in ms that the store holds a call open. Calls are few that
#: way; a silent path is noticed by keep-alive probes much earlier.
_LONG_POLL_WAIT = Millis(20_000)
#: Pause in ms after a failed call, and its limit. All daemons together stay
#: far below the store's rate while it turns calls away.
_FIRST_RETRY_PAUSE = 100
_MAX_RETRY_PAUSE = 1_500

RowHandler = Callable[[TableRows, bool], None]


class TableFollower:
    """Keeps a copy of one table up to date.

    :param store: The store.
    :param table: The table.
    :param handler: Takes rows, and whether they are the whole table.
    :param clock: Source of time.
    """

    def __init__(
        self, store: Store, table: Table, handler: RowHandler, clock: Clock
    ) -> None:
        #: When the store last failed, or 0.
        self.failed_at = Millis(0)
        self.connected = False
        self._store = store
        self._table = table
        self._handler = handler
        self._clock = clock
        self._version: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = _FIRST_RETRY_PAUSE
        while True:
            try:
                await self._step()
                pause = _FIRST_RETRY_PAUSE
            except HistoryLostError:
                _log.info(
                    'History of {} is gone; reading all', self._table.value
                )
                self._version = None
            except PlatformError as exc:
                self._handle_failure(exc)
                await asyncio.sleep(seconds(pause) * random.uniform(0.5, 1))
                pause = min(_MAX_RETRY_PAUSE, pause * 2)

    async def _step(self) -> None:
        whole = self._version is None
        if self._version is None:
            changes = await self._store.read(self._table)
        else:
            changes = await self._store.follow(
                self._table, self._version, _LONG_POLL_WAIT
            )
        if not self.connected:
            self.connected = True
            _log.info(
                'Following {} from {}', self._table.value, changes.version
            )
        self._version = changes.version
        if whole or changes.rows:
            self._handler(changes, whole)

    def _handle_failure(self, exc: PlatformError) -> None:
        self.failed_at = self._clock.now()
        if self.connected:
            self.connected = False
            _log.warning('Lost {}: {}', self._table.value, exc)
