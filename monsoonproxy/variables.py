"""Statements that the entry side answers itself."""

import re
from collections.abc import Iterator

import attrs

from monsoonproxy import messages
from monsoonproxy.exceptions import StatementError

#: Version that callers see; clients derive the server's features from it.
VERSION = '8.0.29-monsoonproxy'
_VAR_STRING = 0xFD
_UTF8 = 255

_Variable = tuple[str, frozenset[str]]

#: System variables that drivers ask for, and the values that SET accepts in
#: addition to the one shown. A connection to a backend server is shared, so
#: no other value can be put into effect.
_FIXED: dict[str, _Variable] = {
    'auto_increment_increment': ('1', frozenset()),
    'character_set_client': ('utf8mb4', frozenset(('utf8', 'utf8mb3'))),
    'character_set_connection': ('utf8mb4', frozenset(('utf8', 'utf8mb3'))),
    'character_set_database': ('utf8mb4', frozenset()),
    'character_set_results': ('utf8mb4', frozenset(('utf8', 'null'))),
    'character_set_server': ('utf8mb4', frozenset()),
    'collation_connection': ('utf8mb4_general_ci', frozenset()),
    'collation_database': ('utf8mb4_general_ci', frozenset()),
    'collation_server': ('utf8mb4_general_ci', frozenset()),
    'init_connect': ('', frozenset()),
    'interactive_timeout': ('28800', frozenset(('*',))),
    'license': ('MIT', frozenset()),
    'lower_case_table_names': ('0', frozenset()),
    'max_allowed_packet': ('67108864', frozenset()),
    'net_read_timeout': ('30', frozenset(('*',))),
    'net_write_timeout': ('60', frozenset(('*',))),
    'performance_schema': ('0', frozenset()),
    'query_cache_size': ('0', frozenset()),
    'query_cache_type': ('OFF', frozenset()),
    'sql_auto_is_null': ('0', frozenset()),
    'sql_mode': ('STRICT_TRANS_TABLES', frozenset()),
    'sql_select_limit': ('18446744073709551615', frozenset(('default',))),
    'system_time_zone': ('UTC', frozenset()),
    'time_zone': ('+00:00', frozenset(('utc',))),
    'transaction_isolation': ('REPEATABLE-READ', frozenset()),
    'transaction_read_only': ('0', frozenset()),
    'tx_isolation': ('REPEATABLE-READ', frozenset()),
    'tx_read_only': ('0', frozenset()),
    'version': (VERSION, frozenset()),
    'version_comment': ('monsoonproxy', frozenset()),
    'wait_timeout': ('28800', frozenset(('*',))),
}
_DEFAULTS = {name: fixed for name, (fixed, _) in _FIXED.items()}
_CHARSETS = frozenset(('utf8mb4', 'utf8', 'utf8mb3', 'binary', 'default'))

_COMMENT = re.compile(r'/\*.*?\*/', re.DOTALL)
_LIMIT = re.compile(r'\s+LIMIT\s+\d+$', re.IGNORECASE)
_ITEM = re.compile(
    r"""(?:@@(?:(?:session|global|local)\.)?(?P<variable>\w+)
    | (?P<function>\w+)\s*\(\s*\))(?:\s+(?:AS\s+)?[`'"]?(?P<alias>\w+)[`'"]?)?
    """,
    re.VERBOSE | re.IGNORECASE,
)
_ASSIGNMENT = re.compile(
    r"""\s*(?:(?:SESSION|LOCAL)\s+|@@(?:(?:session|local)\.)?)?(?P<name>\w+)
    \s*:?=\s*(?:'(?P<single>[^']*)'|"(?P<double>[^"]*)"|(?P<bare>[\w.+:=-]+))
    \s*(?:,|$)""",
    re.VERBOSE | re.IGNORECASE,
)
_NAMES = re.compile(
    r"""(?:NAMES|CHARACTER\s+SET|CHARSET)\s+['"]?(\w+)['"]?
    (?:\s+COLLATE\s+['"]?\w+['"]?)?""",
    re.VERBOSE | re.IGNORECASE,
)
_ISOLATION = re.compile(
    r'SESSION\s+TRANSACTION\s+(?:ISOLATION\s+LEVEL\s+REPEATABLE\s+READ'
    r'|READ\s+WRITE)',
    re.IGNORECASE,
)
_SHOW = re.compile(
    r"""SHOW\s+(?:SESSION\s+|GLOBAL\s+)?(?P<what>\w+(?:\s+SET)?)
    (?:\s+LIKE\s+['"](?P<like>[^'"]*)['"]
    |\s+WHERE\s+(?P<where>.*))?""",
    re.VERBOSE | re.IGNORECASE | re.DOTALL,
)
_QUOTED = re.compile("'([^']*)'")
_USE = re.compile(r'USE\s+`?([^`\s]+)`?', re.IGNORECASE)


@attrs.frozen
class Context:
    """What the answers depend on.

    :param values: Values of functions and variables of this session, by
        name in lower case.
    :param warnings: Warning count of the latest statement.
    """

    values: dict[str, str | None]
    warnings: int = 0


