"""Datagrams between daemons.

They travel as MessagePack arrays. A notice's tag is its class name. Any of
them may be lost, doubled or late.
"""

import ipaddress
from typing import TypeAlias

import msgspec

_LAST_PORT = 65_535


class _GossipMessage(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all notices.

    :param sender: Name of the daemon that sent it.
    """

    sender: str


class Presence(_GossipMessage, frozen=True):
    """A daemon is there.

    :param address: Where it takes notices.
    :param relay: Where it lends connections.
    :param zone: Availability zone that its host is in.
    :param started: When it started, in ms since the Unix epoch.
    :param version: Version of the configuration that it has in force.
    :param stamp: Version of the backend servers' entries that it has.
    :param follows: Whether it follows the store.
    :param leaving: Whether it is about to stop.
    """

    address: str
    relay: str
    zone: str
    started: int
    version: int
    stamp: int
    follows: bool
    leaving: bool = False


class ReachabilityQuery(_GossipMessage, frozen=True, tag='Question'):
    """Asks whether the receiver reaches the leader of a service.

    :param number: Number of the question.
    :param service: Name of the service.
    :param server_id: The backend server that the sender takes for the leader.
    """

    number: int
    service: str
    server_id: str


class ReachabilityReply(_GossipMessage, frozen=True, tag='Opinion'):
    """Answers a question.

    :param number: Number of the question.
    :param reachable: Whether the sender reaches that backend server; ``None``
        if it can't tell.
    """

    number: int
    reachable: bool | None


class PromotionOrdered(_GossipMessage, frozen=True, tag='Succession'):
    """The sender has ordered the promotion of a backend server.

    :param service: Name of the service.
    :param server_id: The backend server.
    :param token: Token of the order.
    """

    service: str
    server_id: str
    token: int


class Listing(msgspec.Struct, frozen=True, array_like=True):
    """Where a daemon is, as the store lists it.

    :param address: Where it takes notices.
    :param relay: Where it lends connections.
    :param zone: Availability zone that its host is in.
    """

    address: str
    relay: str
    zone: str


class RosterRequest(_GossipMessage, frozen=True):
    """Asks for the daemons that the receiver hears."""


class Roster(_GossipMessage, frozen=True):
    """Some daemons that the sender hears.

    :param listings: Where they are, by name.
    """

    listings: dict[str, Listing]


GossipMessage: TypeAlias = (
    Presence
    | ReachabilityQuery
    | ReachabilityReply
    | PromotionOrdered
    | RosterRequest
    | Roster
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(GossipMessage)
_listing_decoder = msgspec.msgpack.Decoder(Listing)


def encode(notice: GossipMessage | Listing) -> bytes:
    """Encode a notice, or what the store lists of a daemon.

    :param notice: The notice.
    :returns: The datagram.
    """
    return _encoder.encode(notice)


def decode(datagram: bytes) -> GossipMessage | None:
    """Decode a notice.

    :param datagram: The datagram.
    :returns: The notice, or ``None`` if it is malformed.
    """
    try:
        notice = _decoder.decode(datagram)
    except msgspec.MsgspecError:
        return None
    if isinstance(notice, Presence):
        return notice if _is_reachable(notice) else None
    if isinstance(notice, Roster):
        is_whole = all(map(_is_reachable, notice.listings.values()))
        return notice if is_whole else None
    return notice


def decode_listing(content: bytes) -> Listing | None:
    """Decode what the store lists of a daemon.

    :param content: The row.
    :returns: Where the daemon is, or ``None`` if it is malformed.
    """
    try:
        listing = _listing_decoder.decode(content)
    except msgspec.MsgspecError:
        return None
    return listing if _is_reachable(listing) else None


def _is_reachable(where: Presence | Listing) -> bool:
    """Tell whether something can be sent to a daemon's addresses.

    One address that can't be used would end each task that sends to all.
    """
    return _is_address(where.address) and _is_address(where.relay)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= _LAST_PORT
