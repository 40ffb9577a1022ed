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
from monsoonproxy.stores import Revision, Store, Table, TableRows

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
        self._revision: Revision | None = None
        #: Latest era for which the table was read again.
        self._reset_era = 0

    async def run(self) -> None:
        """Follow the table until cancelled, retrying after failed calls."""
        pause = _FIRST_RETRY_PAUSE
        while True:
            try:
                await self._step()
                pause = _FIRST_RETRY_PAUSE
            except HistoryLostError as exc:
                _log.info(
                    'Changes of {} are lost; reading the whole table: {}',
                    self._table.value,
                    exc,
                )
                self._revision = None
            except PlatformError as exc:
                self._handle_failure(exc)
                await asyncio.sleep(seconds(pause) * random.uniform(0.5, 1))
                pause = min(_MAX_RETRY_PAUSE, pause * 2)

    def is_outdated(self, era: int) -> bool:
        """Tell whether the known revision is of an earlier era.

        A long poll from such a revision may wait for changes although there
        are some: the store may have given its version out again.

        :param era: The store's era, from any of its answers.
        :returns: Whether the table has to be read again.
        """
        known = self._revision
        return known is not None and max(known.era, self._reset_era) < era

    def reset(self, era: int) -> None:
        """Read the whole table next; must not be called while running.

        :param era: The era that the table is outdated for.
        """
        self._revision = None
        self._reset_era = era

    async def _step(self) -> None:
        whole = self._revision is None
        if self._revision is None:
            changes = await self._store.read(self._table)
        else:
            # The answer to the first call after a failure shows whether the
            # store was restored meanwhile, so it must not wait for a change.
            wait = _LONG_POLL_WAIT if self.connected else Millis(0)
            changes = await self._store.follow(
                self._table, self._revision, wait
            )
        if not self.connected:
            self.connected = True
            _log.info(
                'Following table {} from {}',
                self._table.value,
                changes.revision,
            )
        self._revision = changes.revision
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
