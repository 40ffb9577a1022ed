"""Tests of statement kinds and marks."""

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy import statements
from monsoonproxy.exceptions import MarksError, StatementError
from monsoonproxy.models import Marks
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_READ = r"""
SELECT a FROM b WHERE c = 'FOR UPDATE' AND d IN (1, 2, 3)
(SELECT a FROM b) UNION (SELECT c FROM d) LIMIT 1;
SELECT `into`, COUNT(*), NOW() FROM b -- INTO @x
SELECT SLEEP(1), REPLACE(a, 'x', 'y'), IF (a, 1, 2) FROM b
/* GET_LOCK() */ SELECT /*+ HINT(a) */ a FROM b # := @x
WITH c AS (SELECT 1) SELECT * FROM c WHERE EXISTS (SELECT 2)
SHOW TABLES
EXPLAIN SELECT 1
SELECT a FROM b; -- end
SELECT 'it''s \' INTO', "x;y" FROM b
"""
_WRITE = r"""
SELECT a FROM b FOR UPDATE
SELECT a FROM b FOR/* */SHARE
SELECT a FROM b LOCK IN SHARE MODE
SELECT a INTO OUTFILE '/x' FROM b
SELECT GET_LOCK('a', 1)
SELECT /*! SQL_CALC_FOUND_ROWS */ a FROM b
SELECT @a := 1
SELECT @a
SELECT a + LAST_INSERT_ID() FROM b
SELECT stored_function(1)
SELECT `stored`(1)
SELECT db.stored (1) FROM a
WITH c AS (SELECT 1) DELETE FROM d
EXPLAIN ANALYZE SELECT 1
SELECT 1; SELECT 2
SELECT 1; DROP TABLE a
CALL f()
INSERT INTO a SELECT 1
DROP TABLE a
SAVEPOINT a
ROLLBACK TO SAVEPOINT a
ROLLBACK WORK TO a
RELEASE SAVEPOINT a
SOMETHING NEW
"""
_BEGIN = r"""
BEGIN
/* x */ begin work;
START  TRANSACTION
START TRANSACTION READ ONLY
START TRANSACTION WITH CONSISTENT SNAPSHOT, READ WRITE
"""
_COMMIT = r"""
COMMIT
commit work;
"""
_ROLLBACK = r"""
ROLLBACK
ROLLBACK /* x */ ;
"""
_SET = r"""
SET autocommit=0
SET NAMES utf8mb4
USE a
SET @@x = 'a'
"""
_LOCAL = r"""
SELECT @@version_comment LIMIT 1
SELECT DATABASE()
/* driver */ SELECT @@session.auto_increment_increment AS a, @@b
SHOW VARIABLES LIKE 'sql_mode'
SHOW WARNINGS
SELECT LAST_INSERT_ID()
"""
_KINDS = {
    'read': _READ,
    'write': _WRITE,
    'begin': _BEGIN,
    'commit': _COMMIT,
    'rollback': _ROLLBACK,
    'set': _SET,
    'local': _LOCAL,
}
_REFUSED = (
    'KILL 1', 'LOCK TABLES a WRITE', 'COMMIT AND CHAIN', 'PROMOTE GROUP',
    'START SLAVE', 'CREATE TEMPORARY TABLE a (b INT)', '', "/*!1 SET a=1 */",
    'BEGIN; DELETE FROM a', 'PREPARE a FROM b',
)  # fmt: skip


def _refused(sql: str) -> bool:
    try:
        statements.Classifier().parse(sql.encode())
    except StatementError:
        return True
    return False


def test_kinds() -> None:
    """Guards against a write that is sent to a replica."""
    classifier = statements.Classifier()
    wrong = [
        (sql, kind, found)
        for kind, text in _KINDS.items()
        for sql in text.strip().splitlines()
        if (found := classifier.parse(sql.encode()).kind.value) != kind
    ]
    assert not wrong, wrong
    assert classifier.parse(b'START TRANSACTION READ ONLY').read_only
    assert classifier.parse(b'ALTER TABLE a ADD b INT').commits


def test_refused() -> None:
    """Guards against statements that change a pooled connection."""
    assert [sql for sql in _REFUSED if not _refused(sql)] == []


def test_bounded_shapes() -> None:
    """Guards against a cache that grows with the number of statements."""
    classifier = statements.Classifier(capacity=10)
    for number in range(50):
        classifier.parse(f'SELECT a{number} FROM b'.encode())
        classifier.parse(f'SELECT a FROM b WHERE c IN ({number}, 1)'.encode())
    assert len(classifier._shapes) == 10
    assert statements.normalize(b"SELECT 'a', 1.5, `b` /**/") == b'SELECT ?'


@given(st.lists(st.text(), min_size=1, max_size=5))
def test_literals(texts: list[str]) -> None:
    """Guards against the content of a literal taken for SQL."""
    quoted = ', '.join(
        "'{0}'".format(text.replace('\\', r'\\').replace("'", "''"))
        for text in texts
    )
    sql = f'SELECT a FROM b WHERE c IN (?, {quoted}) AND d = ?'.encode()
    assert statements.Classifier().parse(sql).kind.value == 'read'
    assert len(statements.split(sql)) == 3


def _marks(comment: str, **attributes: bytes) -> Marks | str:
    sql = f'SELECT a FROM b {comment}'.encode()
    try:
        return statements.Classifier().parse(sql, attributes).marks
    except MarksError as exc:
        return str(exc)


def test_marks() -> None:
    """Guards against marks that are lost or mixed up."""
    comment = (
        "/* action='%2Fa%20b',max_age_ms='500',deadline_ms='10' ,"
        "repeatable='false',request_id='a%3Ab',class='return',token='x_-='*/ ;"
    )
    whole = Marks(500, 10, False, 'a:b', 'return', 'x_-=')
    assert _marks(comment) == whole
    assert _marks("/*max_age_ms='500'*/", max_age_ms=b'7') == Marks(7)
    assert _marks('', request_id=b'r', traceparent=b'x') == Marks(
        request_id='r'
    )
    assert _marks("/* note = 1, key='a' */") == Marks()
    assert _marks("/* max_age_ms='1' */ AND c = '*/'") == Marks()


def test_bad_marks() -> None:
    """Guards against a bad mark that is ignored or not named."""
    for pair in (
        "max_age_ms='-1'", "max_age_ms='3600001'", "max_age_ms='1.5'",
        "deadline_ms='0'", "deadline_ms='25001'", "repeatable='yes'",
        "request_id=''", "request_id='a%20b'",
        "request_id='a%27b'", "class='%'", "token='!'",
        'max_age_ms=500', "a='b', deadline_ms=\"5\"", "max_age_ms='%D9%A1'",
    ):  # fmt: skip
        message = _marks(f'/* {pair} */')
        key = pair.rpartition(', ')[2].split('=')[0]
        assert isinstance(message, str), pair
        assert message.startswith(f'mark {key}:'), message
