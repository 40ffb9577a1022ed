"""Messages between daemons.

They travel as MessagePack arrays. A message's tag is its class name.
"""

from typing import TypeAlias

import msgspec

Row: TypeAlias = list[bytes | None]

#: Name under which ``monsoonctl`` connects; daemons connect by address.
TOOL = 'tool'


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages."""


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

    :param request: Number of the request, unique per sender incarnation.
    :param session: Caller session, unique per sender incarnation.
    :param service: Name of the service.
    :param sql: Statement text.
    :param kind: Value of :class:`~monsoonproxy.models.StatementKind`.
    :param request_class: Weight class.
    :param max_age: Greatest age of the data in ms, or ``None``.
    :param remaining: Time in ms until the caller's deadline.
    :param repeatable: Whether a second run does no harm.
    :param request_id: The caller's id of the request, if any.
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
    """Starts a result with rows."""

    request: int
    columns: list[Column]


class ResultRows(Message, frozen=True):
    """Some rows of a result, in order of ``sequence`` from 0."""

    request: int
    sequence: int
    rows: list[Row]


class ResultEnd(Message, frozen=True):
    """Ends an answer.

    :param request: Number of the request.
    :param row_messages: How many :class:`ResultRows` belong to the answer.
    :param affected_rows: Number of rows that a write changed.
    :param insert_id: Last insert id of a write.
    :param warnings: Warning count.
    :param floor: Floor of the session from now on, if it moved.
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
    """Ends an answer with an error of the database."""

    request: int
    code: int
    sqlstate: str
    text: str
    in_transaction: bool = False


class Refusal(Message, frozen=True):
    """Ends a request that was not run.

    :param request: Number of the request.
    :param reason: Why it was refused.
    :param retry_after: Time in ms after which the caller may come back.
    :param in_transaction: Whether the session's transaction is still open.
    """

    request: int
    reason: str
    retry_after: int
    in_transaction: bool = False


class Unknown(Message, frozen=True):
    """Ends a request whose outcome is unknown."""

    request: int
    reason: str


class Credit(Message, frozen=True):
    """Allows the holder to send more row messages of a result."""

    request: int
    messages: int


class Cancel(Message, frozen=True):
    """The caller of a request has gone; its answer is of no use."""

    request: int


class SessionEnd(Message, frozen=True):
    """A caller session ended; its transaction is to be rolled back."""

    session: int


class Ping(Message, frozen=True):
    """Asks whether a daemon is alive."""

    sent_at: int


class Pong(Message, frozen=True):
    """Answers a :class:`Ping` with its ``sent_at``."""

    sent_at: int


class Announce(Message, frozen=True):
    """Tells a peer the highest configuration version and the known hosts.

    :param version: Highest configuration version of the sender.
    :param hosts: ``(address, availability zone, state)`` of known hosts.
    """

    version: int
    hosts: list[tuple[str, str, str]] = []


class FetchConfiguration(Message, frozen=True):
    """Asks for the configuration if it is newer than ``version``."""

    version: int


class ConfigurationDocument(Message, frozen=True):
    """A configuration document."""

    version: int
    document: bytes


class Goodbye(Message, frozen=True):
    """The sender shuts down and takes no new requests."""

    address: str


class StatusRequest(Message, frozen=True):
    """Asks for a daemon's status, for the operators' tool."""

    request: int
    topic: str = 'status'


class StatusReply(Message, frozen=True):
    """A daemon's status as a JSON document."""

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

    :param message: Any message of this module.
    :returns: Its MessagePack form.
    """
    return _encoder.encode(message)


def decode(frame: bytes) -> AnyMessage:
    """Decode a message.

    :param frame: What :func:`encode` returned.
    :returns: The message.
    :raises msgspec.DecodeError: If the frame holds no known message.
    """
    return _decoder.decode(frame)
