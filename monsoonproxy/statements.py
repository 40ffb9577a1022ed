"""Statement kinds and marks."""

from collections.abc import Mapping

import attrs

from monsoonproxy.models import Marks, StatementKind

_READS = frozenset((b'SELECT', b'SHOW', b'DESCRIBE', b'DESC', b'EXPLAIN'))
_KINDS: dict[bytes, StatementKind] = {
    b'BEGIN': StatementKind.BEGIN,
    b'START': StatementKind.BEGIN,
    b'COMMIT': StatementKind.COMMIT,
    b'ROLLBACK': StatementKind.ROLLBACK,
    b'SET': StatementKind.SET,
    b'USE': StatementKind.SET,
}


@attrs.frozen
class Statement:
    """A statement of a caller.

    :param sql: Its text as the caller sent it.
    :param kind: How it is treated.
    :param marks: What the caller says about it.
    :param read_only: Whether it begins a read-only transaction.
    """

    sql: bytes
    kind: StatementKind
    marks: Marks = Marks()
    read_only: bool = False


@attrs.define
class Classifier:
    """Classifies statements by their shape.

    :param capacity: How many shapes are kept.
    """

    capacity: int = 4096

    def parse(
        self, sql: bytes, attributes: Mapping[str, bytes | None] | None = None
    ) -> Statement:
        """Classify a statement and read its marks.

        :param sql: The statement's text.
        :param attributes: The query attributes of the request.
        :returns: The statement.
        """
        words = sql.split(None, 1)
        first = words[0].upper() if words else b''
        if first in _READS:
            return Statement(sql, StatementKind.READ)
        return Statement(sql, _KINDS.get(first, StatementKind.WRITE))
