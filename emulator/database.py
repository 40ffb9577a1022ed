"""A simulated backend server."""

import asyncio
import pathlib

import attrs
from aiohttp import web
from mysql_mimic.stream import MysqlStream

from emulator.audit import Audit
from emulator.control import address_of, join_address, serve
from emulator.errors import SqlError
from emulator.member import Member
from emulator.replication import Follower
from emulator.service import Service
from emulator.switches import Switches
from emulator.wire import ServerConnection


@attrs.frozen
class Options:
    """How a backend server starts.

    :param name: Name in its group.
    :param host: Address to listen on.
    :param port: Port; 0 lets the system choose.
    :param control_port: Port of the control server.
    :param slots: Number of statements that run at once.
    :param state: Directory in which its state survives a restart.
    :param audit: File of the audit log.
    :param primary: Whether it starts as the primary of term 1, if it has no
        state yet.
    :param source: ``host:port`` of the primary of term 1 to follow, if it
        has no state yet.
    :param switches: Initial faults and limits.
    """

    name: str
    host: str = '127.0.0.1'
    port: int = 0
    control_port: int = 0
    slots: int = 2
    state: pathlib.Path | None = None
    audit: pathlib.Path | None = None
    primary: bool = False
    source: str = ''
    switches: Switches = attrs.Factory(Switches)


class Database:
    """A backend server with its MySQL port and its control port.

    :param options: How it starts.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        if options.state is not None:
            options.state.mkdir(parents=True, exist_ok=True)
        self.member = Member(
            options.name,
            options.state,
            options.switches,
            Audit(options.name, options.audit),
        )
        self.service = Service(self.member, options.slots)
        self._follower = Follower(self.member)
        self._connections: dict[int, ServerConnection] = {}
        self._last_id = 0
        self._server: asyncio.Server | None = None
        self._control: web.AppRunner | None = None

    @property
    def name(self) -> str:
        """Return the name.

        :returns: Name in its group.
        """
        return self._options.name

    @property
    def address(self) -> str:
        """Return the address of the MySQL port.

        :returns: ``host:port``.
        :raises RuntimeError: If it has not been started.
        """
        if self._server is None:
            raise RuntimeError('not started')
        return join_address(self._server.sockets[0].getsockname())

    @property
    def control_address(self) -> str:
        """Return the address of the control port.

        :returns: ``host:port``.
        """
        return address_of(self._control)

    async def start(self) -> None:
        """Start to listen, and take up the role it had or is given."""
        options = self._options
        self._server = await asyncio.start_server(
            self._accept, options.host, options.port, backlog=1024
        )
        app = web.Application()
        app.router.add_get('/status', self._show)
        app.router.add_post('/switches', self._switch)
        self._control = await serve(app, options.host, options.control_port)
        promise = self.member.promise
        self.member.resume()
        if promise.term == 0 and options.primary:
            self.member.set_term(1, 'initial')
            self.member.promote(1, 'initial')
        elif promise.term == 0 and options.source:
            self.member.set_term(1, 'initial')
            self.member.follow(1, options.source)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections.values()):
            connection.kill()
            await connection.ended.wait()
        if self._control is not None:
            await self._control.cleanup()
        await self.member.close()

    async def kill(self, connection_id: int) -> None:
        """End a connection and wait until it has ended.

        :param connection_id: Its id.
        :raises SqlError: If there is no such connection.
        """
        connection = self._connections.get(connection_id)
        if connection is None:
            raise SqlError(1094, 'HY000', f'Unknown thread id: {connection_id}')
        connection.kill()
        await connection.ended.wait()

    def switch(self, changes: dict[str, object]) -> None:
        """Change some faults or limits.

        :param changes: New values by the names of ``Switches``.
        """
        self.member.gate.update(changes)
        self.member.changed.notify()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._last_id += 1
        connection_id = self._last_id
        peer = writer.get_extra_info('peername')
        connection = ServerConnection(
            MysqlStream(reader, writer),
            self.service,
            connection_id,
            peer[0] if peer else '',
            self.kill,
        )
        self._connections[connection_id] = connection
        try:
            await connection.run()
        except (Exception, asyncio.CancelledError):
            # The other end went away or sent something else than MySQL.
            writer.transport.abort()
        finally:
            self._connections.pop(connection_id, None)
            writer.close()

    async def _show(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'status': self.member.status(),
                'counters': attrs.asdict(self.service.counters),
                'switches': attrs.asdict(self.member.gate.switches),
            }
        )

    async def _switch(self, request: web.Request) -> web.Response:
        try:
            self.switch(await request.json())
        except (TypeError, ValueError) as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        return await self._show(request)
