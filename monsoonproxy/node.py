"""A daemon that reaches its backend servers directly."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TypeVar

from monsoonproxy import delegates, notices
from monsoonproxy.catalog import Catalog
from monsoonproxy.clients import Clients
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import PlatformError
from monsoonproxy.following import Follower
from monsoonproxy.gossip import FANOUT, Gossip
from monsoonproxy.juries import Jury
from monsoonproxy.logs import log_for
from monsoonproxy.members import Surroundings
from monsoonproxy.models import Host
from monsoonproxy.neighbours import Neighbour, Neighbours
from monsoonproxy.node_settings import NodeSettings
from monsoonproxy.observing import Observer
from monsoonproxy.placement import Placement, ranked
from monsoonproxy.promotion import Promoter
from monsoonproxy.relays import Relay, wait_idle
from monsoonproxy.remotes import Links
from monsoonproxy.servers import Server
from monsoonproxy.stores import Changes, Documents, Store, Table
from monsoonproxy.supervisors import Restart, RestartRule, Supervisor
from monsoonproxy.telemetry import Telemetry

_log = log_for('node')

#: Pause in ms between two looks at idle transactions and lapsed entries.
_SWEEP = Millis(250)
#: Share of the time between SIGTERM and SIGKILL after which idle sessions are
#: closed, open transactions are ended, and the process ends.
_CLOSE_SHARE = 0.35
_TRANSACTIONS_SHARE = 0.5
_END_SHARE = 0.9
_DRAIN_PAUSE = 50
#: First and longest pause in ms before another try to read the list of
#: daemons or to write to it. It doubles, so that many daemons that start at
#: the same time don't keep a slow store busy.
_LIST_PAUSE = 100
_LONGEST_LIST_PAUSE = 3_200
#: Time in ms after the start within which no connections are opened ahead
#: while the list of daemons is not complete. When all daemons start for the
#: first time, the store takes 0.5 s for their rows.
_PLAN_BY = Millis(1_000)
#: Time in ms between two lines with what was counted.
_REPORT = Millis(5_000)
#: A task that has nothing left to do may return.
_ONCE = RestartRule(restart=Restart.TRANSIENT)

_Result = TypeVar('_Result')


class Node:
    """Wires the parts of a daemon.

    :param settings: Its settings.
    :param dialect: Protocol of callers and backend servers.
    :param store: The platform's store.
    :param documents: Decodes what lies in the store.
    """

    def __init__(
        self,
        settings: NodeSettings,
        dialect: Dialect,
        store: Store,
        documents: Documents,
    ) -> None:
        clock = Clock()
        rng = random.Random()
        self._settings = settings
        self._store = store
        self._clock = clock
        self._telemetry = Telemetry(clock)
        self._stopping = asyncio.Event()
        self._supervisor = Supervisor('node', clock)
        self._neighbours = Neighbours(settings.name, rng)
        self._started_at = clock.now()
        #: Whether the list of daemons was read, with this one in it.
        self._has_list = False
        self._placement = Placement()
        self._hosts: frozenset[Host] = frozenset()
        #: Who lends connections to a server, until the hosts change.
        self._lending: dict[tuple[str, int], tuple[Host, ...]] = {}
        self._delegates: frozenset[str] = frozenset()
        self._links = Links(clock)
        self._links.on_gone = self._lender_gone
        self.catalog = Catalog(
            documents,
            Surroundings(
                dialect,
                settings.availability_zone,
                clock,
                self._telemetry,
                self._links,
                settings.relay_address,
                self._lenders,
            ),
        )
        find = self.catalog.runner
        self._relay = Relay(find)
        self._gossip = Gossip(
            self._own(), self._neighbours, self.catalog, clock
        )
        self._gossip.follows = self._is_following
        jury = Jury(self._gossip, find, clock, rng)
        self._promoter = Promoter(store, self._gossip, jury, find, clock)
        self.catalog.on_doubt = self._promoter.doubt
        self.catalog.on_news = self._tell_news
        self._clients = Clients(
            self.catalog,
            dialect,
            clock,
            Observer(self._telemetry),
            settings.max_callers,
        )
        self._routes_follower = Follower(
            store, Table.CONFIGURATION, self.catalog.take_operator, clock
        )
        self._servers_follower = Follower(
            store, Table.SERVERS, self._take_servers, clock
        )

    @property
    def ready(self) -> bool:
        """Tell whether new callers should come here."""
        return self.catalog.table is not None and not self._stopping.is_set()

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._telemetry.text(self.gauges()).encode()

    def gauges(self) -> dict[str, int]:
        """Return current values.

        :returns: Values by name.
        """
        version, _stamp = self.catalog.versions()
        return {
            'callers': len(self._clients.connections),
            'callers_busy': self._clients.busy,
            'configuration_version': version,
            'connections_lent': self._relay.leases,
            'daemons_alive': len(self._neighbours.alive(self._clock.now())),
            'ready': int(self.ready),
        }

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, _reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Start serving."""
        await self._clients.start(self._settings.listen_address)
        await self._relay.start(self._settings.relay_address)
        await self._gossip.start()
        children = self._supervisor
        children.start_child('join', self._join, _ONCE)
        children.start_child('gossip', self._gossip.run)
        children.start_child('routes', self._routes_follower.run)
        children.start_child('servers', self._servers_follower.run)
        children.start_child('sweep', self._sweep)
        children.start_child('report', self._report)
        _log.info('{} started', self._settings.name)

    async def stop(self) -> None:
        """Finish what was begun, then end all tasks."""
        self._stopping.set()
        await self._drain()
        await self.abort()
        _log.info('{} stopped', self._settings.name)

    async def abort(self) -> None:
        """End all tasks and close all connections at once."""
        self._stopping.set()
        await self._supervisor.stop()
        self._clients.stop()
        self._relay.close()
        for runner in self.catalog.runners.values():
            runner.cluster.close()
        self._links.close()
        self._gossip.close()
        self._store.close()

    def _own(self) -> Neighbour:
        settings = self._settings
        return Neighbour(
            settings.name,
            settings.peer_address,
            settings.relay_address,
            settings.availability_zone,
            self._clock.wall(),
        )

    def _lenders(self, server: Server, count: int) -> tuple[Host, ...]:
        """Return the daemons that hold connections to a server.

        Those in the own zone come first, since the way to them is short. Of
        these, each daemon prefers another one.
        """
        key = (server.server_id, count)
        found = self._lending.get(key)
        if found is None:
            settings = self._settings
            hosts = self._placement.holders(server.server_id, count)
            preferred = ranked(settings.name, hosts)
            zone = settings.availability_zone
            found = tuple(
                sorted(preferred, key=lambda at: at.availability_zone != zone)
            )
            self._lending[key] = found
        return found

    async def _join(self) -> None:
        """Learn where the others are, and tell them where this daemon is."""
        settings = self._settings
        own = notices.encode(
            notices.Listing(
                settings.peer_address,
                settings.relay_address,
                settings.availability_zone,
            )
        )
        rows = await self._read_list()
        is_new = rows.get(settings.name) != own
        # Those that have something newer answer, so that this daemon can serve
        # before the store has told it anything. The others hear of it soon;
        # they know where it is unless it is new.
        known = self._neighbours.all()
        self._gossip.announce(
            known if is_new else self._neighbours.pick(known, FANOUT)
        )
        if is_new:
            await _until_done(
                lambda: self._store.put(Table.DAEMONS, settings.name, own)
            )
            # Of two daemons that start at the same time, one at least finds
            # the other's row.
            await self._read_list()
            self._gossip.announce(self._neighbours.all())
        self._has_list = True
        self._replan()

    async def _read_list(self) -> dict[str, bytes]:
        """Read the list of daemons; return its rows."""
        listed = await _until_done(lambda: self._store.read(Table.DAEMONS))
        now = self._clock.now()
        rows = {row.key: row.content for row in listed.rows if row.content}
        for name, content in rows.items():
            listing = notices.decode_listing(content)
            if listing is None:
                _log.warning('Row of {} ignored: it can not be read', name)
            else:
                self._neighbours.add(name, listing, now)
        return rows

    def _tell_news(self) -> None:
        now = self._clock.now()
        self._gossip.announce(self._neighbours.some(FANOUT, now))
        self._replan()

    def _lender_gone(self, relay: str) -> None:
        self._neighbours.suspect(relay)
        self._replan()

    def _take_servers(self, changes: Changes, whole: bool) -> None:
        self.catalog.take_servers(
            changes, whole=whole, failed_at=self._servers_follower.failed_at
        )

    def _replan(self) -> None:
        """Adapt to the daemons that are there."""
        now = self._clock.now()
        if not self._has_list and now - self._started_at < _PLAN_BY:
            return
        own = Host(
            self._settings.relay_address, self._settings.availability_zone
        )
        hosts = self._neighbours.hosts(now) | {own}
        if hosts != self._hosts:
            self._hosts = hosts
            self._placement.update(hosts)
            self._lending.clear()
            self._delegates = delegates.chosen(hosts)
            self._gossip.is_delegate = own.address in self._delegates
        self.catalog.replan(len(hosts))

    def _is_following(self) -> bool:
        return (
            self._routes_follower.connected and self._servers_follower.connected
        )

    async def _delegate(self) -> None:
        """Follow the store, or leave that to other daemons."""
        followers = {
            'routes': self._routes_follower,
            'servers': self._servers_follower,
        }
        must = delegates.must_follow(
            self._settings.relay_address,
            self._delegates,
            self._neighbours.alive(self._clock.now()),
            self._clock.now(),
        )
        running = self._supervisor.children()
        for name, follower in followers.items():
            if must and name not in running:
                _log.info('Following {} again', name)
                self._supervisor.start_child(name, follower.run)
            elif name in running and not must and follower.connected:
                _log.info('Leaving {} to other daemons', name)
                await self._supervisor.stop_child(name)
                follower.connected = False

    async def _drain(self) -> None:
        """Finish what was begun, within the time until SIGKILL."""
        clock, grace = self._clock, self._settings.grace
        began = clock.now()
        _log.info('Stopping; {} callers busy', self._clients.busy)
        self._gossip.leaving = True
        self._gossip.announce(self._neighbours.all())
        # The balancer notices within two probes; until then callers that are
        # closed would come back.
        await asyncio.sleep(seconds(grace) * _CLOSE_SHARE)
        self._clients.close_idle()
        until = began + grace * _TRANSACTIONS_SHARE
        while self._clients.connections and clock.now() < until:
            await asyncio.sleep(seconds(_DRAIN_PAUSE))
        self._clients.end_transactions('the daemon is stopping')
        until = began + grace * _END_SHARE
        while self._clients.connections and clock.now() < until:
            self._clients.close_idle()
            await asyncio.sleep(seconds(_DRAIN_PAUSE))
        await wait_idle(self._relay, until - clock.now())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(seconds(_SWEEP))
            if self.catalog.table is not None:
                limit = self.catalog.table.idle_transaction
                self._clients.end_idle_transactions(limit)
            self.catalog.expire()
            self._replan()
            await self._delegate()
            for runner in self.catalog.runners.values():
                self._promoter.look_for_leaving(runner)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(seconds(_REPORT))
            news = self._telemetry.news()
            if news:
                _log.bind(**news).info('Counted')


async def _until_done(call: Callable[[], Awaitable[_Result]]) -> _Result:
    """Call the store until it answers.

    :param call: Makes the call; it may be repeated.
    :returns: The answer.
    """
    pause = _LIST_PAUSE
    while True:
        try:
            return await call()
        except PlatformError as exc:
            _log.info('List of daemons not read or written yet: {}', exc)
        await asyncio.sleep(seconds(pause) * random.uniform(0.5, 1))
        pause = min(_LONGEST_LIST_PAUSE, pause * 2)


def _reload() -> None:
    _log.info('Settings file changed; nothing in it applies at run time')
