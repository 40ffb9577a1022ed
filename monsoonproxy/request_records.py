"""Table of request ids, by which a write takes effect at most once.

The record of a request is inserted in the transaction of its write, so it
exists if and only if the write took effect.
"""

import re

import attrs

from monsoonproxy.adapters import Answer, BackendConnection
from monsoonproxy.exceptions import BackendError

TABLE = 'monsoonproxy_requests'

_CREATE = (
    f'CREATE TABLE IF NOT EXISTS {TABLE} (id VARCHAR(64) PRIMARY KEY,'
    ' affected_rows BIGINT, last_id BIGINT)'
)
_DUPLICATE_KEY = 1062
_NO_SUCH_TABLE = 1146
_ID = re.compile(r'[A-Za-z0-9_.:\-]{1,64}')


@attrs.frozen
class RequestRecord:
    """Result of a write that ran before, as stored in its record.

    :param affected_rows: Number of rows that the write changed.
    :param insert_id: Last insert id of the write.
    """

    affected_rows: int
    insert_id: int


def is_valid(request_id: str) -> bool:
    """Check the form of a request id.

    The entry side checks it too. A holder inserts the id into SQL statements
    and must not rely on checks of its peers.

    :param request_id: The id that the caller chose.
    :returns: Whether it is safe in a statement without escaping.
    """
    return _ID.fullmatch(request_id) is not None


async def insert(conn: BackendConnection, request_id: str) -> bool:
    """Insert the record of a request in the open transaction.

    :param conn: A connection with an open transaction.
    :param request_id: The id.
    :returns: ``False`` if the request ran before.
    :raises BackendError: If the backend server refuses for another reason.
    """
    sql = (
        f'INSERT INTO {TABLE} (id, affected_rows, last_id)'
        f" VALUES ('{request_id}', 0, 0)"
    )
    try:
        await conn.query(sql.encode())
    except BackendError as exc:
        if exc.code == _DUPLICATE_KEY:
            return False
        raise
    return True


async def complete(
    conn: BackendConnection, request_id: str, answer: Answer
) -> None:
    """Store the result of a write in its record.

    The record is inserted with zeros, so a result of zeros needs no statement.

    :param conn: The connection with the open transaction.
    :param request_id: The id.
    :param answer: Answer of the backend server to the write.
    """
    if not answer.affected_rows and not answer.insert_id:
        return
    sql = (
        f'UPDATE {TABLE} SET affected_rows = {answer.affected_rows},'
        f" last_id = {answer.insert_id} WHERE id = '{request_id}'"
    )
    await conn.query(sql.encode())


async def find(
    conn: BackendConnection, request_id: str
) -> RequestRecord | None:
    """Read the record of a request.

    :param conn: A connection to the primary of the current term.
    :param request_id: The id.
    :returns: The record, or ``None`` if the write did not take effect.
    """
    sql = (
        f"SELECT affected_rows, last_id FROM {TABLE} WHERE id = '{request_id}'"
    )
    try:
        answer = await conn.query(sql.encode())
    except BackendError as exc:
        if exc.code == _NO_SUCH_TABLE:
            return None
        raise
    found = None
    async for batch in answer.rows:
        for affected_rows, insert_id in batch:
            found = RequestRecord(int(affected_rows or 0), int(insert_id or 0))
    return found


def is_missing_table(exc: BackendError) -> bool:
    """Tell whether a statement failed because the table is missing.

    :param exc: An error of the backend server.
    :returns: Whether :func:`create_table` may help.
    """
    return exc.code == _NO_SUCH_TABLE and TABLE in exc.message


async def create_table(conn: BackendConnection) -> None:
    """Create the table of request ids unless it exists.

    :param conn: A connection to the primary, outside a transaction.
    """
    await conn.query(_CREATE.encode())
