"""Keeps a copy of a table of the platform's store up to date.

A follower reads the whole table once and then long-polls the store for
changes.
"""

import asyncio
import random
from collections.abc import Callable

from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import HistoryLostError, PlatformError
from monsoonproxy.logs import log_for
from monsoonproxy.stores import Store, Table, TableRows

_log = log_for('store')

#: Time in ms for which the store holds a call open if nothing changes. A long
#: time keeps the calls few; keep-alive probes detect a broken connection much
#: earlier.
_LONG_POLL_WAIT = Millis(20_000)
#: First and maximum pause in ms after a failed call. With these pauses, all
#: daemons together stay far below the store's rate limit while it refuses
#: calls.
_FIRST_RETRY_PAUSE = 100
_MAX_RETRY_PAUSE = 1_500

RowHandler = Callable[[TableRows, bool], None]


class TableFollower:
    """Passes the rows of one table to a handler as they change.

    :param store: The platform's store.
    :param table: The table to follow.
    :param handler: Receives rows, and whether they are the whole table.
    :param clock: Source of time.
    """

    def __init__(
        self, store: Store, table: Table, handler: RowHandler, clock: Clock
    ) -> None:
        #: When a call of the store last failed, or 0.
        self.failed_at = Millis(0)
        #: Whether a call of the store has succeeded and none failed since.
        self.connected = False
        self._store = store
        self._table = table
        self._handler = handler
        self._clock = clock
        self._version: int | None = None

    async def run(self) -> None:
        """Follow the table until cancelled, retrying after failed calls."""
        pause = _FIRST_RETRY_PAUSE
        while True:
            try:
                await self._step()
                pause = _FIRST_RETRY_PAUSE
            except HistoryLostError:
                _log.info(
                    'The store has no changes of {} since version {} any '
                    'more; reading the whole table',
                    self._table.value,
                    self._version,
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
                'Following table {} from version {}',
                self._table.value,
                changes.version,
            )
        self._version = changes.version
        if whole or changes.rows:
            self._handler(changes, whole)

    def _handle_failure(self, exc: PlatformError) -> None:
        self.failed_at = self._clock.now()
        if self.connected:
            self.connected = False
            _log.warning(
                'Lost the connection to the store for table {}: {}',
                self._table.value,
                exc,
            )
