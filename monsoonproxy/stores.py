"""Interface of the store that a platform offers to daemons."""

import enum
from typing import Protocol

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.routes import RouteTable
from monsoonproxy.servers import Server


class Table(enum.Enum):
    """The tables of the store that a daemon uses."""

    #: The operator's configuration; daemons may only read it.
    CONFIGURATION = 'configuration'
    #: Entries that backend servers write about themselves; daemons may only
    #: read them.
    SERVERS = 'servers'
    #: Addresses and zones of the daemons, by name of the daemon.
    DAEMONS = 'daemons'
    #: Fencing token and holder of the right to promote, by service.
    TOKENS = 'tokens'


@attrs.frozen(order=True)
class Revision:
    """A version of the store, or of a row in it.

    A store that is restored from an older copy gives the versions after that
    copy out again. Only versions of the same era tell which content is newer;
    a later era replaces all earlier ones.

    :param era: How often the store was restored, counted by the store.
    :param version: Version within the era; 0 for no row.
    """

    era: int = 0
    version: int = 0

    def __str__(self) -> str:
        """Return the revision as it stands in log lines."""
        return f'version {self.version} of era {self.era}'


@attrs.frozen
class StoreRow:
    """A row of a table, or the removal of a row.

    :param key: Key of the row.
    :param content: Content of the row; ``None`` if it was removed.
    :param revision: When the row was written.
    """

    key: str
    content: bytes | None
    revision: Revision


@attrs.frozen
class TableRows:
    """All rows of a table, or those that changed after some version.

    :param rows: The rows, in the store's order.
    :param revision: Up to when the table is known.
    """

    rows: tuple[StoreRow, ...]
    revision: Revision


class Store(Protocol):
    """Versioned rows in tables.

    All methods raise :class:`~monsoonproxy.exceptions.PlatformError` on a
    failure or timeout. A write that failed this way may have taken effect, or
    may still do so later if its condition holds then.
    """

    @property
    def era(self) -> int:
        """Return the store's era in its last answer, 0 before any.

        It rises each time the store is restored from an older copy.
        """

    async def read(self, table: Table) -> TableRows:
        """Read a whole table.

        :param table: The table to read.
        :returns: All rows, and up to when the table is known.
        :raises StoreRestoredError: If the store was restored during the call.
        """

    async def find(self, table: Table, key: str) -> StoreRow:
        """Read one row.

        :param table: The table.
        :param key: Key of the row.
        :returns: The row; without content and with version 0 if there is none.
        """

    async def follow(
        self, table: Table, after: Revision, wait: Millis
    ) -> TableRows:
        """Wait for changes of a table.

        :param table: The table.
        :param after: Up to when the caller knows the table.
        :param wait: Maximum wait in ms.
        :returns: The changed rows; none if the wait ended without a change.
        :raises HistoryLostError: If the store no longer has all changes since
            then, or was restored since.
        """

    async def write(
        self, table: Table, key: str, content: bytes, expected: Revision
    ) -> StoreRow:
        """Write a row if its version is as expected.

        :param table: The table.
        :param key: Key of the row.
        :param content: New content.
        :param expected: Revision that the row must have; version 0 for no row.
        :returns: The row after the call: the written row, or the existing one
            if its version was not the expected one.
        :raises StoreRestoredError: If the store was restored after
            ``expected``. The row may have been written nevertheless: it may
            have the same version again.
        """

    async def put(self, table: Table, key: str, content: bytes) -> None:
        """Write a row, whatever its version.

        :param table: The table.
        :param key: Key of the row.
        :param content: New content.
        """

    async def remove(self, table: Table, key: str, expected: Revision) -> bool:
        """Remove a row if its version is as expected.

        :param table: The table.
        :param key: Key of the row.
        :param expected: Revision that the row must have.
        :returns: Whether the row was removed.
        :raises StoreRestoredError: If the store was restored after
            ``expected``. The row may have been removed nevertheless.
        """

    async def promote(
        self, service: str, server_id: str, holder: str, token: int
    ) -> None:
        """Order the promotion of a backend server.

        :param service: Name of the service.
        :param server_id: Identity of the backend server.
        :param holder: Name of the daemon that orders the promotion.
        :param token: Fencing token of the daemon, greater than all earlier
            ones.
        :raises FencedError: If the store has seen a greater token, or the
            backend server is not running.
        """

    def close(self) -> None:
        """Close all connections to the store."""


class Documents(Protocol):
    """Decodes the documents that operators and backend servers store."""

    def routes(self, content: bytes) -> RouteTable:
        """Decode the operator's configuration.

        :param content: The document.
        :returns: The decoded configuration.
        :raises ConfigurationError: If the document is malformed.
        """

    def seal(self, content: bytes) -> bytes:
        """Remove the callers' keys from a configuration, for peers.

        :param content: The document.
        :returns: The document with digests of the keys, which decodes to the
            same routes and organisations.
        :raises ConfigurationError: If the document is malformed.
        """

    def server(self, server_id: str, content: bytes) -> Server:
        """Decode a backend server's entry.

        :param server_id: Identity of the backend server.
        :param content: The document.
        :returns: The decoded entry.
        :raises ConfigurationError: If the document is malformed.
        """
