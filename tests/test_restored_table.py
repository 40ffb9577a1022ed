"""Tests of the MySQL interface when the platform loses its latest writes.

The table service may come back from an older copy, as the operators' platform
does.
"""

import asyncio
import pathlib
import random
import tempfile
from collections.abc import Iterator

from emulator.platform import Platform
from emulator.spread_network import document
from monsoonproxy import failover_events
from monsoonproxy.clock import Clock
from monsoonproxy.configuration import read_header
from monsoonproxy.control import CONFIGURATION_KEY, Control
from monsoonproxy.exceptions import BackendError
from monsoonproxy.models import Role
from monsoonproxy.platforms import HttpPlatform
from monsoonproxy.settings import Settings
from monsoonproxy.term_claims import TermClaims
from tests.fixtures import fixture, load_functions
from tests.memory_platform import (
    MemoryPlatform,
    MonsoonctlRunner,
    StoredValue,
)
from tests.stand_ins import Group, elect, raised
from tests.test_configuration import BASE, HASH

load_tests = load_functions(__name__)

_USER = '[users.{}]\npassword_hash = "{}"\n'


@fixture
def restored_tool() -> Iterator[MonsoonctlRunner]:
    """Yield the tool of a site, with a platform in memory."""
    with tempfile.TemporaryDirectory() as name:
        yield MonsoonctlRunner(pathlib.Path(name), BASE)


def _control(platform: MemoryPlatform) -> Control:
    """Return the control task of a daemon that reads the store."""
    settings = Settings(
        peer_address='127.0.0.1:7000',
        availability_zone='a',
        platform_url='http://127.0.0.1:1',
    )
    control = Control(settings, None, platform, Clock(), random.Random(1))
    control._publish_hosts()
    return control


async def _read(control: Control) -> None:
    control.read_store()
    await asyncio.gather(*control._tasks)


async def test_lost_version_is_not_given_out_again(
    restored_tool: MonsoonctlRunner,
) -> None:
    """Guards against two configurations of one version (CONFIG).

    Daemons that have the lost one in force refuse the other for its digest.
    """
    tool = restored_tool
    await tool.run('apply', 'base.toml')
    copy = dict(tool.platform.table)
    for name in ('u', 'v'):
        tool.write_file(BASE + _USER.format(name, HASH))
        assert (await tool.run('apply', 'base.toml'))[0] == 0
    assert tool.version() == 3
    tool.platform.table = copy
    tool.write_file(BASE + _USER.format('w', HASH))
    code, text = await tool.run('apply', 'base.toml')
    assert code == 0
    assert text.endswith('accepted as version 4\n')
    assert (await tool.run('show', '--version', '3'))[0] == 0


async def test_daemon_writes_a_lost_version_back() -> None:
    """Guards against a configuration that comes back older (CONFIG).

    Daemons that start while no other runs would read the older one.
    """
    platform = MemoryPlatform()
    platform.table[CONFIGURATION_KEY] = StoredValue('e1', document(1))
    copy = dict(platform.table)
    control = _control(platform)
    await _read(control)
    platform.table[CONFIGURATION_KEY] = StoredValue('e2', document(2))
    await _read(control)
    assert control.version == 2
    platform.table = copy
    await _read(control)
    assert platform.table[CONFIGURATION_KEY].body == document(2)


async def test_write_back_is_tried_again() -> None:
    """Guards against a lost version that one failed write leaves lost.

    The row is missing altogether, and the first answer does not come.
    """
    platform = MemoryPlatform()
    platform.table[CONFIGURATION_KEY] = StoredValue('e2', document(2))
    control = _control(platform)
    await _read(control)
    platform.table = {}
    platform.faults = ['failed']
    await _read(control)
    assert not platform.table
    await _read(control)
    assert platform.table[CONFIGURATION_KEY].body == document(2)


async def test_write_back_replaces_no_newer_version() -> None:
    """Guards against a write that undoes an operator's change.

    The operator applies a change between the read and the write.
    """
    platform = MemoryPlatform()
    platform.table[CONFIGURATION_KEY] = StoredValue('e2', document(2))
    control = _control(platform)
    await _read(control)
    platform.table[CONFIGURATION_KEY] = StoredValue('e1', document(1))
    changes = [StoredValue('e3', document(3))]

    def change_once() -> None:
        if changes:
            platform.table[CONFIGURATION_KEY] = changes.pop()

    platform.before_write = change_once
    await _read(control)
    assert platform.table[CONFIGURATION_KEY].body == document(3)
    await _read(control)
    assert control.version == 3


async def test_cached_read_after_restore(
    platform: Platform, client: HttpPlatform
) -> None:
    """Guards against a cached document that the platform no longer has.

    The row gets a version again that the client has cached.
    """
    etag = await client.write('key', b'one', None)
    copy = dict(platform.table), dict(platform._versions)
    await client.write('key', b'two', etag)
    assert (await client.read('key')).body == b'two'
    platform.table, platform._versions = copy
    assert (await client.read('key')).body == b'one'
    await client.write('key', b'three', etag)
    assert (await client.read('key')).body == b'three'


async def test_term_claimed_twice_is_granted_once(group: Group) -> None:
    """Guards against two primaries of a term whose claim was lost.

    The backend servers grant a term to one candidate only, whatever the table
    service says.
    """
    platform = MemoryPlatform()
    claims = [TermClaims(platform, name) for name in ('a', 'b')]
    databases = await group.start_three()
    connections = await group.connect_each(*databases)
    assert await claims[0].claim('s', 2) == failover_events.TermClaimed(2)
    report = await elect('a', 2, connections[1], connections[2])
    assert report.role is Role.PRIMARY
    platform.table = {}
    assert await claims[1].claim('s', 2) == failover_events.TermClaimed(2)
    for connection in connections[1:]:
        granted = await connection.set_term(2, 'b')
        assert granted.candidate == 'a'
    await raised(connections[2].promote(2, 'b'), BackendError)


def test_copy_is_older() -> None:
    """Guards against tests whose documents have the same version."""
    assert read_header(document(1)).version < read_header(document(2)).version
