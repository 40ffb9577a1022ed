"""Checks of histories, one per invariant; each takes near-linear time.

Callers only append rows, so that a list of appends per key shows what a read
must contain and what was lost or doubled. Importing this module registers
the checks.
"""

import bisect
import collections
from collections.abc import Iterable, Iterator

from emulator.history import History, Kind, Operation, check
from monsoonproxy.models import Outcome

_Wanted = tuple[str, str]
#: Writes in order of completion, by caller and item.
_Writes = dict[tuple[str, str], list[Operation]]


def _wanted(operation: Operation) -> Iterator[_Wanted]:
    """Yield item and request of each row that a write appends."""
    for item in operation.items:
        yield item, operation.request


def _contents(operation: Operation) -> set[_Wanted]:
    return {(row.item, row.request) for row in operation.rows}


@check
def own_writes_read(history: History) -> Iterable[str]:
    """Check that callers read their own acknowledged writes.

    A caller has one operation in flight at a time, so all its earlier
    operations precede a read, on whichever daemon they ran.

    :param history: The history.
    :yields: Reads that miss a write, and transactions that miss their own.
    """
    own: _Writes = collections.defaultdict(list)
    for operation in history.operations:
        if not operation.answered:
            continue
        caller = operation.session.caller
        if operation.is_read:
            earlier = own[caller, operation.items[0]]
            yield from _missing(operation, earlier, 'its own write')
            continue
        for item in operation.items:
            own[caller, item].append(operation)


@check
def own_writes_read_in_transaction(history: History) -> Iterable[str]:
    """Check that a transaction reads what it has written itself.

    :param history: The history.
    :yields: Tries of transactions that didn't.
    """
    for operation in history.writes():
        if operation.kind is Kind.TRANSACTION and operation.rows:
            if operation.texts[0] not in {row.text for row in operation.rows}:
                yield f'{operation} misses its own uncommitted write'


def _missing(
    read: Operation, writes: Iterable[Operation], what: str
) -> Iterator[str]:
    item = read.items[0]
    present = _contents(read)
    for write in writes:
        if (item, write.request) not in present:
            yield f'{read} with max_age {read.max_age} misses {what} {write}'


@check
def acknowledged_writes_kept(history: History) -> Iterable[str]:
    """Check that the final state has every acknowledged write.

    :param history: The history.
    :yields: Lost writes.
    """
    final = {(row.item, row.request) for row in history.final}
    for write in history.acknowledged():
        for wanted in _wanted(write):
            if wanted not in final:
                yield f'{write} is lost: no row for {wanted[0]}'


@check
def nothing_doubled(history: History) -> Iterable[str]:
    """Check that each request took effect at most once.

    :param history: The history.
    :yields: Requests with several rows for an item, at the end or in a read.
    """
    answers = [('the final state', history.final)]
    answers.extend((str(read), read.rows) for read in history.reads())
    for place, rows in answers:
        counts = collections.Counter((row.item, row.request) for row in rows)
        for wanted, count in counts.items():
            if count > 1:
                yield f'{wanted} is {count} times in {place}'


@check
def refused_writes_not_run(history: History) -> Iterable[str]:
    """Check that a write whose every try was refused or failed is nowhere.

    Tries of one request that send the same text are judged together, since
    one that was acknowledged or unknown explains the row. The tries of a
    transaction send different texts, and each is judged by itself.

    :param history: The history.
    :yields: Rows of such writes, at the end or in a read.
    """
    not_run = {Outcome.NOT_RUN, Outcome.FAILED}
    refused: dict[str, Operation] = {}
    explained: set[str] = set()
    for write in history.writes():
        for text in write.texts:
            if write.outcome in not_run:
                refused[text] = write
            else:
                explained.add(text)
    wrong = refused.keys() - explained
    answers = [('the final state', history.final)]
    answers.extend((str(read), read.rows) for read in history.reads())
    for place, rows in answers:
        for row in rows:
            if row.text in wrong:
                yield f'{refused[row.text]} is in {place}'


@check
def answers_whole_and_own(history: History) -> Iterable[str]:
    """Check that a read has exactly rows that belong to its question.

    :param history: The history.
    :yields: Answers with a foreign, repeated, unknown or missing row.
    """
    invoked: dict[str, int] = {}
    for write in history.writes():
        for text in write.texts:
            invoked[text] = min(write.invoked, invoked.get(text, write.invoked))
    for read in history.reads():
        for problem in _strange_rows(read, invoked):
            yield f'{read}: {problem}'


def _strange_rows(read: Operation, invoked: dict[str, int]) -> Iterator[str]:
    texts = {row.text for row in read.rows}
    numbers = {row.number for row in read.rows}
    if len(numbers) < len(read.rows):
        yield 'a row came twice'
    for row in read.rows:
        if row.item != read.items[0] or not row.text.startswith(f'{row.item}/'):
            yield f'{row} belongs to another question'
    if read.expected is not None:
        if texts != read.expected:
            wrong = sorted(texts ^ read.expected)
            yield f'{len(wrong)} rows are missing or foreign: {wrong[:3]}'
        return
    for written in texts:
        if invoked.get(written, read.completed + 1) > read.completed:
            yield f'{written} was not written before'


@check
def reads_fresh(history: History) -> Iterable[str]:
    """Check that reads are within their age bound.

    A read with ``max_age`` m that was invoked at i contains every write that
    was acknowledged before i - m. Nothing follows for writes acknowledged
    later, although they may be older than m when the answer arrives: the
    daemon may have judged the data at any time from i on. Times are whole
    ms rounded down, for which strictly earlier is implied by the real times.

    :param history: The history.
    :yields: Reads that miss an older write.
    """
    writes: dict[str, list[Operation]] = collections.defaultdict(list)
    for write in sorted(history.acknowledged(), key=_completion):
        for item in write.items:
            writes[item].append(write)
    for read in history.reads():
        earlier = writes[read.items[0]]
        bound = read.invoked - read.max_age
        due = bisect.bisect_left(earlier, bound, key=_completion)
        yield from _missing(read, earlier[:due], 'the older write')


def _completion(operation: Operation) -> int:
    return operation.completed


@check
def transactions_whole(history: History) -> Iterable[str]:
    """Check that each try of a transaction took effect wholly or not at all.

    :param history: The history.
    :yields: Transactions with only some of their rows in the final state.
    """
    final = {row.text for row in history.final}
    for write in history.writes():
        if write.kind is Kind.TRANSACTION:
            present = sum(text in final for text in write.texts)
            if 0 < present < len(write.texts):
                yield f'{write}: {present} of {len(write.texts)} rows'


@check
def versions_never_decrease(history: History) -> Iterable[str]:
    """Check that a daemon never goes back to an older configuration.

    :param history: The history.
    :yields: Daemons that did.
    """
    highest: dict[str, int] = {}
    for seen in history.versions:
        before = highest.get(seen.daemon, 0)
        if seen.version < before:
            yield f'{seen.daemon} went from {before} to {seen.version}'
        highest[seen.daemon] = max(before, seen.version)
