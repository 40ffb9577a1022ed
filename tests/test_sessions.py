"""Tests of sessions."""

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy import messages, sessions
from monsoonproxy.models import Marks, Position
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_POSITIONS = st.builds(Position, st.integers(0, 5), st.integers(0, 50))


@given(st.lists(_POSITIONS, min_size=1))
def test_floor_rises(positions: list[Position]) -> None:
    """Guards against a floor that moves down."""
    session = sessions.Session(1, 'hire')
    for position in positions:
        session.raise_floor(position)
    assert session.floor == max(positions)


def _end(*, floor: tuple[int, int] | None, inside: bool) -> messages.ResultEnd:
    return messages.ResultEnd(1, 0, 1, 9, 2, floor, inside, 'a', '')


def test_finish() -> None:
    """Guards against an answer that leaves the session as it was."""
    session = sessions.Session(1, 'hire')
    session.apply_reply(_end(floor=(2, 5), inside=True))
    session.apply_reply(_end(floor=(1, 9), inside=True))
    assert session.floor == Position(2, 5)
    assert (session.insert_id, session.warnings) == (9, 2)
    session.apply_reply(messages.Failure(1, 1064, '42000', 'x', True))
    assert session.in_transaction
    session.apply_reply(messages.Unknown(1, 'x'))
    assert not session.in_transaction


def test_merge() -> None:
    """Guards against defaults that override a request's own marks."""
    session = sessions.Session(1, 'hire', defaults=Marks(500, 100))
    assert session.merge(Marks(max_age=0)) == Marks(0, 100)


def test_renew() -> None:
    """Guards against a floor that is lost or moves to another service."""
    session = sessions.Session(1, 'hire', Position(1, 2), in_transaction=True)
    same = session.renew(2, 'hire')
    assert (same.floor, same.in_transaction) == (Position(1, 2), False)
    assert session.renew(3, 'other').floor is None
