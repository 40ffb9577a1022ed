"""Tests of structured log output, counters and metrics."""

import json
import os
from collections.abc import Iterator
from typing import Any

import attrs

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.logs import RateLimitedOutput
from monsoonproxy.models import Outcome
from monsoonproxy.telemetry import Telemetry
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_INFO, _WARNING = 20, 30
#: Number of lines far above the permitted burst.
_FLOOD_LINES = 5_000
#: Limit of the bytes that a flood of short lines may produce.
_MAX_OUTPUT_BYTES = 64 * 1024


class _Clock(Clock):
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = Millis(0)

    def now(self) -> Millis:
        return self.time


@attrs.frozen
class _Level:
    no: int


@attrs.frozen
class _Message:
    """A formatted message as ``loguru`` passes it to a sink."""

    text: str
    record: dict[str, Any]

    def encode(self) -> bytes:
        return self.text.encode()


@attrs.define
class _Pipe:
    reader: int
    output: RateLimitedOutput
    clock: _Clock

    def write(
        self, text: str, level: int = _INFO, part: str = 'statement'
    ) -> None:
        record = {'level': _Level(level), 'extra': {'part': part}}
        self.output(_Message(f'{text}\n', record))

    def lines(self) -> list[str]:
        return os.read(self.reader, 1 << 20).decode().splitlines()


@fixture
def pipe() -> Iterator[_Pipe]:
    """Yield a log output that writes to a pipe."""
    reader, writer = os.pipe()
    clock = _Clock()
    yield _Pipe(reader, RateLimitedOutput(writer, clock), clock)
    os.close(reader)
    os.close(writer)


def test_flood_is_bounded(pipe: _Pipe) -> None:
    """Guards against a flood of log lines that slows a loaded daemon."""
    for number in range(_FLOOD_LINES):
        pipe.write(f'line {number}')
    assert 0 < len('\n'.join(pipe.lines())) < _MAX_OUTPUT_BYTES
    assert pipe.output.dropped > 0


def test_flood_of_requests_hides_no_stop(pipe: _Pipe) -> None:
    """Guards against refused statements that crowd out the lines of a stop."""
    for _ in range(_FLOOD_LINES):
        pipe.write('statement failed')
    pipe.write('stopped', part='node')
    assert pipe.lines()[-1] == 'stopped'


def test_dropped_lines_are_reported(pipe: _Pipe) -> None:
    """Guards against dropped log lines that are not reported."""
    for number in range(_FLOOD_LINES):
        pipe.write(f'line {number}')
    pipe.lines()
    dropped = pipe.output.dropped
    pipe.clock.time = Millis(10_000)
    pipe.write('calm again')
    note, line = pipe.lines()
    assert json.loads(note)['count'] == str(dropped)
    assert line == 'calm again'


def test_warnings_pass_a_flood(pipe: _Pipe) -> None:
    """Guards against warnings that are dropped during a flood of lines."""
    for number in range(_FLOOD_LINES):
        pipe.write(f'line {number}')
    pipe.write('important', _WARNING)
    assert pipe.lines()[-1] == 'important'


def test_stalled_reader_does_not_block(pipe: _Pipe) -> None:
    """Guards against a daemon that blocks on a stalled reader of its logs."""
    text = 'x' * 4_000
    for _ in range(_FLOOD_LINES):
        pipe.clock.time = Millis(pipe.clock.time + 1_000)
        pipe.write(text)
    assert pipe.output.dropped > 0


def test_closed_reader_does_not_fail(pipe: _Pipe) -> None:
    """Guards against a daemon that fails when its log pipe is closed."""
    os.close(pipe.reader)
    pipe.write('nobody reads this')
    pipe.reader = os.open(os.devnull, os.O_RDONLY)


def test_new_counts_since_last_call() -> None:
    """Guards against events that are reported twice or never."""
    telemetry = Telemetry(_Clock())
    telemetry.count('probes')
    telemetry.count('probes', 2)
    assert telemetry.new_counts() == {'probes': 3}
    assert not telemetry.new_counts()
    telemetry.count('leases')
    assert telemetry.new_counts() == {'leases': 1}


def test_prometheus_text() -> None:
    """Guards against metrics that a Prometheus scraper can't parse."""
    telemetry = Telemetry(_Clock())
    telemetry.count('probes', 4)
    telemetry.record('ledger', 'primary', Outcome.ANSWERED, Millis(12))
    lines = telemetry.text({'callers': 3}).splitlines()
    assert 'monsoonproxy_callers 3' in lines
    assert 'monsoonproxy_events_total{event="probes"} 4' in lines
    labels = 'service="ledger",kind="primary",outcome="answered"'
    assert f'monsoonproxy_statements_total{{{labels}}} 1' in lines
    assert all(' ' in line for line in lines)
