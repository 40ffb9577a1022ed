"""Evaluation of SELECT and of expressions."""

import datetime
import operator
from collections.abc import Callable, Iterable, Iterator, Mapping

from emulator import syntax
from emulator.errors import SqlError
from emulator.log import Cell, ColumnSpec, Key
from emulator.tables import Row, Table, Tables, View

_VARIABLES: Mapping[str, Cell] = {
    '@@version': b'8.0.36-emulator',
    '@@version_comment': b'monsoonproxy emulator',
    '@@autocommit': 1,
}
_COMPARE: Mapping[str, Callable[..., bool]] = {
    '=': operator.eq,
    '<': operator.lt,
    '>': operator.gt,
    '<=': operator.le,
    '>=': operator.ge,
    '<>': operator.ne,
    '!=': operator.ne,
}
#: Name and kind of each column, and the rows.
ResultRows = tuple[list[tuple[str, str]], Iterable[Row]]
#: Index of the column, operator and literals of each condition.
_Tests = list[tuple[int, str, tuple[Cell, ...]]]
_AGGREGATES = frozenset(('COUNT', 'SUM', 'MAX', 'MIN'))


def shown(cell: Cell) -> str:
    """Return a value as text, for error messages.

    :param cell: The value.
    :returns: Its text.
    """
    if isinstance(cell, bytes):
        return cell.decode('utf-8', 'replace')
    return 'NULL' if cell is None else str(cell)


def coerced(cell: Cell, spec: ColumnSpec) -> Cell:
    """Convert a value to the kind of a column.

    :param cell: The value.
    :param spec: The column.
    :returns: The converted value.
    :raises SqlError: If it can't be converted.
    """
    if cell is None or spec.kind != 'int':
        return str(cell).encode() if isinstance(cell, int) else cell
    try:
        return int(cell)
    except ValueError:
        raise SqlError(
            1366, 'HY000', f"Incorrect integer value for column '{spec.name}'"
        ) from None


def constant(expression: syntax.Expression, connection: int = 0) -> Cell:
    """Evaluate an expression that needs no row.

    :param expression: The expression.
    :param connection: Id of the connection.
    :returns: Its value.
    :raises SqlError: If it needs a row or is not supported.
    """
    if isinstance(expression, syntax.Literal):
        return expression.cell
    if isinstance(expression, syntax.Column):
        name = expression.name.lower()
        if name.startswith('@@'):
            return _VARIABLES.get(name, 0)
        raise SqlError(1054, '42S22', f"Unknown column '{expression.name}'")
    name = getattr(expression, 'name', '')
    if name == 'SLEEP':
        return 0
    if name == 'CONNECTION_ID':
        return connection
    if name in {'NOW', 'CURRENT_TIMESTAMP'}:
        now = datetime.datetime.now(datetime.UTC)
        return now.strftime('%Y-%m-%d %H:%M:%S').encode()
    if name in {'VERSION', 'DATABASE'}:
        return _VARIABLES['@@version'] if name == 'VERSION' else None
    raise SqlError(1305, '42000', f'FUNCTION {name} does not exist')


def computed(expression: syntax.Expression, table: Table, row: Row) -> Cell:
    """Evaluate an expression for a row.

    :param expression: The expression.
    :param table: The row's table.
    :param row: The row.
    :returns: Its value.
    """
    if isinstance(expression, syntax.Column):
        if not expression.name.startswith('@@'):
            return row[table.index(expression.name)]
    if isinstance(expression, syntax.Sum):
        cell = row[table.index(expression.column.name)]
        if cell is None:
            return None
        return int(cell) + expression.sign * int(expression.amount.cell or 0)
    return constant(expression)


def matching(
    table: Table,
    view: View,
    name: str,
    where: tuple[syntax.Condition, ...],
) -> Iterator[tuple[Key, Row]]:
    """Find the rows that meet all conditions.

    :param table: The table.
    :param view: Its rows as the transaction sees them.
    :param name: Its name.
    :param where: The conditions.
    :yields: Key and row.
    """
    tests = [
        (
            table.index(condition.column),
            condition.operator,
            _cells(table, condition),
        )
        for condition in where
    ]
    for key, row in _candidates(table, view, name, tests):
        if all(_holds(row[index], how, cells) for index, how, cells in tests):
            yield key, row


