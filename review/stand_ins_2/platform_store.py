"""The platform's store and its promotion service, over HTTP on loopback."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

from stand_ins_2.records import Record

HOST = '127.0.0.1'
#: Time in s of a transaction or read, as the platform's page states.
_ANSWER_TIME = 0.004
_OK, _FORBIDDEN = 200, 403
_CONFLICT, _GONE, _FAILED = 409, 410, 412
_MS = 1000
_READ_ONLY_TABLES = frozenset(('op', 'servers'))

Change = tuple[int, str, str, bytes | None]
Reply = tuple[int, dict[str, Any]]


class PlatformStore:
    """Keeps rows of tables, and passes promotion orders on.

    :param record: Gets the orders.
    :param promote: Carries an order out; returns whether the database runs.
    """

    def __init__(
        self, record: Record, promote: Callable[[str, str], bool]
    ) -> None:
        self.version = 0
        self.address = ''
        self._record = record
        self._promote = promote
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[Change] = []
        self._tokens: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, content: bytes | None) -> None:
        """Write or remove a row.

        :param table: Name of the table.
        :param key: Key of the row.
        :param content: Its content; ``None`` removes the row.
        """
        self.version += 1
        if content is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (content, self.version)
        self._history.append((self.version, table, key, content))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_call(reader, writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first = (await reader.readline()).decode()
        if not first:
            return False
        headers = await _read_headers(reader)
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        await asyncio.sleep(_ANSWER_TIME)
        method, target, _version = first.split(' ')
        path, _, query = target.partition('?')
        fields = {**dict(parse_qsl(query)), **headers, 'body': body.decode()}
        writer.write(_response(*await _HANDLERS[method, path](self, fields)))
        return True

    # Handlers of the calls.

    async def get(self, fields: dict[str, str]) -> Reply:
        """Answer a range of rows of a table."""
        least, limit = fields.get('from', ''), int(fields.get('limit', 500))
        end = fields.get('to')
        keys = sorted(
            key
            for table, key in self._rows
            if table == fields['table'] and key >= least
        )
        found = [key for key in keys if end is None or key < end]
        rows = [self._row(fields['table'], key) for key in found[:limit]]
        return _OK, self._document(rows, more=len(found) > limit)

    async def feed(self, fields: dict[str, str]) -> Reply:
        """Answer the changes since a version, once there are any."""
        table, after = fields['table'], int(fields['after'])
        if after > self.version:
            return _GONE, {}
        until = time.monotonic() + int(fields['wait_ms']) / _MS
        rows = self._changes(table, after)
        while not rows and time.monotonic() < until:
            changed = self._changed.wait()
            left = until - time.monotonic()
            try:
                await asyncio.wait_for(changed, max(0, left))
            except TimeoutError:
                break
            rows = self._changes(table, after)
        return _OK, self._document(rows)

    async def transact(self, fields: dict[str, str]) -> Reply:
        """Apply all entries of a transaction, or none."""
        body = json.loads(fields['body'])
        written = (*body['set_keys'], *body['remove'])
        if any(row['table'] in _READ_ONLY_TABLES for row in written):
            return _FORBIDDEN, {}
        expected = body['expect_rev']
        current = [self._row(row['table'], row['key']) for row in expected]
        if [row['ver'] for row in current] != [row['ver'] for row in expected]:
            return _FAILED, self._document(current)
        for row in body['set_keys']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        for row in body['remove']:
            self.put(row['table'], row['key'], None)
        return _OK, self._document([])

    async def promote(self, fields: dict[str, str]) -> Reply:
        """Carry a promotion order out, unless a newer token was seen."""
        body = json.loads(fields['body'])
        service, server_id = body['service'], body['id']
        token = int(fields['fence-token'])
        is_fenced = token < self._tokens.get(service, 0)
        is_done = not is_fenced and self._promote(service, server_id)
        self._record.add(
            'order',
            service=service,
            server=server_id,
            holder=fields['lease-holder'],
            token=token,
            done=is_done,
        )
        if not is_done:
            return _CONFLICT, {}
        self._tokens[service] = token
        return _OK, {}

    def _row(self, table: str, key: str) -> dict[str, Any]:
        content, version = self._rows.get((table, key), (b'', 0))
        return {'table': table, **_encoded(key, content, version)}

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            _encoded(key, content, version)
            for version, name, key, content in self._history
            if name == table and version > after
        ]

    def _document(
        self, rows: list[dict[str, Any]], *, more: bool = False
    ) -> dict[str, Any]:
        now = int(time.monotonic() * _MS)
        page = {'rows': rows, 'has_more': more}
        return {**page, 'ver': self.version, 'now_ms': now}


def _response(status: int, document: dict[str, Any]) -> bytes:
    content = json.dumps(document).encode()
    head = (
        f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
        f'Store-Era: 1\r\nContent-Length: {len(content)}\r\n\r\n'
    )
    return head.encode() + content


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            return headers
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()


def _encoded(key: str, content: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {'part': '', 'key': key, 'ver': version}
    if content is None:
        return {**row, 'tombstone': True}
    return {**row, 'value': base64.b64encode(content).decode()}


_HANDLERS = {
    ('GET', '/rows-get'): PlatformStore.get,
    ('GET', '/rows-feed'): PlatformStore.feed,
    ('POST', '/rows-tx'): PlatformStore.transact,
    ('POST', '/promote'): PlatformStore.promote,
}
