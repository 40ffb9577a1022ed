"""Asks a daemon for its status, for tools."""

import json
import secrets
from typing import Any

import zmq
from zmq.asyncio import Context

from monsoonproxy import messages
from monsoonproxy.exceptions import PeerError

_TIMEOUT_MS = 3_000


async def ask(address: str, topic: str = 'status') -> dict[str, Any]:
    """Ask a daemon.

    :param address: ``ip:port`` of its peer socket.
    :param topic: What to ask for.
    :returns: Its answer.
    :raises PeerError: If there is no answer in time.
    """
    sock = Context.instance().socket(zmq.DEALER)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.IDENTITY, f'tool/{secrets.token_hex(8)}'.encode())
    try:
        sock.connect(f'tcp://{address}')
        await sock.send(messages.encode(messages.StatusRequest(1, topic)))
        if not await sock.poll(_TIMEOUT_MS):
            raise PeerError(f'{address} does not answer')
        reply = messages.decode(await sock.recv())
    finally:
        sock.close()
    if not isinstance(reply, messages.StatusReply):
        raise PeerError(f'{address} sent something else than a status')
    return dict(json.loads(reply.document))
