"""Runs statements on backend servers and sends the answers to callers."""

import contextlib
from collections.abc import AsyncIterator

import attrs

from monsoonproxy import messages
from monsoonproxy.adapters import Answer
from monsoonproxy.backends import Backend, Lease
from monsoonproxy.calls import Call
from monsoonproxy.clock import Clock
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    TermChangedError,
)
from monsoonproxy.groups import Group
from monsoonproxy.models import Position, StatementKind
from monsoonproxy.routing import Route

#: Bytes of an answer that are buffered until its freshness is checked.
_READ_AHEAD_BYTES = 1024 * 1024
#: Retry delay that callers get after a broken connection.
RETRY_AFTER_MS = 200
#: MySQL error of a read-only server, which is no longer the primary.
_ER_OPTION_PREVENTS_STATEMENT = 1290
#: MySQL errors that imply a rollback of the transaction: deadlock.
_ROLLBACK_ERRORS = frozenset((1213,))
#: Keywords of writes that leave no session state on a connection.
_STATELESS_WRITES = (b'INSERT', b'UPDATE', b'DELETE', b'REPLACE')


class StaleAnswerError(Exception):
    """An answer exceeds its data age bound; no row of it was sent."""

    def __init__(self) -> None:
        super().__init__('the answer exceeded the data age bound of the read')


@attrs.define
class Transaction:
    """A caller's open transaction.

    :param server: Name of the primary that the transaction runs on.
    :param lease: Lease of the transaction's connection.
    :param busy: Whether a statement of the transaction is running.
    """

    server: str
    lease: Lease
    busy: bool = False


