"""Statement kinds, found by cached shapes."""

import re
from collections import OrderedDict
from collections.abc import Mapping

import attrs

from monsoonproxy import marks
from monsoonproxy.exceptions import StatementError
from monsoonproxy.models import Marks, StatementKind

#: Longest statement whose shape is cached; longer ones rarely come twice.
MAX_CACHED = 2048
#: Longer statements count as writes, so that looking at one never keeps the
#: event loop for long.
MAX_EXAMINED = 262_144

# Literals, quoted names, comments and numbers. An executable comment
# (``/*!``) is not among them: its content is part of the statement. The
# possessive loops and the ends at ``\Z`` keep the time linear, and the set at
# the front lets the search skip ordinary text quickly.
_TOKEN = re.compile(
    rb"""
    ['"`/\#\-0-9](?:
    (?<=')(?:[^'\\]++|\\.|'')*+(?:'|\Z)
    | (?<=")(?:[^"\\]++|\\.|"")*+(?:"|\Z)
    | (?<=`)[^`]*+(?:`|\Z)
    | (?<=/)\*(?!M?!).*?(?:\*/|\Z)
    | (?<=\#)[^\n]*+
    | (?<=-)-(?=\s|\Z)[^\n]*+
    | (?<=[0-9])(?<![\w$@][0-9])[\w.]*+
    )
    """,
    re.VERBOSE | re.DOTALL,
)
_COMMENT_STARTS = b'/#-'
_LIST = re.compile(rb'\?(?:\s*,\s*\?)+')
_FIRST = re.compile(
    rb"""
    (?:[\s(]++ | /\*(?!M?!).*?\*/ | \#[^\n]*+\n | --\s[^\n]*+(?:\n|\Z))*+
    ([A-Za-z]++)
    """,
    re.VERBOSE | re.DOTALL,
)
_PLACEHOLDER = re.compile(b''.join((rb'(\?)|', _TOKEN.pattern)), _TOKEN.flags)

#: What makes a SELECT more than a certain read: locks, files, variables,
#: executable comments, and functions with side effects or whose value depends
#: on the connection.
_IMPURE = re.compile(
    rb"""
    \bFOR\s+(?:UPDATE|SHARE)\b | \bLOCK\s+IN\b | \bINTO\b | := | /\*M?! | @
    | \b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|IS_FREE_LOCK|IS_USED_LOCK
        |LAST_INSERT_ID|ROW_COUNT|FOUND_ROWS|SQL_CALC_FOUND_ROWS
        |CONNECTION_ID|NEXTVAL|SETVAL|LASTVAL|NEXT\s+VALUE
        |MASTER_POS_WAIT|SOURCE_POS_WAIT|WAIT_FOR_EXECUTED_GTID_SET
        |BENCHMARK|LOAD_FILE|SYS_EXEC|SYS_EVAL|UUID_SHORT)\b
    """,
    re.VERBOSE | re.IGNORECASE,
)
#: Functions of the database itself that only compute. Any other call could be
#: a stored function, which may write.
_PURE_CALLS = frozenset(
    b"""
    ABS ADDDATE ADDTIME AES_DECRYPT AES_ENCRYPT ANY_VALUE ASCII AVG BIN
    BINARY BIT_AND BIT_COUNT BIT_LENGTH BIT_OR BIT_XOR CAST CEIL CEILING
    CHAR CHAR_LENGTH CHARACTER_LENGTH COALESCE CONCAT CONCAT_WS CONV CONVERT
    CONVERT_TZ COS COT COUNT CRC32 CUME_DIST CURDATE CURRENT_DATE
    CURRENT_TIME CURRENT_TIMESTAMP CURTIME DATE DATE_ADD DATE_FORMAT
    DATE_SUB DATEDIFF DAY DAYNAME DAYOFMONTH DAYOFWEEK DAYOFYEAR DECIMAL
    DEGREES DENSE_RANK DISTINCT ELT EXISTS EXP EXPORT_SET EXTRACT FIELD
    FIND_IN_SET FIRST_VALUE FLOOR FORMAT FROM_BASE64 FROM_DAYS FROM_UNIXTIME
    GREATEST GROUP_CONCAT HEX HOUR IF IFNULL IN INDEX INET_ATON INET_NTOA
    INSERT INSTR INTERVAL ISNULL JSON_ARRAY JSON_ARRAYAGG JSON_CONTAINS
    JSON_CONTAINS_PATH JSON_DEPTH JSON_EXTRACT JSON_KEYS JSON_LENGTH
    JSON_OBJECT JSON_OBJECTAGG JSON_OVERLAPS JSON_QUOTE JSON_SEARCH
    JSON_TYPE JSON_UNQUOTE JSON_VALID JSON_VALUE KEY LAG LAST_DAY LAST_VALUE
    LCASE LEAD LEAST LEFT LENGTH LN LOCALTIME LOCALTIMESTAMP LOCATE LOG
    LOG10 LOG2 LOWER LPAD LTRIM MAKEDATE MAKETIME MATCH MAX MD5 MICROSECOND
    MID MIN MINUTE MOD MONTH MONTHNAME NOT NOW NTH_VALUE NTILE NULLIF
    OCT OCTET_LENGTH ON ORD OVER PERCENT_RANK PERIOD_ADD PERIOD_DIFF PI
    POSITION POW POWER QUARTER QUOTE RADIANS RAND RANK REGEXP_INSTR
    REGEXP_LIKE REGEXP_REPLACE REGEXP_SUBSTR REPEAT REPLACE REVERSE RIGHT
    ROUND ROW ROW_NUMBER RPAD RTRIM SEC_TO_TIME SECOND SHA SHA1 SHA2 SIGN
    SIN SLEEP SOUNDEX SPACE SQRT STD STDDEV STDDEV_POP STDDEV_SAMP
    STR_TO_DATE STRCMP SUBDATE SUBSTR SUBSTRING SUBSTRING_INDEX SUBTIME SUM
    SYSDATE TAN TIME TIME_FORMAT TIME_TO_SEC TIMEDIFF TIMESTAMP
    TIMESTAMPADD TIMESTAMPDIFF TO_BASE64 TO_DAYS TO_SECONDS TRIM TRUNCATE
    UCASE UNHEX UNIX_TIMESTAMP UPPER USING UTC_DATE UTC_TIME UTC_TIMESTAMP
    UUID VALUES VAR_POP VAR_SAMP VARIANCE WEEK WEEKDAY WEEKOFYEAR YEAR
    YEARWEEK AND OR XOR SELECT FROM WHERE HAVING JOIN UNION ALL ANY SOME AS
    BY THEN ELSE WHEN CASE BETWEEN LIKE IS EXCEPT INTERSECT LIMIT DIV FORCE
    USE IGNORE VARCHAR SIGNED UNSIGNED DATETIME DOUBLE FLOAT PARTITION
    """.split()
)
_CALL = re.compile(rb'(?<![\w$?.])([\w$?.]++)\s*+\(')
_CHANGES = re.compile(
    rb'\b(?:INSERT|UPDATE|DELETE|REPLACE)\s++(?!\()|;', re.IGNORECASE
)

