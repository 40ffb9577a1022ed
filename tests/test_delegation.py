"""Tests of when a daemon follows the store itself."""

import types
from typing import Any

import attrs

from monsoonproxy.clock import Clock, Millis
from monsoonproxy.delegation import Delegation
from monsoonproxy.stores import Revision
from tests.fixtures import ManualClock, load_functions

load_tests = load_functions(__name__)


@attrs.define
class _SupervisorStub:
    """Records the followers that are started.

    :param started: Their names.
    """

    started: set[str] = attrs.Factory(set)

    def children(self) -> set[str]:
        """Return the names of the running children."""
        return self.started

    def start_child(self, name: str, _run: Any) -> None:
        """Record a start."""
        self.started.add(name)


def _delegation(clock: Clock, supervisor: _SupervisorStub) -> Delegation:
    """Return that of a daemon that knows neither peers nor a configuration."""
    settings: Any = types.SimpleNamespace(
        relay_address='10.0.0.1:2', first_start=False
    )
    catalog: Any = types.SimpleNamespace(
        versions=lambda: (0, Revision()),
        apply_configuration_row=None,
        apply_server_rows=None,
    )
    store: Any = None
    followers: Any = supervisor
    return Delegation(settings, store, catalog, followers, clock)


async def test_starved_daemon_waits_for_delegates() -> None:
    """Guards against starved daemons that read every table themselves.

    The machine gives a daemon no processor time just after its start, so that
    its time for news of delegates is over before it has read them.
    """
    clock, supervisor = ManualClock(), _SupervisorStub()
    delegation = _delegation(clock, supervisor)
    clock.time = Millis(1_650)
    delegation.note_suspension(Millis(650))
    await delegation.update((), 0)
    assert not supervisor.started
    clock.time = Millis(1_900)
    await delegation.update((), 0)
    assert supervisor.started == {'routes', 'servers'}


async def test_slow_daemon_follows_the_store() -> None:
    """Guards against a daemon on a slow host that waits for ever."""
    clock, supervisor = ManualClock(), _SupervisorStub()
    delegation = _delegation(clock, supervisor)
    for _ in range(5):
        clock.time = Millis(clock.time + 500)
        delegation.note_suspension(Millis(500))
        await delegation.update((), 0)
    assert supervisor.started == {'routes', 'servers'}
