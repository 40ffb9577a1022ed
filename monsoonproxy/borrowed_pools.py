"""Connections to backend servers that are borrowed from peers."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from monsoonproxy import relay_messages
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.connection_pools import LeaseRequest, PoolExhaustedError
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import (
    ConnectionLostError,
    DialectError,
    PeerError,
)
from monsoonproxy.limiters import ConcurrencyLimiter, OverloadError
from monsoonproxy.models import Host
from monsoonproxy.queries import Answer
from monsoonproxy.relay_client import RelayClient, RelayClients
from monsoonproxy.server_connections import SessionState
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry

#: Lenders that are asked in turn for one connection.
_MAX_LENDERS_TRIED = 3
#: Share of the remaining time that each lender but the last gets to answer.
_TIME_SHARE = 0.5
#: Lenders without room after which no other one is asked: all of them share the
#: room of the backend server.
_MAX_OVERLOADED = 3
#: Errors after which another lender is asked.
_DENIALS = (PeerError, PoolExhaustedError, ConnectionLostError, OverloadError)


class BorrowedConnection(SessionState):
    """A backend connection borrowed from a peer.

    :param client: Client of the peer's relay.
    :param stream: Number of the lease, unique per client.
    :param dialect: The protocol of the backend server.
    :param clock: Source of time.
    """

    def __init__(
        self, client: RelayClient, stream: int, dialect: Dialect, clock: Clock
    ) -> None:
        super().__init__(dialect)
        self.client = client
        self.stream = stream
        self.closed = False
        self.answered_at = Millis(0)
        self.sent_at = Millis(0)
        #: Lower bound in ms by which the lender's clock is ahead of this
        #: daemon's clock.
        self.clock_lead = Millis(0)
        self._clock = clock
        self._waiter: asyncio.Task[list[Answer]] | None = None

    @property
    def busy(self) -> bool:
        """Tell whether answers to sent statements are outstanding."""
        return self._waiter is not None and not self._waiter.done()

    def exchange(
        self, payload: bytes, count: int, limit: float
    ) -> 'asyncio.Future[list[Answer]]':
        """Send statements and return a future of all their answers."""
        self.sent_at = self._clock.now()
        self._waiter = asyncio.get_running_loop().create_task(
            self._exchange(payload, count, Millis(self.sent_at + int(limit)))
        )
        return self._waiter

    def withdraw(self) -> None:
        """Cancel the sent statements; the exchange then ends."""
        if self.busy and not self.closed:
            self.client.send_nowait(relay_messages.Cancel(self.stream))
        self.closed = True

    def abort(self) -> None:
        """Drop the connection; its lender closes it upon release."""
        self.closed = True

    async def _exchange(
        self, payload: bytes, count: int, until: Millis
    ) -> list[Answer]:
        if self.closed:
            raise ConnectionLostError('the borrowed connection is closed')
        response = await self._send(payload, count, until)
        try:
            answers = self._decode(response)
        except (PeerError, DialectError) as exc:
            self.closed = True
            raise ConnectionLostError(str(exc), sent=True) from exc
        if len(answers) != count:
            self.closed = True
            raise ConnectionLostError(
                f'the lender returned {len(answers)} of {count} answers',
                sent=True,
            )
        self.answered_at = self._clock.now()
        return answers

    async def _send(
        self, payload: bytes, count: int, until: Millis
    ) -> relay_messages.Response:
        sent = relay_messages.Send(
            self.stream, payload, count, until + self.clock_lead
        )
        try:
            return await self.client.send(sent)
        except PeerError as exc:
            self.closed = True
            # The lender may be frozen and still forward the statement when it
            # resumes, until the deadline.
            raise ConnectionLostError(
                str(exc), sent=True, runs_until=until
            ) from exc

    def _decode(self, response: relay_messages.Response) -> list[Answer]:
        if isinstance(response, relay_messages.Answers):
            return self._dialect.answer_reader().feed(response.payload)
        raise PeerError(getattr(response, 'reason', 'unexpected response'))


#: Returns the lenders for the statements of an organisation, or of none, in
#: order of preference.
Lenders = Callable[[str | None], tuple[Host, ...]]


class BorrowedPool:
    """Connections to one backend server that are borrowed from peers.

    :param server: The backend server.
    :param lenders: Returns the peers that hold connections to it.
    :param clients: Clients of the relays of the peers.
    :param dialect: Protocol of the backend server.
    :param clock: Source of time.
    :param telemetry: Counts granted and denied leases.
    """

    def __init__(
        self,
        server: Server,
        lenders: Lenders,
        clients: RelayClients,
        dialect: Dialect,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.server = server
        # Single statements are bounded by the limiter of the lender only.
        self.limiter = ConcurrencyLimiter(clock)
        self.is_closed = False
        self.refused_at = Millis(0)
        self.on_failure: Callable[[], None] = _ignore
        self._lenders = lenders
        self._allowed: frozenset[str] | None = None
        self._clients = clients
        self._dialect = dialect
        self._clock = clock
        self._telemetry = telemetry
        self._connections: dict[int, BorrowedConnection] = {}
        self._numbers = itertools.count(1)
        self._pending: set[asyncio.Task[Any]] = set()

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection can be leased at once; assumed."""
        return True

    @property
    def is_open(self) -> bool:
        """Tell whether any peer may lend connections."""
        return bool(self._candidates(None))

    def restrict(self, relays: frozenset[str] | None) -> None:
        """Borrow from certain peers only.

        :param relays: Relay addresses of the peers that reach the backend
            server, or ``None`` to allow all.
        """
        self._allowed = relays

    def lenders(self) -> frozenset[str]:
        """Return which peers hold connections to the backend server.

        :returns: Their relay addresses.
        """
        return frozenset(host.address for host in self._lenders(None))

    def warm_up(self) -> None:
        """Do nothing: lenders open their connections themselves."""

    async def acquire(
        self, request: LeaseRequest
    ) -> tuple[int, BorrowedConnection]:
        """Lease a connection from the first lender that grants one."""
        began = self._clock.now()
        error: Exception = PoolExhaustedError('no peer lends connections')
        clients = self._clients_to_try(request.organisation)
        overloaded = 0
        for client in clients:
            left = request.after(self._clock.now() - began)
            if left.limit <= 0 or overloaded >= _MAX_OVERLOADED:
                break
            if client is not clients[-1]:
                left = attrs.evolve(left, limit=left.limit * _TIME_SHARE)
            try:
                return await self._request(client, left)
            except _DENIALS as exc:
                self._telemetry.count('leases_denied')
                overloaded += isinstance(exc, OverloadError)
                error = exc
        raise self._failure(error)

    def _failure(self, error: Exception) -> Exception:
        """Return what to raise after the last lender denied a lease."""
        if isinstance(error, ConnectionLostError):
            self.refused_at = self._clock.now()
            self.on_failure()
            return error
        if isinstance(error, OverloadError):
            return error
        return PoolExhaustedError(str(error))

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection."""
        conn = self._connections.pop(number, None)
        if conn is None:
            return
        clean = clean and not conn.closed and not conn.busy
        conn.client.return_lease(
            relay_messages.Return(
                conn.stream, clean, conn.values, list(conn.prepared)
            )
        )

    def interrupt(self) -> None:
        """Fail all waiting requests, because the leader has changed."""
        for task in tuple(self._pending):
            task.cancel()

    def close(self) -> None:
        """Cancel pending requests; leases in use are kept."""
        self.is_closed = True
        self.interrupt()

    def abort(self) -> None:
        """Return all leases at once; their lenders close the connections."""
        self.close()
        for number in tuple(self._connections):
            self.release(number, single=False, clean=False)

    def _candidates(self, organisation: str | None) -> tuple[Host, ...]:
        hosts = self._lenders(organisation)
        if self._allowed is None:
            return hosts
        if not self._allowed:
            return ()
        # With few lenders, the peers that reach the backend server may all
        # borrow connections themselves. Then all lenders stay candidates.
        return tuple(h for h in hosts if h.address in self._allowed) or hosts

    def _clients_to_try(self, organisation: str | None) -> list[RelayClient]:
        hosts = self._candidates(organisation)[:_MAX_LENDERS_TRIED]
        return [self._clients.get(host.address) for host in hosts]

    async def _request(
        self, client: RelayClient, request: LeaseRequest
    ) -> tuple[int, BorrowedConnection]:
        pending = asyncio.get_running_loop().create_task(
            client.request_lease(self.server, request)
        )
        self._pending.add(pending)
        try:
            stream, granted = await pending
        except asyncio.CancelledError:
            pending.cancel()
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise PoolExhaustedError('lease request was interrupted') from None
        finally:
            self._pending.discard(pending)
        conn = BorrowedConnection(client, stream, self._dialect, self._clock)
        conn.values = granted.values
        conn.prepared = set(granted.prepared)
        # A lower bound, since the grant took some time to arrive.
        conn.clock_lead = Millis(granted.now - self._clock.now())
        client.leases[stream] = conn
        number = next(self._numbers)
        self._connections[number] = conn
        self._telemetry.count('leases')
        return number, conn


def _ignore() -> None:
    """Default for :attr:`BorrowedPool.on_failure`."""
