"""Tests of the tags and fields that daemons of two releases must agree on.

All these structs travel as MessagePack arrays: a peer sees the tag of a class
and the number, order and types of its fields, but no names of classes or
fields.
"""

import inspect
import types
from typing import Any, Union, get_args, get_origin

import msgspec

from monsoonproxy import gossip_messages, messages, relay_messages, snapshots
from monsoonproxy.stores import Revision
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_COLUMN = '[str, int, int, int]'
_LISTING = '[str, str, str]'
_VALUES = 'dict[bytes, bytes]'

_NOTICES = {
    'Presence': (
        '[str, str, str, str, int, int, int, bool, bool = False, int = 0]'
    ),
    'Question': '[str, int, str, str]',
    'Opinion': '[str, int, bool | None]',
    'Succession': '[str, str, str, int]',
    'RosterRequest': '[str]',
    'Roster': f'[str, dict[str, {_LISTING}]]',
    'TokenRequest': '[str, int, str, int, int, int]',
    'TokenGrant': '[str, int, int, float = 0, int = 0, bool = False]',
}
_FORWARDS = {
    'Ask': (
        '[int, str, str, int, int, bool, str | None = None, int = -1, '
        'float = 1]'
    ),
    'Granted': f'[int, {_VALUES}, list[bytes], int]',
    'Denied': '[int, str, bool, int = 0]',
    'Send': '[int, bytes, int, int]',
    'Cancel': '[int]',
    'Answers': '[int, bytes]',
    'Broken': '[int, str]',
    'Return': f'[int, bool, {_VALUES}, list[bytes]]',
    'Ping': '[int]',
    'Pong': '[int]',
}
_MESSAGES = {
    'StatementRequest': (
        '[int, int, str, bytes, str, str, int | None, int, bool, '
        'str | None, tuple[int, int] | None]'
    ),
    'ResultHeader': f'[int, list[{_COLUMN}]]',
    'ResultRows': '[int, int, list[list[bytes | None]]]',
    'ResultEnd': (
        '[int, int, int, int, int, tuple[int, int] | None, bool, str, str]'
    ),
    'Failure': '[int, int, str, str, bool = False]',
    'Refusal': '[int, str, int, bool = False]',
    'Unknown': '[int, str]',
    'Credit': '[int, int]',
    'Cancel': '[int]',
    'SessionEnd': '[int]',
    'Ping': '[int]',
    'Pong': '[int]',
    'Announce': '[int, list[tuple[str, str, str]] = []]',
    'FetchConfiguration': '[int]',
    'ConfigurationDocument': '[int, bytes]',
    'Goodbye': '[str]',
    'StatusRequest': "[int, str = 'status']",
    'StatusReply': '[int, bytes]',
}
_SNAPSHOTS = [
    "[bytes = b'', int = 0, bytes = b'', int = 0, list[str] = []]",
    '[int, int, int = 0]',
]


def _structs(module: types.ModuleType) -> list[type[msgspec.Struct]]:
    """Return the structs of a module that are not the base of another one."""
    return [
        found
        for _name, found in inspect.getmembers(module, inspect.isclass)
        if issubclass(found, msgspec.Struct)
        and found.__module__ == module.__name__
        and not found.__subclasses__()
    ]


def _decoded(module: types.ModuleType) -> set[Any]:
    """Return the classes in the unions that a module's decoders accept."""
    return {
        struct
        for _name, decoder in inspect.getmembers(module)
        if isinstance(decoder, msgspec.msgpack.Decoder)
        for struct in get_args(decoder.type)
    }


def _layout(struct: type[msgspec.Struct]) -> str:
    """Return types and defaults of the fields in the order they are sent."""
    assert struct.__struct_config__.array_like, struct
    fields = map(_field, msgspec.structs.fields(struct))
    return f'[{", ".join(fields)}]'


def _field(field: msgspec.structs.FieldInfo) -> str:
    text = _type(field.type)
    if field.required:
        return text
    if field.default_factory is not msgspec.NODEFAULT:
        return f'{text} = {field.default_factory()!r}'
    return f'{text} = {field.default!r}'


def _type(found: Any) -> str:
    origin = get_origin(found)
    inner = [_type(argument) for argument in get_args(found)]
    if origin in {types.UnionType, Union}:
        return ' | '.join(inner)
    if origin is not None:
        return f'{origin.__name__}[{", ".join(inner)}]'
    if found is types.NoneType:
        return 'None'
    if issubclass(found, msgspec.Struct):
        return _layout(found)
    return str(found.__name__)


def _tagged(module: types.ModuleType) -> dict[Any, str]:
    """Return the layouts of a module's messages by tag."""
    tagged = [
        struct
        for struct in _structs(module)
        if struct.__struct_config__.tag is not None
    ]
    assert set(tagged) == _decoded(module)
    layouts = {
        struct.__struct_config__.tag: _layout(struct) for struct in tagged
    }
    assert len(layouts) == len(tagged), 'a tag is used twice'
    return layouts


def _untagged(module: types.ModuleType) -> list[str]:
    """Return the layouts of a module's structs without a tag."""
    return sorted(
        _layout(struct)
        for struct in _structs(module)
        if struct.__struct_config__.tag is None
    )


class _EarlierPresence(
    msgspec.Struct, frozen=True, tag='Presence', array_like=True
):
    """A presence as the release before eras of the store decodes it."""

    sender: str
    address: str
    relay: str
    zone: str
    started: int
    version: int
    stamp: int
    follows: bool
    leaving: bool = False


def test_presence_of_other_release() -> None:
    """Guards against a rolling upgrade in which daemons don't hear each other.

    The earlier release knows no eras of the store.
    """
    earlier = _EarlierPresence(
        'd', '10.0.0.1:1', '10.0.0.1:2', 'z', 1, 2, 3, follows=True
    )
    now = gossip_messages.decode(msgspec.msgpack.encode(earlier))
    assert isinstance(now, gossip_messages.Presence)
    assert now.revision == Revision(0, 3)
    sent = gossip_messages.encode(msgspec.structs.replace(now, era=7))
    assert msgspec.msgpack.decode(sent, type=_EarlierPresence) == earlier


def test_gossip_messages() -> None:
    """Guards against gossip that daemons of the earlier release discard.

    A renamed class gets another tag, and fields in another order another
    meaning. Peers discard such datagrams without a reply.
    """
    assert _tagged(gossip_messages) == _NOTICES
    assert _untagged(gossip_messages) == [_LISTING]


def test_lease_messages() -> None:
    """Guards against leases that daemons of the earlier release refuse.

    A lender closes the connection at a message that it can't decode.
    """
    assert _tagged(relay_messages) == _FORWARDS
    assert not _untagged(relay_messages)


def test_peer_messages() -> None:
    """Guards against requests that daemons of the earlier release refuse."""
    assert _tagged(messages) == _MESSAGES
    assert _untagged(messages) == [_COLUMN]


def test_snapshots() -> None:
    """Guards against snapshots that the earlier release can't decode.

    During an upgrade, daemons of both releases fetch the configuration and
    the backend servers' entries from each other.
    """
    assert not _tagged(snapshots)
    assert _untagged(snapshots) == _SNAPSHOTS
