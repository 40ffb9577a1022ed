"""Measures the work of one daemon that grows with hosts and services.

The decisions run in this process with lists of the design scale, which no site
on one machine can have.
"""

import asyncio
import json
import multiprocessing
import os
import random
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import zmq

from emulator.experiment_spread import configuration_of
from monsoonproxy import membership
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.configuration import Configuration
from monsoonproxy.declarations import MembershipRules
from monsoonproxy.holder_manager import HolderManager
from monsoonproxy.models import Host
from monsoonproxy.peers import PeerConnection
from monsoonproxy.platforms import HttpPlatform
from monsoonproxy.supervisors import Supervisor
from monsoonproxy.term_claims import TermClaims

_HOSTS = (600, 1200, 2400)
_SERVICES = (317, 634, 1267)
_PLACED_SERVICES = 100
_ZONES = 8
_REPEATS = 50
#: Links to as many peers as the design scale has are the last to be opened.
_LINKS = (100, 200, 300, 2399)
_OWN = '127.9.9.9:7000'


def hosts_of(count: int) -> tuple[Host, ...]:
    """Name some hosts, spread over eight zones.

    :param count: How many.
    :returns: The hosts.
    """
    return tuple(
        Host(f'127.1.{number // 250}.{number % 250}:7000', _zone(number))
        for number in range(count)
    )


def measure() -> dict[str, Any]:
    """Measure all decisions.

    :returns: Figures by decision.
    """
    return {
        'placement': [_placement(count) for count in _HOSTS],
        'membership': [_membership(count) for count in _HOSTS],
        'configuration': [_configuration(count) for count in _SERVICES],
        'links': _links(),
    }


def _zone(number: int) -> str:
    return f'region-{number % 2}-zone-{number % _ZONES // 2}'


def _timed(work: Callable[[], object], repeats: int = 1) -> float:
    """Return the processor time of a call in ms."""
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) * 1000 / repeats


def _allocated(create: Callable[[], object]) -> int:
    """Return the bytes of the objects that a call leaves."""
    tracemalloc.start()
    kept = create()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def _placement(count: int) -> dict[str, float]:
    """Time a daemon that places services after changes of the host list."""
    hosts = hosts_of(count)
    clock = Clock()
    holder_manager = HolderManager(
        _OWN,
        TermClaims(HttpPlatform('http://127.0.0.1:1'), _OWN),
        Supervisor('capacity', clock),
        clock,
        random.Random(1),
    )
    cfg = configuration_of(_PLACED_SERVICES)
    holder_manager.configure(cfg)
    return {
        'hosts': count,
        'services': _PLACED_SERVICES,
        'first_ms': _timed(lambda: holder_manager.update_hosts(hosts)),
        'host_left_ms': _timed(lambda: holder_manager.update_hosts(hosts[1:])),
        'host_joined_ms': _timed(lambda: holder_manager.update_hosts(hosts)),
        'configured_ms': _timed(lambda: holder_manager.configure(cfg)),
    }


def _membership(count: int) -> dict[str, float]:
    hosts = hosts_of(count)
    own = Host(_OWN, _zone(0))
    state = membership.Membership(own, MembershipRules())
    listed = membership.HostsListed(hosts)
    state.handle(listed, Millis(0))
    body = json.dumps(
        [
            {
                'address': host.address,
                'availability_zone': host.availability_zone,
                'state': host.state.value,
            }
            for host in hosts
        ]
    )

    def tick() -> None:
        state.handle(membership.Tick(), Millis(1))
        state.probes(Millis(1))

    def create() -> membership.Membership:
        fresh = membership.Membership(own, MembershipRules())
        fresh.handle(membership.HostsListed(hosts_of(count)), Millis(0))
        return fresh

    return {
        'hosts': count,
        'tick_ms': _timed(tick, _REPEATS),
        'list_ms': _timed(
            lambda: state.handle(listed, Millis(1)), _REPEATS // 10
        ),
        'parse_list_ms': _timed(lambda: json.loads(body), _REPEATS),
        'list_bytes': len(body),
        'memory_bytes': _allocated(create),
    }


def _configuration(count: int) -> dict[str, float]:
    document = configuration_of(count).to_document()
    return {
        'services': count,
        'document_bytes': len(document),
        'parse_ms': _timed(
            lambda: Configuration.from_document(document), repeats=3
        ),
        'memory_bytes': _allocated(
            lambda: Configuration.from_document(document)
        ),
    }


def _links() -> list[dict[str, Any]]:
    """Open links to peers until all are open or the library refuses.

    Each count has its own process, since closed links leave memory behind.
    """
    with ProcessPoolExecutor(
        max_workers=1,
        mp_context=multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        return list(pool.map(_open_links_alone, _LINKS))


def _open_links_alone(count: int) -> dict[str, Any]:
    return asyncio.run(_open_links(count))


async def _open_links(count: int) -> dict[str, Any]:
    links: list[PeerConnection] = []
    error = ''
    files, memory = _open_files(), _resident()
    try:
        for number in range(count):
            address = f'127.2.{number // 250}.{number % 250 + 1}:9'
            links.append(
                PeerConnection(address, b'own', handler=_ignore, lost=_ignore)
            )
    except zmq.ZMQError as exc:
        error = str(exc)
    figures = {
        'wanted': count,
        'opened': len(links),
        'error': error,
        'open_files': _open_files() - files,
        'memory_bytes': _resident() - memory,
    }
    for link in links:
        link.close()
    return figures


def _open_files() -> int:
    return len(os.listdir('/proc/self/fd'))


def _resident() -> int:
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')


def _ignore(*_values: object) -> None:
    """Take messages and events of links that are never connected."""
