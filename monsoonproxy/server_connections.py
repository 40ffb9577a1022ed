"""Direct connections of this daemon to backend servers."""

import asyncio
import socket
import struct
from typing import Any

from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError, DialectError
from monsoonproxy.queries import INTERNAL_ID, Answer, Prepared
from monsoonproxy.servers import Server

#: Time limit in ms for opening a connection and a session on it. A database
#: takes 12 to 27 ms; TCP sends a lost SYN packet again after 1 s.
OPEN_TIMEOUT = Millis(1_500)
#: Seconds without traffic before the first TCP keep-alive probe, and between
#: probes. A network path that drops all packets is detected within 3 s.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
#: Time for which sent bytes may stay unacknowledged before the kernel closes
#: the connection.
_USER_TIMEOUT_MS = 2_000
#: Value of SO_LINGER that makes each close reset the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
#: Limit of prepared statements on a connection. It is reset before another one
#: would be prepared.
_MAX_PREPARED = 64


class SessionState:
    """Session values and prepared statements that are set on a connection.

    They stem from the session that used the connection last.

    :param dialect: The protocol spoken with the backend server.
    """

    def __init__(self, dialect: Dialect) -> None:
        #: Session values that are set, and names of prepared statements.
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        #: Number of statements that :meth:`session_setup` returned last.
        self.setup_count = 0
        self._dialect = dialect

    def session_setup(
        self, values: dict[bytes, bytes], prepared: Prepared | None
    ) -> bytes:
        """Return the statements that apply a session's state to the connection.

        They are taken as sent and successful.

        :param values: Values of the session.
        :param prepared: The prepared statement that will be executed, if any.
        :returns: Encoded statements; :attr:`setup_count` is their number.
        """
        texts: list[bytes] = []
        if self._needs_reset(values, prepared):
            texts.append(self._dialect.reset())
            self.values = {}
            self.prepared = set()
        for key, setting in values.items():
            if self.values.get(key) != setting:
                texts.append(self._dialect.set_value(key, setting))
        self.values = dict(values)
        if prepared is not None and prepared.name not in self.prepared:
            texts.append(self._prepare(prepared))
        self.setup_count = len(texts)
        return b''.join(
            self._dialect.query(INTERNAL_ID, text) for text in texts
        )

    def _needs_reset(
        self, values: dict[bytes, bytes], prepared: Prepared | None
    ) -> bool:
        if any(key not in values for key in self.values):
            return True
        is_new = prepared is not None and prepared.name not in self.prepared
        return is_new and len(self.prepared) >= _MAX_PREPARED

    def _prepare(self, prepared: Prepared) -> bytes:
        self.prepared.add(prepared.name)
        return self._dialect.prepare(
            prepared.name, prepared.shape, read_only=prepared.read_only
        )


