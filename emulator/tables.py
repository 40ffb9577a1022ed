"""Tables derived from the log."""

from collections.abc import Iterable, Iterator

from emulator.errors import SqlError
from emulator.log import Cell, Change, Entry, Key, Schema

Row = tuple[Cell, ...]


class Table:
    """The rows of a table by primary key.

    :param schema: Definition of the table.
    """

    def __init__(self, schema: Schema) -> None:
        self.schema = schema
        self.rows: dict[Key, Row] = {}
        self.next_auto = 1
        self._indexes = {
            spec.name.lower(): index
            for index, spec in enumerate(schema.columns)
        }
        self._auto = next(
            (index for index, spec in enumerate(schema.columns) if spec.auto),
            None,
        )

    def index(self, name: str) -> int:
        """Find a column.

        :param name: Column name, in any case.
        :returns: Its index.
        :raises SqlError: If there is no such column.
        """
        try:
            return self._indexes[name.lower()]
        except KeyError:
            raise SqlError(
                1054, '42S22', f"Unknown column '{name}' in 'field list'"
            ) from None

    def key_of(self, row: Row) -> Key:
        """Return the primary key of a row.

        :param row: The row.
        :returns: Its key; the next free number if the table has no key.
        """
        if self.schema.key:
            return tuple(row[index] for index in self.schema.key)
        return (self.take_auto(),)

    def take_auto(self) -> int:
        """Take the next auto-increment value.

        :returns: A value that no row has.
        """
        value = self.next_auto
        self.next_auto += 1
        return value

    def note_auto(self, value: Cell) -> None:
        """Make sure that a value is not given out again.

        :param value: A value of the auto-increment column.
        """
        if isinstance(value, int):
            self.next_auto = max(self.next_auto, value + 1)

    def put(self, key: Key, row: Row | None) -> None:
        """Store or delete a row.

        :param key: Its key.
        :param row: The row, or ``None`` to delete it.
        """
        if row is None:
            self.rows.pop(key, None)
            return
        self.rows[key] = row
        if self._auto is not None:
            self.note_auto(row[self._auto])
        elif not self.schema.key:
            self.note_auto(key[0])


class Tables:
    """All tables of a backend server."""

    def __init__(self) -> None:
        self._tables: dict[str, Table] = {}

    def get(self, name: str) -> Table:
        """Find a table.

        :param name: Its name.
        :returns: The table.
        :raises SqlError: If there is no such table.
        """
        try:
            return self._tables[name]
        except KeyError:
            raise SqlError(
                1146, '42S02', f"Table '{name}' doesn't exist"
            ) from None

    def has(self, name: str) -> bool:
        """Tell whether a table exists.

        :param name: Its name.
        :returns: Whether it exists.
        """
        return name in self._tables

    def clear(self) -> None:
        """Drop all tables."""
        self._tables.clear()

    def apply(self, entries: Iterable[Entry]) -> None:
        """Apply log entries.

        :param entries: Entries in order.
        """
        for entry in entries:
            for change in entry.changes:
                self._apply_change(change)

    def _apply_change(self, change: Change) -> None:
        if change.schema is not None:
            self._tables.setdefault(change.table, Table(change.schema))
            return
        self._tables[change.table].put(change.key, change.row)


class View:
    """Tables as a transaction sees them: committed rows and its own changes.

    :param tables: The committed tables.
    """

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self.changes: dict[tuple[str, Key], Row | None] = {}

    def get(self, table: str, key: Key) -> Row | None:
        """Look a row up.

        :param table: Name of the table.
        :param key: Primary key.
        :returns: The row, or ``None``.
        """
        committed = self._tables.get(table).rows.get(key)
        return self.changes.get((table, key), committed)

    def scan(self, table: str) -> Iterator[tuple[Key, Row]]:
        """Iterate over all rows of a table.

        :param table: Name of the table.
        :yields: Key and row.
        """
        rows = self._tables.get(table).rows
        own = {
            key: row
            for (name, key), row in self.changes.items()
            if name == table
        }
        for key, committed in rows.items():
            row = own.pop(key, committed) if own else committed
            if row is not None:
                yield key, row
        for new_key, new_row in own.items():
            if new_row is not None:
                yield new_key, new_row
