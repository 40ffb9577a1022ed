"""The peers of a daemon: the other daemons of its site.

Peers are added from the store's list of daemons and from the presences that
they send.
"""

import random
from collections.abc import Iterable

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.gossip_messages import Listing, Presence
from monsoonproxy.models import Host
from monsoonproxy.stores import Revision

#: Presences that a daemon sends per second at most, 100 bytes each. They need
#: not be frequent: updates are sent at once, and a failed lender is detected
#: when a connection is borrowed from it.
_PRESENCES_PER_S = 10
#: Minimum time in ms between two presences to the same peer.
_MIN_INTERVAL = Millis(2_000)
#: Presence intervals without a presence after which a peer counts as gone.
#: More than one, since datagrams may be lost.
_MAX_SILENT_INTERVALS = 3.5
#: Time in ms for which a peer that the store lists counts as alive before its
#: first presence. After a power failure, all hosts are back within some 3 s,
#: and a daemon announces its start to all peers at once.
_LISTED_GRACE = Millis(5_000)


@attrs.define
class Peer:
    """State of one daemon, as its last presence or the store's list gave it.

    :param name: Name of the daemon.
    :param address: ``ip:port`` where it receives gossip and serves snapshots.
    :param relay: ``ip:port`` of its relay, where it lends connections.
    :param zone: Availability zone that its host is in.
    :param started: When it started, in ms since the Unix epoch.
    :param heard_at: When its last presence arrived; ``None`` before the first
        one, and after the peer was suspected.
    :param listed_at: When it was read from the store's list; ``None`` if it
        was not, or was suspected since.
    :param version: Version of the configuration that it has.
    :param entries: Revision of the backend servers' entries that it has.
    :param follows: Whether it follows the store.
    :param leaving: Whether it is shutting down.
    """

    name: str
    address: str
    relay: str = ''
    zone: str = ''
    started: int = 0
    heard_at: Millis | None = None
    listed_at: Millis | None = None
    version: int = 0
    entries: Revision = Revision()
    follows: bool = False
    leaving: bool = False
    _host: Host | None = None

    @property
    def host(self) -> Host:
        """Return relay address and zone.

        The object is cached until either changes, since hosts are compared
        often.
        """
        host = self._host
        place = (self.relay, self.zone)
        if host is None or place != (host.address, host.availability_zone):
            host = Host(*place)
            self._host = host
        return host


