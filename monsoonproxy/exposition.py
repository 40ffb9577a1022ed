"""Exposes the metrics of a daemon in the Prometheus text format."""

from collections.abc import Callable, Iterator
from typing import Any

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from monsoonproxy.metrics import Metrics

_PREFIX = 'monsoonproxy'
_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
_GAUGES = {
    'configuration_version': 'Configuration version in force.',
    'open_requests': 'Requests of callers in flight.',
    'stale_replies': 'Replies dropped because no request waited for them.',
    'store_reads': 'Reads of the platform service since the start.',
}
_SERVICE_GAUGES = {
    'term': 'Term of the group.',
    'queue': 'Requests waiting for a slot.',
    'running': 'Requests running on a backend server.',
    'transactions': 'Open transactions.',
}


class Collector:
    """Prometheus collector that reads a daemon's metrics at each scrape.

    :param metrics: Counters and latency histograms of the daemon.
    :param status: Returns the daemon's status, which holds the gauges.
    """

    def __init__(
        self, metrics: Metrics, status: Callable[[], dict[str, Any]]
    ) -> None:
        self._metrics = metrics
        self._status = status

    def collect(self) -> Iterator[Metric]:
        """Read the metrics; called by the registry at each scrape.

        :yields: Metric families.
        """
        status = self._status()
        yield self._requests()
        yield self._latencies()
        for name, text in _GAUGES.items():
            gauge = GaugeMetricFamily(f'{_PREFIX}_{name}', text)
            gauge.add_metric((), status[name])
            yield gauge
        for key, text in _SERVICE_GAUGES.items():
            family = GaugeMetricFamily(
                f'{_PREFIX}_{key}', text, labels=('service',)
            )
            for service in status['services']:
                family.add_metric((service['service'],), service[key])
            yield family
        yield _read_counts(status)
        yield _data_ages(status)

    def _requests(self) -> Metric:
        family = CounterMetricFamily(
            f'{_PREFIX}_requests',
            'Requests by service, class and outcome.',
            labels=('service', 'class', 'outcome'),
        )
        for labels, count in self._metrics.totals():
            family.add_metric(labels, count)
        return family

    def _latencies(self) -> Metric:
        family = GaugeMetricFamily(
            f'{_PREFIX}_latency_ms',
            'Latency quantiles since the start, in ms.',
            labels=('service', 'class', 'quantile'),
        )
        for service, name, quantile, latency in self._metrics.latencies():
            family.add_metric((service, name, str(quantile / 100)), latency)
        return family


async def serve(collector: Collector, address: str) -> web.AppRunner:
    """Serve the metrics over HTTP at ``/metrics``.

    :param collector: Collector that provides the metrics.
    :param address: ``ip:port`` to listen on.
    :returns: The running server; its ``cleanup`` stops it.
    """
    registry = CollectorRegistry()
    registry.register(collector)  # type: ignore[arg-type]

    async def show_metrics(_request: web.Request) -> web.Response:
        text = generate_latest(registry)
        return web.Response(body=text, headers={'Content-Type': _CONTENT_TYPE})

    app = web.Application()
    app.router.add_get('/metrics', show_metrics)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, port = address.rsplit(':', 1)
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def _read_counts(status: dict[str, Any]) -> Metric:
    family = CounterMetricFamily(
        f'{_PREFIX}_reads',
        'Reads by where they went and why.',
        labels=('service', 'reason'),
    )
    for service in status['services']:
        for reason, count in service['reads_by_reason'].items():
            family.add_metric((service['service'], reason), count)
    return family


def _data_ages(status: dict[str, Any]) -> Metric:
    family = GaugeMetricFamily(
        f'{_PREFIX}_data_age_ms',
        'Conservative data age of backend servers, in ms.',
        labels=('service', 'backend_server'),
    )
    for service in status['services']:
        for name, member in service['members'].items():
            if member['age_ms'] is not None:
                family.add_metric((service['service'], name), member['age_ms'])
    return family
