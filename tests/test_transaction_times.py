"""Tests of the usual length of transactions."""

from monsoonproxy.clock import Millis
from monsoonproxy.transaction_times import TransactionTimes
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def test_average_follows_the_latest() -> None:
    """Guards against refusals by the length of transactions long ago."""
    times = TransactionTimes()
    times.record('own', Millis(1_000))
    assert times.usual('own') == 1_000
    for _ in range(50):
        times.record('own', Millis(3_000))
    assert 2_900 < times.usual('own') <= 3_000


def test_single_long_transaction() -> None:
    """Guards against refusals because of one transaction that took long."""
    times = TransactionTimes()
    for _ in range(10):
        times.record('own', Millis(500))
    times.record('own', Millis(10_000))
    assert times.usual('own') < 2_000


def test_routes_are_told_apart() -> None:
    """Guards against refusals by what the callers of other routes do."""
    times = TransactionTimes()
    times.record('own', Millis(5_000))
    assert times.usual('current') == 0
