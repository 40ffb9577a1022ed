"""Tests of the gossip of configuration versions."""

import random
import zlib

from hypothesis import given
from hypothesis import strategies as st

from emulator import experiment_confirmation
from emulator.experiment_spread import measure
from emulator.spread_network import Scenario, document
from monsoonproxy.clock import Millis
from monsoonproxy.configuration import Change, Configuration
from monsoonproxy.configuration_gossip import (
    ChangeNotified,
    ConfigurationGossip,
    DocumentReceived,
    FetchFrom,
    FetchRequested,
    PeersChanged,
    PutInForce,
    ReadStore,
    SendAnnouncement,
    SendDocument,
    StoreFailed,
    StoreRead,
    Tick,
    VersionAnnounced,
)
from monsoonproxy.declarations import SpreadRules
from monsoonproxy.models import Host
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

HOSTS = tuple(Host(f'10.0.0.{n}:7000', f'zone-{n}') for n in range(8))
RULES = SpreadRules()


def _daemons(count: int = len(HOSTS)) -> dict[str, ConfigurationGossip]:
    found = {}
    for seed, host in enumerate(HOSTS[:count]):
        daemon = ConfigurationGossip(host.address, RULES, random.Random(seed))
        daemon.handle(PeersChanged(HOSTS), Millis(0))
        found[host.address] = daemon
    return found


def _conflicting_document(version: int) -> bytes:
    change = Change(identity='other')
    return Configuration(version=version, change=change).to_document()


def _readers() -> list[str]:
    daemons = _daemons()
    return [
        address
        for address, daemon in daemons.items()
        if ReadStore() in daemon.handle(Tick(), Millis(0))
    ]


def test_readers_and_backoff() -> None:
    """Guards against store reads by more daemons than the rules allow.

    A daemon that is not a reader reads only while it has no configuration,
    with growing pauses while the store fails.
    """
    assert len(_readers()) == RULES.readers
    other = next(h.address for h in HOSTS if h.address not in _readers())
    reads = []
    daemon = _daemons()[other]
    for moment in range(0, 300_000, 50):
        if ReadStore() in daemon.handle(Tick(), Millis(moment)):
            reads.append(moment)
            daemon.handle(StoreFailed(), Millis(moment))
    assert RULES.start_wait // 2 <= reads[0] <= 2 * RULES.start_wait
    pauses = [late - early for early, late in zip(reads, reads[1:])]
    assert min(pauses[5:]) >= RULES.backoff_limit // 2
    daemon.handle(StoreRead(1, document(1)), Millis(300_000))
    quiet = [
        daemon.handle(Tick(), Millis(now)) for now in range(10**6, 10**7, 10**5)
    ]
    assert all(ReadStore() not in commands for commands in quiet)


def test_peers_before_store() -> None:
    """Guards against store reads by a starting daemon that has a live peer.

    It reads the store only when ``monsoonctl`` notifies it of a change.
    """
    address = next(h.address for h in HOSTS if h.address not in _readers())
    daemon = _daemons()[address]
    assert daemon.handle(VersionAnnounced(3, 'a:1'), Millis(0)) == [
        FetchFrom('a:1', 0)
    ]
    commands = []
    for moment in range(0, 20_000, 50):
        commands.extend(daemon.handle(Tick(), Millis(moment)))
    assert ReadStore() not in commands
    assert daemon.handle(ChangeNotified(4), Millis(20_000)) == [ReadStore()]


def test_refused_documents() -> None:
    """Guards against accepting damaged, oversized or conflicting documents.

    Documents conflict if they have the same version, but another digest.
    """
    daemon = _daemons()[HOSTS[0].address]
    now = Millis(0)
    wrong = document(2).replace(b'"version":2', b'"version":3')
    assert not daemon.handle(StoreRead(3, wrong), now)
    assert not daemon.handle(StoreRead(3, document(2)), now)
    packed = zlib.compress(document(2))
    for bad in (b'', b'x', packed[:-5]):
        assert not daemon.handle(DocumentReceived(2, bad), now)
    oversized = zlib.compress(bytes(17 * 1024 * 1024))
    assert not daemon.handle(DocumentReceived(2, oversized), now)
    assert daemon.refused == 6
    first = daemon.handle(DocumentReceived(2, packed), now)[0]
    assert first == PutInForce(2, document(2))
    assert not daemon.handle(DocumentReceived(2, packed), now)
    assert daemon.refused == 6
    assert not daemon.handle(StoreRead(2, _conflicting_document(2)), now)
    assert daemon.refused == 7
    assert not daemon.handle(StoreRead(1, document(1)), now)
    assert daemon.version == 2
    assert daemon.handle(StoreRead(3, document(3)), now)[0].version == 3
    daemon.handle(
        DocumentReceived(2, zlib.compress(_conflicting_document(2))), now
    )
    assert (daemon.version, daemon.refused) == (3, 8)