_SESSION_STATE = frozenset((
    b'KILL', b'LOCK', b'UNLOCK', b'HANDLER', b'PREPARE', b'EXECUTE',
    b'DEALLOCATE', b'XA', b'SHUTDOWN', b'RESTART', b'CLONE', b'RESET',
    b'CHANGE', b'STOP', b'PURGE', b'PROMOTE', b'FOLLOW', b'WAIT', b'INSTALL',
    b'UNINSTALL', b'BINLOG', b'IMPORT',
))  # fmt: skip
_IMPLICIT_COMMIT = frozenset((
    b'CREATE', b'ALTER', b'DROP', b'RENAME', b'TRUNCATE', b'GRANT',
    b'REVOKE', b'ANALYZE', b'OPTIMIZE', b'REPAIR', b'CHECK', b'FLUSH',
    b'CACHE',
))  # fmt: skip
_READS = frozenset((b'SELECT', b'WITH', b'TABLE', b'VALUES'))
_TRANSACTION = frozenset((b'BEGIN', b'START', b'COMMIT', b'ROLLBACK'))
_DESCRIPTIONS = frozenset((b'DESCRIBE', b'DESC', b'EXPLAIN'))

_LOCAL = re.compile(
    rb"""
    SELECT\s(?!.*\bFROM\b).*(?:@@|\b(?:DATABASE|SCHEMA|VERSION|USER
        |CURRENT_USER|SESSION_USER|CONNECTION_ID|LAST_INSERT_ID)\s?\(\s?\)).*
    | SHOW\s(?:SESSION\s|GLOBAL\s)?(?:VARIABLES|WARNINGS|ERRORS
        |DATABASES|SCHEMAS|COLLATION|CHARSET|CHARACTER\sSET|ENGINES|STATUS
        |PROCESSLIST|FULL\sPROCESSLIST)\b.*
    """,
    re.VERBOSE | re.IGNORECASE | re.DOTALL,
)
_BEGIN = re.compile(
    rb'BEGIN(?: WORK)?|START TRANSACTION(?: (?:READ (?:ONLY|WRITE)'
    rb'|WITH CONSISTENT SNAPSHOT) ?,?)*',
)
_END = re.compile(rb'(?:COMMIT|ROLLBACK)(?: WORK)?')
_TO_SAVEPOINT = re.compile(rb'ROLLBACK (?:WORK )?TO ')


@attrs.frozen
class Statement:
    """A statement of a caller.

    :param sql: Its text as the caller sent it.
    :param kind: How it is treated.
    :param marks: What the caller says about it.
    :param read_only: Whether it begins a read-only transaction.
    :param commits: Whether it commits an open transaction first, as DDL does.
    """

    sql: bytes
    kind: StatementKind
    marks: Marks = Marks()
    read_only: bool = False
    commits: bool = False


