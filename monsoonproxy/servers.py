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
    :param sequence: Number of the entry, which grows while it runs.
    :param document: The entry as stored, for peers.
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
    sequence: int = 0
    document: bytes = attrs.field(default=b'', repr=False)

    @property
    def age_key(self) -> tuple[int, int]:
        """Return what orders all entries that one backend server wrote."""
        return self.started_at, self.sequence

    def tells_more_than(self, old: 'Server | None') -> bool:
        """Tell whether an entry differs in more than its number.

        :param old: The entry of the same backend server before, if any.
        :returns: Whether it does, or there was none.
        """
        return old is None or self != attrs.evolve(
            old,
            slow_for=self.slow_for,
            sequence=self.sequence,
            document=self.document,
        )


@attrs.frozen
class _Departure:
    """The last entry of a removed backend server, and when it was removed."""

    server: Server
    at: Millis


class ServerList:
    """The usable backend servers, from the entries in the store.

    Entries may lapse while the store is unavailable. Backend servers that are
    alive restore theirs once it is back, so an entry that is missing then is
    kept for :attr:`GRACE`.

    A store that is restored from an older copy has entries again that were
    changed or removed since. For :attr:`DISTRUST` they don't replace what is
    known to be newer: live backend servers write theirs again meanwhile, and
    the store drops those of the others. What the store holds then is used.
    """

    #: Time in ms for which a missing entry is kept after the store was
    #: unavailable: entries come back within about two seconds by the platform's
    #: description, and half a second is margin.
    GRACE = Millis(2_500)
    #: Time in ms for which entries of a restored store may be older than known
    #: ones. The store drops an entry within three intervals of 1.2 s.
    DISTRUST = Millis(6_000)
    #: Time in ms for which removed backend servers are remembered, far above
    #: the age of a copy, which is some seconds.
    DEPARTED_MEMORY = Millis(120_000)

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._lapsed: dict[str, int] = {}
        self._departed: dict[str, _Departure] = {}
        #: Entries that are older than what is known, by identity.
        self._distrusted: dict[str, Server] = {}
        self._distrusts_until = Millis(0)

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

    @property
    def lapsed(self) -> tuple[str, ...]:
        """Return the backend servers that are dropped unless they come back.

        :returns: Their identities.
        """
        return tuple(self._lapsed)

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

    def start_distrust(self, now: Millis) -> None:
        """Expect older entries, because the store was restored.

        :param now: The time.
        """
        self._distrusts_until = Millis(now + self.DISTRUST)

    def is_distrusting(self, now: Millis) -> bool:
        """Tell whether entries in the store may be older than known ones.

        :param now: The time.
        :returns: Whether the store was restored less than 6 s ago.
        """
        return now < self._distrusts_until

    def put(self, server: Server, now: Millis = Millis(0)) -> bool:
        """Add or replace an entry, or keep it back if it may be an older one.

        :param server: The entry.
        :param now: The time.
        :returns: Whether the entry is used now.
        """
        name = server.server_id
        if self.is_distrusting(now) and self._is_older(server):
            self._distrusted[name] = server
            return False
        self._distrusted.pop(name, None)
        self._departed.pop(name, None)
        self._lapsed.pop(name, None)
        self._servers[name] = server
        return True

    def remove(self, server_id: str, now: Millis = Millis(0)) -> Server | None:
        """Drop an entry.

        :param server_id: Identity of the backend server.
        :param now: The time.
        :returns: The dropped entry.
        """
        self._distrusted.pop(server_id, None)
        self._lapsed.pop(server_id, None)
        server = self._servers.pop(server_id, None)
        if server is not None:
            self._departed[server_id] = _Departure(server, now)
        return server

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
        listed = set()
        for server in servers:
            listed.add(server.server_id)
            self.put(server, now)
        for unlisted in self._distrusted.keys() - listed:
            self._distrusted.pop(unlisted)
        missing = [name for name in self._servers if name not in listed]
        if was_unavailable:
            for name in missing:
                self.lapse(name, now)
            return ()
        return self._remove_all(missing, now)

    def lapse(self, server_id: str, now: Millis) -> None:
        """Keep an entry for a while that the store lost in a disturbance.

        :param server_id: Identity of the backend server.
        :param now: The time.
        """
        self._distrusted.pop(server_id, None)
        if server_id in self._servers:
            self._lapsed.setdefault(server_id, now + self.GRACE)

    def expire(self, now: Millis) -> tuple[Server, ...]:
        """Drop the entries that did not come back in time.

        :param now: The time.
        :returns: The dropped entries.
        """
        due = [name for name, at in self._lapsed.items() if at <= now]
        self._departed = {
            name: departure
            for name, departure in self._departed.items()
            if now - departure.at < self.DEPARTED_MEMORY
        }
        return self._remove_all(due, now)

    def end_distrust(self, now: Millis) -> tuple[Server, ...]:
        """Use the entries that were kept back once their time is over.

        :param now: The time.
        :returns: The entries.
        """
        if not self._distrusted or self.is_distrusting(now):
            return ()
        trusted = tuple(self._distrusted.values())
        for server in trusted:
            self.put(server, now)
        return trusted

    def _is_older(self, server: Server) -> bool:
        """Tell whether an entry is older than what is known of its writer.

        The last entry of a removed backend server is older than its removal.
        """
        known = self._servers.get(server.server_id)
        if known is not None:
            return server.age_key < known.age_key
        departure = self._departed.get(server.server_id)
        if departure is None:
            return False
        return server.age_key <= departure.server.age_key

    def _remove_all(
        self, names: Iterable[str], now: Millis
    ) -> tuple[Server, ...]:
        removed = (self.remove(name, now) for name in names)
        return tuple(server for server in removed if server is not None)
