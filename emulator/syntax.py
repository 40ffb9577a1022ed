"""Statements of the SQL subset, as data."""

from typing import TypeAlias

import attrs

from emulator.log import Cell, Schema


@attrs.frozen
class Literal:
    """A literal value."""

    cell: Cell
    text: str = ''


@attrs.frozen
class Column:
    """A reference to a column."""

    name: str


@attrs.frozen
class Call:
    """A function call, such as ``COUNT(*)`` or ``SLEEP(0.1)``."""

    name: str
    arguments: tuple['Expression', ...] = ()


@attrs.frozen
class Sum:
    """A column plus or minus a literal.

    :param column: The column.
    :param sign: 1 or -1.
    :param amount: The literal.
    """

    column: Column
    sign: int
    amount: Literal


Expression: TypeAlias = Literal | Column | Call | Sum


@attrs.frozen
class Condition:
    """A comparison of a column with literals.

    :param column: Column name.
    :param operator: ``=``, ``<``, ``in``, ``is null`` and so on.
    :param cells: The literals; one, unless the operator is a word.
    """

    column: str
    operator: str
    cells: tuple[Cell, ...]


@attrs.frozen
class Create:
    """CREATE TABLE IF NOT EXISTS."""

    table: str
    schema: Schema
    if_not_exists: bool


@attrs.frozen
class Insert:
    """INSERT INTO ... VALUES."""

    table: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Expression, ...], ...]


@attrs.frozen
class Update:
    """UPDATE ... SET ... WHERE."""

    table: str
    assignments: tuple[tuple[str, Expression], ...]
    where: tuple[Condition, ...]


@attrs.frozen
class Delete:
    """DELETE FROM ... WHERE."""

    table: str
    where: tuple[Condition, ...]


@attrs.frozen
class Output:
    """An output column of a SELECT.

    :param expression: What it shows; ``None`` for ``*``.
    :param name: Its name in the result.
    """

    expression: Expression | None
    name: str


@attrs.frozen
class Select:
    """SELECT, with or without a table."""

    outputs: tuple[Output, ...]
    table: str | None = None
    where: tuple[Condition, ...] = ()
    order: tuple[tuple[str, bool], ...] = ()
    limit: tuple[int, int] | None = None
    for_update: bool = False


@attrs.frozen
class Control:
    """BEGIN, COMMIT, ROLLBACK, or a statement that changes nothing.

    :param word: ``begin``, ``commit``, ``rollback`` or ``nothing``.
    """

    word: str


@attrs.frozen
class SetAutocommit:
    """SET autocommit."""

    enabled: bool


@attrs.frozen
class Kill:
    """KILL CONNECTION."""

    connection: int


@attrs.frozen
class Group:
    """A statement of the group protocol.

    :param verb: ``status``, ``wait``, ``set``, ``promote``, ``follow`` or
        ``stream``.
    :param numbers: Its numbers in order.
    :param text: Its string, if any.
    """

    verb: str
    numbers: tuple[int, ...] = ()
    text: str = ''


Statement: TypeAlias = (
    Create
    | Insert
    | Update
    | Delete
    | Select
    | Control
    | SetAutocommit
    | Kill
    | Group
)
WRITES = (Create, Insert, Update, Delete)
