"""Tests of the MySQL protocol towards the callers."""

import asyncio
from collections.abc import AsyncIterator

import asyncmy
import attrs
import pymysql

from monsoonproxy import frontends, messages, sessions, statements, tokens
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_SECRET = b'0123456789abcdef0123456789abcdef'


def _end(**values: object) -> messages.ResultEnd:
    fields: dict = {
        'request': 1,
        'row_messages': 0,
        'affected_rows': 0,
        'insert_id': 0,
        'warnings': 0,
        'floor': None,
        'in_transaction': False,
        'server': 'a',
        'reason': '',
    }
    return messages.ResultEnd(**{**fields, **values})


@attrs.define
class FakeExecutor:
    """Answers statements from a list of prepared answers."""

    answers: dict[bytes, list[messages.Reply]] = attrs.Factory(dict)
    seen: list[bytes] = attrs.Factory(list)

    def known(self, service: str) -> bool:
        return service.startswith('hire')

    async def execute(
        self, session: sessions.Session, statement: statements.Statement
    ) -> AsyncIterator[messages.Reply]:
        self.seen.append(statement.sql)
        for reply in self.answers.get(statement.sql, [_end()]):
            yield reply

    def cancel(self, session: sessions.Session) -> None:
        self.seen.append(b'cancel')

    async def close(self, session: sessions.Session) -> None:
        self.seen.append(b'close')


@attrs.define
class Running:
    executor: FakeExecutor
    frontend: frontends.Frontend
    port: int


@fixture
async def running() -> AsyncIterator[Running]:
    executor = FakeExecutor()
    signer = tokens.Signer([tokens.Key('k1', _SECRET)])
    frontend = frontends.Frontend(executor, signer)
    port = await frontend.start('127.0.0.1', 0)
    yield Running(executor, frontend, port)
    frontend.stop_accepting()
    frontend.abort()


async def test_text_select(running: Running) -> None:
    """Guards against rows that don't reach the caller."""
    column = messages.Column('a', 8, 63, 0)
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [column]),
        messages.ResultRows(1, 0, [[b'1'], [None]]),
        _end(row_messages=1),
    ]
    conn = await asyncmy.connect(
        host='127.0.0.1', port=running.port, user='hire', autocommit=None
    )
    async with conn.cursor() as cursor:
        await cursor.execute('SELECT a')
        assert await cursor.fetchall() == ((1,), (None,))
    await conn.ensure_closed()


async def test_insert(running: Running) -> None:
    """Guards against an OK packet without its numbers."""
    running.executor.answers[b'INSERT a'] = [_end(affected_rows=3, insert_id=7)]

    def call() -> tuple[int, int]:
        conn = pymysql.connect(
            host='127.0.0.1', port=running.port, user='hire', autocommit=None
        )
        with conn.cursor() as cursor:
            cursor.execute('INSERT a')
            return cursor.rowcount, cursor.lastrowid

    assert await asyncio.to_thread(call) == (3, 7)
