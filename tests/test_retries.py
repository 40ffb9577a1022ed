"""Tests of the retry budget, the backoff and the rule for retries."""

import random

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy.clock import Millis
from monsoonproxy.models import StatementKind
from monsoonproxy.retries import Backoff, RetryBudget, RetryRules, may_retry
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_RULES = RetryRules()


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 50)), max_size=300))
def test_budget_never_exceeded(events: list[tuple[bool, int]]) -> None:
    """Guards against retries that multiply the load of an outage."""
    budget = RetryBudget(_RULES)
    now = Millis(0)
    firsts = 0
    retries = 0
    for is_retry, pause in events:
        now = Millis(now + pause)
        if is_retry:
            retries += budget.take(now)
        else:
            firsts += 1
            budget.record_try(now)
        earned = _RULES.ratio * firsts + _RULES.floor * (1 + now / 1000)
        assert retries <= earned + 1e-6
        assert budget.tokens <= _RULES.burst


def test_budget_allows_its_ratio() -> None:
    """Guards against a budget that refuses retries within its ratio."""
    budget = RetryBudget(_RULES)
    allowed = 0
    for now in range(1000):
        budget.record_try(Millis(now))
        allowed += budget.take(Millis(now))
    assert 100 <= allowed <= 102


def test_backoff_grows_within_limits() -> None:
    """Guards against retries that come at the same time, or too late."""
    backoff = Backoff(_RULES, random.Random(1))
    for tries in range(1, 40):
        delays = [backoff.delay(tries) for _ in range(100)]
        upper = min(_RULES.limit, _RULES.base * 2 ** (tries - 1))
        assert min(delays) >= 1
        assert upper / 2 < max(delays) <= upper
    again = Backoff(_RULES, random.Random(1))
    assert delays != [again.delay(39) for _ in range(100)]
    assert again.delay(1) <= _RULES.base


def test_may_retry() -> None:
    """Guards against retrying a statement that must run at most once."""
    read, write = StatementKind.READ, StatementKind.WRITE
    assert may_retry(read, None, sent=True)
    assert not may_retry(read, repeatable=False, sent=True)
    assert not may_retry(write, None, sent=True)
    assert may_retry(write, repeatable=True, sent=True)
    assert may_retry(write, repeatable=False, sent=False)
    assert not may_retry(StatementKind.COMMIT, repeatable=True, sent=False)
