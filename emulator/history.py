"""Histories of concurrent runs: what callers saw and what was kept."""

import contextlib
import enum
import json
import pathlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs

from monsoonproxy.models import Outcome


class Kind(enum.Enum):
    """What a caller asks for."""

    BOOKING = 'booking'
    RETURN = 'return'
    ENQUIRY = 'enquiry'
    TRANSACTION = 'transaction'


@attrs.frozen
class Row:
    """A row of the ledger, to which callers only ever append.

    :param number: Primary key.
    :param item: The key to whose list it belongs.
    :param text: ``<item>/<mark>``; names its question, its request and, in a
        transaction, the try.
    :param request: Request id of the write.
    """

    number: int
    item: str
    text: str
    request: str


@attrs.frozen
class Session:
    """Where a caller is connected.

    :param caller: The caller; it has one operation in flight at a time.
    :param number: Counts the caller's connections.
    :param daemon: Name of the daemon.
    :param token: Whether it brought a session token along.
    """

    caller: str
    number: int
    daemon: str
    token: bool = False


@attrs.frozen
class Operation:
    """One try of a caller's request.

    :param session: Who asked, and where.
    :param kind: What was asked.
    :param request: Request id; the same for all tries.
    :param attempt: Counts the tries.
    :param request_class: Weight class.
    :param items: The keys that it appends to or reads.
    :param invoked: Time in ms before it was sent.
    :param completed: Time in ms after the outcome was known.
    :param outcome: How it ended.
    :param code: Code of the error, 0 if there was none.
    :param texts: Texts that it appended.
    :param rows: Rows that it read.
    :param max_age: Greatest age in ms of the data that it may read.
    :param expected: All texts of the answer, if they never change.
    """

    session: Session
    kind: Kind
    request: str
    items: tuple[str, ...]
    invoked: int
    completed: int
    outcome: Outcome
    attempt: int = 1
    request_class: str = ''
    code: int = 0
    texts: tuple[str, ...] = ()
    rows: tuple[Row, ...] = ()
    max_age: int = 0
    expected: frozenset[str] | None = None

    @property
    def answered(self) -> bool:
        """Tell whether the caller has its answer.

        :returns: Whether it has.
        """
        return self.outcome is Outcome.ANSWERED

    @property
    def is_read(self) -> bool:
        """Tell whether it is a read outside a transaction.

        :returns: Whether it is.
        """
        return self.kind is Kind.ENQUIRY

    def __str__(self) -> str:
        """Return a short form for explanations.

        :returns: The request, its try, its time and its outcome.
        """
        where = f'{self.session.caller} at {self.session.daemon}'
        span = f'{self.invoked}..{self.completed} ms'
        ended = f'{self.outcome.value} ({self.code})'
        return f'{self.request}.{self.attempt} of {where}, {span}: {ended}'


@attrs.frozen
class VersionSeen:
    """A configuration version in force on a daemon.

    :param daemon: Name of the daemon and number of its start.
    :param version: The version.
    """

    daemon: str
    version: int


@attrs.define
class History:
    """What a run left behind.

    :param operations: Operations in the order in which they completed.
    :param final: The ledger on the primary of the highest term at the end.
    :param audits: Lines of the audit logs, in order for each server.
    :param versions: Versions in force, in order for each daemon.
    """

    operations: list[Operation] = attrs.Factory(list)
    final: tuple[Row, ...] = ()
    audits: list[dict[str, Any]] = attrs.Factory(list)
    versions: list[VersionSeen] = attrs.Factory(list)

    def reads(self) -> Iterator[Operation]:
        """Iterate over the answered reads.

        :yields: Reads outside transactions.
        """
        for operation in self.operations:
            if operation.is_read and operation.answered:
                yield operation

    def writes(self) -> Iterator[Operation]:
        """Iterate over all tries of writes and transactions.

        :yields: The tries.
        """
        for operation in self.operations:
            if not operation.is_read:
                yield operation

    def acknowledged(self) -> Iterator[Operation]:
        """Iterate over the acknowledged writes and transactions.

        :yields: Their tries.
        """
        for operation in self.writes():
            if operation.answered:
                yield operation


@attrs.frozen
class Violation:
    """An invariant that a history breaks.

    :param invariant: Name of the check.
    :param explanation: What is wrong.
    """

    invariant: str
    explanation: str


Check = Callable[[History], list[Violation]]
_checks: dict[str, Check] = {}


def check(finder: Callable[[History], Iterable[str]]) -> Check:
    """Register a check.

    :param finder: Yields an explanation for each violation. Its name is that
        of the invariant.
    :returns: The check.
    """
    name = finder.__name__

    def checked(history: History) -> list[Violation]:
        return [Violation(name, text) for text in finder(history)]

    _checks[name] = checked
    return checked


def check_all(history: History) -> list[Violation]:
    """Run all registered checks.

    :param history: The history.
    :returns: What it violates.
    """
    return [found for checked in _checks.values() for found in checked(history)]


def load_audits(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    """Read audit logs.

    :param paths: One file per backend server.
    :returns: Their lines; the last one is left out if a kill cut it short.
    """
    lines = []
    for path in paths:
        for line in path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
    return lines
