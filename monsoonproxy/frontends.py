"""MySQL protocol towards the callers."""

import asyncio
import itertools
import ssl as tls
from collections.abc import AsyncIterator, Coroutine, Mapping
from typing import Any, Protocol

import attrs

from monsoonproxy import messages, session_tokens, sessions, statements
from monsoonproxy.background import Background
from monsoonproxy.caller_connections import CallerConnection
from monsoonproxy.clock import Clock
from monsoonproxy.identities import Identities


class Executor(Protocol):
    """Runs the statements of callers; the entry side implements it."""

    def is_declared(self, service: str) -> bool:
        """Tell whether a service exists.

        A daemon that has no configuration yet answers ``True``; it refuses
        the statements instead.

        :param service: Name of the service.
        :returns: Whether callers may use it.
        """

    def execute(
        self, session: sessions.Session, statement: statements.Statement
    ) -> AsyncIterator[messages.Reply]:
        """Run a statement.

        The iterator yields :class:`~messages.ResultHeader` and
        :class:`~messages.ResultRows` if there are rows, and then exactly one
        of :class:`~messages.ResultEnd`, :class:`~messages.Failure`,
        :class:`~messages.Refusal` and :class:`~messages.Unknown`. It is
        advanced only as fast as the caller reads. It must not change the
        session.

        :param session: The caller's session.
        :param statement: The statement; its marks include the session's
            defaults, and the floor includes the token.
        :returns: The messages of the answer.
        """

    def cancel(self, session: sessions.Session) -> None:
        """Give up the session's running statement; its caller has gone.

        The iterator that :meth:`execute` returned is closed as well.

        :param session: The caller's session.
        """

    async def close(self, session: sessions.Session) -> None:
        """End a session and roll back its transaction.

        Called once for each session, after its last statement.

        :param session: The caller's session.
        """


@attrs.frozen
class Limits:
    """Limits of a frontend.

    :param packet: Greatest size of a packet in bytes.
    :param connections: Greatest number of callers' connections.
    :param handshake: Time in ms that a handshake may take.
    :param linger: Time in ms for which a connection that is being closed
        reads on, so that the caller gets the reason.
    """

    packet: int = 64 * 1024 * 1024
    connections: int = 20_000
    handshake: int = 10_000
    linger: int = 1000


class Frontend:
    """Accepts callers.

    :param executor: Runs their statements.
    :param signer: Signs and checks session tokens.
    :param users: Passwords by user name: plain, or ``*`` and 40 hex digits
        as MySQL stores them. Everyone is accepted if it is empty.
    :param limits: Limits.
    :param clock: Gives the wall-clock time for tokens.
    """

    def __init__(
        self,
        executor: Executor,
        signer: session_tokens.Signer,
        users: Mapping[str, str] | None = None,
        limits: Limits | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.executor = executor
        self.signer = signer
        self._users = dict(users or {})
        self.identities = Identities(self._users)
        #: Whether users are known; until then nobody may log in.
        self.ready = True
        #: Services that a user may use, the default first; all if empty.
        self.grants: Mapping[str, tuple[str, ...]] = {}
        self.limits = limits or Limits()
        self.clock = clock or Clock()
        self.classifier = statements.Classifier()
        self.ssl: tls.SSLContext | None = None
        self.draining = False
        self.numbers = itertools.count(1)
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        self._tasks = Background()

    async def start(
        self, host: str, port: int, ssl: tls.SSLContext | None = None
    ) -> int:
        """Accept callers.

        :param host: Address to listen on.
        :param port: Port, or 0 for any free one.
        :param ssl: Offers TLS if given.
        :returns: The port.
        """
        self.ssl = ssl
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=1024
        )
        address = self._server.sockets[0].getsockname()
        return int(address[1])

    def change_users(
        self, users: Mapping[str, str], grants: Mapping[str, tuple[str, ...]]
    ) -> None:
        """Replace the users, and end the connections of those affected.

        They end between requests and outside transactions.

        :param users: Passwords by user name; everyone is accepted if empty.
        :param grants: Services by user name, the default first.
        """
        old, self._users = self._users, dict(users)
        self.identities = Identities(users)
        self.grants = grants
        self.ready = True
        for connection in tuple(self.connections):
            name = connection.session.username
            if name is not None and _is_revoked(name, old, self._users):
                connection.close_when_idle()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()

    async def drain(self) -> None:
        """Close each connection between requests and outside transactions.

        Returns when no connection is left. The caller of this method sets
        the time limits and calls :meth:`end_transactions` and :meth:`abort`
        after them.
        """
        self.draining = True
        for connection in tuple(self.connections):
            connection.close_when_idle()
        while self.connections:
            self._changed.clear()
            await self._changed.wait()

    def end_transactions(self) -> None:
        """Close connections that are being drained in transactions too.

        Their callers are told that the transaction was rolled back.
        """
        for connection in tuple(self.connections):
            connection.close_when_idle(in_transaction=True)

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in tuple(self.connections):
            connection.abort()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that outlives a connection.

        :param work: The coroutine.
        """
        self._tasks.spawn(work).add_done_callback(self._notice)

    def _notice(self, _task: asyncio.Task[None]) -> None:
        self._changed.set()

    def _accept(self) -> asyncio.BaseProtocol:
        return CallerConnection(self).stream


def _is_revoked(
    name: str, old: Mapping[str, str], new: Mapping[str, str]
) -> bool:
    if not new:
        return False
    return name not in new or old.get(name) != new[name]
