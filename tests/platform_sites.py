"""Fixtures: small sites of daemons with stand-ins for the platform."""

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
    """Yield a site of three daemons in front of three databases."""
    async with running_site(SiteStandIn()) as site:
        yield site


@fixture
async def five_daemon_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site of five daemons in front of three databases."""
    async with running_site(SiteStandIn(daemons=5)) as site:
        yield site


@contextlib.asynccontextmanager
async def running_site(site: SiteStandIn) -> AsyncIterator[SiteStandIn]:
    """Start a site, wait until all daemons see all their peers, and stop it.

    :param site: The site to run.
    :yields: The running site.
    """
    await site.start()
    try:
        for node in site.nodes:
            await wait_until(partial(_sees_all_peers, site, node))
        yield site
    finally:
        await site.stop()


async def wait_until(condition: Callable[[], bool], limit: float = 10) -> None:
    """Poll a condition until it holds.

    :param condition: The condition.
    :param limit: Time in s after which the test fails; far above the time that
        any condition should take.
    """
    end = time.monotonic() + limit
    while not condition():
        assert time.monotonic() < end, (
            'the condition did not hold within the time limit'
        )
        await asyncio.sleep(0.02)


def statement_runs(
    site: SiteStandIn, request_id: str
) -> list[ExecutedStatement]:
    """Return the executions of a statement by all databases.

    :param site: The site.
    :param request_id: Request id of the statement.
    :returns: The executions, in their order.
    """
    wanted = request_id.encode()
    return [run for run in site.group.executed if run.request_id == wanted]


def count_events(nodes: Iterable[Node], name: str) -> int:
    """Return how often an event happened, from the metrics of some daemons.

    :param nodes: The daemons.
    :param name: Value of the label ``event``.
    :returns: The sum of the daemons' counters.
    """
    prefix = f'monsoonproxy_events_total{{event="{name}"}} '
    lines = b''.join(node.metrics_text() for node in nodes).decode()
    return sum(
        int(line.removeprefix(prefix))
        for line in lines.splitlines()
        if line.startswith(prefix)
    )


def config_version(node: Node) -> int:
    """Return the version of the configuration that a daemon uses.

    :param node: The daemon.
    :returns: The version number.
    """
    return node.catalog.versions()[0]


def _sees_all_peers(site: SiteStandIn, node: Node) -> bool:
    return node.gauges()['daemons_alive'] == len(site.nodes) - 1
