"""Statements of callers and answers of backend servers.

The statements are item reads and writes whose text and rows pass through
unchanged. Adapters translate between these types and a wire protocol.
"""

import enum
import hashlib

import attrs

from monsoonproxy.models import Position

#: Id of statements that a daemon issues itself.
INTERNAL_ID = b'-'
#: Length of a shape's digest; with 2**32 shapes two would meet by chance.
_DIGEST_BYTES = 8


class Verb(enum.Enum):
    """What a statement does."""

    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'
    UNKNOWN = 'unknown'


class Code(enum.Enum):
    """Why a statement failed.

    :attr:`PROMISES` are the codes which tell a caller that nothing of its
    try is kept.
    """

    BUSY = 'busy'
    ABORTED = 'aborted'
    LAGGING = 'lagging'
    READ_ONLY = 'read only'
    WRONG_SERVER = 'wrong server'
    TOO_MANY_CONNECTIONS = 'too many connections'
    IN_DOUBT = 'in doubt'
    TIMEOUT = 'timeout'
    FAILED = 'failed'
    UNKNOWN_STATEMENT = 'unknown statement'
    UNKNOWN_DATABASE = 'unknown database'
    TOO_BIG = 'too big'
    MALFORMED = 'malformed'


class TransactionState(enum.Enum):
    """State of a session after an answer."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


@attrs.frozen
class Query:
    """A statement of a caller.

    :param request_id: The caller's id of the statement.
    :param verb: What it does.
    :param text: The statement text as it was sent.
    :param name: Name of the value or the prepared statement.
    :param argument: What follows the name: a value, a shape, or the item and
        data of an execution.
    :param read_only: Whether a transaction or a prepared statement only
        reads.
    """

    request_id: bytes
    verb: Verb
    text: bytes
    name: bytes = b''
    argument: bytes = b''
    read_only: bool = False


@attrs.frozen
class Answer:
    """The answer to one statement.

    :param body: Rows and completion as they came, to be passed on unchanged.
    :param state: State of the session after it.
    :param position: Position of the log of the answering backend server.
    :param code: Why it failed, or ``None`` if it succeeded.
    :param reason: Text that came with the code.
    :param signed: Whether the completion carries a backend server's signature.
    :param rows: The rows, if they were asked for one by one.
    """

    body: bytes
    state: TransactionState
    position: Position | None = None
    code: Code | None = None
    reason: str = ''
    signed: bool = False
    rows: tuple[bytes, ...] = ()

    @property
    def succeeded(self) -> bool:
        """Tell whether the statement succeeded.

        :returns: Whether there is no error code.
        """
        return self.code is None


@attrs.frozen
class Prepared:
    """A prepared statement.

    :param name: Its name on connections to backend servers, which is the same
        for the same shape on all daemons, since they share connections.
    :param shape: Its shape.
    :param read_only: Whether it reads.
    """

    name: bytes
    shape: bytes
    read_only: bool

    @classmethod
    def of(cls, shape: bytes, *, read_only: bool) -> 'Prepared':
        """Name a prepared statement by its shape.

        :param shape: Its shape.
        :param read_only: Whether it reads.
        :returns: The prepared statement.
        """
        kind = b'r' if read_only else b'w'
        digest = hashlib.blake2b(shape, digest_size=_DIGEST_BYTES).hexdigest()
        return cls(kind + digest.encode(), shape, read_only)
