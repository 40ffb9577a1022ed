"""Tests of organisations' keys and connections through complete daemons."""

import asyncio
import collections
import io
from collections.abc import AsyncIterator
from typing import Any

import attrs
import loguru
import msgspec
from site_platform.documents import PlatformDocuments
from stand_ins.site import (
    BOUNDED_ROUTE,
    PRIMARY_ROUTE,
    SERVICE,
    SESSION_ROUTE,
    Caller,
    SiteStandIn,
    configuration,
)

from monsoonproxy.exceptions import ConfigurationError
from monsoonproxy.models import Host
from monsoonproxy.node import Node
from monsoonproxy.organisations.affinity import (
    order_lenders,
    preferred_replicas,
)
from monsoonproxy.snapshots import SnapshotRequest, decompress
from tests.fixtures import fixture, load_functions
from tests.platform_sites import (
    config_version,
    running_site,
    statement_runs,
    wait_until,
)

load_tests = load_functions(__name__)

_NORTH, _SOUTH = 'key-of-north', 'key-of-south'


def _tenants(**keys: list[str]) -> list[dict[str, Any]]:
    return [{'name': name, 'api_keys': held} for name, held in keys.items()]


@fixture
async def shared_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site that two organisations use."""
    site = SiteStandIn(daemons=5)
    site.document['tenants'] = _tenants(north=[_NORTH], south=[_SOUTH])
    async with running_site(site):
        yield site


def _all_have(site: SiteStandIn) -> bool:
    wanted = site.document['version']
    return all(config_version(node) == wanted for node in site.nodes)


async def test_databases_are_told_the_organisation(
    shared_site: SiteStandIn,
) -> None:
    """Guards against statements of one organisation run as another (UNASKED).

    The sessions alternate on the same daemons, so that a connection of the
    other organisation is idle when each statement comes.
    """
    for key, name in ((_NORTH, b'north'), (_SOUTH, b'south')) * 3:
        for daemon, _node in enumerate(shared_site.nodes):
            for route in (PRIMARY_ROUTE, BOUNDED_ROUTE, SESSION_ROUTE):
                caller = await shared_site.caller(route, daemon, key)
                request_id = f'{name.decode()}-{daemon}'
                for text in ('WRITE a 1', 'READ a', 'BEGIN', 'READ a'):
                    assert not (await caller.run(text, request_id)).code
                await caller.run('COMMIT', request_id)
                await caller.close()
    told = collections.Counter(
        (run.request_id.partition(b'-')[0], run.organisation)
        for run in shared_site.group.executed
        if run.request_id != b'-'
    )
    assert set(told) == {(b'north', b'north'), (b'south', b'south')}


async def test_unknown_key_is_refused(shared_site: SiteStandIn) -> None:
    """Guards against callers without a valid key (ROUTE)."""
    for key in ('key-of-nobody', '', 'north'):
        stranger = Caller(shared_site.addresses[0])
        greeting = await stranger.open(SESSION_ROUTE, key)
        assert greeting.startswith(b'ERROR NOAUTH'), greeting
        assert await stranger.closed()


async def test_withdrawn_key_in_open_sessions(shared_site: SiteStandIn) -> None:
    """Guards against open sessions that outlive their key (CONFIG).

    One session is idle, the other one has a transaction open, which must be
    rolled back.
    """
    idle = await shared_site.caller(SESSION_ROUTE, key=_SOUTH)
    busy = await shared_site.caller(SESSION_ROUTE, key=_SOUTH)
    other = await shared_site.caller(SESSION_ROUTE, key=_NORTH)
    assert not (await idle.run('READ a')).code
    await busy.run('BEGIN')
    assert not (await busy.run('WRITE a 1')).code
    shared_site.configure(tenants=_tenants(north=[_NORTH], south=['new']))
    await wait_until(lambda: _all_have(shared_site))
    assert (await idle.run('READ a', 'late')).code == 'NOAUTH'
    assert await idle.closed()
    assert (await busy.run('READ a', 'late')).code == 'ABORTED'
    assert (await busy.run('COMMIT', 'late')).code in {'ABORTED', 'NOAUTH'}
    assert not (await other.run('READ a')).code
    assert not statement_runs(shared_site, 'late')
    assert not shared_site.leader.log


async def test_key_passed_on(shared_site: SiteStandIn) -> None:
    """Guards against an open session that keeps its key's former owner."""
    caller = await shared_site.caller(SESSION_ROUTE, key=_SOUTH)
    assert not (await caller.run('READ a', 'before')).code
    shared_site.configure(tenants=_tenants(north=[_NORTH, _SOUTH], south=[]))
    await wait_until(lambda: _all_have(shared_site))
    assert not (await caller.run('READ a', 'after')).code
    told = {
        run.request_id: run.organisation for run in shared_site.group.executed
    }
    assert told[b'before'] == b'south'
    assert told[b'after'] == b'north'


