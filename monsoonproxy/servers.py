"""The backend servers that a daemon knows."""

from collections.abc import Iterable, Iterator

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import Role


@attrs.frozen
class Server:
    """A backend server's own entry in the store.

    :param server_id: Its identity. Its address is not one, since another
        backend server may use it later.
    :param service: Name of its service.
    :param address: ``ip:port``.
    :param availability_zone: The zone it is in.
    :param slots: Statements that it runs at once.
    :param leaving: Whether it is about to leave.
    :param role: Primary or replica, as it sees itself.
    :param started_at: When it started, in ms since the Unix epoch.
    :param slow_for: Time in ms for which it is still slow after its start.
    """

    server_id: str
    service: str
    address: str
    availability_zone: str
    slots: int = 2
    leaving: bool = False
    role: Role = Role.REPLICA
    started_at: int = 0
    slow_for: int = 0


class ServerList:
    """The usable backend servers, from the entries in the store.

    Entries may lapse while the store is unavailable. Backend servers that are
    alive restore theirs once it is back, so an entry that is missing then is
    kept for :attr:`GRACE`.
    """

    #: Time in ms for which a missing entry is kept after the store was
    #: unavailable: entries come back within about two seconds by the platform's
    #: description, and half a second is margin.
    GRACE = Millis(2_500)

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._lapsed: dict[str, int] = {}

    def __iter__(self) -> Iterator[Server]:
        """Iterate over the backend servers.

        :returns: An iterator.
        """
        return iter(tuple(self._servers.values()))

    def __contains__(self, server_id: object) -> bool:
        """Tell whether a backend server is known.

        :param server_id: Its identity.
        :returns: Whether it is.
        """
        return server_id in self._servers

    def get(self, server_id: str) -> Server | None:
        """Return a backend server.

        :param server_id: Its identity.
        :returns: Its latest entry, if it has one.
        """
        return self._servers.get(server_id)

    def of(self, service: str) -> tuple[Server, ...]:
        """Return the backend servers of a service.

        :param service: Name of the service.
        :returns: Their entries.
        """
        return tuple(
            server
            for server in self._servers.values()
            if server.service == service
        )

    def put(self, server: Server) -> Server | None:
        """Add or replace an entry.

        :param server: The entry.
        :returns: The entry that it replaces.
        """
        old = self._servers.get(server.server_id)
        self._servers[server.server_id] = server
        self._lapsed.pop(server.server_id, None)
        return old

    def remove(self, server_id: str) -> Server | None:
        """Drop an entry.

        :param server_id: Identity of the backend server.
        :returns: The dropped entry.
        """
        self._lapsed.pop(server_id, None)
        return self._servers.pop(server_id, None)

    def replace_all(
        self, servers: Iterable[Server], now: Millis, *, was_unavailable: bool
    ) -> tuple[Server, ...]:
        """Replace the list by the entries of a complete read of the store.

        :param servers: All entries of the store.
        :param now: The time.
        :param was_unavailable: Whether the store was unavailable just before,
            so that missing entries may still come back.
        :returns: The removed entries.
        """
        listed = {server.server_id for server in servers}
        for server in servers:
            self.put(server)
        missing = [name for name in self._servers if name not in listed]
        if was_unavailable:
            for name in missing:
                self._lapsed.setdefault(name, now + self.GRACE)
            return ()
        return tuple(filter(None, map(self.remove, missing)))

    def lapse(self, server_id: str, now: Millis) -> None:
        """Keep an entry for a while that the store lost in a disturbance.

        :param server_id: Identity of the backend server.
        :param now: The time.
        """
        if server_id in self._servers:
            self._lapsed.setdefault(server_id, now + self.GRACE)

    def expire(self, now: Millis) -> tuple[Server, ...]:
        """Drop the entries that did not come back in time.

        :param now: The time.
        :returns: The dropped entries.
        """
        due = [name for name, at in self._lapsed.items() if at <= now]
        return tuple(filter(None, map(self.remove, due)))
