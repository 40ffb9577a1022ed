"""Fixtures: small sites of daemons against the platform's stand-ins."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Iterable
from functools import partial

from stand_ins.sessions import ExecutedStatement
from stand_ins.site import SiteStandIn

from monsoonproxy.node import Node
from tests.fixtures import fixture


@fixture
async def platform_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site of three daemons before three databases."""
    async with running(SiteStandIn()) as site:
        yield site


@fixture
async def larger_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site of five daemons before three databases."""
    async with running(SiteStandIn(daemons=5)) as site:
        yield site


@contextlib.asynccontextmanager
async def running(site: SiteStandIn) -> AsyncIterator[SiteStandIn]:
    """Run a site whose daemons have all heard each other.

    :param site: The site.
    :yields: The site.
    """
    await site.start()
    try:
        for node in site.nodes:
            await until(partial(_knows_all, site, node))
        yield site
    finally:
        await site.stop()


async def until(condition: Callable[[], bool], limit: float = 10) -> None:
    """Wait until a condition holds.

    :param condition: The condition.
    :param limit: Time in s after which it has failed; far above any target.
    """
    end = time.monotonic() + limit
    while not condition():
        assert time.monotonic() < end, 'the condition never held'
        await asyncio.sleep(0.02)


def runs(site: SiteStandIn, request_id: str) -> list[ExecutedStatement]:
    """Return what the databases ran under an id.

    :param site: The site.
    :param request_id: The id.
    :returns: The runs.
    """
    wanted = request_id.encode()
    return [run for run in site.group.executed if run.request_id == wanted]


def events(nodes: Iterable[Node], name: str) -> int:
    """Return how often something happened, by the daemons' metrics.

    :param nodes: The daemons.
    :param name: Name of the event.
    :returns: The sum of their counters.
    """
    prefix = f'monsoonproxy_events_total{{event="{name}"}} '
    lines = b''.join(node.metrics_text() for node in nodes).decode()
    return sum(
        int(line.removeprefix(prefix))
        for line in lines.splitlines()
        if line.startswith(prefix)
    )


def version(node: Node) -> int:
    """Return the version of the configuration that a daemon has in force.

    :param node: The daemon.
    :returns: The version.
    """
    return node.catalog.versions()[0]


def _knows_all(site: SiteStandIn, node: Node) -> bool:
    return node.gauges()['daemons_alive'] == len(site.nodes) - 1
