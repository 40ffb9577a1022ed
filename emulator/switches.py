"""Faults and limits that can be changed while a backend server runs."""

from collections.abc import Collection, Mapping
from typing import Any

import attrs

from emulator.signals import Signal

EVERYONE = '*'


@attrs.define
class Switches:
    """Faults and limits of a backend server; all times are in ms.

    :param read_ms: Service time of a statement that reads.
    :param write_ms: Service time of a statement that writes.
    :param slow_ms: Added to every service time.
    :param open_ms: Time that opening a connection takes.
    :param delay_ms: One-way network delay.
    :param receive_lag_ms: Delay before a replica has received an entry.
    :param apply_lag_ms: Delay before a replica has applied a received entry.
    :param connection_limit: Greatest number of clients' connections.
    :param frozen: Whether the process does nothing, as if stopped.
    :param leaving: Whether it reports that it is leaving.
    :param cut: Names of members and callers that no traffic reaches; ``*``
        stands for all.
    """

    read_ms: float = 0
    write_ms: float = 0
    slow_ms: float = 0
    open_ms: float = 0
    delay_ms: float = 0
    receive_lag_ms: float = 0
    apply_lag_ms: float = 0
    connection_limit: int = 100
    frozen: bool = False
    leaving: bool = False
    cut: list[str] = attrs.Factory(list)


class Gate:
    """Holds traffic back while switches say so.

    Traffic that is held back goes on later, as with TCP when a partition
    ends before the connection has timed out.

    :param switches: The initial settings.
    """

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        self.changed = Signal()

    def update(self, changes: Mapping[str, Any]) -> None:
        """Change some switches.

        :param changes: New values by name.
        :raises TypeError: If a name is unknown.
        """
        self.switches = attrs.evolve(self.switches, **changes)
        self.changed.notify()

    def open_for(self, names: Collection[str]) -> bool:
        """Tell whether traffic may pass now.

        :param names: The names of the other end.
        :returns: Whether it may pass.
        """
        cut = self.switches.cut
        if self.switches.frozen or EVERYONE in cut:
            return False
        return not any(name in cut for name in names)

    async def passage(self, names: Collection[str] = ()) -> None:
        """Wait until traffic may pass.

        :param names: The names of the other end.
        """
        while not self.open_for(names):
            await self.changed.wait()

    async def running(self) -> None:
        """Wait until the process is not frozen."""
        while self.switches.frozen:
            await self.changed.wait()
