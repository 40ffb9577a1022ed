"""Parser of the SQL subset."""

import functools
import re
from collections.abc import Callable

from emulator import syntax
from emulator.errors import syntax_error
from emulator.log import Cell, ColumnSpec, Schema
from emulator.tokens import Cursor, tokenize, unescape

_TEXT = r"'(?:[^'\\]|\\.)*'"
_GROUP_FORMS = tuple(
    (verb, re.compile(rf'\s*{form}\s*;?\s*\Z', re.IGNORECASE))
    for verb, form in (
        ('status', r'SHOW\s+GROUP\s+STATUS'),
        ('wait', r'WAIT\s+GROUP\s+CHANGE\s+(\d+)\s+(\d+)\s+(\d+)'),
        ('set', rf'SET\s+GROUP\s+TERM\s+(\d+)\s+CANDIDATE\s+({_TEXT})'),
        ('promote', rf'PROMOTE\s+GROUP\s+TERM\s+(\d+)\s+CANDIDATE\s+({_TEXT})'),
        ('follow', rf'FOLLOW\s+GROUP\s+TERM\s+(\d+)\s+SOURCE\s+({_TEXT})'),
        (
            'stream',
            rf'STREAM\s+GROUP\s+LOG\s+(\d+)\s+(\d+)\s+STARTS\s+({_TEXT})',
        ),
    )
)
_INTEGERS = frozenset(
    ('INT', 'INTEGER', 'BIGINT', 'SMALLINT', 'TINYINT', 'MEDIUMINT', 'BOOLEAN')
)
_BINARIES = frozenset(
    ('BLOB', 'LONGBLOB', 'MEDIUMBLOB', 'TINYBLOB', 'BINARY', 'VARBINARY')
)
_COMPARISONS = frozenset(('=', '<', '>', '<=', '>=', '<>', '!='))
_CACHED_LENGTH = 500
_FALSE = frozenset(('0', 'OFF', 'FALSE'))


def parse(sql: str) -> syntax.Statement:
    """Parse a statement.

    :param sql: Its text.
    :returns: The statement.
    :raises SqlError: If it is outside of the subset.
    """
    # Long statements hold data and don't come again.
    return _parse(sql) if len(sql) > _CACHED_LENGTH else _parse_cached(sql)


def _parse(sql: str) -> syntax.Statement:
    if ' group ' in sql.lower():
        group = _parse_group(sql)
        if group is not None:
            return group
    cursor = Cursor(tokenize(sql))
    word = cursor.take().upper
    parser = _PARSERS.get(word)
    if parser is None:
        raise syntax_error(sql)
    statement = parser(cursor)
    cursor.finish()
    return statement


_parse_cached = functools.lru_cache(maxsize=256)(_parse)


def _parse_group(sql: str) -> syntax.Group | None:
    for verb, form in _GROUP_FORMS:
        match = form.match(sql)
        if match:
            parts = match.groups()
            return syntax.Group(
                verb,
                tuple(int(part) for part in parts if part.isdigit()),
                ''.join(unescape(part) for part in parts if part[0] == "'"),
            )
    return None


def _create(cursor: Cursor) -> syntax.Create:
    cursor.expect('TABLE')
    if_not_exists = cursor.accept('IF', 'NOT', 'EXISTS')
    table = cursor.name()
    cursor.expect('(')
    columns: list[ColumnSpec] = []
    key: tuple[str, ...] = ()
    while True:
        if cursor.accept('PRIMARY', 'KEY'):
            key = cursor.names()
        else:
            column, is_key = _column(cursor)
            columns.append(column)
            key = (column.name,) if is_key else key
        if not cursor.accept(','):
            break
    cursor.expect(')')
    while cursor.token.kind != 'end':
        cursor.take()  # Table options such as ENGINE have no effect.
    names = [column.name for column in columns]
    return syntax.Create(
        table,
        Schema(columns, [names.index(name) for name in key]),
        if_not_exists,
    )


def _column(cursor: Cursor) -> tuple[ColumnSpec, bool]:
    name = cursor.name()
    type_name = cursor.take().upper
    kind = 'text'
    if type_name in _INTEGERS:
        kind = 'int'
    elif type_name in _BINARIES:
        kind = 'blob'
    _type_length(cursor)
    is_key = False
    auto = False
    default: Cell = None
    while cursor.token.upper not in {',', ')'}:
        if cursor.accept('DEFAULT'):
            default = cursor.cell()
            continue
        word = _word(cursor)
        is_key = is_key or word == 'PRIMARY'
        auto = auto or word == 'AUTO_INCREMENT'
    return ColumnSpec(name, kind, auto, default), is_key


def _type_length(cursor: Cursor) -> None:
    if cursor.accept('('):
        while not cursor.accept(')'):
            cursor.cell()
            cursor.accept(',')


def _word(cursor: Cursor) -> str:
    token = cursor.take()
    if token.kind == 'end':
        raise syntax_error('the end of the column list')
    return token.upper


def _insert(cursor: Cursor) -> syntax.Insert:
    cursor.expect('INTO')
    table = cursor.name()
    columns = cursor.names() if cursor.token.upper == '(' else ()
    if not cursor.accept('VALUE'):
        cursor.expect('VALUES')
    rows = [_expressions(cursor)]
    while cursor.accept(','):
        rows.append(_expressions(cursor))
    return syntax.Insert(table, columns, tuple(rows))


