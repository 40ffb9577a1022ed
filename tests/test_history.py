"""Tests of the history checks, on planted histories."""

import pathlib
import tempfile
from typing import Any
from unittest import mock

from emulator import audit_checks, checks, experiment
from emulator.cluster import Process
from emulator.history import (
    History,
    Kind,
    Operation,
    Row,
    Session,
    VersionSeen,
    check_all,
)
from monsoonproxy.models import Outcome
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

assert checks and audit_checks, 'importing them registers the checks'

_NOT_RUN, _UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN
_Found = set[str]


def _write(request: str, invoked: int, **fields: Any) -> Operation:
    caller = fields.pop('caller', 'anna')
    known: dict[str, Any] = {
        'kind': Kind.BOOKING,
        'items': ('k1',),
        'completed': invoked + 5,
        'outcome': Outcome.ANSWERED,
        'texts': (f'k1/{request}',),
    }
    return Operation(
        Session(caller, 1, 'd1'),
        request=request,
        invoked=invoked,
        **known | fields,
    )


def _transaction(request: str, attempt: int = 1, **fields: Any) -> Operation:
    texts = tuple(f'{item}/{request}.{attempt}' for item in ('k1', 'k2'))
    return _write(
        request,
        10 * attempt,
        kind=Kind.TRANSACTION,
        attempt=attempt,
        items=('k1', 'k2'),
        texts=texts,
        **fields,
    )


def _read(invoked: int, *rows: Row, **fields: Any) -> Operation:
    more = {'kind': Kind.ENQUIRY, 'texts': (), 'rows': rows, 'caller': 'bert'}
    return _write('r', invoked, **more | fields)


def _row(request: str, number: int = 1, item: str = 'k1') -> Row:
    return Row(number, item, f'{item}/{request}', request.partition('.')[0])


def _found(*operations: Operation, final: tuple[Row, ...] = ()) -> _Found:
    history = History(list(operations), final)
    return {violation.invariant for violation in check_all(history)}


def _audited(*statements: tuple[int, int, str]) -> _Found:
    lines = [
        {
            'kind': 'statement',
            'server': 'db1',
            'connection': connection,
            'transaction': f'db1-17-{transaction}',
            'sql': sql,
        }
        for connection, transaction, sql in statements
    ]
    violations = check_all(History(audits=lines))
    return {violation.invariant for violation in violations}


def test_good_history() -> None:
    """Guards against reports on a history that breaks nothing."""
    first, second = _row('a'), _row('b', 2)
    assert not _found(
        _write('a', 0),
        _read(5, first),
        _write('b', 10, outcome=_NOT_RUN, code=4100),
        _write('b', 20, attempt=2),
        _read(30, first, second, caller='anna'),
        _read(30, second, first, max_age=500),
        final=(first, second),
    )


def test_own_write_missed() -> None:
    """Guards against a session that doesn't see what it wrote."""
    write, late = _write('a', 0), _read(900, caller='anna', max_age=10_000)
    assert _found(write, late, final=(_row('a'),)) == {'own_writes_read'}
    moved = Session('anna', 2, 'd2', token=True)
    other = Operation(
        moved, Kind.ENQUIRY, 'r', ('k1',), 9, 12, Outcome.ANSWERED, max_age=50
    )
    assert _found(write, other, final=(_row('a'),)) == {'own_writes_read'}
    # Other keys, other callers and writes without acknowledgement.
    unknown = _write('b', 6, outcome=_UNKNOWN)
    elsewhere = _read(20, items=('k2',), caller='anna')
    older = _read(20, max_age=500)
    assert not _found(write, unknown, elsewhere, older, final=(_row('a'),))


def test_own_write_missed_in_transaction() -> None:
    """Guards against a transaction whose read ran on another connection."""
    seen = (_row('t1-1.1'), _row('t1-1.1', 2, 'k2'))
    assert not _found(_transaction('t1-1', rows=seen), final=seen)
    strange = _transaction('t1-1', rows=(_row('x'),))
    found = _found(strange, final=seen)
    assert found == {'own_writes_read_in_transaction'}


def test_lost_write() -> None:
    """Guards against losing what was acknowledged."""
    assert _found(_write('a', 0)) == {'acknowledged_writes_kept'}
    tries = (_write('a', 0, outcome=_UNKNOWN), _write('a', 10, attempt=2))
    assert _found(*tries) == {'acknowledged_writes_kept'}
    assert not _found(*tries, final=(_row('a'),))


def test_doubled_write() -> None:
    """Guards against a request that ran twice."""
    tries = (_write('a', 0, outcome=_UNKNOWN), _write('a', 10, attempt=2))
    twice = (_row('a'), _row('a', 2))
    assert _found(*tries, final=twice) == {'nothing_doubled'}
    # A second row that only a read has seen.
    read = _read(30, *twice)
    assert _found(*tries, read, final=(_row('a'),)) == {'nothing_doubled'}
    # Both tries of a transaction committed, each with its own texts.
    both = tuple(
        _row(f't1-1.{attempt}', number, item)
        for number, (attempt, item) in enumerate(
            ((1, 'k1'), (1, 'k2'), (2, 'k1'), (2, 'k2'))
        )
    )
    transactions = (
        _transaction('t1-1', outcome=_UNKNOWN),
        _transaction('t1-1', 2),
    )
    assert _found(*transactions, final=both) == {'nothing_doubled'}
    assert not _found(*transactions, final=both[:2])


