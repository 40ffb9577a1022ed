"""Tests of attempts still in progress after their statement was answered."""

import asyncio
import random
from collections.abc import AsyncIterator
from functools import partial
from unittest import mock

import attrs
from stand_ins.site import SERVICE, SESSION_ROUTE, Caller, SiteStandIn

from emulator.loopback import Link, Trouble
from monsoonproxy import connection_plans, relay_messages
from monsoonproxy.client_sessions import _ANSWER_WAIT, Session
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.members import Member
from monsoonproxy.node import Node
from monsoonproxy.relay_client import RelayClient
from monsoonproxy.relay_server import RelayConnection
from tests.fixtures import fixture, load_functions
from tests.platform_sites import running_site, statement_runs, wait_until

load_tests = load_functions(__name__)

_DAEMONS = 7
_LIMIT = 4
_DATABASES = 3


@attrs.define
class _Lending:
    """A site with a daemon that borrows all of its connections.

    :param site: The site.
    :param borrower: Number of that daemon.
    """

    site: SiteStandIn
    borrower: int

    async def caller(self) -> Caller:
        """Return a caller of the borrower, with a session value set."""
        caller = await self.site.caller(SESSION_ROUTE, self.borrower)
        await caller.run('SET crew 1')
        assert not (await caller.run('READ a')).code
        return caller


@fixture
async def lending() -> AsyncIterator[_Lending]:
    """Yield a site in which each database has a single lender."""
    site = SiteStandIn(daemons=_DAEMONS)
    site.limit_connections(_LIMIT)
    with mock.patch.object(connection_plans, '_MIN_LENDERS', 1):
        async with running_site(site):
            lent = partial(_borrowers, site)
            await wait_until(lambda: len(lent()) >= _DAEMONS - _DATABASES)
            # A lender whose first connection was refused by the connection
            # limit lends none until it has opened one.
            await wait_until(lambda: _are_lenders_connected(site, lent()[0]))
            yield _Lending(site, lent()[0])


def _borrowers(site: SiteStandIn) -> list[int]:
    """Return the daemons that reach all databases through peers."""
    return [
        number
        for number, node in enumerate(site.nodes)
        if all(
            member.pool is member.borrowed for member in _members(node).values()
        )
    ]


def _are_lenders_connected(site: SiteStandIn, borrower: int) -> bool:
    """Tell whether all lenders of a daemon have direct connections."""
    nodes = {node._settings.relay_address: node for node in site.nodes}
    return all(
        _members(nodes[relay])[server_id].direct.is_open
        for server_id, member in _members(site.nodes[borrower]).items()
        for relay in member.borrowed.lenders()
    )


def _members(node: Node) -> dict[str, Member]:
    return node.catalog.runners[SERVICE].cluster.members


def _session(node: Node) -> Session:
    """Return the session of a daemon's only caller."""
    handler = next(iter(node._clients.connections)).handler
    assert handler is not None
    return handler.session


async def test_session_change_awaits_cancelled_read(lending: _Lending) -> None:
    """Guards against a late read with outdated session values (PINNED).

    Pattern: a lender delays a read before forwarding it. A second attempt
    answers, and the caller changes its session values meanwhile.
    """
    caller = await lending.caller()
    forward = RelayConnection._forward
    resumed = asyncio.Event()
    held = []

    async def late(conn: RelayConnection, sent: relay_messages.Send) -> None:
        if not held and b' READ a' in sent.payload:
            held.append(sent)
            await resumed.wait()
        await forward(conn, sent)

    with mock.patch.object(RelayConnection, '_forward', late):
        assert not (await caller.run('READ a', 'late')).code
        assert held
        setting = asyncio.ensure_future(caller.run('SET crew 2'))
        # The read is cancelled only after a wait for its answer.
        await asyncio.sleep(seconds(_ANSWER_WAIT) + 0.1)
        assert not setting.done()
        resumed.set()
        assert not (await setting).code
    await asyncio.sleep(0.2)
    assert len(statement_runs(lending.site, 'late')) == 1


