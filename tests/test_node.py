"""Tests of how a daemon plans its connections to backend servers."""

from unittest import mock

from stand_ins.site import PRIMARY_ROUTE, SERVICE, SiteStandIn

from monsoonproxy import connection_plans
from monsoonproxy.clusters import Cluster
from tests.fixtures import load_functions
from tests.platform_sites import wait_until

load_tests = load_functions(__name__)


async def test_unchanged_plan_is_not_reapplied(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a daemon that reapplies its plan four times a second.

    Pattern: 195 daemons serve 30 databases and nothing changes; a daemon may
    spend 2.6% of a core on control tasks.
    """
    node = platform_site.nodes[0]
    cluster = node.catalog.runners[SERVICE].cluster
    await wait_until(
        lambda: cluster.plan == connection_plans.ConnectionPlan(0, 22)
    )
    with mock.patch.object(Cluster, 'replan') as replan:
        for _ in range(8):
            node._replan()
    assert not replan.called


async def test_plan_follows_changes(platform_site: SiteStandIn) -> None:
    """Guards against a plan that does not follow changes of the site.

    Pattern: the operator lowers the connection limit of a database, and a
    daemon joins.
    """
    catalog = platform_site.nodes[0].catalog
    cluster = catalog.runners[SERVICE].cluster
    await wait_until(
        lambda: cluster.plan == connection_plans.ConnectionPlan(0, 22)
    )
    platform_site.document['version'] = 2
    platform_site.document['services'][0]['max_conns'] = 12
    platform_site.platform.configure(platform_site.document)
    await wait_until(
        lambda: cluster.plan == connection_plans.ConnectionPlan(0, 8)
    )
    await platform_site.add_node()
    await wait_until(
        lambda: cluster.plan == connection_plans.ConnectionPlan(0, 6)
    )
    caller = await platform_site.caller(PRIMARY_ROUTE, 3)
    assert not (await caller.run('READ a')).code
