"""Open transactions of a backend server."""

import time

from emulator.audit import Audit
from emulator.locks import Locks, Owner
from emulator.log import Change
from emulator.tables import Tables, View


class Transaction(Owner):
    """An open transaction.

    :param name: Identifies it in the audit log.
    :param connection: Id of its connection.
    :param tables: The committed tables.
    """

    def __init__(self, name: str, connection: int, tables: Tables) -> None:
        super().__init__()
        self.name = name
        self.connection = connection
        self.view = View(tables)

    def changes(self) -> list[Change]:
        """Return what the transaction changes.

        :returns: The changes, one for each row.
        """
        return [
            Change(table, key, row)
            for (table, key), row in self.view.changes.items()
        ]


class Transactions:
    """Opens and ends transactions.

    :param server: Name of the backend server.
    :param tables: Its committed tables.
    :param audit: Its audit log.
    """

    def __init__(self, server: str, tables: Tables, audit: Audit) -> None:
        self.locks = Locks()
        # Names stay unique after a restart.
        self._prefix = f'{server}-{time.time_ns()}'
        self._tables = tables
        self._audit = audit
        self._open: set[Transaction] = set()
        self._count = 0

    def begin(self, connection: int) -> Transaction:
        """Open a transaction.

        :param connection: Id of its connection.
        :returns: The transaction.
        """
        self._count += 1
        transaction = Transaction(
            f'{self._prefix}-{self._count}', connection, self._tables
        )
        self._open.add(transaction)
        return transaction

    def close(self, transaction: Transaction) -> None:
        """Release what a transaction holds.

        :param transaction: The transaction.
        """
        self._open.discard(transaction)
        self.locks.release(transaction)

    def rollback(self, transaction: Transaction, reason: str) -> None:
        """Roll a transaction back.

        :param transaction: The transaction.
        :param reason: Why, for the audit log.
        """
        if transaction not in self._open:
            return
        if transaction.view.changes:
            self._audit.write(
                'rollback',
                connection=transaction.connection,
                transaction=transaction.name,
                reason=reason,
            )
        self.close(transaction)

    def end_all(self) -> None:
        """Roll back all transactions because of a term change."""
        for transaction in tuple(self._open):
            self.locks.interrupt(transaction)
            self.rollback(transaction, 'the term changed')
