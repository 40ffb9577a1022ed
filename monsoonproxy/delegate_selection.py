"""Selects the delegates: the daemons that follow the store on behalf of all.

Calls of the store are limited and cost, while gossip spreads updates within a
fraction of a second. So a few daemons in all availability zones follow the
store, and the others get updates from them. A daemon that hears too few
delegates follows the store itself.
"""

from collections.abc import Iterable

from monsoonproxy.clock import Millis
from monsoonproxy.models import Host
from monsoonproxy.peer_list import Peer
from monsoonproxy.placement import holders

#: Number of daemons up to which all of them follow the store.
_SMALL_SITE = 20
#: Number of delegates on larger sites, over all availability zones.
_DELEGATE_COUNT = 12
#: Number of peers connected to the store from which a daemon must have received
#: a presence, and the time in ms within which it must have: a little more than
#: two presence intervals of a delegate.
_MIN_HEARD = 2
_HEARD_WITHIN = Millis(5_000)
#: Maximum time in ms between two presences of a delegate to the same peer.
DELEGATE_INTERVAL = Millis(2_000)
#: Key under which the placement chooses the delegates.
_PLACEMENT_KEY = 'store'


def choose_delegates(hosts: Iterable[Host]) -> frozenset[str]:
    """Choose the delegates.

    :param hosts: Hosts of all live daemons.
    :returns: Relay addresses of the delegates.
    """
    found = tuple(hosts)
    if len(found) <= _SMALL_SITE:
        return frozenset(host.address for host in found)
    delegates = holders(_PLACEMENT_KEY, found, _DELEGATE_COUNT)
    return frozenset(host.address for host in delegates)


def must_follow(
    own: str,
    delegates: frozenset[str],
    alive: Iterable[Peer],
    now: Millis,
    era: int = 0,
) -> bool:
    """Decide whether this daemon follows the store itself.

    :param own: Relay address of this daemon.
    :param delegates: Relay addresses of the delegates.
    :param alive: The live peers.
    :param now: Current time.
    :param era: Latest era of the store that this daemon knows of.
    :returns: Whether it is a delegate, or hears too few peers that follow the
        store. Peers of an earlier release, which know no eras, don't count
        once this daemon knows one: their entries would be taken for older.
    """
    if own in delegates:
        return True
    heard = [
        peer
        for peer in alive
        if peer.follows
        and (peer.entries.era or not era)
        and peer.heard_at is not None
        and now - peer.heard_at < _HEARD_WITHIN
    ]
    return len(heard) < _MIN_HEARD
