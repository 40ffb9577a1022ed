"""Port to the store that a platform offers to daemons."""

import enum
from typing import Protocol

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.routes import RouteTable
from monsoonproxy.servers import Server


class Table(enum.Enum):
    """The tables that a daemon uses."""

    #: The operator's configuration; daemons may only read it.
    CONFIGURATION = 'configuration'
    #: What backend servers say of themselves; daemons may only read it.
    SERVERS = 'servers'
    #: The daemons, by name.
    DAEMONS = 'daemons'
    #: Who may promote, by service.
    TOKENS = 'tokens'


@attrs.frozen
class StoreRow:
    """What the store says about one row.

    :param key: Key of the row.
    :param content: Its content; ``None`` if the row is gone.
    :param version: Version of the row.
    """

    key: str
    content: bytes | None
    version: int


@attrs.frozen
class TableRows:
    """Rows of a table.

    :param rows: The rows, or those that changed, in order.
    :param version: Version up to which the table is known.
    """

    rows: tuple[StoreRow, ...]
    version: int


class Store(Protocol):
    """Rows in tables, with versions.

    All methods raise :class:`~monsoonproxy.exceptions.PlatformError` on a
    failure or timeout. A write that failed so may have taken effect, or may
    still do so if its condition holds then.
    """

    async def read(self, table: Table) -> TableRows:
        """Read a whole table.

        :param table: The table.
        :returns: All rows.
        """

    async def follow(self, table: Table, after: int, wait: Millis) -> TableRows:
        """Wait for changes of a table.

        :param table: The table.
        :param after: Version up to which it is known.
        :param wait: Longest wait in ms.
        :returns: The changed rows, which may be none.
        :raises HistoryLostError: If the changes since are not known any more.
        """

    async def write(
        self, table: Table, key: str, content: bytes, expected: int
    ) -> StoreRow:
        """Write a row if its version is as expected.

        :param table: The table.
        :param key: Key of the row.
        :param content: New content.
        :param expected: Version that the row must have; 0 for no row.
        :returns: The row as it is now: the new one, or another one if the
            condition did not hold.
        """

    async def put(self, table: Table, key: str, content: bytes) -> None:
        """Write a row without a condition.

        :param table: The table.
        :param key: Key of the row.
        :param content: New content.
        """

    async def remove(self, table: Table, key: str, expected: int) -> bool:
        """Remove a row if its version is as expected.

        :param table: The table.
        :param key: Key of the row.
        :param expected: Version that the row must have.
        :returns: Whether it was removed.
        """

    async def promote(
        self, service: str, server_id: str, holder: str, token: int
    ) -> None:
        """Order the promotion of a backend server.

        :param service: Name of the service.
        :param server_id: Identity of the backend server.
        :param holder: Name of the daemon that orders.
        :param token: Its token, greater than all earlier ones.
        :raises FencedError: If a greater token was seen, or the backend
            server is not running.
        """

    def close(self) -> None:
        """Close all connections."""


class Documents(Protocol):
    """Decodes the documents that operators and backend servers write."""

    def routes(self, content: bytes) -> RouteTable:
        """Decode the operator's configuration.

        :param content: The document.
        :returns: The configuration.
        :raises ConfigurationError: If it can't be decoded.
        """

    def server(self, server_id: str, content: bytes) -> Server:
        """Decode what a backend server says of itself.

        :param server_id: Its identity.
        :param content: The document.
        :returns: The entry.
        :raises ConfigurationError: If it can't be decoded.
        """
