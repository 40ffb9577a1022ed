"""Database adapter for the MySQL group protocol, built on ``asyncmy``."""

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
_SERVER_STATUS_IN_TRANS = 1
_ER_NO_SUCH_THREAD = 1094
#: Server errors after which the connection is closed: server shutdown (1053),
#: connection killed (1927, 3169), idle timeout (4031).
_DISCONNECT_CODES = frozenset((1053, 1927, 3169, 4031))
#: Error codes 2000 to 2999 come from the client library, not the server.
_CLIENT_LIBRARY_CODES = range(2000, 3000)
_ERROR_TYPES: Mapping[int, type[BackendError]] = {
    1040: TooManyConnectionsError,
    3100: TermChangedError,
}
#: Exceptions of the client library, including those for malformed packets.
_LIBRARY_ERRORS = (
    errors.MySQLError,
    OSError,
    RuntimeError,
    ValueError,
    LookupError,
    AssertionError,
    struct.error,
)
_POSITION_PATTERN = re.compile(rb'\bterm=(\d+) position=(\d+)')


class _RawConnection(Connection):
    """Connection of the client library that returns rows as raw bytes.

    Relies on private attributes of ``asyncmy`` for unbuffered reads.
    """

    # These attributes are missing from the type stubs of asyncmy.
    server_status: int
    _result: Any
    _transport: Any
    _stream_broken: bool
    _execute_command: Any
    _read_ok_packet: Any
    _reading_paused = False

    def is_closed(self) -> bool:
        """Tell whether the connection is closed or its stream is broken.

        :returns: Whether no further statement can be sent.
        """
        return not self.connected or self._stream_broken

    def has_unread_rows(self) -> bool:
        """Tell whether the last result set has unread rows.

        :returns: Whether rows are left to read.
        """
        return self._result is not None and bool(self._result.unbuffered_active)

    async def execute_unbuffered(self, sql: bytes) -> Any:
        """Run a statement without reading its rows.

        :param sql: Statement text.
        :returns: The result object of ``asyncmy``.
        """
        await self.query(sql, unbuffered=True)
        return self._result

    async def read_batch(self) -> list[messages.Row]:
        """Read the next batch of rows.

        A batch ends early when no further row has been received yet. Reading
        from the socket is paused between batches, since ``asyncmy`` would
        otherwise buffer the whole result set in memory.

        :returns: At least one row, or an empty list at the end.
        """
        self._set_reading_paused(paused=False)
        rows: list[messages.Row] = []
        size = 0
        row = await self._result._read_rowdata_packet_unbuffered()
        while row is not None:
            rows.append(list(row))
            size += sum(len(cell) for cell in row if cell is not None)
            if len(rows) >= adapters.BATCH_ROWS or size >= adapters.BATCH_BYTES:
                break
            row = next(iter(self._result._take_pending_rows(1)), None)
        if self.has_unread_rows():
            self._set_reading_paused(paused=True)
        return rows

    async def reset_session(self) -> None:
        """Send COM_RESET_CONNECTION and wait for the OK packet."""
        await self._execute_command(_COM_RESET_CONNECTION, b'')
        await self._read_ok_packet()

    def _set_reading_paused(self, *, paused: bool) -> None:
        # Rows received before the connection broke can still be read.
        if self._stream_broken or self._reading_paused == paused:
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


