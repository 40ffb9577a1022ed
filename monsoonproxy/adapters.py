"""Ports to outside systems: databases and platforms.

Implementations register a factory under the name that settings use.
"""

import ssl as tls
from collections.abc import AsyncIterator, Callable
from typing import Protocol, TypeAlias

import attrs

from monsoonproxy import messages
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Host, Position
from monsoonproxy.registries import Registry

#: Target size of a batch of rows.
BATCH_ROWS = 256
BATCH_BYTES = 256 * 1024

RowBatches: TypeAlias = AsyncIterator[list[messages.Row]]


async def no_rows() -> RowBatches:
    """Return the rows of an answer without a result set.

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
        """Return the id that :meth:`kill` takes."""

    async def query(self, sql: bytes) -> Answer:
        """Run a statement.

        :param sql: Statement text.
        :returns: The answer, with its rows still to be read.
        """

    async def status(self) -> BackendReport:
        """Ask for the status.

        :returns: The current status.
        """

    async def wait_change(
        self, received: int, applied: int, timeout: Millis
    ) -> BackendReport:
        """Wait until a position differs from those given.

        :param received: The last known received offset.
        :param applied: The last known applied offset.
        :param timeout: Time after which the backend server answers anyway.
        :returns: The status.
        """

    async def set_term(self, term: int, candidate: str) -> BackendReport:
        """Ask for the grant of a term.

        :param term: The term.
        :param candidate: Who asks.
        :returns: The status after the attempt, granted or not.
        """

    async def promote(self, term: int, candidate: str) -> BackendReport:
        """Make the backend server the primary of a term it has granted.

        :param term: The term.
        :param candidate: Who was granted the term.
        :returns: The status as the primary.
        """

    async def follow(self, term: int, source: str) -> BackendReport:
        """Make the backend server follow the primary of a term.

        :param term: The term.
        :param source: ``host:port`` of the primary.
        :returns: The status after the attempt.
        """

    async def kill(self, connection_id: int) -> None:
        """End another connection to the same backend server.

        Once this has returned, nothing sent on that connection takes effect
        any more. A connection that no longer exists is not an error.

        :param connection_id: Its id.
        """

    async def reset(self) -> None:
        """Roll back and forget the session state, for use by another session.

        A connection with rows still to be read is closed instead and
        :class:`~monsoonproxy.exceptions.ConnectionLostError` is raised.
        """

    async def close(self) -> None:
        """Close the connection; never raises."""


class DatabaseAdapter(Protocol):
    """Opens connections to backend servers of one kind."""

    @property
    def fences(self) -> bool:
        """Return whether the backend servers refuse lower terms."""

    async def connect(
        self,
        address: str,
        *,
        user: str,
        password: str,
        timeout: Millis,
        ssl: tls.SSLContext | None = None,
    ) -> BackendConnection:
        """Open a connection.

        :param address: ``host:port`` of the backend server.
        :param user: User name.
        :param password: Password.
        :param timeout: Time limit for the connection and the log-in.
        :param ssl: TLS settings, or ``None`` for a plain connection.
        :returns: The connection.
        :raises ConnectionLostError: If it can't be reached in time.
        :raises BackendError: If it refuses the log-in.
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
    """Reaches the platform's table service, object store and host list.

    All methods raise :class:`~monsoonproxy.exceptions.PlatformError` on a
    failure or timeout. A write that failed so may have taken effect.
    """

    async def read(self, key: str) -> Versioned | None:
        """Read a key of the table service.

        :param key: The key.
        :returns: The value, or ``None`` if the key doesn't exist.
        """

    async def write(self, key: str, body: bytes, etag: str | None) -> str:
        """Write a key of the table service if it is still as expected.

        :param key: The key.
        :param body: The new value.
        :param etag: The expected version; ``None`` if it must not exist.
        :returns: The new version.
        :raises PreconditionError: If the stored version differs.
        """

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object.

        :param key: The key.
        :param body: The content.
        """

    async def get_object(self, key: str) -> bytes | None:
        """Fetch an object.

        :param key: The key.
        :returns: The content, or ``None`` if the key doesn't exist.
        """

    async def hosts(self) -> list[Host]:
        """Fetch the host list.

        :returns: The listed hosts.
        """

    async def close(self) -> None:
        """Close all connections."""


#: Factories of database adapters.
databases: Registry[Callable[..., DatabaseAdapter]] = Registry(
    'database adapter'
)
#: Factories of platform adapters; they take the platform's base URL.
platforms: Registry[Callable[..., PlatformAdapter]] = Registry(
    'platform adapter'
)
