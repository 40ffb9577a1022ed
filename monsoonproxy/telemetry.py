"""Telemetry of a daemon: event counters, statement metrics, text exposition.

It needs no HTTP library.
"""

import collections
from collections.abc import Iterator

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.metrics import Metrics
from monsoonproxy.models import Outcome

_PREFIX = 'monsoonproxy'


class Telemetry:
    """Counts events and ended statements of a daemon.

    :param clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._metrics = Metrics(clock)
        self._counters: collections.Counter[str] = collections.Counter()
        self._reported: collections.Counter[str] = collections.Counter()

    def count(self, event: str, number: int = 1) -> None:
        """Count an event.

        :param event: Name of the event, in lower case with underscores.
        :param number: Number of occurrences.
        """
        self._counters[event] += number

    def record(
        self, service: str, kind: str, outcome: Outcome, took: Millis
    ) -> None:
        """Record the outcome and latency of a statement.

        :param service: Name of the service.
        :param kind: Kind of the statement's route.
        :param outcome: How the statement ended.
        :param took: Latency in ms.
        """
        self._metrics.record(service, kind, outcome, took)

    def new_counts(self) -> dict[str, int]:
        """Return the events that were counted since the last call.

        :returns: Number of occurrences by name of the event.
        """
        increments = self._counters - self._reported
        self._reported = self._counters.copy()
        return dict(increments)

    def text(self, gauges: dict[str, int]) -> str:
        """Return all metrics in the Prometheus text format.

        :param gauges: Current values of gauges by name.
        :returns: The text, one sample per line.
        """
        return ''.join(f'{line}\n' for line in self._lines(gauges))

    def _lines(self, gauges: dict[str, int]) -> Iterator[str]:
        for name, reading in sorted(gauges.items()):
            yield f'# TYPE {_PREFIX}_{name} gauge'
            yield f'{_PREFIX}_{name} {reading}'
        yield f'# TYPE {_PREFIX}_events_total counter'
        for event, number in sorted(self._counters.items()):
            yield f'{_PREFIX}_events_total{{event="{event}"}} {number}'
        yield from self._statement_lines()

    def _statement_lines(self) -> Iterator[str]:
        yield f'# TYPE {_PREFIX}_statements_total counter'
        for (service, kind, outcome), number in self._metrics.totals():
            labels = f'service="{service}",kind="{kind}",outcome="{outcome}"'
            yield f'{_PREFIX}_statements_total{{{labels}}} {number}'
        yield f'# TYPE {_PREFIX}_latency_ms gauge'
        for service, kind, quantile, latency in self._metrics.latencies():
            share = quantile / 100
            labels = f'service="{service}",kind="{kind}",quantile="{share}"'
            yield f'{_PREFIX}_latency_ms{{{labels}}} {latency}'
