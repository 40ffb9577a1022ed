"""The platform's store and its taker of promotion orders, over HTTP/1.1.

Follows the operators' page on the store; it needs no package.
"""

import asyncio
import base64
import json
import time
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import attrs

from stand_ins.databases import Database, Group

#: Tables that the daemons may only read.
_FOREIGN_TABLES = frozenset(('op', 'servers'))
#: Time in s from a promotion order to the change of the primary.
_PROMOTION_DELAY = 0.6
_SLOTS = 2
_REASONS = {200: 'OK', 403: 'Forbidden', 409: 'Conflict', 412: 'Failed'}
_ENDINGS = (ConnectionError, asyncio.IncompleteReadError)

_Row = tuple[str, int]
_Reply = tuple[int, dict[str, Any]]


@attrs.frozen
class _Call:
    """A call of a daemon."""

    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: Mapping[str, Any]


class PlatformStore:
    """Rows in tables with long polls, and promotion orders with fences."""

    def __init__(self) -> None:
        self.address = ''
        #: Promotion orders: monotonic time, service, database and token.
        self.orders: list[tuple[float, str, str, int]] = []
        self._groups: dict[str, Group] = {}
        self._rows: dict[tuple[str, str], _Row] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._version = 0
        self._sequence = 0
        self._tokens: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def add_group(self, group: Group) -> None:
        """Let the databases of a service write their entries."""
        self._groups[group.service] = group
        group.on_change = self.write_entry

    def put(self, table: str, key: str, content: bytes | None) -> None:
        """Write a row, or remove it if there is no content."""
        self._version += 1
        change: dict[str, Any] = {'key': key, 'ver': self._version}
        if content is None:
            self._rows.pop((table, key), None)
            change['tombstone'] = True
        else:
            change['value'] = base64.b64encode(content).decode()
            self._rows[table, key] = (change['value'], self._version)
        self._history.append((self._version, table, change))
        self._changed.set()
        self._changed = asyncio.Event()

    def write_entry(self, database: Database) -> None:
        """Write the entry of a database."""
        self._sequence += 1
        entry = {
            'service': database.group.service,
            'addr': database.advertised_address or database.address,
            'zone': 'zone-1',
            'version': 'v1',
            'slots': _SLOTS,
            'state': database.state,
            'warmup_left_ms': 0,
            'db_role': 'primary' if database.leads else 'replica',
            'seq': self._sequence,
            'born': database.started_at,
        }
        self.put('servers', database.server_id, json.dumps(entry).encode())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                status, document = await self._handle(await _read_call(reader))
                body = json.dumps(document).encode()
                head = (
                    f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
                    'Content-Type: application/json\r\nStore-Era: 1\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'
                )
                writer.write(head.encode() + body)
        except _ENDINGS:
            writer.close()

    async def _handle(self, call: _Call) -> _Reply:
        if call.path == '/promote':
            return self._promote(call)
        if call.path == '/rows-get':
            return 200, self._document(self._range(call.query))
        if call.path == '/rows-feed':
            return 200, self._document(await self._feed(call.query))
        return self._transact(call.body)

    def _range(self, query: Mapping[str, str]) -> list[dict[str, Any]]:
        first, end = query.get('from', ''), query.get('to', '\U0010ffff')
        return [
            self._row(table, key)
            for table, key in sorted(self._rows)
            if table == query['table'] and first <= key < end
        ]

    async def _feed(self, query: Mapping[str, str]) -> list[dict[str, Any]]:
        left = int(query['wait_ms']) / 1000
        until = time.monotonic() + left
        after = int(query['after'])
        rows = self._changes(query['table'], after)
        while not rows and left > 0:
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait((changed,), timeout=left)
            changed.cancel()
            rows = self._changes(query['table'], after)
            left = until - time.monotonic()
        return rows

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            change
            for version, changed, change in self._history
            if changed == table and version > after
        ]

    def _transact(self, body: Mapping[str, Any]) -> _Reply:
        if {row['table'] for row in body['set_keys']} & _FOREIGN_TABLES:
            return 403, {}
        current = [
            self._row(row['table'], row['key']) for row in body['expect_rev']
        ]
        expected = [row['ver'] for row in body['expect_rev']]
        if expected != [row['ver'] for row in current]:
            return 412, self._document(current)
        for row in body['set_keys']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        for gone in body['remove']:
            self.put(gone['table'], gone['key'], None)
        return 200, self._document([])

    def _row(self, table: str, key: str) -> dict[str, Any]:
        encoded, version = self._rows.get((table, key), ('', 0))
        return {
            'table': table,
            'part': '',
            'key': key,
            'value': encoded,
            'ver': version,
        }

    def _document(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            'rows': rows,
            'has_more': False,
            'ver': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }

    def _promote(self, call: _Call) -> _Reply:
        service, server_id = call.body['service'], call.body['id']
        token = int(call.headers['fence-token'])
        self.orders.append((time.monotonic(), service, server_id, token))
        group = self._groups[service]
        is_stale = token < self._tokens.get(service, 0)
        if is_stale or server_id not in group.members:
            return 409, {}
        self._tokens[service] = token
        loop = asyncio.get_running_loop()
        loop.call_later(_PROMOTION_DELAY, group.promote, server_id)
        return 200, {}


async def _read_call(reader: asyncio.StreamReader) -> _Call:
    head = (await reader.readuntil(b'\r\n\r\n')).decode().strip()
    first, *lines = head.split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    size = int(headers.get('content-length', 0))
    body = json.loads(await reader.readexactly(size)) if size else {}
    target = urlsplit(first.split(' ')[1])
    query = parse_qsl(target.query, keep_blank_values=True)
    return _Call(target.path, dict(query), headers, body)
