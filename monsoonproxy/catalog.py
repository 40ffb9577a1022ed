"""What a daemon knows of services, routes and backend servers."""

from collections.abc import Callable

from monsoonproxy.clock import Millis
from monsoonproxy.clusters import Cluster
from monsoonproxy.exceptions import ConfigurationError
from monsoonproxy.leaders import Leaders
from monsoonproxy.logs import log_for
from monsoonproxy.members import Surroundings
from monsoonproxy.plans import Plan, make_plan
from monsoonproxy.routes import RouteTable, ServiceRules
from monsoonproxy.servers import Server, ServerList
from monsoonproxy.snapshots import (
    Snapshot,
    Wanted,
    pack,
    pack_entries,
    unpack,
    unpack_entries,
)
from monsoonproxy.statement_runner import StatementRunner
from monsoonproxy.stores import Change, Changes, Documents

_log = log_for('catalog')

#: Time in ms after a failure of the store in which a removed entry may only
#: have lapsed. Entries lapse within three intervals of 1.2 s.
_LAPSE_WINDOW = Millis(6_000)


class Catalog:
    """Takes the operator's configuration and the backend servers' entries.

    :param documents: Decodes them.
    :param shared: What the services share.
    """

    def __init__(self, documents: Documents, shared: Surroundings) -> None:
        self.table: RouteTable | None = None
        self.runners: dict[str, StatementRunner] = {}
        #: Is told of a new configuration or new entries.
        self.on_news: Callable[[], None] = _do_nothing
        #: Is told of a leader that may have failed.
        self.on_doubt: Callable[[Cluster, str], None] = _ignore
        self._documents = documents
        self._shared = shared
        self._servers = ServerList()
        self._plans: dict[str, Plan] = {}
        #: The entries as they lie in the store, and their version.
        self._entries: dict[str, bytes] = {}
        self._stamp = 0
        #: The configuration in force as other daemons fetch it, and the
        #: entries once one has fetched them.
        self._packed = b''
        self._packed_entries = b''

    def runner(self, service: str) -> StatementRunner | None:
        """Return the runner of a service.

        :param service: Its name.
        :returns: The runner, if the service is configured.
        """
        return self.runners.get(service)

    def is_apart(self) -> bool:
        """Tell whether this daemon is behind a partition.

        :returns: Whether it misses a leader while most other daemons are
            silent, so that callers are served better elsewhere.
        """
        leaders = (each.cluster.leader for each in self.runners.values())
        return any(leader is not None and leader.is_apart for leader in leaders)

    def versions(self) -> tuple[int, int]:
        """Return the versions of configuration and entries.

        :returns: Zeros for what is not known yet.
        """
        return self.table.version if self.table else 0, self._stamp

    def newer(self, wanted: Wanted) -> Snapshot:
        """Return what is newer than what another daemon has.

        :param wanted: What it has.
        :returns: What it lacks.
        """
        configuration = b''
        if self.table is not None and self.table.version > wanted.version:
            configuration = self._packed
        if self._stamp <= wanted.stamp:
            return Snapshot(configuration)
        if not self._packed_entries:
            self._packed_entries = pack_entries(self._entries)
        return Snapshot(configuration, self._stamp, self._packed_entries)

    def take(self, snapshot: Snapshot) -> None:
        """Take over what another daemon has newer.

        :param snapshot: What it sent.
        :raises PeerError: If it is damaged.
        """
        if snapshot.configuration:
            self.take_routes(unpack(snapshot.configuration))
        if snapshot.stamp > self._stamp:
            rows = tuple(
                Change(key, content, snapshot.stamp)
                for key, content in unpack_entries(snapshot.entries).items()
            )
            changes = Changes(rows, snapshot.stamp)
            self.take_servers(changes, whole=True, failed_at=Millis(0))

    def take_operator(self, changes: Changes, _whole: bool) -> None:
        """Take in the operator's row.

        :param changes: What the store says.
        """
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
        self._packed = pack(content)
        _log.info('Configuration {} in force', table.version)
        for name, rules in table.services.items():
            runner = self.runners.get(name)
            if runner is None:
                self._start(name, rules)
            else:
                runner.cluster.rules = rules
        self.on_news()

    def take_servers(
        self, changes: Changes, *, whole: bool, failed_at: Millis
    ) -> None:
        """Take in entries of backend servers.

        :param changes: What the store says.
        :param whole: Whether these are all entries.
        :param failed_at: When the store last failed, or 0.
        """
        now = self._shared.clock.now()
        was_away = failed_at > 0 and now - failed_at < _LAPSE_WINDOW
        listed = []
        before = self._stamp
        self._packed_entries = b''
        for row in changes.rows:
            self._stamp = max(self._stamp, row.version)
            if row.content is None:
                self._lose(row.key, now, was_away=was_away)
                continue
            self._entries[row.key] = row.content
            server = self._decode(row.key, row.content)
            if server is not None:
                listed.append(server)
                self._servers.put(server)
                self._use(server)
        if whole:
            gone = self._servers.replace_all(listed, now, was_away=was_away)
            for missing in gone:
                self._drop(missing)
        if self._stamp > before:
            self.on_news()

    def expire(self) -> None:
        """Drop entries that lapsed and did not come back."""
        for server in self._servers.expire(self._shared.clock.now()):
            self._drop(server)

    def replan(self, daemons: int, *, is_changed: bool) -> None:
        """Decide again how connections are shared.

        :param daemons: Number of daemons, with this one.
        :param is_changed: Whether these, or what is configured, are others
            than before.
        """
        for name, runner in self.runners.items():
            cluster = runner.cluster
            if not cluster.members:
                # How many slots a backend server has is not known yet.
                continue
            before = self._plans.get(name, Plan())
            plan = make_plan(
                cluster.rules.connection_limit, cluster.slots, daemons, before
            )
            if plan != before:
                _log.info('{}: {} for {} daemons', name, plan, daemons)
            self._plans[name] = plan
            if is_changed or plan != cluster.plan:
                cluster.replan(plan)

    def _start(self, name: str, rules: ServiceRules) -> None:
        cluster = Cluster(rules, self._shared)
        cluster.on_doubt = self.on_doubt
        self.runners[name] = StatementRunner(cluster, Leaders(cluster))
        for server in self._servers.of(name):
            cluster.put(server)

    def _decode(self, key: str, content: bytes) -> Server | None:
        try:
            return self._documents.server(key, content)
        except ConfigurationError as exc:
            # It names no server to use; the others hold.
            _log.warning('Entry {} ignored: {}', key, exc)
            return None

    def _lose(self, name: str, now: Millis, *, was_away: bool) -> None:
        if was_away:
            self._servers.lapse(name, now)
            return
        server = self._servers.remove(name)
        if server is not None:
            self._drop(server)

    def _use(self, server: Server) -> None:
        runner = self.runners.get(server.service)
        if runner is not None:
            runner.cluster.put(server)

    def _drop(self, server: Server) -> None:
        _log.info('{} of {} is gone', server.server_id, server.service)
        self._entries.pop(server.server_id, None)
        self._packed_entries = b''
        runner = self.runners.get(server.service)
        if runner is not None:
            runner.cluster.remove(server.server_id)


def _do_nothing() -> None:
    """Do nothing; stands in until somebody wants to know."""


def _ignore(_cluster: Cluster, _server_id: str) -> None:
    """Do nothing; stands in until somebody watches leaders."""
