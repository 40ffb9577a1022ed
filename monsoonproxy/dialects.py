"""Port to the wire protocols of item statements.

A dialect translates between the types of :mod:`monsoonproxy.queries` and the
bytes of a protocol, towards callers and towards backend servers.
"""

from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs

from monsoonproxy.models import Position, Role
from monsoonproxy.queries import Answer, Code, Query, TransactionState
from monsoonproxy.registries import Registry


@attrs.frozen
class OpenSession:
    """A caller opens a session.

    :param database: The database name that it asks for.
    """

    database: str


@attrs.frozen
class CloseSession:
    """A caller ends its session."""


@attrs.frozen
class MalformedMessage:
    """A message that can't be understood.

    :param code: What to answer.
    :param reason: Why.
    :param fatal: Whether the rest of the stream can't be understood either.
    """

    code: Code
    reason: str
    fatal: bool = False


CallerMessage: TypeAlias = OpenSession | CloseSession | Query | MalformedMessage


@attrs.frozen
class ServerStatus:
    """The status row of a backend server.

    :param role: Primary or replica.
    :param term: The newest term that it knows.
    :param received: Last position that it has received.
    :param fencing_term: Term below which it receives nothing.
    :param lag: How far reads are behind, in ms.
    """

    role: Role
    term: int
    received: Position
    fencing_term: int
    lag: int


class CallerReader(Protocol):
    """Splits the bytes of a caller into messages."""

    def feed(self, chunk: bytes) -> list[CallerMessage]:
        """Take in bytes.

        :param chunk: What the caller sent.
        :returns: The messages that are complete now.
        """


class AnswerReader(Protocol):
    """Splits the bytes of a backend server into answers."""

    def feed(self, chunk: bytes) -> list[Answer]:
        """Take in bytes.

        :param chunk: What the backend server sent.
        :returns: The answers that are complete now.
        :raises DialectError: If the bytes don't form answers.
        """

    def unterminated_error(self) -> Answer | None:
        """Return the error with which a connection was refused.

        :returns: The error, if one came without the end of an answer.
        """


class Dialect(Protocol):
    """Encodes messages, and makes the readers that decode them."""

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
        """Encode an error that ends a connection.

        :param code: Why.
        :param reason: Text for people.
        :returns: The bytes.
        """

    def done(self, state: TransactionState) -> Answer:
        """Make the answer to a statement that the daemon answers itself.

        :param state: State of the session after it.
        :returns: The answer.
        """

    def failure(
        self, code: Code, reason: str, state: TransactionState
    ) -> Answer:
        """Make an error answer of the daemon.

        :param code: Why.
        :param reason: Text for people.
        :param state: State of the session after it.
        :returns: The answer.
        """

    def open(self, service: str, server_id: str) -> bytes:
        """Encode the first message to a backend server.

        :param service: The service that it must belong to.
        :param server_id: The identity that it must have.
        :returns: The bytes.
        """

    def query(
        self, request_id: bytes, text: bytes, floor: Position | None = None
    ) -> bytes:
        """Encode a statement to a backend server.

        :param request_id: Id of the statement.
        :param text: Its text.
        :param floor: Position that its log must have.
        :returns: The bytes.
        """

    def begin(self, *, read_only: bool) -> bytes:
        """Make the text that begins a transaction.

        :param read_only: Whether it may run on a replica.
        :returns: The text.
        """

    def rollback(self) -> bytes:
        """Make the text that ends a transaction without its writes.

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
        :param shape: Its shape.
        :param read_only: Whether it reads.
        :returns: The text.
        """

    def execute(self, name: bytes, argument: bytes) -> bytes:
        """Make the text that runs a prepared statement.

        :param name: Name of the prepared statement.
        :param argument: Item and data.
        :returns: The text.
        """

    def reset(self) -> bytes:
        """Make the text that clears values and prepared statements.

        :returns: The text.
        """

    def status(self) -> bytes:
        """Make the text that asks for the status row.

        :returns: The text.
        """

    def pause(self, term: int) -> bytes:
        """Make the text that stops a replica from receiving.

        :param term: A term above the newest one.
        :returns: The text.
        """

    def resume(self) -> bytes:
        """Make the text that lets a replica receive again.

        :returns: The text.
        """

    def parse_status(self, answer: Answer) -> ServerStatus:
        """Decode a status row.

        :param answer: The answer to a status statement.
        :returns: The status.
        :raises DialectError: If the row can't be decoded.
        """


#: Factories of dialects.
dialects: Registry[Callable[[], Dialect]] = Registry('dialect')
