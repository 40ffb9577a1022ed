"""Tests of the HTTP client for the platform."""

import asyncio
import time
from collections.abc import AsyncIterator

from site_platform.http import HttpClient

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import PlatformError
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_CALL_TIMEOUT = Millis(200)
#: Number of parts of a complete response.
_PARTS = 6
_PART_INTERVAL_S = 0.1


class _SlowServer:
    """Sends its response in parts, as over a slow link.

    :ivar part_count: Number of parts to send; fewer than ``_PARTS`` leave the
        response incomplete.
    :ivar address: ``ip:port`` where the server listens.
    """

    def __init__(self) -> None:
        self.part_count = _PARTS
        self.address = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, with a pause after each part."""
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {2 * _PARTS}\r\n\r\n'
        writer.write(head.encode())
        for _ in range(self.part_count):
            writer.write(b'[]')
            await asyncio.sleep(_PART_INTERVAL_S)


@fixture
async def slow_server() -> AsyncIterator[_SlowServer]:
    """Yield a server whose responses take longer than the client's timeout."""
    slow = _SlowServer()
    server = await asyncio.start_server(slow.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    slow.address = f'{host}:{port}'
    yield slow
    server.close()


async def test_long_answer_over_slow_link(slow_server: _SlowServer) -> None:
    """Guards against a host that never gets a large configuration (RECOVER).

    All hosts restart after a power failure, with a configuration of 1,240 more
    routes. Over a link of 2 Mbit/s its transfer takes longer than the timeout
    of a call. When the timeout covered the whole response, every attempt was
    aborted and no host served again.
    """
    client = HttpClient(slow_server.address)
    reply = await client.call('GET', '/', timeout=_CALL_TIMEOUT)
    assert reply.body == b'[]' * _PARTS
    client.close()


async def test_answer_that_stops(slow_server: _SlowServer) -> None:
    """Guards against a call that waits forever for the rest of a response.

    The server sends two of the six parts and then stops.
    """
    slow_server.part_count = 2
    client = HttpClient(slow_server.address)
    began = time.monotonic()
    try:
        await client.call('GET', '/', timeout=_CALL_TIMEOUT)
    except PlatformError:
        assert time.monotonic() - began < 1
    else:
        raise AssertionError('an incomplete response was accepted')
    client.close()
