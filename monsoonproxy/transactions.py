"""Callers' transactions on their connections."""

import asyncio
from collections.abc import Callable

from monsoonproxy.backends import Lease
from monsoonproxy.calls import Call
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.exceptions import ConnectionLostError, TermChangedError
from monsoonproxy.executions import RETRY_AFTER_MS, Executor, Transaction
from monsoonproxy.groups import Group
from monsoonproxy.models import StatementKind
from monsoonproxy.recorded import RecordedWrites

_Key = tuple[bytes, int]


class Transactions:
    """The open transactions of one service, by session.

    :param group: The group they run on.
    :param executor: Runs their statements.
    :param recorded: Commits those with a request id.
    :param clock: Source of time.
    """

    def __init__(
        self,
        group: Group,
        executor: Executor,
        recorded: RecordedWrites,
        clock: Clock,
    ) -> None:
        self._group = group
        self._executor = executor
        self._recorded = recorded
        self._clock = clock
        self._open: dict[_Key, Transaction] = {}

    def __len__(self) -> int:
        """Return the number of open transactions.

        :returns: The number.
        """
        return len(self._open)

    def __contains__(self, key: object) -> bool:
        """Tell whether a session has an open transaction.

        :param key: Sender and session.
        :returns: Whether it has.
        """
        return key in self._open

    def get(self, call: Call) -> Transaction | None:
        """Return the transaction of a request's session.

        :param call: The request.
        :returns: The transaction, if one is open.
        """
        return self._open.get(call.key)

    def senders(self) -> set[bytes]:
        """Return the entry sides with an open transaction.

        :returns: Identities of their sockets.
        """
        return {sender for sender, _session in self._open}

    def end(self, key: _Key) -> None:
        """Roll back a session's transaction.

        :param key: Sender and session.
        """
        tx = self._open.pop(key, None)
        if tx is not None and not tx.busy:
            # Closing the connection makes the backend server roll back.
            self._release(tx)

    def end_where(self, condition: Callable[[_Key], bool]) -> None:
        """Roll back some transactions.

        :param condition: Chooses them by sender and session.
        """
        for key in tuple(self._open):
            if condition(key):
                self.end(key)

    async def begin(self, call: Call, server: str) -> None:
        """Open a transaction.

        :param call: The request that begins it.
        :param server: Name of the primary.
        """
        self.end(call.key)
        backend = self._group.backends[server]
        lease = await backend.acquire(call.number, self._remaining(call))
        try:
            await lease.conn.query(call.req.sql)
        except BaseException:
            backend.release(lease)
            raise
        self._open[call.key] = Transaction(server, lease)
        await call.end(server, 'transaction', in_transaction=True)

    async def run(self, call: Call, tx: Transaction) -> None:
        """Run a statement of an open transaction.

        :param call: The request.
        :param tx: Its session's transaction.
        """
        if tx.busy:
            await call.refuse(
                'the transaction is busy', RETRY_AFTER_MS, open_tx=True
            )
            return
        tx.busy = True
        still_open = False
        try:
            still_open = await self._answer(call, tx)
        finally:
            tx.busy = False
            self._settle(call.key, tx, still_open=still_open)

    def _settle(self, key: _Key, tx: Transaction, *, still_open: bool) -> None:
        """Close the connection unless the transaction goes on."""
        ended_meanwhile = self._open.get(key) is not tx
        if still_open and not ended_meanwhile:
            return
        if not ended_meanwhile:
            self._open.pop(key)
        self._release(tx)

    async def _answer(self, call: Call, tx: Transaction) -> bool:
        try:
            async with asyncio.timeout(seconds(self._remaining(call))):
                return await self._step(call, tx)
        except TimeoutError:
            await self._lose(call, tx.lease, 'no answer before the deadline')
        except (ConnectionLostError, TermChangedError) as exc:
            await self._lose(call, tx.lease, str(exc))
        return False

    async def _step(self, call: Call, tx: Transaction) -> bool:
        if call.kind is StatementKind.COMMIT:
            await self._recorded.commit(call, tx)
            return False
        if call.kind is StatementKind.ROLLBACK:
            await tx.lease.conn.query(call.req.sql)
            tx.lease.clean = True
            await call.end(tx.server, 'transaction')
            return False
        return await self._executor.in_transaction(call, tx)

    async def _lose(self, call: Call, lease: Lease, reason: str) -> None:
        """Answer a statement whose transaction was lost."""
        if call.kind is StatementKind.COMMIT:
            await self._recorded.resolve_or_unknown(call, lease, reason)
            return
        await call.refuse(
            f'the transaction was rolled back: {reason}', RETRY_AFTER_MS
        )

    def _release(self, tx: Transaction) -> None:
        self._group.backends[tx.server].release(tx.lease)

    def _remaining(self, call: Call) -> int:
        return max(1, call.deadline - self._clock.now())
