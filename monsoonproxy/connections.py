"""One caller's connection."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from loguru import logger
from mysql_mimic import packets as mimic
from mysql_mimic.auth import AuthPlugin, AuthState
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.control import Control
from mysql_mimic.errors import MysqlError
from mysql_mimic.session import BaseSession
from mysql_mimic.types import Capabilities, ServerStatus

from monsoonproxy import (
    bindings,
    commands,
    handshakes,
    packets,
    sessions,
    variables,
)
from monsoonproxy.exceptions import (
    MarksError,
    MonsoonError,
    StatementError,
    TokenError,
)
from monsoonproxy.streams import (
    ConnectionGoneError,
    PacketError,
    PacketStream,
)

if TYPE_CHECKING:
    from monsoonproxy.frontends import Frontend

_CONTROL = Control()
_NOTHING: dict[Any, Any] = {}
_SERVER_LEAVING = 'the proxy is shutting down'
_LEAVING = packets.error(
    4100, 'HY000', f'not run: {_SERVER_LEAVING}; come back after 0 ms'
)
_CODES: tuple[tuple[type[MonsoonError], int, str], ...] = (
    (MarksError, 4102, 'HY000'),
    (TokenError, 4103, 'HY000'),
    (StatementError, 1235, '42000'),
)


class Identity(BaseSession):
    """Who a caller is, as ``mysql_mimic`` stores it."""

    username: str | None = None
    database: str | None = None


class CallerConnection(Connection):
    """The server side of one connection.

    It has a task only while it has a command in work.

    :param frontend: The frontend that accepted the connection.
    """

    def __init__(self, frontend: 'Frontend') -> None:
        super().__init__(
            stream=PacketStream(self, frontend.limits.packet),
            session=Identity(),
            control=_CONTROL,
            identity_provider=frontend.identities,
            server_capabilities=packets.CAPABILITIES,
            ssl=frontend.ssl,
        )
        self.frontend = frontend
        self.state = sessions.Session(next(frontend.numbers), '')
        self.connection_id = self.state.number & 0xFFFFFFFF
        self.prepared: dict[int, bindings.Prepared] = {}
        self.last_prepared = 0
        self._leaving = False
        # Not used: the handshake's attributes would take most of the memory
        # of an idle connection.
        self.client_connect_attrs = _NOTHING
        self.prepared_stmts = _NOTHING

    @property
    def server_charset(self) -> CharacterSet:
        """The character set of names and messages.

        :returns: Always ``utf8mb4``.
        """
        return CharacterSet.utf8mb4

    @property
    def client_charset(self) -> CharacterSet:
        """The character set of statements.

        :returns: Always ``utf8mb4``.
        """
        return CharacterSet.utf8mb4

    @property
    def short_ends(self) -> bool:
        """Whether results end without EOF packets.

        :returns: What the caller asked for in the handshake.
        """
        return Capabilities.CLIENT_DEPRECATE_EOF in self.capabilities

    @property
    def status(self) -> int:
        """The status flags of the session.

        :returns: The flags.
        """
        return packets.status_flags(
            self.state.in_transaction, self.state.autocommit
        )

    # Events of the stream.

    def opened(self) -> None:
        """Start the handshake."""
        frontend = self.frontend
        if len(frontend.connections) >= frontend.limits.connections:
            self.stream.put(
                packets.error(1040, '08004', 'Too many connections')
            )
            self.stream.close()
            return
        frontend.connections.add(self)
        self._start_task(self._open())

    def arrived(self) -> None:
        """Serve commands, unless a task does already."""
        if self._task is None:
            self._start_task(self._serve())

    def lost(self) -> None:
        """End the session; the caller has gone."""
        if self in self.frontend.connections:
            self.frontend.spawn(self._finish())

    # Shutdown.

    def leave(self) -> None:
        """Close the connection as soon as no request or transaction is open."""
        self._leaving = True
        if self._task is None and not self.state.in_transaction:
            self._start_task(self._say_goodbye())

    def abort(self) -> None:
        """Close the connection at once, whether or not the caller reads."""
        self.stream.closing = True
        self.stream.transport.abort()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._task = asyncio.get_running_loop().create_task(self._guard(work))

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except ConnectionGoneError:
            self.stream.close()
        except PacketError as exc:
            self.fail(exc.code, '08S01', str(exc))
            self.stream.close()
        except Exception:
            logger.exception('entry: a connection failed')
            self.stream.close()
        finally:
            self._task = None  # type: ignore[assignment]
        self._go_on()

    def _go_on(self) -> None:
        # Data or a request to leave may have come after the last look.
        if self.stream.closed or self.stream.closing:
            return
        if self.stream.has_input:
            self.arrived()
        elif self._leaving:
            self.leave()

    async def _finish(self) -> None:
        task = self._task
        if task is not None:
            task.cancel()
            await asyncio.wait((task,))
        await self.frontend.executor.close(self.state)
        self.frontend.connections.discard(self)

    # The handshake.

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(self.frontend.limits.handshake / 1000):
                await self.connection_phase()
        except TimeoutError:
            self.fail(1159, '08S01', 'the handshake took too long')
            self.stream.close()

    async def connection_phase(self) -> None:
        """Negotiate the connection and authenticate the caller."""
        plugin = self.identity_provider.get_default_plugin()
        nonce, auth_state = await plugin.start()
        self.handshake_auth_data = nonce
        self.handshake_auth_plugin = plugin.name
        await self.stream.write(
            mimic.make_handshake_v10(
                capabilities=self.server_capabilities,
                server_charset=self.server_charset,
                server_version=variables.VERSION,
                connection_id=self.connection_id,
                auth_data=nonce,
                status_flags=ServerStatus(self.status),
                auth_plugin_name=plugin.name,
            )
        )
        content = await self.stream.read()
        if handshakes.wants_tls(content):
            if self.ssl is None:
                raise PacketError(1043, 'TLS is not offered')
            await self.stream.start_tls(self.ssl)
            content = await self.stream.read()
        login = handshakes.read_login(self.server_capabilities, content)
        self.capabilities = login.capabilities
        await self._log_in(login, auth_state, plugin)

    async def change_user(self, content: bytes) -> None:
        """Authenticate as another user and start a new session.

        :param content: The packet after the command byte.
        """
        login = handshakes.read_change(self.capabilities, content)
        await self.renew(login.service)
        await self._log_in(login)

    async def renew(self, service: str) -> None:
        """End the session and start another one.

        :param service: Service of the new session.
        """
        old = self.state
        self.state = old.renew(next(self.frontend.numbers), service)
        self.prepared = {}
        await self.frontend.executor.close(old)

    async def _log_in(
        self,
        login: handshakes.Login,
        auth_state: AuthState | None = None,
        plugin: AuthPlugin | None = None,
    ) -> None:
        self.state.service = login.service
        self.session.username = None
        await self.authenticate(
            auth_state=auth_state,
            server_plugin=plugin,
            username=login.username,
            client_plugin_name=login.plugin,
            auth_response=login.response,
            connect_attrs=_NOTHING,
        )
        # mysql-mimic goes on after a wrong password.
        if self.session.username is None:
            raise ConnectionGoneError('the caller was not accepted')
        self.stream.reset_seq()

    def ok(self, **kwargs: Any) -> bytes:
        """Encode the answer to a successful authentication.

        :param kwargs: Not used.
        :returns: An OK packet, or an ERR packet if there is no such service.
        """
        service = self.state.service
        if self.frontend.executor.known(service):
            return packets.ok(self.status)
        self.session.username = None
        return packets.error(
            1049, '42000', f'Unknown database {service[:64]!r}'
        )

    # Commands.

    async def _serve(self) -> None:
        while self.stream.has_input:
            packet = await self.stream.read()
            await self._command(packet)
            self.stream.reset_seq()
            if self._leaving and not self.state.in_transaction:
                await self._say_goodbye()

    async def _command(self, packet: bytes) -> None:
        try:
            await commands.run(self, packet)
        except (PacketError, ConnectionGoneError):
            raise
        except MonsoonError as exc:
            self._refuse(exc)
        except MysqlError as exc:
            self.fail(exc.code, '42000', exc.msg)
        except Exception:
            logger.exception('entry: a command failed')
            self.fail(1105, 'HY000', 'internal error of the proxy')
        await self.stream.drain()

    def _refuse(self, exc: MonsoonError) -> None:
        for kind, code, sqlstate in _CODES:
            if isinstance(exc, kind):
                self.fail(code, sqlstate, str(exc))
                return
        self.fail(1105, 'HY000', str(exc))

    def fail(self, code: int, sqlstate: str, text: str) -> None:
        """Answer with an error.

        :param code: The error code.
        :param sqlstate: The SQLSTATE.
        :param text: The message.
        """
        self.stream.put(packets.error(code, sqlstate, text))

    async def _say_goodbye(self) -> None:
        # The caller may be sending a request right now. It reads this packet
        # as its answer, so it learns that the request was not run.
        self.stream.put_answer(_LEAVING)
        self.stream.finish_writing()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.frontend.limits.linger / 1000):
                await self.stream.discard()
        raise ConnectionGoneError('the proxy is shutting down')
