"""A running site with load, as faults act on it."""

import signal
from typing import Any

import attrs

from emulator.callers import now
from emulator.cluster import Cluster, Process
from monsoonproxy import placement
from monsoonproxy.models import Host


@attrs.define
class Scene:
    """A site with load, as a fault acts on it.

    :param cluster: The site.
    :param service: The service under load.
    :param hold: Time in s for which a fault lasts.
    :param injected: Time in ms of the fault's main event.
    :param notes: What was done, with times in ms.
    :param accepted: Versions that concurrent operators got accepted, by round;
        0 stands for a refusal.
    :param left: Name of a backend server that was leaving, and the Unix time
        in ms at which that began and ended.
    """

    cluster: Cluster
    service: str
    hold: float
    injected: int = 0
    notes: list[tuple[int, str]] = attrs.Factory(list)
    accepted: list[list[int]] = attrs.Factory(list)
    left: tuple[str, int, int] = ('', 0, 0)

    @property
    def members(self) -> dict[str, Process]:
        """Return the backend servers of the service.

        :returns: They, by name.
        """
        return self.cluster.databases[self.service]

    def note(self, text: str, *, main: bool = True) -> None:
        """Note that something is being done now.

        :param text: What.
        :param main: Whether the failover is measured from here.
        """
        moment = now()
        self.notes.append((moment, text))
        if main and not self.injected:
            self.injected = moment

    async def primary(self) -> Process:
        """Find the primary.

        :returns: The primary of the highest term.
        :raises RuntimeError: If there is none.
        """
        found = await self.cluster.primary(self.service)
        if found is None:
            raise RuntimeError('the group has no primary')
        return found

    async def replicas(self) -> list[Process]:
        """Find the replicas.

        :returns: All other members.
        """
        primary = await self.primary()
        return [each for each in self.members.values() if each is not primary]

    def holder(self) -> Process:
        """Find the daemon at rank 0 of the service.

        :returns: The daemon.
        """
        daemons = {daemon.control: daemon for daemon in self.cluster.daemons}
        zones = self.cluster.site.zones
        hosts = [
            Host(address, zones[number % len(zones)])
            for number, address in enumerate(daemons)
        ]
        first = placement.holders(self.service, hosts, 1)[0]
        return daemons[first.address]

    async def switch(self, database: Process, **changes: Any) -> None:
        """Change switches of a backend server.

        :param database: The backend server.
        :param changes: New values.
        """
        await self.cluster.switch(database.control, changes)

    async def store(self, **changes: Any) -> None:
        """Change switches of the platform.

        :param changes: New values.
        """
        address = self.cluster.platform.address
        await self.cluster.switch(address, changes, '/control/switches')


async def heal(scene: Scene) -> None:
    """End all faults and start all processes that have ended.

    :param scene: The site.
    """
    for process in (*scene.members.values(), *scene.cluster.daemons):
        process.send_signal(signal.SIGCONT)
        if process.ended:
            await process.start()
    for database in scene.members.values():
        await scene.cluster.reach(database)
        await scene.switch(
            database,
            cut=[],
            frozen=False,
            leaving=False,
            receive_lag_ms=0,
            apply_lag_ms=0,
        )
    await scene.store(down=False, lose_answers=0, hosts_late_ms=0)
