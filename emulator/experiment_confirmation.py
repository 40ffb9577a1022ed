"""Compares ways to confirm that a version is in force everywhere.

*All*: one daemon asks every daemon for its version until all have it.

*Representatives*: it asks a few daemons of each availability zone. A daemon
that learns of a version and does not get it within a time says so (a negative
acknowledgement); the peers repair it. The version counts as confirmed once all
representatives have it and no negative acknowledgement came for a time.

``python -m emulator.experiment_confirmation`` prints JSON and writes it to
``docs/figures/confirmation.json``. All times are virtual.
"""

import json
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import attrs

from emulator.experiment_spread import FIGURES, packed_size, quantile
from emulator.spread_network import OVERHEAD, Network, Scenario
from monsoonproxy import configuration_gossip, messages, placement
from monsoonproxy.declarations import SpreadRules

_WARM_UP = 5000
_ASK_INTERVAL = 500
_NACK_DELAY = 400
#: Time without negative acknowledgement. A daemon compares versions with a
#: peer every 500 ms, so it learns of a version within a few such intervals.
_QUIET = 2000
_PER_ZONE = 3
#: Time after a change at which it is asked the first time.
_FIRST_ASK = 1000
_REQUEST = len(messages.encode(messages.StatusRequest(1))) + OVERHEAD
_REPLY = len(messages.encode(messages.StatusReply(1, b'{"version":1}')))
_REPLY_BYTES = _REPLY + OVERHEAD


@attrs.define
class Confirmation:
    """Confirms one version.

    :param network: The daemons.
    :param asker: The daemon that asks.
    :param version: The version.
    :param waiting: Daemons that have not yet said that they have it.
    :param uses_nacks: Whether negative acknowledgements count.
    """

    network: Network
    asker: str
    version: int
    waiting: set[str]
    uses_nacks: bool
    messages: int = 0
    payload: int = 0
    nacks: int = 0
    quiet_since: int = 0
    confirmed_at: int | None = None
    behind: int = 0

    def ask(self) -> None:
        """Ask those that have not answered, and again later."""
        if self.confirmed_at is not None:
            return
        for address in sorted(self.waiting):
            self._carry(self.asker, address, _REQUEST, self._asked(address))
        network = self.network
        network.at(network.now + _ASK_INTERVAL, self.ask)

    def learn(self, address: str) -> None:
        """Note that a daemon has learned of the version.

        :param address: Its address.
        """
        network = self.network
        network.at(network.now + _NACK_DELAY, lambda: self._complain(address))

    def check(self) -> None:
        """Decide whether the version is confirmed."""
        network = self.network
        quiet = _QUIET if self.uses_nacks else 0
        if self.waiting or self.confirmed_at is not None:
            return
        if network.now >= self.quiet_since + quiet:
            self.confirmed_at = network.now
            self.behind = sum(
                machine.version < self.version
                for machine in network.daemons.values()
            )
            return
        network.at(self.quiet_since + quiet, self.check)

    def _asked(self, address: str) -> Callable[[], None]:
        def answer() -> None:
            if self.network.daemons[address].version >= self.version:
                reply = self._answered(address)
                self._carry(address, self.asker, _REPLY_BYTES, reply)

        return answer

    def _answered(self, address: str) -> Callable[[], None]:
        def note() -> None:
            self.waiting.discard(address)
            if not self.waiting and not self.quiet_since:
                self.quiet_since = self.network.now
            self.check()

        return note

    def _complain(self, address: str) -> None:
        if self.confirmed_at is not None:
            return
        if self.network.daemons[address].version < self.version:
            self.nacks += 1
            self._carry(address, self.asker, _REQUEST, self._delay)
            self.learn(address)

    def _delay(self) -> None:
        self.quiet_since = self.network.now

    def _carry(
        self, sender: str, peer: str, size: int, action: Callable[[], None]
    ) -> None:
        self.messages += 1
        self.payload += size
        latency = self.network.transmit(sender, peer)
        if latency is not None:
            self.network.at(self.network.now + latency, action)


