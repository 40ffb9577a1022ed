"""Interface to the wire protocols of item statements.

A dialect translates between the types of :mod:`monsoonproxy.queries` and the
bytes of a protocol, both for callers and for backend servers.
"""

from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs

from monsoonproxy.models import Position, Role
from monsoonproxy.queries import Answer, Code, Query, TransactionState
from monsoonproxy.registries import Registry


@attrs.frozen
class OpenSession:
    """A message with which a caller opens a session.

    :param database: The database name that the caller asks for.
    :param key: The caller's key; empty if it sent none.
    """

    database: str
    key: bytes = attrs.field(default=b'', repr=False)


@attrs.frozen
class CloseSession:
    """A message with which a caller ends its session."""


@attrs.frozen
class MalformedMessage:
    """A message of a caller that can't be decoded.

    :param code: Error code of the answer.
    :param reason: Human-readable explanation.
    :param fatal: Whether the rest of the stream can't be decoded either, so
        that the connection has to be closed.
    """

    code: Code
    reason: str
    fatal: bool = False


CallerMessage: TypeAlias = OpenSession | CloseSession | Query | MalformedMessage


@attrs.frozen
class ServerStatus:
    """The status row of a backend server.

    :param role: Primary or replica.
    :param term: The newest term that the backend server knows.
    :param received: Last log position that it has received.
    :param fencing_term: It receives no log entries from terms below this one.
    :param lag: Replication lag of its reads in ms.
    """

    role: Role
    term: int
    received: Position
    fencing_term: int
    lag: int


class CallerReader(Protocol):
    """Splits the bytes of a caller into messages, one at a time.

    Messages that are not asked for stay bytes, which take less memory.
    """

    @property
    def buffered(self) -> int:
        """Return the number of bytes that are not decoded yet."""

    @property
    def has_message(self) -> bool:
        """Tell whether a message is complete, or can't become valid."""

    def feed(self, chunk: bytes) -> None:
        """Add bytes.

        :param chunk: Bytes that the caller sent.
        """

    def next_message(self) -> CallerMessage | None:
        """Decode the next message.

        :returns: The message, or ``None`` if none is complete.
        """


class AnswerReader(Protocol):
    """Splits the bytes of a backend server into answers."""

    def feed(self, chunk: bytes) -> list[Answer]:
        """Decode bytes; an incomplete answer is kept for the next call.

        :param chunk: Bytes that the backend server sent.
        :returns: The answers that are complete now.
        :raises DialectError: If the bytes don't form answers.
        """

    def unterminated_error(self) -> Answer | None:
        """Return an error that was received without the end of its answer.

        A backend server that refuses a session sends such an error before it
        closes the connection.

        :returns: The error, or ``None`` if there is none.
        """


class Dialect(Protocol):
    """A wire protocol: encodes messages and makes readers that decode them."""

    def caller_reader(self) -> CallerReader:
        """Make the reader of one caller's connection.

        :returns: The reader.
        """

    def answer_reader(self) -> AnswerReader:
        """Make the reader of one connection to a backend server.

        :returns: The reader.
        """

    def answer(self, answer: Answer) -> bytes:
        """Encode an answer to a caller.

        :param answer: The answer of a backend server or of the daemon.
        :returns: The bytes.
        """

    def refusal(self, code: Code, reason: str) -> bytes:
        """Encode an error after which the daemon closes the connection.

        :param code: Error code.
        :param reason: Human-readable explanation.
        :returns: The bytes.
        """

    def done(self, state: TransactionState) -> Answer:
        """Make the answer to a statement that the daemon answers itself.

        :param state: Transaction state of the session after the statement.
        :returns: The answer.
        """

    def failure(
        self, code: Code, reason: str, state: TransactionState
    ) -> Answer:
        """Make an error answer of the daemon.

        :param code: Error code.
        :param reason: Human-readable explanation.
        :param state: Transaction state of the session after the statement.
        :returns: The answer.
        """

    def open(self, service: str, server_id: str, organisation: str) -> bytes:
        """Encode the first message to a backend server.

        :param service: The service that the backend server must belong to.
        :param server_id: The id that the backend server must have.
        :param organisation: The organisation whose statements will be sent;
            empty for none.
        :returns: The bytes.
        """

    def query(
        self, request_id: bytes, text: bytes, floor: Position | None = None
    ) -> bytes:
        """Encode a statement to a backend server.

        :param request_id: Id of the statement.
        :param text: Text of the statement.
        :param floor: Log position that the backend server must have reached.
        :returns: The bytes.
        """

    def begin(self, *, read_only: bool) -> bytes:
        """Make the text that begins a transaction.

        :param read_only: Whether the transaction may run on a replica.
        :returns: The text.
        """

    def rollback(self) -> bytes:
        """Make the text that rolls back a transaction.

        :returns: The text.
        """

    def set_value(self, name: bytes, setting: bytes) -> bytes:
        """Make the text that sets a session value.

        :param name: Name of the value.
        :param setting: The value.
        :returns: The text.
        """

    def prepare(self, name: bytes, shape: bytes, *, read_only: bool) -> bytes:
        """Make the text that prepares a statement.

        :param name: Name of the prepared statement.
        :param shape: Shape of the statement; executions add item and data.
        :param read_only: Whether the statement only reads.
        :returns: The text.
        """

    def execute(self, name: bytes, argument: bytes) -> bytes:
        """Make the text that runs a prepared statement.

        :param name: Name of the prepared statement.
        :param argument: Item and data of the execution.
        :returns: The text.
        """

    def reset(self) -> bytes:
        """Make the text that clears session values and prepared statements.

        :returns: The text.
        """

    def status(self) -> bytes:
        """Make the text that asks for the status row.

        :returns: The text.
        """

    def pause(self, term: int) -> bytes:
        """Make the text that stops a replica from receiving log entries.

        :param term: Fencing term, above the newest term.
        :returns: The text.
        """

    def resume(self) -> bytes:
        """Make the text that lets a replica receive log entries again.

        :returns: The text.
        """

    def parse_status(self, answer: Answer) -> ServerStatus:
        """Decode a status row.

        :param answer: The answer to a status statement.
        :returns: The status.
        :raises DialectError: If the row can't be decoded.
        """


#: Factories of dialects by name.
dialects: Registry[Callable[[], Dialect]] = Registry('dialect')
