"""Tests of the tokens that order promotions, against a store in memory."""

from collections.abc import Iterator

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import PlatformError
from monsoonproxy.stores import StoreRow, TableRows, Table
from monsoonproxy.tokenbook import TokenBook
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_SERVICE = 'ledger'
_TAKEOVER = Millis(2_500)


class _Rows:
    """A store of one table, which can lose the answers to writes."""

    def __init__(self) -> None:
        self.lost_answers = 0
        self._row = StoreRow(_SERVICE, None, 0)

    async def read(self, _table: Table) -> TableRows:
        rows = (self._row,) if self._row.version else ()
        return TableRows(rows, self._row.version)

    async def write(
        self, _table: Table, key: str, content: bytes, expected: int
    ) -> StoreRow:
        if self._row.version == expected:
            self._row = StoreRow(key, content, expected + 1)
        if self.lost_answers:
            self.lost_answers -= 1
            raise PlatformError('no answer')
        return self._row


@fixture
def rows() -> Iterator[_Rows]:
    """Yield an empty store."""
    yield _Rows()


async def test_one_daemon_gets_a_token(rows: _Rows) -> None:
    """Guards against two daemons with the same token (ONE)."""
    books = [_book('front-0', rows), _book('front-1', rows)]
    assert await books[0].claim(_SERVICE, 'db-1') == 1
    # The second one has read the table before the first one wrote.
    assert await books[1].claim(_SERVICE, 'db-2') == 2
    assert await books[0].claim(_SERVICE, 'db-1') is None


async def test_lost_answer(rows: _Rows) -> None:
    """Guards against a claim whose own daemon takes it for another's."""
    book = _book('front-0', rows)
    rows.lost_answers = 1
    assert await book.claim(_SERVICE, 'db-1') == 1
    assert await book.claim(_SERVICE, 'db-1') == 2


async def test_tokens_grow_beyond_what_was_told(rows: _Rows) -> None:
    """Guards against an order with a token that is outdated (ONE)."""
    book = _book('front-0', rows)
    book.heard(_SERVICE, 7, Millis(0))
    assert await book.claim(_SERVICE, 'db-1') == 8


def test_order_of_another_is_waited_for() -> None:
    """Guards against a second promotion while one is under way."""
    book = _book('front-0', _Rows())
    assert not book.taken_by_other(_SERVICE, _TAKEOVER, Millis(0))
    book.heard(_SERVICE, 3, Millis(100))
    assert book.taken_by_other(_SERVICE, _TAKEOVER, Millis(2_000))
    assert not book.taken_by_other(_SERVICE, _TAKEOVER, Millis(2_700))


def _book(name: str, rows: _Rows) -> TokenBook:
    return TokenBook(name, rows)  # type: ignore[arg-type]
