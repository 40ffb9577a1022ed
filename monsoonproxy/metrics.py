"""Request counters and latency histograms of a daemon."""

import collections
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.models import Outcome

#: Range and precision of the latency histograms: longer latencies count as the
#: longest, and values keep two significant digits.
_MAX_LATENCY_MS = 60_000
_PRECISION_DIGITS = 2
_MS_PER_MINUTE = 60_000
#: Retention of the counters per minute.
_RETENTION_MINUTES = 6 * 60
_QUANTILES = (50.0, 99.0)

_Key = tuple[int, str, str, str]


class Metrics:
    """Counts request outcomes per minute, service and request class.

    :param clock: Source of the wall-clock time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: collections.Counter[_Key] = collections.Counter()
        self._totals: collections.Counter[tuple[str, str, str]]
        self._totals = collections.Counter()
        self._latencies: dict[tuple[str, str], HdrHistogram] = {}
        self._minute = 0

    def record(
        self,
        service: str,
        request_class: str,
        outcome: Outcome,
        took: Millis,
    ) -> None:
        """Record the outcome and latency of a request.

        :param service: Name of the service.
        :param request_class: Request class.
        :param outcome: How the request ended.
        :param took: Time in ms since the request arrived.
        """
        minute = self._clock.wall() // _MS_PER_MINUTE
        if minute != self._minute:
            self._minute = minute
            self._drop_before(minute - _RETENTION_MINUTES)
        labels = (service, request_class, outcome.value)
        self._counts[(minute, *labels)] += 1
        self._totals[labels] += 1
        histogram = self._latencies.get((service, request_class))
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_LATENCY_MS, _PRECISION_DIGITS)
            self._latencies[(service, request_class)] = histogram
        histogram.record_value(max(1, min(took, _MAX_LATENCY_MS)))

    def totals(self) -> Iterable[tuple[tuple[str, str, str], int]]:
        """Yield the counters since the daemon started.

        :yields: Service, request class and outcome, with their count.
        """
        yield from self._totals.items()

    def counters(self) -> list[dict[str, Any]]:
        """Return the counters of the retained minutes.

        :returns: One row per minute, service, request class and outcome.
        """
        return [
            {
                'minute': minute,
                'service': service,
                'request_class': request_class,
                'outcome': outcome,
                'count': count,
            }
            for (minute, service, request_class, outcome), count in sorted(
                self._counts.items()
            )
        ]

    def latencies(self) -> Iterable[tuple[str, str, float, int]]:
        """Yield latency quantiles since the daemon started.

        :yields: Service, request class, quantile in percent, latency in ms.
        """
        for (service, request_class), histogram in self._latencies.items():
            for quantile in _QUANTILES:
                latency = histogram.get_value_at_percentile(quantile)
                yield service, request_class, quantile, latency

    def _drop_before(self, before: int) -> None:
        expired = tuple(key for key in self._counts if key[0] < before)
        for key in expired:
            self._counts.pop(key)
