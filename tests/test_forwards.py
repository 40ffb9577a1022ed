"""Tests of the messages by which daemons lend connections."""

import random

from monsoonproxy import forwards
from monsoonproxy.exceptions import PeerError
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_MESSAGES = (
    forwards.Ask(1, 'ledger', 'db-1', 800, 2, single=True),
    forwards.Granted(1, {b'lang': b'ar'}, [b'p1'], 5),
    forwards.Send(1, b'QUERY 1 READ a\r\n' * 300, 1, 5),
    forwards.Cancel(1),
    forwards.Answers(1, b'ROW x\r\n'),
    forwards.Broken(1, 'closed'),
    forwards.Denied(2, 'full', unreachable=False),
    forwards.Ping(0),
    forwards.Pong(0),
    forwards.Return(1, clean=True, values={}, prepared=[]),
)


def test_any_split() -> None:
    """Guards against messages that arrive in pieces."""
    stream = b''.join(map(forwards.encode, _MESSAGES))
    rng = random.Random(3)
    for _ in range(50):
        reader = forwards.Reader()
        found = []
        start = 0
        while start < len(stream):
            size = rng.randint(1, 700)
            found.extend(reader.feed(stream[start : start + size]))
            start += size
        assert tuple(found) == _MESSAGES


def test_malformed() -> None:
    """Guards against a peer that sends something else."""
    for content in (b'GET / HTTP/1.1\r\n', b'\0\0\0\3abc'):
        try:
            forwards.Reader().feed(content)
        except PeerError:
            continue
        raise AssertionError(content)
