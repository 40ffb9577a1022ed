"""A caller: its session, its identity and its handshake."""

from typing import TYPE_CHECKING, Any

from mysql_mimic import packets as mimic
from mysql_mimic.auth import AuthPlugin, AuthState
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.control import Control
from mysql_mimic.session import BaseSession
from mysql_mimic.types import Capabilities, ServerStatus

from monsoonproxy import bindings, handshakes, packets, sessions, variables
from monsoonproxy.streams import (
    ConnectionGoneError,
    StreamListener,
    PacketError,
    PacketStream,
)

if TYPE_CHECKING:
    from monsoonproxy.frontends import Frontend

_CONTROL = Control()
_NOTHING: dict[Any, Any] = {}


_NOT_RUN = 4100
_NOT_READY = 'the daemon has no configuration yet'
_READY_WAIT = 1_000


class Identity(BaseSession):
    """Who a caller is, as ``mysql_mimic`` stores it."""

    username: str | None = None
    database: str | None = None


class Caller(Connection):
    """The server side of one connection, without its tasks.

    Its attribute ``short_ends`` tells whether results end without EOF
    packets, and ``sends_attributes`` whether requests may carry query
    attributes.

    :param frontend: The frontend that accepted the connection.
    :param listener: Is told what happens on the stream.
    """

    def __init__(self, frontend: 'Frontend', listener: StreamListener) -> None:
        super().__init__(
            stream=PacketStream(listener, frontend.limits.packet),
            session=Identity(),
            control=_CONTROL,
            identity_provider=frontend.identities,
            server_capabilities=packets.CAPABILITIES,
            ssl=frontend.ssl,
        )
        self.frontend = frontend
        self.state = sessions.Session(next(frontend.session_ids), '')
        self.connection_id = self.state.number & 0xFFFFFFFF
        self.prepared: dict[int, bindings.Prepared] = {}
        self.last_prepared = 0
        # Copies of capabilities: looking at the enumeration takes time.
        self.short_ends = False
        self.sends_attributes = False
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
    def status(self) -> int:
        """The status flags of the session.

        :returns: The flags.
        """
        return packets.status_flags(
            self.state.in_transaction, self.state.autocommit
        )

    def fail(self, code: int, sqlstate: str, text: str) -> None:
        """Answer with an error.

        :param code: The error code.
        :param sqlstate: The SQLSTATE.
        :param text: The message.
        """
        self.stream.put(packets.error(code, sqlstate, text))

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
        if handshakes.is_tls_request(content):
            if self.ssl is None:
                raise PacketError(1043, 'TLS is not offered')
            await self.stream.start_tls(self.ssl)
            content = await self.stream.read()
        login = handshakes.parse_login(self.server_capabilities, content)
        offered = login.capabilities
        self.capabilities = offered
        self.short_ends = Capabilities.CLIENT_DEPRECATE_EOF in offered
        self.sends_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in offered
        await self._log_in(login, auth_state, plugin)

    async def change_user(self, content: bytes) -> None:
        """Authenticate as another user and start a new session.

        :param content: The packet after the command byte.
        """
        login = handshakes.parse_change_user(self.capabilities, content)
        await self.renew(self._service_of(login))
        await self._log_in(login)

    async def renew(self, service: str) -> None:
        """End the session and start another one.

        :param service: Service of the new session.
        """
        old = self.state
        self.state = old.renew(next(self.frontend.session_ids), service)
        self.prepared = {}
        await self.frontend.executor.close(old)

    def may_use(self, service: str) -> bool:
        """Tell whether the caller may use a service.

        A service that the user may not use is treated like one that does not
        exist.

        :param service: Name of the service.
        :returns: Whether it exists and the user may use it.
        """
        granted = self.frontend.grants.get(self.session.username or '')
        if granted and service not in granted:
            return False
        return self.frontend.executor.is_declared(service)

    def _service_of(self, login: handshakes.Login) -> str:
        granted = self.frontend.grants.get(login.username)
        if granted and not login.database:
            return granted[0]
        return login.service

    async def _log_in(
        self,
        login: handshakes.Login,
        auth_state: AuthState | None = None,
        plugin: AuthPlugin | None = None,
    ) -> None:
        self.state.service = self._service_of(login)
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
        if not self.frontend.ready:
            self.session.username = None
            return packets.error(
                _NOT_RUN,
                'HY000',
                f'not run: {_NOT_READY}; come back after {_READY_WAIT} ms',
            )
        if self.may_use(service):
            return packets.ok(self.status)
        self.session.username = None
        return packets.unknown_service(service)
