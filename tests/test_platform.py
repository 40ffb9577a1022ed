"""Tests of the emulated platform and of its HTTP client."""

from collections.abc import Awaitable
from typing import Any

from emulator.platform import Platform
from monsoonproxy.adapters import platforms
from monsoonproxy.exceptions import PlatformError, PreconditionError
from monsoonproxy.models import Host, HostState
from monsoonproxy.platforms import HttpPlatform
from tests.fixtures import load_functions
from tests.stand_ins import raised

load_tests = load_functions(__name__)

_HOST = {
    'address': '127.0.0.1:7000',
    'availability_zone': 'north',
    'state': 'leaving',
}


async def _assert_fails(
    awaitable: Awaitable[Any], *, refused: bool = False
) -> None:
    error = await raised(awaitable, PlatformError)
    assert isinstance(error, PreconditionError) == refused, repr(error)


async def test_conditional_write(client: HttpPlatform) -> None:
    """Guards against lost updates.

    Two operators read the same version of a key. The write of the slower one
    must be refused, not replace the other's value.
    """
    assert await client.read('a/ü') is None
    first = await client.write('a/ü', b'\x00one', None)
    stored = await client.read('a/ü')
    assert stored is not None
    assert (stored.etag, stored.body) == (first, b'\x00one')
    await _assert_fails(client.write('a/ü', b'two', None), refused=True)
    second = await client.write('a/ü', b'two', first)
    await _assert_fails(client.write('a/ü', b'three', first), refused=True)
    await _assert_fails(client.write('b', b'three', first), refused=True)
    # Writing equal content again also creates a new version.
    assert await client.write('a/ü', b'two', second) != second


async def test_unchanged_read(platform: Platform, client: HttpPlatform) -> None:
    """Guards against a conditional read that transfers too much or is stale.

    An unchanged document must be answered from the client's cache, a changed
    one must replace it.
    """
    etag = await client.write('key', b'one', None)
    first = await client.read('key')
    assert await client.read('key') == first
    assert platform.counters.unchanged == 1
    await client.write('key', b'two', etag)
    changed = await client.read('key')
    assert changed is not None and changed.body == b'two'
    assert platform.counters.unchanged == 1


async def test_lost_answer(platform: Platform, client: HttpPlatform) -> None:
    """Guards against a retry by the HTTP library after a lost answer.

    The platform applies the write and drops the answer. A second attempt would
    be refused with status 412, or write twice; the client must report an
    unknown result instead.
    """
    etag = await client.write('key', b'one', None)
    platform.switch({'lose_answers': 1})
    await _assert_fails(client.write('key', b'two', etag))
    assert platform.table['key'] == b'two'
    assert platform.counters.writes == 2
    stored = await client.read('key')
    assert stored is not None and stored.body == b'two'


async def test_outage(platform: Platform, client: HttpPlatform) -> None:
    """Guards against an outage that is mistaken for a missing key.

    The platform first closes connections, then leaves requests unanswered,
    which must end in a time-out.
    """
    platform.switch({'down': True})
    await _assert_fails(client.read('key'))
    platform.switch({'down': False, 'hung': True})
    short_timeout = platforms.get('http')(platform.url, timeout=50)
    await _assert_fails(short_timeout.read('key'))
    await short_timeout.close()
    platform.switch({'hung': False})
    assert await client.read('key') is None


async def test_objects(client: HttpPlatform) -> None:
    """Guards against an encoding of objects that alters binary content."""
    assert await client.get_object('report') is None
    await client.put_object('report', bytes(range(256)))
    assert await client.get_object('report') == bytes(range(256))


async def test_late_host_list(platform: Platform, client: HttpPlatform) -> None:
    """Guards against an emulated host list that ignores its delay.

    Tests of late host lists rely on ``hosts_late_ms`` hiding recent changes.
    """
    platform.switch({'hosts_late_ms': 3_600_000})
    platform.set_hosts([_HOST])
    assert not await client.hosts()
    platform.switch({'hosts_late_ms': 0})
    assert await client.hosts() == [
        Host('127.0.0.1:7000', 'north', HostState.LEAVING)
    ]