def evaluate(
    statement: syntax.Select, view: View, tables: Tables, connection: int
) -> ResultRows:
    """Evaluate a SELECT.

    :param statement: The statement.
    :param view: The rows as the transaction sees them.
    :param tables: The tables.
    :param connection: Id of the connection.
    :returns: Name and kind of each column, and the rows.
    """
    if statement.table is None:
        cells = [
            constant(output.expression, connection)
            for output in statement.outputs
            if output.expression is not None
        ]
        names = [output.name for output in statement.outputs]
        kinds = [_kind(cell) for cell in cells]
        return list(zip(names, kinds)), [tuple(cells)]
    table = tables.get(statement.table)
    found = [
        row
        for _, row in matching(table, view, statement.table, statement.where)
    ]
    _sort(table, found, statement.order)
    if any(_is_aggregate(output.expression) for output in statement.outputs):
        return _aggregated(statement.outputs, table, found)
    if statement.limit is not None:
        skip, count = statement.limit
        found = found[skip : skip + count]
    return _projected(statement.outputs, table, found)


def _sort(
    table: Table, rows: list[Row], order: tuple[tuple[str, bool], ...]
) -> None:
    # The sort is stable, so the least important column comes first.
    for name, descending in reversed(order):
        index = table.index(name)

        def sort_key(row: Row, index: int = index) -> tuple[bool, int, bytes]:
            return _sort_key(row[index])

        rows.sort(key=sort_key, reverse=descending)


def _projected(
    outputs: tuple[syntax.Output, ...], table: Table, rows: list[Row]
) -> ResultRows:
    columns: list[tuple[str, str]] = []
    expressions: list[syntax.Expression] = []
    for output in outputs:
        if output.expression is None:
            columns += [(spec.name, spec.kind) for spec in table.schema.columns]
            expressions += [
                syntax.Column(spec.name) for spec in table.schema.columns
            ]
        else:
            columns.append((output.name, _column_kind(output, table)))
            expressions.append(output.expression)
    if len(outputs) == 1 and outputs[0].expression is None:
        return columns, rows
    return columns, (
        tuple(computed(expression, table, row) for expression in expressions)
        for row in rows
    )


def _aggregated(
    outputs: tuple[syntax.Output, ...], table: Table, rows: list[Row]
) -> ResultRows:
    cells = [
        _aggregate(output.expression, table, rows)
        for output in outputs
        if isinstance(output.expression, syntax.Call)
    ]
    columns = [
        (output.name, _kind(cell)) for output, cell in zip(outputs, cells)
    ]
    return columns, [tuple(cells)]


def _aggregate(call: syntax.Call, table: Table, rows: list[Row]) -> Cell:
    if not call.arguments:
        return len(rows)
    computed_cells = [computed(call.arguments[0], table, row) for row in rows]
    cells = [cell for cell in computed_cells if cell is not None]
    if call.name == 'COUNT':
        return len(cells)
    if not cells:
        return None
    if call.name == 'SUM':
        return sum(int(cell) for cell in cells)
    ordered = sorted(cells, key=_sort_key)
    return ordered[-1] if call.name == 'MAX' else ordered[0]


def _is_aggregate(expression: syntax.Expression | None) -> bool:
    return (
        isinstance(expression, syntax.Call) and expression.name in _AGGREGATES
    )


def _candidates(
    table: Table,
    view: View,
    name: str,
    tests: _Tests,
) -> Iterable[tuple[Key, Row]]:
    fixed = {index: cells for index, how, cells in tests if how in {'=', 'in'}}
    if len(table.schema.key) != 1 or table.schema.key[0] not in fixed:
        return view.scan(name)
    keys = [(cell,) for cell in dict.fromkeys(fixed[table.schema.key[0]])]
    found = [(key, view.get(name, key)) for key in keys]
    return [(key, row) for key, row in found if row is not None]


def _cells(table: Table, condition: syntax.Condition) -> tuple[Cell, ...]:
    spec = table.schema.columns[table.index(condition.column)]
    return tuple(coerced(cell, spec) for cell in condition.cells)


def _holds(cell: Cell, how: str, cells: tuple[Cell, ...]) -> bool:
    if how.startswith('is'):
        return (cell is None) == (how == 'is null')
    if cell is None or None in cells:
        return False
    if how == 'in':
        return cell in cells
    return _COMPARE[how](cell, cells[0])


def _sort_key(cell: Cell) -> tuple[bool, int, bytes]:
    if isinstance(cell, bytes):
        return True, 0, cell
    return cell is not None, cell or 0, b''


def _kind(cell: Cell) -> str:
    return 'int' if isinstance(cell, int) else 'text'


def _column_kind(output: syntax.Output, table: Table) -> str:
    expression = output.expression
    if isinstance(expression, syntax.Column):
        return table.schema.columns[table.index(expression.name)].kind
    if isinstance(expression, syntax.Sum):
        return 'int'
    return 'text' if expression is None else _kind(constant(expression))
