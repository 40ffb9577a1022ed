"""Runs statements and encodes the executor's replies for the caller."""

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

_TRANSACTION_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))
#: Each answer ends with exactly one of these replies.
_FINAL_REPLIES = (
    messages.ResultEnd,
    messages.Failure,
    messages.Refusal,
    messages.Unknown,
)
_INCOMPLETE = messages.Unknown(0, 'the answer broke off')
_ROWS_MISSING = messages.Unknown(0, 'rows of the answer are missing')


async def run(
    conn: 'CallerConnection',
    statement: statements.Statement,
    encoders: Encoders,
) -> None:
    """Run a statement and write its answer to the caller's stream.

    A transaction that the statement implies is begun or committed first.

    :param conn: The caller's connection.
    :param statement: The statement.
    :param encoders: Returns the row encoder for the columns of a result.
    """
    if await _prepare_transaction(conn, statement):
        await _stream_answer(conn, statement, encoders)


async def begin_or_commit(
    conn: 'CallerConnection',
    kind: StatementKind,
    statement: statements.Statement | None = None,
) -> bool:
    """Run the ``BEGIN`` or ``COMMIT`` that a caller's statement implies.

    On failure, the error is sent to the caller.

    :param conn: The caller's connection.
    :param kind: ``BEGIN`` or ``COMMIT``.
    :param statement: The statement that implies it, or ``None`` for the
        session's default marks.
    :returns: Whether it succeeded.
    """
    marks = conn.state.defaults if statement is None else statement.marks
    # The request id and the session token apply to the caller's own statement.
    marks = attrs.evolve(marks, request_id=None, token=None)
    text = kind.value.upper().encode()
    step = statements.Statement(text, kind, marks)
    last: messages.Reply = _INCOMPLETE
    async with contextlib.aclosing(_replies(conn, step)) as replies:
        async for reply in replies:
            last = reply
    conn.state.apply_reply(last)
    if isinstance(last, messages.ResultEnd):
        return True
    conn.stream.put(_error_packet(last))
    return False


async def _prepare_transaction(
    conn: 'CallerConnection', statement: statements.Statement
) -> bool:
    session = conn.state
    kind = statement.kind
    if session.in_transaction:
        # MySQL would commit the open transaction implicitly. An explicit COMMIT
        # is acknowledged or refused like any other.
        if kind is StatementKind.BEGIN or statement.commits:
            return await begin_or_commit(conn, StatementKind.COMMIT, statement)
        return True
    if kind in _TRANSACTION_ENDS:
        conn.stream.put(packets.ok(conn.status))
        return False
    opens = kind is not StatementKind.BEGIN and not statement.commits
    if opens and not session.autocommit:
        return await begin_or_commit(conn, StatementKind.BEGIN, statement)
    return True


async def _stream_answer(
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
    """Encodes the replies of one statement into the caller's stream."""

    conn: 'CallerConnection'
    encoders: Encoders
    encode: binaries.Encoder = packets.text_row
    has_header: bool = False
    row_messages: int = 0

    def put_header(self, reply: messages.ResultHeader) -> None:
        """Queue the column definitions of a result with rows."""
        self.has_header = True
        self.encode = self.encoders(reply.columns)
        conn = self.conn
        conn.stream.put(
            *packets.header(reply.columns, conn.status, conn.deprecates_eof)
        )

    async def put_rows(self, reply: messages.ResultRows) -> None:
        """Queue rows, and wait while too many bytes are unsent."""
        self.row_messages += 1
        self.conn.stream.put(*map(self.encode, reply.rows))
        await self.conn.stream.drain_if_full()

    def put_end(self, reply: messages.Reply) -> None:
        """Update the session and queue the final packet.

        If row messages were lost, the outcome is reported as unknown.
        """
        conn = self.conn
        if isinstance(reply, messages.ResultEnd):
            if reply.row_messages != self.row_messages:
                reply = _ROWS_MISSING
        conn.state.apply_reply(reply)
        if isinstance(reply, messages.ResultEnd):
            conn.stream.put(self._success(reply))
        else:
            conn.stream.put(_error_packet(reply))

    def _success(self, reply: messages.ResultEnd) -> bytes:
        status = self.conn.status
        warnings = reply.warnings
        if self.has_header:
            return packets.end_of_rows(
                status, warnings, self.conn.deprecates_eof
            )
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
            if isinstance(reply, _FINAL_REPLIES):
                last = reply
                break
            yield reply
    except Exception:
        _log.exception('Executor failed; the outcome is reported as unknown')
    finally:
        await _close_replies(conn, replies, ended=last is not None)
    yield last or _INCOMPLETE


async def _close_replies(
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


def _error_packet(reply: messages.Reply) -> bytes:
    if isinstance(reply, messages.Failure):
        return packets.error(reply.code, reply.sqlstate, reply.text)
    if isinstance(reply, messages.Refusal):
        wait = f'come back after {reply.retry_after} ms'
        text = f'not run: {reply.reason}; {wait}'
        return packets.error(4100, 'HY000', text)
    reason = getattr(reply, 'reason', 'unexpected answer')
    return packets.error(4101, 'HY000', f'outcome unknown: {reason}')
