"""Which daemons follow the store on behalf of all.

The store's calls are limited and cost; news spread between daemons within a
fraction of a second. So a few daemons in all availability zones follow the
store, and the others follow them. A daemon that hears too few of them follows
the store itself.
"""

from collections.abc import Iterable

from monsoonproxy.clock import Millis
from monsoonproxy.models import Host
from monsoonproxy.peer_list import Peer
from monsoonproxy.placement import holders

#: Up to this many daemons, all follow the store.
_SMALL_SITE = 20
#: Daemons that follow the store on larger sites, over all zones.
_DELEGATE_COUNT = 12
#: Delegates in touch with the store of which a daemon must have heard, and the
#: time in ms within which it must have: two of their presences and a bit.
_MIN_HEARD = 2
_HEARD_WITHIN = Millis(5_000)
#: Time in ms between two presences of a delegate to the same daemon.
DELEGATE_INTERVAL = Millis(2_000)
_PLACEMENT_KEY = 'store'


def choose_delegates(hosts: Iterable[Host]) -> frozenset[str]:
    """Choose the daemons that follow the store.

    :param hosts: All daemons that are there.
    :returns: Addresses of their relays.
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
) -> bool:
    """Decide whether this daemon follows the store itself.

    :param own: Address of its relay.
    :param delegates: The chosen daemons.
    :param alive: The other daemons.
    :param now: The time.
    :returns: Whether it is chosen, or hears too few of those that are.
    """
    if own in delegates:
        return True
    heard = [
        known
        for known in alive
        if known.follows
        and known.heard_at is not None
        and now - known.heard_at < _HEARD_WITHIN
    ]
    return len(heard) < _MIN_HEARD
