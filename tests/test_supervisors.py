"""Tests of the supervisor tree."""

import asyncio

from monsoonproxy.clock import Millis
from monsoonproxy.supervisors import (
    Restart,
    RestartRule,
    Supervisor,
    SupervisorError,
)
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


async def test_restarts_a_failed_child() -> None:
    """Guards against a task that is not restarted after an error."""
    runs = 0
    again = asyncio.Event()

    async def child() -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            raise ValueError
        again.set()
        await asyncio.Event().wait()

    supervisor = Supervisor('test')
    supervisor.start_child('child', child, RestartRule(backoff=Millis(1)))
    await again.wait()
    await supervisor.stop()
    assert runs == 2


async def test_restart_limit_escalates() -> None:
    """Guards against endless restarts of a child that always fails.

    Past the restart limit, the supervisor itself has to fail.
    """

    async def child() -> None:
        raise ValueError

    supervisor = Supervisor('test')
    supervisor.start_child(
        'child', child, RestartRule(max_restarts=3, backoff=Millis(1))
    )
    try:
        await supervisor.run()
    except SupervisorError:
        return
    raise AssertionError('the supervisor did not fail')


async def test_temporary_child_is_not_restarted() -> None:
    """Guards against restarting a temporary child that has returned."""
    done = asyncio.Event()

    async def child() -> None:
        done.set()

    supervisor = Supervisor('test')
    rule = RestartRule(restart=Restart.TEMPORARY)
    supervisor.start_child('child', child, rule)
    await done.wait()
    await asyncio.sleep(0)
    assert not supervisor.children()
