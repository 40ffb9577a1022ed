"""A daemon that reads configuration and backend servers from a store."""

import asyncio
import random
import signal
from collections.abc import Iterable

from monsoonproxy.catalog import Catalog
from monsoonproxy.client_listeners import ClientListener
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.delegation import Delegation
from monsoonproxy.dialects import Dialect
from monsoonproxy.gossip import FANOUT, Gossip
from monsoonproxy.joining import Joiner
from monsoonproxy.logs import log_for
from monsoonproxy.members import ClusterContext
from monsoonproxy.models import Host
from monsoonproxy.node_settings import NodeSettings
from monsoonproxy.organisations.affinity import (
    order_lenders,
    preferred_replicas,
)
from monsoonproxy.organisations.quotas import Quotas
from monsoonproxy.organisations.status import (
    OrganisationStatus,
    organisations_text,
)
from monsoonproxy.peer_cleanup import PeerCleanup
from monsoonproxy.peer_list import Peer, PeerList
from monsoonproxy.placement import Placement, ranked
from monsoonproxy.promotion import Promoter
from monsoonproxy.reachability import ReachabilityPoller
from monsoonproxy.relay_client import RelayClients
from monsoonproxy.relay_server import RelayServer, wait_idle
from monsoonproxy.servers import Server
from monsoonproxy.statement_outcomes import StatementRecorder
from monsoonproxy.stores import Documents, Store
from monsoonproxy.supervisors import Restart, RestartRule, Supervisor
from monsoonproxy.telemetry import Telemetry

_log = log_for('node')

#: Time in ms between two checks for idle transactions and lapsed entries.
_SWEEP_INTERVAL = Millis(250)
#: Time in ms between two of them above which the daemon was starved.
_STARVED_INTERVAL = Millis(300)
#: Shares of the time between SIGTERM and SIGKILL after which idle sessions are
#: closed, nothing new is begun, open transactions are ended, and the process
#: ends. Transactions that were begun before the second are lost to the stop
#: only if they last longer than until the third. Between the last two, callers
#: send their next statement and learn that their transaction has ended.
_CLOSE_SHARE = 0.35
_REFUSE_SHARE = 0.5
_TRANSACTIONS_SHARE = 0.8
_END_SHARE = 0.9
#: What callers are told whose statements are not run while the daemon stops.
#: The load balancer sends new connections elsewhere by then.
_STOP_REASON = 'the daemon is stopping; connect again'
#: Time in ms between two checks whether callers are still connected.
_DRAIN_POLL_INTERVAL = 50
#: Time in ms after the start during which connections are not planned, and so
#: not opened in advance, while the list of daemons is incomplete. When all
#: daemons start for the first time, the store takes 0.5 s to write their rows.
_PLAN_DEADLINE = Millis(1_000)
#: Time in ms between two log lines with counters.
_REPORT_INTERVAL = Millis(5_000)
#: Peers with older versions that a delegate sends an update to at once; they
#: pass it on. Sending to all would block the event loop on sites with thousands
#: of daemons.
_OUTDATED_FANOUT = 64
#: Rule of tasks that end when their work is done.
_RUN_ONCE = RestartRule(restart=Restart.TRANSIENT)


