"""Tests of the codec of messages between daemons."""

import msgspec

from monsoonproxy import messages
from tests.fixtures import load_functions

load_tests = load_functions(__name__)


def test_round_trip() -> None:
    """Guards against a field that encoding and decoding lose or change."""
    request = messages.StatementRequest(
        request=1,
        session=2,
        service='hire-ledger-1',
        sql=b'SELECT 1',
        kind='read',
        request_class='enquiry',
        max_age=500,
        remaining=1000,
        repeatable=True,
        request_id=None,
        floor=(3, 4),
    )
    assert messages.decode(messages.encode(request)) == request


def test_malformed_frame() -> None:
    """Guards against decoding a frame with an unknown tag as a message."""
    try:
        messages.decode(b'\x92\xa4Nope\x01')
    except msgspec.DecodeError:
        return
    raise AssertionError('a frame with an unknown tag was accepted')
