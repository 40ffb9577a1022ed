"""The callers' requests as statements on a ledger and a catalogue."""

from collections.abc import Sequence

import attrs

from emulator.callers import PATIENCE, Link, RequestError
from emulator.history import Kind, Row
from monsoonproxy.models import CONFIRMATION, ENQUIRY, RETURN, Outcome

#: Deadline in ms that the callers mark their requests with.
DEADLINE = 3_000
#: Items of the catalogue.
PARTS = 10
_COLUMNS = 'number, item, body, request'
_TABLE = (
    'CREATE TABLE IF NOT EXISTS {0} (number BIGINT AUTO_INCREMENT PRIMARY KEY,'
    ' item VARCHAR(64), body VARCHAR(128), request VARCHAR(64))'
)
_DUPLICATE_KEY = 1062
CLASSES = {
    Kind.BOOKING: CONFIRMATION,
    Kind.TRANSACTION: CONFIRMATION,
    Kind.RETURN: RETURN,
    Kind.ENQUIRY: ENQUIRY,
}


@attrs.frozen
class Job:
    """A request that a caller is to make.

    :param kind: What to ask.
    :param request: Request id.
    :param items: The keys.
    :param max_age: Age bound of a read.
    :param catalogue: Whether it reads rows that never change.
    """

    kind: Kind
    request: str
    items: tuple[str, ...]
    max_age: int = 0
    catalogue: bool = False

    def marks(self, **more: object) -> str:
        """Return the comment with the marks of a statement.

        :param more: Further marks.
        :returns: The comment.
        """
        known = {'class': CLASSES[self.kind], 'deadline_ms': DEADLINE}
        marks = (known | more).items()
        return '/* {0} */'.format(
            ','.join(f"{name}='{mark}'" for name, mark in marks)
        )


async def run(link: Link, job: Job, texts: Sequence[str]) -> tuple[Row, ...]:
    """Make one try of a request.

    :param link: The connection.
    :param job: The request.
    :param texts: What it appends.
    :returns: What it read.
    :raises RequestError: If there is no answer.
    """
    limit = DEADLINE / 1000 + PATIENCE
    if job.kind is Kind.ENQUIRY:
        table = 'parts' if job.catalogue else 'ledger'
        marks = job.marks(max_age_ms=job.max_age)
        sql = f"SELECT {_COLUMNS} FROM {table} WHERE item = '{job.items[0]}'"
        return _rows(await link.run(f'{sql} {marks}', limit))
    marks = job.marks(request_id=job.request, repeatable='false')
    if job.kind is not Kind.TRANSACTION:
        await link.run(f'{_insert(job, 0, texts)} {marks}', limit)
        return ()
    try:
        rows = await _before_commit(link, job, texts)
    except RequestError as exc:
        # Without COMMIT a transaction must not take effect, whatever became
        # of its connection.
        raise attrs.evolve(exc, outcome=Outcome.NOT_RUN) from exc
    await link.run(f'COMMIT {marks}', limit)
    return rows


async def _before_commit(
    link: Link, job: Job, texts: Sequence[str]
) -> tuple[Row, ...]:
    limit = DEADLINE / 1000 + PATIENCE
    marks = job.marks()
    await link.run(f'BEGIN {marks}', limit)
    await link.run(f'{_insert(job, 0, texts)} {marks}', limit)
    # The condition holds for all rows; it names the transaction's try.
    own = texts[0].partition('/')[2]
    condition = f"item = '{job.items[0]}' AND request <> '{own}'"
    found = await link.run(
        f'SELECT {_COLUMNS} FROM ledger WHERE {condition} {marks}', limit
    )
    await link.run(f'{_insert(job, 1, texts)} {marks}', limit)
    return _rows(found)


def _insert(job: Job, index: int, texts: Sequence[str]) -> str:
    shown = f"'{job.items[index]}', '{texts[index]}', '{job.request}'"
    return f'INSERT INTO ledger (item, body, request) VALUES ({shown})'


def texts_of(job: Job, attempt: int) -> tuple[str, ...]:
    """Return what a try of a request appends.

    :param job: The request.
    :param attempt: The number of the try.
    :returns: One text per item; none for an enquiry.
    """
    if job.kind is Kind.ENQUIRY:
        return ()
    mark = job.request
    if job.kind is Kind.TRANSACTION:
        mark = f'{mark}.{attempt}'
    return tuple(f'{item}/{mark}' for item in job.items)


def _rows(found: Sequence[tuple]) -> tuple[Row, ...]:
    return tuple(Row(int(number), *rest) for number, *rest in found)


def parts(item: str) -> frozenset[str]:
    """Return the texts of an item of the catalogue.

    :param item: The item.
    :returns: From 1 text to some hundred, by the item's number.
    """
    count = 1 + 40 * int(item[1:])
    return frozenset(f'{item}/{number}' for number in range(count))


async def prepare(link: Link) -> None:
    """Create the tables and fill the catalogue.

    :param link: A connection to a daemon.
    """
    for table in ('ledger', 'parts'):
        await link.run(_TABLE.format(table), PATIENCE)
    for part in range(PARTS):
        item = f'p{part}'
        start = 1000 * part + 1
        rows = ','.join(
            f"({start + index}, '{item}', '{text}', '{text}')"
            for index, text in enumerate(sorted(parts(item)))
        )
        try:
            await link.run(
                f'INSERT INTO parts ({_COLUMNS}) VALUES {rows}', PATIENCE
            )
        except RequestError as exc:
            # An earlier try without acknowledgement has written them.
            if exc.code != _DUPLICATE_KEY:
                raise


async def read_ledger(link: Link) -> tuple[Row, ...]:
    """Read all rows.

    :param link: A connection to a backend server.
    :returns: The rows.
    """
    return _rows(await link.run(f'SELECT {_COLUMNS} FROM ledger', PATIENCE))
