"""Messages between daemons.

A message is encoded as a MessagePack array that starts with its tag, which is
the class name. The order of the fields is part of the wire format.
"""

from typing import TypeAlias

import msgspec

Row: TypeAlias = list[bytes | None]

#: Prefix of the socket identities of ``monsoonctl``; those of daemons start
#: with their peer address.
TOOL = 'tool'


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages."""


class Column(msgspec.Struct, frozen=True, array_like=True):
    """A column of a result, as the backend server described it.

    :param name: Column name.
    :param type_code: MySQL column type.
    :param charset: Collation number.
    :param flags: Column definition flags.
    """

    name: str
    type_code: int
    charset: int
    flags: int


class StatementRequest(Message, frozen=True):
    """Asks a holder to run a statement.

    :param request: Number of the request, unique per start of the sender.
    :param session: Caller session, unique per start of the sender.
    :param service: Name of the service.
    :param sql: Statement text.
    :param kind: Value of :class:`~monsoonproxy.models.StatementKind`.
    :param request_class: Weight class.
    :param max_age: Greatest age of the data in ms, or ``None`` for no limit by
        age.
    :param remaining: Time in ms until the caller's deadline.
    :param repeatable: Whether running the statement twice is harmless.
    :param request_id: Request id that the caller gave, if any.
    :param floor: Term and offset that the answer must cover, or ``None`` if
        unknown, in which case the primary's current position applies.
    """

    request: int
    session: int
    service: str
    sql: bytes
    kind: str
    request_class: str
    max_age: int | None
    remaining: int
    repeatable: bool
    request_id: str | None
    floor: tuple[int, int] | None


class ResultHeader(Message, frozen=True):
    """Starts a result with rows and describes its columns."""

    request: int
    columns: list[Column]


class ResultRows(Message, frozen=True):
    """Part of the rows of a result; ``sequence`` counts the parts from 0."""

    request: int
    sequence: int
    rows: list[Row]


class ResultEnd(Message, frozen=True):
    """Ends the answer of a successful statement.

    :param request: Number of the request.
    :param row_messages: How many :class:`ResultRows` belong to the answer.
    :param affected_rows: Number of rows that a write changed.
    :param insert_id: Last insert id of a write.
    :param warnings: Warning count.
    :param floor: New floor of the session (term and offset), or ``None`` if
        unchanged.
    :param in_transaction: Whether the session is in a transaction.
    :param server: Name of the backend server that answered.
    :param reason: Why that backend server was chosen.
    """

    request: int
    row_messages: int
    affected_rows: int
    insert_id: int
    warnings: int
    floor: tuple[int, int] | None
    in_transaction: bool
    server: str
    reason: str


class Failure(Message, frozen=True):
    """Ends an answer with an error that the database returned."""

    request: int
    code: int
    sqlstate: str
    text: str
    in_transaction: bool = False


class Refusal(Message, frozen=True):
    """Ends a request whose statement was not run.

    :param request: Number of the request.
    :param reason: Why it was refused.
    :param retry_after: Time in ms after which the caller may retry.
    :param in_transaction: Whether the session's transaction is still open.
    """

    request: int
    reason: str
    retry_after: int
    in_transaction: bool = False


class Unknown(Message, frozen=True):
    """Ends a request whose statement may or may not have run."""

    request: int
    reason: str


class Credit(Message, frozen=True):
    """Allows the holder to send ``messages`` more row messages."""

    request: int
    messages: int


class Cancel(Message, frozen=True):
    """Cancels a request whose caller no longer waits for the answer."""

    request: int


class SessionEnd(Message, frozen=True):
    """Ends a caller session; its open transaction is rolled back."""

    session: int


class Ping(Message, frozen=True):
    """Asks a daemon for a :class:`Pong`, to measure whether it responds."""

    sent_at: int


class Pong(Message, frozen=True):
    """Answers a :class:`Ping` with its ``sent_at``."""

    sent_at: int


class Announce(Message, frozen=True):
    """Gossip: the highest configuration version and the hosts of the sender.

    :param version: Highest configuration version of the sender.
    :param hosts: ``(address, availability zone, state)`` of known hosts.
    """

    version: int
    hosts: list[tuple[str, str, str]] = []


class FetchConfiguration(Message, frozen=True):
    """Asks for the configuration if it is newer than ``version``."""

    version: int


class ConfigurationDocument(Message, frozen=True):
    """The configuration of a version, in answer to a fetch."""

    version: int
    document: bytes


class Goodbye(Message, frozen=True):
    """Announces that the sender shuts down and accepts no new requests."""

    address: str


class StatusRequest(Message, frozen=True):
    """Asks a daemon for a status document, sent by ``monsoonctl``."""

    request: int
    topic: str = 'status'


class StatusReply(Message, frozen=True):
    """Answers a :class:`StatusRequest` with a JSON document."""

    request: int
    document: bytes


Reply: TypeAlias = (
    ResultHeader | ResultRows | ResultEnd | Failure | Refusal | Unknown
)
AnyMessage: TypeAlias = (
    StatementRequest
    | Reply
    | Credit
    | Cancel
    | SessionEnd
    | Ping
    | Pong
    | Announce
    | FetchConfiguration
    | ConfigurationDocument
    | Goodbye
    | StatusRequest
    | StatusReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Encode a message.

    :param message: The message.
    :returns: The MessagePack frame.
    """
    return _encoder.encode(message)


def decode(frame: bytes) -> AnyMessage:
    """Decode a message.

    :param frame: A frame made by :func:`encode`.
    :returns: The message.
    :raises msgspec.DecodeError: If the frame is malformed or its tag unknown.
    """
    return _decoder.decode(frame)
