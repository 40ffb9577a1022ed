"""Tests of attempts that outlive the answer to their statement."""

import asyncio
from collections.abc import AsyncIterator
from functools import partial
from unittest import mock

import attrs
from stand_ins.site import OWN, SERVICE, Caller, SiteStandIn

from monsoonproxy import forwards, plans
from monsoonproxy.client_sessions import Session
from monsoonproxy.clock import Clock
from monsoonproxy.lanes import Claim
from monsoonproxy.lenders import Link
from monsoonproxy.members import Member
from monsoonproxy.node import Node
from monsoonproxy.relays import RelayConnection
from tests.fixtures import fixture, load_functions
from tests.platform_sites import running, runs, until

load_tests = load_functions(__name__)

_DAEMONS = 7
_LIMIT = 4
_DATABASES = 3


@attrs.define
class _Lending:
    """A site of which one daemon borrows, and lenders can be held up.

    :param site: The site.
    :param borrower: Number of a daemon that borrows.
    """

    site: SiteStandIn
    borrower: int

    async def caller(self) -> Caller:
        """Return a caller of the borrower that has set a value."""
        caller = await self.site.caller(OWN, self.borrower)
        await caller.run('SET crew 1')
        assert not (await caller.run('READ a')).code
        return caller


@fixture
async def lending() -> AsyncIterator[_Lending]:
    """Yield a site where one daemon for each database connects to it."""
    site = SiteStandIn(daemons=_DAEMONS)
    site.limit_connections(_LIMIT)
    with mock.patch.object(plans, '_LEAST_LENDERS', 1):
        async with running(site):
            lent = partial(_borrowers, site)
            await until(lambda: len(lent()) >= _DAEMONS - _DATABASES)
            # A lender whose first connection was refused for their number
            # lends none until it has opened one.
            await until(lambda: _are_lenders_connected(site, lent()[0]))
            yield _Lending(site, lent()[0])


def _borrowers(site: SiteStandIn) -> list[int]:
    """Return which daemons reach all databases through others."""
    return [
        number
        for number, node in enumerate(site.nodes)
        if all(
            member.lane is member.borrowed for member in _members(node).values()
        )
    ]


def _are_lenders_connected(site: SiteStandIn, borrower: int) -> bool:
    """Tell whether all lenders of a daemon have connections of their own."""
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


async def test_withdrawn_before_other_values(lending: _Lending) -> None:
    """Guards against a read with values of before (PINNED).

    Pattern: a lender is slow between taking a read and sending it; a second
    attempt answers, and the caller sets other values.
    """
    caller = await lending.caller()
    pass_on = RelayConnection._pass_on
    thawed = asyncio.Event()
    held = []

    async def late(conn: RelayConnection, sent: forwards.Send) -> None:
        if not held and b' READ a' in sent.payload:
            held.append(sent)
            await thawed.wait()
        await pass_on(conn, sent)

    with mock.patch.object(RelayConnection, '_pass_on', late):
        assert not (await caller.run('READ a', 'late')).code
        assert held
        setting = asyncio.ensure_future(caller.run('SET crew 2'))
        await asyncio.sleep(0.1)
        assert not setting.done()
        thawed.set()
        assert not (await setting).code
    await asyncio.sleep(0.2)
    assert len(runs(lending.site, 'late')) == 1


async def test_lender_refuses_late_statements(lending: _Lending) -> None:
    """Guards against statements that a lender passes on once it wakes up.

    Pattern: a lender is frozen for seconds with statements in its buffers,
    whose callers have been told meanwhile that they did not run.
    """
    site = lending.site
    member = _members(site.nodes[lending.borrower])['db-0']
    link = Link(next(iter(member.borrowed.lenders())), Clock(), str)
    stream, granted = await link.ask(member.server, Claim(1_000, single=True))
    payload = b'QUERY late READ a\r\n'
    response = await link.send(
        forwards.Send(stream, payload, 1, granted.now - 1)
    )
    assert isinstance(response, forwards.Broken)
    assert not runs(site, 'late')
    response = await link.send(
        forwards.Send(stream, payload, 1, granted.now + 5_000)
    )
    assert isinstance(response, forwards.Answers)
    assert len(runs(site, 'late')) == 1
    link.close()


async def test_lost_lender_is_outwaited(lending: _Lending) -> None:
    """Guards against other values while a lost lender may still send.

    Pattern: a lender stands still for longer than the others wait for it.
    """
    caller = await lending.caller()
    session = _session(lending.site.nodes[lending.borrower])
    clock = Clock()
    session.extend_runs_until(clock.now() + 300)
    began = clock.now()
    assert not (await caller.run('SET crew 2')).code
    assert clock.now() - began >= 300


async def test_silent_database_is_left(platform_site: SiteStandIn) -> None:
    """Guards against a statement that a partition holds up (PINNED).

    Pattern: the way to a database falls silent with a read on it; another
    database answers, the caller sets other values, and the way is whole again.
    """
    caller = await platform_site.caller(OWN)
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
