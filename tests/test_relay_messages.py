"""Tests of the messages by which daemons lend connections."""

import random

from monsoonproxy import relay_messages
from monsoonproxy.exceptions import PeerError
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_MESSAGES = (
    relay_messages.Ask(1, 'ledger', 'db-1', 800, 2, single=True),
    relay_messages.Granted(1, {b'lang': b'ar'}, [b'p1'], 5),
    relay_messages.Send(1, b'QUERY 1 READ a\r\n' * 300, 1, 5),
    relay_messages.Cancel(1),
    relay_messages.Answers(1, b'ROW x\r\n'),
    relay_messages.Broken(1, 'closed'),
    relay_messages.Denied(2, 'full', unreachable=False),
    relay_messages.Ping(0),
    relay_messages.Pong(0),
    relay_messages.Return(1, clean=True, values={}, prepared=[]),
)


def test_messages_in_chunks() -> None:
    """Guards against messages that are lost if TCP splits or joins them."""
    stream = b''.join(map(relay_messages.encode, _MESSAGES))
    rng = random.Random(3)
    for _ in range(50):
        reader = relay_messages.Reader()
        found = []
        start = 0
        while start < len(stream):
            size = rng.randint(1, 700)
            found.extend(reader.feed(stream[start : start + size]))
            start += size
        assert tuple(found) == _MESSAGES


def test_malformed_messages() -> None:
    """Guards against bytes from a peer that are not messages."""
    for content in (b'GET / HTTP/1.1\r\n', b'\0\0\0\3abc'):
        try:
            relay_messages.Reader().feed(content)
        except PeerError:
            continue
        raise AssertionError(content)
