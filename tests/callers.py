"""Stand-ins for the frontend's tests."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import pymysql

from monsoonproxy import (
    frontends,
    messages,
    session_tokens,
    sessions,
    statements,
)
from tests import wire
from tests.fixtures import fixture

SECRET = b'0123456789abcdef0123456789abcdef'


def end(**values: object) -> messages.ResultEnd:
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
    """Answers statements from prepared answers; ``None`` waits for ever."""

    answers: dict[bytes, list[messages.Reply | None]] = attrs.Factory(dict)
    seen: list[statements.Statement] = attrs.Factory(list)
    events: asyncio.Queue[str] = attrs.Factory(asyncio.Queue)
    yielded: int = 0

    def is_declared(self, service: str) -> bool:
        return service.startswith('hire')

    async def execute(
        self, session: sessions.Session, statement: statements.Statement
    ) -> AsyncIterator[messages.Reply]:
        self.seen.append(statement)
        inside = session.in_transaction
        if statement.kind.value in {'begin', 'commit', 'rollback'}:
            inside = statement.kind.value == 'begin'
        default = end(in_transaction=inside)
        for reply in self.answers.get(statement.sql, [default]):
            if reply is None:
                await asyncio.Event().wait()
            else:
                self.yielded += 1
                yield reply

    def cancel(self, session: sessions.Session) -> None:
        self.events.put_nowait('cancel')

    async def close(self, session: sessions.Session) -> None:
        self.events.put_nowait('close')

    def texts(self) -> list[bytes]:
        """Return the statements run so far."""
        return [statement.sql for statement in self.seen]


@attrs.define
class Running:
    executor: FakeExecutor
    frontend: frontends.Frontend
    port: int

    async def raw(self, database: bytes = b'hire') -> wire.RawCaller:
        """Log in a raw caller."""
        caller = await wire.RawCaller.connect(self.port)
        assert (await caller.log_in(database))[0] == 0
        return caller

    async def ask(self, caller: wire.RawCaller, sql: bytes) -> bytes:
        """Send a text statement."""
        return await caller.ask(b'\x03%b' % sql)

    async def in_thread(self, call: Callable[..., Any], **options: Any) -> Any:
        """Call a function with a PyMySQL connection in a thread."""
        arguments: dict = {'user': 'hire', 'autocommit': None, **options}

        def run() -> Any:
            with pymysql.connect(
                host='127.0.0.1', port=self.port, **arguments
            ) as conn:
                return call(conn)

        return await asyncio.to_thread(run)


@fixture
async def running() -> AsyncIterator[Running]:
    executor = FakeExecutor()
    signer = session_tokens.Signer([session_tokens.Key('k1', SECRET)])
    limits = frontends.Limits(packet=1 << 20, linger=60_000)
    frontend = frontends.Frontend(executor, signer, limits=limits)
    port = await frontend.start('127.0.0.1', 0)
    yield Running(executor, frontend, port)
    frontend.stop_accepting()
    frontend.abort()