def test_refused_write_ran() -> None:
    """Guards against an untrue ``not run``."""
    refused = _write('a', 0, outcome=_NOT_RUN)
    assert _found(refused, final=(_row('a'),)) == {'refused_writes_not_run'}
    failed = _write('a', 0, outcome=Outcome.FAILED)
    assert _found(failed, final=(_row('a'),)) == {'refused_writes_not_run'}
    assert _found(refused, _read(9, _row('a'))) == {'refused_writes_not_run'}
    # Another try explains the row, before or after the refusal.
    unknown = _write('a', 20, outcome=_UNKNOWN)
    assert not _found(refused, unknown, final=(_row('a'),))
    assert not _found(unknown, refused, final=(_row('a'),))
    # The tries of a transaction are told apart.
    tries = (_transaction('t1-1', outcome=_NOT_RUN), _transaction('t1-1', 2))
    rows = (_row('t1-1.1'), _row('t1-1.1', 2, 'k2'))
    assert _found(*tries, final=rows) == {'refused_writes_not_run'}


def test_unknown_write() -> None:
    """Guards against reports on either end of an unknown write."""
    unknown = _write('a', 0, outcome=_UNKNOWN)
    assert not _found(unknown, _read(500), _read(900))
    assert not _found(unknown, _read(10), _read(99, _row('a')))
    assert not _found(unknown, _read(10), final=(_row('a'),))


def test_foreign_answer() -> None:
    """Guards against answers of others, in pieces, or from nowhere."""
    write = _write('b', 0, items=('k2',), texts=('k2/b',))
    wrong = {'answers_whole_and_own'}
    rows = (_row('b', 1, 'k2'),)
    assert _found(write, _read(9, *rows), final=rows) == wrong
    assert _found(_read(9, _row('never'))) == wrong
    assert _found(_write('c', 20), _read(9, _row('c')), final=(_row('c'),))
    fixed = frozenset(('k1/x', 'k1/y'))
    parts = (_row('x'), _row('y', 2))
    assert not _found(_read(9, *parts, expected=fixed))
    assert _found(_read(9, parts[0], expected=fixed)) == wrong
    repeated = (*parts, parts[1])
    assert wrong <= _found(_read(9, *repeated, expected=fixed))


def test_stale_read() -> None:
    """Guards against reads beyond their age bound, and a bound too strict."""
    write = _write('a', 0, completed=100)
    final = (_row('a'),)
    stale = {'reads_fresh'}
    assert _found(write, _read(101), final=final) == stale
    assert _found(write, _read(601, max_age=500), final=final) == stale
    # Acknowledged in the ms of the bound, and after it.
    assert not _found(write, _read(100), final=final)
    assert not _found(write, _read(600, max_age=500), final=final)
    # Old by its completion, but not by its invocation.
    slow = _read(600, max_age=500, completed=5000)
    assert not _found(write, slow, final=final)
    # A refused read has no rows.
    assert not _found(write, _read(900, outcome=_NOT_RUN), final=final)


def test_torn_transaction() -> None:
    """Guards against a transaction of which a part took effect."""
    torn = (_row('t1-1.1', 2, 'k2'),)
    unknown = _transaction('t1-1', outcome=_UNKNOWN)
    assert _found(unknown, final=torn) == {'transactions_whole'}
    assert not _found(unknown)


def test_mixed_statements() -> None:
    """Guards against two transactions on one connection."""
    insert = "INSERT INTO ledger VALUES ('k1/{0}')".format
    record = "INSERT INTO monsoonproxy_requests VALUES ('t1-1')"
    mixed = {'transactions_unmixed'}
    own = [(1, 1, insert('t1-1.1')), (1, 1, insert('t1-1.1')), (1, 1, record)]
    after = [(1, 2, insert('t2-5.1')), (2, 3, insert('t1-1.2'))]
    assert not _audited(*own, *after)
    assert _audited(own[0], (1, 1, insert('t2-5.1')), own[1]) == mixed
    assert _audited(own[0], (1, 2, 'SELECT 1'), own[1]) == mixed
    # On another connection the same statement is no intruder.
    assert not _audited(own[0], (2, 2, 'SELECT 1'), own[1])
    split = _audited(own[0], (2, 2, insert('t1-1.1')))
    assert split == {'transactions_in_one_place'}


def test_lives_begin_with_the_process() -> None:
    """Guards against a life of a daemon that is counted as two.

    A daemon may have its configuration before it accepts callers.
    """
    with tempfile.TemporaryDirectory() as directory:
        log = pathlib.Path(directory, 'd1.log')
        log.write_text(
            '== process started ==\n'
            'Configuration version 1 is in force\n'
            'Accepting callers\n'
            'Configuration version 2 is in force\n'
            '== process started ==\n'
            'Configuration version 2 is in force\n'
        )
        process = Process('d1', '127.0.0.1:1', (), log)
        site = mock.Mock(daemons=[process])
        seen = experiment.versions(site)
    assert seen == [
        VersionSeen('d1 start 1', 1),
        VersionSeen('d1 start 1', 2),
        VersionSeen('d1 start 2', 2),
    ]


def test_version_went_back() -> None:
    """Guards against a daemon that returns to an older configuration."""
    seen = [
        VersionSeen('d1 start 1', 1),
        VersionSeen('d1 start 1', 3),
        VersionSeen('d2 start 1', 2),
        # A restarted daemon may have to learn the version again.
        VersionSeen('d1 start 2', 2),
    ]
    assert not check_all(History(versions=seen))
    seen.append(VersionSeen('d1 start 1', 2))
    found = check_all(History(versions=seen))
    assert [each.invariant for each in found] == ['versions_never_decrease']
