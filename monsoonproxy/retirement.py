"""Removes the rows of daemons that are gone for good.

Hosts are replaced all the time, and their rows would stay in the list of
daemons. A row that is removed by mistake costs little: its daemon writes it
again.
"""

import asyncio
import random

import attrs

from monsoonproxy import notices
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.exceptions import PlatformError
from monsoonproxy.logs import log_for
from monsoonproxy.neighbours import Neighbours
from monsoonproxy.stores import Change, Store, Table

_log = log_for('retirement')


@attrs.frozen
class RetirementRules:
    """Settings of the removal of rows.

    :param interval: Time in ms between two looks at the list, far longer than
        any outage of a host that comes back at once.
    :param gone_for: Time in ms without a sign of life after which a daemon is
        gone: hosts come back within minutes, and regions lose each other for
        an hour at times.
    :param least_heard: Share of the listed daemons that must be heard, or this
        daemon itself is cut off.
    :param most: Rows that are removed in one look.
    """

    interval: Millis = Millis(1_200_000)
    gone_for: Millis = Millis(14_400_000)
    least_heard: float = 0.5
    most: int = 50


class Retirement:
    """Looks after the list of daemons.

    :param own: Name of this daemon.
    :param listing: Its row.
    :param store: The platform's store.
    :param neighbours: The other daemons.
    :param clock: Source of time, which counts suspensions.
    :param rules: Settings.
    """

    def __init__(
        self,
        own: str,
        listing: notices.Listing,
        store: Store,
        neighbours: Neighbours,
        clock: Clock,
        rules: RetirementRules | None = None,
    ) -> None:
        self.is_delegate = False
        self._own = own
        self._content = notices.encode(listing)
        self._store = store
        self._neighbours = neighbours
        self._clock = clock
        self._rules = rules or RetirementRules()
        self._looked_at = clock.now()
        #: Since when this daemon has missed others without a gap, by name.
        self._missed_since: dict[str, Millis] = {}

    async def run(self) -> None:
        """Look at the list again and again."""
        while True:
            # Daemons that start together must not read the list together.
            pause = self._rules.interval * random.uniform(0.75, 1.25)
            await asyncio.sleep(seconds(1) * pause)
            try:
                await self.look()
            except PlatformError as exc:
                _log.info('List of daemons not looked after: {}', exc)

    async def look(self) -> None:
        """Write the own row if it is missing; remove those of gone daemons."""
        rows = (await self._store.read(Table.DAEMONS)).rows
        listed = {row.key: row for row in rows if row.content is not None}
        if self._own not in listed:
            _log.warning('Row of {} was missing', self._own)
            await self._store.put(Table.DAEMONS, self._own, self._content)
        gone = self._gone(listed)
        for row in gone:
            self._neighbours.forget(row.key)
        if self.is_delegate:
            for row in gone[: self._rules.most]:
                await self._remove(row)

    def _gone(self, listed: dict[str, Change]) -> list[Change]:
        """Return the rows of daemons that were missed for long enough."""
        now, rules = self._clock.now(), self._rules
        stood_still = now - self._looked_at > 2 * rules.interval
        self._looked_at = now
        heard = {known.name for known in self._neighbours.alive(now)}
        missed = listed.keys() - heard - {self._own}
        is_cut_off = len(missed) > len(listed) * (1 - rules.least_heard)
        if stood_still or is_cut_off:
            # What was not heard meanwhile tells nothing of the others.
            self._missed_since.clear()
            return []
        self._missed_since = {
            name: self._missed_since.get(name, now) for name in missed
        }
        return [
            listed[name]
            for name, since in self._missed_since.items()
            if now - since >= rules.gone_for
        ]

    async def _remove(self, row: Change) -> None:
        if await self._store.remove(Table.DAEMONS, row.key, row.version):
            _log.info('{} is gone for good', row.key)