@attrs.frozen
class Table:
    """A result that the entry side makes.

    :param columns: Its columns.
    :param rows: Its rows.
    """

    columns: list[messages.Column]
    rows: list[messages.Row]


def read_use(sql: bytes) -> str | None:
    """Read the service of a ``USE`` statement.

    :param sql: A statement.
    :returns: The service, or ``None`` if it is another statement.
    """
    match = _USE.fullmatch(_text(sql))
    return match[1] if match else None


def read_set(sql: bytes) -> list[tuple[str, str]]:
    """Read the assignments of a ``SET`` statement that need an action.

    Assignments that change nothing are left out.

    :param sql: The statement.
    :returns: Names in lower case and values.
    :raises StatementError: If an assignment can't be put into effect.
    """
    text = _text(sql)[len('SET') :].strip()
    names = _NAMES.fullmatch(text)
    if names is not None and names[1].lower() in _CHARSETS:
        return []
    if _ISOLATION.fullmatch(text):
        return []
    wanted = list(_assignments(text))
    return [pair for pair in wanted if not _is_fixed(*pair)]


def answer(sql: bytes, context: Context) -> Table:
    """Answer a statement of kind ``LOCAL``.

    :param sql: The statement.
    :param context: What the answer depends on.
    :returns: The result.
    :raises StatementError: If it asks for something unknown.
    """
    text = _text(sql)
    if text[:4].upper() == 'SHOW':
        return _show(text, context)
    items = _LIMIT.sub('', text[len('SELECT') :].strip()).split(',')
    cells = [_select(item.strip(), context) for item in items]
    return _table(
        [name for name, _value in cells], [[cell for _, cell in cells]]
    )


def _text(sql: bytes) -> str:
    text = _COMMENT.sub(' ', sql.decode(errors='replace'))
    return text.strip('; \t\r\n')


def _assignments(text: str) -> Iterator[tuple[str, str]]:
    start = 0
    while start < len(text):
        match = _ASSIGNMENT.match(text, start)
        if match is None:
            raise StatementError('this form of SET is not supported')
        value = match['single'] or match['double'] or match['bare'] or ''
        yield match['name'].lower(), value
        start = match.end()


def _is_fixed(name: str, value: str) -> bool:
    if name == 'autocommit' or name.startswith('monsoonproxy_'):
        return False
    if name not in _FIXED:
        raise StatementError(f'variable {name} is not supported')
    fixed, others = _FIXED[name]
    wanted = value.lower()
    if wanted != fixed.lower() and not others & {wanted, '*'}:
        raise StatementError(
            f'variable {name} is always {fixed}: connections are shared',
        )
    return True


def _select(item: str, context: Context) -> tuple[str, str | None]:
    match = _ITEM.fullmatch(item)
    if match is None:
        raise StatementError(f'{_shorten(item)} is not known to the proxy')
    name = (match['variable'] or f'{match["function"]}()').lower()
    shown = match['alias'] or item
    known: dict[str, str | None] = {**_DEFAULTS, **context.values}
    if name not in known:
        raise StatementError(f'{_shorten(item)} is not known to the proxy')
    return shown, known[name]


def _show(text: str, context: Context) -> Table:
    match = _SHOW.fullmatch(text)
    what = match['what'].lower() if match else ''
    if match is None:
        raise StatementError(f'{_shorten(text)} is not supported')
    if what == 'variables':
        return _show_variables(match, context)
    if what in {'warnings', 'errors'}:
        return _show_warnings(context)
    if what in {'databases', 'schemas'}:
        return _table(['Database'], [[context.values['database()']]])
    raise StatementError(f'SHOW {what.upper()} is not supported')


def _show_variables(match: re.Match[str], context: Context) -> Table:
    known: dict[str, str | None] = {**_DEFAULTS, **context.values}
    names = sorted(name for name in known if not name.endswith('()'))
    if match['like'] is not None:
        like = re.escape(match['like'].lower())
        pattern = like.replace('%', '.*').replace('_', '.')
        names = [name for name in names if re.fullmatch(pattern, name)]
    if match['where'] is not None:
        wanted = {name.lower() for name in _QUOTED.findall(match['where'])}
        names = [name for name in names if name in wanted]
    return _table(
        ['Variable_name', 'Value'], [[name, known[name]] for name in names]
    )


def _show_warnings(context: Context) -> Table:
    rows: list[list[str | None]] = []
    if context.warnings:
        text = f'{context.warnings} warnings; their text is not kept'
        rows.append(['Note', '1105', text])
    return _table(['Level', 'Code', 'Message'], rows)


def _shorten(text: str) -> str:
    return repr(text[:64])


def _table(names: list[str], rows: list[list[str | None]]) -> Table:
    columns = [messages.Column(name, _VAR_STRING, _UTF8, 0) for name in names]
    return Table(columns, [[_cell(cell) for cell in row] for row in rows])


def _cell(cell: str | None) -> bytes | None:
    return None if cell is None else cell.encode()
