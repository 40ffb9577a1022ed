"""Runs one statement on a backend server and sends its answer."""

import contextlib
from collections.abc import AsyncIterator

import attrs

from monsoonproxy import messages, records
from monsoonproxy.adapters import Answer, BackendConnection
from monsoonproxy.backends import Backend, Lease
from monsoonproxy.calls import Call
from monsoonproxy.clock import Clock
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    TermChangedError,
)
from monsoonproxy.groups import Group
from monsoonproxy.models import StatementKind
from monsoonproxy.routing import Route

#: Bytes of an answer that are kept back until its freshness is checked.
_HELD_BYTES = 1024 * 1024
#: Time in ms after which a caller may come back after a broken connection.
RETRY_AFTER = 200
#: Error of a backend server that is no longer the primary.
_READ_ONLY = 1290
#: First words of writes that leave no state behind on a connection.
_STATELESS_WRITES = (b'INSERT', b'UPDATE', b'DELETE', b'REPLACE')


class StaleAnswerError(Exception):
    """An answer is older than its bound; nothing of it was sent."""

    def __init__(self) -> None:
        super().__init__('the answer was older than allowed')


@attrs.define
class Transaction:
    """A caller's open transaction.

    :param server: Name of the primary it runs on.
    :param term: Term in which it was opened.
    :param lease: Its connection.
    :param busy: Whether a statement of it is running.
    """

    server: str
    term: int
    lease: Lease
    busy: bool = False


