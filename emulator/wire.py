"""MySQL connections of a backend server, over ``mysql-mimic``."""

import asyncio
import functools
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from mysql_mimic import packets
from mysql_mimic.auth import FILLER, AuthInfo, AuthPlugin, AuthState
from mysql_mimic.auth import IdentityProvider, Success, User
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES, KillKind
from mysql_mimic.control import Control
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import MysqlStream
from mysql_mimic.types import (
    Capabilities,
    ColumnDefinition,
    ColumnType,
    ServerStatus,
    str_len,
)
from mysql_mimic.variables import GlobalVariables, SessionVariables

from emulator import group, replication, sql, syntax
from emulator.errors import SqlError
from emulator.executor import Executor, Outcome
from emulator.log import Cell
from emulator.service import Service

# The library logs a stack trace for each client that goes away.
logging.getLogger('mysql_mimic').setLevel(logging.CRITICAL)

#: Without query attributes, the rest of a COM_QUERY packet is the statement's
#: bytes, which need not be valid in any character set.
CAPABILITIES = (
    DEFAULT_SERVER_CAPABILITIES & ~Capabilities.CLIENT_QUERY_ATTRIBUTES
)
_BYTES_PER_WRITE = 64 * 1024
_TYPES = {
    'int': (ColumnType.LONGLONG, CharacterSet.binary),
    'text': (ColumnType.VAR_STRING, CharacterSet.utf8mb4),
    'blob': (ColumnType.BLOB, CharacterSet.binary),
}


class _AnyPassword(AuthPlugin):
    """Accepts every password."""

    name = 'mysql_native_password'
    client_plugin_name = 'mysql_native_password'

    async def auth(self, auth_info: AuthInfo | None = None) -> AuthState:
        if auth_info is None:
            auth_info = yield FILLER
        yield Success(auth_info.user.name)


class AnyUser(IdentityProvider):
    """Accepts every user."""

    def get_plugins(self) -> list[AuthPlugin]:
        """Return the authentication plugins.

        :returns: One that accepts everybody.
        """
        return [_AnyPassword()]

    async def get_user(self, username: str) -> User:
        """Look a user up.

        :param username: Name of the user.
        :returns: A user of that name.
        """
        return User(name=username, auth_plugin=_AnyPassword.name)


class Session(BaseSession):
    """What ``mysql-mimic`` keeps of a connection.

    :param closed: Called when the connection ends.
    :param reset_state: Called when the client resets the connection.
    """

    def __init__(
        self, closed: Callable[[], None], reset_state: Callable[[], None]
    ) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self._closed = closed
        self._reset_state = reset_state

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> None:
        """Refuse statements that don't come by COM_QUERY.

        :param sql: Statement text.
        :param attrs: Query attributes.
        :raises SqlError: Always.
        """
        raise SqlError(1235, '42000', 'prepared statements are not supported')

    async def close(self) -> None:
        """Roll back when the connection ends."""
        self._closed()

    async def reset(self) -> None:
        """Roll back when the client resets the connection."""
        self._reset_state()


