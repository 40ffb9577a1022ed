"""A network of daemons that spread configuration versions in virtual time."""

import functools
import heapq
import random
from collections.abc import Callable
from typing import Any, TypeAlias

import attrs

from monsoonproxy import configuration_gossip, messages
from monsoonproxy.clock import Millis
from monsoonproxy.configuration import Configuration
from monsoonproxy.declarations import SpreadRules
from monsoonproxy.models import Host

#: Ethernet, IP, TCP and ZeroMQ framing of a message.
OVERHEAD = 70
#: Bytes of a conditional read: request and answer 304.
READ_BYTES = 400
#: Reads per second that the store serves (section 1.5 of the design page).
STORE_RATE = 2000
#: One-way latency in a region and between regions.
NEAR_LATENCY = 1
FAR_LATENCY = 30
#: Time of an answer without load.
STORE_LATENCY = 5
#: A read that waits longer fails.
STORE_TIMEOUT = 2000


_Action: TypeAlias = tuple[int, int, Callable[[], None]]


@attrs.frozen
class Scenario:
    """What is emulated.

    :param daemons: Number of daemons.
    :param loss: Probability that a message is lost.
    :param regions: Number of regions, with 4 availability zones each.
    :param packed_size: Size in bytes of a compressed document.
    :param changes: Number of accepted changes.
    :param interval: Time between changes in ms.
    :param restart_interval: Time between restarts of random daemons.
    :param cut: Start and end of the time in which regions are separated.
    :param store_regions: Regions from which the store can be reached during
        the cut.
    :param readers: Number of daemons that read the store regularly.
    :param seed: Seed of all random choices.
    """

    daemons: int
    loss: float = 0
    regions: int = 1
    packed_size: int = 1000
    changes: int = 10
    interval: int = 8000
    restart_interval: int | None = None
    cut: tuple[int, int] = (0, 0)
    store_regions: tuple[int, ...] = (0, 1)
    readers: int = 3
    seed: int = 1


@functools.cache
def document(version: int) -> bytes:
    """Return a document.

    :param version: Its version.
    :returns: A small document; sizes are counted from the scenario.
    """
    return Configuration(version=version).to_document()


@attrs.define
class Counters:
    """What the network counts."""

    messages: int = 0
    payload: int = 0
    reads: int = 0
    read_bytes: int = 0
    reads_failed: int = 0
    busiest_second: dict[int, int] = attrs.field(factory=dict)


