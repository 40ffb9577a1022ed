"""Measures how configuration versions spread.

``python -m emulator.experiment_spread`` prints JSON and writes it to
``docs/figures/spread.json``. All times are virtual.
"""

import functools
import json
import pathlib
import random
import sys
import zlib
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs

from emulator.spread_network import Network, Scenario
from monsoonproxy import configuration_gossip
from monsoonproxy.clock import Millis
from monsoonproxy.configuration import Configuration
from monsoonproxy.declarations import Member, Service, SpreadRules

FIGURES = pathlib.Path(__file__).parent.parent / 'docs' / 'figures'
LIMITS = {
    'in_force_ms': 5000,
    'bytes_per_daemon_per_second': 12_000,
    'store_reads_per_second': 2000,
}
SIZES = (15, 150, 600, 2400)
LOSSES: tuple[float, ...] = (0, 0.01, 0.1, 0.3)
#: Daemons and databases of the design scale, three databases to a group.
_GROUPS_PER_DAEMON = 3800 / 3 / 2400
_WARM_UP = 5000


class Polling:
    """The baseline: every daemon reads the store each second.

    :param own: Address of the daemon.
    :param rules: Not used.
    :param rng: Source of the random phase.
    """

    def __init__(
        self, own: str, rules: SpreadRules, rng: random.Random
    ) -> None:
        self.own = own
        self.version = 0
        self.due_at = Millis(rng.randrange(1000))

    def handle(
        self, event: configuration_gossip.Event, now: Millis
    ) -> list[configuration_gossip.Command]:
        """Take an event into account.

        :param event: What happened.
        :param now: When.
        :returns: What is to be done.
        """
        if isinstance(event, configuration_gossip.Tick) and now >= self.due_at:
            self.due_at = Millis(now + 1000)
            return [configuration_gossip.ReadStore()]
        if isinstance(event, configuration_gossip.StoreRead) and event.document:
            if event.version > self.version:
                self.version = event.version
                return [
                    configuration_gossip.PutInForce(
                        event.version, event.document
                    )
                ]
        return []


def packed_size(daemons: int) -> int:
    """Return the size of a compressed document.

    :param daemons: Number of daemons that the groups are in proportion to.
    :returns: Size in bytes.
    """
    groups = max(3, round(daemons * _GROUPS_PER_DAEMON))
    return len(zlib.compress(configuration_of(groups).to_document()))


def configuration_of(groups: int) -> Configuration:
    """Declare services with three members each.

    :param groups: How many services.
    :returns: The configuration.
    """
    return Configuration(
        services={
            service.name: service for service in map(_service, range(groups))
        }
    )


def _service(number: int) -> Service:
    name = f'service-{number}'
    return Service(
        name=name,
        credentials=f'file:/etc/monsoonproxy/{name}',
        members=tuple(_member(name, number, rank) for rank in (1, 2, 3)),
    )


def _member(service: str, number: int, rank: int) -> Member:
    high, low = divmod(number, 200)
    return Member(
        name=f'{service}-{rank}',
        address='10.{0}.{1}.{2}:3306'.format(high, low, rank),
        availability_zone=f'zone-{rank}',
    )


def measure(scenario: Scenario, machine: str = 'spread') -> dict[str, Any]:
    """Run a scenario.

    :param scenario: The scenario.
    :param machine: ``spread`` or ``polling``.
    :returns: Its figures.
    """
    maker = {
        'spread': configuration_gossip.ConfigurationGossip,
        'polling': Polling,
    }[machine]
    network = Network(scenario, maker, SpreadRules(readers=scenario.readers))
    for host in network.hosts:
        network.start(host.address)
    network.write(notify=False)
    network.run(_WARM_UP)
    network.delays.clear()
    _schedule(network, notify=machine == 'spread')
    end = _WARM_UP + scenario.changes * scenario.interval
    network.run(end)
    return {
        **attrs.asdict(scenario),
        'machine': machine,
        **_figures(network, end / 1000),
    }


def _schedule(network: Network, *, notify: bool) -> None:
    scenario = network.scenario
    for index in range(scenario.changes):
        # Changes fall at any phase of the daemons' timers.
        jitter = network.rng.randrange(1000)
        moment = _WARM_UP + index * scenario.interval + jitter
        network.at(moment, functools.partial(network.write, notify=notify))
    if scenario.restart_interval is not None:
        end = _WARM_UP + scenario.changes * scenario.interval
        for moment in range(_WARM_UP, end, scenario.restart_interval):
            network.at(moment, functools.partial(_restart, network))


def _restart(network: Network) -> None:
    address = network.rng.choice(sorted(network.daemons))
    network.stop(address)
    network.at(network.now + 2000, lambda: network.start(address))


def _figures(network: Network, duration: float) -> dict[str, Any]:
    daemons = network.scenario.daemons
    counters = network.counters
    durations = network.durations()[1:]
    done = sorted(item for item in durations if item is not None)
    per_daemon = duration * daemons
    return {
        'in_force_p50_ms': quantile(sorted(network.delays), 0.5),
        'in_force_p99_ms': quantile(sorted(network.delays), 0.99),
        'everywhere_p50_ms': quantile(done, 0.5),
        'everywhere_max_ms': quantile(done, 1),
        'unfinished_changes': durations.count(None),
        'messages_per_daemon_per_second': round(
            counters.messages / per_daemon, 3
        ),
        'bytes_per_daemon_per_second': round(counters.payload / per_daemon),
        'store_reads_per_second': round(counters.reads / duration, 1),
        'store_reads_busiest_second': max(
            counters.busiest_second.values(), default=0
        ),
        'store_reads_failed': counters.reads_failed,
        'store_read_bytes_per_second': round(counters.read_bytes / duration),
        'store_writes_per_second': round(network.version / duration, 3),
    }


def quantile(ordered: list[int], share: float) -> int | None:
    """Return a quantile.

    :param ordered: Values in ascending order.
    :param share: Between 0 and 1.
    :returns: The value, or ``None`` if there is none.
    """
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def scenarios() -> Iterator[tuple[Scenario, str]]:
    """Return what is measured.

    :returns: Scenario and machine.
    """
    for daemons in SIZES:
        base = Scenario(
            daemons,
            regions=2 if daemons >= 600 else 1,
            packed_size=packed_size(daemons),
            changes=max(15, 6000 // daemons),
        )
        for loss in LOSSES:
            yield attrs.evolve(base, loss=loss), 'spread'
        yield attrs.evolve(base, loss=0.01, restart_interval=500), 'spread'
        yield base, 'polling'
    cut = attrs.evolve(base, cut=(5000, 65_000))
    yield cut, 'spread'
    yield attrs.evolve(cut, store_regions=(0,)), 'spread'
    # With these hosts, all of the first three readers are in one region.
    few = attrs.evolve(cut, daemons=580, packed_size=packed_size(580))
    yield few, 'spread'
    yield attrs.evolve(few, readers=5), 'spread'


def main() -> None:
    """Run all scenarios."""
    todo = list(scenarios())
    with ProcessPoolExecutor(4) as pool:
        rows = list(pool.map(measure, *zip(*todo, strict=True)))
    text = json.dumps({'limits': LIMITS, 'rows': rows}, indent=1)
    (FIGURES / 'spread.json').write_text(f'{text}\n')
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    main()
