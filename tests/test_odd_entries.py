"""Tests of entries that another writer left among those of backend servers."""

import contextlib
import json
from functools import partial
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from site_platform.documents import PlatformDocuments
from stand_ins.site import PRIMARY_ROUTE, SERVICE, SiteStandIn

from monsoonproxy import gossip_messages, relay_messages, snapshots
from monsoonproxy.configuration import read_header
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.node import Node
from tests.fixtures import load_functions
from tests.platform_sites import wait_until

load_tests = load_functions(__name__)

#: Levels of nesting that no decoder follows to their end.
_DEPTH = 100_000
_LAST_PORT = 65_535
_ENTRY: dict[str, Any] = {
    'service': SERVICE,
    'addr': '127.0.0.1:1000',
    'zone': 'zone-1',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 0,
    'db_role': 'replica',
    'seq': 1,
    'born': 1,
}
#: Fields without which an entry names no backend server.
_REQUIRED = ('service', 'addr', 'zone', 'slots', 'state', 'db_role', 'seq')
_NUMBERS = ('slots', 'seq', 'born', 'warmup_left_ms')
_HUGE = 10**30
_ADDRESSES = (
    '127.0.0.1:0',
    '127.0.0.1:65536',
    f'127.0.0.1:{"9" * 5_000}',
    '127.0.0.1:²',
    'nowhere:1000',
    '127.0.0.1 :1000',
    '1000',
)
_VALUES: Any = (
    st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text()
    | st.sampled_from(_ADDRESSES)
    | st.none()
    | st.lists(st.integers(), max_size=2)
)


def _with(**fields: Any) -> bytes:
    return json.dumps(_ENTRY | fields).encode()


def _nested(opening: str, closing: str) -> bytes:
    """Return an entry with a field that is not known and deeply nested."""
    deep = f'{opening * _DEPTH}1{closing * _DEPTH}'
    return _with()[:-1] + f', "labels": {deep}}}'.encode()


def _odd_entries() -> dict[str, bytes]:
    """Return entries that name no usable backend server, by key."""
    entries = {
        'lists': _nested('[', ']'),
        'objects': _nested('{"a":', '}'),
        'blank in key': _with(),
        'end\r\nin-key': _with(),
        'no-slots': _with(slots=0),
        'negative-slots': _with(slots=-1),
    }
    entries |= {f'huge-{name}': _with(**{name: _HUGE}) for name in _NUMBERS}
    entries |= {
        f'address-{number}': _with(addr=address)
        for number, address in enumerate(_ADDRESSES)
    }
    entries |= {
        f'without-{name}': json.dumps(
            {key: field for key, field in _ENTRY.items() if key != name}
        ).encode()
        for name in _REQUIRED
    }
    return entries


async def test_odd_entries_stop_no_daemon(platform_site: SiteStandIn) -> None:
    """Guards against an entry that ends the tasks that follow the store (LOST).

    Daemons that follow the store, that hear from peers, and that start later
    know the databases that are added after the odd entries, and no others.
    """
    await platform_site.nodes[2]._supervisor.stop_child('servers')
    for key, content in _odd_entries().items():
        platform_site.platform.put('servers', key, content)
    await platform_site.add_database()
    await platform_site.add_node()
    names = {database.server_id for database in platform_site.databases}
    for number, node in enumerate(platform_site.nodes):
        await wait_until(partial(_knows, node, names))
        caller = await platform_site.caller(PRIMARY_ROUTE, number)
        assert not (await caller.run('READ a')).code


@given(st.sampled_from((*_ENTRY, 'labels')), _VALUES)
def test_entries_with_an_odd_field(name: str, odd: Any) -> None:
    """Guards against an entry whose numbers or address no code expects.

    It is refused with an error of this project, or gives a usable server.
    """
    try:
        server = PlatformDocuments().server('i-1', _with(**{name: odd}))
    except MonsoonError:
        return
    port = int(server.address.rpartition(':')[2])
    assert 0 < port <= _LAST_PORT
    assert server.slots >= 1
    numbers = (
        server.slots,
        server.sequence,
        server.started_at,
        server.slow_for,
    )
    assert msgspec.msgpack.encode(numbers)


def test_deeply_nested_messages() -> None:
    """Guards against nesting that ends the task that reads a message.

    The decoder raises another error for it than for malformed bytes.
    """
    deep = b'\x91' * _DEPTH + b'\x01'
    message = b'\x92\xa8Presence' + deep
    framed = len(deep).to_bytes(4, 'big') + deep
    documents = PlatformDocuments()
    configuration = b'{"labels": ' + b'[' * _DEPTH + b']' * _DEPTH + b'}'
    decoders = (
        lambda: gossip_messages.decode(message),
        lambda: gossip_messages.decode_listing(deep),
        lambda: relay_messages.Reader().feed(framed),
        lambda: snapshots.decompress_entries(snapshots.compress(deep)),
        lambda: documents.routes(configuration),
        lambda: documents.seal(configuration),
        lambda: read_header(configuration),
    )
    for decode in decoders:
        with contextlib.suppress(MonsoonError):
            assert not decode()


def _knows(node: Node, names: set[str]) -> bool:
    return set(node.catalog.runners[SERVICE].cluster.members) == names
