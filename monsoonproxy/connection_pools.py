"""Leases of connections to backend servers, and the errors of leasing."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.limiters import ConcurrencyLimiter
from monsoonproxy.overload.statement_queues import Urgency
from monsoonproxy.queries import Answer, Prepared
from monsoonproxy.servers import Server


class ServerRemovedError(MonsoonError):
    """The backend server was removed, or its address was reassigned."""


class PoolExhaustedError(MonsoonError):
    """No connection could be leased in time, or the wait was interrupted."""


class PooledConnection(Protocol):
    """A connection to a backend server, direct or borrowed from a peer."""

    values: dict[bytes, bytes]
    prepared: set[bytes]
    setup_count: int
    closed: bool
    sent_at: Millis
    answered_at: Millis

    @property
    def busy(self) -> bool:
        """Tell whether answers to sent statements are outstanding."""

    def session_setup(
        self, values: dict[bytes, bytes], prepared: Prepared | None
    ) -> bytes:
        """Return the statements that set a session's state on it."""

    def exchange(
        self, payload: bytes, count: int, limit: float
    ) -> 'asyncio.Future[list[Answer]]':
        """Send statements and return a future of all their answers.

        :param payload: The encoded statements.
        :param count: Number of statements in the payload.
        :param limit: Time in ms after which a lender must not forward them to
            the backend server any more.
        """

    def withdraw(self) -> None:
        """Cancel the sent statements; the exchange then ends."""

    def abort(self) -> None:
        """Drop the connection at once; the backend server rolls back."""


@attrs.frozen
class LeaseRequest:
    """Requirements of a statement or transaction on its connection.

    :param limit: Longest wait in ms.
    :param priority: 0 is the highest.
    :param single: Whether it is for a single statement. The lease then also
        waits for the concurrency limit and counts towards it. The statements
        of a transaction count one by one, without a wait.
    :param organisation: The organisation that the connection was opened for;
        empty for statements of no organisation, ``None`` for statements of the
        daemon itself, which run on any connection.
    :param objective: Time in ms in which the statement should be answered; it
        is refused at once if that can't be.
    :param statements: Expected number of statements of its transaction.
    """

    limit: float
    priority: int = 0
    single: bool = False
    organisation: str | None = None
    objective: float = math.inf
    statements: float = 1

    def urgency(self, now: Millis) -> Urgency:
        """Return what decides when the statement is served.

        :param now: The time.
        :returns: Its priority, and the times of its objective and deadline.
        """
        return Urgency(
            self.priority,
            now + self.objective,
            now + max(1, self.limit),
            self.statements,
        )

    def after(self, waited: int) -> 'LeaseRequest':
        """Return what is left of the request after a wait.

        :param waited: Time in ms.
        :returns: The request with shorter times.
        """
        return attrs.evolve(
            self,
            limit=self.limit - waited,
            objective=self.objective - waited,
        )


class ConnectionPool(Protocol):
    """Connections to one backend server, direct or borrowed from peers."""

    server: Server
    limiter: ConcurrencyLimiter
    is_closed: bool
    refused_at: Millis
    on_failure: Callable[[], None]

    @property
    def has_idle(self) -> bool:
        """Tell whether a connection can be leased at once."""

    @property
    def is_open(self) -> bool:
        """Tell whether the pool has, or may borrow, any connection."""

    def warm_up(self) -> None:
        """Open the minimum number of idle connections in advance."""

    async def acquire(
        self, request: LeaseRequest
    ) -> tuple[int, PooledConnection]:
        """Lease a connection.

        :param request: Requirements on the connection.
        :returns: Number of the connection in the pool, and the connection.
        :raises PoolExhaustedError: If none becomes free in time.
        :raises ConnectionLostError: If the backend server can't be reached.
        :raises ServerRemovedError: If the backend server was removed, or its
            address was reassigned.
        """

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection.

        :param number: Number of the connection in the pool.
        :param single: Whether it was leased for a single statement.
        :param clean: Whether it is outside a transaction and has no answers
            outstanding. It is closed otherwise.
        """

    def interrupt(self) -> None:
        """Fail all waiting requests, because the leader has changed."""

    def close(self) -> None:
        """Close idle connections; leased ones are closed when released."""

    def abort(self) -> None:
        """Close all connections at once, including leased ones."""
