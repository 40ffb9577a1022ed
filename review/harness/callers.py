"""Clients of the line protocol, and a record of what they saw."""

import asyncio
import itertools
import time

import attrs

_numbers = itertools.count(1)


@attrs.define
class Sent:
    """A statement that a client sent.

    :param request_id: Its id.
    :param daemon: Name of the daemon.
    :param session: Number of the client's session.
    :param text: The text.
    :param at: Monotonic time in s when it was sent.
    :param ended_at: When its answer, or the end of the connection, arrived.
    :param answer: The completion or error line; ``None`` without an answer.
    """

    request_id: str
    daemon: str
    session: int
    text: str
    at: float
    ended_at: float = 0
    answer: str | None = None

    @property
    def succeeded(self) -> bool:
        """Tell whether the answer was a success."""
        return self.answer is not None and self.answer.startswith('COMPLETE')


class Client:
    """A session of a client, which sends one statement at a time.

    :param daemon: Name of the daemon.
    :param address: Its address.
    :param log: All statements of all clients.
    """

    def __init__(self, daemon: str, address: str, log: list[Sent]) -> None:
        self.number = next(_numbers)
        self._daemon = daemon
        self._address = address
        self._log = log
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def open(self, database: str) -> None:
        """Open a session.

        :param database: Name of the database, which selects the route.
        :raises ConnectionError: If the daemon refuses it.
        """
        host, port = self._address.split(':')
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writer.write(f'OPEN {database} crew\r\n'.encode())
        line = await self._reader.readline()
        if not line.startswith(b'READY'):
            self._writer.close()
            raise ConnectionError(line.decode())

    async def run(self, text: str) -> Sent:
        """Send a statement and wait for the answer.

        :param text: The statement.
        :returns: The statement with its answer.
        :raises ConnectionError: If the connection ends without an answer.
        """
        number = next(_numbers)
        sent = Sent(
            f'{number:08x}', self._daemon, self.number, text, time.monotonic()
        )
        self._log.append(sent)
        self._writer.write(f'QUERY {sent.request_id} {text}\r\n'.encode())
        try:
            lines = await self._read_answer()
        finally:
            sent.ended_at = time.monotonic()
        sent.answer = lines[-1]
        return sent

    def close(self) -> None:
        """End the session."""
        self._writer.write(b'QUIT\r\n')
        self._writer.close()

    async def _read_answer(self) -> list[str]:
        lines: list[str] = []
        while True:
            line = (await self._reader.readline()).decode().rstrip('\r\n')
            if not line:
                raise ConnectionError('the connection ended without an answer')
            if line.startswith('READY '):
                return lines
            lines.append(line)