class _Observed(configuration_gossip.ConfigurationGossip):
    """Tells a confirmation when it learns of its version."""

    confirmation: Confirmation | None = None
    address = ''

    def handle(
        self, event: Any, now: Any
    ) -> list[configuration_gossip.Command]:
        """Take an event into account.

        :param event: What happened.
        :param now: When.
        :returns: What is to be done, in order.
        """
        current = self.confirmation
        if (
            isinstance(event, configuration_gossip.VersionAnnounced)
            and current is not None
        ):
            is_news = event.version == current.version
            is_behind = event.version > self.version
            if (
                is_news
                and is_behind
                and current.uses_nacks
                and not self._announcers
            ):
                current.learn(self.address)
        return super().handle(event, now)


def measure(scenario: Scenario, scheme: str, isolated: int) -> dict[str, Any]:
    """Run a scenario.

    :param scenario: The scenario.
    :param scheme: ``all`` or ``representatives``.
    :param isolated: Number of daemons cut off for 20 s after each change.
    :returns: Its figures.
    """
    network = Network(scenario, _Observed, SpreadRules())
    for host in network.hosts:
        network.start(host.address)
        network.daemons[host.address].address = host.address
    network.write(notify=False)
    network.run(_WARM_UP)
    found = [
        _confirm(network, scheme, isolated) for _ in range(scenario.changes)
    ]
    return {
        'scheme': scheme,
        'daemons': scenario.daemons,
        'loss': scenario.loss,
        'isolated': isolated,
        **_figures(found),
    }


def _confirm(
    network: Network, scheme: str, isolated: int
) -> tuple[int, Confirmation]:
    addresses = [host.address for host in network.hosts]
    asker = network.rng.choice(addresses)
    others = [address for address in addresses if address != asker]
    network.isolated = set(network.rng.sample(others, isolated))
    start = network.now + network.rng.randrange(1000)
    network.run(start)
    waiting = set(addresses)
    if scheme == 'representatives':
        waiting = representatives(network)
    network.write()
    current = Confirmation(
        network, asker, network.version, waiting, scheme != 'all'
    )
    for machine in network.daemons.values():
        machine.confirmation = current
    network.at(start + _FIRST_ASK, current.ask)
    network.run(start + 20_000)
    network.isolated = set()
    network.run(start + 40_000)
    return start, current


def representatives(network: Network) -> set[str]:
    """Choose the representatives of all availability zones.

    :param network: The daemons.
    :returns: Their addresses.
    """
    zones = {host.availability_zone for host in network.hosts}
    chosen = placement.holders(
        'representatives', network.hosts, _PER_ZONE * len(zones)
    )
    return {host.address for host in chosen}


def _figures(found: list[tuple[int, Confirmation]]) -> dict[str, Any]:
    count = len(found)
    items = [item for _, item in found]
    times = sorted(
        item.confirmed_at - start
        for start, item in found
        if item.confirmed_at is not None
    )
    return {
        'changes': count,
        'unconfirmed': count - len(times),
        'confirmed_p50_ms': quantile(times, 1 / 2),
        'confirmed_max_ms': quantile(times, 1),
        'messages_per_change': round(sum(x.messages for x in items) / count),
        'bytes_per_change': round(sum(x.payload for x in items) / count),
        'nacks_per_change': round(sum(x.nacks for x in items) / count, 2),
        'false_confirmations': sum(x.behind > 0 for x in items),
        'behind_at_confirmation_max': max(x.behind for x in items),
    }


def scenarios() -> Iterator[tuple[Scenario, str, int]]:
    """Return what is measured.

    :returns: Scenario, scheme and number of isolated daemons.
    """
    for daemons, changes in ((15, 20), (150, 20), (2400, 6)):
        base = Scenario(
            daemons,
            regions=2 if daemons >= 600 else 1,
            packed_size=packed_size(daemons),
            changes=changes,
        )
        few = max(1, daemons // 100)
        for loss, isolated in ((0, 0), (0.1, 0), (0.3, 0), (0, few)):
            lossy = attrs.evolve(base, loss=loss)
            yield lossy, 'all', isolated
            yield lossy, 'representatives', isolated


def main() -> None:
    """Run all scenarios."""
    todo = list(scenarios())
    with ProcessPoolExecutor(4) as pool:
        rows = list(pool.map(measure, *zip(*todo, strict=True)))
    text = json.dumps({'rows': rows}, indent=1)
    (FIGURES / 'confirmation.json').write_text(f'{text}\n')
    sys.stdout.write(f'{text}\n')


if __name__ == '__main__':
    main()
