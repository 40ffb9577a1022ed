"""Callers of daemons, one session each."""

import asyncio
import itertools

from stand_ins_2.platform_store import HOST
from stand_ins_2.records import Record

_numbers = itertools.count(1)


class Answer:
    """What a caller received.

    :param end: The last line before the state of the session.
    :param state: State of the session: I, T or E.
    """

    def __init__(self, end: str, state: str) -> None:
        self.end = end
        self.state = state

    @property
    def code(self) -> str:
        """Return the error code; empty after a success."""
        word, _, rest = self.end.partition(' ')
        return rest.partition(' ')[0] if word == 'ERROR' else ''


class Caller:
    """One session at a daemon.

    :param port: Port of the daemon.
    :param record: Gets what is sent and answered.
    """

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, database: str) -> bool:
        """Open a session.

        :param database: Name of the database, which selects the route.
        :returns: Whether it is open.
        """
        self._reader, self._writer = await asyncio.open_connection(
            HOST, self._port
        )
        self._writer.write(f'OPEN {database} crew\r\n'.encode())
        line = await self._reader.readline()
        return line.startswith(b'READY')

    async def run(self, text: str, request_id: str = '') -> Answer:
        """Send a statement, and wait for its answer.

        :param text: The statement.
        :param request_id: Its id; a new one if empty.
        :returns: The answer.
        :raises ConnectionError: If the connection ends before.
        """
        if self._reader is None or self._writer is None:
            raise ConnectionError('no session')
        request_id = request_id or new_id()
        self._record.add('sent', id=request_id, text=text, port=self._port)
        self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        end = ''
        async for line in self._reader:
            found = line.decode().rstrip()
            if found.startswith('READY '):
                answer = Answer(end, found.split(' ')[1])
                self._record.add('answered', id=request_id, end=end)
                return answer
            end = found
        self._record.add('ended', id=request_id)
        raise ConnectionError('no complete answer')

    def close(self) -> None:
        """End the session."""
        if self._writer is not None:
            self._writer.close()


def new_id() -> str:
    """Return an id that no statement had."""
    return f'{next(_numbers):016x}'