@attrs.define
class GroupConnection:
    """Connection to a backend server that speaks the group protocol."""

    _raw: _RawConnection

    @property
    def connection_id(self) -> int:
        """Return the connection id assigned by the backend server.

        :returns: The connection id.
        """
        return self._raw.thread_id()

    async def query(self, sql: bytes) -> adapters.Answer:
        """Run a statement.

        :param sql: Statement text.
        :returns: The answer; its rows are read separately.
        :raises ConnectionLostError: If the connection is closed or breaks.
        """
        self._ensure_usable()
        try:
            outcome = await self._raw.execute_unbuffered(sql)
        except _LIBRARY_ERRORS as exc:
            raise self._translate_error(exc) from exc
        answer = adapters.Answer(
            affected_rows=outcome.affected_rows,
            insert_id=outcome.insert_id,
            warnings=outcome.warning_count,
            position=_parse_position(outcome.message),
            in_transaction=bool(
                self._raw.server_status & _SERVER_STATUS_IN_TRANS
            ),
        )
        if outcome.field_count:
            answer.affected_rows = 0
            answer.columns = [_to_column(field) for field in outcome.fields]
            answer.rows = self._rows(answer, outcome)
        return answer

    async def status(self) -> BackendReport:
        """Query the replication status of the backend server.

        :returns: The current status.
        """
        return await self._query_status('SHOW GROUP STATUS')

    async def wait_change(
        self, received: int, applied: int, timeout: Millis
    ) -> BackendReport:
        """Wait until the received or applied offset changes.

        This method sets no time limit for the answer; the calling code must.

        :param received: The last known received offset.
        :param applied: The last known applied offset.
        :param timeout: Time in ms after which the backend server answers
            without a change.
        :returns: The current status.
        """
        return await self._query_status(
            f'WAIT GROUP CHANGE {received} {applied} {timeout}'
        )

    async def set_term(self, term: int, candidate: str) -> BackendReport:
        """Request the grant of a term.

        :param term: The term.
        :param candidate: Name of the candidate that requests the term.
        :returns: The status after the request, granted or not.
        """
        return await self._query_status(
            f'SET GROUP TERM {term} CANDIDATE {_quoted(candidate)}'
        )

    async def promote(self, term: int, candidate: str) -> BackendReport:
        """Make the backend server the primary of a term it has granted.

        :param term: The term.
        :param candidate: Name of the candidate that holds the grant.
        :returns: The status as the primary.
        """
        return await self._query_status(
            f'PROMOTE GROUP TERM {term} CANDIDATE {_quoted(candidate)}'
        )

    async def follow(self, term: int, source: str) -> BackendReport:
        """Make the backend server replicate from the primary of a term.

        :param term: The term.
        :param source: ``host:port`` of the primary.
        :returns: The status after the request.
        """
        return await self._query_status(
            f'FOLLOW GROUP TERM {term} SOURCE {_quoted(source)}'
        )

    async def kill(self, connection_id: int) -> None:
        """Kill another connection to the same backend server.

        :param connection_id: Id of the connection to kill. An id that is
            unknown to the backend server is not an error.
        :raises BackendError: If the backend server rejects the statement.
        """
        try:
            await self.query(b'KILL CONNECTION %d' % connection_id)
        except BackendError as exc:
            if exc.code != _ER_NO_SUCH_THREAD:
                raise

    async def reset(self) -> None:
        """Roll back the transaction and clear the session state.

        :raises ConnectionLostError: If rows were left unread or the
            connection is closed or breaks.
        """
        self._ensure_usable()
        try:
            await self._raw.reset_session()
        except _LIBRARY_ERRORS as exc:
            raise self._translate_error(exc) from exc

    async def close(self) -> None:
        """Close the connection; never raises."""
        self._raw.close()

    def _ensure_usable(self) -> None:
        if self._raw.has_unread_rows():
            self._raw.close()
            raise ConnectionLostError(
                'connection closed: the last result set has unread rows'
            )
        if self._raw.is_closed():
            self._raw.close()
            raise ConnectionLostError(
                'the backend server closed the connection'
            )

    async def _rows(
        self, answer: adapters.Answer, outcome: Any
    ) -> adapters.RowBatches:
        while True:
            try:
                batch = await self._raw.read_batch()
            except _LIBRARY_ERRORS as exc:
                raise self._translate_error(exc) from exc
            if not batch:
                break
            yield batch
        answer.warnings = outcome.warning_count
        if outcome.server_status:
            self._raw.server_status = outcome.server_status
        answer.in_transaction = bool(
            self._raw.server_status & _SERVER_STATUS_IN_TRANS
        )

    async def _query_status(self, sql: str) -> BackendReport:
        answer = await self.query(sql.encode())
        names = [column.name for column in answer.columns]
        rows = [row async for batch in answer.rows for row in batch]
        try:
            return status_rows.parse(dict(zip(names, rows[0], strict=True)))
        except (LookupError, ValueError, TypeError) as exc:
            raise BackendError(
                0, 'HY000', f'malformed status row: {rows!r}'
            ) from exc

    def _translate_error(self, exc: Exception) -> MonsoonError:
        converted = _to_monsoon_error(exc, sent=True)
        if isinstance(converted, ConnectionLostError):
            self._raw.close()
        return converted


