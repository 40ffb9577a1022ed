"""Data that several modules share."""

import enum

import attrs

from monsoonproxy.clock import Millis

#: Weight classes of requests that need no declaration.
CONFIRMATION = 'confirmation'
RETURN = 'return'
ENQUIRY = 'enquiry'


@attrs.frozen(order=True)
class Position:
    """A place in a group's log.

    Offsets go on counting across terms.

    :param term: The term in which the entry was written.
    :param offset: The number of entries up to and including this one.
    """

    term: int
    offset: int


class Role(enum.Enum):
    """What a backend server says it is."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


class StatementKind(enum.Enum):
    """How a statement is treated.

    What is not certainly a read is a write.
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
    """What a caller says about a request.

    :param max_age: Greatest age of the data in ms; ``None`` means the rule
        of the service.
    :param deadline: Time in ms within which the answer is of use.
    :param repeatable: Whether running the request twice does no harm.
    :param request_id: Identifies the request over several tries.
    :param request_class: Weight class, such as ``confirmation``.
    :param token: A session token.
    """

    max_age: int | None = None
    deadline: int | None = None
    repeatable: bool | None = None
    request_id: str | None = None
    request_class: str | None = None
    token: str | None = None


@attrs.frozen
class BackendReport:
    """The status of a backend server, as its group protocol reports it.

    :param name: Name of the backend server in its group.
    :param role: Primary or replica.
    :param promised_term: Lowest term that it still accepts.
    :param candidate: Who was granted the promised term.
    :param log_term: Term of its last log entry.
    :param received: Offset of the last log entry that it has received.
    :param applied: Offset of the last log entry that reads can see.
    :param source_silence: Time in ms since it heard from its primary.
    :param leaving: Whether it is about to leave.
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
    """An entry host.

    :param address: ``ip:port`` of the daemon's peer socket.
    :param availability_zone: The zone it is in.
    :param state: State according to the latest knowledge.
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
