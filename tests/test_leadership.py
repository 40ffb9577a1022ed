"""Tests of the leadership about who leads."""

from monsoonproxy.clock import Millis
from monsoonproxy.leadership import Leadership
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def test_accepted_transaction_overrides_claims() -> None:
    """Guards against a leadership that follows rumours only."""
    leadership = Leadership()
    leadership.record_claim('a', Millis(1))
    assert leadership.likely_leader() == 'a'
    assert leadership.record_acceptance('b', 3)
    assert leadership.likely_leader() == 'b'
    assert not leadership.record_acceptance('b', 3)


def test_lower_term_is_ignored() -> None:
    """Guards against an answer of an earlier leader that comes late."""
    leadership = Leadership()
    leadership.record_acceptance('new', 4)
    assert not leadership.record_acceptance('old', 3)
    assert leadership.leader == 'new'


def test_refusal_withdraws_claim() -> None:
    """Guards against writes that go on to a replaced primary."""
    leadership = Leadership()
    leadership.record_acceptance('a', 1)
    assert leadership.record_refusal('a', Millis(10))
    assert leadership.likely_leader() is None
    leadership.record_claim('a', Millis(9))
    assert leadership.likely_leader() is None
    leadership.record_claim('b', Millis(12))
    assert leadership.likely_leader() == 'b'


def test_removed_server_does_not_lead() -> None:
    """Guards against a leader that has left the list."""
    leadership = Leadership()
    leadership.record_claim('a', Millis(1))
    leadership.record_acceptance('a', 1)
    assert leadership.forget('a')
    assert leadership.likely_leader() is None
