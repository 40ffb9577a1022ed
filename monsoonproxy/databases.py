"""Database adapter for the group protocol, over ``asyncmy``."""

import asyncio
import re
import ssl as tls
import struct
from collections.abc import Mapping
from typing import Any

import attrs
from asyncmy import errors
from asyncmy.connection import Connection

from monsoonproxy import adapters, messages, status_rows
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    MonsoonError,
    TermChangedError,
    TooManyConnectionsError,
)
from monsoonproxy.models import BackendReport, Position

_COM_RESET_CONNECTION = 31
_IN_TRANSACTION = 1
_UNKNOWN_THREAD = 1094
#: Errors that end the connection: server shutdown, session killed, idle.
_ENDING_CODES = frozenset((1053, 1927, 3169, 4031))
#: Codes from 2000 to 2999 are raised by the client library itself.
_CLIENT_CODES = range(2000, 3000)
_ERROR_TYPES: Mapping[int, type[BackendError]] = {
    1040: TooManyConnectionsError,
    3100: TermChangedError,
}
#: What the client library raises, also for malformed packets.
_LIBRARY_ERRORS = (
    errors.MySQLError,
    OSError,
    RuntimeError,
    ValueError,
    LookupError,
    AssertionError,
    struct.error,
)
_POSITION = re.compile(rb'\bterm=(\d+) position=(\d+)')


class _Wire(Connection):
    """The client library's connection, opened up for raw results."""

    # The library's stubs leave these attributes out.
    server_status: int
    _result: Any
    _transport: Any
    _stream_broken: bool
    _execute_command: Any
    _read_ok_packet: Any
    _paused = False

    def broken(self) -> bool:
        """Tell whether the connection has already ended.

        :returns: Whether nothing can be sent any more.
        """
        return not self.connected or self._stream_broken

    def unread(self) -> bool:
        """Tell whether rows of the last answer are still to be read.

        :returns: Whether there are any.
        """
        return self._result is not None and bool(self._result.unbuffered_active)

    async def run(self, sql: bytes) -> Any:
        """Run a statement, without reading its rows.

        :param sql: Statement text.
        :returns: The library's result object.
        """
        await self.query(sql, unbuffered=True)
        return self._result

    async def batch(self) -> list[messages.Row]:
        """Read the next rows.

        A batch ends early when no further row has arrived yet. Reading from
        the socket pauses between two batches, since the library would
        otherwise buffer the whole result in memory.

        :returns: At least one row, or none at the end.
        """
        self._pause(paused=False)
        rows: list[messages.Row] = []
        size = 0
        row = await self._result._read_rowdata_packet_unbuffered()
        while row is not None:
            rows.append(list(row))
            size += sum(len(cell) for cell in row if cell is not None)
            if len(rows) >= adapters.BATCH_ROWS or size >= adapters.BATCH_BYTES:
                break
            row = next(iter(self._result._take_pending_rows(1)), None)
        if self.unread():
            self._pause(paused=True)
        return rows

    async def reset_session(self) -> None:
        """Send COM_RESET_CONNECTION."""
        await self._execute_command(_COM_RESET_CONNECTION, b'')
        await self._read_ok_packet()

    def _pause(self, *, paused: bool) -> None:
        # Rows that arrived before the connection ended can still be read.
        if self._stream_broken or self._paused == paused:
            return
        self._paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


