"""A daemon that reaches its backend servers directly."""

import asyncio
import random
import signal

import attrs

from monsoonproxy.clients import Clients
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.conversations import Conversation
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConfigurationError, PlatformError
from monsoonproxy.following import Follower
from monsoonproxy.gossip import FANOUT, Gossip
from monsoonproxy.logs import log_for
from monsoonproxy.neighbours import Neighbours
from monsoonproxy.promotion import Promoter
from monsoonproxy.models import Outcome
from monsoonproxy.queries import Answer, Code, Query
from monsoonproxy.routes import RouteTable
from monsoonproxy.running import Runner
from monsoonproxy.servers import Server, ServerList
from monsoonproxy.stores import Changes, Documents, Store, Table
from monsoonproxy.telemetry import Telemetry
from monsoonproxy.supervisors import Restart, RestartRule, Supervisor

_log = log_for('node')

#: Pause in ms between two looks at idle transactions and lapsed entries.
_SWEEP = Millis(250)
#: Time in ms after a failure of the store in which a removed entry may only
#: have lapsed. Entries lapse within three intervals of 1.2 s.
_LAPSE_WINDOW = Millis(6_000)
#: Share of the time between SIGTERM and SIGKILL after which idle sessions are
#: closed, open transactions are ended, and the process ends.
_CLOSE_SHARE = 0.35
_TRANSACTIONS_SHARE = 0.5
_END_SHARE = 0.9
_DRAIN_PAUSE = 50
#: Pause in ms before another try to register.
_REGISTER_PAUSE = 500
#: Time in ms between two lines with what was counted.
_REPORT = Millis(5_000)
_OUTCOMES = {
    None: Outcome.ANSWERED,
    Code.FAILED: Outcome.FAILED,
    Code.IN_DOUBT: Outcome.UNKNOWN,
    Code.TIMEOUT: Outcome.UNKNOWN,
}
#: A task that has nothing left to do may return.
_ONCE = RestartRule(restart=Restart.TRANSIENT)