def _update(cursor: Cursor) -> syntax.Update:
    table = cursor.name()
    cursor.expect('SET')
    assignments = [_assignment(cursor)]
    while cursor.accept(','):
        assignments.append(_assignment(cursor))
    return syntax.Update(table, tuple(assignments), _where(cursor))


def _assignment(cursor: Cursor) -> tuple[str, syntax.Expression]:
    name = cursor.name()
    cursor.expect('=')
    return name, _expression(cursor)


def _delete(cursor: Cursor) -> syntax.Delete:
    cursor.expect('FROM')
    return syntax.Delete(cursor.name(), _where(cursor))


def _select(cursor: Cursor) -> syntax.Select:
    outputs = [_output(cursor)]
    while cursor.accept(','):
        outputs.append(_output(cursor))
    if not cursor.accept('FROM'):
        return syntax.Select(tuple(outputs), limit=_limit(cursor))
    table = cursor.name()
    where = _where(cursor)
    order = _order(cursor)
    limit = _limit(cursor)
    return syntax.Select(
        tuple(outputs),
        table,
        where,
        order,
        limit,
        cursor.accept('FOR', 'UPDATE'),
    )


def _output(cursor: Cursor) -> syntax.Output:
    if cursor.accept('*'):
        return syntax.Output(None, '*')
    label = cursor.token.text
    expression = _expression(cursor)
    if isinstance(expression, syntax.Call):
        label = f'{expression.name}(*)'
    elif isinstance(expression, syntax.Column):
        label = expression.name
    if cursor.accept('AS') or cursor.token.kind == 'quoted':
        label = cursor.name()
    return syntax.Output(expression, label)


def _expressions(cursor: Cursor) -> tuple[syntax.Expression, ...]:
    cursor.expect('(')
    found: list[syntax.Expression] = []
    while not cursor.accept(')'):
        if found:
            cursor.expect(',')
        if cursor.accept('*'):
            continue
        found.append(_expression(cursor))
    return tuple(found)


def _expression(cursor: Cursor) -> syntax.Expression:
    token = cursor.token
    is_literal = token.kind not in {'word', 'quoted'}
    if is_literal or token.upper in {'NULL', '_BINARY'}:
        return syntax.Literal(cursor.cell())
    name = cursor.name()
    if cursor.token.upper == '(':
        return syntax.Call(name.upper(), _expressions(cursor))
    for mark, sign in (('+', 1), ('-', -1)):
        if cursor.accept(mark):
            amount = syntax.Literal(cursor.cell())
            return syntax.Sum(syntax.Column(name), sign, amount)
    return syntax.Column(name)


def _where(cursor: Cursor) -> tuple[syntax.Condition, ...]:
    if not cursor.accept('WHERE'):
        return ()
    found = [_condition(cursor)]
    while cursor.accept('AND'):
        found.append(_condition(cursor))
    return tuple(found)


def _condition(cursor: Cursor) -> syntax.Condition:
    column = cursor.name()
    if cursor.accept('IN'):
        cells = [
            choice.cell
            for choice in _expressions(cursor)
            if isinstance(choice, syntax.Literal)
        ]
        return syntax.Condition(column, 'in', tuple(cells))
    if cursor.accept('IS', 'NULL'):
        return syntax.Condition(column, 'is null', ())
    if cursor.accept('IS', 'NOT', 'NULL'):
        return syntax.Condition(column, 'is not null', ())
    operator = cursor.take().text
    if operator not in _COMPARISONS:
        raise syntax_error(operator)
    return syntax.Condition(column, operator, (cursor.cell(),))


def _order(cursor: Cursor) -> tuple[tuple[str, bool], ...]:
    if not cursor.accept('ORDER', 'BY'):
        return ()
    found = []
    while True:
        name = cursor.name()
        descending = cursor.accept('DESC')
        cursor.accept('ASC')
        found.append((name, descending))
        if not cursor.accept(','):
            return tuple(found)


def _limit(cursor: Cursor) -> tuple[int, int] | None:
    if not cursor.accept('LIMIT'):
        return None
    first = _whole(cursor)
    if cursor.accept(','):
        return first, _whole(cursor)
    offset = _whole(cursor) if cursor.accept('OFFSET') else 0
    return offset, first


def _whole(cursor: Cursor) -> int:
    cell = cursor.cell()
    if isinstance(cell, int):
        return cell
    raise syntax_error(repr(cell))


def _control(word: str) -> Callable[[Cursor], syntax.Statement]:
    def parser(cursor: Cursor) -> syntax.Control:
        while cursor.token.kind != 'end':
            cursor.take()
        return syntax.Control(word)

    return parser


def _set(cursor: Cursor) -> syntax.Statement:
    cursor.accept('SESSION')
    if cursor.token.upper in {'AUTOCOMMIT', '@@AUTOCOMMIT'}:
        cursor.take()
        cursor.expect('=')
        return syntax.SetAutocommit(cursor.take().text.upper() not in _FALSE)
    return _control('nothing')(cursor)


def _kill(cursor: Cursor) -> syntax.Kill:
    cursor.accept('CONNECTION')
    return syntax.Kill(_whole(cursor))


_PARSERS: dict[str, Callable[[Cursor], syntax.Statement]] = {
    'CREATE': _create,
    'INSERT': _insert,
    'UPDATE': _update,
    'DELETE': _delete,
    'SELECT': _select,
    'BEGIN': _control('begin'),
    'START': _control('begin'),
    'COMMIT': _control('commit'),
    'ROLLBACK': _control('rollback'),
    'SET': _set,
    'USE': _control('nothing'),
    'KILL': _kill,
}
