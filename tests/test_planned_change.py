"""Tests of planned changes of a leader whose replicas do not keep up."""

import asyncio
import time
from collections.abc import AsyncIterator

import attrs
from stand_ins.databases import Database
from stand_ins.site import (
    PRIMARY_ROUTE,
    SERVICE,
    SESSION_ROUTE,
    SiteStandIn,
)

from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster
from monsoonproxy.handover import has_position
from monsoonproxy.models import Position
from monsoonproxy.planned_changes import find_successor
from tests.fixtures import fixture, load_functions
from tests.platform_sites import running_site, wait_until

load_tests = load_functions(__name__)

#: Time in ms after which a backend server that leaves may get no statements.
_DRAIN = Millis(2_500)


class _Writers:
    """Callers of all daemons that write and read without a pause.

    :param site: The site.
    """

    def __init__(self, site: SiteStandIn) -> None:
        self.acknowledged: set[bytes] = set()
        #: When each statement was sent, by its id.
        self.sent_at: dict[bytes, float] = {}
        self._site = site
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open a session at each daemon, and begin to write."""
        for number, _node in enumerate(self._site.nodes):
            self._tasks.append(asyncio.create_task(self._write(number)))
        await wait_until(lambda: len(self.acknowledged) > 10)

    async def stop(self) -> None:
        """End the sessions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _write(self, number: int) -> None:
        caller = await self._site.caller(PRIMARY_ROUTE, number)
        turn = 0
        while True:
            turn += 1
            request_id = f'{number}-{turn}'
            self.sent_at[request_id.encode()] = time.monotonic()
            reply = await caller.run('WRITE a 1', request_id)
            if not reply.code:
                self.acknowledged.add(request_id.encode())
            self.sent_at[b'r' + request_id.encode()] = time.monotonic()
            await caller.run('READ a', f'r{request_id}')
            await asyncio.sleep(0.005)


@fixture
async def draining_site() -> AsyncIterator[SiteStandIn]:
    """Yield a site whose leaving backend servers get no work after 2.5 s."""
    site = SiteStandIn()
    site.drain = _DRAIN
    async with running_site(site):
        yield site


@fixture
async def writers(draining_site: SiteStandIn) -> AsyncIterator[_Writers]:
    """Yield callers that write all the time."""
    callers = _Writers(draining_site)
    await callers.start()
    yield callers
    await callers.stop()


def _leave(site: SiteStandIn, database: Database) -> float:
    """Let a database say that it leaves; return the monotonic time in s."""
    database.state = 'draining'
    site.platform.write_entry(database)
    return time.monotonic()


def _stop_replication(site: SiteStandIn, *, stopped: bool = True) -> None:
    for database in site.databases:
        database.faults.replication_stopped = stopped and not database.leads


def _cluster(site: SiteStandIn) -> Cluster:
    runner = site.nodes[0].catalog.runners[SERVICE]
    return runner.cluster


def _kept(database: Database) -> set[bytes]:
    return {name for entry in database.log for name in entry.request_ids}


async def test_leaving_leader_is_not_used_after_its_drain_time(
    draining_site: SiteStandIn, writers: _Writers
) -> None:
    """Guards against work for a leader that is about to exit (DRAIN).

    Pattern: no replica receives anything while the leader leaves, so that none
    can be promoted. Commits that no replica has would be rolled back by the
    promotion that follows its exit.
    """
    site, old = draining_site, draining_site.leader
    await asyncio.sleep(0.1)
    _stop_replication(site)
    # Commits from before its entry can't be protected.
    writers.acknowledged.clear()
    accepted_at = _leave(site, old)
    await asyncio.sleep(seconds(_DRAIN) + 0.5)
    late = [
        run
        for run in site.group.executed
        if run.request_id != b'-'
        and run.server_id == old.server_id
        and writers.sent_at[run.request_id] > accepted_at + seconds(_DRAIN)
    ]
    assert not late
    exposed = {
        name
        for name in writers.acknowledged
        if writers.sent_at[name] > accepted_at + 0.1
    }
    assert not exposed


async def test_writes_go_on_once_a_replica_follows(
    draining_site: SiteStandIn, writers: _Writers
) -> None:
    """Guards against a change that is given up although a replica recovers.

    Pattern: replicas receive nothing for a while when the leader says that it
    leaves, and catch up before it exits.
    """
    site, old = draining_site, draining_site.leader
    _stop_replication(site)
    _leave(site, old)
    await asyncio.sleep(1)
    assert site.leader is old
    _stop_replication(site, stopped=False)
    # Replicas copy the log with the next commit, or when they are told to.
    for database in site.databases:
        database.catch_up()
    await wait_until(lambda: site.leader is not old, 5)
    before = len(writers.acknowledged)
    await wait_until(lambda: len(writers.acknowledged) > before + 10, 5)
    assert writers.acknowledged <= _kept(site.leader)


