"""Requests from ``monsoonctl`` to the peer sockets of daemons."""

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

#: Time-out in ms for a daemon's response, including the connection set-up.
TIMEOUT = 3000
#: Time in s for which a connection stays open to send a message that gets no
#: response.
_SEND_TIME_S = 0.2
#: One connection carries one request, so all of them can have the same id.
_REQUEST_ID = 1

_site_keys: contextvars.ContextVar[Sequence[CurveKeys]]
_site_keys = contextvars.ContextVar('site_keys', default=())


def use_keys(path: str) -> None:
    """Set the CURVE keys of the connections opened after this call.

    :param path: The site's key file; empty for unencrypted connections.
    """
    _site_keys.set(key_files.load(path).peers if path else ())


async def ask(
    address: str,
    topic: str = 'status',
    keys: Sequence[CurveKeys] | None = None,
) -> Any:
    """Send a status request to a daemon and wait for the response.

    :param address: ``ip:port`` of its peer socket.
    :param topic: ``status``, ``drain`` or ``burn``.
    :param keys: CURVE key pairs of the site; those of :func:`use_keys` by
        default.
    :returns: The JSON document of the response, decoded.
    :raises PeerError: If no valid response arrives within ``TIMEOUT``.
    """
    replies: asyncio.Queue[messages.AnyMessage] = asyncio.Queue()
    async with _connect(address, keys, replies) as link:
        await link.send(messages.StatusRequest(_REQUEST_ID, topic))
        reply = await replies.get()
    if not isinstance(reply, messages.StatusReply):
        raise PeerError(
            f'{address}: expected StatusReply, got {type(reply).__name__}'
        )
    try:
        return json.loads(reply.document)
    except ValueError as exc:
        raise PeerError(f'{address}: the status document is not JSON') from exc


async def notify(address: str, version: int) -> None:
    """Announce an accepted version to a daemon without a response.

    :param address: ``ip:port`` of its peer socket.
    :param version: The accepted configuration version.
    """
    replies: asyncio.Queue[messages.AnyMessage] = asyncio.Queue()
    async with _connect(address, None, replies) as link:
        await link.send(messages.Announce(version))
        await asyncio.sleep(_SEND_TIME_S)


@contextlib.asynccontextmanager
async def _connect(
    address: str,
    keys: Sequence[CurveKeys] | None,
    replies: asyncio.Queue[messages.AnyMessage],
) -> AsyncIterator[PeerConnection]:
    link = PeerConnection(
        address,
        f'{messages.TOOL}/{secrets.token_hex(8)}'.encode(),
        handler=lambda _address, message: replies.put_nowait(message),
        lost=_ignore_lost,
        keys=_site_keys.get() if keys is None else keys,
    )
    task = asyncio.create_task(link.run())
    try:
        async with asyncio.timeout(seconds(TIMEOUT)):
            await link.wait_connected(seconds(TIMEOUT))
            yield link
    except TimeoutError:
        raise PeerError(f'{address}: no answer within {TIMEOUT} ms') from None
    finally:
        await _disconnect(task, link)


async def _disconnect(task: asyncio.Task[None], link: PeerConnection) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    link.close()


def _ignore_lost(_address: str) -> None:
    """Ignore a lost connection, which ends in a time-out of the request."""