async def test_withdrawn_key_while_store_is_down(
    shared_site: SiteStandIn,
) -> None:
    """Guards against a withdrawn key on a daemon that starts.

    The store is silent, and its history is dropped, so that the daemon hears
    of the configuration from its peers only.
    """
    site = shared_site
    site.configure(tenants=_tenants(north=[_NORTH], south=[]))
    await wait_until(lambda: _all_have(site))
    site.platform.compact()
    site.platform.faults.silent = True
    for node in site.nodes:
        settings = node._settings
    await site.nodes[-1].abort()
    site.nodes.pop()
    site.addresses.pop()
    started = await site.add_node(
        _with_seeds(settings, site.nodes[0]._settings.peer_address)
    )
    await wait_until(lambda: started.ready)
    caller = Caller(site.addresses[-1])
    greeting = await caller.open(SESSION_ROUTE, _SOUTH)
    assert greeting.startswith(b'ERROR NOAUTH'), greeting
    await site.caller(SESSION_ROUTE, len(site.nodes) - 1, _NORTH)


def _with_seeds(settings: Any, *seeds: str) -> Any:
    return attrs.evolve(settings, seeds=seeds)


async def test_public_route_needs_no_key() -> None:
    """Guards against a public route that refuses callers without a key."""
    site = SiteStandIn()
    site.document = configuration(public=True)
    site.document['tenants'] = _tenants(north=[_NORTH])
    async with running_site(site):
        caller = await site.caller(SESSION_ROUTE, key='anyone')
        assert not (await caller.run('READ a')).code


async def test_organisations_that_come_later(
    platform_site: SiteStandIn,
) -> None:
    """Guards against connections from before the first organisation came."""
    caller = await platform_site.caller(SESSION_ROUTE, key=_NORTH)
    assert not (await caller.run('READ a', 'before')).code
    platform_site.configure(tenants=_tenants(north=[_NORTH]))
    await wait_until(lambda: _all_have(platform_site))
    assert not (await caller.run('READ a', 'after')).code
    runs = statement_runs(platform_site, 'after')
    assert [run.organisation for run in runs] == [b'north']


async def test_more_organisations_than_connections() -> None:
    """Guards against an organisation that gets no connection.

    Pattern: there are several times as many organisations as connections, and
    each has a statement now and then.
    """
    names = [f'org-{number}' for number in range(24)]
    site = SiteStandIn(daemons=5)
    site.document['tenants'] = _tenants(**{name: [name] for name in names})
    site.limit_connections(6)
    async with running_site(site):
        for turn in range(3):
            callers = [
                await site.caller(SESSION_ROUTE, turn, name) for name in names
            ]
            replies = await asyncio.gather(
                *(each.run('READ a', 'r') for each in callers)
            )
            assert not any(reply.code for reply in replies)
            for caller in callers:
                await caller.close()
    told = {run.organisation for run in statement_runs(site, 'r')}
    assert told == {name.encode() for name in names}