class Node:
    """Creates and connects the components of a daemon.

    :param settings: Settings of the daemon.
    :param dialect: Protocol of callers and backend servers.
    :param store: The platform's store.
    :param documents: Decodes the documents that the store holds.
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
        self._peers = PeerList(settings.name, rng)
        self._started_at = clock.now()
        self._placement = Placement()
        self._hosts: frozenset[Host] = frozenset()
        #: The hosts that the delegates were last chosen from.
        self._delegate_hosts: frozenset[Host] = frozenset()
        #: Whether the connection plan is up to date with the hosts, the
        #: configuration and the entries.
        self._is_planned = False
        #: Lenders by server and count; cleared when the hosts change.
        self._lender_cache: dict[
            tuple[str, int, str | None], tuple[Host, ...]
        ] = {}
        self._links = RelayClients(clock)
        self._links.on_unresponsive = self._lender_unresponsive
        self.catalog = Catalog(
            documents,
            ClusterContext(
                dialect,
                settings.availability_zone,
                clock,
                self._telemetry,
                self._links,
                settings.relay_address,
                self._lenders,
                self._preferred_replicas,
                settings.drain,
            ),
        )
        find = self.catalog.runner
        self._relay = RelayServer(find, settings.caller_bytes)
        self._gossip = Gossip(
            self._own_peer(), self._peers, self.catalog, clock
        )
        self._joiner = Joiner(settings, store, self._gossip, clock)
        self._joiner.on_peers_listed = self._on_peers_listed
        self._delegation = Delegation(
            settings,
            store,
            self.catalog,
            self._supervisor,
            clock,
        )
        self._peer_cleanup = PeerCleanup(
            settings.name,
            self._joiner.listing,
            store,
            self._peers,
            clock,
        )
        self._gossip.follows = lambda: self._delegation.connected
        poller = ReachabilityPoller(self._gossip, find, clock, rng)
        self._promoter = Promoter(store, self._gossip, poller, find, clock)
        self.catalog.on_leader_suspected = self._promoter.check_leader
        self.catalog.on_update = self._announce_update
        self.quotas = Quotas(
            self._gossip,
            settings.availability_zone,
            clock,
            self._telemetry,
            rng,
        )
        self._clients = ClientListener(
            self.catalog,
            self.quotas,
            dialect,
            clock,
            StatementRecorder(self._telemetry),
            settings.caller_limit,
            settings.caller_bytes,
        )

    @property
    def ready(self) -> bool:
        """Tell whether load balancers should send new callers here."""
        if self.catalog.table is None or self._stopping.is_set():
            return False
        return not self.catalog.is_partitioned()

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        text = self._telemetry.text(self.gauges())
        return (text + organisations_text(self.quotas.status())).encode()

    def organisations(self) -> dict[str, OrganisationStatus]:
        """Return limit and use of each organisation, by name."""
        return self.quotas.status()

    def gauges(self) -> dict[str, int]:
        """Return the current values of the gauges.

        :returns: Values by name of the gauge.
        """
        version, _entries = self.catalog.versions()
        return {
            'callers': len(self._clients.connections),
            'callers_busy': self._clients.busy,
            'callers_bytes': self._clients.budget.used,
            'configuration_version': version,
            'connections_lent': self._relay.leases,
            'daemons_alive': len(self._peers.alive(self._clock.now())),
            'ready': int(self.ready),
            'store_era': self._store_era(),
        }

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, _log_reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Open the sockets and start the tasks of the daemon."""
        await self._clients.start(self._settings.listen_address)
        await self._relay.start(self._settings.relay_address)
        await self._gossip.start()
        children = self._supervisor
        children.start_child('join', self._joiner.run, _RUN_ONCE)
        children.start_child('seeds', self._joiner.ask_seeds, _RUN_ONCE)
        children.start_child('gossip', self._gossip.run)
        children.start_child('sweep', self._sweep)
        children.start_child('retirement', self._peer_cleanup.run)
        children.start_child('report', self._report)
        _log.info('{} started', self._settings.name)

    async def stop(self) -> None:
        """Drain the daemon, then end its tasks."""
        self._stopping.set()
        await self._drain()
        await self.abort()
        counts = self._telemetry.new_counts()
        _log.bind(**counts).info('{} stopped', self._settings.name)

    async def abort(self) -> None:
        """End all tasks and close all connections without draining."""
        self._stopping.set()
        await self._supervisor.stop()
        self._clients.stop()
        self._relay.close()
        for runner in self.catalog.runners.values():
            runner.cluster.close()
        self._links.close()
        self._gossip.close()
        self._store.close()

    def _own_peer(self) -> Peer:
        settings = self._settings
        return Peer(
            settings.name,
            settings.peer_address,
            settings.relay_address,
            settings.availability_zone,
            self._clock.wall(),
        )

    def _lenders(
        self, server: Server, count: int, organisation: str | None
    ) -> tuple[Host, ...]:
        """Return the hosts of the daemons that lend connections to a server.

        Those of an organisation come first. Without one, those in the own
        availability zone do, since the round trip to them is short; within a
        zone, the order differs from daemon to daemon, so that the load spreads.
        """
        key = (server.server_id, count, organisation)
        found = self._lender_cache.get(key)
        if found is None:
            hosts = self._placement.holders(server.server_id, count)
            found = self._order_lenders(hosts, organisation)
            self._lender_cache[key] = found
        return found

    def _order_lenders(
        self, hosts: tuple[Host, ...], organisation: str | None
    ) -> tuple[Host, ...]:
        name, zone = self._settings.name, self._settings.availability_zone
        if organisation:
            share = self.catalog.share_of(organisation)
            return order_lenders(hosts, organisation, share, name)
        return tuple(
            sorted(
                ranked(name, hosts),
                key=lambda host: host.availability_zone != zone,
            )
        )

    def _preferred_replicas(
        self, replicas: Iterable[str], organisation: str
    ) -> frozenset[str]:
        share = self.catalog.share_of(organisation)
        return preferred_replicas(replicas, organisation, share)

    async def _on_peers_listed(self) -> None:
        """Plan with the listed peers, and ask delegates for updates."""
        self._replan()
        self.quotas.update_daemons()
        if self._joiner.has_joined:
            self.quotas.holding.start(
                self._clock.now(), was_listed=self._joiner.was_listed
            )
        receivers = self._peers.with_relays(self._delegation.delegates)
        if not self._delegation.is_delegate:
            # Delegates with newer versions answer with their presence.
            self._gossip.announce(receivers)
        await self._update_delegation()

    def _announce_update(self) -> None:
        now = self._clock.now()
        if self._delegation.is_delegate:
            own = self._own_peer()
            own.version, own.entries = self.catalog.versions()
            receivers = self._peers.outdated(own, _OUTDATED_FANOUT, now)
        else:
            receivers = self._peers.sample_alive(FANOUT, now)
        self._gossip.announce(receivers)
        self._is_planned = False
        self._lender_cache.clear()
        if self.catalog.table is not None:
            self.quotas.configure(self.catalog.table)
        self._replan()

    def _lender_unresponsive(self, relay: str) -> None:
        self._peers.suspect(relay)
        self._replan()

    def _replan(self) -> None:
        """Update delegates and connection plan for the live daemons."""
        now = self._clock.now()
        own = Host(
            self._settings.relay_address, self._settings.availability_zone
        )
        hosts = self._peers.hosts(now) | {own}
        if hosts != self._hosts:
            self._is_planned = False
            self._hosts = hosts
            self._placement.update(hosts)
            self._lender_cache.clear()
        is_late = now - self._started_at >= _PLAN_DEADLINE
        if self._joiner.has_read_list or is_late:
            self._choose_delegates()
        if self._joiner.has_joined or is_late:
            self.catalog.replan(len(hosts), is_changed=not self._is_planned)
            self._is_planned = True

    def _choose_delegates(self) -> None:
        """Choose the delegates if the hosts have changed.

        Must not be called before the list of daemons was read or is late: few
        daemons are known then, and on a site that small all follow the store.
        """
        if self._delegate_hosts != self._hosts:
            self._delegate_hosts = self._hosts
            self._delegation.choose(self._hosts)
            self._gossip.is_delegate = self._delegation.is_delegate
            self._peer_cleanup.is_delegate = self._delegation.is_delegate

    async def _update_delegation(self) -> None:
        alive = self._peers.alive(self._clock.now())
        await self._delegation.update(alive, self._store_era())

    def _store_era(self) -> int:
        """Return the latest era that the store or a peer has told."""
        _version, entries = self.catalog.versions()
        return max(self._store.era, entries.era)

    async def _drain(self) -> None:
        """Let callers finish, within the time until SIGKILL."""
        clock, grace = self._clock, self._settings.grace
        began = clock.now()
        _log.info(
            'Stopping within {} ms; {} callers busy', grace, self._clients.busy
        )
        self._gossip.leaving = True
        self._gossip.announce(self._peers.all())
        # The load balancer detects within two health probes that this daemon
        # is not ready. Until then, closed callers would reconnect to it.
        await asyncio.sleep(seconds(grace) * _CLOSE_SHARE)
        await self._clients.close_idle()
        await self._wait_for_callers(began + grace * _REFUSE_SHARE)
        self._clients.refuse_new(_STOP_REASON)
        await self._wait_for_callers(began + grace * _TRANSACTIONS_SHARE)
        self._clients.end_transactions()
        until = began + grace * _END_SHARE
        await self._wait_for_callers(until)
        await wait_idle(self._relay, until - clock.now())
        await self._clients.finish()

    async def _wait_for_callers(self, until: float) -> None:
        """Wait until all callers have left, or until a time in ms."""
        while self._clients.connections and self._clock.now() < until:
            await asyncio.sleep(seconds(_DRAIN_POLL_INTERVAL))

    async def _sweep(self) -> None:
        while True:
            since = self._clock.now()
            await asyncio.sleep(seconds(_SWEEP_INTERVAL))
            took = Millis(self._clock.now() - since)
            if took > _STARVED_INTERVAL:
                self._delegation.note_suspension(took)
            self._clients.end_slow()
            if self.catalog.table is not None:
                limit = self.catalog.table.idle_transaction
                self._clients.end_idle_transactions(limit)
            self.catalog.expire()
            self._replan()
            self.quotas.update_daemons()
            self._joiner.check_listing(self._store_era())
            await self._update_delegation()
            for runner in self.catalog.runners.values():
                self._promoter.replace_leaving_leader(runner)
                self._promoter.replace_missing_leader(runner)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(seconds(_REPORT_INTERVAL))
            new_counts = self._telemetry.new_counts()
            if new_counts:
                _log.bind(**new_counts).info('Counted')


def _log_reload() -> None:
    _log.info('Ignored SIGHUP: no setting of the file applies at run time')
