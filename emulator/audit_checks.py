"""Checks of the audit logs: which statements ran on which connection."""

import collections
import re
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from emulator.history import History, check

#: Marks of transactions as the load generator writes them: request id and,
#: except in the record of the request id, the number of the try.
_OWNER = re.compile(r'\b(t\d+-\d+)(?:\.(\d+))?\b')
_Line = dict[str, Any]


@attrs.frozen
class _Statement:
    """A statement line of an audit log.

    :param request: Request id of its transaction; empty if it has none.
    :param mark: Request id and try; empty if the statement doesn't have them.
    :param place: Server and the server's name of the transaction.
    :param sql: Text.
    """

    request: str
    mark: str
    place: str
    sql: str


@check
def transactions_unmixed(history: History) -> Iterable[str]:
    """Check that transactions share no connection while they are open.

    :param history: The history.
    :yields: Statements of others between the first and the last statement of
        a transaction on its connection, and transactions in several places.
    """
    for connection, statements in _by_connection(history.audits).items():
        for intruder, mark in _intruders(statements):
            yield f'{connection}: {intruder.sql!r} ran within {mark}'


@check
def transactions_in_one_place(history: History) -> Iterable[str]:
    """Check that all statements of a transaction's try ran in one transaction.

    :param history: The history.
    :yields: Tries that ran in several transactions of the backend servers.
    """
    places: dict[str, set[str]] = collections.defaultdict(set)
    for statement in _statements(history.audits):
        if statement.mark:
            places[statement.mark].add(statement.place)
    for owner, found in places.items():
        if len(found) > 1:
            yield f'{owner} ran in several transactions: {sorted(found)}'


def _intruders(
    statements: list[_Statement],
) -> Iterator[tuple[_Statement, str]]:
    last = {
        statement.mark: index
        for index, statement in enumerate(statements)
        if statement.mark
    }
    current = statements[0]
    for index, statement in enumerate(statements):
        if index > last.get(current.mark, -1):
            current = statement
        elif statement.request != current.request:
            yield statement, current.mark


def _by_connection(lines: Iterable[_Line]) -> dict[str, list[_Statement]]:
    found: dict[str, list[_Statement]] = collections.defaultdict(list)
    for line in lines:
        if line['kind'] == 'statement':
            # Connection ids start over when a server does. The name of a
            # transaction holds the start of its server.
            start = line['transaction'].rpartition('-')[0]
            found[f'{start} connection {line["connection"]}'].append(
                _statement(line)
            )
    return found


def _statements(lines: Iterable[_Line]) -> Iterator[_Statement]:
    for line in lines:
        if line['kind'] == 'statement':
            yield _statement(line)


def _statement(line: _Line) -> _Statement:
    match = _OWNER.search(line['sql'])
    request, attempt = match.groups() if match else ('', None)
    mark = f'{request}.{attempt}' if attempt else ''
    return _Statement(
        request, mark, f'{line["server"]} {line["transaction"]}', line['sql']
    )


def replica_share(lines: Iterable[_Line], table: str) -> tuple[int, int]:
    """Count reads outside transactions by who served them.

    :param lines: Lines of the audit logs, in order for each server.
    :param table: A word that the reads to be counted contain.
    :returns: The reads served by replicas, and all.
    """
    primaries: dict[str, bool] = {}
    counts = collections.Counter[bool]()
    for line in lines:
        server = line['server']
        if line['kind'] in {'promote', 'follow'}:
            primaries[server] = line['kind'] == 'promote'
        elif _is_read(line, table):
            counts[primaries.get(server, False)] += 1
    return counts[False], counts.total()


def _is_read(line: _Line, table: str) -> bool:
    sql = line.get('sql', '')
    if not sql.startswith('SELECT') or table not in sql:
        return False
    return _OWNER.search(sql) is None