@adapters.databases.register('group')
@attrs.frozen
class GroupAdapter:
    """Opens connections to backend servers that speak the group protocol.

    :param program_name: Program name sent in the connection attributes; the
        backend server lists this daemon's connections under it.
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
        """Open a connection and log in.

        :param address: ``host:port`` of the backend server.
        :param user: User name for the log-in.
        :param password: Password of the user.
        :param timeout: Time limit in ms for connecting and logging in.
        :param ssl: TLS settings, or ``None`` for a plain connection.
        :returns: The connection.
        :raises ConnectionLostError: If the backend server can't be reached
            within the time limit.
        """
        host, _, port = address.rpartition(':')
        raw = _RawConnection(
            host=host.strip('[]'),
            port=int(port),
            user=user,
            password=password,
            ssl=ssl,
            # Values are forwarded as bytes, as in the text protocol.
            use_unicode=False,
            conv={},
            autocommit=None,
            program_name=self.program_name,
        )
        try:
            await asyncio.wait_for(raw.connect(), seconds(timeout))
        except asyncio.TimeoutError as exc:
            raw.close()
            raise ConnectionLostError(
                f'backend server {address} did not answer within {timeout} ms'
            ) from exc
        except _LIBRARY_ERRORS as exc:
            raw.close()
            _reraise_cancellation()
            raise _to_monsoon_error(exc, sent=False) from exc
        if _is_cancelled():
            raw.close()
        _reraise_cancellation()
        return GroupConnection(raw)


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _reraise_cancellation() -> None:
    """Re-raise a cancellation that ``asyncio.wait_for`` swallowed.

    In Python 3.11, ``wait_for`` returns the result of its inner future (or
    raises its exception) if the future is done when the task is cancelled.

    :raises asyncio.CancelledError: If the current task is cancelled.
    """
    if _is_cancelled():
        raise asyncio.CancelledError


def _to_monsoon_error(exc: Exception, *, sent: bool) -> MonsoonError:
    code = exc.args[0] if exc.args else 0
    text = str(exc.args[1]) if len(exc.args) > 1 else str(exc)
    known = isinstance(exc, errors.MySQLError) and isinstance(code, int)
    if (
        not known
        or code in _CLIENT_LIBRARY_CODES
        or code in _DISCONNECT_CODES
        or not code
    ):
        refused = isinstance(
            exc.__cause__, (ConnectionRefusedError, ConnectionResetError)
        )
        return ConnectionLostError(
            text or type(exc).__name__, sent=sent, refused=refused
        )
    error_type = _ERROR_TYPES.get(code, BackendError)
    return error_type(code, getattr(exc, 'sqlstate', None) or 'HY000', text)


def _parse_position(info: bytes | None) -> Position | None:
    match = _POSITION_PATTERN.search(info or b'')
    if match is None:
        return None
    return Position(int(match.group(1)), int(match.group(2)))


def _to_column(field: object) -> messages.Column:
    return messages.Column(
        name=getattr(field, 'name'),
        type_code=getattr(field, 'type_code'),
        charset=getattr(field, 'charsetnr'),
        flags=getattr(field, 'flags'),
    )


def _quoted(text: str) -> str:
    escaped = text.replace('\\', r'\\').replace("'", r'\'')
    return f"'{escaped}'"