class Executor:
    """Runs statements on the backend servers of a group.

    :param group: The replicated group.
    :param clock: Source of time.
    """

    def __init__(self, group: Group, clock: Clock) -> None:
        self.group = group
        self.clock = clock

    async def read(self, call: Call, route: Route) -> None:
        """Run a read outside a transaction.

        :param call: The request.
        :param route: The backend server chosen for the read.
        :raises StaleAnswerError: If the answer is too old to be returned.
        :raises ConnectionLostError: If the connection broke before the answer
            was complete.
        """
        backend = self.group.backends[route.server]
        async with self.leased(backend, call) as lease:
            answer = await self.query(call, lease)
            if answer is None:
                return
            buffered = await self._read_ahead(answer)
            await self._check_fresh(call, route)
            sent = await self._send_rows(call, answer, buffered)
            if sent > len(buffered):
                # Only the buffered rows were checked before they were sent.
                await self._check_fresh_after_sending(call, route)
            lease.clean = call.kind is StatementKind.READ
        await call.end(
            route.server,
            route.reason.value,
            row_messages=sent,
            warnings=answer.warnings,
            # A floor that was derived for this read also becomes the floor of
            # the session's next reads.
            position=call.floor,
        )

    async def write(self, call: Call, server: str) -> None:
        """Run a write in autocommit mode, outside a transaction.

        :param call: The request.
        :param server: Name of the primary.
        """
        backend = self.group.backends[server]
        async with self.leased(backend, call) as lease:
            sent_at = self.clock.now()
            answer = await self.query(call, lease)
            if answer is None:
                return
            rows = [batch async for batch in answer.rows]
            lease.clean = _is_stateless(call.req.sql)
            if not lease.clean:
                await lease.conn.reset()
                lease.clean = True
        if answer.position:
            self.group.record_commit(server, answer.position, sent_at)
        sent = await self._send_rows(call, answer, rows) if rows else 0
        await self.acknowledge_write(call, server, answer, sent)

    async def acknowledge_write(
        self, call: Call, server: str, answer: Answer, row_messages: int = 0
    ) -> None:
        """Acknowledge a write once a majority of the group has it.

        :param call: The request.
        :param server: Name of the primary.
        :param answer: Answer of the primary.
        :param row_messages: Row messages already sent to the caller.
        """
        if answer.position is None:
            now = self.clock.now()
            confirmed: bool | None = await self.group.confirm_term(
                now, call.deadline
            )
            confirmed = confirmed or None
        else:
            confirmed = await self.group.wait_for_outcome(
                answer.position, call.deadline
            )
        if confirmed is None:
            await call.unknown(
                'no majority of the group confirmed the write before '
                'the deadline'
            )
        elif confirmed:
            await call.end(
                server,
                'primary',
                row_messages=row_messages,
                affected_rows=answer.affected_rows,
                insert_id=answer.insert_id,
                warnings=answer.warnings,
                position=self._floor_after(answer),
            )
        else:
            await call.refuse('a failover discarded the write', RETRY_AFTER_MS)

    def _floor_after(self, answer: Answer) -> Position | None:
        """Return the floor after a write, in the term whose log has it."""
        if answer.position is None:
            return None
        return self.group.view.floor(answer.position)

    async def in_transaction(self, call: Call, tx: Transaction) -> bool:
        """Run a statement of an open transaction, except COMMIT or ROLLBACK.

        :param call: The request.
        :param tx: The transaction.
        :returns: Whether the transaction is still open.
        """
        answer = await self.query(call, tx.lease, open_tx=True)
        if answer is None:
            return not tx.lease.clean
        buffered = await self._read_ahead(answer)
        if call.kind is StatementKind.READ:
            # A replaced primary may still answer, with writes that the group
            # does not have.
            now = self.clock.now()
            if not await self.group.confirm_term(now, call.deadline):
                raise ConnectionLostError(
                    'no majority confirmed the term of the primary before the '
                    'deadline'
                )
        sent = await self._send_rows(call, answer, buffered)
        if not answer.in_transaction and answer.position:
            # The statement committed the transaction implicitly, like DDL.
            await self.acknowledge_write(call, tx.server, answer, sent)
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
    async def leased(
        self, backend: Backend, call: Call
    ) -> AsyncIterator[Lease]:
        """Lease a connection, waiting for one until the request's deadline.

        :param backend: The backend server.
        :param call: The request.
        :yields: The lease, which is released on exit.
        """
        wait = max(1, call.deadline - self.clock.now())
        lease = await backend.acquire(call.number, wait)
        try:
            yield lease
        finally:
            backend.release(lease)

    async def query(
        self, call: Call, lease: Lease, *, open_tx: bool = False
    ) -> Answer | None:
        """Run a statement, and pass an error of the database to the caller.

        :param call: The request.
        :param lease: Lease of the connection.
        :param open_tx: Whether a transaction is open on the connection.
        :returns: The answer, or ``None`` if an error was sent to the caller.
        """
        try:
            return await lease.conn.query(call.req.sql)
        except TermChangedError:
            raise
        except BackendError as exc:
            if exc.code == _ER_OPTION_PREVENTS_STATEMENT:
                raise ConnectionLostError(
                    'the backend server is read-only, '
                    'so it is no longer the primary'
                ) from exc
            still_open = open_tx and exc.code not in _ROLLBACK_ERRORS
            lease.clean = not still_open
            await call.fail(
                exc.code, exc.sqlstate, exc.message, open_tx=still_open
            )
            return None

    async def _read_ahead(self, answer: Answer) -> list[list[messages.Row]]:
        """Buffer the first rows, so that they are checked before being sent."""
        buffered: list[list[messages.Row]] = []
        size = 0
        async for batch in answer.rows:
            buffered.append(batch)
            size += _batch_bytes(batch)
            if size > _READ_AHEAD_BYTES:
                break
        return buffered

    async def _check_fresh(self, call: Call, route: Route) -> None:
        arrived = self.clock.now()
        max_age = call.req.max_age or 0
        router = self.group.router
        if route.server == self.group.view.primary:
            await self.group.confirm_term(arrived, call.deadline)
        if not router.still_valid(route, max_age, call.floor, arrived):
            raise StaleAnswerError

    async def _check_fresh_after_sending(
        self, call: Call, route: Route
    ) -> None:
        try:
            await self._check_fresh(call, route)
        except StaleAnswerError:
            raise ConnectionLostError(
                'the answer exceeded the data age bound of the read while its '
                'rows were sent',
                sent=True,
            ) from None

    async def _send_rows(
        self, call: Call, answer: Answer, buffered: list[list[messages.Row]]
    ) -> int:
        if not answer.columns:
            return 0
        number = call.req.request
        await call.send(messages.ResultHeader(number, answer.columns))
        sent = 0
        async for batch in _iter_batches(buffered, answer):
            await call.credit.acquire()
            await call.send(messages.ResultRows(number, sent, batch))
            sent += 1
        return sent


def _batch_bytes(batch: list[messages.Row]) -> int:
    return sum(len(value or b'') for row in batch for value in row)


def _is_stateless(sql: bytes) -> bool:
    """Tell whether a write leaves no session state on its connection."""
    head = sql.lstrip()[:8].upper()
    return head.startswith(_STATELESS_WRITES) and b'@' not in sql


async def _iter_batches(
    buffered: list[list[messages.Row]], answer: Answer
) -> AsyncIterator[list[messages.Row]]:
    for batch in buffered:
        yield batch
    async for batch in answer.rows:
        yield batch