class Executor:
    """Runs statements on the backend servers of a group.

    :param group: The group.
    :param clock: Source of time.
    """

    def __init__(self, group: Group, clock: Clock) -> None:
        self._group = group
        self._clock = clock

    async def read(self, call: Call, route: Route) -> None:
        """Run a read outside a transaction.

        :param call: The request.
        :param route: Where to run it.
        :raises StaleAnswerError: If the answer is too old to be given out.
        :raises ConnectionLostError: If no answer came.
        """
        backend = self._group.backends[route.server]
        async with self._leased(backend, call) as lease:
            answer = await self._query(call, lease)
            if answer is None:
                return
            held, size = [], 0
            async for batch in answer.rows:
                held.append(batch)
                size += _size(batch)
                if size > _HELD_BYTES:
                    break
            await self._check_fresh(call, route)
            sent = await self._send_rows(call, answer, held)
            if size > _HELD_BYTES:
                # The first rows were fresh; the rest has to be as well.
                await self._check_fresh_end(call, route)
            lease.clean = call.kind is StatementKind.READ
        await call.end(
            route.server,
            route.reason.value,
            row_messages=sent,
            warnings=answer.warnings,
            # A floor that was derived for this read serves the session's next
            # reads as well.
            position=call.floor,
        )

    async def write(self, call: Call, server: str) -> None:
        """Run a write that commits by itself.

        :param call: The request.
        :param server: Name of the primary.
        """
        if call.req.request_id is not None:
            await self._recorded_write(call, server)
            return
        backend = self._group.backends[server]
        async with self._leased(backend, call) as lease:
            sent_at = self._clock.now()
            answer = await self._query(call, lease)
            if answer is None:
                return
            rows = [batch async for batch in answer.rows]
            lease.clean = _is_stateless(call.req.sql)
            if not lease.clean:
                await lease.conn.reset()
                lease.clean = True
        if answer.position:
            self._group.committed_at(server, answer.position, sent_at)
        sent = await self._send_rows(call, answer, rows) if rows else 0
        await self.finish_write(call, server, answer, sent)

    async def finish_write(
        self, call: Call, server: str, answer: Answer, row_messages: int = 0
    ) -> None:
        """Acknowledge a write once a majority has it.

        :param call: The request.
        :param server: Name of the primary.
        :param answer: Its answer.
        :param row_messages: Row messages sent before.
        """
        if answer.position is None:
            now = self._clock.now()
            fate: bool | None = await self._group.confirm(now, call.deadline)
            fate = fate or None
        else:
            fate = await self._group.wait_fate(answer.position, call.deadline)
        if fate is None:
            await call.unknown('no majority confirmed the write in time')
        elif fate:
            await call.end(
                server,
                'primary',
                row_messages=row_messages,
                affected_rows=answer.affected_rows,
                insert_id=answer.insert_id,
                warnings=answer.warnings,
                position=answer.position,
            )
        else:
            await call.refuse('a failover undid the write', RETRY_AFTER)

    async def resolve(self, call: Call, broken: Lease | None = None) -> None:
        """Answer a write by its record.

        :param call: The request; it has a request id.
        :param broken: The lease of the write if its connection broke.
        """
        try:
            found = await self._look_up(call, broken)
        except (ConnectionLostError, BackendError):
            await call.unknown('the connection to the primary broke')
            return
        if found is None:
            await call.refuse(
                'the connection to the primary broke', RETRY_AFTER
            )
            return
        await self._end_recorded(call, found)

    async def resolve_or_unknown(
        self, call: Call, broken: Lease, reason: str
    ) -> None:
        """Answer a commit whose connection broke.

        :param call: The request.
        :param broken: The lease of the transaction.
        :param reason: What happened.
        """
        if call.req.request_id is None:
            await call.unknown(reason)
        else:
            await self.resolve(call, broken)

    async def commit(self, call: Call, tx: Transaction) -> None:
        """Commit a caller's transaction.

        :param call: The request.
        :param tx: The transaction.
        """
        request_id = call.req.request_id
        conn = tx.lease.conn
        if request_id and not await records.insert(conn, request_id):
            await conn.query(b'ROLLBACK')
            await self.resolve(call)
            return
        sent_at = self._clock.now()
        answer = await conn.query(call.req.sql)
        if answer.position:
            self._group.committed_at(tx.server, answer.position, sent_at)
        await self.finish_write(call, tx.server, answer)

    async def in_transaction(self, call: Call, tx: Transaction) -> bool:
        """Run a statement of an open transaction other than its end.

        :param call: The request.
        :param tx: The transaction.
        :returns: Whether the transaction is still open.
        """
        answer = await self._query(call, tx.lease, open_tx=True)
        if answer is None:
            return True
        sent = await self._send_rows(call, answer, [])
        if not answer.in_transaction and answer.position:
            # A statement with an implicit commit.
            await self.finish_write(call, tx.server, answer, sent)
            return False
        await call.end(
            tx.server,
            'transaction',
            row_messages=sent,
            affected_rows=answer.affected_rows,
            insert_id=answer.insert_id,
            warnings=answer.warnings,
            in_transaction=answer.in_transaction,
        )
        return answer.in_transaction

    @contextlib.asynccontextmanager
    async def _leased(
        self, backend: Backend, call: Call
    ) -> AsyncIterator[Lease]:
        wait = max(1, call.deadline - self._clock.now())
        lease = await backend.acquire(call.number, wait)
        try:
            yield lease
        finally:
            backend.release(lease)

    async def _query(
        self, call: Call, lease: Lease, *, open_tx: bool = False
    ) -> Answer | None:
        """Run the statement; send the database's error if there is one."""
        try:
            return await lease.conn.query(call.req.sql)
        except TermChangedError:
            raise
        except BackendError as exc:
            if exc.code == _READ_ONLY:
                raise ConnectionLostError('the primary was demoted') from exc
            lease.clean = not open_tx
            await call.fail(
                exc.code, exc.sqlstate, exc.message, open_tx=open_tx
            )
            return None

    async def _check_fresh(self, call: Call, route: Route) -> None:
        arrived = self._clock.now()
        max_age = call.req.max_age or 0
        router = self._group.router
        if route.server == self._group.view.primary:
            await self._group.confirm(arrived, call.deadline)
        if not router.still_valid(route, max_age, call.floor, arrived):
            raise StaleAnswerError

    async def _check_fresh_end(self, call: Call, route: Route) -> None:
        try:
            await self._check_fresh(call, route)
        except StaleAnswerError:
            raise ConnectionLostError(
                'the answer became too old while it was read', sent=True
            ) from None

    async def _send_rows(
        self, call: Call, answer: Answer, held: list[list[messages.Row]]
    ) -> int:
        if not answer.columns:
            return 0
        number = call.req.request
        await call.send(messages.ResultHeader(number, answer.columns))
        sent = 0
        async for batch in _chain(held, answer):
            await call.credit.acquire()
            await call.send(messages.ResultRows(number, sent, batch))
            sent += 1
        return sent

    async def _recorded_write(self, call: Call, server: str) -> None:
        request_id = call.req.request_id
        assert request_id is not None
        records.check_id(request_id)
        backend = self._group.backends[server]
        async with self._leased(backend, call) as lease:
            sent_at = self._clock.now()
            answer: Answer | None = Answer()
            broken: Lease | None = lease
            with contextlib.suppress(ConnectionLostError, TermChangedError):
                answer = await self._run_recorded(call, lease, request_id)
                lease.clean = True
                broken = None
        if answer is None:
            return
        if answer.position:
            self._group.committed_at(server, answer.position, sent_at)
            await self.finish_write(call, server, answer)
            return
        await self.resolve(call, broken)

    async def _run_recorded(
        self, call: Call, lease: Lease, request_id: str
    ) -> Answer | None:
        """Run a write and its record in one transaction.

        An answer without a position means that the request ran before.
        """
        conn = lease.conn
        if not await self._begin_recorded(conn, request_id):
            await conn.query(b'ROLLBACK')
            return Answer()
        answer = await self._query(call, lease)
        if answer is None:
            await conn.query(b'ROLLBACK')
            return None
        await records.complete(conn, request_id, answer)
        done = await conn.query(b'COMMIT')
        return attrs.evolve(answer, position=done.position)

    async def _begin_recorded(
        self, conn: BackendConnection, request_id: str
    ) -> bool:
        """Open a transaction with the record of a request.

        :returns: ``False`` if the request ran before.
        """
        await conn.query(b'BEGIN')
        try:
            return await records.insert(conn, request_id)
        except BackendError as exc:
            if not records.is_missing_table(exc):
                raise
        await conn.query(b'ROLLBACK')
        await records.create_table(conn)
        await conn.query(b'BEGIN')
        return await records.insert(conn, request_id)

    async def _look_up(
        self, call: Call, broken: Lease | None
    ) -> records.Recorded | None:
        """Find a record on the primary once nothing older can still commit.

        A commit on the broken connection is ruled out by the new term if there
        is one, and otherwise by ending that connection first.
        """
        request_id = call.req.request_id or ''
        since = self._clock.now()
        if not await self._group.confirm(since, call.deadline):
            raise ConnectionLostError('no majority confirmed the term')
        server = self._group.view.primary
        term = self._group.view.term
        if server is None:
            raise ConnectionLostError('the group has no primary')
        async with self._leased(self._group.backends[server], call) as lease:
            if broken is not None:
                await lease.conn.kill(broken.conn.connection_id)
            found = await records.find(lease.conn, request_id)
            lease.clean = True
        now = self._clock.now()
        confirmed = await self._group.confirm(now, call.deadline)
        if not confirmed or self._group.view.term != term:
            raise ConnectionLostError('the term changed during the look-up')
        return found

    async def _end_recorded(self, call: Call, found: records.Recorded) -> None:
        await call.end(
            self._group.view.primary or '',
            'the request ran before',
            affected_rows=found.affected_rows,
            insert_id=found.insert_id,
            position=self._group.view.committed,
        )


def _size(batch: list[messages.Row]) -> int:
    return sum(len(value or b'') for row in batch for value in row)


def _is_stateless(sql: bytes) -> bool:
    """Tell whether a write leaves no session state on its connection."""
    head = sql.lstrip()[:8].upper()
    return head.startswith(_STATELESS_WRITES) and b'@' not in sql


async def _chain(
    held: list[list[messages.Row]], answer: Answer
) -> AsyncIterator[list[messages.Row]]:
    for batch in held:
        yield batch
    async for batch in answer.rows:
        yield batch