class ServerConnection(Connection):
    """A client's or follower's connection.

    :param stream: Its packets.
    :param service: The backend server.
    :param connection_id: Its id.
    :param peer: IP address of the other end.
    :param kill_other: Ends another connection.
    """

    def __init__(
        self,
        stream: MysqlStream,
        service: Service,
        connection_id: int,
        peer: str,
        kill_other: Callable[[int], Awaitable[None]],
    ) -> None:
        self.executor = Executor(service.member, connection_id)
        super().__init__(
            stream,
            Session(
                functools.partial(self.executor.reset, 'the connection ended'),
                functools.partial(self.executor.reset, 'the client reset it'),
            ),
            Control(),
            AnyUser(),
            CAPABILITIES,
        )
        self.connection_id = connection_id
        self.ended = asyncio.Event()
        self._service = service
        self._gate = service.member.gate
        self._names = [peer]
        self._kill_other = kill_other
        self._counted = False
        self._serving: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self._serving = asyncio.current_task()
        try:
            await self._gate.passage(self._names)
            await self.start()
        finally:
            self.ended.set()
            if self._counted:
                self._service.leave()

    def kill(self, kind: KillKind = KillKind.CONNECTION) -> None:
        """End the connection at once.

        :param kind: Ignored; only connections are ended.
        """
        self.stream.writer.transport.abort()
        if self._serving is not None:
            self._serving.cancel()

    async def authenticate(self, username: str, **rest: Any) -> None:
        """Check the connection limit, then log the user in.

        :param username: Name of the user.
        :param rest: What the library needs besides.
        :raises SqlError: If the limit is reached.
        """
        member = username.removeprefix(replication.MEMBER_USER)
        program = self.client_connect_attrs.get('program_name', '')
        self._names += [username, program, member]
        await self._gate.passage(self._names)
        if member == username:
            try:
                self._service.admit()
            except SqlError as exc:
                await self._write(self._error(exc))
                raise
            self._counted = True
        await _pause(self._gate.switches.open_ms)
        self._set_status()
        await super().authenticate(username, **rest)

    async def handle_query(self, data: bytes) -> None:
        """Run a statement and send its answer.

        :param data: The statement's bytes.
        """
        await self._arrive()
        text = data.decode('utf-8', 'surrogateescape')
        try:
            await self._run(text)
        except SqlError as exc:
            await self._depart()
            await self._write(self._error(exc))

    async def handle_ping(self, data: bytes) -> None:
        """Answer a ping.

        :param data: Nothing.
        """
        await self._arrive()
        await self._depart()
        self._set_status()
        await super().handle_ping(data)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back and forget the session state.

        :param data: Nothing.
        """
        await self._arrive()
        await self.session.reset()
        await self._depart()
        self._set_status()
        await super().handle_reset_connection(data)

    async def _run(self, text: str) -> None:
        statement = sql.parse(text)
        if isinstance(statement, syntax.Group):
            await self._run_group(statement)
            return
        if isinstance(statement, syntax.Kill):
            await self._kill_other(statement.connection)
            await self._answer(Outcome())
            return
        await self._service.serve(statement)
        await self._gate.running()
        await self._answer(await self.executor.run(statement, text))

    async def _run_group(self, statement: syntax.Group) -> None:
        if statement.verb == 'stream':
            term, end = statement.numbers
            await self._stream(term, end, statement.text)
        else:
            await self._answer(await group.run(self._service.member, statement))

    async def _stream(self, term: int, end: int, starts: str) -> None:
        rows = replication.stream(self._service.member, term, end, starts)
        first = await anext(rows)
        self._write_header([('entries', 'blob')])
        self.stream.write_many([_row(first)])
        await self.stream.drain()
        async for row in rows:
            await self._gate.passage(self._names)
            self.stream.write_many([_row(row)])
            await self.stream.drain()
        await self.stream.write(self.ok_or_eof())

    async def _answer(self, outcome: Outcome) -> None:
        await self._depart()
        self._set_status()
        if not outcome.columns:
            await self._write(self._ok(outcome))
            return
        self._write_header(outcome.columns)
        batch: list[bytes] = []
        size = 0
        for row in outcome.rows:
            batch.append(_row(row))
            size += len(batch[-1])
            if size >= _BYTES_PER_WRITE:
                await self._send(batch)
                batch = []
                size = 0
        await self._send(batch)
        await self._write(self.ok_or_eof())

    async def _send(self, rows: list[bytes]) -> None:
        self.stream.write_many(rows)
        self._service.counters.rows_sent += len(rows)
        await self.stream.drain()
        # A result whose client is cut off while it is sent stops here.
        await self._gate.passage(self._names)

    def _write_header(self, columns: Iterable[tuple[str, str]]) -> None:
        definitions = [
            packets.make_column_definition_41(
                server_charset=CharacterSet.utf8mb4,
                name=name,
                column_type=_TYPES[kind][0],
                character_set=_TYPES[kind][1],
                flags=ColumnDefinition(0),
            )
            for name, kind in columns
        ]
        count = packets.make_column_count(
            capabilities=self.capabilities, column_count=len(definitions)
        )
        self.stream.write_many([count, *definitions])
        if not self.deprecate_eof():
            self.stream.write_many([self.eof()])

    def _ok(self, outcome: Outcome) -> bytes:
        packet = self.ok(
            affected_rows=outcome.affected, last_insert_id=outcome.insert_id
        )
        if outcome.commit is None:
            return packet
        term, offset = outcome.commit
        return packet + f'term={term} position={offset}'.encode()

    def _error(self, exc: SqlError) -> bytes:
        code = exc.code.to_bytes(2, 'little')
        state = exc.sqlstate.encode()
        return b''.join((b'\xff', code, b'#', state, exc.message.encode()))

    def _set_status(self) -> None:
        status = ServerStatus(0)
        if self.executor.autocommit:
            status |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.executor.in_transaction:
            status |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = status

    async def _write(self, packet: bytes) -> None:
        await self.stream.write(packet)

    async def _arrive(self) -> None:
        await self._gate.passage(self._names)
        await _pause(self._gate.switches.delay_ms)

    async def _depart(self) -> None:
        await _pause(self._gate.switches.delay_ms)
        await self._gate.passage(self._names)


async def _pause(duration: float) -> None:
    if duration > 0:
        await asyncio.sleep(duration / 1000)


def _row(cells: Iterable[Cell]) -> bytes:
    return b''.join(
        b'\xfb' if cell is None else str_len(_text(cell)) for cell in cells
    )


def _text(cell: int | bytes) -> bytes:
    return cell if isinstance(cell, bytes) else str(cell).encode()