def test_bounded_answers() -> None:
    """Guards against unbounded work when many peers ask or announce at once.

    Documents sent per interval and remembered announcers are limited.
    """
    daemon = _daemons()[HOSTS[0].address]
    daemon.handle(Tick(), Millis(0))
    announcements = daemon.handle(StoreRead(1, document(1)), Millis(0))[1:]
    assert len({command.peer for command in announcements}) == RULES.fan_out
    sent = []
    for port in range(100):
        event = FetchRequested(0, f'10.1.0.1:{port}')
        sent += daemon.handle(event, Millis(0))
    assert len(sent) == 32
    for number in range(100):
        daemon.handle(VersionAnnounced(9, f'10.1.0.{number}:1'), Millis(0))
    assert len(daemon._announcers) <= 4


def test_dead_announcer() -> None:
    """Guards against waiting for a peer that died after its announcement.

    After ``fetch_timeout`` the document is fetched from another announcer.
    """
    daemon = _daemons()[HOSTS[0].address]
    daemon.handle(Tick(), Millis(0))
    daemon.handle(VersionAnnounced(2, 'dead:1'), Millis(0))
    assert not daemon.handle(VersionAnnounced(2, 'live:1'), Millis(1))
    later = daemon.handle(Tick(), Millis(RULES.fetch_timeout))
    assert FetchFrom('live:1', 0) in later


@given(
    st.lists(st.integers(1, 6), min_size=1, max_size=8),
    st.integers(0, 60),
    st.integers(0, 10**6),
)
def _check_message_disorder(versions, loss_percent, seed) -> None:
    rng = random.Random(seed)
    daemons = _daemons(4)
    in_force = dict.fromkeys(daemons, 0)
    pending = [
        (rng.choice(sorted(daemons)), StoreRead(version, document(version)))
        for version in versions
    ]
    now = 0
    for step in range(4000):
        if step % 10 == 0:
            now += 100
            pending += [(address, Tick()) for address in daemons]
        address, event = pending.pop(rng.randrange(len(pending)))
        if step >= 500 or not _lose_or_duplicate(
            event, loss_percent, rng, pending, address
        ):
            commands = daemons[address].handle(event, Millis(now))
            pending += _deliver_all(address, commands, daemons, in_force)
        pending = pending or [(address, Tick())]
    assert set(in_force.values()) == {max(versions)}


def _lose_or_duplicate(event, loss_percent, rng, pending, address) -> bool:
    """Randomly duplicate an event, and tell whether to drop it."""
    if rng.randrange(100) < 20:
        pending.append((address, event))
    return rng.randrange(100) < loss_percent and not isinstance(
        event, StoreRead
    )


def _deliver_all(sender, commands, daemons, in_force) -> list:
    events = []
    for command in commands:
        if isinstance(command, PutInForce):
            assert command.version > in_force[sender]
            in_force[sender] = command.version
        events += _deliver(sender, command, daemons)
    return events


def _deliver(sender, command, daemons) -> list:
    event = {
        SendAnnouncement: lambda: VersionAnnounced(command.version, sender),
        FetchFrom: lambda: FetchRequested(command.version, sender),
        SendDocument: lambda: DocumentReceived(
            command.version, command.document
        ),
    }.get(type(command))
    if event is None or command.peer not in daemons:
        return []
    return [(command.peer, event())]


def test_message_disorder() -> None:
    """Guards against a version that goes back or misses a daemon.

    Messages are reordered and duplicated, and lost in the first 500 steps.
    """
    _check_message_disorder()


def test_propagation_limits() -> None:
    """Guards against changes that spread too slowly or at too high a cost.

    Messages are lost and daemons restart. The limits are those of section 1.5
    of the design page; times are virtual, so they don't depend on the machine.
    """
    base = {'daemons': 60, 'changes': 6, 'regions': 2}
    for loss, restarts in ((0, None), (1 / 10, 1000), (3 / 10, None)):
        row = measure(Scenario(**base, loss=loss, restart_interval=restarts))
        assert row['unfinished_changes'] == 0
        assert row['everywhere_max_ms'] <= 5000
        assert row['bytes_per_daemon_per_second'] <= 12_000
        assert row['store_reads_per_second'] <= 10


def test_confirmation() -> None:
    """Guards against a comparison that misses false confirmations.

    If only representatives confirm a version, daemons that are cut off from
    them go unnoticed; asking all daemons is slower and takes more messages.
    """
    scenario = Scenario(daemons=40, changes=3)
    rows = {
        scheme: experiment_confirmation.measure(scenario, scheme, 3)
        for scheme in ('all', 'representatives')
    }
    assert rows['all']['false_confirmations'] == 0
    assert rows['all']['confirmed_max_ms'] > 20_000
    cheap = rows['representatives']
    assert cheap['messages_per_change'] < rows['all']['messages_per_change']
    assert cheap['false_confirmations'] > 0
