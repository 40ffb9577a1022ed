"""Asks a daemon for its status, for tools."""

import asyncio
import json
import secrets
from collections.abc import Sequence
from typing import Any

from monsoonproxy import messages
from monsoonproxy.clock import seconds
from monsoonproxy.exceptions import PeerError
from monsoonproxy.peers import CurveKeys, Link

_TIMEOUT_MS = 3_000


async def ask(
    address: str, topic: str = 'status', keys: Sequence[CurveKeys] = ()
) -> dict[str, Any]:
    """Ask a daemon.

    :param address: ``ip:port`` of its peer socket.
    :param topic: ``status``, or ``drain`` to shut it down gracefully.
    :param keys: CURVE key pairs of the site, newest first.
    :returns: Its answer.
    :raises PeerError: If there is no answer in time.
    """
    replies: asyncio.Queue[messages.AnyMessage] = asyncio.Queue()
    link = Link(
        address,
        f'tool/{secrets.token_hex(8)}'.encode(),
        handler=lambda _address, message: replies.put_nowait(message),
        lost=_ignore,
        keys=keys,
    )
    running = asyncio.create_task(link.run())
    try:
        async with asyncio.timeout(seconds(_TIMEOUT_MS)):
            await link.wait_connected(seconds(_TIMEOUT_MS))
            await link.send(messages.StatusRequest(1, topic))
            reply = await replies.get()
    except TimeoutError:
        raise PeerError(f'{address} does not answer') from None
    finally:
        await _end(running, link)
    if not isinstance(reply, messages.StatusReply):
        raise PeerError(f'{address} sent something else than a status')
    return dict(json.loads(reply.document))


async def _end(running: asyncio.Task[None], link: Link) -> None:
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    link.close()


def _ignore(_address: str) -> None:
    """Take in a broken connection, which shows as a timeout."""
