"""Ports of the processes that a site starts on loopback."""

import asyncio
import contextlib
import itertools
import os
import socket

HOST = '127.0.0.1'
_START_TIMEOUT = 20
_POLL_PAUSE = 0.05
_FIRST_PORT = 10_000
_BLOCKS = 100
_BLOCK_SIZE = 200
_block = _FIRST_PORT + os.getpid() % _BLOCKS * _BLOCK_SIZE
_ports = itertools.cycle(range(_block, _block + _BLOCK_SIZE))


async def wait_port(address: str) -> None:
    """Wait until a port accepts connections.

    :param address: ``ip:port``.
    """
    host, port = address.split(':')
    async with asyncio.timeout(_START_TIMEOUT):
        while True:
            try:
                _reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(_POLL_PAUSE)
                continue
            writer.close()
            return


def free_port() -> int:
    """Return a port that is free now and stays free.

    Ports below the system's ephemeral range are not taken by outgoing
    connections before the process that is to listen has started. Each process
    has a block of its own, so that sites that start at once do not meet.

    :returns: The port.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            # As the servers do; else ports with connections that have ended
            # just now look taken, and the few others come round too soon.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((HOST, port))
            return port
