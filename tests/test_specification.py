"""The specification holds, and notices when a rule is missing."""

import functools
import sys
from typing import Any

from emulator import specification_checks as checks
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


@functools.cache
def _results() -> dict[str, dict[str, Any]]:
    return checks.check_all()


def test_rules_hold() -> None:
    """Guards against a lost write, two primaries and reads below the floor."""
    for name, case in checks.CASES.items():
        if case.violated is None:
            result = _results()[name]
            assert result['exhaustive'], result['incomplete_reason']
            assert checks.is_expected(case, result), result['properties']


def test_each_rule_is_needed() -> None:
    """Guards against checks that can't fail: each missing rule is noticed."""
    for name, case in checks.CASES.items():
        if case.violated is not None:
            steps = checks.trace(_results()[name], case.violated)
            sys.stdout.write(f'{name}: {case.violated} after {steps}\n')
            assert steps, f'{name} was not noticed'


def test_incomplete_search() -> None:
    """Guards against an incomplete search passing as a proof."""
    bounds = checks.Bounds(max_states=100)
    case = checks.Case(checks.Rules(), bounds)
    assert not checks.is_expected(case, checks.check(case))
