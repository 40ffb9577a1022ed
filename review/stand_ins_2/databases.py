"""Replicated databases that speak the platform's line protocol."""

import asyncio
import hashlib
import itertools
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

from stand_ins_2.platform_store import HOST
from stand_ins_2.records import Record

_END = b'\r\n'
_LIMIT = 2 * 1024 * 1024
_MS = 1000

Position = tuple[int, int]
Handler = Callable[['Connection', bytes, bytes], Awaitable[bytes]]


class Refusal(Exception):
    """A statement is refused with an error code."""


class Entry:
    """A commit in the log.

    :param position: Term and number.
    :param request_ids: Ids of the statements that wrote.
    """

    def __init__(self, position: Position, request_ids: list[str]) -> None:
        self.position = position
        self.request_ids = request_ids


class Group:
    """The databases of one service.

    :param service: Name of the service.
    :param record: Gets what the databases do.
    :param rng: Source of all random numbers.
    :param work: Mean time in s of a statement in a slot.
    :param lag: Mean time in s after which a replica applies a commit.
    :param promote_time: Time in s until a promotion order takes effect.
    """

    slots = 6
    queue = 48
    max_connections = 48
    #: Replicas that have a commit before it is acknowledged.
    sync_replicas = 0

    def __init__(
        self,
        service: str,
        record: Record,
        rng: random.Random,
        work: float,
        lag: float,
        promote_time: float,
    ) -> None:
        self.service = service
        self.record = record
        self.rng = rng
        self.work = work
        self.lag = lag
        self.promote_time = promote_time
        self.term = 3
        self.members: dict[str, Database] = {}
        self.leader: Database | None = None
        self.tasks: set[asyncio.Future[Any]] = set()
        #: Writes the entry of a database to the store.
        self.publish: Callable[[str, bytes | None], None] = _ignore

    async def add(self, server_id: str) -> 'Database':
        """Start a database; the first one is the primary.

        :param server_id: Its identity.
        :returns: The database.
        """
        database = Database(server_id, self)
        self.members[server_id] = database
        if self.leader is None:
            self.leader = database
        else:
            database.log = list(self.leader.log)
        await database.start()
        return database

    def order_promotion(self, server_id: str) -> bool:
        """Promote a database after a while.

        :param server_id: Its identity.
        :returns: Whether it runs.
        """
        database = self.members.get(server_id)
        if database is None or database.is_down:
            return False
        if database is not self.leader:
            self.spawn(self._promote_later(database))
        return True

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run something in the background.

        :param work: What to run.
        """
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _promote_later(self, database: 'Database') -> None:
        await asyncio.sleep(self.promote_time)
        old = self.leader
        if database is old or database.is_down or old is None:
            return
        self.term += 1
        self.leader = database
        kept = {entry.position for entry in database.log}
        self.record.add(
            'promoted',
            server=database.server_id,
            term=self.term,
            log=[entry.request_ids for entry in database.log],
        )
        for member in self.members.values():
            member.log = [one for one in member.log if one.position in kept]
            member.paused = False
            member.lose_lead(was_leader=member is old)
            member.announce()


class Database:
    """One database.

    :param server_id: Its identity.
    :param group: The databases of its service.
    """

    def __init__(self, server_id: str, group: Group) -> None:
        self.server_id = server_id
        self.group = group
        self.log: list[Entry] = []
        self.is_down = False
        self.state = 'ready'
        self.paused = False
        #: Whether it receives no commits, and by which factor it is slow.
        self.is_deaf = False
        self.slowness = 1.0
        self.address = ''
        self.connections: set[Connection] = set()
        self.busy = 0
        self.slots = asyncio.Semaphore(group.slots)
        self.received = asyncio.Event()
        self._born = int(time.time() * _MS)
        self._entries = itertools.count(1)
        self._server: asyncio.Server | None = None

    @property
    def leads(self) -> bool:
        """Tell whether it is the primary."""
        return self.group.leader is self

    @property
    def position(self) -> Position:
        """Return the position of its log."""
        return self.log[-1].position if self.log else (self.group.term, 0)

    async def start(self, port: int = 0) -> None:
        """Listen.

        :param port: Port to listen on; a free one if 0.
        """
        self.is_down = False
        self._server = await asyncio.start_server(
            self._accept, HOST, port, limit=_LIMIT
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{HOST}:{port}'
        self.announce()

    def crash(self) -> None:
        """Stop to listen, and reset all connections; the log is kept."""
        self.is_down = True
        self.group.record.add('crash', server=self.server_id)
        self.close()

    def close(self) -> None:
        """Stop to listen, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.reset()

    def announce(self) -> None:
        """Write the own entry to the store."""
        if self.is_down:
            return
        entry = {
            'service': self.group.service,
            'addr': self.address,
            'zone': 'za-central-a',
            'version': 'v1',
            'slots': self.group.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'db_role': 'primary' if self.leads else 'replica',
            'seq': next(self._entries),
            'born': self._born,
        }
        self.group.publish(self.server_id, json.dumps(entry).encode())

    def lose_lead(self, *, was_leader: bool) -> None:
        """Mark the open read-write transactions of a former primary.

        :param was_leader: Whether it was the primary until now.
        """
        for connection in self.connections:
            connection.lead_lost = was_leader and connection.is_open

    def receive(self, entries: list[Entry]) -> None:
        """Receive the commits that are missing.

        :param entries: The log of the primary.
        """
        if self.is_deaf or self.paused or self.is_down:
            return
        if len(entries) > len(self.log):
            self.log = list(entries)
            self.received.set()
            self.received = asyncio.Event()

    async def commit(self, request_ids: list[str]) -> None:
        """Append a commit, and wait until enough replicas have it.

        :param request_ids: Ids of the statements that wrote.
        """
        group = self.group
        position = (group.term, self.position[1] + 1)
        self.log.append(Entry(position, request_ids))
        for member in group.members.values():
            if member is not self:
                group.spawn(self._send(member))
        while group.sync_replicas and not self._is_received(position):
            await asyncio.sleep(0.001)
            if not self.leads:
                raise Refusal('READONLY')

    async def _send(self, member: 'Database') -> None:
        entries = self.log
        await asyncio.sleep(self.group.rng.expovariate(1 / self.group.lag))
        if self.leads and not self.is_down:
            member.receive(entries)

    def _is_received(self, position: Position) -> bool:
        having = sum(
            member.position >= position
            for member in self.group.members.values()
            if member is not self
        )
        return having >= self.group.sync_replicas

    async def work(self, begin: Callable[[], None] = lambda: None) -> None:
        """Occupy a slot for the time of a statement.

        :param begin: Called when the statement begins to run.
        :raises Refusal: If too many statements wait.
        """
        group = self.group
        if self.busy >= group.slots + group.queue:
            raise Refusal('BUSY')
        self.busy += 1
        try:
            async with self.slots:
                begin()
                mean = group.work * self.slowness
                await asyncio.sleep(group.rng.expovariate(1 / mean))
        finally:
            self.busy -= 1

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(self, writer)
        self.connections.add(connection)
        try:
            await connection.serve(reader)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return
        finally:
            self.connections.discard(connection)
            writer.close()


