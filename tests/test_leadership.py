"""Tests of the belief about who leads."""

from monsoonproxy.clock import Millis
from monsoonproxy.leadership import Leadership
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def test_accepted_transaction_decides() -> None:
    """Guards against a belief that follows rumours only."""
    belief = Leadership()
    belief.said('a', Millis(1))
    assert belief.believed() == 'a'
    assert belief.accepted('b', 3)
    assert belief.believed() == 'b'
    assert not belief.accepted('b', 3)


def test_lower_term_is_ignored() -> None:
    """Guards against an answer of an earlier leader that comes late."""
    belief = Leadership()
    belief.accepted('new', 4)
    assert not belief.accepted('old', 3)
    assert belief.leader == 'new'


def test_refused_rumour_is_dropped() -> None:
    """Guards against writes that go on to a replaced primary."""
    belief = Leadership()
    belief.accepted('a', 1)
    assert belief.refused('a', Millis(10))
    assert belief.believed() is None
    belief.said('a', Millis(9))
    assert belief.believed() is None
    belief.said('b', Millis(12))
    assert belief.believed() == 'b'


def test_gone_server_does_not_lead() -> None:
    """Guards against a leader that has left the list."""
    belief = Leadership()
    belief.said('a', Millis(1))
    belief.accepted('a', 1)
    assert belief.gone('a')
    assert belief.believed() is None
