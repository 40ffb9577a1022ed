"""Messages by which daemons lease each other's connections.

A database accepts fewer connections than there are daemons, so some daemons
hold them and lend them to the others. Messages travel over TCP as MessagePack
arrays with a length in front; a message's tag is its class name.
"""

from typing import TypeAlias

import msgspec

from monsoonproxy.exceptions import PeerError

_LENGTH_BYTES = 4
#: Greatest size of a message: a statement of 1 MiB with its frame.
_MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages.

    :param stream: Number of the lease, unique per connection.
    """

    stream: int


class Ask(_Message, frozen=True):
    """Asks for a connection to a backend server.

    :param service: Name of the service.
    :param server_id: Identity of the backend server.
    :param limit: Longest wait in ms.
    :param priority: 0 is the highest.
    :param single: Whether it is for a single statement.
    """

    service: str
    server_id: str
    limit: int
    priority: int
    single: bool


class Granted(_Message, frozen=True):
    """The connection is leased.

    :param values: Session values that are set on it.
    :param prepared: Names of the statements prepared on it.
    :param now: Time in ms by the lender's clock.
    """

    values: dict[bytes, bytes]
    prepared: list[bytes]
    now: int


class Denied(_Message, frozen=True):
    """No connection can be leased.

    :param reason: Why, for people.
    :param unreachable: Whether the backend server did not answer.
    """

    reason: str
    unreachable: bool


class Send(_Message, frozen=True):
    """Sends statements on the leased connection.

    :param payload: The encoded statements.
    :param count: How many there are.
    :param until: Time in ms by the lender's clock after which they must not be
        passed on any more.
    """

    payload: bytes
    count: int
    until: int


class Cancel(_Message, frozen=True):
    """Takes back what was sent last.

    It is answered with :class:`Broken` unless the answers are on their way.
    """


class Answers(_Message, frozen=True):
    """All answers to what was sent last.

    :param payload: The answers as they came.
    """

    payload: bytes


class Broken(_Message, frozen=True):
    """The leased connection was lost; the answers will not come.

    :param reason: Why, for people.
    """

    reason: str


class Return(_Message, frozen=True):
    """Gives the connection back.

    :param clean: Whether it may be used again.
    :param values: Session values that are set on it now.
    :param prepared: Names of the statements prepared on it now.
    """

    clean: bool
    values: dict[bytes, bytes]
    prepared: list[bytes]


class Ping(_Message, frozen=True):
    """Asks a daemon that owes answers for a sign of life; stream 0."""


class Pong(_Message, frozen=True):
    """Answers a ping at once, whatever else is to be answered."""


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
    """Encode a message with its length.

    :param message: The message.
    :returns: The bytes.
    """
    body = _encoder.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, 'big') + body


class Reader:
    """Splits bytes into messages."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, chunk: bytes) -> list[Request | Response]:
        """Take in bytes.

        :param chunk: The bytes.
        :returns: The messages that are complete now.
        :raises PeerError: If the bytes don't form messages.
        """
        data = self._rest + chunk if self._rest else chunk
        found = []
        start = 0
        while len(data) - start >= _LENGTH_BYTES:
            body = start + _LENGTH_BYTES
            size = int.from_bytes(data[start:body], 'big')
            if size > _MAX_MESSAGE_BYTES:
                raise PeerError(f'message of {size} bytes')
            if len(data) - body < size:
                break
            start = body + size
            found.append(_decode(data[body:start]))
        self._rest = data[start:]
        return found


def _decode(body: bytes) -> Request | Response:
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError as exc:
        raise PeerError(f'malformed message: {exc}') from exc
