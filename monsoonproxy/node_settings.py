"""Settings of a daemon that reaches its backend servers directly."""

import attrs

from monsoonproxy.clock import Millis

#: Share of the host's memory that callers' messages may take, and the least
#: number of bytes, for some messages of 1 MiB.
_CALLER_SHARE = 0.1
_MIN_CALLER_BYTES = 8 * 1024 * 1024
#: Share of the host's memory that callers' sessions may take, and bytes of one.
_SESSION_SHARE = 0.4
_BYTES_PER_CALLER = 16 * 1024


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
    :param memory: Memory of the host in bytes.
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
    memory: int = 256 * 1024 * 1024
    first_start: bool = False
    seeds: tuple[str, ...] = ()

    @property
    def caller_bytes(self) -> int:
        """Return how many bytes callers' messages may take."""
        return max(_MIN_CALLER_BYTES, int(self.memory * _CALLER_SHARE))

    @property
    def caller_limit(self) -> int:
        """Return how many callers may be connected."""
        in_memory = int(self.memory * _SESSION_SHARE) // _BYTES_PER_CALLER
        return min(self.max_callers, in_memory)
