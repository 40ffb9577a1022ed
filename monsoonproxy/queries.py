"""Statements of callers and answers of backend servers.

The statements are item reads and writes; their text and rows are passed on
unchanged. Dialects translate between these types and a wire protocol.
"""

import enum
import hashlib

import attrs

from monsoonproxy.models import Position

#: Request id of statements that a daemon sends on its own behalf.
INTERNAL_ID = b'-'
#: Length of a shape's digest in bytes. A collision becomes likely only with
#: about 2**32 shapes.
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
    """Error codes of statements."""

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
    UNAUTHORISED = 'unauthorised'
    OVER_LIMIT = 'over limit'
    TOO_BIG = 'too big'
    MALFORMED = 'malformed'


class TransactionState(enum.Enum):
    """Transaction state of a session after an answer."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


@attrs.frozen
class Query:
    """A statement of a caller.

    :param request_id: The caller's id of the statement.
    :param verb: Kind of statement.
    :param text: The statement text as the caller sent it.
    :param name: Name of the session value or prepared statement.
    :param argument: Text after the name: a session value, a shape, or the item
        and data of an execution.
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

    :param body: Encoded rows and completion, passed on unchanged.
    :param state: Transaction state of the session after the statement.
    :param position: Log position of the backend server that answered.
    :param code: Error code, or ``None`` if the statement succeeded.
    :param reason: Human-readable explanation of the error code.
    :param signed: Whether the completion carries a backend server's signature.
    :param rows: The single rows, if the reader was asked to split them.
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

        :returns: Whether the answer has no error code.
        """
        return self.code is None


@attrs.frozen
class Prepared:
    """A prepared statement.

    :param name: Name on connections to backend servers. It is derived from the
        shape, so that all daemons, which lend each other connections, use the
        same name for the same shape.
    :param shape: Shape of the statement; executions add item and data.
    :param read_only: Whether the statement only reads.
    """

    name: bytes
    shape: bytes
    read_only: bool

    @classmethod
    def of(cls, shape: bytes, *, read_only: bool) -> 'Prepared':
        """Return the prepared statement of a shape, named by its digest.

        :param shape: Shape of the statement.
        :param read_only: Whether the statement only reads.
        :returns: The prepared statement.
        """
        kind = b'r' if read_only else b'w'
        digest = hashlib.blake2b(shape, digest_size=_DIGEST_BYTES).hexdigest()
        return cls(kind + digest.encode(), shape, read_only)
