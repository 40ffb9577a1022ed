"""Gossip messages between daemons.

Each message is a UDP datagram that holds a MessagePack array: the tag of its
class, then its fields. Tags and fields must stay as daemons of earlier
releases know them. Any message may be lost, duplicated or late.
"""

from typing import TypeAlias

import msgspec

from monsoonproxy.decoding import DECODE_ERRORS, is_address
from monsoonproxy.stores import Revision


class _GossipMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all gossip messages.

    :param sender: Name of the daemon that sent the message.
    """

    sender: str


class Presence(_GossipMessage, frozen=True):
    """Heartbeat of a daemon, with the versions that it has.

    :param address: ``ip:port`` where it receives gossip and serves snapshots.
    :param relay: ``ip:port`` of its relay, where it lends connections.
    :param zone: Availability zone that its host is in.
    :param started: When it started, in ms since the Unix epoch.
    :param version: Version of the configuration that it has in force.
    :param stamp: Version of the backend servers' entries that it has.
    :param follows: Whether it follows the store.
    :param leaving: Whether it is shutting down.
    :param era: Era of the store that ``stamp`` belongs to.
    """

    address: str
    relay: str
    zone: str
    started: int
    version: int
    stamp: int
    follows: bool
    leaving: bool = False
    era: int = 0

    @property
    def revision(self) -> Revision:
        """Return the revision of the entries that the sender has."""
        return Revision(self.era, self.stamp)


class ReachabilityQuery(_GossipMessage, frozen=True, tag='Question'):
    """Asks whether the receiver reaches the leader of a service.

    :param number: Number of the query, which the reply repeats.
    :param service: Name of the service.
    :param server_id: Identity of the backend server that the sender takes for
        the leader.
    """

    number: int
    service: str
    server_id: str


class ReachabilityReply(_GossipMessage, frozen=True, tag='Opinion'):
    """Answers a :class:`ReachabilityQuery`.

    :param number: Number of the query.
    :param reachable: Whether the sender reaches the backend server; ``None``
        if it can't tell.
    """

    number: int
    reachable: bool | None


class PromotionOrdered(_GossipMessage, frozen=True, tag='Succession'):
    """Tells that the sender has ordered the promotion of a backend server.

    :param service: Name of the service.
    :param server_id: Identity of the backend server.
    :param token: Fencing token of the order.
    """

    service: str
    server_id: str
    token: int


class TokenRequest(_GossipMessage, frozen=True):
    """Asks a holder of an organisation's limit for tokens.

    :param number: Number of the request, which the grant repeats.
    :param organisation: Name of the organisation.
    :param count: Number of operations that wait.
    :param expected: Number of operations that are expected soon.
    :param priority: Highest priority of those that wait; 0 is the highest.
    """

    number: int
    organisation: str
    count: int
    expected: int
    priority: int


class TokenGrant(_GossipMessage, frozen=True):
    """Answers a :class:`TokenRequest`.

    :param number: Number of the request.
    :param count: Number of tokens; -1 if the sender is not a holder.
    :param left: Tokens that the sender has left.
    :param retry_after: Time in ms after which it expects more.
    :param is_contended: Whether it refuses more operations than it grants.
    """

    number: int
    count: int
    left: float = 0
    retry_after: int = 0
    is_contended: bool = False


class Listing(msgspec.Struct, frozen=True, array_like=True):
    """Addresses and zone of a daemon, as its row in the store holds them.

    :param address: ``ip:port`` where it receives gossip and serves snapshots.
    :param relay: ``ip:port`` of its relay, where it lends connections.
    :param zone: Availability zone that its host is in.
    """

    address: str
    relay: str
    zone: str


class RosterRequest(_GossipMessage, frozen=True):
    """Asks for the live peers of the receiver, itself included."""


class Roster(_GossipMessage, frozen=True):
    """Answers a :class:`RosterRequest` with part of the live daemons.

    :param listings: Addresses and zones by name of the daemon.
    """

    listings: dict[str, Listing]


GossipMessage: TypeAlias = (
    Presence
    | ReachabilityQuery
    | ReachabilityReply
    | PromotionOrdered
    | RosterRequest
    | Roster
    | TokenRequest
    | TokenGrant
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GossipMessage)
_listing_decoder = msgspec.msgpack.Decoder(Listing)


def encode(message: GossipMessage | Listing) -> bytes:
    """Encode a gossip message, or a daemon's row in the store.

    :param message: The message or the row.
    :returns: The datagram, or the content of the row.
    """
    return _encoder.encode(message)


def decode(datagram: bytes) -> GossipMessage | None:
    """Decode a gossip message.

    :param datagram: The received datagram.
    :returns: The message, or ``None`` if it is malformed or names an address
        that can't be sent to.
    """
    try:
        message = _decoder.decode(datagram)
    except DECODE_ERRORS:
        return None
    if isinstance(message, Presence):
        return message if _is_reachable(message) else None
    if isinstance(message, Roster):
        are_valid = all(map(_is_reachable, message.listings.values()))
        return message if are_valid else None
    return message


def decode_listing(content: bytes) -> Listing | None:
    """Decode a daemon's row in the store.

    :param content: Content of the row.
    :returns: Addresses and zone of the daemon, or ``None`` if the row is
        malformed or names an address that can't be sent to.
    """
    try:
        listing = _listing_decoder.decode(content)
    except DECODE_ERRORS:
        return None
    return listing if _is_reachable(listing) else None


def _is_reachable(listing: Presence | Listing) -> bool:
    """Tell whether both addresses of a daemon are well-formed.

    A malformed address would raise in each task that sends to all peers, and
    end the task.
    """
    return is_address(listing.address) and is_address(listing.relay)
