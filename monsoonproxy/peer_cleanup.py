"""Removes stale rows from the store's list of daemons.

Hosts are replaced all the time, and the rows of their daemons would stay in
the list. A row that is removed by mistake costs little: its daemon writes it
again at its next check.
"""

import asyncio
import random

import attrs

from monsoonproxy import gossip_messages
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import PlatformError
from monsoonproxy.logs import log_for
from monsoonproxy.peer_list import PeerList
from monsoonproxy.stores import Store, StoreRow, Table

_log = log_for('retirement')


@attrs.frozen
class CleanupRules:
    """Settings of the removal of rows from the list of daemons.

    :param interval: Time in ms between two checks of the list, far longer
        than any outage of a host that comes back at once.
    :param stale_after: Time in ms without a presence after which a daemon
        counts as gone: hosts come back within minutes, but regions are at
        times partitioned from each other for an hour.
    :param min_heard_share: Share of the listed daemons that must be alive.
        Below it, this daemon takes itself for partitioned and removes nothing.
    :param max_removals: Rows that are removed in one check at most.
    """

    interval: Millis = Millis(1_200_000)
    stale_after: Millis = Millis(14_400_000)
    min_heard_share: float = 0.5
    max_removals: int = 50


class PeerCleanup:
    """Compares the list of daemons with the live peers and corrects it.

    :param own: Name of this daemon.
    :param listing: Addresses and zone of this daemon, for its row.
    :param store: The platform's store.
    :param peers: The other daemons.
    :param clock: Source of time, which goes on while the host is suspended.
    :param rules: Intervals and limits of the removal.
    """

    def __init__(
        self,
        own: str,
        listing: gossip_messages.Listing,
        store: Store,
        peers: PeerList,
        clock: Clock,
        rules: CleanupRules | None = None,
    ) -> None:
        #: Whether this daemon is a delegate; only delegates remove rows.
        self.is_delegate = False
        self._own = own
        self._content = gossip_messages.encode(listing)
        self._store = store
        self._peers = peers
        self._clock = clock
        self._rules = rules or CleanupRules()
        self._checked_at = clock.now()
        #: Time since which a listed daemon has not been alive at any check, by
        #: name.
        self._missed_since: dict[str, Millis] = {}

    async def run(self) -> None:
        """Check the list at each interval until cancelled."""
        while True:
            # Random, so that daemons that start together don't all read the
            # list at the same time.
            pause = self._rules.interval * random.uniform(0.75, 1.25)
            await asyncio.sleep(seconds(1) * pause)
            try:
                await self.reconcile()
            except PlatformError as exc:
                _log.info('Checking the list of daemons failed: {}', exc)

    async def reconcile(self) -> None:
        """Write the own row unless it is listed, and remove stale rows."""
        rows = (await self._store.read(Table.DAEMONS)).rows
        listed = {row.key: row for row in rows if row.content is not None}
        own = listed.get(self._own)
        if own is None or own.content != self._content:
            _log.warning(
                'Row of {} is missing from the list of daemons, or older;'
                ' writing it',
                self._own,
            )
            await self._store.put(Table.DAEMONS, self._own, self._content)
        stale = self._stale_rows(listed)
        for row in stale:
            self._peers.remove(row.key)
        if self.is_delegate:
            for row in stale[: self._rules.max_removals]:
                await self._remove(row)

    def _stale_rows(self, listed: dict[str, StoreRow]) -> list[StoreRow]:
        """Return the rows of daemons that have been gone for long enough."""
        now, rules = self._clock.now(), self._rules
        was_suspended = now - self._checked_at > 2 * rules.interval
        self._checked_at = now
        heard = {peer.name for peer in self._peers.alive(now)}
        missed = listed.keys() - heard - {self._own}
        is_cut_off = len(missed) > len(listed) * (1 - rules.min_heard_share)
        if was_suspended or is_cut_off:
            # While this daemon was suspended or partitioned, the absence of
            # presences does not show that its peers are gone.
            self._missed_since.clear()
            return []
        self._missed_since = {
            name: self._missed_since.get(name, now) for name in missed
        }
        return [
            listed[name]
            for name, since in self._missed_since.items()
            if now - since >= rules.stale_after
        ]

    async def _remove(self, row: StoreRow) -> None:
        if await self._store.remove(Table.DAEMONS, row.key, row.revision):
            _log.info(
                'Removed the row of daemon {}: not alive for {} ms or more',
                row.key,
                self._rules.stale_after,
            )
