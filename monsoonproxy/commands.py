"""Handlers for the commands of the MySQL client/server protocol.

Statements that concern only the session (``SET``, ``USE``, queries for session
variables) are answered here; all others are forwarded.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING

import attrs
from mysql_mimic.types import Commands

from monsoonproxy import (
    answers,
    binaries,
    bindings,
    marks,
    packets,
    statements,
    variables,
)
from monsoonproxy.exceptions import StatementError
from monsoonproxy.models import StatementKind
from monsoonproxy.streams import ConnectionGoneError, PacketError

if TYPE_CHECKING:
    from monsoonproxy.caller_connections import CallerConnection

_Handler = Callable[['CallerConnection', bytes], Awaitable[None]]

#: Limit of prepared statements per connection. MySQL has the same default for
#: all connections of a server together.
MAX_PREPARED = 16_382
_MAX_PARAMETERS = 65_535
_ON = frozenset(('1', 'on', 'true'))
_OFF = frozenset(('0', 'off', 'false'))
_TOKEN_VARIABLE = 'monsoonproxy_token'  # noqa: S105 - a name, no secret
_handlers: dict[int, _Handler] = {}


def handles(command: Commands) -> Callable[[_Handler], _Handler]:
    """Return a decorator that registers a function as a command's handler.

    :param command: Command that the function handles.
    :returns: The decorator.
    """

    def decorator(handler: _Handler) -> _Handler:
        _handlers[command.value] = handler
        return handler

    return decorator


async def run(conn: 'CallerConnection', packet: bytes) -> None:
    """Run a command and put its answer into the stream of the connection.

    :param conn: The caller's connection.
    :param packet: Payload of the packet: the command byte and its arguments.
    :raises PacketError: If the packet is malformed or exceeds a limit.
    """
    if not packet:
        raise PacketError(1835, 'the command packet is empty')
    handler = _handlers.get(packet[0])
    if handler is None:
        conn.fail(1047, '08S01', f'command {packet[0]} is not supported')
        return
    await handler(conn, packet[1:])


@handles(Commands.COM_QUIT)
async def _quit(conn: 'CallerConnection', content: bytes) -> None:
    raise ConnectionGoneError('the caller closed the connection with COM_QUIT')


@handles(Commands.COM_PING)
@handles(Commands.COM_DEBUG)
async def _ping(conn: 'CallerConnection', content: bytes) -> None:
    conn.stream.put(packets.ok(conn.status))


@handles(Commands.COM_RESET_CONNECTION)
async def _reset(conn: 'CallerConnection', content: bytes) -> None:
    await conn.renew(conn.state.service)
    conn.stream.put(packets.ok(conn.status))


@handles(Commands.COM_CHANGE_USER)
async def _change_user(conn: 'CallerConnection', content: bytes) -> None:
    await conn.change_user(content)


@handles(Commands.COM_INIT_DB)
async def _init_db(conn: 'CallerConnection', content: bytes) -> None:
    await _use_service(conn, content.decode(errors='replace'))


@handles(Commands.COM_QUERY)
async def _query(conn: 'CallerConnection', content: bytes) -> None:
    sql, attributes = bindings.read_query(content, conn.sends_attributes)
    await _run_sql(conn, sql, attributes, binaries.text_encoder)


@handles(Commands.COM_STMT_PREPARE)
async def _prepare(conn: 'CallerConnection', content: bytes) -> None:
    parts = statements.split(content)
    parameters = len(parts) - 1
    if parameters > _MAX_PARAMETERS:
        conn.fail(
            1390,
            'HY000',
            f'the statement has {parameters} placeholders,'
            f' the limit is {_MAX_PARAMETERS}',
        )
        return
    if len(conn.prepared) >= MAX_PREPARED:
        conn.fail(
            1461,
            '42000',
            f'the connection already has {MAX_PREPARED} prepared statements',
        )
        return
    conn.last_prepared += 1
    conn.prepared[conn.last_prepared] = bindings.Prepared(parts)
    conn.kept += sum(map(len, parts))
    conn.stream.put(
        *packets.prepared(
            conn.last_prepared, parameters, conn.status, conn.deprecates_eof
        )
    )


@handles(Commands.COM_STMT_EXECUTE)
async def _execute(conn: 'CallerConnection', content: bytes) -> None:
    reader = bindings.Reader(content)
    prepared = _find_prepared(conn, reader)
    try:
        sql, attributes = bindings.read_execution(
            reader, prepared, conn.sends_attributes
        )
    finally:
        _drop_long_data(conn, prepared)
    await _run_sql(conn, sql, attributes, binaries.binary_encoder)


@handles(Commands.COM_STMT_SEND_LONG_DATA)
async def _send_long_data(conn: 'CallerConnection', content: bytes) -> None:
    # The protocol defines no answer to this command, not even an error: an
    # unknown statement is ignored.
    reader = bindings.Reader(content)
    prepared = conn.prepared.get(reader.number(4))
    index = reader.number(2)
    if prepared is None:
        return
    if prepared.long_data is None:
        prepared.long_data = {}
    chunk = reader.rest()
    buffered = sum(map(len, prepared.long_data.values()))
    if buffered + len(chunk) > conn.frontend.limits.packet:
        raise PacketError(
            1153, 'long data of a statement is larger than the packet limit'
        )
    prepared.long_data.setdefault(index, bytearray()).extend(chunk)
    conn.kept += len(chunk)


@handles(Commands.COM_STMT_RESET)
async def _reset_statement(conn: 'CallerConnection', content: bytes) -> None:
    _drop_long_data(conn, _find_prepared(conn, bindings.Reader(content)))
    conn.stream.put(packets.ok(conn.status))


@handles(Commands.COM_STMT_CLOSE)
async def _close_statement(conn: 'CallerConnection', content: bytes) -> None:
    prepared = conn.prepared.pop(bindings.Reader(content).number(4), None)
    if prepared is not None:
        _drop_long_data(conn, prepared)
        conn.kept -= sum(map(len, prepared.parts))


def _drop_long_data(
    conn: 'CallerConnection', prepared: bindings.Prepared
) -> None:
    long_data, prepared.long_data = prepared.long_data, None
    conn.kept -= sum(map(len, (long_data or {}).values()))


def _find_prepared(
    conn: 'CallerConnection', reader: bindings.Reader
) -> bindings.Prepared:
    prepared = conn.prepared.get(reader.number(4))
    if prepared is None:
        raise StatementError('the prepared statement does not exist')
    return prepared


async def _run_sql(
    conn: 'CallerConnection',
    sql: bytes,
    attributes: Mapping[str, bytes | None],
    encoders: answers.Encoders,
) -> None:
    if not sql.strip():
        conn.fail(1065, '42000', 'the statement is empty')
        return
    statement = conn.frontend.classifier.parse(sql, attributes)
    if statement.marks.token is not None:
        _apply_token(conn, statement.marks.token)
    if statement.kind is StatementKind.LOCAL:
        _answer_locally(conn, sql, encoders)
    elif statement.kind is StatementKind.SET:
        await _set(conn, sql)
    else:
        merged = conn.state.merge(statement.marks)
        if merged is not statement.marks:
            statement = attrs.evolve(statement, marks=merged)
        await answers.run(conn, statement, encoders)


def _answer_locally(
    conn: 'CallerConnection', sql: bytes, encoders: answers.Encoders
) -> None:
    values = _variable_values(conn)
    if _TOKEN_VARIABLE.encode() in sql.lower():
        values[_TOKEN_VARIABLE] = _sign_token(conn)
    context = variables.Context(values, conn.state.warnings)
    table = variables.answer(sql, context)
    encode = encoders(table.columns)
    conn.stream.put(
        *packets.header(table.columns, conn.status, conn.deprecates_eof),
        *map(encode, table.rows),
        packets.end_of_rows(conn.status, 0, conn.deprecates_eof),
    )


def _variable_values(conn: 'CallerConnection') -> dict[str, str | None]:
    session = conn.state
    name = conn.session.username
    user = f'{name}@%'
    return {
        'autocommit': '1' if session.autocommit else '0',
        'database()': session.service,
        'schema()': session.service,
        'version()': variables.VERSION,
        'user()': user,
        'current_user()': user,
        'session_user()': user,
        'connection_id()': str(conn.connection_id),
        'last_insert_id()': str(session.insert_id),
    }


def _sign_token(conn: 'CallerConnection') -> str | None:
    session = conn.state
    if session.floor is None:
        return None
    frontend = conn.frontend
    return frontend.signer.sign(
        session.service, session.floor, frontend.clock.wall()
    )


def _apply_token(conn: 'CallerConnection', token: str) -> None:
    frontend = conn.frontend
    position = frontend.signer.check(
        token, conn.state.service, frontend.clock.wall()
    )
    conn.state.raise_floor(position)


async def _set(conn: 'CallerConnection', sql: bytes) -> None:
    service = variables.read_use(sql)
    if service is not None:
        await _use_service(conn, service)
        return
    for name, text in variables.read_set(sql):
        if name == 'autocommit':
            if not await _set_autocommit(conn, text.lower()):
                return
        elif name == _TOKEN_VARIABLE:
            _apply_token(conn, text)
        else:
            _set_default_mark(conn, name.removeprefix('monsoonproxy_'), text)
    conn.stream.put(packets.ok(conn.status))


async def _set_autocommit(conn: 'CallerConnection', text: str) -> bool:
    if text not in _ON and text not in _OFF:
        raise StatementError('autocommit must be on or off')
    session = conn.state
    if text in _ON and not session.autocommit and session.in_transaction:
        if not await answers.begin_or_commit(conn, StatementKind.COMMIT):
            return False
    session.autocommit = text in _ON
    return True


def _set_default_mark(conn: 'CallerConnection', key: str, text: str) -> None:
    if key not in {'max_age_ms', 'deadline_ms', 'class'}:
        raise StatementError(f'variable monsoonproxy_{key} does not exist')
    field, mark = marks.parse_one(key, text)
    session = conn.state
    session.defaults = attrs.evolve(session.defaults, **{field: mark})


async def _use_service(conn: 'CallerConnection', service: str) -> None:
    if not conn.may_use(service):
        conn.stream.put(packets.unknown_service(service))
        return
    if service != conn.state.service:
        if conn.state.in_transaction:
            raise StatementError(
                'the service can not be changed within a transaction'
            )
        await conn.renew(service)
    conn.stream.put(packets.ok(conn.status))
