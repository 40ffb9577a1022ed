"""Tests of explanations of where a statement would go."""

from unittest import mock

from site_platform.http import HttpServer
from site_platform.program import answer_operator
from stand_ins.site import (
    BOUNDED_ROUTE,
    PRIMARY_ROUTE,
    SERVICE,
    SESSION_ROUTE,
    SiteStandIn,
)

from emulator.ports import HOST, free_port
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.explain_command import Explain
from monsoonproxy.explanations import Explainer, Explanation, Question
from monsoonproxy.limiters import ConcurrencyLimiter, OverloadError
from tests.fixtures import load_functions
from tests.platform_sites import wait_until

load_tests = load_functions(__name__)


def _explain(site: SiteStandIn, *fields: object) -> Explanation:
    node = site.nodes[0]
    explainer = Explainer(node.catalog, node.quotas, Clock())
    return explainer.explain(Question(*fields))  # type: ignore[arg-type]


def _count_chosen(site: SiteStandIn, database: str) -> int:
    found = _explain(site, database).candidates
    return len([each for each in found if each.share])


async def test_candidates(platform_site: SiteStandIn) -> None:
    """Guards against an explanation that differs from what is done."""
    site = platform_site
    caller = await site.caller(SESSION_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    for _ in range(4):
        assert not (await caller.run('READ a')).code
    # A replica that has just refused a read for its lag is not chosen.
    await wait_until(lambda: _count_chosen(site, BOUNDED_ROUTE) == 2)
    read = _explain(site, BOUNDED_ROUTE)
    assert not read.refusal
    assert read.floor
    chosen = {each.role for each in read.candidates if each.share}
    assert chosen == {'replica'}
    write = _explain(site, SESSION_ROUTE, False)
    assert [each.name for each in write.candidates if each.share] == ['db-0']
    # Nothing was sent for it.
    assert all(run.request_id for run in site.group.executed)


async def test_refusals(platform_site: SiteStandIn) -> None:
    """Guards against an explanation that leaves out why one is refused."""
    site = platform_site
    caller = await site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    assert 'no route' in _explain(site, 'nowhere').refusal
    error = OverloadError(Millis(50))
    with mock.patch.object(ConcurrencyLimiter, 'check', side_effect=error):
        assert 'too much work' in _explain(site, PRIMARY_ROUTE).refusal
    site.configure(tenants=[{'name': 'north', 'api_keys': ['k']}])
    await wait_until(lambda: 'unknown' in _explain(site, PRIMARY_ROUTE).refusal)
    assert not _explain(site, PRIMARY_ROUTE, True, 'north').refusal


async def test_explain_command(platform_site: SiteStandIn) -> None:
    """Guards against a command that can't be used on the platform."""
    node = platform_site.nodes[0]
    caller = await platform_site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code

    async def answer(target: str) -> tuple[int, str, bytes]:
        return answer_operator(node, target)

    server = HttpServer(answer)
    address = f'{HOST}:{free_port()}'
    await server.start(address)
    parsed = Explain(address, PRIMARY_ROUTE, 'write')
    result = await parsed.run(mock.Mock())
    server.close()
    assert result.lines[0] == f'service {SERVICE}, primary: would be sent'
    assert len(result.data['candidates']) == len(platform_site.databases)