@attrs.define
class GroupConnection:
    """A connection to a backend server with the group protocol."""

    _wire: _Wire

    @property
    def connection_id(self) -> int:
        """Return the id that the backend server gave the connection.

        :returns: The id.
        """
        return self._wire.thread_id()

    async def query(self, sql: bytes) -> adapters.Answer:
        """Run a statement.

        :param sql: Statement text.
        :returns: The answer, with its rows still to be read.
        :raises ConnectionLostError: If the connection broke.
        """
        self._check()
        try:
            outcome = await self._wire.run(sql)
        except _LIBRARY_ERRORS as exc:
            raise self._converted(exc) from exc
        answer = adapters.Answer(
            affected_rows=outcome.affected_rows,
            insert_id=outcome.insert_id,
            warnings=outcome.warning_count,
            position=_position(outcome.message),
            in_transaction=bool(self._wire.server_status & _IN_TRANSACTION),
        )
        if outcome.field_count:
            answer.affected_rows = 0
            answer.columns = [_column(field) for field in outcome.fields]
            answer.rows = self._rows(answer, outcome)
        return answer

    async def status(self) -> BackendReport:
        """Ask for the status.

        :returns: The current status.
        """
        return await self._report('SHOW GROUP STATUS')

    async def wait_change(
        self, received: int, applied: int, timeout: Millis
    ) -> BackendReport:
        """Wait until a position differs from those given.

        The caller limits the time in which the answer must arrive.

        :param received: The last known received offset.
        :param applied: The last known applied offset.
        :param timeout: Time after which the backend server answers anyway.
        :returns: The status.
        """
        return await self._report(
            f'WAIT GROUP CHANGE {received} {applied} {timeout}'
        )

    async def set_term(self, term: int, candidate: str) -> BackendReport:
        """Ask for the grant of a term.

        :param term: The term.
        :param candidate: Who asks.
        :returns: The status after the attempt, granted or not.
        """
        return await self._report(
            f'SET GROUP TERM {term} CANDIDATE {_quoted(candidate)}'
        )

    async def promote(self, term: int, candidate: str) -> BackendReport:
        """Make the backend server the primary of a term it has granted.

        :param term: The term.
        :param candidate: Who was granted the term.
        :returns: The status as the primary.
        """
        return await self._report(
            f'PROMOTE GROUP TERM {term} CANDIDATE {_quoted(candidate)}'
        )

    async def follow(self, term: int, source: str) -> BackendReport:
        """Make the backend server follow the primary of a term.

        :param term: The term.
        :param source: ``host:port`` of the primary.
        :returns: The status after the attempt.
        """
        return await self._report(
            f'FOLLOW GROUP TERM {term} SOURCE {_quoted(source)}'
        )

    async def kill(self, connection_id: int) -> None:
        """End another connection to the same backend server.

        :param connection_id: Its id.
        :raises BackendError: If the backend server refuses.
        """
        try:
            await self.query(b'KILL CONNECTION %d' % connection_id)
        except BackendError as exc:
            if exc.code != _UNKNOWN_THREAD:
                raise

    async def reset(self) -> None:
        """Roll back and forget the session state.

        :raises ConnectionLostError: If rows were still to be read or the
            connection broke.
        """
        self._check()
        try:
            await self._wire.reset_session()
        except _LIBRARY_ERRORS as exc:
            raise self._converted(exc) from exc

    async def close(self) -> None:
        """Close the connection; never raises."""
        self._wire.close()

    def _check(self) -> None:
        if self._wire.unread():
            self._wire.close()
            raise ConnectionLostError('closed with rows still to be read')
        if self._wire.broken():
            self._wire.close()
            raise ConnectionLostError('the backend server closed it')

    async def _rows(
        self, answer: adapters.Answer, outcome: Any
    ) -> adapters.RowBatches:
        while True:
            try:
                batch = await self._wire.batch()
            except _LIBRARY_ERRORS as exc:
                raise self._converted(exc) from exc
            if not batch:
                break
            yield batch
        answer.warnings = outcome.warning_count
        if outcome.server_status:
            self._wire.server_status = outcome.server_status
        answer.in_transaction = bool(self._wire.server_status & _IN_TRANSACTION)

    async def _report(self, sql: str) -> BackendReport:
        answer = await self.query(sql.encode())
        names = [column.name for column in answer.columns]
        rows = [row async for batch in answer.rows for row in batch]
        try:
            return status_rows.parse(dict(zip(names, rows[0], strict=True)))
        except (LookupError, ValueError, TypeError) as exc:
            raise BackendError(
                0, 'HY000', f'malformed status row: {rows!r}'
            ) from exc

    def _converted(self, exc: Exception) -> MonsoonError:
        converted = _convert(exc, sent=True)
        if isinstance(converted, ConnectionLostError):
            self._wire.close()
        return converted


@adapters.databases.register('group')
@attrs.frozen
class GroupAdapter:
    """Opens connections to backend servers with the group protocol.

    :param program_name: Name under which the backend server lists the
        connections of this daemon.
    """

    program_name: str = 'monsoonproxy'
    fences: bool = attrs.field(default=True, init=False)

    async def connect(
        self,
        address: str,
        *,
        user: str,
        password: str,
        timeout: Millis,
        ssl: tls.SSLContext | None = None,
    ) -> GroupConnection:
        """Open a connection.

        :param address: ``host:port`` of the backend server.
        :param user: User name.
        :param password: Password.
        :param timeout: Time limit for the connection and the log-in.
        :param ssl: TLS settings, or ``None`` for a plain connection.
        :returns: The connection.
        :raises ConnectionLostError: If it can't be reached in time.
        """
        host, _, port = address.rpartition(':')
        wire = _Wire(
            host=host.strip('[]'),
            port=int(port),
            user=user,
            password=password,
            ssl=ssl,
            # Values are passed on as the bytes of the text protocol.
            use_unicode=False,
            conv={},
            autocommit=None,
            program_name=self.program_name,
        )
        try:
            await asyncio.wait_for(wire.connect(), seconds(timeout))
        except asyncio.TimeoutError as late:
            wire.close()
            raise ConnectionLostError(
                f'{address} did not answer within {timeout} ms'
            ) from late
        except _LIBRARY_ERRORS as exc:
            wire.close()
            _stay_cancelled()
            raise _convert(exc, sent=False) from exc
        if _is_cancelled():
            wire.close()
        _stay_cancelled()
        return GroupConnection(wire)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _stay_cancelled() -> None:
    """Raise the cancellation that ``asyncio.wait_for`` may have dropped.

    In Python 3.11 it returns the result of its inner future, or raises its
    error, if that is done when the cancellation arrives.

    :raises asyncio.CancelledError: If the current task is cancelled.
    """
    if _is_cancelled():
        raise asyncio.CancelledError


def _convert(exc: Exception, *, sent: bool) -> MonsoonError:
    code = exc.args[0] if exc.args else 0
    text = str(exc.args[1]) if len(exc.args) > 1 else str(exc)
    known = isinstance(exc, errors.MySQLError) and isinstance(code, int)
    if not known or code in _CLIENT_CODES or code in _ENDING_CODES or not code:
        refused = isinstance(
            exc.__cause__, (ConnectionRefusedError, ConnectionResetError)
        )
        return ConnectionLostError(
            text or type(exc).__name__, sent=sent, refused=refused
        )
    error_type = _ERROR_TYPES.get(code, BackendError)
    return error_type(code, getattr(exc, 'sqlstate', None) or 'HY000', text)


def _position(info: bytes | None) -> Position | None:
    match = _POSITION.search(info or b'')
    if match is None:
        return None
    return Position(int(match.group(1)), int(match.group(2)))


def _column(field: object) -> messages.Column:
    return messages.Column(
        name=getattr(field, 'name'),
        type_code=getattr(field, 'type_code'),
        charset=getattr(field, 'charsetnr'),
        flags=getattr(field, 'flags'),
    )


def _quoted(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace("'", r'\'')
    return f"'{escaped}'"
