"""Starts and stops the table followers of a daemon.

Only the delegates follow the platform's store; the other daemons get updates
from them by gossip.
"""

from collections.abc import Iterable

from monsoonproxy import delegate_selection
from monsoonproxy.catalog import Catalog
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.logs import log_for
from monsoonproxy.models import Host
from monsoonproxy.node_settings import NodeSettings
from monsoonproxy.peer_list import Peer
from monsoonproxy.stores import Revision, Store, Table, TableRows
from monsoonproxy.supervisors import Supervisor
from monsoonproxy.table_followers import TableFollower

_log = log_for('delegation')

#: Time in ms after its start for which a daemon that is no delegate waits for
#: the configuration and the backend servers' entries from its peers before it
#: follows the store itself. Daemons that start have both within 30 ms.
_UPDATE_DEADLINE = Millis(200)
#: The same in ms when all daemons start for the first time: the store needs a
#: second for the rows of hundreds of daemons, and there are no callers yet.
_FIRST_UPDATE_DEADLINE = Millis(2_000)
#: Time in ms after its start within which such a daemon must receive presences
#: of delegates once it has both. Delegates send them every 2 s.
_DELEGATES_DEADLINE = Millis(2_500)
#: Longest time in ms that is left out of these because the daemon did not run.
#: On a host that is slow for good it follows the store after all.
_MAX_SUSPENDED = Millis(2_000)


class Delegation:
    """Runs the table followers while this daemon has to follow the store.

    :param settings: Settings of this daemon.
    :param store: The platform's store.
    :param catalog: Receives the rows of the followed tables.
    :param supervisor: Runs the followers as its children.
    :param clock: Source of time.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        catalog: Catalog,
        supervisor: Supervisor,
        clock: Clock,
    ) -> None:
        self._own = settings.relay_address
        self._update_deadline = (
            _FIRST_UPDATE_DEADLINE if settings.first_start else _UPDATE_DEADLINE
        )
        self._catalog = catalog
        self._supervisor = supervisor
        self._clock = clock
        self._started_at = clock.now()
        #: Time in ms since then in which this daemon did not run.
        self._suspended = Millis(0)
        self._chosen: frozenset[str] = frozenset()
        self._followers = {
            'routes': TableFollower(
                store,
                Table.CONFIGURATION,
                catalog.apply_configuration_row,
                clock,
            ),
            'servers': TableFollower(
                store, Table.SERVERS, self._apply_server_rows, clock
            ),
        }

    @property
    def is_delegate(self) -> bool:
        """Tell whether this daemon is a delegate."""
        return self._own in self._chosen

    @property
    def delegates(self) -> frozenset[str]:
        """Return the relay addresses of the delegates."""
        return self._chosen

    @property
    def connected(self) -> bool:
        """Tell whether all followers are connected to the store."""
        return all(each.connected for each in self._followers.values())

    def choose(self, hosts: Iterable[Host]) -> None:
        """Choose the delegates anew.

        :param hosts: Hosts of all live daemons, this one included.
        """
        self._chosen = delegate_selection.choose_delegates(hosts)

    def note_suspension(self, took: Millis) -> None:
        """Leave a time out of the deadlines in which this daemon did not run.

        What its peers have sent meanwhile is not read yet.

        :param took: The time in ms.
        """
        total = Millis(self._suspended + took)
        self._suspended = min(total, _MAX_SUSPENDED)

    async def update(self, alive: Iterable[Peer], era: int) -> None:
        """Start or stop following the store.

        :param alive: The live peers.
        :param era: Latest era of the store that this daemon knows of.
        """
        now = self._clock.now()
        must = delegate_selection.must_follow(
            self._own, self._chosen, alive, now, era
        )
        if must and not self.is_delegate and self._may_wait(now):
            return
        for name, follower in self._followers.items():
            if follower.is_outdated(era):
                await self._supervisor.stop_child(name)
                follower.reset(era)
            if must:
                self._start(name, follower)
            else:
                await self._stop(name, follower)

    def _start(self, name: str, follower: TableFollower) -> None:
        if name not in self._supervisor.children():
            _log.info('Starting to follow {} in the store', name)
            self._supervisor.start_child(name, follower.run)

    async def _stop(self, name: str, follower: TableFollower) -> None:
        # A follower is stopped only once it has read its table.
        if follower.connected:
            _log.info(
                'Stopping to follow {} in the store; delegates follow it', name
            )
            await self._supervisor.stop_child(name)
            follower.connected = False

    def _may_wait(self, now: Millis) -> bool:
        """Tell whether to wait for updates and presences of delegates."""
        version, entries = self._catalog.versions()
        has_all = version > 0 and entries > Revision()
        limit = _DELEGATES_DEADLINE if has_all else self._update_deadline
        return now - self._started_at - self._suspended < limit

    def _apply_server_rows(self, changes: TableRows, whole: bool) -> None:
        failed_at = self._followers['servers'].failed_at
        self._catalog.apply_server_rows(
            changes, whole=whole, failed_at=failed_at
        )
