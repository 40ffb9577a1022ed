"""Joins a daemon that starts to those that run."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from monsoonproxy import gossip_messages
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.exceptions import PlatformError
from monsoonproxy.gossip import FANOUT, Gossip
from monsoonproxy.logs import log_for
from monsoonproxy.node_settings import NodeSettings
from monsoonproxy.stores import Store, Table

_log = log_for('join')

#: First and longest pause in ms before another try to read the list of
#: daemons or to write to it. It doubles, so that many daemons that start at
#: the same time don't keep a slow store busy.
_FIRST_RETRY_PAUSE = 100
_MAX_RETRY_PAUSE = 3_200
#: Time in ms that the store has for the list before daemons are asked for it,
#: and between two questions. The store answers within 4 ms in calm times.
_SEED_INTERVAL = 300
#: Daemons in one datagram, which stays below 1,400 bytes that way.
_LISTINGS_PER_DATAGRAM = 16

_Result = TypeVar('_Result')


class Joiner:
    """Learns where the other daemons are, and tells them of this one.

    :param settings: The daemon's settings.
    :param store: The platform's store.
    :param gossip: Notices to the other daemons.
    :param clock: Source of time.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        gossip: Gossip,
        clock: Clock,
    ) -> None:
        #: Whether the list of daemons was read, and whether this one was in
        #: it.
        self.has_read_list = False
        self.has_joined = False
        #: Is told whenever daemons were added to the known ones.
        self.on_peers_listed: Callable[[], Awaitable[None]] = _do_nothing
        self._settings = settings
        self._store = store
        self._gossip = gossip
        self._peers = gossip.peers
        self._clock = clock
        self.listing = gossip_messages.Listing(
            settings.peer_address,
            settings.relay_address,
            settings.availability_zone,
        )
        gossip.handlers[gossip_messages.RosterRequest] = (
            self._answer_roster_request
        )
        gossip.handlers[gossip_messages.Roster] = self._handle_roster

    async def run(self) -> None:
        """Read the list of daemons, with this one in it."""
        own = gossip_messages.encode(self.listing)
        is_listed = self._settings.first_start
        if is_listed:
            # Of two daemons that write before they read, one at least finds
            # the other's row.
            await self._write(own)
        rows = await self._read()
        is_listed = rows.get(self._settings.name) == own
        await self.on_peers_listed()
        known = self._peers.all()
        if is_listed:
            # They know where this daemon is, or hear of it soon.
            known = self._peers.sample(known, FANOUT)
        self._gossip.announce(known)
        if not is_listed:
            await self._write(own)
            await self._read()
            self._gossip.announce(self._peers.all())
        self.has_joined = True
        await self.on_peers_listed()

    async def ask_seeds(self) -> None:
        """Ask some daemons for the others while the store does not answer."""
        seeds = [
            address
            for address in self._settings.seeds
            if address != self._settings.peer_address
        ]
        while seeds:
            await asyncio.sleep(
                seconds(_SEED_INTERVAL) * random.uniform(0.5, 1.5)
            )
            if self._peers.all():
                return
            _log.info('No list of daemons yet; asking {}', seeds)
            request = gossip_messages.RosterRequest(self._settings.name)
            self._gossip.send(request, *seeds)

    async def _read(self) -> dict[str, bytes]:
        """Read the list of daemons; return its rows."""
        listed = await _retry(lambda: self._store.read(Table.DAEMONS))
        rows = {row.key: row.content for row in listed.rows if row.content}
        for name, content in rows.items():
            self._add(name, gossip_messages.decode_listing(content))
        self.has_read_list = True
        return rows

    async def _write(self, own: bytes) -> None:
        await _retry(
            lambda: self._store.put(Table.DAEMONS, self._settings.name, own)
        )

    def _add(self, name: str, listing: gossip_messages.Listing | None) -> None:
        if listing is None:
            _log.warning('Row of {} ignored: it can not be read', name)
        else:
            self._peers.add(name, listing, self._clock.now())

    def _answer_roster_request(
        self, _request: gossip_messages.RosterRequest, address: str
    ) -> None:
        now = self._clock.now()
        listings = {
            known.name: gossip_messages.Listing(
                known.address, known.relay, known.zone
            )
            for known in self._peers.alive(now)
            if not known.leaving
        }
        listings[self._settings.name] = self.listing
        names = sorted(listings)
        for start in range(0, len(names), _LISTINGS_PER_DATAGRAM):
            part = names[start : start + _LISTINGS_PER_DATAGRAM]
            roster = gossip_messages.Roster(
                self._settings.name, {name: listings[name] for name in part}
            )
            self._gossip.send(roster, address)

    def _handle_roster(
        self, roster: gossip_messages.Roster, _address: str
    ) -> None:
        for name, listing in roster.listings.items():
            self._add(name, listing)
        self._gossip.announce(self._peers.all())


async def _retry(call: Callable[[], Awaitable[_Result]]) -> _Result:
    """Call the store until it answers.

    :param call: Makes the call; it may be repeated.
    :returns: The answer.
    """
    pause = _FIRST_RETRY_PAUSE
    while True:
        try:
            return await call()
        except PlatformError as exc:
            _log.info('List of daemons not read or written yet: {}', exc)
        await asyncio.sleep(seconds(pause) * random.uniform(0.5, 1))
        pause = min(_MAX_RETRY_PAUSE, pause * 2)


async def _do_nothing() -> None:
    """Do nothing; stands in until somebody plans with the daemons."""