@attrs.frozen
class Shape:
    """What statements that differ only in literals have in common.

    :param kind: How they are treated.
    :param read_only: Whether they begin a read-only transaction.
    :param commits: Whether they commit an open transaction first.
    """

    kind: StatementKind
    read_only: bool = False
    commits: bool = False


_READ = Shape(StatementKind.READ)
_WRITE = Shape(StatementKind.WRITE)
_DDL = Shape(StatementKind.WRITE, commits=True)
_LOCALLY = Shape(StatementKind.LOCAL)
_ALWAYS: dict[bytes, Shape] = {
    b'INSERT': _WRITE,
    b'UPDATE': _WRITE,
    b'DELETE': _WRITE,
    b'REPLACE': _WRITE,
    b'CALL': _WRITE,
    b'SAVEPOINT': _WRITE,
    b'RELEASE': _WRITE,
    b'SET': Shape(StatementKind.SET),
    b'USE': Shape(StatementKind.SET),
}


@attrs.define
class Classifier:
    """Classifies statements by their shape.

    :param capacity: How many shapes are kept; the least recently used one
        makes room.
    """

    capacity: int = 4096
    _shapes: OrderedDict[bytes, Shape] = attrs.Factory(OrderedDict)

    def parse(
        self, sql: bytes, attributes: Mapping[str, bytes | None] | None = None
    ) -> Statement:
        """Classify a statement and read its marks.

        :param sql: The statement's text.
        :param attributes: The query attributes of the request.
        :returns: The statement.
        :raises StatementError: If a pooled connection can't run it.
        """
        shape = self.shape(sql)
        return Statement(
            sql,
            shape.kind,
            marks.parse(sql, attributes),
            shape.read_only,
            shape.commits,
        )

    def shape(self, sql: bytes) -> Shape:
        """Classify a statement.

        :param sql: The statement's text.
        :returns: Its shape.
        """
        match = _FIRST.match(sql)
        if match is None:
            raise StatementError('the statement has no leading keyword')
        first = match[1].upper()
        known = _ALWAYS.get(first)
        if known is not None:
            return known
        if len(sql) > MAX_EXAMINED and first in _READS:
            return _WRITE
        text = normalize(sql).lstrip(b'( \t\r\n')
        shape = self._shapes.get(text)
        if shape is None:
            shape = _classify(first, text)
            self._keep(text, shape)
        else:
            self._shapes.move_to_end(text)
        return shape

    def _keep(self, text: bytes, shape: Shape) -> None:
        if len(text) > MAX_CACHED:
            return
        self._shapes[text] = shape
        if len(self._shapes) > self.capacity:
            self._shapes.popitem(last=False)


def normalize(sql: bytes) -> bytes:
    """Remove what does not belong to a statement's shape.

    :param sql: The statement's text.
    :returns: The text without comments and with ``?`` for literals and
        quoted names.
    """
    has_comment = b'/*' in sql or b'--' in sql or b'#' in sql
    text = _TOKEN.sub(_replacement if has_comment else b'?', sql)
    return _LIST.sub(b'?', text.strip(b'; \t\r\n'))


def _replacement(match: re.Match[bytes]) -> bytes:
    return b' ' if match[0][0] in _COMMENT_STARTS else b'?'


def split(sql: bytes) -> list[bytes]:
    """Split a prepared statement at its placeholders.

    :param sql: The statement's text.
    :returns: The texts between the placeholders.
    """
    parts = []
    start = 0
    for match in _PLACEHOLDER.finditer(sql):
        if match[1]:
            parts.append(sql[start : match.start()])
            start = match.end()
    parts.append(sql[start:])
    return parts


def _classify(first: bytes, text: bytes) -> Shape:
    if first in _READS:
        return _query(text)
    if first == b'SHOW':
        return _LOCALLY if _LOCAL.fullmatch(text) else _READ
    if first in _DESCRIPTIONS:
        analyzes = re.search(rb'\bANALYZE\b', text, re.IGNORECASE)
        return _WRITE if analyzes else _READ
    if first in _TRANSACTION:
        return _transaction(b' '.join(text.upper().split()))
    temporary = re.match(rb'\w+\s+TEMPORARY\b', text, re.IGNORECASE)
    if first in _SESSION_STATE or temporary:
        raise StatementError(
            f'{first.decode()} is not supported on pooled connections',
        )
    return _DDL if first in _IMPLICIT_COMMIT else _WRITE


def _query(text: bytes) -> Shape:
    if _LOCAL.fullmatch(text):
        return _LOCALLY
    if _IMPURE.search(text) or _CHANGES.search(text):
        return _WRITE
    calls = {call.upper() for call in _CALL.findall(text)}
    return _READ if calls <= _PURE_CALLS else _WRITE


def _transaction(words: bytes) -> Shape:
    if _TO_SAVEPOINT.match(words):
        return _WRITE
    if _BEGIN.fullmatch(words):
        return Shape(StatementKind.BEGIN, read_only=b'READ ONLY' in words)
    if _END.fullmatch(words):
        return Shape(StatementKind(words.split()[0].decode().lower()))
    raise StatementError('this form of transaction statement is not supported')
