"""Listener that accepts callers speaking the MySQL protocol."""

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
from monsoonproxy.overload.caller_guards import CallerGuard, GuardRules

#: Time in s between two looks for callers that stop half-way.
_GUARD_INTERVAL = 1.0


class Executor(Protocol):
    """Runs the statements of callers."""

    def is_declared(self, service: str) -> bool:
        """Tell whether the configuration declares a service.

        Before the first configuration has been loaded this returns ``True``;
        statements are refused instead.

        :param service: Name of the service.
        :returns: Whether callers may use the service.
        """

    def execute(
        self, session: sessions.Session, statement: statements.Statement
    ) -> AsyncIterator[messages.Reply]:
        """Run a statement.

        The iterator yields :class:`~messages.ResultHeader` and
        :class:`~messages.ResultRows` if there are rows, and then exactly one
        of :class:`~messages.ResultEnd`, :class:`~messages.Failure`,
        :class:`~messages.Refusal` and :class:`~messages.Unknown`. For
        backpressure, it is advanced only as fast as the caller reads. It
        must not change the session.

        :param session: The caller's session.
        :param statement: The statement; its marks include the session's
            defaults, and its floor includes the session token.
        :returns: The messages of the answer.
        """

    def cancel(self, session: sessions.Session) -> None:
        """Cancel the running statement of a session.

        Called when the caller has disconnected. The iterator returned by
        :meth:`execute` is closed as well.

        :param session: The caller's session.
        """

    async def close(self, session: sessions.Session) -> None:
        """End a session and roll back its open transaction.

        Called once per session, after its last statement.

        :param session: The caller's session.
        """


@attrs.frozen
class Limits:
    """Limits on callers' connections and packets.

    :param packet: Maximum size of a packet in bytes.
    :param connections: Maximum number of open caller connections.
    :param handshake: Time limit for a handshake in ms.
    :param linger: Time in ms for which input is still read and discarded
        while a connection is closed, so that the caller receives the error
        packet with the reason.
    :param guard: What callers may cost together.
    """

    packet: int = 64 * 1024 * 1024
    connections: int = 20_000
    handshake: int = 10_000
    linger: int = 1000
    guard: GuardRules = attrs.Factory(GuardRules)


class Frontend:
    """Accepts connections of callers.

    :param executor: Runs the statements of callers.
    :param signer: Signs and verifies session tokens.
    :param users: Passwords by user name: plain, or ``*`` and 40 hex digits
        as MySQL stores them. If empty, any user and password is accepted.
    :param limits: Limits on connections and packets.
    :param clock: Source of the wall-clock time for session tokens.
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
        #: Whether the users are known; no log-in succeeds before that.
        self.ready = True
        #: Services allowed per user, the default first; all if empty.
        self.grants: Mapping[str, tuple[str, ...]] = {}
        self.limits = limits or Limits()
        self.clock = clock or Clock()
        self.classifier = statements.Classifier()
        self.ssl: tls.SSLContext | None = None
        self.draining = False
        self.session_ids = itertools.count(1)
        self.connections: set[CallerConnection] = set()
        self.guard = CallerGuard(self.limits.guard)
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()
        self._tasks = Background()

    async def start(
        self, host: str, port: int, ssl: tls.SSLContext | None = None
    ) -> int:
        """Start listening for callers.

        :param host: Address to listen on.
        :param port: Port, or 0 for any free port.
        :param ssl: TLS context; TLS is offered if it is given.
        :returns: The port that is listened on.
        """
        self.ssl = ssl
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=1024
        )
        self._close_stalled()
        address = self._server.sockets[0].getsockname()
        return int(address[1])

    def change_users(
        self, users: Mapping[str, str], grants: Mapping[str, tuple[str, ...]]
    ) -> None:
        """Replace the users and close connections of revoked users.

        A user is revoked when removed or given a new password. Connections
        are closed between requests and outside transactions.

        :param users: Passwords by user name; if empty, any user and password
            is accepted.
        :param grants: Allowed services by user name, the default first.
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
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    async def drain(self) -> None:
        """Close each connection between requests and outside transactions.

        Returns when no connection is left. This method has no time limit:
        the calling code must call :meth:`end_transactions` and :meth:`abort`
        when its own time limits have passed.
        """
        self.draining = True
        for connection in tuple(self.connections):
            connection.close_when_idle()
        while self.connections:
            self._changed.clear()
            await self._changed.wait()

    def end_transactions(self) -> None:
        """Close draining connections even inside a transaction.

        Callers receive an error that the transaction was rolled back.
        """
        for connection in tuple(self.connections):
            connection.close_when_idle(in_transaction=True)

    def abort(self) -> None:
        """Close all connections immediately, without waiting for requests."""
        for connection in tuple(self.connections):
            connection.abort()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that may outlive its connection.

        Its completion wakes :meth:`drain`, which checks for open connections.

        :param work: The coroutine to run in the background.
        """
        self._tasks.spawn(work).add_done_callback(self._task_done)

    def _close_stalled(self) -> None:
        """Close the callers that stop half-way, now and in intervals."""
        self.guard.close_stalled(self.connections, self.clock.now())
        if self.connections or (self._server and self._server.is_serving()):
            loop = asyncio.get_running_loop()
            loop.call_later(_GUARD_INTERVAL, self._close_stalled)

    def _task_done(self, _task: asyncio.Task[None]) -> None:
        self._changed.set()

    def _accept(self) -> asyncio.BaseProtocol:
        return CallerConnection(self).stream


def _is_revoked(
    name: str, old: Mapping[str, str], new: Mapping[str, str]
) -> bool:
    if not new:
        return False
    return name not in new or old.get(name) != new[name]