async def test_successor_of_a_leader_under_load(
    draining_site: SiteStandIn, writers: _Writers
) -> None:
    """Guards against a successor that never reaches a moving position.

    Pattern: the leader commits faster than its replicas are behind.
    """
    site, old = draining_site, draining_site.leader
    for database in site.databases:
        database.faults.lag = 0.1
    await asyncio.sleep(0.3)
    _leave(site, old)
    await wait_until(lambda: site.leader is not old, 2.5)
    assert writers.acknowledged <= _kept(site.leader)


async def test_given_up_change_lets_replicas_receive(
    draining_site: SiteStandIn,
) -> None:
    """Guards against replicas that stay paused after a planned change fails.

    Pattern: a service acknowledges a commit once a replica has it. The leader
    leaves while its replicas receive nothing, and then stays after all.
    """
    site, old = draining_site, draining_site.leader
    site.document['services'][0]['sync_replicas'] = 1
    site.document['version'] += 1
    site.platform.configure(site.document)
    caller = await site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    _stop_replication(site)
    await caller.run('WRITE a 2')
    _leave(site, old)
    await asyncio.sleep(1)
    old.state = 'ready'
    site.platform.write_entry(old)
    await asyncio.sleep(0.5)
    _stop_replication(site, stopped=False)
    assert not any(database.paused for database in site.databases)
    assert not (await caller.run('WRITE a 3')).code


async def test_started_daemon_does_not_trust_a_leaving_leader(
    draining_site: SiteStandIn,
) -> None:
    """Guards against a drain time that begins anew in each process (DRAIN).

    A daemon that starts while a leader leaves can't know since when it does.
    """
    site, old = draining_site, draining_site.leader
    await (await site.caller(PRIMARY_ROUTE)).run('WRITE a 1')
    await asyncio.sleep(0.1)
    # The replicas have everything, but no daemon can claim a token.
    site.platform.faults.refuse_writes = True
    _leave(site, old)
    await asyncio.sleep(0.3)
    await site.add_node()
    await wait_until(lambda: site.nodes[-1].ready)
    caller = await site.caller(PRIMARY_ROUTE, len(site.nodes) - 1)
    assert (await caller.run('READ a', 'late')).code == 'BUSY'
    reader = await site.caller(SESSION_ROUTE, len(site.nodes) - 1)
    assert not (await reader.run('READ a')).code


async def test_planned_successor_is_complete_and_newest(
    draining_site: SiteStandIn,
) -> None:
    """Guards against a planned change that loses commits, or is done twice.

    A successor that lacks the leader's position loses commits; one that is
    about to leave would have to be replaced again.
    """
    site = draining_site
    deaf, leaving = await site.add_database(), await site.add_database()
    _old, new = site.databases[1:3]
    for started_at, database in enumerate(site.databases):
        database.started_at += started_at
        site.platform.write_entry(database)
    cluster = _cluster(site)
    await wait_until(lambda: len(cluster.members) == len(site.databases))
    deaf.faults.replication_stopped = True
    _leave(site, leaving)
    caller = await site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    leader = cluster.leader
    assert leader is not None
    assert await find_successor(cluster, leader) is cluster.members['db-2']
    _stop_replication(site)
    assert not (await caller.run('WRITE a 2')).code
    assert await find_successor(cluster, leader) is None
    assert new.server_id == 'db-2'


async def test_position_in_the_next_term(draining_site: SiteStandIn) -> None:
    """Guards against a rolled back commit that counts as received (lost).

    Pattern: a replica that lacks a commit is promoted and writes; the position
    of the next term is greater than that of the commit.
    """
    site = draining_site
    lost = Position(1, 9)
    site.group.promote('db-1')
    site.leader.commit([(b'a', b'1')], [b'new'])
    cluster = _cluster(site)
    assert site.leader.position > (lost.term, lost.offset)
    member = cluster.members['db-1']
    assert not await has_position(cluster, member, lost)
    assert await has_position(cluster, member, Position(2, 1))


async def test_successor_of_a_leader_that_has_left(
    draining_site: SiteStandIn,
) -> None:
    """Guards against a long wait for a leader that left as announced.

    Pattern: no replica can be promoted before the leader exits.
    """
    site, old = draining_site, draining_site.leader
    caller = await site.caller(PRIMARY_ROUTE)
    assert not (await caller.run('WRITE a 1')).code
    await asyncio.sleep(0.1)
    site.platform.faults.refuse_writes = True
    _leave(site, old)
    await asyncio.sleep(0.5)
    await old.stop()
    site.platform.faults.refuse_writes = False
    site.platform.remove_entry(old.server_id)
    await wait_until(lambda: site.leader is not old, 3)
    assert not (await caller.run('WRITE a 2')).code


def test_default_drain_time() -> None:
    """Guards against settings that let leaving servers be used for good."""
    settings = SiteStandIn().settings('front')
    assert attrs.fields(type(settings)).drain.default > 0