async def test_lender_refuses_late_statements(lending: _Lending) -> None:
    """Guards against a lender that forwards statements after their deadline.

    Pattern: a lender is frozen for seconds with statements in its buffers, and
    their callers are answered meanwhile that they did not run.
    """
    site = lending.site
    member = _members(site.nodes[lending.borrower])['db-0']
    client = RelayClient(next(iter(member.borrowed.lenders())), Clock(), str)
    stream, granted = await client.request_lease(
        member.server, LeaseRequest(1_000, single=True)
    )
    payload = b'QUERY late READ a\r\n'
    response = await client.send(
        relay_messages.Send(stream, payload, 1, granted.now - 1)
    )
    assert isinstance(response, relay_messages.Broken)
    assert not statement_runs(site, 'late')
    response = await client.send(
        relay_messages.Send(stream, payload, 1, granted.now + 5_000)
    )
    assert isinstance(response, relay_messages.Answers)
    assert len(statement_runs(site, 'late')) == 1
    client.close()


async def test_session_change_awaits_lost_lender(lending: _Lending) -> None:
    """Guards against changed values while a lost lender may still forward.

    Pattern: a lender is frozen for longer than its borrowers wait for it.
    """
    caller = await lending.caller()
    session = _session(lending.site.nodes[lending.borrower])
    clock = Clock()
    session.extend_runs_until(clock.now() + 300)
    began = clock.now()
    assert not (await caller.run('SET crew 2')).code
    assert clock.now() - began >= 300


async def test_read_on_silent_database_is_cancelled(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a read that a network partition delays (PINNED).

    Pattern: the path to a database falls silent with a read in transit.
    Another database answers, the caller changes its session values, and the
    path recovers.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    assert not (await caller.run('READ a')).code
    for database in platform_site.databases:
        if not database.leads:
            database.faults.silent = True
    assert not (await caller.run('READ a', 'late')).code
    late = _session(platform_site.nodes[0]).late_attempts
    wires = [attempt.wire for attempt in late]
    assert wires
    assert not (await caller.run('SET crew 2')).code
    assert not late
    assert all(getattr(wire, 'closed', False) for wire in wires)


async def test_partition_delivers_no_cancelled_read() -> None:
    """Guards against a cancelled read that the kernel still delivers (PINNED).

    Pattern: a partition holds back a read that was written to a socket.
    Another database answers, the caller changes its session values, and the
    partition ends.
    """
    site = SiteStandIn()
    links = await _add_links(site)
    async with running_site(site):
        caller = await site.caller(SESSION_ROUTE)
        await caller.run('SET crew 1')
        for number in range(6):
            assert not (await caller.run('READ a', f'early-{number}')).code
        for link in links:
            link.disturb(Trouble(mutes_requests=True))
        assert not (await caller.run('READ a', 'late')).code
        assert _session(site.nodes[0]).late_attempts
        assert not (await caller.run('SET crew 2')).code
        for healed in links:
            healed.heal()
        await asyncio.sleep(0.3)
        runs = statement_runs(site, 'late')
        assert [run.server_id for run in runs] == [site.leader.server_id]
        for closed in links:
            closed.close()


async def test_session_change_awaits_queued_read(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a cancelled read that waits for a slot (PINNED).

    Pattern: databases are busy, so that a read is sent to two of them. One
    answers, the caller changes its session values, and the other one runs the
    read when a slot becomes free, although its connection is closed.
    """
    caller = await platform_site.caller(SESSION_ROUTE)
    await caller.run('SET crew 1')
    assert not (await caller.run('READ a')).code
    for database in platform_site.databases:
        if not database.leads:
            database.faults.work = 0.25
    assert not (await caller.run('READ a', 'late')).code
    assert _session(platform_site.nodes[0]).late_attempts
    assert not (await caller.run('SET crew 2')).code
    ended = len(statement_runs(platform_site, 'late'))
    await asyncio.sleep(0.6)
    assert len(statement_runs(platform_site, 'late')) == ended


async def _add_links(site: SiteStandIn) -> list[Link]:
    """Put a link in front of each replica; call before the site starts."""
    links = []
    for database in site.databases:
        if not database.leads:
            link = Link(partial(getattr, database, 'address'), random.Random(0))
            await link.start()
            database.advertised_address = link.address
            links.append(link)
    return links