class Connection:
    """One connection to a database.

    :param database: The database.
    :param writer: Writes to the other end.
    """

    def __init__(
        self, database: Database, writer: asyncio.StreamWriter
    ) -> None:
        self.database = database
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, bytes] = {}
        self.is_open = False
        self.is_read_only = False
        self.has_failed = False
        self.lead_lost = False
        self.written: list[str] = []
        self._writer = writer

    def reset(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader) -> None:
        """Answer messages until the connection ends.

        :param reader: Reads from the other end.
        """
        async for line in reader:
            word, _, rest = line.rstrip(_END).partition(b' ')
            if word == b'OPEN':
                if not await self._open(rest.split(b' ')):
                    return
            elif word == b'QUERY':
                await self._query(rest)
            else:
                return

    async def _open(self, fields: list[bytes]) -> bool:
        database = self.database
        group = database.group
        code = ''
        if [each.decode() for each in fields[::2]] != [
            group.service,
            database.server_id,
        ]:
            code = 'MOVED'
        elif len(database.connections) > group.max_connections:
            code = 'TOOMANY'
        if code:
            self._writer.write(f'ERROR {code} -\r\n'.encode())
            return False
        self._writer.write(self._ready())
        return True

    async def _query(self, rest: bytes) -> None:
        request_id, _, text = rest.partition(b' ')
        try:
            body = await self._run(request_id, text)
        except Refusal as exc:
            code = str(exc)
            if self.is_open and code not in {'BUSY', 'NOSTMT'}:
                self.has_failed = True
            body = f'ERROR {code} {self.database.server_id}\r\n'.encode()
        if not self.database.is_down:
            self._writer.write(body + self._ready())

    async def _run(self, request_id: bytes, text: bytes) -> bytes:
        word, _, rest = text.partition(b' ')
        if word == b'SINCE':
            floor, _, text = rest.partition(b' ')
            self._check_floor(floor)
            word, _, rest = text.partition(b' ')
        self._check_state(word)
        if word == b'EXECUTE':
            name, _, rest = rest.partition(b' ')
            if name not in self.prepared:
                raise Refusal('NOSTMT')
            word = self.prepared[name]
        return await _HANDLERS[word](self, request_id, rest)

    def _check_floor(self, floor: bytes) -> None:
        term, _, number = floor.partition(b'.')
        if (int(term), int(number)) > self.database.position:
            raise Refusal('LAGGING')

    def _check_state(self, word: bytes) -> None:
        if self.has_failed and word not in {b'COMMIT', b'ROLLBACK'}:
            raise Refusal('MALFORMED')
        may_end = word == b'COMMIT' and not self.written
        if self.lead_lost and word != b'ROLLBACK' and not may_end:
            raise Refusal('READONLY')

    def _note(self, request_id: bytes, word: str) -> None:
        self.database.group.record.add(
            'run',
            server=self.database.server_id,
            id=request_id.decode(),
            word=word,
            tag=self.values.get(b'tag', b'').decode(),
        )

    def _ready(self) -> bytes:
        state = 'I'
        if self.is_open:
            state = 'E' if self.has_failed else 'T'
        term, number = self.database.position
        return f'READY {state} {term}.{number}\r\n'.encode()

    def _end(self) -> list[str]:
        written, self.written = self.written, []
        self.is_open = False
        self.is_read_only = False
        self.has_failed = False
        self.lead_lost = False
        return written

    # Handlers of the statements.

    async def begin(self, request_id: bytes, rest: bytes) -> bytes:
        """Begin a transaction."""
        self.is_read_only = rest == b'READ'
        if not self.is_read_only and not self.database.leads:
            raise Refusal('READONLY')
        self.is_open = True
        return _complete(self, request_id, b'')

    async def read(self, request_id: bytes, rest: bytes) -> bytes:
        """Read an item."""
        await self.database.work(lambda: self._note(request_id, 'READ'))
        return _complete(self, request_id, b'ROW ' + rest + _END)

    async def write(self, request_id: bytes, rest: bytes) -> bytes:
        """Write an item."""
        if self.is_read_only or not self.database.leads:
            raise Refusal('READONLY')
        await self.database.work()
        if not self.database.leads or self.lead_lost:
            raise Refusal('READONLY')
        self._note(request_id, 'WRITE')
        if self.is_open:
            self.written.append(request_id.decode())
        else:
            await self.database.commit([request_id.decode()])
        return _complete(self, request_id, b'')

    async def commit(self, request_id: bytes, rest: bytes) -> bytes:
        """Commit the transaction."""
        if self.has_failed:
            self._end()
            raise Refusal('ABORTED')
        await self.database.work()
        if self.lead_lost and self.written:
            raise Refusal('READONLY')
        self._note(request_id, 'COMMIT')
        written = self._end()
        if written:
            await self.database.commit(written)
        return _complete(self, request_id, b'')

    async def roll_back(self, request_id: bytes, rest: bytes) -> bytes:
        """Roll the transaction back."""
        self._end()
        return _complete(self, request_id, b'')

    async def set_value(self, request_id: bytes, rest: bytes) -> bytes:
        """Set a session value."""
        name, _, setting = rest.partition(b' ')
        self.values[name] = setting
        return _complete(self, request_id, b'')

    async def prepare(self, request_id: bytes, rest: bytes) -> bytes:
        """Prepare a statement."""
        name, kind, _shape = rest.split(b' ', 2)
        self.prepared[name] = kind
        return _complete(self, request_id, b'')

    async def reset_session(self, request_id: bytes, rest: bytes) -> bytes:
        """Forget values and prepared statements."""
        self.values.clear()
        self.prepared.clear()
        return _complete(self, request_id, b'')

    async def status(self, request_id: bytes, rest: bytes) -> bytes:
        """Tell role, term and position; this takes a slot."""
        database = self.database
        await database.work()
        return self._status_row(request_id)

    async def pause(self, request_id: bytes, rest: bytes) -> bytes:
        """Stop to receive, if the term is above the newest one."""
        if int(rest) > self.database.group.term:
            self.database.paused = True
        return self._status_row(request_id)

    async def resume(self, request_id: bytes, rest: bytes) -> bytes:
        """Receive again."""
        self.database.paused = False
        return self._status_row(request_id)

    def _status_row(self, request_id: bytes) -> bytes:
        database = self.database
        role = 'primary' if database.leads else 'replica'
        term, number = database.position
        row = (
            f'ROW {role} {database.group.term} {term}.{number} 0 0'
            f' {database.busy} {len(database.connections)}\r\n'
        )
        return _complete(self, request_id, row.encode())


def _complete(connection: Connection, request_id: bytes, rows: bytes) -> bytes:
    if request_id == b'-':
        return rows + b'COMPLETE -\r\n'
    server_id = connection.database.server_id.encode()
    signed = hashlib.sha256(b'|'.join((server_id, request_id, rows)))
    return rows + b'COMPLETE ' + signed.hexdigest()[:16].encode() + _END


def _ignore(_server_id: str, _content: bytes | None) -> None:
    """Ignore an entry; the default until a store is attached."""


_HANDLERS: dict[bytes, Handler] = {
    b'BEGIN': Connection.begin,
    b'READ': Connection.read,
    b'WRITE': Connection.write,
    b'COMMIT': Connection.commit,
    b'ROLLBACK': Connection.roll_back,
    b'SET': Connection.set_value,
    b'PREPARE': Connection.prepare,
    b'RESET': Connection.reset_session,
    b'STATUS': Connection.status,
    b'PAUSE': Connection.pause,
    b'RESUME': Connection.resume,
}
