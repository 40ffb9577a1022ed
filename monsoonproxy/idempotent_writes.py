"""Idempotent writes: a write with a request id takes effect at most once."""

import contextlib

import attrs

from monsoonproxy import request_records
from monsoonproxy.adapters import Answer, BackendConnection
from monsoonproxy.backends import Lease
from monsoonproxy.calls import Call
from monsoonproxy.clock import Clock
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    TermChangedError,
)
from monsoonproxy.executions import RETRY_AFTER_MS, Executor, Transaction
from monsoonproxy.groups import Group


class IdempotentWrites:
    """Runs each write in one transaction with the record of its request id.

    :param group: The group.
    :param executor: Runs the statements.
    :param clock: Source of time.
    """

    def __init__(self, group: Group, executor: Executor, clock: Clock) -> None:
        self._group = group
        self._executor = executor
        self._clock = clock

    async def resolve(self, call: Call, broken: Lease | None = None) -> None:
        """Answer a write from its record, without running it.

        If there is no record, the write did not take effect and the caller may
        retry. If the record can't be read, the outcome is unknown.

        :param call: The request; it has a request id.
        :param broken: The lease of the write if its connection broke.
        """
        try:
            found = await self._find_record(call, broken)
        except (ConnectionLostError, BackendError):
            await call.unknown('the connection to the primary broke')
            return
        if found is None:
            await call.refuse(
                'the connection to the primary broke', RETRY_AFTER_MS
            )
            return
        await self._end_recorded(call, found)

    async def resolve_or_unknown(
        self, call: Call, broken: Lease, reason: str
    ) -> None:
        """Answer a commit whose connection broke.

        Without a request id there is no record, so the outcome is unknown.

        :param call: The request.
        :param broken: The lease of the transaction.
        :param reason: Why the connection broke, for the answer.
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
        try:
            is_new = not request_id or await request_records.insert(
                conn, request_id
            )
        except BackendError as exc:
            if not request_records.is_missing_table(exc):
                raise
            # CREATE TABLE would implicitly commit the open transaction.
            await conn.query(b'ROLLBACK')
            await request_records.create_table(conn)
            await call.refuse(
                'the table of request ids was new',
                RETRY_AFTER_MS,
            )
            return
        if not is_new:
            await conn.query(b'ROLLBACK')
            await self.resolve(call)
            return
        sent_at = self._clock.now()
        answer = await conn.query(call.req.sql)
        if answer.position:
            self._group.record_commit(tx.server, answer.position, sent_at)
        await self._executor.acknowledge_write(call, tx.server, answer)

    async def write(self, call: Call, server: str) -> None:
        """Run a write outside a caller's transaction at most once.

        :param call: The request; it has a request id.
        :param server: Name of the primary.
        """
        request_id = call.req.request_id
        assert request_id is not None
        backend = self._group.backends[server]
        async with self._executor.leased(backend, call) as lease:
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
            self._group.record_commit(server, answer.position, sent_at)
            await self._executor.acknowledge_write(call, server, answer)
            return
        await self.resolve(call, broken)

    async def _run_recorded(
        self, call: Call, lease: Lease, request_id: str
    ) -> Answer | None:
        """Run a write and insert its record in one transaction.

        An answer without a position means that the request ran before.
        """
        conn = lease.conn
        if not await self._begin_recorded(conn, request_id):
            await conn.query(b'ROLLBACK')
            return Answer()
        answer = await self._executor.query(call, lease)
        if answer is None:
            await conn.query(b'ROLLBACK')
            return None
        await request_records.complete(conn, request_id, answer)
        done = await conn.query(b'COMMIT')
        return attrs.evolve(answer, position=done.position)

    async def _begin_recorded(
        self, conn: BackendConnection, request_id: str
    ) -> bool:
        """Open a transaction and insert the record of a request in it.

        :returns: ``False`` if the request ran before.
        """
        await conn.query(b'BEGIN')
        try:
            return await request_records.insert(conn, request_id)
        except BackendError as exc:
            if not request_records.is_missing_table(exc):
                raise
        await conn.query(b'ROLLBACK')
        await request_records.create_table(conn)
        await conn.query(b'BEGIN')
        return await request_records.insert(conn, request_id)

    async def _find_record(
        self, call: Call, broken: Lease | None
    ) -> request_records.RequestRecord | None:
        """Read a record on the primary when no earlier try can still commit.

        A commit on the broken connection is ruled out by the new term if there
        is one, and otherwise by killing that connection before the read.
        """
        request_id = call.req.request_id or ''
        since = self._clock.now()
        if not await self._group.confirm_term(since, call.deadline):
            raise ConnectionLostError('no majority confirmed the term')
        server = self._group.view.primary
        term = self._group.view.term
        if server is None:
            raise ConnectionLostError('the group has no primary')
        async with self._executor.leased(
            self._group.backends[server], call
        ) as lease:
            if broken is not None:
                await lease.conn.kill(broken.conn.connection_id)
            found = await request_records.find(lease.conn, request_id)
            lease.clean = True
        now = self._clock.now()
        confirmed = await self._group.confirm_term(now, call.deadline)
        if not confirmed or self._group.view.term != term:
            raise ConnectionLostError('the term changed during the look-up')
        return found

    async def _end_recorded(
        self, call: Call, found: request_records.RequestRecord
    ) -> None:
        await call.end(
            self._group.view.primary or '',
            'the request ran before',
            affected_rows=found.affected_rows,
            insert_id=found.insert_id,
            position=self._group.view.committed,
        )
