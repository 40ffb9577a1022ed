"""Open transactions of callers, each bound to one leased connection."""

import asyncio
from collections.abc import Callable

from monsoonproxy.backends import Lease
from monsoonproxy.calls import Call
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.exceptions import ConnectionLostError, TermChangedError
from monsoonproxy.executions import RETRY_AFTER_MS, Executor, Transaction
from monsoonproxy.groups import Group
from monsoonproxy.idempotent_writes import IdempotentWrites
from monsoonproxy.models import StatementKind

_SessionKey = tuple[bytes, int]


class Transactions:
    """The open transactions of one service, by session.

    :param group: The group of backend servers that the transactions run on.
    :param executor: Runs the statements of transactions.
    :param recorded: Commits transactions and records their request ids.
    :param clock: Source of time.
    """

    def __init__(
        self,
        group: Group,
        executor: Executor,
        recorded: IdempotentWrites,
        clock: Clock,
    ) -> None:
        self._group = group
        self._executor = executor
        self._recorded = recorded
        self._clock = clock
        self._open: dict[_SessionKey, Transaction] = {}

    def __len__(self) -> int:
        """Return the number of open transactions.

        :returns: The number, which includes those with a running statement.
        """
        return len(self._open)

    def __contains__(self, key: object) -> bool:
        """Tell whether a session has an open transaction.

        :param key: Identity of the sender, and number of the session.
        :returns: Whether a transaction is open.
        """
        return key in self._open

    def get(self, call: Call) -> Transaction | None:
        """Return the open transaction of the session that sent a request.

        :param call: The request.
        :returns: The transaction, or ``None`` if none is open.
        """
        return self._open.get(call.key)

    def senders(self) -> set[bytes]:
        """Return the entry sides whose callers have open transactions.

        :returns: Socket identities of these entry sides.
        """
        return {sender for sender, _session in self._open}

    def end(self, key: _SessionKey) -> None:
        """Roll back the transaction of a session, if one is open.

        The connection of a transaction with a running statement is released
        when that statement ends.

        :param key: Identity of the sender, and number of the session.
        """
        tx = self._open.pop(key, None)
        if tx is not None and not tx.busy:
            # Closing the connection makes the backend server roll back.
            self._release(tx)

    def end_where(self, condition: Callable[[_SessionKey], bool]) -> None:
        """Roll back all transactions that meet a condition.

        :param condition: Called with the sender and the session number of
            each open transaction.
        """
        for key in tuple(self._open):
            if condition(key):
                self.end(key)

    async def begin(self, call: Call, server: str) -> None:
        """Open a transaction; one that the session has open is rolled back.

        :param call: The request that begins the transaction.
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
        :param tx: The open transaction of the session that sent the request.
        """
        if tx.busy:
            await call.refuse(
                'another statement of the transaction is still running',
                RETRY_AFTER_MS,
                open_tx=True,
            )
            return
        tx.busy = True
        still_open = False
        try:
            still_open = await self._run_before_deadline(call, tx)
        finally:
            tx.busy = False
            self._release_if_ended(call.key, tx, still_open=still_open)

    def _release_if_ended(
        self, key: _SessionKey, tx: Transaction, *, still_open: bool
    ) -> None:
        """Release the connection unless the transaction is still open."""
        ended_meanwhile = self._open.get(key) is not tx
        if still_open and not ended_meanwhile:
            return
        if not ended_meanwhile:
            self._open.pop(key)
        self._release(tx)

    async def _run_before_deadline(self, call: Call, tx: Transaction) -> bool:
        try:
            async with asyncio.timeout(seconds(self._remaining(call))):
                return await self._execute(call, tx)
        except TimeoutError:
            await self._answer_lost_transaction(
                call, tx.lease, 'no answer before the deadline'
            )
        except (ConnectionLostError, TermChangedError) as exc:
            await self._answer_lost_transaction(call, tx.lease, str(exc))
        return False

    async def _execute(self, call: Call, tx: Transaction) -> bool:
        if call.kind is StatementKind.COMMIT:
            await self._recorded.commit(call, tx)
            return False
        if call.kind is StatementKind.ROLLBACK:
            await tx.lease.conn.query(call.req.sql)
            tx.lease.clean = True
            await call.end(tx.server, 'transaction')
            return False
        return await self._executor.in_transaction(call, tx)

    async def _answer_lost_transaction(
        self, call: Call, lease: Lease, reason: str
    ) -> None:
        """Answer a statement after a lost connection, a new term or a timeout.

        The transaction is rolled back, except that a commit may have succeeded
        before the failure.
        """
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
