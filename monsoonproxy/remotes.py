"""Connections to backend servers that other daemons lend."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from monsoonproxy import forwards
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import (
    ConnectionLostError,
    DialectError,
    PeerError,
)
from monsoonproxy.gates import Gate
from monsoonproxy.lanes import Claim, LaneFullError
from monsoonproxy.lenders import Link, Links
from monsoonproxy.models import Host
from monsoonproxy.queries import Answer
from monsoonproxy.server_connections import SessionState
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry

#: Lenders that are asked for one connection, one after another.
_LENDERS_ASKED = 3
#: Share of the time left for one lender while there are others.
_FIRST_SHARE = 0.5


class RemoteWire(SessionState):
    """A connection that another daemon has lent.

    :param link: The connection to that daemon.
    :param stream: Number of the lease.
    :param dialect: The protocol of the backend server.
    :param clock: Source of time.
    """

    def __init__(
        self, link: Link, stream: int, dialect: Dialect, clock: Clock
    ) -> None:
        super().__init__(dialect)
        self.link = link
        self.stream = stream
        self.closed = False
        self.answered_at = Millis(0)
        self.sent_at = Millis(0)
        #: By how many ms the lender's clock is ahead of this daemon's at least.
        self.lead = Millis(0)
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
            self.link.tell(forwards.Cancel(self.stream))
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
    ) -> forwards.Response:
        sent = forwards.Send(self.stream, payload, count, until + self.lead)
        try:
            return await self.link.send(sent)
        except PeerError as exc:
            self.closed = True
            # The lender may stand still, with the statement not read yet.
            raise ConnectionLostError(
                str(exc), sent=True, runs_until=until
            ) from exc

    def _decode(self, response: forwards.Response) -> list[Answer]:
        if isinstance(response, forwards.Answers):
            return self._dialect.answer_reader().feed(response.payload)
        raise PeerError(getattr(response, 'reason', 'unexpected answer'))


Lenders = Callable[[], tuple[Host, ...]]


class RemoteLane:
    """Connections to one backend server through the daemons that hold them.

    :param server: The backend server.
    :param lenders: Returns the daemons that hold connections to it, the best
        first.
    :param links: Connections to daemons.
    :param dialect: Protocol of the backend server.
    :param clock: Source of time.
    :param telemetry: Counts what happens.
    """

    def __init__(
        self,
        server: Server,
        lenders: Lenders,
        links: Links,
        dialect: Dialect,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.server = server
        # The lender's gate limits what it has in work.
        self.gate = Gate()
        self.gone = False
        self.refused_at = Millis(0)
        self.on_failure: Callable[[], None] = _ignore
        self._lenders = lenders
        self._only: frozenset[str] | None = None
        self._links = links
        self._dialect = dialect
        self._clock = clock
        self._telemetry = telemetry
        self._wires: dict[int, RemoteWire] = {}
        self._numbers = itertools.count(1)
        self._asking: set[asyncio.Task[Any]] = set()

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
        self._only = relays

    def lenders(self) -> frozenset[str]:
        """Return which daemons hold connections to the backend server.

        :returns: Addresses of their relays.
        """
        return frozenset(host.address for host in self._lenders())

    def warm_up(self) -> None:
        """Do nothing; lenders open their connections themselves."""

    async def acquire(self, claim: Claim) -> tuple[int, RemoteWire]:
        """Lease a connection from one lender after another."""
        deadline = self._clock.now() + claim.limit
        problem: Exception = LaneFullError('no daemon lends connections')
        links = self._links_to_ask()
        for link in links:
            left = deadline - self._clock.now()
            if left <= 0:
                break
            if link is not links[-1]:
                left *= _FIRST_SHARE
            try:
                return await self._ask(link, attrs.evolve(claim, limit=left))
            except (PeerError, LaneFullError, ConnectionLostError) as exc:
                self._telemetry.count('leases_denied')
                problem = exc
        if isinstance(problem, ConnectionLostError):
            self.refused_at = self._clock.now()
            self.on_failure()
            raise problem
        raise LaneFullError(str(problem))

    def release(self, number: int, *, single: bool, clean: bool) -> None:
        """Return a leased connection."""
        wire = self._wires.pop(number, None)
        if wire is None:
            return
        clean = clean and not wire.closed and not wire.busy
        wire.link.give_back(
            forwards.Return(
                wire.stream, clean, wire.values, list(wire.prepared)
            )
        )

    def interrupt(self) -> None:
        """End all waits, since another backend server leads now."""
        for task in tuple(self._asking):
            task.cancel()

    def close(self) -> None:
        """Lease nothing any more."""
        self.gone = True
        self.interrupt()

    def abort(self) -> None:
        """Give up all leases."""
        self.close()
        for number in tuple(self._wires):
            self.release(number, single=False, clean=False)

    def _candidates(self) -> tuple[Host, ...]:
        hosts = self._lenders()
        if self._only is None:
            return hosts
        if not self._only:
            return ()
        # Where few daemons hold connections, others reach the backend server
        # through these without having any to lend.
        return tuple(h for h in hosts if h.address in self._only) or hosts

    def _links_to_ask(self) -> list[Link]:
        hosts = self._candidates()[:_LENDERS_ASKED]
        return [self._links.to(host.address) for host in hosts]

    async def _ask(self, link: Link, claim: Claim) -> tuple[int, RemoteWire]:
        asking = asyncio.get_running_loop().create_task(
            link.ask(self.server, claim)
        )
        self._asking.add(asking)
        try:
            stream, granted = await asking
        except asyncio.CancelledError:
            asking.cancel()
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise LaneFullError('not waited for') from None
        finally:
            self._asking.discard(asking)
        wire = RemoteWire(link, stream, self._dialect, self._clock)
        wire.values = granted.values
        wire.prepared = set(granted.prepared)
        # The lender's clock shows at least so much more, since the grant was
        # on its way for some time.
        wire.lead = Millis(granted.now - self._clock.now())
        link.leases[stream] = wire
        number = next(self._numbers)
        self._wires[number] = wire
        self._telemetry.count('leases')
        return number, wire


def _ignore() -> None:
    """Do nothing; stands in until somebody watches the lane."""
