"""Tests of a daemon's view of which backend server leads."""

from monsoonproxy.clock import Millis
from monsoonproxy.leadership import Leadership
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def test_accepted_transaction_overrides_claims() -> None:
    """Guards against a reported leader that outranks a confirmed one.

    Reports only name a likely leader; an accepted transaction confirms it.
    """
    leadership = Leadership()
    leadership.record_claim('a', Millis(1))
    assert leadership.likely_leader() == 'a'
    assert leadership.record_acceptance('b', 3)
    assert leadership.likely_leader() == 'b'
    assert not leadership.record_acceptance('b', 3)


def test_lower_term_is_ignored() -> None:
    """Guards against a late answer of a deposed leader that restores it."""
    leadership = Leadership()
    leadership.record_acceptance('new', 4)
    assert not leadership.record_acceptance('old', 3)
    assert leadership.leader == 'new'


def test_refusal_withdraws_claim() -> None:
    """Guards against writes that are still sent to a replaced primary.

    A report that is older than the primary's own refusal must not restore it.
    """
    leadership = Leadership()
    leadership.record_acceptance('a', 1)
    assert leadership.record_refusal('a', Millis(10))
    assert leadership.likely_leader() is None
    leadership.record_claim('a', Millis(9))
    assert leadership.likely_leader() is None
    leadership.record_claim('b', Millis(12))
    assert leadership.likely_leader() == 'b'


def test_removed_server_does_not_lead() -> None:
    """Guards against writes to a leader that was removed from the service."""
    leadership = Leadership()
    leadership.record_claim('a', Millis(1))
    leadership.record_acceptance('a', 1)
    assert leadership.forget('a')
    assert leadership.likely_leader() is None


def test_refusals_of_all() -> None:
    """Guards against replacing a leader that one backend server may be.

    A backend server that has not answered lately may lead.
    """
    leadership = Leadership()
    leadership.record_refusal('a', Millis(5))
    assert not leadership.have_all_refused(['a', 'b'], Millis(3))
    leadership.record_refusal('b', Millis(2))
    assert not leadership.have_all_refused(['a', 'b'], Millis(3))
    leadership.record_refusal('b', Millis(3))
    assert leadership.have_all_refused(['a', 'b'], Millis(3))
