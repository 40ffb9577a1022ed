"""Tests of unexpected errors in each task of the platform's program."""

import asyncio
import contextlib
import itertools
import time
from collections import defaultdict
from collections.abc import Coroutine
from functools import partial
from typing import Any, TypeVar
from unittest import mock

from stand_ins.site import (
    BOUNDED_ROUTE,
    PRIMARY_ROUTE,
    SERVICE,
    SESSION_ROUTE,
    SiteStandIn,
)

from monsoonproxy import (
    direct_pools,
    promotion,
    read_execution,
    relay_server,
    write_execution,
)
from monsoonproxy.backends import Backend, Credentials
from monsoonproxy.clock import Clock
from monsoonproxy.clusters import Cluster
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.leader_monitor import LeaderMonitor
from monsoonproxy.node import Node
from monsoonproxy.pool_sizing import PoolRules
from monsoonproxy.service_leader import ServiceLeader
from monsoonproxy.supervisors import Supervisor
from tests.fixtures import load_functions
from tests.platform_sites import config_version, running_site, wait_until

_T = TypeVar('_T')

load_tests = load_functions(__name__)

_ROUTES = (PRIMARY_ROUTE, BOUNDED_ROUTE, SESSION_ROUTE)
#: Time in s within which a borrower hears of a lender's error.
_ANSWERED_WITHIN = 0.5
#: Tasks that each daemon of a small site always has, by their first function.
_PERMANENT = {
    'Gossip.run',
    'Node._report',
    'Node._sweep',
    'PeerCleanup.run',
    'TableFollower.run',
}


def _own_functions(task: 'asyncio.Task[Any]') -> list[str]:
    """Return the functions of the daemons that a task waits in."""
    found = []
    coro: Any = task.get_coro()
    while hasattr(coro, 'cr_code'):
        module = coro.cr_frame.f_globals['__name__']
        if module.split('.')[0] in {'monsoonproxy', 'site_platform'}:
            found.append(coro.cr_code.co_qualname)
        coro = coro.cr_await
    return [
        name for name in found if not name.startswith(f'{Supervisor.__name__}.')
    ]


def _tasks_by_kind() -> dict[str, 'list[asyncio.Task[Any]]']:
    """Return the daemons' waiting tasks by their first own function."""
    found = defaultdict(list)
    for task in asyncio.all_tasks():
        functions = _own_functions(task)
        if functions and task is not asyncio.current_task():
            found[functions[0]].append(task)
    return found


def _raise_in(task: 'asyncio.Task[Any]') -> None:
    """Make what a task waits for fail with an unexpected error."""
    waiter = task._fut_waiter  # type: ignore[attr-defined]
    if waiter is not None and not waiter.done():
        waiter.set_exception(RuntimeError('planted'))


def _uses_version(site: SiteStandIn, version: int) -> bool:
    return all(config_version(node) == version for node in site.nodes)


async def _check_site(site: SiteStandIn) -> None:
    """Check that all daemons serve, and follow the configuration."""
    site.configure()
    await wait_until(partial(_uses_version, site, site.document['version']))
    for number, route in itertools.product(range(len(site.nodes)), _ROUTES):
        caller = await site.caller(route, number)
        assert not (await caller.run('WRITE a 1')).code
        assert not (await caller.run('READ a')).code
        await caller.close()


def _has_all_tasks(counts: dict[str, int]) -> bool:
    kinds = _tasks_by_kind()
    return all(len(kinds[name]) == counts[name] for name in _PERMANENT)


async def test_each_task_is_restarted(platform_site: SiteStandIn) -> None:
    """Guards against a task of a daemon that ends with an unexpected error.

    The error is raised in one kind of task after the other, on all daemons at
    once, wherever the task waits.
    """
    counts = {kind: len(tasks) for kind, tasks in _tasks_by_kind().items()}
    assert set(counts) >= _PERMANENT
    for kind in counts:
        for task in _tasks_by_kind()[kind]:
            _raise_in(task)
        await _check_site(platform_site)
        await wait_until(partial(_has_all_tasks, counts))


async def _fail_once(
    owner: Any, name: str, work: Coroutine[Any, Any, _T]
) -> _T:
    """Run work while the first call of a function raises an error.

    :param owner: Class or module that has the function.
    :param name: Name of the function.
    :param work: The work, which has to call the function.
    :returns: What the work returns.
    """
    function = getattr(owner, name)
    calls = itertools.count()

    def fail_first(*args: Any, **options: Any) -> Any:
        if not next(calls):
            raise RuntimeError('planted')
        return function(*args, **options)

    with mock.patch.object(owner, name, fail_first):
        outcome = await work
    assert next(calls), name
    return outcome


def _agree_on_leader(site: SiteStandIn) -> bool:
    leaders = (
        node.catalog.runners[SERVICE].cluster.leader for node in site.nodes
    )
    wanted = site.leader.server_id
    return all(
        leader is not None and leader.server.server_id == wanted
        for leader in leaders
    )


async def _replace_leader(site: SiteStandIn) -> None:
    """Stop the leader, and check that writes go to another one."""
    former = site.leader
    await former.stop()
    caller = await site.caller(PRIMARY_ROUTE)
    await wait_until(lambda: site.leader is not former)
    await wait_until(partial(_agree_on_leader, site))
    assert not (await caller.run('WRITE a 2')).code
    assert not site.group.rolled_back