@attrs.frozen
class NodeSettings:
    """What a daemon must know before it has a configuration.

    :param name: Its name.
    :param availability_zone: The zone that its host is in.
    :param ip: Address of its host.
    :param listen_address: Where callers connect.
    :param probe_address: Where the balancer asks whether it is ready.
    :param peer_address: Where other daemons reach it; empty for nowhere.
    :param metrics_address: Where metrics are served.
    :param seed_peers: Daemons to ask while the store is down.
    :param store_address: The platform's store.
    :param orders_address: Where promotions are ordered.
    :param grace: Time in ms between SIGTERM and SIGKILL.
    :param drain: Time in ms for which a leaving backend server serves.
    :param max_callers: Greatest number of callers' connections.
    :param inner_port: A port for messages between daemons.
    """

    name: str
    availability_zone: str
    ip: str
    listen_address: str
    probe_address: str
    peer_address: str
    metrics_address: str
    seed_peers: tuple[str, ...]
    store_address: str
    orders_address: str
    grace: Millis
    drain: Millis
    max_callers: int
    inner_port: int


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
        self.table: RouteTable | None = None
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._documents = documents
        self._clock = Clock()
        self._telemetry = Telemetry(self._clock)
        self._servers = ServerList()
        self._runners: dict[str, Runner] = {}
        self._stopping = asyncio.Event()
        self._supervisor = Supervisor('node', self._clock)
        self._clients = Clients(
            self, dialect, self._clock, self, settings.max_callers
        )
        rng = random.Random()
        self._neighbours = Neighbours(settings.name, rng)
        self._gossip = Gossip(
            settings.name, settings.peer_address, self._neighbours, self._clock
        )
        self._gossip.document = self._document
        self._gossip.take_document = self.take_routes
        self._promoter = Promoter(
            settings.name, store, self._gossip, self._find, self._clock, rng
        )
        self._routes_follower = Follower(
            store, Table.CONFIGURATION, self._take_operator, self._clock
        )
        self._servers_follower = Follower(
            store, Table.SERVERS, self._take_servers, self._clock
        )

    @property
    def ready(self) -> bool:
        """Tell whether new callers should come here."""
        return self.table is not None and not self._stopping.is_set()

    def runner(self, service: str) -> Runner | None:
        """Return the runner of a service.

        :param service: Its name.
        :returns: The runner, if the service is configured.
        """
        return self._runners.get(service)

    def ended(
        self, conversation: Conversation, query: Query, answer: Answer, took: int
    ) -> None:
        """Take in the end of a statement."""
        route = self.table and self.table.routes.get(conversation.database)
        if route:
            self._telemetry.record(
                route.service,
                route.freshness.value,
                _OUTCOMES.get(answer.code, Outcome.NOT_RUN),
                Millis(took),
            )
        if answer.code is not None:
            _log.info(
                'request {} on {}: {} {} after {} ms',
                query.request_id.decode(errors='replace'),
                conversation.database,
                answer.code.value,
                answer.reason,
                took,
            )

    def metrics_text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._telemetry.text(self.gauges()).encode()

    def gauges(self) -> dict[str, int]:
        """Return current values.

        :returns: Values by name.
        """
        return {
            'callers': len(self._clients.connections),
            'callers_busy': self._clients.busy,
            'configuration_version': self.table.version if self.table else 0,
            'daemons_alive': len(self._neighbours.alive(self._clock.now())),
            'ready': int(self.ready),
        }

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Start serving."""
        await self._clients.start(self._settings.listen_address)
        await self._gossip.start()
        children = self._supervisor
        children.start_child('register', self._register, _ONCE)
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
        for runner in self._runners.values():
            runner.cluster.close()
        self._gossip.close()
        self._store.close()

    async def _register(self) -> None:
        """Tell the others where this daemon is, and learn where they are."""
        settings = self._settings
        while True:
            try:
                await self._store.put(
                    Table.DAEMONS,
                    settings.name,
                    settings.peer_address.encode(),
                )
                listed = await self._store.read(Table.DAEMONS)
                await self._promoter.tokens.load()
            except PlatformError as exc:
                _log.info('Not registered yet: {}', exc)
                await asyncio.sleep(seconds(_REGISTER_PAUSE))
                continue
            for row in listed.rows:
                if row.content:
                    self._neighbours.add(row.key, row.content.decode())
            self._gossip.announce(self._neighbours.all())
            return

    def _find(self, service: str) -> Cluster | None:
        runner = self._runners.get(service)
        return runner.cluster if runner else None

    def _document(self) -> tuple[int, bytes]:
        if self.table is None:
            return 0, b''
        return self.table.version, self.table.document

    def _reload(self) -> None:
        _log.info('Settings file changed; nothing in it applies at run time')

    async def _drain(self) -> None:
        """Finish what was begun, within the time until SIGKILL."""
        clock = self._clock
        began = clock.now()
        grace = self._settings.grace
        _log.info('Stopping; {} callers busy', self._clients.busy)
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

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(seconds(_SWEEP))
            if self.table is not None:
                limit = self.table.idle_transaction
                self._clients.end_idle_transactions(limit)
            for server in self._servers.expire(self._clock.now()):
                self._drop(server)
            for runner in self._runners.values():
                self._promoter.look_for_leaving(runner.cluster)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(seconds(_REPORT))
            news = self._telemetry.news()
            if news:
                _log.bind(**news).info('Counted')

    # The operator's configuration.

    def _take_operator(self, changes: Changes, _whole: bool) -> None:
        for row in changes.rows:
            if row.content is not None:
                self.take_routes(row.content)

    def take_routes(self, content: bytes) -> None:
        """Put a configuration in force, unless a newer one is.

        :param content: The document.
        """
        try:
            table = self._documents.routes(content)
        except ConfigurationError as exc:
            _log.error('Configuration ignored: {}', exc)
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        _log.info('Configuration {} in force', table.version)
        self._gossip.announce(
            self._neighbours.some(FANOUT, self._clock.now())
        )
        for name, rules in table.services.items():
            if name not in self._runners:
                self._start_service(name, rules)
            else:
                self._runners[name].cluster.rules = rules

    def _start_service(self, name: str, rules) -> None:
        cluster = Cluster(
            rules,
            self._dialect,
            self._settings.availability_zone,
            self._clock,
            self._telemetry,
        )
        cluster.daemons = 15
        cluster.on_doubt = self._promoter.doubt
        self._runners[name] = Runner(cluster)
        for server in self._servers.of(name):
            cluster.put(server)

    # Backend servers.

    def _take_servers(self, changes: Changes, whole: bool) -> None:
        now = self._clock.now()
        was_away = now - self._servers_follower.failed_at < _LAPSE_WINDOW
        was_away = was_away and self._servers_follower.failed_at > 0
        listed = []
        for row in changes.rows:
            if row.content is None:
                self._lost_entry(row.key, now, was_away=was_away)
                continue
            try:
                server = self._documents.server(row.key, row.content)
            except ConfigurationError as exc:
                _log.warning('Entry {} ignored: {}', row.key, exc)
                continue
            listed.append(server)
            self._servers.put(server)
            self._use(server)
        if whole:
            gone = self._servers.replace_all(listed, now, was_away=was_away)
            for server in gone:
                self._drop(server)

    def _lost_entry(self, name: str, now: Millis, *, was_away: bool) -> None:
        if was_away:
            self._servers.lapse(name, now)
            return
        server = self._servers.remove(name)
        if server is not None:
            self._drop(server)

    def _use(self, server: Server) -> None:
        runner = self._runners.get(server.service)
        if runner is not None:
            runner.cluster.put(server)

    def _drop(self, server: Server) -> None:
        _log.info('{} of {} is gone', server.server_id, server.service)
        runner = self._runners.get(server.service)
        if runner is not None:
            runner.cluster.remove(server.server_id)
