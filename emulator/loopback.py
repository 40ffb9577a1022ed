"""Loopback links that delay, silence, cut one way or reset connections."""

import asyncio
import random
from collections.abc import Callable

import attrs

from emulator.ports import HOST, free_port

_CHUNK = 64 * 1024
_ENDINGS = (ConnectionError, OSError, asyncio.CancelledError)


@attrs.frozen
class Trouble:
    """What is wrong with a link.

    Bytes that are held back arrive once the trouble ends, as TCP sends them
    again. They are lost if their sender has reset the connection meanwhile.

    :param share: Share of the connections that it affects.
    :param delay: Time in s by which each chunk is late.
    :param mutes_requests: Whether nothing reaches the server.
    :param mutes_answers: Whether nothing reaches the client.
    :param resets: Whether connections are reset, new ones too.
    """

    share: float = 1
    delay: float = 0
    mutes_requests: bool = False
    mutes_answers: bool = False
    resets: bool = False


_CALM = Trouble(share=0)


@attrs.define(eq=False)
class _Connection:
    """A connection through a link.

    :param affected: Whether the present trouble affects it.
    :param writers: Both ends.
    """

    affected: bool
    writers: list[asyncio.StreamWriter] = attrs.Factory(list)

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Link:
    """Passes connections on to a server.

    :param target: Returns the server's ``ip:port``.
    :param rng: Chooses the connections that a trouble affects.
    """

    def __init__(self, target: Callable[[], str], rng: random.Random) -> None:
        self.address = f'{HOST}:{free_port()}'
        self._target = target
        self._rng = rng
        self._trouble = _CALM
        self._connections: set[_Connection] = set()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.split(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.reset()

    def disturb(self, trouble: Trouble) -> None:
        """Begin a trouble, which replaces the present one.

        :param trouble: What is wrong.
        """
        self._trouble = trouble
        for connection in tuple(self._connections):
            connection.affected = self._is_hit()
            if connection.affected and trouble.resets:
                connection.reset()
        self._wake()

    def heal(self) -> None:
        """End the trouble."""
        self.disturb(_CALM)

    def _is_hit(self) -> bool:
        return self._rng.random() < self._trouble.share

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self._is_hit(), [writer])
        self._connections.add(connection)
        try:
            await self._serve(connection, reader, writer)
        except _ENDINGS:
            # Either end has gone, which the other one is told below.
            connection.affected = False
        finally:
            self._connections.discard(connection)
            connection.reset()

    async def _serve(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if connection.affected and self._trouble.resets:
            return
        host, port = self._target().split(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        connection.writers.append(far_writer)
        pumps = (
            self._pump(connection, reader, far_writer, is_request=True),
            self._pump(connection, far_reader, writer, is_request=False),
        )
        tasks = [asyncio.ensure_future(pump) for pump in pumps]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        while chunk := await reader.read(_CHUNK):
            if connection.affected and self._trouble.delay:
                await asyncio.sleep(self._trouble.delay)
            while connection.affected and self._mutes(is_request=is_request):
                await self._changed.wait()
            if reader.exception() is not None:
                return
            writer.write(chunk)
            await writer.drain()

    def _mutes(self, *, is_request: bool) -> bool:
        trouble = self._trouble
        return trouble.mutes_requests if is_request else trouble.mutes_answers
