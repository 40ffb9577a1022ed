"""Calls of the specification into the package, with results kept."""

import functools
from typing import Any

from monsoonproxy import elections, quorum
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Position, Role

Log = tuple[tuple[int, int], ...]

_NAMES = ('a', 'b', 'c')
NEEDED = quorum.majority(len(_NAMES))


@functools.cache
def is_acknowledged(
    known: tuple[int, quorum.Lineage],
    offsets: tuple[int, ...],
    position: Position,
) -> bool:
    """Tell whether a view acknowledges a write.

    :param known: The term that the view knows, and its term starts.
    :param offsets: What each member has of that term's log; 0 for nothing.
    :param position: Position of the write.
    :returns: Whether the write is acknowledged.
    """
    term, lineage = known
    view = quorum.GroupView(_NAMES)
    for name, offset in zip(_NAMES, offsets, strict=True):
        if offset:
            report = build_report(term, '', term, offset, lineage)
            view.observe(name, report, Millis(0), Millis(0))
    return view.acknowledged(position)


@functools.cache
def best_end(ends: tuple[tuple[int, ...], ...]) -> tuple[int, ...]:
    """Return the log end of the member that is promoted.

    :param ends: Log ends in the answers of a majority.
    :returns: One of them.
    """
    grants = {
        str(number): build_report(0, '', term, received)
        for number, (term, received) in enumerate(ends)
    }
    name = elections.choose_primary(grants, NEEDED)
    return elections.log_end(grants[name or ''])


@functools.cache
def build_report(
    promised: int,
    candidate: str,
    term: int,
    received: int,
    starts: quorum.Lineage = (),
) -> BackendReport:
    """Build a report.

    :param promised: Promised term.
    :param candidate: Who was granted it.
    :param term: Term of the last log entry.
    :param received: Offset of the last log entry.
    :param starts: Term starts of the log.
    :returns: The report.
    """
    return BackendReport(
        name='',
        role=Role.REPLICA,
        promised_term=promised,
        candidate=candidate,
        log_term=term,
        received=received,
        applied=received,
        source_silence=Millis(0),
        term_starts=starts,
    )


@functools.cache
def term_starts(log: Log) -> quorum.Lineage:
    """Return the first offset of each term of a log.

    :param log: The log.
    :returns: The lineage.
    """
    starts: dict[int, int] = {}
    for offset, (term, _write) in enumerate(log, start=1):
        starts.setdefault(term, offset)
    return tuple(starts.items())


@functools.cache
def may_serve(
    log: Log, term: int, lineage: quorum.Lineage, floor: Position
) -> bool:
    """Tell whether a member may serve a read.

    :param log: Its log.
    :param term: The term that the holder knows.
    :param lineage: Term starts of that term's log.
    :param floor: The session's floor.
    :returns: Whether the read may be served.
    """
    report = build_report(term, '', log[-1][0], len(log))
    return quorum.covers(report, term, lineage, floor)


def put(items: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    """Return a tuple with one item replaced.

    :param items: The tuple.
    :param index: The place of the item.
    :param value: The new item.
    :returns: The new tuple.
    """
    return (*items[:index], value, *items[index + 1 :])


def put_log(
    logs: tuple[tuple[int, Log], ...], term: int, log: Log
) -> tuple[tuple[int, Log], ...]:
    """Return the logs of the terms' primaries with one replaced.

    :param logs: The logs.
    :param term: The term.
    :param log: Its new log.
    :returns: The new logs.
    """
    return tuple(sorted({**dict(logs), term: log}.items()))
