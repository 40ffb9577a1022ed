"""Messages by which daemons lend each other backend connections.

If a database accepts fewer connections than there are daemons, some daemons
hold connections and lend them to their peers. Messages are sent over TCP as
MessagePack arrays with a length prefix; the tag of a message is its class name.
"""

from typing import TypeAlias

import msgspec

from monsoonproxy.decoding import DECODE_ERRORS
from monsoonproxy.exceptions import PeerError

_LENGTH_BYTES = 4
#: Greatest size of a message, for a statement of 1 MiB and its framing.
_MAX_MESSAGE_BYTES = 2 * 1024 * 1024


#: Objective of a statement that has none.
NO_OBJECTIVE = -1


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages.

    :param stream: Number of the lease, unique per connection between daemons.
    """

    stream: int


class Ask(_Message, frozen=True):
    """Requests the lease of a connection to a backend server.

    :param service: Name of the service.
    :param server_id: Identity of the backend server.
    :param limit: Longest wait in ms for a connection.
    :param priority: 0 is the highest.
    :param single: Whether the lease is for a single statement.
    :param organisation: The organisation that the connection has to be opened
        for; ``None`` if any will do.
    :param objective: Time in ms in which the statement should be answered; -1
        if there is none.
    :param statements: Expected number of statements of its transaction.
    """

    service: str
    server_id: str
    limit: int
    priority: int
    single: bool
    organisation: str | None = None
    objective: int = NO_OBJECTIVE
    statements: float = 1


class Granted(_Message, frozen=True):
    """Grants a lease.

    :param values: Session values that are set on the connection.
    :param prepared: Names of the statements prepared on the connection.
    :param now: Time in ms by the lender's clock.
    """

    values: dict[bytes, bytes]
    prepared: list[bytes]
    now: int


class Denied(_Message, frozen=True):
    """Refuses a lease.

    :param reason: Human-readable reason.
    :param unreachable: Whether the lender can't reach the backend server.
    :param retry_after: Time in ms after which there may be room, if there is
        none now; or else 0.
    """

    reason: str
    unreachable: bool
    retry_after: int = 0


class Send(_Message, frozen=True):
    """Sends statements on the leased connection.

    :param payload: The encoded statements.
    :param count: Number of statements in the payload.
    :param until: Time in ms by the lender's clock after which the lender must
        not forward them any more.
    """

    payload: bytes
    count: int
    until: int


class Cancel(_Message, frozen=True):
    """Cancels the statements that were sent last.

    The response is :class:`Broken` unless the answers were sent already.
    """


class Answers(_Message, frozen=True):
    """All answers to the statements that were sent last.

    :param payload: The answers as encoded by the backend server's protocol.
    """

    payload: bytes


class Broken(_Message, frozen=True):
    """Reports that the statements on the leased connection failed.

    The connection was lost, or the lender refused the statements.

    :param reason: Human-readable reason.
    """

    reason: str


class Return(_Message, frozen=True):
    """Returns the leased connection to the lender.

    :param clean: Whether the connection may be reused.
    :param values: Session values that are set on it now.
    :param prepared: Names of the statements prepared on it now.
    """

    clean: bool
    values: dict[bytes, bytes]
    prepared: list[bytes]


class Ping(_Message, frozen=True):
    """Checks that a peer with outstanding responses is alive; stream 0."""


class Pong(_Message, frozen=True):
    """Answers a ping at once, ahead of other outstanding responses."""


Request: TypeAlias = Ask | Send | Cancel | Return | Ping
Response: TypeAlias = Granted | Denied | Answers | Broken | Pong

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(
    Ask
    | Granted
    | Denied
    | Send
    | Cancel
    | Answers
    | Broken
    | Return
    | Ping
    | Pong
)


def encode(message: Request | Response) -> bytes:
    """Encode a message with its length prefix.

    :param message: The message.
    :returns: The encoded message.
    """
    body = _encoder.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, 'big') + body


class Reader:
    """Decodes messages from a byte stream."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> list[Request | Response]:
        """Decode the messages that a chunk completes.

        :param chunk: The received bytes.
        :returns: The messages that are complete now.
        :raises PeerError: If a message is malformed or too long.
        """
        buffer = self._buffer
        buffer += chunk
        found = []
        start = 0
        while len(buffer) - start >= _LENGTH_BYTES:
            body = start + _LENGTH_BYTES
            size = int.from_bytes(buffer[start:body], 'big')
            if size > _MAX_MESSAGE_BYTES:
                raise PeerError(
                    f'message of {size} bytes, limit {_MAX_MESSAGE_BYTES}'
                )
            if len(buffer) - body < size:
                break
            start = body + size
            found.append(_decode(bytes(buffer[body:start])))
        del buffer[:start]
        return found


def _decode(body: bytes) -> Request | Response:
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise PeerError(f'malformed message: {exc}') from exc
