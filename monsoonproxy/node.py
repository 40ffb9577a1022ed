"""A daemon that reaches its backend servers directly."""

import asyncio
import random
import signal

from monsoonproxy.catalog import Catalog
from monsoonproxy.client_connections import ClientListener
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.delegation import Delegation
from monsoonproxy.dialects import Dialect
from monsoonproxy.gossip import FANOUT, Gossip
from monsoonproxy.joining import Joiner
from monsoonproxy.juries import Jury
from monsoonproxy.lenders import Links
from monsoonproxy.logs import log_for
from monsoonproxy.members import Surroundings
from monsoonproxy.models import Host
from monsoonproxy.neighbours import Neighbour, Neighbours
from monsoonproxy.node_settings import NodeSettings
from monsoonproxy.observing import Observer
from monsoonproxy.placement import Placement, ranked
from monsoonproxy.promotion import Promoter
from monsoonproxy.relays import Relay, wait_idle
from monsoonproxy.retirement import Retirement
from monsoonproxy.servers import Server
from monsoonproxy.stores import Documents, Store
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
#: Time in ms after the start within which no connections are opened ahead
#: while the list of daemons is not complete. When all daemons start for the
#: first time, the store takes 0.5 s for their rows.
_PLAN_BY = Millis(1_000)
#: Time in ms between two lines with what was counted.
_REPORT = Millis(5_000)
#: Daemons behind it that a delegate tells of news at once; they tell others.
#: All at once would hold up the event loop on sites of thousands.
_BEHIND_TOLD = 64
#: A task that has nothing left to do may return.
_ONCE = RestartRule(restart=Restart.TRANSIENT)


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
        self._placement = Placement()
        self._hosts: frozenset[Host] = frozenset()
        #: The hosts that the delegates were chosen from.
        self._delegated: frozenset[Host] = frozenset()
        #: Whether connections are shared as the hosts and the latest news ask.
        self._is_planned = False
        #: Who lends connections to a server, until the hosts change.
        self._lending: dict[tuple[str, int], tuple[Host, ...]] = {}
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
        self._joiner = Joiner(settings, store, self._gossip, clock)
        self._joiner.on_list = self._take_list
        self._delegation = Delegation(
            settings,
            store,
            self.catalog,
            self._supervisor,
            clock,
        )
        self._retirement = Retirement(
            settings.name,
            self._joiner.listing,
            store,
            self._neighbours,
            clock,
        )
        self._gossip.follows = lambda: self._delegation.connected
        jury = Jury(self._gossip, find, clock, rng)
        self._promoter = Promoter(store, self._gossip, jury, find, clock)
        self.catalog.on_doubt = self._promoter.doubt
        self.catalog.on_news = self._tell_news
        self._clients = ClientListener(
            self.catalog,
            dialect,
            clock,
            Observer(self._telemetry),
            settings.max_callers,
        )

    @property
    def ready(self) -> bool:
        """Tell whether new callers should come here."""
        if self.catalog.table is None or self._stopping.is_set():
            return False
        return not self.catalog.is_apart()

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
        children.start_child('join', self._joiner.run, _ONCE)
        children.start_child('seeds', self._joiner.ask_seeds, _ONCE)
        children.start_child('gossip', self._gossip.run)
        children.start_child('sweep', self._sweep)
        children.start_child('retirement', self._retirement.run)
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

    async def _take_list(self) -> None:
        """Plan with the daemons that the store lists."""
        self._replan()
        receivers = self._neighbours.at(self._delegation.delegates)
        if not self._delegation.is_delegate:
            # They answer if they have something newer.
            self._gossip.announce(receivers)
        await self._delegate()

    def _tell_news(self) -> None:
        now = self._clock.now()
        if self._delegation.is_delegate:
            own = self._own()
            own.version, own.stamp = self.catalog.versions()
            told = self._neighbours.behind(own, _BEHIND_TOLD, now)
        else:
            told = self._neighbours.some(FANOUT, now)
        self._gossip.announce(told)
        self._is_planned = False
        self._replan()

    def _lender_gone(self, relay: str) -> None:
        self._neighbours.suspect(relay)
        self._replan()

    def _replan(self) -> None:
        """Adapt to the daemons that are there."""
        now = self._clock.now()
        own = Host(
            self._settings.relay_address, self._settings.availability_zone
        )
        hosts = self._neighbours.hosts(now) | {own}
        if hosts != self._hosts:
            self._is_planned = False
            self._hosts = hosts
            self._placement.update(hosts)
            self._lending.clear()
        is_late = now - self._started_at >= _PLAN_BY
        if self._joiner.has_read or is_late:
            self._choose_delegates()
        if self._joiner.has_list or is_late:
            self.catalog.replan(len(hosts), is_changed=not self._is_planned)
            self._is_planned = True

    def _choose_delegates(self) -> None:
        """Choose who follows the store, if the hosts are others than before.

        Before the list was read, few daemons are known, and on a small site
        all follow the store.
        """
        if self._delegated != self._hosts:
            self._delegated = self._hosts
            self._delegation.choose(self._hosts)
            self._gossip.is_delegate = self._delegation.is_delegate
            self._retirement.is_delegate = self._delegation.is_delegate

    async def _delegate(self) -> None:
        alive = self._neighbours.alive(self._clock.now())
        await self._delegation.adapt(alive)

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
        await self._clients.close_idle()
        until = began + grace * _TRANSACTIONS_SHARE
        while self._clients.connections and clock.now() < until:
            await asyncio.sleep(seconds(_DRAIN_PAUSE))
        self._clients.end_transactions('the daemon is stopping')
        until = began + grace * _END_SHARE
        while self._clients.connections and clock.now() < until:
            await self._clients.close_idle()
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
            new_counts = self._telemetry.new_counts()
            if new_counts:
                _log.bind(**new_counts).info('Counted')


def _reload() -> None:
    _log.info('Settings file changed; nothing in it applies at run time')
