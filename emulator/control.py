"""HTTP servers of the emulator, and signals that end a process."""

import asyncio
import json
import signal
from typing import Protocol

from aiohttp import web


class Process(Protocol):
    """What a process of the emulator runs."""

    async def start(self) -> None:
        """Start to listen."""

    async def close(self) -> None:
        """Stop."""


async def serve(app: web.Application, host: str, port: int) -> web.AppRunner:
    """Start an HTTP server.

    :param app: Its routes.
    :param host: Address to listen on.
    :param port: Port; 0 lets the system choose.
    :returns: The running server.
    """
    # A hung request must not hold up the end of the process.
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


def address_of(runner: web.AppRunner | None) -> str:
    """Return the address of an HTTP server.

    :param runner: The running server.
    :returns: ``host:port``.
    :raises RuntimeError: If it has not been started.
    """
    if runner is None:
        raise RuntimeError('not started')
    return join_address(runner.addresses[0])


def join_address(name: tuple[object, ...]) -> str:
    """Return a socket's address as text.

    :param name: What ``getsockname`` returned.
    :returns: ``host:port``.
    """
    host, port = name[:2]
    return f'{host}:{port}'


async def run_until_signal(process: Process, names: tuple[str, ...]) -> None:
    """Run a process until SIGTERM or SIGINT.

    It prints one JSON line with its addresses once it listens.

    :param process: What to run.
    :param names: Attributes to print.
    """
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await process.start()
    line = {name: getattr(process, name) for name in names}
    # Whoever reads this line may send a signal at once.
    print(json.dumps(line), flush=True)
    await ended.wait()
    await process.close()
