"""The other daemons that a daemon knows."""

import random
from collections.abc import Iterable

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.gossip_messages import Listing, Presence
from monsoonproxy.models import Host

#: Presences that a daemon sends per second at most. They are 100 bytes each;
#: news spread by themselves, and a lender that died is noticed when it is
#: used, so presences need not be frequent.
_PRESENCES_PER_S = 10
#: Least time in ms between two presences to the same daemon.
_MIN_INTERVAL = Millis(2_000)
#: Intervals without a presence after which a daemon is taken for gone, since
#: datagrams are lost.
_MAX_SILENT_INTERVALS = 3.5
#: Time in ms for which a daemon that the store lists, and that was not heard
#: yet, is taken to be there. After a loss of power, all hosts are back within
#: some 3 s, and news of a daemon's start reach all others at once.
_LISTED_GRACE = Millis(5_000)


@attrs.define
class Peer:
    """Another daemon.

    :param name: Its name.
    :param address: Where it takes notices.
    :param relay: Where it lends connections.
    :param zone: Availability zone that its host is in.
    :param started: When it started, in ms since the Unix epoch.
    :param heard_at: When it was last heard, or ``None``.
    :param listed_at: When the store listed it, or ``None`` if it did not
        answer since.
    :param version: Version of the configuration that it has.
    :param stamp: Version of the backend servers' entries that it has.
    :param follows: Whether it follows the store.
    :param leaving: Whether it is about to stop.
    """

    name: str
    address: str
    relay: str = ''
    zone: str = ''
    started: int = 0
    heard_at: Millis | None = None
    listed_at: Millis | None = None
    version: int = 0
    stamp: int = 0
    follows: bool = False
    leaving: bool = False
    _host: Host | None = None

    @property
    def host(self) -> Host:
        """Return where it lends connections, as one object while it stays."""
        host = self._host
        place = (self.relay, self.zone)
        if host is None or place != (host.address, host.availability_zone):
            host = Host(*place)
            self._host = host
        return host


class PeerList:
    """Keeps the list of daemons.

    :param own: Name of this daemon.
    :param rng: Source of the choice of receivers.
    """

    def __init__(self, own: str, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._known: dict[str, Peer] = {}

    def __len__(self) -> int:
        """Return the number of known daemons, without this one.

        :returns: The number.
        """
        return len(self._known)

    @property
    def interval(self) -> Millis:
        """Return the time between two presences to the same daemon.

        :returns: The time in ms; it grows with the number of daemons.
        """
        return max(_MIN_INTERVAL, Millis(len(self) * 1000 // _PRESENCES_PER_S))

    def add(self, name: str, listing: Listing, now: Millis) -> None:
        """Add a daemon that the store lists, unless it is known already.

        :param name: Its name.
        :param listing: Where it is.
        :param now: The time.
        """
        if name != self._own and name not in self._known:
            self._known[name] = Peer(
                name,
                listing.address,
                listing.relay,
                listing.zone,
                listed_at=now,
            )

    def get(self, name: str) -> Peer | None:
        """Return a daemon.

        :param name: Its name.
        :returns: The daemon, if it is known.
        """
        return self._known.get(name)

    def record_presence(self, presence: Presence, now: Millis) -> bool:
        """Take in a presence.

        :param presence: The notice.
        :param now: The time.
        :returns: Whether the daemon is new, or has started again.
        """
        if presence.sender == self._own:
            return False
        known = self._known.get(presence.sender)
        if known is None:
            known = Peer(presence.sender, presence.address)
            self._known[presence.sender] = known
        if presence.started < known.started:
            return False
        is_new = known.heard_at is None or known.started < presence.started
        known.address = presence.address
        known.relay = presence.relay
        known.zone = presence.zone
        known.started = presence.started
        known.version = presence.version
        known.stamp = presence.stamp
        known.follows = presence.follows
        known.leaving = presence.leaving
        known.heard_at = now
        return is_new

    def remove(self, name: str) -> None:
        """Drop a daemon.

        :param name: Its name.
        """
        self._known.pop(name, None)

    def relay_addresses(self, names: Iterable[str]) -> frozenset[str]:
        """Return where daemons lend connections.

        :param names: Their names.
        :returns: Addresses of those that are known.
        """
        wanted = set(names)
        known = (each for each in self.all() if each.name in wanted)
        return frozenset(each.relay for each in known if each.relay)

    def suspect(self, relay: str) -> None:
        """Take a daemon for gone until it is heard again.

        :param relay: Where it lent connections, and did not answer.
        """
        for known in self._known.values():
            if known.relay == relay:
                known.heard_at = None
                known.listed_at = None

    def alive(self, now: Millis) -> tuple[Peer, ...]:
        """Return the daemons that were heard lately.

        :param now: The time.
        :returns: The daemons.
        """
        silence = self.interval * _MAX_SILENT_INTERVALS
        return tuple(
            known
            for known in self._known.values()
            if known.heard_at is not None and now - known.heard_at < silence
        )

    def sample_alive(self, most: int, now: Millis) -> tuple[Peer, ...]:
        """Choose receivers of news that spread on.

        :param most: How many.
        :param now: The time.
        :returns: The daemons.
        """
        return self.sample(self.alive(now), most)

    def outdated(self, own: Peer, most: int, now: Millis) -> tuple[Peer, ...]:
        """Choose receivers that lack what this daemon has.

        Those in its own availability zone come first: they fetch it from here,
        and bytes between zones cost.

        :param own: This daemon.
        :param most: How many.
        :param now: The time.
        :returns: The daemons.
        """
        lacking = [
            known
            for known in self.alive(now)
            if known.version < own.version or known.stamp < own.stamp
        ]
        self._rng.shuffle(lacking)
        lacking.sort(key=lambda known: known.zone != own.zone)
        return tuple(lacking[:most])

    def with_relays(self, relays: frozenset[str]) -> tuple[Peer, ...]:
        """Return the daemons at some addresses.

        :param relays: Where they lend connections.
        :returns: The daemons.
        """
        return tuple(known for known in self.all() if known.relay in relays)

    def sample(self, known: tuple[Peer, ...], most: int) -> tuple[Peer, ...]:
        """Choose some daemons at random.

        :param known: The daemons to choose from.
        :param most: How many.
        :returns: The daemons.
        """
        if len(known) <= most:
            return known
        return tuple(self._rng.sample(known, most))

    def all(self) -> tuple[Peer, ...]:
        """Return all known daemons.

        :returns: The daemons.
        """
        return tuple(self._known.values())

    def hosts(self, now: Millis) -> frozenset[Host]:
        """Return where daemons lend connections.

        Those that the store listed just now count too: a daemon that starts
        has not heard anybody yet, and must not take itself for the only one.

        :param now: The time.
        :returns: Their relays, without those that are about to stop.
        """
        listed = (
            known
            for known in self._known.values()
            if known.heard_at is None
            and known.listed_at is not None
            and now - known.listed_at < _LISTED_GRACE
        )
        return frozenset(
            known.host
            for known in (*self.alive(now), *listed)
            if known.relay and not known.leaving
        )