async def test_keys_stay_secret(shared_site: SiteStandIn) -> None:
    """Guards against keys in what daemons keep, pass on and log."""
    logged = io.StringIO()
    sink = loguru.logger.add(logged, level='DEBUG')
    caller = await shared_site.caller(SESSION_ROUTE, key=_SOUTH)
    assert not (await caller.run('READ a')).code
    assert (await caller.run('READ')).code
    shared_site.configure(tenants=_tenants(north=[_NORTH], south=['new']))
    await wait_until(lambda: _all_have(shared_site))
    assert (await caller.run('READ a')).code == 'NOAUTH'
    loguru.logger.remove(sink)
    assert 'key-of-' not in logged.getvalue()
    for node in shared_site.nodes:
        snapshot = node.catalog.newer_than(SnapshotRequest(0, 0))
        document = decompress(snapshot.configuration)
        assert document.startswith(b'{')
        assert b'key-of-' not in document
        assert 'key-of-' not in repr(node.catalog.table)
        assert b'key-of-' not in node.metrics_text()


async def test_statements_find_open_connections(
    shared_site: SiteStandIn,
) -> None:
    """Guards against a new connection for most statements.

    Pattern: the statements of an organisation come through all daemons, and go
    to all replicas. Each connection opened takes a slot as long as a statement.
    """
    site = shared_site
    callers = [
        await site.caller(SESSION_ROUTE, daemon, _SOUTH)
        for daemon in range(len(site.nodes))
    ]
    await _read_in_turn(callers, 12)
    before = _opened(site.nodes)
    await _read_in_turn(callers, 10)
    assert _opened(site.nodes) - before <= 2


async def _read_in_turn(callers: list[Caller], turns: int) -> None:
    for _ in range(turns):
        for caller in callers:
            assert not (await caller.run('READ a')).code


def _opened(nodes: list[Node]) -> int:
    return sum(
        node._telemetry._counters['connections_opened'] for node in nodes
    )


def test_seal_keeps_the_meaning() -> None:
    """Guards against daemons that understand a passed on document differently.

    Fields that are not known must be passed on as well.
    """
    documents, peer = PlatformDocuments(), PlatformDocuments()
    document = configuration() | {
        'tenants': _tenants(north=[_NORTH], south=[_SOUTH]),
        'later': {'a': [1]},
    }
    content = msgspec.json.encode(document)
    sealed = documents.seal(content)
    assert documents.seal(sealed) == sealed
    assert msgspec.json.decode(sealed)['later'] == {'a': [1]}
    own, theirs = documents.routes(content), peer.routes(sealed)
    assert own.routes == theirs.routes
    assert own.directory.organisations == theirs.directory.organisations
    for key, name in ((_NORTH, 'north'), (_SOUTH, 'south'), ('x', None)):
        for directory in (own.directory, theirs.directory):
            identity = directory.identify(key.encode())
            assert directory.owner(identity) == name


def test_name_that_the_protocol_cannot_carry() -> None:
    """Guards against an organisation's name that splits a message."""
    for name in ('a b', 'a\r\nQUERY', ''):
        document = configuration() | {'tenants': _tenants(**{name: ['k']})}
        try:
            PlatformDocuments().routes(msgspec.json.encode(document))
        except ConfigurationError:
            continue
        raise AssertionError(name)


def test_lenders_of_an_organisation() -> None:
    """Guards against connections of an organisation on all lenders.

    All daemons must agree on the lenders of a small organisation, and spread a
    large one over several.
    """
    hosts = [Host(f'10.0.0.{n}:1', f'zone-{n % 3}') for n in range(12)]
    daemons = [f'front-{n}' for n in range(100)]
    small = {order_lenders(hosts, 'a', 0.01, own)[0] for own in daemons}
    large = {order_lenders(hosts, 'a', 0.4, own)[0] for own in daemons}
    assert len(small) == 1
    assert 6 <= len(large) <= 9
    assert small < large
    for own in daemons:
        assert set(order_lenders(hosts, 'a', 0.01, own)) == set(hosts)
    firsts = collections.Counter(
        order_lenders(hosts, f'org-{n}', 0.01, 'x')[0] for n in range(240)
    )
    assert max(firsts.values()) <= 3 * 240 / len(hosts)


def test_replicas_of_an_organisation() -> None:
    """Guards against a small organisation with connections to all replicas."""
    replicas = [f'{SERVICE}-{n}' for n in range(2)]
    assert len(preferred_replicas(replicas, 'a', 0.01)) == 1
    assert len(preferred_replicas(replicas, 'a', 0.3)) == 2
    assert not preferred_replicas([], 'a', 0.3)
