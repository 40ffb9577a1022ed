"""Tests of the session state that the entry side keeps for a caller."""

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy import messages, sessions
from monsoonproxy.models import Marks, Position
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_POSITIONS = st.builds(Position, st.integers(0, 5), st.integers(0, 50))


@given(st.lists(_POSITIONS, min_size=1))
def test_floor_rises(positions: list[Position]) -> None:
    """Guards against a floor that falls when a lower position follows.

    A replica without the caller's own writes could then answer.
    """
    session = sessions.Session(1, 'hire')
    for position in positions:
        session.raise_floor(position)
    assert session.floor == max(positions)


def _end(
    *, floor: tuple[int, int] | None, in_transaction: bool
) -> messages.ResultEnd:
    return messages.ResultEnd(1, 0, 1, 9, 2, floor, in_transaction, 'a', '')


def test_apply_reply() -> None:
    """Guards against session state that does not follow the answers.

    Each answer carries the floor, the insert id, the warning count and whether
    a transaction is open; an unknown outcome ends the transaction.
    """
    session = sessions.Session(1, 'hire')
    session.apply_reply(_end(floor=(2, 5), in_transaction=True))
    session.apply_reply(_end(floor=(1, 9), in_transaction=True))
    assert session.floor == Position(2, 5)
    assert (session.insert_id, session.warnings) == (9, 2)
    session.apply_reply(messages.Failure(1, 1064, '42000', 'x', True))
    assert session.in_transaction
    session.apply_reply(messages.Unknown(1, 'x'))
    assert not session.in_transaction


def test_merge_marks() -> None:
    """Guards against session defaults that override marks of the request."""
    session = sessions.Session(1, 'hire', defaults=Marks(500, 100))
    assert session.merge(Marks(max_age=0)) == Marks(0, 100)


def test_floor_after_reset() -> None:
    """Guards against a reset that loses the floor or keeps it wrongly.

    Positions of one service have no meaning for another service.
    """
    session = sessions.Session(1, 'hire', Position(1, 2), in_transaction=True)
    same = session.renew(2, 'hire')
    assert (same.floor, same.in_transaction) == (Position(1, 2), False)
    assert session.renew(3, 'other').floor is None
