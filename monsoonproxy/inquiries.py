"""Questions that ``monsoonctl`` asks daemons."""

import json
from typing import Any

import msgspec
import zmq
from zmq import asyncio as zmq_asyncio

from monsoonproxy import messages
from monsoonproxy.exceptions import PeerError

#: Time in ms to wait for a daemon's answer.
TIMEOUT = 3000
_REQUEST = 1


async def ask(address: str, topic: str) -> Any:
    """Ask a daemon.

    :param address: ``ip:port`` of its peer socket.
    :param topic: ``status``, ``drain`` or ``burn``.
    :returns: What the daemon answered, from JSON.
    :raises PeerError: If there is no valid answer in time.
    """
    request = messages.StatusRequest(_REQUEST, topic)
    frames = await _exchange(address, request, TIMEOUT)
    try:
        reply = messages.decode(frames[-1])
    except msgspec.DecodeError as exc:
        raise PeerError(f'{address}: malformed answer') from exc
    if not isinstance(reply, messages.StatusReply):
        raise PeerError(f'{address}: unexpected {type(reply).__name__}')
    try:
        return json.loads(reply.document)
    except ValueError as exc:
        raise PeerError(f'{address}: the answer is not JSON') from exc


async def _exchange(
    address: str, request: messages.Message, timeout: int
) -> list[bytes]:
    with zmq_asyncio.Context() as context:
        with _socket(context) as socket:
            socket.connect(f'tcp://{address}')
            await socket.send(messages.encode(request))
            if await socket.poll(timeout):
                return await socket.recv_multipart()
    raise PeerError(f'{address}: no answer within {timeout} ms')


async def notify(address: str, version: int) -> None:
    """Tell a daemon that a version was accepted; no answer is awaited.

    :param address: ``ip:port`` of its peer socket.
    :param version: The version.
    """
    with zmq_asyncio.Context() as context:
        with _socket(context) as socket:
            # The message is sent within this time or not at all.
            socket.setsockopt(zmq.LINGER, 500)
            socket.connect(f'tcp://{address}')
            await socket.send(messages.encode(messages.Announce(version)))


def _socket(context: zmq_asyncio.Context) -> zmq_asyncio.Socket:
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.IPV6, 1)
    return socket
