"""Value types that several modules share."""

import enum

import attrs

from monsoonproxy.clock import Millis

#: Request classes with predefined weights, which need no declaration.
CONFIRMATION = 'confirmation'
RETURN = 'return'
ENQUIRY = 'enquiry'


@attrs.frozen(order=True)
class Position:
    """A position in the replication log of a group.

    A new term does not reset offsets.

    :param term: The term in which the log entry was written.
    :param offset: Number of log entries up to and including this one.
    """

    term: int
    offset: int


class Role(enum.Enum):
    """Replication role that a backend server reports."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class StatementKind(enum.Enum):
    """Kind of a statement, which decides how it is routed.

    A statement that is not certainly a read counts as a write.
    """

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SET = 'set'
    LOCAL = 'local'


@attrs.frozen
class Marks:
    """Options that a caller attaches to a request.

    :param max_age: Largest permitted age of the data in ms; ``None`` means the
        limit of the service.
    :param deadline: Time in ms after which the answer is of no use.
    :param repeatable: Whether the request is idempotent.
    :param request_id: Id that is the same for all retries of the request.
    :param request_class: Request class, such as ``confirmation``, which sets
        the weight of the request.
    :param token: Session token that the caller got with an earlier answer.
    """

    max_age: int | None = None
    deadline: int | None = None
    repeatable: bool | None = None
    request_id: str | None = None
    request_class: str | None = None
    token: str | None = None


@attrs.frozen
class BackendReport:
    """Status that a backend server reports over the group protocol.

    :param name: Name of the backend server in its group.
    :param role: Primary or replica.
    :param promised_term: Lowest term that the backend server still accepts.
    :param candidate: The candidate that was granted the promised term.
    :param log_term: Term of its last log entry.
    :param received: Offset of the last log entry that it has received.
    :param applied: Offset of the last log entry that reads can see.
    :param source_silence: Time in ms since it last heard from its primary.
    :param leaving: Whether it is about to leave the group.
    :param term_starts: First offset of each term in its log.
    """

    name: str
    role: Role
    promised_term: int
    candidate: str
    log_term: int
    received: int
    applied: int
    source_silence: Millis
    leaving: bool = False
    term_starts: tuple[tuple[int, int], ...] = ()


class HostState(enum.Enum):
    """State of a host in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen(cache_hash=True)
class Host:
    """A host at which callers' requests enter the system.

    :param address: ``ip:port`` of the daemon's peer socket.
    :param availability_zone: The availability zone of the host.
    :param state: Latest known state of the host.
    """

    address: str
    availability_zone: str
    state: HostState = HostState.LIVE


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'
