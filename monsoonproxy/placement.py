"""Rendezvous hashing of hosts, spread over availability zones."""

import hashlib
from collections.abc import Iterable

from monsoonproxy.models import Host

_SCORE_BYTES = 8


def score(key: str, address: str) -> int:
    """Return the rendezvous score of a host for a key.

    :param key: What is placed, such as the name of a service.
    :param address: Address of the host.
    :returns: A number that is the same on all daemons.
    """
    text = f'{key}\0{address}'.encode()
    digest = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest, 'big')


def ranked(key: str, hosts: Iterable[Host]) -> tuple[Host, ...]:
    """Order hosts by their scores for a key.

    :param key: What is placed.
    :param hosts: The usable hosts, in any order.
    :returns: The hosts, highest score first.
    """
    return tuple(
        sorted(
            hosts,
            key=lambda host: (score(key, host.address), host.address),
            reverse=True,
        )
    )


def holders(
    service: str, hosts: Iterable[Host], count: int
) -> tuple[Host, ...]:
    """Choose the hosts for a key.

    Each round takes the best host of every availability zone, in order of
    score, so that two holders share a zone only if there are more holders than
    zones.

    :param service: Name of the service, or another key.
    :param hosts: The usable hosts, in any order.
    :param count: How many hosts are wanted.
    :returns: Up to ``count`` hosts in rank order.
    """
    remaining = ranked(service, hosts)
    chosen: list[Host] = []
    while remaining and len(chosen) < count:
        best = _first_per_zone(remaining)
        chosen.extend(best)
        remaining = tuple(host for host in remaining if host not in best)
    return tuple(chosen[:count])


def _first_per_zone(hosts: tuple[Host, ...]) -> list[Host]:
    zones: dict[str, Host] = {}
    for host in hosts:
        zones.setdefault(host.availability_zone, host)
    return list(zones.values())
