"""A loopback link between daemons and a database that can be partitioned."""

import asyncio

from emulator.ports import HOST, free_port
from stand_ins.databases import Database

_CHUNK = 64 * 1024
_ENDINGS = (ConnectionError, OSError)


class Link:
    """Passes connections on to a database, unless it is cut.

    While it is cut, nothing arrives in either direction. Bytes that were sent
    meanwhile arrive when the cut ends, as TCP sends them again, and then the
    end of the connection, if it was closed. If the sender has reset the
    connection, the bytes are lost, as the operators' pages say.

    :param database: The database, whose entry gets the address of the link.
    """

    def __init__(self, database: Database) -> None:
        self.address = f'{HOST}:{free_port()}'
        #: How connections that daemons ended during a cut had been ended.
        self.endings: list[str] = []
        self._database = database
        self._open = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._open.set()
        host, port = self.address.split(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def cut(self, duration: float) -> None:
        """Partition the database from all daemons for a time.

        :param duration: Time in s.
        """
        self._open.clear()
        await asyncio.sleep(duration)
        self._open.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._open.wait()
        host, port = self._database.address.split(':')
        try:
            far = await asyncio.open_connection(host, int(port))
        except _ENDINGS:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, far[1], writer),
            self._pump(far[0], writer, far[1]),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        back: asyncio.StreamWriter,
    ) -> None:
        """Pass bytes on, then the end of the connection.

        :param reader: Where bytes come from.
        :param writer: Where they go.
        :param back: The way back to where they come from.
        """
        try:
            while chunk := await reader.read(_CHUNK):
                await self._open.wait()
                if reader.exception() is not None:
                    break
                writer.write(chunk)
                await writer.drain()
        except _ENDINGS:
            writer.transport.abort()
        await self._open.wait()
        if reader.exception() is None:
            writer.close()
        else:
            writer.transport.abort()
        if writer.is_closing():
            back.close()
