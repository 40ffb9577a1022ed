"""Tests of what a daemon does for itself while nothing changes."""

from unittest import mock

from stand_ins.site import CURRENT, SERVICE, SiteStandIn

from monsoonproxy import connection_plans
from monsoonproxy.clusters import Cluster
from tests.fixtures import load_functions
from tests.platform_sites import until

load_tests = load_functions(__name__)


async def test_nothing_is_planned_again(platform_site: SiteStandIn) -> None:
    """Guards against a daemon that plans all connections four times a second.

    Pattern: 195 daemons before 30 databases on a calm day; for control, a
    daemon may use 2.6% of a core.
    """
    node = platform_site.nodes[0]
    cluster = node.catalog.runners[SERVICE].cluster
    await until(lambda: cluster.plan == connection_plans.ConnectionPlan(0, 22))
    with mock.patch.object(Cluster, 'replan') as replan:
        for _ in range(8):
            node._replan()
    assert not replan.called


async def test_changes_are_planned(platform_site: SiteStandIn) -> None:
    """Guards against connections that are shared as before a change.

    Pattern: the operator lowers the number of connections that a database
    accepts, and a daemon comes.
    """
    catalog = platform_site.nodes[0].catalog
    cluster = catalog.runners[SERVICE].cluster
    await until(lambda: cluster.plan == connection_plans.ConnectionPlan(0, 22))
    platform_site.document['version'] = 2
    platform_site.document['services'][0]['max_conns'] = 12
    platform_site.platform.configure(platform_site.document)
    await until(lambda: cluster.plan == connection_plans.ConnectionPlan(0, 8))
    await platform_site.add_node()
    await until(lambda: cluster.plan == connection_plans.ConnectionPlan(0, 6))
    caller = await platform_site.caller(CURRENT, 3)
    assert not (await caller.run('READ a')).code
