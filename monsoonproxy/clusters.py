"""Connections of a daemon to the backend servers of one service."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from functools import partial

import attrs

from monsoonproxy import selection
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.connection_plans import ConnectionPlan
from monsoonproxy.connection_pools import (
    ConnectionPool,
    LeaseRequest,
    PooledConnection,
    PoolExhaustedError,
    ServerRemovedError,
)
from monsoonproxy.exceptions import ConnectionLostError, MonsoonError
from monsoonproxy.members import ClusterContext, Member, MemberFactory
from monsoonproxy.models import Position, Role
from monsoonproxy.overdue_timers import OVERDUE_INTERVAL, OverdueTimer
from monsoonproxy.queries import INTERNAL_ID, Answer, Code, TransactionState
from monsoonproxy.routes import ServiceRules
from monsoonproxy.servers import Server
from monsoonproxy.service_leader import ServiceLeader

#: Longest time in ms for the answer to a leader probe. Probes need no slot of
#: the backend server, so they don't wait behind statements.
PROBE_TIMEOUT = Millis(300)
#: Time in ms after a statement was sent within which a backend server that has
#: received it begins to run it: it queues 16 statements, and a slow one takes
#: 50 ms for each. Closing its connection does not stop it before.
_QUEUE_TIME = Millis(1_000)


class NotLeadingError(MonsoonError):
    """A backend server refused a transaction since it is not the leader."""


@attrs.define
class Lease:
    """A leased connection to a backend server.

    :param cluster: The cluster of the backend server.
    :param member: The backend server.
    :param pool: The pool that leased the connection.
    :param number: Number of the connection in that pool.
    :param conn: The connection.
    :param single: Whether it is leased for a single statement.
    :param clean: Whether the connection may be reused after its release. It is
        closed otherwise.
    """

    cluster: 'Cluster'
    member: Member
    pool: ConnectionPool
    number: int
    conn: PooledConnection
    single: bool = False
    clean: bool = False


class Cluster:
    """Connections, log positions and leader of one service.

    :param rules: Declaration of the service.
    :param shared: Objects that the clusters of a daemon share.
    """

    def __init__(self, rules: ServiceRules, shared: ClusterContext) -> None:
        self.rules = rules
        self.dialect = shared.dialect
        self.clock = shared.clock
        self.telemetry = shared.telemetry
        self.members: dict[str, Member] = {}
        self.lead = ServiceLeader(rules.name, self.members, shared.clock)
        #: How the daemons share connections; ``None`` until the number of
        #: daemons is known.
        self.plan: ConnectionPlan | None = None
        self._shared = shared
        self._factory = MemberFactory(shared)

    @property
    def leader(self) -> Member | None:
        """Return the backend server to send writes to, if one is known."""
        return self.lead.member

    @property
    def slots(self) -> int:
        """Return the least number of slots among the backend servers.

        A backend server runs as many statements concurrently as it has slots.
        """
        found = (member.server.slots for member in self.members.values())
        return min(found, default=1)

    # Backend servers.

    def replan(self, plan: ConnectionPlan) -> None:
        """Apply a new plan for sharing connections between daemons.

        :param plan: The new plan.
        """
        self.plan = plan
        self._factory.plan = plan
        for member in self.members.values():
            self._factory.adapt(member, self.rules)

    def put(self, server: Server) -> None:
        """Add a backend server, or update it from its latest entry.

        :param server: Its entry. If the address or start time differs from the
            known one, the connections to the former server are closed.
        """
        member = self.members.get(server.server_id)
        if member is not None and _was_replaced(member.server, server):
            self.remove(server.server_id)
            member = None
        was_primary = member and member.server.role is Role.PRIMARY
        if member is None:
            self._add(server)
        else:
            member.update_entry(server, self.clock.now(), self._shared.drain)
        if server.role is Role.REPLICA:
            self.lead.leadership.withdraw_claim(server.server_id)
        elif not was_primary:
            self.lead.leadership.record_claim(
                server.server_id, self.clock.now()
            )
        self.lead.notify_changed()

    def remove(self, server_id: str) -> None:
        """Remove a backend server and close the connections to it.

        :param server_id: Identity of the backend server.
        """
        member = self.members.pop(server_id, None)
        if member is None:
            return
        member.borrowed.close()
        member.direct.close()
        self.lead.forget(member)

    def close(self) -> None:
        """Close all connections at once, including leased ones."""
        for member in self.members.values():
            member.borrowed.abort()
            member.direct.abort()

    def options(self, organisation: str) -> Iterator[selection.ReadTarget]:
        """Yield the backend servers that a read may go to.

        :param organisation: The organisation that reads; empty for none.
        :yields: Each backend server with its load and state.
        """
        leader = self.leader
        preferred = (
            self._shared.replicas(
                [
                    name
                    for name in self.members
                    if leader is not self.members[name]
                ],
                organisation,
            )
            if organisation
            else frozenset(self.members)
        )
        for name, member in self.members.items():
            yield selection.ReadTarget(
                name,
                member.stats,
                member.outstanding,
                member.server.slots,
                in_own_zone=member.server.availability_zone
                == self._shared.zone,
                is_leader=member is leader,
                is_leaving=member.server.leaving,
                is_reachable=member.pool.is_open,
                is_preferred=name in preferred,
            )

    # Connections.

    @contextlib.asynccontextmanager
    async def leased(
        self, member: Member, request: LeaseRequest
    ) -> AsyncIterator[Lease]:
        """Lease a connection for one statement.

        The connection is closed unless the body marks the lease as clean.

        :param member: The backend server.
        :param request: Requirements on the connection.
        :yields: The lease.
        """
        pool = self._factory.usable_pool(member, request.organisation)
        async with self._leased(member, pool, request) as lease:
            yield lease

    async def acquire(self, member: Member, request: LeaseRequest) -> Lease:
        """Lease a connection until :meth:`release` is called.

        :param member: The backend server.
        :param request: Requirements on the connection.
        :returns: The lease.
        """
        pool = self._factory.usable_pool(member, request.organisation)
        return await self._acquire(member, pool, request)

    async def lend(self, member: Member, request: LeaseRequest) -> Lease:
        """Lease a direct connection on behalf of a peer.

        :param member: The backend server.
        :param request: Requirements on the connection.
        :returns: The lease.
        :raises PoolExhaustedError: If this daemon has no connection to the
            backend server itself.
        """
        if member.is_cut_off or member.direct.is_starved:
            raise PoolExhaustedError(
                f'{member.server.address}: the lender has no connection'
            )
        return await self._acquire(member, member.direct, request)

    def release(self, lease: Lease) -> None:
        """Return a connection to the pool that leased it.

        :param lease: The lease.
        """
        lease.pool.release(lease.number, single=lease.single, clean=lease.clean)

    async def begin(self, lease: Lease, limit: float) -> Answer:
        """Begin a read-write transaction, which only a leader accepts.

        :param lease: The leased connection.
        :param limit: Longest wait in ms.
        :returns: The answer.
        :raises NotLeadingError: If the backend server is not the leader.
        """
        text = self.dialect.begin(read_only=False)
        answer = await self.internal_statement(lease, text, limit)
        if answer.code is Code.READ_ONLY:
            lease.clean = True
            self.lead.mark_not_leading(lease.member)
            raise NotLeadingError
        if answer.succeeded:
            self.lead.confirm(lease.member, lease.conn.sent_at, answer)
        return answer

    async def internal_statement(
        self,
        lease: Lease,
        text: bytes,
        limit: float,
        floor: Position | None = None,
    ) -> Answer:
        """Run a statement that the daemon issues itself, not a caller.

        :param lease: The leased connection.
        :param text: The statement.
        :param limit: Longest wait in ms.
        :param floor: Least log position at which it may run.
        :returns: The answer.
        """
        payload = self.dialect.query(INTERNAL_ID, text, floor)
        answers = await self.exchange(lease, payload, 1, limit)
        return answers[0]

    async def exchange(
        self, lease: Lease, payload: bytes, count: int, limit: float
    ) -> list[Answer]:
        """Send statements on a leased connection.

        :param lease: The connection.
        :param payload: The encoded statements.
        :param count: Number of statements in the payload.
        :param limit: Longest wait in ms.
        :returns: Their answers.
        :raises ConnectionLostError: If the answers don't arrive in time, or the
            connection breaks.
        """
        member = lease.member
        limiter = lease.pool.limiter
        if not lease.single:
            # Statements of an open transaction don't wait for the concurrency
            # limit, so that transactions finish before new statements start.
            limiter.force_acquire()
        try:
            answers = await self._exchange(lease, payload, count, limit)
        finally:
            if not lease.single:
                limiter.release()
        member.answered(lease.conn.answered_at)
        for answer in answers:
            member.stats.seen(answer.position)
            took = lease.conn.answered_at - lease.conn.sent_at
            limiter.record_answer(answer, took, self.clock.now())
        return answers

    async def probe(
        self,
        member: Member,
        limit: float = PROBE_TIMEOUT,
        pool: ConnectionPool | None = None,
    ) -> Answer | None:
        """Ask a backend server whether it is the leader; needs no slot.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :param pool: The pool to use instead of the member's usable one.
        :returns: The answer, or ``None`` if it can't be reached.
        """
        try:
            return await self.probe_or_raise(member, limit, pool)
        except (ConnectionLostError, PoolExhaustedError, ServerRemovedError):
            return None

    async def probe_or_raise(
        self, member: Member, limit: float, pool: ConnectionPool | None = None
    ) -> Answer:
        """Ask a backend server whether it is the leader, or raise.

        It begins a read-write transaction, which only a leader accepts, and
        rolls it back.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :param pool: The pool to use instead of the member's usable one.
        :returns: The answer, with the code ``READ_ONLY`` from a replica.
        :raises ConnectionLostError: If it can't be reached, or a peer that
            lends connections to it does not answer.
        :raises PoolExhaustedError: If no connection becomes free in time.
        :raises ServerRemovedError: If the backend server was removed, or its
            address was reassigned.
        """
        self.telemetry.count('probes')
        pool = pool or self._factory.usable_pool(member)
        try:
            async with self._leased(member, pool, LeaseRequest(limit)) as lease:
                answer = await self.begin(lease, limit)
                text = self.dialect.rollback()
                await self.internal_statement(lease, text, limit)
                lease.clean = True
                return answer
        except NotLeadingError:
            return Answer(b'', TransactionState.IDLE, code=Code.READ_ONLY)

    @contextlib.asynccontextmanager
    async def _leased(
        self, member: Member, pool: ConnectionPool, request: LeaseRequest
    ) -> AsyncIterator[Lease]:
        lease = await self._acquire(member, pool, request)
        try:
            yield lease
        finally:
            self.release(lease)

    def _add(self, server: Server) -> None:
        member = self._factory.make(server, self.rules)
        member.direct.on_failure = partial(self.lead.suspect, member)
        member.borrowed.on_failure = partial(self.lead.suspect, member)
        self.members[server.server_id] = member
        member.pool.warm_up()

    async def _acquire(
        self, member: Member, pool: ConnectionPool, request: LeaseRequest
    ) -> Lease:
        with self._monitored(member):
            try:
                number, conn = await pool.acquire(request)
            except ServerRemovedError:
                if self.members.get(member.server.server_id) is member:
                    self.remove(member.server.server_id)
                raise
            except ConnectionLostError:
                self.lead.suspect(member)
                raise
        return Lease(self, member, pool, number, conn, request.single)

    async def _exchange(
        self, lease: Lease, payload: bytes, count: int, limit: float
    ) -> list[Answer]:
        with self._monitored(lease.member):
            try:
                async with asyncio.timeout(seconds(max(1, int(limit)))):
                    return await lease.conn.exchange(payload, count, limit)
            except TimeoutError:
                lease.conn.abort()
                self.lead.suspect(lease.member)
                address = lease.member.server.address
                raise ConnectionLostError(
                    f'{address}: no answer within {limit:.0f} ms',
                    sent=True,
                    runs_until=lease.conn.sent_at + _QUEUE_TIME,
                ) from None
            except ConnectionLostError as exc:
                self.lead.suspect(lease.member)
                exc.runs_until = max(
                    exc.runs_until, lease.conn.sent_at + _QUEUE_TIME
                )
                raise

    @contextlib.contextmanager
    def _monitored(self, member: Member) -> Iterator[None]:
        """Suspect the leader at intervals while its answer is overdue."""
        if member is not self.leader:
            yield
            return
        watch = OverdueTimer(lambda: self._on_answer_overdue(member))
        try:
            yield
        finally:
            watch.cancel()

    def _on_answer_overdue(self, member: Member) -> None:
        now = self.clock.now()
        if now - member.answered_at < OVERDUE_INTERVAL:
            # The leader answers other statements; this one is only slow.
            return
        if member.silent_since is None:
            member.silent_since = now
        self.lead.suspect(member)


def _was_replaced(old: Server, new: Server) -> bool:
    """Tell whether a backend server was restarted or moved."""
    return old.address != new.address or old.started_at != new.started_at
