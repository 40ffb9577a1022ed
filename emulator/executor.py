"""Runs statements of one connection."""

from collections.abc import Iterable

import attrs

from emulator import selects, syntax
from emulator.errors import SqlError, read_only, term_changed
from emulator.log import Cell, Change, Key
from emulator.member import Member
from emulator.tables import Row, Table
from emulator.transactions import Transaction


_ROLLBACK = syntax.Control('rollback')


@attrs.define
class Outcome:
    """What a statement returned.

    :param columns: Name and kind of each result column; empty if none.
    :param rows: The result rows.
    :param affected: Number of rows that a write changed.
    :param insert_id: First auto-increment value of an insert.
    :param commit: Term and offset of the commit, if it committed.
    """

    columns: list[tuple[str, str]] = attrs.Factory(list)
    rows: Iterable[Row] = ()
    affected: int = 0
    insert_id: int = 0
    commit: tuple[int, int] | None = None


class Executor:
    """Runs the statements of one connection in transactions.

    :param member: The backend server.
    :param connection: Id of the connection.
    """

    def __init__(self, member: Member, connection: int) -> None:
        self._member = member
        self._locks = member.transactions.locks
        self._connection = connection
        self._transaction: Transaction | None = None
        self._autocommit = True

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open.

        :returns: Whether one is open.
        """
        return self._transaction is not None

    @property
    def autocommit(self) -> bool:
        """Tell whether each statement commits by itself.

        :returns: Whether autocommit is on.
        """
        return self._autocommit

    def reset(self, reason: str) -> None:
        """Roll back and forget the session state.

        :param reason: Why, for the audit log.
        """
        self._autocommit = True
        self._rollback(reason)

    async def run(self, statement: syntax.Statement, sql: str) -> Outcome:
        """Run a statement.

        :param statement: The parsed statement.
        :param sql: Its text, for the audit log.
        :returns: What it returned.
        :raises SqlError: If it failed.
        """
        if statement != _ROLLBACK:
            self._check_term(sql)
        if isinstance(statement, syntax.Control):
            return self._control(statement.word)
        if isinstance(statement, syntax.SetAutocommit):
            outcome = self._commit() if statement.enabled else Outcome()
            self._autocommit = statement.enabled
            return outcome
        if isinstance(statement, syntax.Create):
            return self._create(statement, sql)
        return await self._in_transaction(statement, sql)

    def _check_term(self, sql: str) -> None:
        transaction = self._transaction
        if transaction is not None and transaction.ended_by_term:
            self._transaction = None
            self._audit(transaction, sql, '3100')
            raise term_changed()

    async def _in_transaction(
        self, statement: syntax.Statement, sql: str
    ) -> Outcome:
        single = self._transaction is None and self._autocommit
        transaction = self._transaction or self._begin()
        try:
            outcome = await self._dispatch(statement, transaction)
        except SqlError as exc:
            self._audit(transaction, sql, str(exc.code))
            if single or exc.code in {1213, 3100}:
                self._rollback(f'error {exc.code}')
            raise
        except BaseException:
            self._rollback('the statement was interrupted')
            raise
        self._audit(transaction, sql, '')
        if single:
            # An audit line of the statement precedes that of its commit.
            outcome.commit = self._commit().commit
        if not isinstance(statement, syntax.WRITES):
            outcome.commit = None
        return outcome

    async def _dispatch(
        self, statement: syntax.Statement, transaction: Transaction
    ) -> Outcome:
        if isinstance(statement, syntax.Select):
            return await self._select(statement, transaction)
        if not self._member.is_primary:
            raise read_only()
        if isinstance(statement, syntax.Insert):
            return await self._insert(statement, transaction)
        if isinstance(statement, syntax.Update):
            return await self._update(statement, transaction)
        if isinstance(statement, syntax.Delete):
            keys = await self._locked(
                statement.table, statement.where, transaction
            )
            for key in keys:
                transaction.view.changes[(statement.table, key)] = None
            return Outcome(affected=len(keys))
        raise SqlError(1235, '42000', 'statement not supported')

    def _control(self, word: str) -> Outcome:
        if word == 'nothing':
            return Outcome()
        if word == 'rollback':
            self._rollback('requested')
            return Outcome()
        outcome = self._commit()
        if word == 'begin':
            self._begin()
        return outcome

    def _create(self, statement: syntax.Create, sql: str) -> Outcome:
        self._commit()
        if not self._member.is_primary:
            raise read_only()
        if self._member.tables.has(statement.table):
            if statement.if_not_exists:
                return Outcome(
                    commit=(self._member.log.term, self._member.log.end)
                )
            raise SqlError(
                1050, '42S01', f"Table '{statement.table}' already exists"
            )
        transaction = self._begin()
        self._audit(transaction, sql, '')
        return self._commit(Change(statement.table, schema=statement.schema))

    async def _select(
        self, statement: syntax.Select, transaction: Transaction
    ) -> Outcome:
        view = transaction.view
        if statement.for_update and self._member.is_primary:
            await self._locked(
                statement.table or '', statement.where, transaction
            )
        columns, rows = selects.evaluate(
            statement, view, self._member.tables, self._connection
        )
        return Outcome(columns, rows)

    async def _insert(
        self, statement: syntax.Insert, transaction: Transaction
    ) -> Outcome:
        table = self._member.tables.get(statement.table)
        staged: dict[Key, Row] = {}
        insert_id = 0
        for expressions in statement.rows:
            row, taken = _new_row(table, statement.columns, expressions)
            insert_id = insert_id or taken
            key = table.key_of(row)
            await self._locks.acquire((statement.table, key), transaction)
            self._check_open(transaction)
            if key in staged or transaction.view.get(statement.table, key):
                shown = '-'.join(selects.shown(cell) for cell in key)
                raise SqlError(
                    1062,
                    '23000',
                    f"Duplicate entry '{shown}' for key 'PRIMARY'",
                )
            staged[key] = row
        for new_key, new_row in staged.items():
            transaction.view.changes[(statement.table, new_key)] = new_row
        return Outcome(affected=len(staged), insert_id=insert_id)

    async def _update(
        self, statement: syntax.Update, transaction: Transaction
    ) -> Outcome:
        table = self._member.tables.get(statement.table)
        keys = await self._locked(statement.table, statement.where, transaction)
        affected = 0
        for key in keys:
            row = transaction.view.get(statement.table, key)
            if row is None:
                continue
            fresh = _updated(table, row, statement.assignments)
            if table.schema.key and table.key_of(fresh) != key:
                raise SqlError(1235, '42000', 'the primary key is immutable')
            affected += fresh != row
            transaction.view.changes[(statement.table, key)] = fresh
        return Outcome(affected=affected)

    async def _locked(
        self,
        table: str,
        where: tuple[syntax.Condition, ...],
        transaction: Transaction,
    ) -> list[Key]:
        schema = self._member.tables.get(table)
        found = selects.matching(schema, transaction.view, table, where)
        keys = [key for key, _ in found]
        for wanted in keys:
            await self._locks.acquire((table, wanted), transaction)
        self._check_open(transaction)
        # A row may have changed while its lock was awaited. One that has
        # come to match meanwhile is left out, as it is not locked.
        found = selects.matching(schema, transaction.view, table, where)
        return [key for key, _ in found if (table, key) in transaction.held]

    def _check_open(self, transaction: Transaction) -> None:
        if transaction.ended_by_term:
            raise term_changed()

    def _begin(self) -> Transaction:
        self._transaction = self._member.transactions.begin(self._connection)
        return self._transaction

    def _commit(self, extra: Change | None = None) -> Outcome:
        transaction = self._transaction
        self._transaction = None
        if transaction is None:
            return Outcome()
        try:
            return Outcome(commit=self._member.commit(transaction, extra))
        except SqlError:
            self._member.transactions.rollback(transaction, 'the commit failed')
            raise

    def _rollback(self, reason: str) -> None:
        transaction = self._transaction
        self._transaction = None
        if transaction is not None:
            self._member.transactions.rollback(transaction, reason)

    def _audit(self, transaction: Transaction, sql: str, error: str) -> None:
        self._member.audit.write(
            'statement',
            connection=self._connection,
            transaction=transaction.name,
            sql=sql,
            error=error,
        )


def _new_row(
    table: Table,
    names: tuple[str, ...],
    expressions: tuple[syntax.Expression, ...],
) -> tuple[Row, int]:
    specs = table.schema.columns
    indexes = [table.index(name) for name in names] or list(range(len(specs)))
    if len(indexes) != len(expressions):
        raise SqlError(1136, '21S01', "Column count doesn't match value count")
    cells: list[Cell] = [spec.default for spec in specs]
    for index, expression in zip(indexes, expressions):
        cells[index] = selects.constant(expression)
    taken = 0
    for place, spec in enumerate(specs):
        if spec.auto and cells[place] in {None, 0}:
            taken = table.take_auto()
            cells[place] = taken
        cells[place] = selects.coerced(cells[place], spec)
    return tuple(cells), taken


def _updated(
    table: Table,
    row: Row,
    assignments: tuple[tuple[str, syntax.Expression], ...],
) -> Row:
    cells = list(row)
    for name, expression in assignments:
        index = table.index(name)
        cell = selects.computed(expression, table, tuple(cells))
        cells[index] = selects.coerced(cell, table.schema.columns[index])
    return tuple(cells)
