"""Questions that ``monsoonctl`` asks daemons."""

import asyncio
import contextlib
import contextvars
import json
import secrets
from collections.abc import AsyncIterator, Sequence
from typing import Any

from monsoonproxy import keys as key_files
from monsoonproxy import messages
from monsoonproxy.clock import seconds
from monsoonproxy.exceptions import PeerError
from monsoonproxy.peers import CurveKeys, PeerConnection

#: Time in ms to wait for a daemon's answer.
TIMEOUT = 3000
#: Time in seconds that a message without an answer has to be sent.
_SEND_TIME = 0.2
_REQUEST = 1

_site_keys: contextvars.ContextVar[Sequence[CurveKeys]]
_site_keys = contextvars.ContextVar('site_keys', default=())


def use_keys(path: str) -> None:
    """Use the keys of a site from now on.

    :param path: The site's key file; empty for connections in clear.
    """
    _site_keys.set(key_files.load(path).peers if path else ())


async def ask(
    address: str,
    topic: str = 'status',
    keys: Sequence[CurveKeys] | None = None,
) -> Any:
    """Ask a daemon.

    :param address: ``ip:port`` of its peer socket.
    :param topic: ``status``, ``drain`` or ``burn``.
    :param keys: CURVE key pairs of the site; those of :func:`use_keys` by
        default.
    :returns: What the daemon answered, from JSON.
    :raises PeerError: If there is no valid answer in time.
    """
    replies: asyncio.Queue[messages.AnyMessage] = asyncio.Queue()
    async with _connected(address, keys, replies) as link:
        await link.send(messages.StatusRequest(_REQUEST, topic))
        reply = await replies.get()
    if not isinstance(reply, messages.StatusReply):
        raise PeerError(f'{address}: unexpected {type(reply).__name__}')
    try:
        return json.loads(reply.document)
    except ValueError as exc:
        raise PeerError(f'{address}: the answer is not JSON') from exc


async def notify(address: str, version: int) -> None:
    """Tell a daemon that a version was accepted; no answer is awaited.

    :param address: ``ip:port`` of its peer socket.
    :param version: The version.
    """
    replies: asyncio.Queue[messages.AnyMessage] = asyncio.Queue()
    async with _connected(address, None, replies) as link:
        await link.send(messages.Announce(version))
        await asyncio.sleep(_SEND_TIME)


@contextlib.asynccontextmanager
async def _connected(
    address: str,
    keys: Sequence[CurveKeys] | None,
    replies: asyncio.Queue[messages.AnyMessage],
) -> AsyncIterator[PeerConnection]:
    link = PeerConnection(
        address,
        f'{messages.TOOL}/{secrets.token_hex(8)}'.encode(),
        handler=lambda _address, message: replies.put_nowait(message),
        lost=_ignore,
        keys=_site_keys.get() if keys is None else keys,
    )
    running = asyncio.create_task(link.run())
    try:
        async with asyncio.timeout(seconds(TIMEOUT)):
            await link.wait_connected(seconds(TIMEOUT))
            yield link
    except TimeoutError:
        raise PeerError(f'{address}: no answer within {TIMEOUT} ms') from None
    finally:
        await _end(running, link)


async def _end(running: asyncio.Task[None], link: PeerConnection) -> None:
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    link.close()


def _ignore(_address: str) -> None:
    """Take in a broken connection, which shows as a timeout."""
