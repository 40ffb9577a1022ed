"""The server side of a caller's connection: login, session and identity."""

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
    PacketError,
    PacketStream,
    StreamListener,
)

if TYPE_CHECKING:
    from monsoonproxy.frontends import Frontend

_CONTROL = Control()
#: Shared by all connections, so that none holds a dictionary of its own.
_EMPTY: dict[Any, Any] = {}
#: Error code of a statement that was not run.
_ERR_NOT_RUN = 4100
_NOT_READY = 'the daemon has no configuration yet'
#: After this time a caller may retry a login that the daemon refused because it
#: had no configuration.
_NOT_READY_RETRY_MS = 1_000


class CallerIdentity(BaseSession):
    """User and database of a caller, in the form that mysql-mimic expects."""

    username: str | None = None
    database: str | None = None


class Caller(Connection):
    """The protocol state of one caller connection; it runs no tasks.

    ``deprecates_eof`` and ``sends_attributes`` hold the client's capabilities
    ``CLIENT_DEPRECATE_EOF`` (results end without EOF packets) and
    ``CLIENT_QUERY_ATTRIBUTES`` (requests may carry query attributes).

    :param frontend: The frontend that accepted the connection.
    :param listener: Receives the events of the stream.
    """

    def __init__(self, frontend: 'Frontend', listener: StreamListener) -> None:
        super().__init__(
            stream=PacketStream(listener, frontend.limits.packet),
            session=CallerIdentity(),
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
        #: Bytes of prepared statements and of their long data.
        self.kept = 0
        # Copied from the capabilities, because testing enumeration flags for
        # each statement is slow.
        self.deprecates_eof = False
        self.sends_attributes = False
        # mysql-mimic's attributes are not used. The client's connection
        # attributes would take most of the memory of an idle connection.
        self.client_connect_attrs = _EMPTY
        self.prepared_stmts = _EMPTY

    @property
    def server_charset(self) -> CharacterSet:
        """The character set in which names and messages are sent.

        :returns: Always ``utf8mb4``.
        """
        return CharacterSet.utf8mb4

    @property
    def client_charset(self) -> CharacterSet:
        """The character set in which statements are received.

        :returns: Always ``utf8mb4``.
        """
        return CharacterSet.utf8mb4

    @property
    def status(self) -> int:
        """The status flags that are sent with each result.

        :returns: Transaction and autocommit flags of the session.
        """
        return packets.status_flags(
            self.state.in_transaction, self.state.autocommit
        )

    def fail(self, code: int, sqlstate: str, text: str) -> None:
        """Queue an ERR packet for the caller.

        :param code: The MySQL error code.
        :param sqlstate: The SQLSTATE.
        :param text: The message.
        """
        self.stream.put(packets.error(code, sqlstate, text))

    async def connection_phase(self) -> None:
        """Negotiate capabilities and TLS, and authenticate the caller.

        :raises PacketError: If the caller wants TLS and it is not configured.
        :raises ConnectionGoneError: If authentication failed.
        """
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
        self.deprecates_eof = Capabilities.CLIENT_DEPRECATE_EOF in offered
        self.sends_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in offered
        await self._log_in(login, auth_state, plugin)

    async def change_user(self, content: bytes) -> None:
        """Start a new session and authenticate it, for ``COM_CHANGE_USER``.

        :param content: The packet after the command byte.
        """
        login = handshakes.parse_change_user(self.capabilities, content)
        await self.renew(self._service_of(login))
        await self._log_in(login)

    async def renew(self, service: str) -> None:
        """Replace the session by a new one and close the old one.

        :param service: Service of the new session.
        """
        old = self.state
        self.state = old.renew(next(self.frontend.session_ids), service)
        self.prepared = {}
        self.kept = 0
        await self.frontend.executor.close(old)

    def may_use(self, service: str) -> bool:
        """Tell whether the caller may use a service.

        Callers get the same error for a forbidden service as for one that does
        not exist.

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
            connect_attrs=_EMPTY,
        )
        # mysql-mimic does not raise after a wrong password.
        if self.session.username is None:
            raise ConnectionGoneError('authentication of the caller failed')
        self.stream.reset_seq()

    def ok(self, **kwargs: Any) -> bytes:
        """Encode the reply to a successful authentication.

        :param kwargs: Not used; mysql-mimic passes them.
        :returns: An OK packet, or an ERR packet if the daemon has no
            configuration yet or the caller may not use the service.
        """
        service = self.state.service
        if not self.frontend.ready:
            self.session.username = None
            return packets.error(
                _ERR_NOT_RUN,
                'HY000',
                f'not run: {_NOT_READY}; '
                f'come back after {_NOT_READY_RETRY_MS} ms',
            )
        if self.may_use(service):
            return packets.ok(self.status)
        self.session.username = None
        return packets.unknown_service(service)
