"""Settings of a daemon that reaches its backend servers directly."""

import attrs

from monsoonproxy.clock import Millis


@attrs.frozen
class NodeSettings:
    """Settings that a daemon needs before it has a configuration.

    :param name: Unique name of the daemon.
    :param availability_zone: Availability zone that its host is in.
    :param listen_address: ``ip:port`` where callers connect.
    :param peer_address: ``ip:port`` where it receives gossip and serves
        snapshots.
    :param relay_address: ``ip:port`` where it lends connections to its peers.
    :param grace: Time in ms between SIGTERM and SIGKILL.
    :param max_callers: Maximum number of callers' connections.
    :param drain: Time in ms for which a backend server may get new statements
        after it has said that it leaves.
    :param first_start: Whether all daemons of the site start for the first
        time, so that the store has no rows of them yet.
    :param seeds: ``peer_address`` of some other daemons, which may be gone.
    """

    name: str
    availability_zone: str
    listen_address: str
    peer_address: str
    relay_address: str
    grace: Millis
    max_callers: int
    drain: Millis = Millis(7_000)
    first_start: bool = False
    seeds: tuple[str, ...] = ()
