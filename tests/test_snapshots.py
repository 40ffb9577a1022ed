"""Tests of the snapshots that daemons fetch from each other."""

import json
import random

from stand_ins.site import configuration

from monsoonproxy.exceptions import PeerError
from monsoonproxy.snapshots import compress, decompress
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

#: Number of routes in a large configuration.
_ROUTES = 2_000
#: Bits per second of the slowest network link of a host, and the number of
#: peers that fetch from it at the same time.
_SLOWEST_LINK = 5_000_000
_FANOUT = 8
#: Time limit in s of a fetch.
_FETCH_LIMIT = 1.5


def _large_configuration() -> bytes:
    rng = random.Random(1)
    document = configuration()
    route = document['routes'][0]
    document['routes'] += [
        {**route, 'name': f'r{number}', 'host': f'{rng.getrandbits(40):x}'}
        for number in range(_ROUTES)
    ]
    return json.dumps(document).encode()


def test_large_configuration_fits_a_slow_link() -> None:
    """Guards against snapshots too large to be fetched over a slow link.

    After a change, several peers fetch from one daemon at the same time.
    """
    sent = len(compress(_large_configuration())) * 8 * _FANOUT
    assert sent / _SLOWEST_LINK < _FETCH_LIMIT


def test_compression_round_trip() -> None:
    """Guards against compression that changes a document."""
    document = _large_configuration()
    assert decompress(compress(document)) == document


def test_damaged_document() -> None:
    """Guards against accepting truncated or damaged documents."""
    packed = compress(_large_configuration())
    for damaged in (packed[:-10], b'-' + packed[1:], b''):
        try:
            decompress(damaged)
        except PeerError:
            continue
        raise AssertionError(f'{len(damaged)} bytes were accepted')