class DirectConnection(SessionState, asyncio.Protocol):
    """A connection of this daemon to a backend server.

    It has at most one exchange in progress, so that after a lost answer the
    next one can't be taken for it.

    :param dialect: The protocol spoken with the backend server.
    :param server: The backend server to connect to.
    :param clock: Source of time.
    :param organisation: The organisation that it is opened for; empty for none.
    """

    def __init__(
        self,
        dialect: Dialect,
        server: Server,
        clock: Clock,
        organisation: str = '',
    ) -> None:
        super().__init__(dialect)
        self.server = server
        self.organisation = organisation
        self.closed = False
        #: Arrival of the latest answer, and start of the latest exchange.
        self.answered_at = Millis(0)
        self.sent_at = Millis(0)
        self._clock = clock
        self._reader = dialect.answer_reader()
        self._transport: Any = None
        self._expected_answers = 0
        self._answers: list[Answer] = []
        self._waiter: asyncio.Future[list[Answer]] | None = None

    @property
    def busy(self) -> bool:
        """Tell whether an exchange is in progress.

        :returns: Whether an answer is outstanding.
        """
        return self._waiter is not None

    @property
    def connected(self) -> bool:
        """Tell whether the backend server's host accepted the connection."""
        return self._transport is not None

    def opening_message(self) -> bytes:
        """Return the message that opens a session."""
        server = self.server
        return self._dialect.open(
            server.service, server.server_id, self.organisation
        )

    def exchange(
        self, payload: bytes, count: int = 1, _limit: float = 0
    ) -> 'asyncio.Future[list[Answer]]':
        """Send statements; the future gets all their answers.

        :param payload: The encoded statements.
        :param count: Number of statements in the payload.
        :returns: A future of the answers, which fails with
            :class:`ConnectionLostError` if the connection is lost.
        """
        waiter = asyncio.get_running_loop().create_future()
        if self.closed or self.busy:
            text = (
                'the connection is closed'
                if self.closed
                else 'the connection has another exchange in progress'
            )
            waiter.set_exception(ConnectionLostError(text))
            return waiter
        self._waiter = waiter
        self._expected_answers = count
        self.sent_at = self._clock.now()
        self._transport.write(payload)
        return waiter

    def withdraw(self) -> None:
        """Cancel the exchange, which takes resetting the connection."""
        self.abort()

    def abort(self) -> None:
        """Reset the connection; the backend server rolls back.

        Statements that have not arrived there yet are lost.
        """
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once the written bytes are sent."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Set the socket options that detect a dead network path.

        :param transport: The transport.
        """
        self._transport = transport
        sock = transport.get_extra_info('socket')
        configure_keepalive(sock)
        # Without a reset, the kernel still delivers a statement that a
        # partition held back, also after this process has ended.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def data_received(self, data: bytes) -> None:
        """Collect the answers of the exchange that is in progress.

        :param data: Bytes that the backend server sent.
        """
        try:
            answers = self._reader.feed(data)
        except DialectError as exc:
            self._fail(str(exc))
            self.abort()
            return
        if not answers:
            return
        self.answered_at = self._clock.now()
        self._answers.extend(answers)
        if self._waiter is None or len(self._answers) > self._expected_answers:
            self._fail(
                'the backend server sent more answers than it got statements'
            )
            self.abort()
        elif len(self._answers) == self._expected_answers:
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange that is in progress, with an error if need be.

        :param exc: Why the connection was lost; ``None`` if it was closed.
        """
        self.closed = True
        refusal = self._reader.unterminated_error()
        if refusal is not None and self._waiter is not None:
            self._answers.append(refusal)
            self._finish()
            return
        self._fail(f'{self.server.address}: {exc or "closed"}')

    def _finish(self) -> None:
        waiter, self._waiter = self._waiter, None
        answers, self._answers = self._answers, []
        if waiter is not None and not waiter.done():
            waiter.set_result(answers)

    def _fail(self, text: str) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionLostError(text, sent=True))


async def open_connection(
    dialect: Dialect, server: Server, clock: Clock, organisation: str = ''
) -> tuple[DirectConnection, Answer]:
    """Open a connection to a backend server and a session on it.

    :param dialect: The protocol spoken with the backend server.
    :param server: The backend server.
    :param clock: Source of time.
    :param organisation: The organisation that it is opened for; empty for none.
    :returns: The connection and the answer to the opening message. The
        connection is closed if the answer is an error.
    :raises ConnectionLostError: If the backend server can't be reached in time.
    """
    conn = DirectConnection(dialect, server, clock, organisation)
    answer = await open_session(conn)
    if answer.code is not None:
        conn.abort()
    return conn, answer


async def open_session(conn: DirectConnection) -> Answer:
    """Connect to a backend server and open a session.

    :param conn: A connection that is not open yet.
    :returns: The answer to the opening message.
    :raises ConnectionLostError: If the backend server can't be reached in time.
    """
    server = conn.server
    host, port = server.address.rsplit(':', 1)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds(OPEN_TIMEOUT)):
            await loop.create_connection(lambda: conn, host, int(port))
            answers = await conn.exchange(conn.opening_message())
    except TimeoutError:
        conn.abort()
        raise ConnectionLostError(
            f'{server.address}: no session within {OPEN_TIMEOUT} ms'
        ) from None
    except (OSError, ValueError) as exc:
        conn.abort()
        refused = isinstance(
            exc, (ConnectionRefusedError, ConnectionResetError)
        )
        raise ConnectionLostError(
            f'{server.address}: {exc}', refused=refused
        ) from exc
    except BaseException:
        conn.abort()
        raise
    return answers[0]


def configure_keepalive(sock: socket.socket) -> None:
    """Make the kernel close a connection whose network path is dead.

    Also disables Nagle's algorithm, so that short messages are sent at once.

    :param sock: A TCP socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)