class Network:
    """Daemons, store and the messages under way.

    :param scenario: What is emulated.
    :param maker: Makes the state machine of a daemon.
    :param rules: Rules of the state machines.
    """

    def __init__(
        self,
        scenario: Scenario,
        maker: Callable[[str, SpreadRules, random.Random], Any],
        rules: SpreadRules,
    ) -> None:
        self.scenario = scenario
        self.now = Millis(0)
        self.rng = random.Random(scenario.seed)
        self.counters = Counters()
        self.version = 0
        self.delays: list[int] = []
        self.daemons: dict[str, Any] = {}
        self.started: dict[str, int] = {}
        self.hosts = make_hosts(scenario)
        #: Daemons that only reach each other.
        self.isolated: set[str] = set()
        self._maker = maker
        self._rules = rules
        self._queue: list[_Action] = []
        self._sequence = 0
        self._written: dict[int, int] = {}
        self._pending: dict[int, set[str]] = {}
        self._durations: dict[int, int] = {}
        self._store_free = float(0)
        self._wakes: dict[str, int] = {}
        self._regions = {
            host.address: int(host.availability_zone[1]) for host in self.hosts
        }

    def run(self, until: int) -> None:
        """Let time pass.

        :param until: The time in ms at which to stop.
        """
        while self._queue and self._queue[0][0] <= until:
            moment, _sequence, action = heapq.heappop(self._queue)
            self.now = Millis(moment)
            action()
        self.now = Millis(until)

    def at(self, moment: int, action: Callable[[], None]) -> None:
        """Schedule an action.

        :param moment: When.
        :param action: What.
        """
        self._sequence += 1
        heapq.heappush(self._queue, (moment, self._sequence, action))

    def start(self, address: str) -> None:
        """Start or restart a daemon.

        :param address: Its address.
        """
        rng = random.Random(self.rng.random())
        machine = self._maker(address, self._rules, rng)
        self.daemons[address] = machine
        self.started[address] = self.now
        self._wakes.pop(address, None)
        self.feed(
            address, machine, configuration_gossip.PeersChanged(self.hosts)
        )

    def stop(self, address: str) -> None:
        """Stop a daemon without warning.

        :param address: Its address.
        """
        self.daemons.pop(address, None)
        for version in list(self._pending):
            self._confirm(version, address)

    def write(self, *, notify: bool = True) -> None:
        """Accept a change.

        :param notify: Whether one daemon is told at once.
        """
        self.version += 1
        self._written[self.version] = self.now
        self._pending[self.version] = set(self.daemons)
        if notify:
            address = self.rng.choice(sorted(self.daemons))
            event = configuration_gossip.ChangeNotified(self.version)
            self.at(self.now + 1, lambda: self.deliver(address, event))

    def durations(self) -> list[int | None]:
        """Return how long each change took to be in force everywhere.

        :returns: Times in ms; ``None`` if it is not yet in force everywhere.
        """
        return [
            self._durations.get(version)
            for version in range(1, self.version + 1)
        ]

    def deliver(self, address: str, event: Any) -> None:
        """Give an event to a daemon that may be down.

        :param address: Its address.
        :param event: The event.
        """
        machine = self.daemons.get(address)
        if machine is not None:
            self.feed(address, machine, event)

    def feed(self, address: str, machine: Any, event: Any) -> None:
        """Give an event to a daemon and carry out its commands.

        :param address: Its address.
        :param machine: Its state machine.
        :param event: The event.
        """
        for command in machine.handle(event, self.now):
            self._carry_out(address, machine, command)
        due = max(machine.due_at, self.now + 1)
        if due < self._wakes.get(address, due + 1):
            self._wakes[address] = due
            self.at(due, lambda: self._wake(address, machine, due))

    def _wake(self, address: str, machine: Any, due: int) -> None:
        if self.daemons.get(address) is not machine:
            return
        if self._wakes.get(address) == due:
            self._wakes.pop(address)
            self.feed(address, machine, configuration_gossip.Tick())

    def _carry_out(self, address: str, machine: Any, command: Any) -> None:
        match command:
            case configuration_gossip.SendAnnouncement(peer, version):
                size = _size(messages.Announce(version))
                self._send(
                    address,
                    peer,
                    configuration_gossip.VersionAnnounced(version, address),
                    size,
                )
            case configuration_gossip.FetchFrom(peer, version):
                size = _size(messages.FetchConfiguration(version))
                self._send(
                    address,
                    peer,
                    configuration_gossip.FetchRequested(version, address),
                    size,
                )
            case configuration_gossip.SendDocument(peer, version, packed):
                size = self.scenario.packed_size
                self._send(
                    address,
                    peer,
                    configuration_gossip.DocumentReceived(version, packed),
                    size,
                )
            case configuration_gossip.ReadStore():
                self._read(address, machine)
            case configuration_gossip.PutInForce(version):
                self._put_in_force(address, version)

    def _send(self, sender: str, peer: str, event: Any, size: int) -> None:
        self.counters.messages += 1
        self.counters.payload += size + OVERHEAD
        latency = self.transmit(sender, peer)
        if latency is not None:
            self.at(self.now + latency, lambda: self.deliver(peer, event))

    def transmit(self, sender: str, peer: str) -> int | None:
        """Decide about a message.

        :param sender: Address of the sender.
        :param peer: Address of the receiver.
        :returns: Its latency in ms, or ``None`` if it is lost.
        """
        is_far = self._regions[sender] != self._regions[peer]
        is_isolated = (sender in self.isolated) != (peer in self.isolated)
        if is_isolated or (is_far and self._is_cut()):
            return None
        if self.rng.random() < self.scenario.loss:
            return None
        return FAR_LATENCY if is_far else NEAR_LATENCY

    def _is_cut(self) -> bool:
        start, end = self.scenario.cut
        return start <= self.now < end

    def _read(self, address: str, machine: Any) -> None:
        counters = self.counters
        counters.reads += 1
        counters.read_bytes += READ_BYTES
        second = self.now // 1000
        counters.busiest_second[second] = (
            counters.busiest_second.get(second, 0) + 1
        )
        self._store_free = max(self._store_free, self.now) + 1000 / STORE_RATE
        wait = int(self._store_free - self.now)
        is_cut = address in self.isolated
        if self._regions[address] not in self.scenario.store_regions:
            is_cut = is_cut or self._is_cut()
        if wait > STORE_TIMEOUT or is_cut:
            counters.reads_failed += 1
            moment = self.now + STORE_TIMEOUT
            self.at(
                moment,
                lambda: self.deliver(
                    address, configuration_gossip.StoreFailed()
                ),
            )
            return
        moment = self.now + wait + STORE_LATENCY
        self.at(moment, lambda: self._answer(address, machine))

    def _answer(self, address: str, machine: Any) -> None:
        body = document(self.version) if self.version else None
        event = configuration_gossip.StoreRead(self.version, body)
        if machine.version < self.version:
            self.counters.read_bytes += self.scenario.packed_size
        self.deliver(address, event)

    def _put_in_force(self, address: str, version: int) -> None:
        since = max(self._written[version], self.started[address])
        self.delays.append(self.now - since)
        for earlier in list(self._pending):
            if earlier <= version:
                self._confirm(earlier, address)

    def _confirm(self, version: int, address: str) -> None:
        waiting = self._pending[version]
        waiting.discard(address)
        if not waiting:
            self._pending.pop(version)
            self._durations[version] = self.now - self._written[version]


def make_hosts(scenario: Scenario) -> tuple[Host, ...]:
    """Return the hosts of a scenario.

    :param scenario: The scenario.
    :returns: Hosts in turn over regions and zones.
    """
    return tuple(
        _make_host(index, scenario.regions) for index in range(scenario.daemons)
    )


def _make_host(index: int, regions: int) -> Host:
    high, low = divmod(index, 250)
    region = index % regions
    zone = index // regions % 4
    return Host(f'10.0.{high}.{low}:7000', f'r{region}-z{zone}')


def _size(message: messages.Message) -> int:
    return len(messages.encode(message))
