"""Answers of the executor on their way to the caller."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import TYPE_CHECKING

import attrs

from monsoonproxy import binaries, messages, packets, statements
from monsoonproxy.logs import log_for
from monsoonproxy.models import StatementKind

if TYPE_CHECKING:
    from monsoonproxy.caller_connections import CallerConnection

Encoders = Callable[[list[messages.Column]], binaries.Encoder]

_log = log_for('entry')

_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))
_LAST = (
    messages.ResultEnd,
    messages.Failure,
    messages.Refusal,
    messages.Unknown,
)
_BROKEN_OFF = messages.Unknown(0, 'the answer broke off')
_ROWS_MISSING = messages.Unknown(0, 'rows of the answer are missing')


async def run(
    conn: 'CallerConnection',
    statement: statements.Statement,
    encoders: Encoders,
) -> None:
    """Run a statement and stream its answer.

    :param conn: The caller's connection.
    :param statement: The statement.
    :param encoders: Makes the encoder of the rows.
    """
    if await _arrange_transaction(conn, statement):
        await _stream(conn, statement, encoders)


async def control(
    conn: 'CallerConnection',
    kind: StatementKind,
    statement: statements.Statement | None = None,
) -> bool:
    """Begin or commit a transaction that the caller did not ask for by name.

    On failure the caller gets the error.

    :param conn: The caller's connection.
    :param kind: ``BEGIN`` or ``COMMIT``.
    :param statement: The caller's statement that needs it.
    :returns: Whether it succeeded.
    """
    marks = conn.state.defaults if statement is None else statement.marks
    # The request id belongs to the caller's own statement.
    marks = attrs.evolve(marks, request_id=None, token=None)
    text = kind.value.upper().encode()
    step = statements.Statement(text, kind, marks)
    last: messages.Reply = _BROKEN_OFF
    async with contextlib.aclosing(_replies(conn, step)) as replies:
        async for reply in replies:
            last = reply
    conn.state.apply_reply(last)
    if isinstance(last, messages.ResultEnd):
        return True
    conn.stream.put(_error(last))
    return False


async def _arrange_transaction(
    conn: 'CallerConnection', statement: statements.Statement
) -> bool:
    session = conn.state
    kind = statement.kind
    if session.in_transaction:
        # MySQL commits the open transaction implicitly; done explicitly, its
        # commit is acknowledged or refused like any other.
        if kind is StatementKind.BEGIN or statement.commits:
            return await control(conn, StatementKind.COMMIT, statement)
        return True
    if kind in _ENDS:
        conn.stream.put(packets.ok(conn.status))
        return False
    opens = kind is not StatementKind.BEGIN and not statement.commits
    if opens and not session.autocommit:
        return await control(conn, StatementKind.BEGIN, statement)
    return True


async def _stream(
    conn: 'CallerConnection',
    statement: statements.Statement,
    encoders: Encoders,
) -> None:
    answer = _Answer(conn, encoders)
    async with contextlib.aclosing(_replies(conn, statement)) as replies:
        async for reply in replies:
            if isinstance(reply, messages.ResultHeader):
                answer.put_header(reply)
            elif isinstance(reply, messages.ResultRows):
                await answer.put_rows(reply)
            else:
                answer.put_end(reply)


@attrs.define
class _Answer:
    """Encodes an answer into the caller's stream."""

    conn: 'CallerConnection'
    encoders: Encoders
    encode: binaries.Encoder = packets.text_row
    has_header: bool = False
    row_messages: int = 0

    def put_header(self, reply: messages.ResultHeader) -> None:
        """Start a result with rows."""
        self.has_header = True
        self.encode = self.encoders(reply.columns)
        conn = self.conn
        conn.stream.put(
            *packets.header(reply.columns, conn.status, conn.short_ends)
        )

    async def put_rows(self, reply: messages.ResultRows) -> None:
        """Add rows, and wait while the caller reads too slowly."""
        self.row_messages += 1
        self.conn.stream.put(*map(self.encode, reply.rows))
        await self.conn.stream.drain_if_full()

    def put_end(self, reply: messages.Reply) -> None:
        """End the answer and take over the state of the session."""
        conn = self.conn
        if isinstance(reply, messages.ResultEnd):
            if reply.row_messages != self.row_messages:
                reply = _ROWS_MISSING
        conn.state.apply_reply(reply)
        if isinstance(reply, messages.ResultEnd):
            conn.stream.put(self._success(reply))
        else:
            conn.stream.put(_error(reply))

    def _success(self, reply: messages.ResultEnd) -> bytes:
        status = self.conn.status
        warnings = reply.warnings
        if self.has_header:
            return packets.end_of_rows(status, warnings, self.conn.short_ends)
        return packets.ok(
            status, reply.affected_rows, reply.insert_id, warnings
        )


async def _replies(
    conn: 'CallerConnection', statement: statements.Statement
) -> AsyncGenerator[messages.Reply, None]:
    replies = conn.frontend.executor.execute(conn.state, statement)
    last: messages.Reply | None = None
    try:
        async for reply in replies:
            if isinstance(reply, _LAST):
                last = reply
                break
            yield reply
    except Exception:
        _log.exception('The executor failed')
    finally:
        await _release(conn, replies, ended=last is not None)
    yield last or _BROKEN_OFF


async def _release(
    conn: 'CallerConnection',
    replies: AsyncIterator[messages.Reply],
    *,
    ended: bool,
) -> None:
    if not ended:
        conn.frontend.executor.cancel(conn.state)
    close = getattr(replies, 'aclose', None)
    if close is not None:
        await close()


def _error(reply: messages.Reply) -> bytes:
    if isinstance(reply, messages.Failure):
        return packets.error(reply.code, reply.sqlstate, reply.text)
    if isinstance(reply, messages.Refusal):
        wait = f'come back after {reply.retry_after} ms'
        text = f'not run: {reply.reason}; {wait}'
        return packets.error(4100, 'HY000', text)
    reason = getattr(reply, 'reason', 'unexpected answer')
    return packets.error(4101, 'HY000', f'outcome unknown: {reason}')