class PeerList:
    """Tracks which peers exist and which of them are alive.

    :param own: Name of this daemon, which is never added.
    :param rng: Random source for choosing receivers of gossip.
    """

    def __init__(self, own: str, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._known: dict[str, Peer] = {}

    def __len__(self) -> int:
        """Return the number of known peers, dead ones included.

        :returns: The number, without this daemon.
        """
        return len(self._known)

    @property
    def interval(self) -> Millis:
        """Return the time between two presences to the same peer.

        :returns: The time in ms. It grows with the number of peers, so that
            the rate at which a daemon sends presences stays bounded.
        """
        return max(_MIN_INTERVAL, Millis(len(self) * 1000 // _PRESENCES_PER_S))

    def add(self, name: str, listing: Listing, now: Millis) -> None:
        """Add a peer from the store's list, unless it is known already.

        :param name: Name of the peer.
        :param listing: Addresses and zone of the peer.
        :param now: Current time, from which the peer counts as listed.
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
        """Look up a peer by name.

        :param name: Name of the peer.
        :returns: The peer, or ``None`` if it is unknown.
        """
        return self._known.get(name)

    def record_presence(self, presence: Presence, now: Millis) -> bool:
        """Update a peer from its presence.

        A presence from before the peer's latest start is ignored: datagrams
        arrive late, and the peer may have another address now.

        :param presence: The presence.
        :param now: Time of its arrival.
        :returns: Whether the peer was not heard before or has restarted.
        """
        if presence.sender == self._own:
            return False
        peer = self._known.get(presence.sender)
        if peer is None:
            peer = Peer(presence.sender, presence.address)
            self._known[presence.sender] = peer
        if presence.started < peer.started:
            return False
        is_new = peer.heard_at is None or peer.started < presence.started
        peer.address = presence.address
        peer.relay = presence.relay
        peer.zone = presence.zone
        peer.started = presence.started
        peer.version = presence.version
        peer.entries = presence.revision
        peer.follows = presence.follows
        peer.leaving = presence.leaving
        peer.heard_at = now
        return is_new

    def remove(self, name: str) -> None:
        """Remove a peer whose stale row is removed from the store.

        :param name: Name of the peer; unknown names are ignored.
        """
        self._known.pop(name, None)

    def relay_addresses(self, names: Iterable[str]) -> frozenset[str]:
        """Return the relay addresses of peers.

        :param names: Names of the peers.
        :returns: Addresses of those peers that are known and have a relay.
        """
        wanted = set(names)
        found = (peer for peer in self.all() if peer.name in wanted)
        return frozenset(peer.relay for peer in found if peer.relay)

    def suspect(self, relay: str) -> None:
        """Count a peer as gone until its next presence.

        :param relay: Address of the relay that did not answer.
        """
        for peer in self._known.values():
            if peer.relay == relay:
                peer.heard_at = None
                peer.listed_at = None

    def alive(self, now: Millis) -> tuple[Peer, ...]:
        """Return the peers whose last presence is recent.

        :param now: Current time.
        :returns: Peers heard within 3.5 presence intervals.
        """
        silence = self.interval * _MAX_SILENT_INTERVALS
        return tuple(
            peer
            for peer in self._known.values()
            if peer.heard_at is not None and now - peer.heard_at < silence
        )

    def sample_alive(self, limit: int, now: Millis) -> tuple[Peer, ...]:
        """Choose random live peers as receivers of an update.

        :param limit: Maximum number of peers.
        :param now: Current time.
        :returns: The chosen peers.
        """
        return self.sample(self.alive(now), limit)

    def outdated(self, own: Peer, limit: int, now: Millis) -> tuple[Peer, ...]:
        """Choose live peers with older versions than this daemon.

        Peers in its own availability zone come first: they fetch the newer
        version from this daemon, and traffic between zones costs.

        :param own: This daemon.
        :param limit: Maximum number of peers.
        :param now: Current time.
        :returns: The chosen peers, in random order within each group.
        """
        outdated = [
            peer
            for peer in self.alive(now)
            if peer.version < own.version or peer.entries < own.entries
        ]
        self._rng.shuffle(outdated)
        outdated.sort(key=lambda peer: peer.zone != own.zone)
        return tuple(outdated[:limit])

    def with_relays(self, relays: frozenset[str]) -> tuple[Peer, ...]:
        """Return the peers that have one of these relays.

        :param relays: Addresses of the relays.
        :returns: The known peers among them, alive or not.
        """
        return tuple(peer for peer in self.all() if peer.relay in relays)

    def sample(self, peers: tuple[Peer, ...], limit: int) -> tuple[Peer, ...]:
        """Choose peers at random.

        :param peers: Peers to choose from.
        :param limit: Maximum number of peers.
        :returns: All peers if they are no more than ``limit``.
        """
        if len(peers) <= limit:
            return peers
        return tuple(self._rng.sample(peers, limit))

    def all(self) -> tuple[Peer, ...]:
        """Return all known peers, dead ones included.

        :returns: Peers in the order in which they were added.
        """
        return tuple(self._known.values())

    def hosts(self, now: Millis) -> frozenset[Host]:
        """Return the hosts of the peers that can lend connections.

        Peers that were listed less than 5 s ago count as well: a daemon that
        starts has no presences yet and must not plan as if it were alone.

        :param now: Current time.
        :returns: Hosts with a relay, without peers that are shutting down.
        """
        listed = (
            peer
            for peer in self._known.values()
            if peer.heard_at is None
            and peer.listed_at is not None
            and now - peer.listed_at < _LISTED_GRACE
        )
        return frozenset(
            peer.host
            for peer in (*self.alive(now), *listed)
            if peer.relay and not peer.leaving
        )
