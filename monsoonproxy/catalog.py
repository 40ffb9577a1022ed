"""Services, routes and backend servers that a daemon knows."""

from collections.abc import Callable, Iterable
from functools import partial

from monsoonproxy.clock import Millis
from monsoonproxy.clusters import Cluster
from monsoonproxy.connection_plans import ConnectionPlan, make_plan
from monsoonproxy.exceptions import ConfigurationError
from monsoonproxy.leader_monitor import LeaderMonitor
from monsoonproxy.logs import log_for
from monsoonproxy.members import ClusterContext
from monsoonproxy.routes import RouteTable, ServiceRules
from monsoonproxy.servers import Server, ServerList
from monsoonproxy.snapshots import (
    Snapshot,
    SnapshotRequest,
    compress,
    compress_entries,
    decompress,
    decompress_entries,
)
from monsoonproxy.statement_runner import StatementRunner
from monsoonproxy.stores import Documents, Revision, StoreRow, TableRows

_log = log_for('catalog')

#: Time in ms after a failure of the store in which the removal of an entry may
#: only mean that it lapsed, and the backend server still runs. Entries lapse
#: within three intervals of 1.2 s.
_LAPSE_WINDOW = Millis(6_000)


class Catalog:
    """Applies the operator's configuration and the backend servers' entries.

    :param documents: Decodes the documents that the store holds.
    :param shared: Objects that the clusters of all services share.
    """

    def __init__(self, documents: Documents, shared: ClusterContext) -> None:
        self.table: RouteTable | None = None
        self.runners: dict[str, StatementRunner] = {}
        #: Called after a newer configuration or newer entries were applied.
        self.on_update: Callable[[], None] = _do_nothing
        #: Called with cluster and identity of a leader that may have failed.
        self.on_leader_suspected: Callable[[Cluster, str], None] = (
            _ignore_suspicion
        )
        self._documents = documents
        self._shared = shared
        self._servers = ServerList()
        self._plans: dict[str, ConnectionPlan] = {}
        #: Up to when the entries are known.
        self._revision = Revision()
        #: The compressed configuration in force, and the compressed entries
        #: once a peer has fetched them.
        self._compressed_configuration = b''
        self._compressed_entries = b''

    def runner(self, service: str) -> StatementRunner | None:
        """Return the runner of a service.

        :param service: Name of the service.
        :returns: The runner, or ``None`` if the service is not configured.
        """
        return self.runners.get(service)

    def share_of(self, organisation: str) -> float:
        """Return an organisation's share of the rates of all.

        :param organisation: Name of the organisation.
        :returns: The share, from 0 to 1.
        """
        return self.table.directory.share(organisation) if self.table else 1

    def is_partitioned(self) -> bool:
        """Tell whether this daemon is cut off by a network partition.

        :returns: Whether it can't reach a leader while most of its peers don't
            answer, so that other daemons can serve callers better.
        """
        leaders = (each.cluster.leader for each in self.runners.values())
        return any(
            leader is not None and leader.is_partitioned for leader in leaders
        )

    def versions(self) -> tuple[int, Revision]:
        """Return version of the configuration and revision of the entries.

        :returns: Both; version 0 for what is not known yet.
        """
        return self.table.version if self.table else 0, self._revision

    def newer_than(self, request: SnapshotRequest) -> Snapshot:
        """Return what is newer than the versions that a peer has.

        :param request: The peer's request with its versions.
        :returns: The newer parts.
        """
        configuration = b''
        if self.table is not None and self.table.version > request.version:
            configuration = self._compressed_configuration
        known = self._revision
        if known <= request.revision:
            return Snapshot(configuration)
        if not self._compressed_entries:
            self._compressed_entries = compress_entries(
                {server.server_id: server.document for server in self._servers}
            )
        return Snapshot(
            configuration,
            known.version,
            self._compressed_entries,
            known.era,
            list(self._servers.lapsed),
        )

    def apply(self, snapshot: Snapshot) -> None:
        """Apply the newer parts of a snapshot from a peer.

        :param snapshot: The snapshot.
        :raises PeerError: If it can't be decompressed or decoded.
        """
        if snapshot.configuration:
            self.apply_configuration(decompress(snapshot.configuration))
        revision = snapshot.revision
        if revision > self._revision:
            rows = tuple(
                StoreRow(key, content, revision)
                for key, content in decompress_entries(snapshot.entries).items()
            )
            changes = TableRows(rows, revision)
            self.apply_server_rows(
                changes,
                whole=True,
                failed_at=Millis(0),
                lapsed=frozenset(snapshot.lapsed),
            )

    def apply_configuration_row(self, changes: TableRows, _whole: bool) -> None:
        """Apply the operator's configuration from its row in the store.

        :param changes: The row, if it exists or changed.
        """
        for row in changes.rows:
            if row.content is not None:
                self.apply_configuration(row.content)

    def apply_configuration(self, content: bytes) -> None:
        """Apply a configuration document if it is newer than the current one.

        A malformed document is logged and ignored.

        :param content: The document.
        """
        try:
            table = self._documents.routes(content)
            if self.table is not None and table.version <= self.table.version:
                return
            sealed = self._documents.seal(content)
        except ConfigurationError as exc:
            _log.error('Ignored a malformed configuration: {}', exc)
            return
        self.table = table
        self._compressed_configuration = compress(sealed)
        _log.info(
            'Configuration {} in force, with {} routes and {} organisations',
            table.version,
            len(table.routes),
            len(table.directory.organisations),
        )
        for name, rules in table.services.items():
            runner = self.runners.get(name)
            if runner is None:
                self._start(name, rules)
            else:
                runner.cluster.rules = rules
        self.on_update()

    def apply_server_rows(
        self,
        changes: TableRows,
        *,
        whole: bool,
        failed_at: Millis,
        lapsed: frozenset[str] = frozenset(),
    ) -> None:
        """Apply entries of backend servers.

        :param changes: The entries that were read or changed.
        :param whole: Whether these are all entries, so that backend servers
            without one are removed.
        :param failed_at: When the store last failed, or 0.
        :param lapsed: Entries that a peer has but the store lacks.
        """
        if changes.revision.era < self._revision.era:
            # Read from the store before it was restored; peers have told newer
            # entries since.
            return
        now = self._shared.clock.now()
        before = self._revision
        if before > Revision() and before.era < changes.revision.era:
            _log.info(
                'Entries are of era {} of the store instead of {}; some may be'
                ' older than known ones',
                changes.revision.era,
                before.era,
            )
            self._servers.start_distrust(now)
        was_unavailable = self._servers.is_distrusting(now) or (
            failed_at > 0 and now - failed_at < _LAPSE_WINDOW
        )
        self._compressed_entries = b''
        found = [
            self._apply_row(row, now, was_unavailable=was_unavailable)
            for row in changes.rows
        ]
        if whole:
            gone = self._servers.replace_all(
                filter(None, found), now, was_unavailable=was_unavailable
            )
            for name in lapsed:
                self._servers.lapse(name, now)
            self._handle_missing(gone, changes.revision)
        if self._revision > before:
            self.on_update()

    def expire(self) -> None:
        """Remove backend servers whose lapsed entries did not come back.

        Also, entries that were kept back after a restore of the store are
        used once they can be trusted.
        """
        now = self._shared.clock.now()
        for server in self._servers.expire(now):
            self._remove_server(server)
        for server in self._servers.end_distrust(now):
            self._use_entry(server, None, self._revision)

    def replan(self, daemons: int, *, is_changed: bool) -> None:
        """Plan again how the daemons share connections.

        :param daemons: Number of daemons, this one included.
        :param is_changed: Whether the hosts, the configuration or the entries
            have changed since the last call.
        """
        directory = self.table.directory if self.table else None
        for name, runner in self.runners.items():
            cluster = runner.cluster
            if not cluster.members:
                # The slots of a backend server are not known yet.
                continue
            before = self._plans.get(name, ConnectionPlan())
            plan = make_plan(
                cluster.rules.connection_limit,
                cluster.slots,
                daemons,
                before,
                by_organisation=bool(directory),
            )
            if plan != before:
                _log.info(
                    '{}: connection plan is {} for {} daemons',
                    name,
                    plan,
                    daemons,
                )
            self._plans[name] = plan
            if is_changed or plan != cluster.plan:
                cluster.replan(plan)

    def _start(self, name: str, rules: ServiceRules) -> None:
        cluster = Cluster(rules, self._shared)
        cluster.lead.on_suspected = partial(self.on_leader_suspected, cluster)
        self.runners[name] = StatementRunner(cluster, LeaderMonitor(cluster))
        for server in self._servers.of(name):
            cluster.put(server)

    def _apply_row(
        self, row: StoreRow, now: Millis, *, was_unavailable: bool
    ) -> Server | None:
        """Apply one entry; return it unless it is malformed or removed."""
        self._revision = max(self._revision, row.revision)
        if row.content is None:
            self._handle_removed_row(
                row.key, now, was_unavailable=was_unavailable
            )
            return None
        server = self._decode(row.key, row.content)
        if server is None:
            return None
        known = self._servers.get(row.key)
        if self._servers.put(server, now):
            self._use_entry(server, known, row.revision)
        else:
            _log.info(
                'Kept back an entry of {} from {}: a newer one is known',
                row.key,
                row.revision,
            )
        return server

    def _handle_missing(
        self, gone: Iterable[Server], revision: Revision
    ) -> None:
        """Remove what a whole read lacks, and make peers fetch the change.

        Missing entries have no version of their own. The first read of an era
        is newer than all before even if nothing is missing.
        """
        is_complete = not self._servers.lapsed
        for server in gone:
            self._remove_server(server)
            is_complete = False
        known = Revision(revision.era) if is_complete else revision
        self._revision = max(self._revision, known)

    def _decode(self, key: str, content: bytes) -> Server | None:
        try:
            return self._documents.server(key, content)
        except ConfigurationError as exc:
            # No server can be made of this entry; the others are applied.
            _log.warning(
                'Ignored the malformed entry of backend server {}: {}', key, exc
            )
            return None

    def _handle_removed_row(
        self, name: str, now: Millis, *, was_unavailable: bool
    ) -> None:
        if was_unavailable:
            self._servers.lapse(name, now)
            return
        server = self._servers.remove(name, now)
        if server is not None:
            self._remove_server(server)

    def _use_entry(
        self, server: Server, known: Server | None, revision: Revision
    ) -> None:
        if server.tells_more_than(known):
            _log.info(
                'Backend server {} of {} is {}, {}; entry from {}',
                server.server_id,
                server.service,
                server.role.value,
                'leaving' if server.leaving else 'ready',
                revision,
            )
        self._compressed_entries = b''
        runner = self.runners.get(server.service)
        if runner is not None:
            runner.cluster.put(server)

    def _remove_server(self, server: Server) -> None:
        _log.info(
            'Removed backend server {} of {}: its entry is gone',
            server.server_id,
            server.service,
        )
        self._compressed_entries = b''
        runner = self.runners.get(server.service)
        if runner is not None:
            runner.cluster.remove(server.server_id)


def _do_nothing() -> None:
    """Do nothing; the default until the node sets a callback."""


def _ignore_suspicion(_cluster: Cluster, _server_id: str) -> None:
    """Do nothing; the default until the node sets a callback."""
