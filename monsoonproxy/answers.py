"""Answers of the executor on their way to the caller."""

import contextlib
from collections.abc import AsyncGenerator, Callable
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from monsoonproxy import binaries, messages, packets, statements
from monsoonproxy.models import StatementKind

if TYPE_CHECKING:
    from monsoonproxy.connections import CallerConnection

Encoders = Callable[[list[messages.Column]], binaries.Encoder]

_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))
_INTERNAL = messages.Unknown(0, 'internal error of the proxy')
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
    conn.state.finish(last)
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
    encode: binaries.Encoder | None = None
    count = 0
    async with contextlib.aclosing(_replies(conn, statement)) as replies:
        async for reply in replies:
            if isinstance(reply, messages.ResultHeader):
                encode = encoders(reply.columns)
                conn.stream.put(
                    *packets.header(reply.columns, conn.status, conn.short_ends)
                )
            elif isinstance(reply, messages.ResultRows) and encode:
                count += 1
                conn.stream.put(*map(encode, reply.rows))
                await conn.stream.drain_some()
            else:
                _end(conn, reply, count if encode else None)


async def _replies(
    conn: 'CallerConnection', statement: statements.Statement
) -> AsyncGenerator[messages.Reply, None]:
    executor = conn.frontend.executor
    replies = executor.execute(conn.state, statement)
    ended = False
    try:
        async for reply in replies:
            ended = not isinstance(
                reply, (messages.ResultHeader, messages.ResultRows)
            )
            yield reply
            if ended:
                return
        ended = True
        yield _BROKEN_OFF
    except Exception:
        logger.exception('entry: the executor failed')
        ended = True
        executor.cancel(conn.state)
        yield _INTERNAL
    finally:
        if not ended:
            executor.cancel(conn.state)
        close = getattr(replies, 'aclose', None)
        if close is not None:
            await close()


def _end(
    conn: 'CallerConnection', reply: messages.Reply, row_messages: int | None
) -> None:
    if isinstance(reply, messages.ResultEnd):
        if reply.row_messages != (row_messages or 0):
            reply = _ROWS_MISSING
    conn.state.finish(reply)
    if not isinstance(reply, messages.ResultEnd):
        conn.stream.put(_error(reply))
    elif row_messages is None:
        numbers = (reply.affected_rows, reply.insert_id, reply.warnings)
        conn.stream.put(packets.ok(conn.status, *numbers))
    else:
        conn.stream.put(
            packets.end_of_rows(conn.status, reply.warnings, conn.short_ends)
        )


def _error(reply: messages.Reply) -> bytes:
    if isinstance(reply, messages.Failure):
        return packets.error(reply.code, reply.sqlstate, reply.text)
    if isinstance(reply, messages.Refusal):
        wait = f'come back after {reply.retry_after} ms'
        text = f'not run: {reply.reason}; {wait}'
        return packets.error(4100, 'HY000', text)
    reason = getattr(reply, 'reason', 'unexpected answer')
    return packets.error(4101, 'HY000', f'outcome unknown: {reason}')
