"""Tests of failure detection between a borrower and its lender."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

from monsoonproxy import relay_messages
from monsoonproxy.clock import Clock
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.exceptions import PeerError
from monsoonproxy.relay_client import RelayClient
from monsoonproxy.servers import Server
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_SERVER = Server('db-0', 'ledger', '127.0.0.1:1', 'zone-1')
_CLAIM = LeaseRequest(2_000, single=True)


class _Lender:
    """A lender that grants no lease, and answers no pings while silent."""

    def __init__(self) -> None:
        self.silent = False
        self.pings = 0
        self.client: Any = None

    def connection(self) -> asyncio.Protocol:
        return _Connection(self)


class _Connection(asyncio.Protocol):
    def __init__(self, lender: _Lender) -> None:
        self._lender = lender
        self._reader = relay_messages.Reader()
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        for message in self._reader.feed(data):
            if (
                isinstance(message, relay_messages.Ping)
                and not self._lender.silent
            ):
                self._lender.pings += 1
                self._transport.write(
                    relay_messages.encode(relay_messages.Pong(0))
                )


@fixture
async def lender() -> AsyncIterator[_Lender]:
    """Yield a lender with the client of a borrower."""
    lender = _Lender()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lender.connection, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    lender.client = RelayClient(f'{host}:{port}', Clock(), str)
    yield lender
    lender.client.close()
    server.close()


async def _fails_within(waiting: Any, limit_s: float) -> bool:
    started = time.monotonic()
    try:
        await waiting
    except PeerError:
        return time.monotonic() - started < limit_s
    return False


async def test_silent_lender_is_skipped(lender: _Lender) -> None:
    """Guards against statements that wait for a host that lost power.

    Pattern: half of the hosts lose power, and their connections stay open.
    Callers have latency objectives of 150 ms and more, and other lenders work.
    """
    lender.silent = True
    assert await _fails_within(
        lender.client.request_lease(_SERVER, _CLAIM), 0.3
    )


async def test_busy_lender_is_waited_for(lender: _Lender) -> None:
    """Guards against a busy lender that is taken for a failed one.

    Pattern: the lender grants no lease for long, since many requests wait
    there, but answers pings.
    """
    pending = asyncio.ensure_future(
        lender.client.request_lease(_SERVER, _CLAIM)
    )
    await asyncio.sleep(1)
    assert not pending.done()
    assert lender.pings
    pending.cancel()


async def test_local_pause_is_not_silence(lender: _Lender) -> None:
    """Guards against leases that end because the borrower was frozen.

    Pattern: the borrower's host freezes for a second and resumes, with the
    lender's answers still unread.
    """
    pending = asyncio.ensure_future(
        lender.client.request_lease(_SERVER, _CLAIM)
    )
    await asyncio.sleep(0.2)
    time.sleep(1)
    await asyncio.sleep(0.3)
    assert not pending.done()
    pending.cancel()


async def test_requests_fail_with_silent_lender(lender: _Lender) -> None:
    """Guards against statements without an outcome for seconds.

    Pattern: the lender falls silent with a request outstanding.
    """
    pending = asyncio.ensure_future(
        lender.client.request_lease(_SERVER, _CLAIM)
    )
    await asyncio.sleep(0.3)
    lender.silent = True
    assert await _fails_within(
        lender.client.send(relay_messages.Send(9, b'', 1, 0)), 1
    )
    pending.cancel()
