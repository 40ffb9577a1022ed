"""Fuzz tests of the platform program's decoders and of malformed input."""

import asyncio
from functools import partial
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from site_platform.documents import PlatformDocuments
from stand_ins.site import PRIMARY_ROUTE, SiteStandIn

from monsoonproxy import gossip_messages, relay_messages, snapshots
from monsoonproxy.clock import Millis
from monsoonproxy.dialects import CallerReader, dialects
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.supervisors import RestartRule, Supervisor
from tests.fixtures import load_functions
from tests.platform_sites import wait_until

load_tests = load_functions(__name__)

_TAGS = (
    'Presence',
    'Question',
    'Opinion',
    'Succession',
    'RosterRequest',
    'Roster',
    'Ask',
    'Send',
    'Return',
    'Granted',
    'Answers',
)
_SCALARS = st.none() | st.booleans() | st.integers(-9, 2**40)
_VALUES: Any = st.recursive(
    _SCALARS | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
#: Encoded messages with a known tag and arbitrary fields, or arbitrary bytes.
_MESSAGES = st.tuples(
    st.sampled_from(_TAGS), st.lists(_VALUES, max_size=10)
).map(lambda parts: msgspec.msgpack.encode([parts[0], *parts[1]])) | st.binary(
    max_size=80
)


def _accepts(decode: Any, content: bytes) -> bool:
    """Decode; return whether that succeeded.

    :raises Exception: If decoding raises anything but a ``MonsoonError``.
    """
    try:
        return decode(content) is not None
    except MonsoonError:
        return False


def _decode_all(reader: CallerReader, content: bytes) -> int:
    """Decode all messages of a caller; return how many there are."""
    reader.feed(content)
    found = 0
    while reader.next_message() is not None:
        found += 1
    return found


@given(_MESSAGES)
def test_messages_between_daemons(content: bytes) -> None:
    """Guards against a malformed message that ends the task reading it.

    Decoders may raise errors of this project only, which their callers handle.
    """
    framed = len(content).to_bytes(4, 'big') + content
    _accepts(gossip_messages.decode, content)
    _accepts(gossip_messages.decode_listing, content)
    _accepts(lambda data: relay_messages.Reader().feed(data), framed)
    _accepts(lambda data: relay_messages.Reader().feed(data), content)
    _accepts(snapshots.decompress, content)
    _accepts(snapshots.decompress_entries, snapshots.compress(content))


@given(
    st.binary(max_size=60),
    st.sampled_from(
        (b'OPEN ', b'QUERY ', b'QUERY 1 ', b'READY ', b'ROW ', b'')
    ),
)
def test_lines(content: bytes, word: bytes) -> None:
    """Guards against lines of callers and databases that raise other errors.

    Connections handle only errors of this project.
    """
    dialect = dialects.get('lines')()
    line = word + content + b'\r\n'
    _accepts(partial(_decode_all, dialect.caller_reader()), line)
    _accepts(lambda data: dialect.answer_reader().feed(data), line)


@given(
    st.dictionaries(
        st.sampled_from(
            ('version', 'routes', 'services', 'limits', 'addr', 'service')
        ),
        _VALUES,
    )
)
def test_documents(document: dict[str, Any]) -> None:
    """Guards against a malformed row that ends the follower of its table."""
    content = msgspec.json.encode(document)
    _accepts(PlatformDocuments().routes, content)
    _accepts(lambda data: PlatformDocuments().server('i-1', data), content)


async def test_presence_with_malformed_address(
    platform_site: SiteStandIn,
) -> None:
    """Guards against a malformed address that stops a daemon's gossip.

    A peer sends a well-formed presence whose address can't be sent to. The
    task that sends presences ended with an error, and no more were sent.
    """
    node = platform_site.nodes[0]
    presence = gossip_messages.Presence(
        'odd', 'nowhere', 'nowhere', 'zone-1', 1, 1, 1, follows=False
    )
    for target in platform_site.nodes:
        host, port = target._settings.peer_address.rsplit(':', 1)
        (
            sender,
            _protocol,
        ) = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(host, int(port))
        )
        sender.sendto(gossip_messages.encode(presence))
        sender.close()
    # Each daemon sends a presence to all its peers within 2 s.
    await asyncio.sleep(4)
    assert node._peers.get('odd') is None
    assert 'gossip' in node._supervisor.children()
    again = await platform_site.add_node()
    await wait_until(lambda: again.gauges()['daemons_alive'] >= 3)
    caller = await platform_site.caller(PRIMARY_ROUTE, 3)
    assert not (await caller.run('READ a')).code


async def test_root_supervisor_keeps_restarting() -> None:
    """Guards against a daemon that runs on without one of its tasks.

    A task fails repeatedly for some seconds, more often than its restart rule
    allows, and the daemon's supervisor has none above it to escalate to.
    """
    runs = []
    supervisor = Supervisor('node')

    async def fail() -> None:
        runs.append(1)
        raise LookupError('unexpected')

    rule = RestartRule(max_restarts=2, window=Millis(100), backoff=Millis(5))
    supervisor.start_child('sweep', fail, rule)
    await wait_until(lambda: len(runs) >= 8)
    assert supervisor.children() == ('sweep',)
    await supervisor.stop()
