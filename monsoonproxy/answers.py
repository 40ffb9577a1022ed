"""Answers of the executor on their way to the caller."""

from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

from monsoonproxy import messages, packets, statements

if TYPE_CHECKING:
    from monsoonproxy.connections import CallerConnection


async def run(
    conn: 'CallerConnection',
    statement: statements.Statement,
    encode: Callable[[messages.Row], bytes],
) -> None:
    """Run a statement and stream its answer.

    :param conn: The caller's connection.
    :param statement: The statement.
    :param encode: Encodes a row.
    """
    replies = conn.frontend.executor.execute(conn.state, statement)
    has_rows = False
    async for reply in replies:
        if isinstance(reply, messages.ResultHeader):
            has_rows = True
            conn.stream.put(
                *packets.header(reply.columns, conn.status, conn.short_ends)
            )
        elif isinstance(reply, messages.ResultRows):
            conn.stream.put(*map(encode, reply.rows))
            await conn.stream.drain()
        else:
            conn.state.finish(reply)
            conn.stream.put(end(conn, reply, has_rows))


def end(
    conn: 'CallerConnection', reply: messages.Reply, has_rows: bool
) -> bytes:
    """Encode the end of an answer.

    :param conn: The caller's connection.
    :param reply: The last message of the answer.
    :param has_rows: Whether a header was sent.
    :returns: The last packet.
    """
    if isinstance(reply, messages.Failure):
        return packets.error(reply.code, reply.sqlstate, reply.text)
    if isinstance(reply, messages.Refusal):
        text = (
            f'not run: {reply.reason}; come back after {reply.retry_after} ms'
        )
        return packets.error(4100, 'HY000', text)
    if not isinstance(reply, messages.ResultEnd):
        reason = getattr(reply, 'reason', 'the answer broke off')
        return packets.error(4101, 'HY000', f'outcome unknown: {reason}')
    if has_rows:
        return packets.end_of_rows(conn.status, reply.warnings, conn.short_ends)
    return packets.ok(
        conn.status, reply.affected_rows, reply.insert_id, reply.warnings
    )
