"""Joins a daemon to its peers.

A starting daemon reads the list of daemons from the platform's store and writes
its own row to it. While the store does not answer, it asks seed peers instead.
If the store is restored from an older copy later, the row may be gone, and the
daemon joins again.
"""

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

#: First and maximum pause in ms before another attempt to read the list of
#: daemons or to write to it. The pause doubles, so that many daemons that start
#: at the same time don't overload a slow store.
_FIRST_RETRY_PAUSE = 100
_MAX_RETRY_PAUSE = 3_200
#: Time in ms that the store has to answer before seed peers are asked for the
#: list, and between two requests. Without load, the store answers within 4 ms.
_SEED_INTERVAL = 300
#: Time in ms over which the daemons look for their rows after a restore, for
#: each daemon, and at least. All daemons together make 200 calls per second.
_REJOIN_SPREAD_PER_DAEMON = 5
_MIN_REJOIN_SPREAD = 500
#: Attempts to write the own row, which another restore may remove at once.
_ENLIST_ATTEMPTS = 2
#: Listings in one datagram, which keeps it below 1,400 bytes.
_LISTINGS_PER_DATAGRAM = 16

_Result = TypeVar('_Result')


class Joiner:
    """Discovers the peers of a starting daemon and announces it to them.

    :param settings: Settings of this daemon.
    :param store: The platform's store, with the list of daemons.
    :param gossip: Sends messages to the peers and keeps the list of them.
    :param clock: Source of time.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        gossip: Gossip,
        clock: Clock,
    ) -> None:
        #: Whether the list of daemons was read from the store, and whether
        #: the daemon has joined: its row is in the list that it read.
        self.has_read_list = False
        self.has_joined = False
        #: Whether the own row was in the list that was read, from before the
        #: start of this process.
        self.was_listed = False
        #: Called when peers from the store's list were added.
        self.on_peers_listed: Callable[[], Awaitable[None]] = _do_nothing
        #: Latest era of the store in which the own row was looked for.
        self._listed_era = 0
        self._must_rejoin = asyncio.Event()
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

    def check_listing(self, era: int) -> None:
        """Look for the own row again if the store was restored since.

        :param era: Era of the store, from any of its answers or from a peer.
        """
        if self.has_joined and era > self._listed_era:
            self._must_rejoin.set()

    async def run(self) -> None:
        """Join the peers, and again after each restore of the store."""
        await self._join()
        while True:
            await self._must_rejoin.wait()
            spread = max(
                _MIN_REJOIN_SPREAD,
                _REJOIN_SPREAD_PER_DAEMON * len(self._peers),
            )
            await asyncio.sleep(seconds(1) * random.uniform(0, spread))
            self._must_rejoin.clear()
            await self._rejoin()

    async def _join(self) -> None:
        """Read the list of daemons and make sure that this one is in it."""
        own = gossip_messages.encode(self.listing)
        is_listed = self._settings.first_start
        if is_listed:
            # Of two daemons that write before they read, at least one finds
            # the row of the other.
            await self._write(own)
        rows = await self._read()
        is_listed = rows.get(self._settings.name) == own
        self.was_listed = is_listed and not self._settings.first_start
        await self.on_peers_listed()
        peers = self._peers.all()
        if is_listed:
            # Peers that read the list know this row; the others get a
            # presence soon.
            peers = self._peers.sample(peers, FANOUT)
        self._gossip.announce(peers)
        if not is_listed:
            await self._enlist(own)
        self.has_joined = True
        await self.on_peers_listed()

    async def _rejoin(self) -> None:
        """Make sure that the own row is in the list of a restored store."""
        own = gossip_messages.encode(self.listing)
        name = self._settings.name
        row = await _retry(lambda: self._store.find(Table.DAEMONS, name))
        self._listed_era = row.revision.era
        if row.content == own:
            return
        _log.warning(
            'Row of {} is missing from the restored list of daemons, or older;'
            ' writing it',
            name,
        )
        await self._enlist(own)
        await self.on_peers_listed()

    async def _enlist(self, own: bytes) -> None:
        """Write the own row, and tell all listed peers."""
        for _ in range(_ENLIST_ATTEMPTS):
            await self._write(own)
            # Daemons that joined meanwhile don't know this one.
            rows = await self._read()
            if rows.get(self._settings.name) == own:
                break
        self._gossip.announce(self._peers.all())

    async def ask_seeds(self) -> None:
        """Ask seed peers for the live daemons until any peer is known."""
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
            _log.info(
                'No peers known yet from the store; asking seeds {}', seeds
            )
            request = gossip_messages.RosterRequest(self._settings.name)
            self._gossip.send(request, *seeds)

    async def _read(self) -> dict[str, bytes]:
        """Read the list of daemons and add them as peers; return the rows."""
        listed = await _retry(lambda: self._store.read(Table.DAEMONS))
        rows = {row.key: row.content for row in listed.rows if row.content}
        for name, content in rows.items():
            self._add(name, gossip_messages.decode_listing(content))
        self.has_read_list = True
        self._listed_era = listed.revision.era
        return rows

    async def _write(self, own: bytes) -> None:
        await _retry(
            lambda: self._store.put(Table.DAEMONS, self._settings.name, own)
        )

    def _add(self, name: str, listing: gossip_messages.Listing | None) -> None:
        if listing is None:
            _log.warning(
                'Ignored the row of daemon {}: it is malformed or has an '
                'invalid address',
                name,
            )
        else:
            self._peers.add(name, listing, self._clock.now())

    def _answer_roster_request(
        self, _request: gossip_messages.RosterRequest, address: str
    ) -> None:
        now = self._clock.now()
        listings = {
            peer.name: gossip_messages.Listing(
                peer.address, peer.relay, peer.zone
            )
            for peer in self._peers.alive(now)
            if not peer.leaving
        }
        listings[self._settings.name] = self.listing
        names = sorted(listings)
        for start in range(0, len(names), _LISTINGS_PER_DATAGRAM):
            chunk = names[start : start + _LISTINGS_PER_DATAGRAM]
            roster = gossip_messages.Roster(
                self._settings.name, {name: listings[name] for name in chunk}
            )
            self._gossip.send(roster, address)

    def _handle_roster(
        self, roster: gossip_messages.Roster, _address: str
    ) -> None:
        for name, listing in roster.listings.items():
            self._add(name, listing)
        self._gossip.announce(self._peers.all())


async def _retry(call: Callable[[], Awaitable[_Result]]) -> _Result:
    """Repeat a call of the store until it succeeds.

    :param call: Makes the call, which must be idempotent.
    :returns: Outcome of the first call that succeeds.
    """
    pause = _FIRST_RETRY_PAUSE
    while True:
        try:
            return await call()
        except PlatformError as exc:
            _log.info(
                'Reading or writing the list of daemons failed, will retry: {}',
                exc,
            )
        await asyncio.sleep(seconds(pause) * random.uniform(0.5, 1))
        pause = min(_MAX_RETRY_PAUSE, pause * 2)


async def _do_nothing() -> None:
    """Do nothing; the default until the node sets a callback."""
