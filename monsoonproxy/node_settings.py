"""Settings of a daemon that reaches its backend servers directly."""

import attrs

from monsoonproxy.clock import Millis


@attrs.frozen
class NodeSettings:
    """What a daemon must know before it has a configuration.

    :param name: Its name.
    :param availability_zone: The zone that its host is in.
    :param listen_address: Where callers connect.
    :param peer_address: Where it takes notices of other daemons.
    :param relay_address: Where it lends connections to other daemons.
    :param grace: Time in ms between SIGTERM and SIGKILL.
    :param max_callers: Greatest number of callers' connections.
    :param first_start: Whether all daemons start for the first time now.
    :param seeds: Where some other daemons take notices; they may be gone.
    """

    name: str
    availability_zone: str
    listen_address: str
    peer_address: str
    relay_address: str
    grace: Millis
    max_callers: int
    first_start: bool = False
    seeds: tuple[str, ...] = ()
