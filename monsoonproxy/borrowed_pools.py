"""Connections to backend servers that other daemons lend."""

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
from monsoonproxy.limiters import ConcurrencyLimiter
from monsoonproxy.models import Host
from monsoonproxy.queries import Answer
from monsoonproxy.relay_client import RelayClient, RelayClients
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry
from monsoonproxy.wires import SessionState

#: Lenders that are asked for one connection, one after another.
_MAX_LENDERS_TRIED = 3
#: Share of the time left for one lender while there are others.
_TIME_SHARE = 0.5


class BorrowedConnection(SessionState):
    """A connection that another daemon has lent.

    :param client: The connection to that daemon.
    :param stream: Number of the lease.
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
        #: By how many ms the lender's clock is ahead of this daemon's at least.
        self.clock_lead = Millis(0)
        self._clock = clock
        self._waiter: asyncio.Task[list[Answer]] | None = None

    @property
    def busy(self) -> bool:
        """Tell whether an answer is still to come."""
        return self._waiter is not None and not self._waiter.done()

    def exchange(
        self, payload: bytes, count: int, limit: float
    ) -> 'asyncio.Future[list[Answer]]':
        """Send statements and wait for all their answers."""
        self.sent_at = self._clock.now()
        self._waiter = asyncio.get_running_loop().create_task(
            self._exchange(payload, count, Millis(self.sent_at + int(limit)))
        )
        return self._waiter

    def withdraw(self) -> None:
        """Take back what was sent; the exchange ends once that is done."""
        if self.busy and not self.closed:
            self.client.send_nowait(relay_messages.Cancel(self.stream))
        self.closed = True

    def abort(self) -> None:
        """Give it up at once; the backend server rolls back."""
        self.closed = True

    async def _exchange(
        self, payload: bytes, count: int, until: Millis
    ) -> list[Answer]:
        if self.closed:
            raise ConnectionLostError('the connection is closed')
        response = await self._send(payload, count, until)
        try:
            answers = self._decode(response)
        except (PeerError, DialectError) as exc:
            self.closed = True
            raise ConnectionLostError(str(exc), sent=True) from exc
        if len(answers) != count:
            self.closed = True
            raise ConnectionLostError('answers are missing', sent=True)
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
            # The lender may stand still, with the statement not read yet.
            raise ConnectionLostError(
                str(exc), sent=True, runs_until=until
            ) from exc

    def _decode(self, response: relay_messages.Response) -> list[Answer]:
        if isinstance(response, relay_messages.Answers):
            return self._dialect.answer_reader().feed(response.payload)
        raise PeerError(getattr(response, 'reason', 'unexpected answer'))


Lenders = Callable[[], tuple[Host, ...]]


class BorrowedPool:
    """Connections to one backend server through the daemons that hold them.

    :param server: The backend server.
    :param lenders: Returns the daemons that hold connections to it, the best
        first.
    :param clients: Connections to daemons.
    :param dialect: Protocol of the backend server.
    :param clock: Source of time.
    :param telemetry: Counts what happens.
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
        # The lender's gate limits what it has in work.
        self.limiter = ConcurrencyLimiter()
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
        """Tell whether a connection can be leased at once."""
        return True

    @property
    def is_open(self) -> bool:
        """Tell whether some daemon may lend connections."""
        return bool(self._candidates())

    def restrict(self, relays: frozenset[str] | None) -> None:
        """Ask certain daemons only.

        :param relays: Addresses of those that reach the backend server; all
            may be asked if ``None``.
        """
        self._allowed = relays

    def lenders(self) -> frozenset[str]:
        """Return which daemons hold connections to the backend server.

        :returns: Addresses of their relays.
        """
        return frozenset(host.address for host in self._lenders())

    def warm_up(self) -> None:
        """Do nothing; lenders open their connections themselves."""

    async def acquire(
        self, request: LeaseRequest
    ) -> tuple[int, BorrowedConnection]:
        """Lease a connection from one lender after another."""
        deadline = self._clock.now() + request.limit
        error: Exception = PoolExhaustedError('no daemon lends connections')
        clients = self._clients_to_try()
        for client in clients:
            left = deadline - self._clock.now()
            if left <= 0:
                break
            if client is not clients[-1]:
                left *= _TIME_SHARE
            try:
                return await self._request(
                    client, attrs.evolve(request, limit=left)
                )
            except (PeerError, PoolExhaustedError, ConnectionLostError) as exc:
                self._telemetry.count('leases_denied')
                error = exc
        if isinstance(error, ConnectionLostError):
            self.refused_at = self._clock.now()
            self.on_failure()
            raise error
        raise PoolExhaustedError(str(error))

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
        """End all waits, since another backend server leads now."""
        for task in tuple(self._pending):
            task.cancel()

    def close(self) -> None:
        """Lease nothing any more."""
        self.is_closed = True
        self.interrupt()

    def abort(self) -> None:
        """Give up all leases."""
        self.close()
        for number in tuple(self._connections):
            self.release(number, single=False, clean=False)

    def _candidates(self) -> tuple[Host, ...]:
        hosts = self._lenders()
        if self._allowed is None:
            return hosts
        if not self._allowed:
            return ()
        # Where few daemons hold connections, others reach the backend server
        # through these without having any to lend.
        return tuple(h for h in hosts if h.address in self._allowed) or hosts

    def _clients_to_try(self) -> list[RelayClient]:
        hosts = self._candidates()[:_MAX_LENDERS_TRIED]
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
            raise PoolExhaustedError('not waited for') from None
        finally:
            self._pending.discard(pending)
        conn = BorrowedConnection(client, stream, self._dialect, self._clock)
        conn.values = granted.values
        conn.prepared = set(granted.prepared)
        # The lender's clock shows at least so much more, since the grant was
        # on its way for some time.
        conn.clock_lead = Millis(granted.now - self._clock.now())
        client.leases[stream] = conn
        number = next(self._numbers)
        self._connections[number] = conn
        self._telemetry.count('leases')
        return number, conn


def _ignore() -> None:
    """Do nothing; stands in until somebody watches the lane."""
