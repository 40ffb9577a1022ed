"""Tests of the burn rate report."""

import json
import pathlib
import random
import tempfile
from importlib.util import find_spec

from monsoonproxy import reports
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def _count(minute: int, outcome: str, count: int) -> dict:
    return {
        'minute': minute,
        'service': 'hire-ledger-1',
        'request_class': 'enquiry',
        'outcome': outcome,
        'count': count,
    }


ROWS = [
    _count(1000, 'answered', 900),
    _count(1000, 'not run', 90),
    _count(1000, 'outcome unknown', 10),
    _count(1050, 'answered', 900),
    _count(1050, 'failed', 100),
    _count(1055, 'answered', 990),
    _count(1055, 'not run', 10),
    _count(1056, 'answered', 5000),
]


def test_windows() -> None:
    """Guards against counts that fall into the wrong window.

    Counts in random order lie on both sides of the window boundaries. Totals,
    burn rates and the split by outcome must include only those within.
    """
    rows = list(ROWS)
    random.Random(1).shuffle(rows)
    counts = reports.parse_counts(json.dumps(rows))
    goal = {('hire-ledger-1', 'enquiry'): 0.99}
    found = reports.burn_rates(counts, goal, now=1055)
    short, hour, long = found
    assert (short.window, short.total, short.bad) == (5, 1000, 10)
    assert short.rate == 1
    assert (hour.total, hour.bad, hour.covered) == (3000, 110, 56)
    assert hour.rate == round(110 / 30, 3)
    assert hour.by_outcome == {'not run': 100, 'outcome unknown': 10}
    assert (long.total, long.covered) == (3000, 56)
    assert reports.burn_rates(counts, goal)[0].total == 6000
    text = '\n'.join(reports.to_text(found))
    assert 'hire-ledger-1 enquiry 60m 56m 3000 3.67 not run: 100' in text
    assert json.loads(json.dumps(reports.to_data(found)))[1]['bad'] == 110


def test_no_requests() -> None:
    """Guards against a division by zero if a window has no requests."""
    assert not reports.burn_rates([], {})
    idle = reports.parse_counts(json.dumps([_count(5, 'not run', 0)]))
    assert [item.rate for item in reports.burn_rates(idle, {})] == [0, 0, 0]


def test_invalid_counts() -> None:
    """Guards against accepting malformed or wrongly typed request counts."""
    for text in ('{', '{}', '[1]', json.dumps([_count(1, 'answered', '5')])):
        try:
            reports.parse_counts(text)
        except reports.ReportError:
            continue
        raise AssertionError(f'accepted: {text}')


def test_plot() -> None:
    """Guards against a plot that silently fails without matplotlib.

    If the optional package is missing, the error must name it.
    """
    with tempfile.TemporaryDirectory() as folder:
        image = pathlib.Path(folder, 'burn.png')
        found = reports.burn_rates(reports.parse_counts(json.dumps(ROWS)), {})
        if find_spec('matplotlib') is not None:
            reports.plot(found, str(image))
            assert image.stat().st_size
            return
        try:
            reports.plot(found, str(image))
        except reports.ReportError as exc:
            assert 'matplotlib is not installed' in str(exc)
            return
        raise AssertionError('no message about matplotlib')