async def test_each_step_of_a_replacement() -> None:
    """Guards against a failed leader that is kept after an unexpected error.

    The error is raised in one step of the replacement after the other, in the
    first daemon that gets there.
    """
    steps: tuple[tuple[Any, str], ...] = (
        (promotion.Promoter, '_assess'),
        (promotion.Promoter, '_act_on'),
        (promotion.Promoter, '_replace'),
        (promotion.Promoter, '_elect'),
        (promotion.Promoter, '_promote'),
        (promotion.Promoter, '_order_promotion'),
        (promotion, 'query_candidates'),
        (LeaderMonitor, 'check_reachability'),
        (LeaderMonitor, '_search'),
        (ServiceLeader, 'confirm'),
        (ServiceLeader, 'find'),
    )
    for owner, name in steps:
        async with running_site(SiteStandIn()) as site:
            caller = await site.caller(PRIMARY_ROUTE, 1)
            assert not (await caller.run('WRITE a 1')).code
            await _fail_once(owner, name, _replace_leader(site))


async def _run_statement(site: SiteStandIn, route: str, text: str) -> str:
    """Run a statement, and the end of a transaction, on a new session.

    :returns: The error code; ``closed`` if the daemon closed the connection.
    """
    caller = await site.caller(route)
    try:
        reply = await asyncio.wait_for(caller.run(text), 5)
        if reply.state == b'T':
            reply = await caller.run('COMMIT')
    except ConnectionError:
        return 'closed'
    finally:
        await caller.close()
    return reply.code


async def _run_statements(site: SiteStandIn) -> list[str]:
    return [
        await _run_statement(site, route, text)
        for route in _ROUTES
        for text in ('READ a', 'WRITE a 1', 'BEGIN')
    ]


def _is_idle(node: Node) -> bool:
    gauges = node.gauges()
    held = (gauges['callers'], gauges['callers_busy'], gauges['callers_bytes'])
    cluster = node.catalog.runners[SERVICE].cluster
    has_connections = all(
        member.direct.has_idle for member in cluster.members.values()
    )
    return node.ready and has_connections and not any(held)


async def test_each_step_of_a_statement(platform_site: SiteStandIn) -> None:
    """Guards against an unexpected error that keeps what a statement held.

    Its caller gets an error or finds the connection closed; no other caller
    notices, and no counter of running statements or bytes stays raised.
    """
    steps: tuple[tuple[Any, str], ...] = (
        (read_execution, 'read'),
        (read_execution, '_HedgedRead'),
        (read_execution.selection, 'choose'),
        (write_execution, 'write'),
        (write_execution, '_write_once'),
        (write_execution, '_handle_answer'),
        (Cluster, 'acquire'),
        (Cluster, 'exchange'),
        (Cluster, 'release'),
    )
    for owner, name in steps:
        codes = await _fail_once(owner, name, _run_statements(platform_site))
        assert sum(map(bool, codes)) <= 1, (name, codes)
        await wait_until(partial(_is_idle, platform_site.nodes[0]))


async def test_errors_while_connections_open() -> None:
    """Guards against a pool that counts connections as opening for ever.

    While the daemons start, the first sixty attempts to open a connection end
    with an unexpected error; the databases accept six connections each.
    """
    opening, attempts = direct_pools.open_connection, itertools.count(1)

    async def fail_first(*args: Any) -> Any:
        if next(attempts) <= 60:
            raise RuntimeError('planted')
        return await opening(*args)

    site = SiteStandIn()
    site.limit_connections(6)
    with mock.patch.object(direct_pools, 'open_connection', fail_first):
        async with running_site(site):
            caller = await site.caller(PRIMARY_ROUTE)

            end = time.monotonic() + 10
            while (await caller.run('WRITE a 1')).code:
                assert time.monotonic() < end


class _FailingAdapter:
    """Opens connections; the first calls end with an unexpected error."""

    def __init__(self, errors: int) -> None:
        self._errors = errors

    async def connect(self, _address: str, **_options: Any) -> Any:
        self._errors -= 1
        if self._errors >= 0:
            raise RuntimeError('planted')
        return mock.Mock(close=self._close)

    async def _close(self) -> None:
        raise RuntimeError('planted')


async def test_errors_of_a_database_adapter() -> None:
    """Guards against a MySQL pool that is full of connections that never open.

    Opening and closing connections end with unexpected errors.
    """
    rules = PoolRules(connection_limit=4, holders=1)
    backend = Backend(
        'db-0',
        'address',
        _FailingAdapter(20),
        credentials=Credentials('user', ''),
        rules=rules,
        clock=Clock(),
    )
    maintaining = asyncio.create_task(backend.maintain_pool())
    end = time.monotonic() + 10
    served = 0
    while served < 3 * rules.connection_limit:
        assert time.monotonic() < end
        with contextlib.suppress(ConnectionLostError):
            # A lease that is not clean closes its connection.
            backend.release(await backend.acquire(1, 200))
            served += 1
    maintaining.cancel()


async def _write_at_each_daemon(site: SiteStandIn) -> set[str]:
    """Write at each daemon in turn; return the error codes."""
    codes = set()
    for number, _node in enumerate(site.nodes):
        caller = await site.caller(PRIMARY_ROUTE, number)
        reply = await asyncio.wait_for(
            caller.run('WRITE a 1'), _ANSWERED_WITHIN
        )
        codes.add(reply.code)
        await caller.close()
    return codes


async def test_error_at_a_lender() -> None:
    """Guards against borrowers that wait for a lender with an unexpected error.

    Seven daemons share six connections per database.
    """
    steps = {'_acquire': {''}, '_forward': {'', 'INDOUBT'}}
    site = SiteStandIn(daemons=7)
    site.limit_connections(6)
    async with running_site(site):
        await asyncio.sleep(0.5)
        for name, allowed in steps.items():
            codes = await _fail_once(
                relay_server.RelayConnection, name, _write_at_each_daemon(site)
            )
            assert codes <= allowed, name
