"""Tests of how the control task reads and applies a stored configuration."""

import asyncio
import random

import attrs

from emulator.spread_network import document
from monsoonproxy import messages
from monsoonproxy.clock import Clock
from monsoonproxy.configuration import Configuration
from monsoonproxy.control import Control
from monsoonproxy.declarations import (
    MembershipRules,
    PlatformRules,
    SpreadRules,
)
from monsoonproxy.settings import Settings
from tests.fixtures import load_functions
from tests.memory_platform import MemoryPlatform, StoredValue

load_tests = load_functions(__name__)


@attrs.define
class CountedValue:
    """A stored value that counts the reads of its body."""

    etag: str
    content: bytes
    body_reads: int = 0

    @property
    def body(self) -> bytes:
        """Return the content and count the read."""
        self.body_reads += 1
        return self.content


def _control(platform: MemoryPlatform) -> Control:
    settings = Settings(
        peer_address='127.0.0.1:7000',
        availability_zone='a',
        platform_url='http://127.0.0.1:1',
    )
    return Control(settings, None, platform, Clock(), random.Random(1))


async def _read(control: Control) -> None:
    control.read_store()
    await asyncio.gather(*control._tasks)


async def test_unchanged_document_is_not_parsed() -> None:
    """Guards against parsing an unchanged document on every store read.

    The store is read twice a second; parsing a large document that often takes
    a notable part of a core.
    """
    platform = MemoryPlatform()
    stored = CountedValue('e1', document(1))
    platform.table['configuration'] = stored
    control = _control(platform)
    await _read(control)
    first = stored.body_reads
    await _read(control)
    assert (control.version, stored.body_reads) == (1, first)
    platform.table['configuration'] = StoredValue('e2', document(2))
    await _read(control)
    assert control.version == 2


async def test_rules_of_the_configuration_apply() -> None:
    """Guards against a new configuration that leaves old rules in force.

    Membership and gossip hold their own reference to the platform-wide rules,
    which would otherwise change only at a restart.
    """
    rules = PlatformRules(
        membership=MembershipRules(peer_timeout=700),
        spread=SpreadRules(read_interval=900),
    )
    found = Configuration(platform=rules, version=3)
    platform = MemoryPlatform()
    platform.table['configuration'] = StoredValue('e', found.to_document())
    control = _control(platform)
    await _read(control)
    assert control._membership.rules == rules.membership
    assert control._gossip.rules == rules.spread


async def test_monsoonctl_is_not_listed_as_host() -> None:
    """Guards against monsoonctl being listed as a host, and so as a holder.

    Its announcement of a version only makes the daemon read the store.
    """
    platform = MemoryPlatform()
    platform.table['configuration'] = StoredValue('e', document(2))
    control = _control(platform)
    control.receive(messages.TOOL, messages.Announce(2))
    assert control.hosts() == (control.own,)
    await asyncio.gather(*control._tasks)
    assert (control.version, control.store_reads) == (2, 1)
    control.receive(messages.TOOL, messages.Announce(2))
    assert (control.store_reads, control.hosts()) == (1, (control.own,))
