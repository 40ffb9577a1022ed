"""Interfaces to external systems: databases and platforms.

Implementations register a factory under the name used in the settings.
"""

import ssl as tls
from collections.abc import AsyncIterator, Callable
from typing import Protocol, TypeAlias

import attrs

from monsoonproxy import messages
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Host, Position
from monsoonproxy.registries import Registry

#: Number of rows or bytes at which a batch of rows is complete.
BATCH_ROWS = 256
BATCH_BYTES = 256 * 1024

RowBatches: TypeAlias = AsyncIterator[list[messages.Row]]


async def no_rows() -> RowBatches:
    """Yield no rows, for an answer without a result set.

    :returns: An iterator that ends at once.
    """
    batches: tuple[list[messages.Row], ...] = ()
    for batch in batches:
        yield batch


@attrs.define
class Answer:
    """A backend server's answer to one statement.

    For an answer with rows, ``warnings`` and ``in_transaction`` are final
    once the rows have been read to the end. Until then the connection can't
    run another statement.

    :param columns: Columns of the result set; empty if there is none.
    :param rows: Batches of rows, with values as in the text protocol.
    :param affected_rows: Number of rows that a write changed.
    :param insert_id: Last insert id of a write.
    :param warnings: Warning count.
    :param position: Position of the commit, if the statement committed.
    :param in_transaction: Whether a transaction is open on the connection.
    """

    columns: list[messages.Column] = attrs.Factory(list)
    rows: RowBatches = attrs.Factory(no_rows)
    affected_rows: int = 0
    insert_id: int = 0
    warnings: int = 0
    position: Position | None = None
    in_transaction: bool = False


class BackendConnection(Protocol):
    """A connection to a backend server.

    It runs one statement at a time. All methods raise
    :class:`~monsoonproxy.exceptions.BackendError` for an error of the
    database and :class:`~monsoonproxy.exceptions.ConnectionLostError` if the
    connection broke. Cancelling a call closes the connection.
    """

    @property
    def connection_id(self) -> int:
        """Return the connection id, as passed to :meth:`kill`."""

    async def query(self, sql: bytes) -> Answer:
        """Run a statement.

        :param sql: Statement text.
        :returns: The answer; its rows are read separately.
        """

    async def status(self) -> BackendReport:
        """Query the replication status of the backend server.

        :returns: The current status.
        """

    async def wait_change(
        self, received: int, applied: int, timeout: Millis
    ) -> BackendReport:
        """Wait until the received or applied offset changes.

        :param received: The last known received offset.
        :param applied: The last known applied offset.
        :param timeout: Time in ms after which the backend server answers
            without a change.
        :returns: The current status.
        """

    async def set_term(self, term: int, candidate: str) -> BackendReport:
        """Request the grant of a term.

        :param term: The term.
        :param candidate: Name of the candidate that requests the term.
        :returns: The status after the request, granted or not.
        """

    async def promote(self, term: int, candidate: str) -> BackendReport:
        """Make the backend server the primary of a term it has granted.

        :param term: The term.
        :param candidate: Name of the candidate that holds the grant.
        :returns: The status as the primary.
        """

    async def follow(self, term: int, source: str) -> BackendReport:
        """Make the backend server replicate from the primary of a term.

        :param term: The term.
        :param source: ``host:port`` of the primary.
        :returns: The status after the request.
        """

    async def kill(self, connection_id: int) -> None:
        """Kill another connection to the same backend server.

        Once this has returned, nothing sent on that connection takes effect
        any more. A connection that no longer exists is not an error.

        :param connection_id: Id of the connection to kill.
        """

    async def reset(self) -> None:
        """Roll back and clear the session state, for use by another session.

        A connection with unread rows is closed instead and
        :class:`~monsoonproxy.exceptions.ConnectionLostError` is raised.
        """

    async def close(self) -> None:
        """Close the connection; never raises."""


class DatabaseAdapter(Protocol):
    """Opens connections to backend servers of one kind."""

    @property
    def fences(self) -> bool:
        """Return whether the backend servers reject lower terms."""

    async def connect(
        self,
        address: str,
        *,
        user: str,
        password: str,
        timeout: Millis,
        ssl: tls.SSLContext | None = None,
    ) -> BackendConnection:
        """Open a connection and log in.

        :param address: ``host:port`` of the backend server.
        :param user: User name.
        :param password: Password.
        :param timeout: Time limit in ms for connecting and logging in.
        :param ssl: TLS settings, or ``None`` for a plain connection.
        :returns: The connection.
        :raises ConnectionLostError: If the backend server can't be reached
            within the time limit.
        :raises BackendError: If the backend server refuses the log-in.
        """


@attrs.frozen
class Versioned:
    """A stored value and its version.

    :param etag: Version for a later conditional write.
    :param body: The value.
    """

    etag: str
    body: bytes


class PlatformAdapter(Protocol):
    """Client of the platform's table service, object store and host list.

    All methods raise :class:`~monsoonproxy.exceptions.PlatformError` on a
    failure or timeout. A write that fails this way may have taken effect.
    """

    async def read(self, key: str) -> Versioned | None:
        """Read a key of the table service.

        :param key: The key.
        :returns: The value, or ``None`` if the key doesn't exist.
        """

    async def write(self, key: str, body: bytes, etag: str | None) -> str:
        """Write a key of the table service if its version is as expected.

        :param key: The key.
        :param body: The new value.
        :param etag: The expected version; ``None`` if the key must not exist.
        :returns: The new version.
        :raises PreconditionError: If the stored version differs.
        """

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object in the object store.

        :param key: The key.
        :param body: The content.
        """

    async def get_object(self, key: str) -> bytes | None:
        """Fetch an object from the object store.

        :param key: The key.
        :returns: The content, or ``None`` if the key doesn't exist.
        """

    async def hosts(self) -> list[Host]:
        """Fetch the host list of the platform.

        :returns: The listed hosts.
        """

    async def close(self) -> None:
        """Close all connections to the platform."""


#: Factories of database adapters by registered name.
databases: Registry[Callable[..., DatabaseAdapter]] = Registry(
    'database adapter'
)
#: Factories of platform adapters; each takes the platform's base URL.
platforms: Registry[Callable[..., PlatformAdapter]] = Registry(
    'platform adapter'
)
