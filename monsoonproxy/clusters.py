"""The backend servers of one service, as one daemon uses them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from functools import partial

import attrs

from monsoonproxy import floors, selection
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.exceptions import ConnectionLostError, MonsoonError
from monsoonproxy.lanes import (
    Claim,
    Lane,
    LaneFullError,
    ServerGoneError,
    Wire,
)
from monsoonproxy.leadership import Leadership
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member, MemberMaker, Surroundings
from monsoonproxy.models import Position, Role
from monsoonproxy.plans import Plan
from monsoonproxy.queries import INTERNAL_ID, Answer, Code, TransactionState
from monsoonproxy.routes import ServiceRules
from monsoonproxy.servers import Server
from monsoonproxy.watches import SILENCE, Watch

_log = log_for('cluster')

#: Longest time in ms for the answer to a statement that needs no slot.
PROBE_TIMEOUT = Millis(300)


class NotLeadingError(MonsoonError):
    """A backend server refused a transaction since it does not lead."""


@attrs.define
class Lease:
    """A connection in use.

    :param cluster: Where it belongs.
    :param member: The backend server.
    :param lane: Where it came from.
    :param number: Number of the connection in its lane.
    :param wire: The connection.
    :param single: Whether it is leased for a single statement.
    :param clean: Whether it may be used again.
    """

    cluster: 'Cluster'
    member: Member
    lane: Lane
    number: int
    wire: Wire
    single: bool = False
    clean: bool = False


class Cluster:
    """Connections, positions and leader of one service.

    :param rules: Declaration of the service.
    :param shared: What the clusters of a daemon share.
    """

    def __init__(self, rules: ServiceRules, shared: Surroundings) -> None:
        self.rules = rules
        self.dialect = shared.dialect
        self.clock = shared.clock
        self.telemetry = shared.telemetry
        self.floors = floors.Floors()
        self.leadership = Leadership()
        self.members: dict[str, Member] = {}
        #: Is told when the leader may have failed.
        self.on_doubt: Callable[[Cluster, str], None] = _ignore
        #: Looks for a leader.
        self.on_leaderless: Callable[[], None] = _do_nothing
        #: How connections are shared; ``None`` if that is not known yet.
        self.plan: Plan | None = None
        self.leaderless_since: Millis | None = None
        #: When a statement last waited for a leader.
        self.leader_wanted_at = Millis(0)
        self._shared = shared
        self._maker = MemberMaker(shared)
        self._changed = asyncio.Event()

    @property
    def leader(self) -> Member | None:
        """Return the backend server to send writes to.

        :returns: The leader, if one is known or likely.
        """
        believed = self.leadership.believed()
        return self.members.get(believed) if believed else None

    @property
    def slots(self) -> int:
        """Return how many statements each backend server runs at once."""
        found = (member.server.slots for member in self.members.values())
        return min(found, default=1)

    # Backend servers.

    def replan(self, plan: Plan) -> None:
        """Change how connections are shared between daemons.

        :param plan: The new plan.
        """
        self.plan = plan
        self._maker.plan = plan
        for member in self.members.values():
            self._maker.adapt(member, self.rules)

    def put(self, server: Server) -> None:
        """Add a backend server, or take in what it says of itself now.

        :param server: Its entry.
        """
        member = self.members.get(server.server_id)
        if member is not None and _is_another(member.server, server):
            self.remove(server.server_id)
            member = None
        was_primary = member and member.server.role is Role.PRIMARY
        if member is None:
            self._add(server)
        else:
            member.server = server
        if server.role is Role.REPLICA:
            self.leadership.unsaid(server.server_id)
        elif not was_primary:
            self.leadership.said(server.server_id, self.clock.now())
        self._notify()

    def remove(self, server_id: str) -> None:
        """Stop using a backend server.

        :param server_id: Its identity.
        """
        member = self.members.pop(server_id, None)
        if member is None:
            return
        member.borrowed.close()
        member.direct.close()
        self.leadership.gone(server_id)
        self._notify()

    def close(self) -> None:
        """Close all connections."""
        for member in self.members.values():
            member.borrowed.abort()
            member.direct.abort()

    def options(self) -> Iterator[selection.Option]:
        """Yield the backend servers that a read may go to.

        :yields: Options.
        """
        leader = self.leader
        for name, member in self.members.items():
            yield selection.Option(
                name,
                member.record,
                member.in_work,
                member.server.slots,
                is_near=member.server.availability_zone == self._shared.zone,
                is_leader=member is leader,
                is_leaving=member.server.leaving,
                is_reachable=member.lane.is_open,
            )

    # Connections.

    @contextlib.asynccontextmanager
    async def leased(
        self, member: Member, claim: Claim
    ) -> AsyncIterator[Lease]:
        """Lease a connection for one statement.

        The connection is closed unless the body marks the lease as clean.

        :param member: The backend server.
        :param claim: What it is needed for.
        :yields: The lease.
        """
        lane = self._maker.usable_lane(member)
        async with self._leased(member, lane, claim) as lease:
            yield lease

    async def acquire(self, member: Member, claim: Claim) -> Lease:
        """Lease a connection.

        :param member: The backend server.
        :param claim: What it is needed for.
        :returns: The lease.
        """
        return await self._acquire(
            member, self._maker.usable_lane(member), claim
        )

    async def lend(self, member: Member, claim: Claim) -> Lease:
        """Lease an own connection for another daemon.

        :param member: The backend server.
        :param claim: What it is needed for.
        :returns: The lease.
        :raises LaneFullError: If this daemon has no connection itself.
        """
        if member.is_cut_off or member.direct.is_starved:
            raise LaneFullError(f'{member.server.address}: none to lend')
        return await self._acquire(member, member.direct, claim)

    def release(self, lease: Lease) -> None:
        """Return a connection.

        :param lease: The lease.
        """
        lease.lane.release(lease.number, single=lease.single, clean=lease.clean)

    async def begin(self, lease: Lease, limit: float) -> Answer:
        """Begin a plain transaction, which only a leader accepts.

        :param lease: A connection.
        :param limit: Longest wait in ms.
        :returns: The answer.
        :raises NotLeadingError: If the backend server does not lead.
        """
        text = self.dialect.begin(read_only=False)
        answer = await self.own_statement(lease, text, limit)
        if answer.code is Code.READ_ONLY:
            lease.clean = True
            self.not_leading(lease.member)
            raise NotLeadingError
        if answer.succeeded:
            self.led(lease, answer)
        return answer

    async def own_statement(
        self,
        lease: Lease,
        text: bytes,
        limit: float,
        floor: Position | None = None,
    ) -> Answer:
        """Run a statement of the daemon itself.

        :param lease: A connection.
        :param text: The statement.
        :param limit: Longest wait in ms.
        :param floor: Position that the log must have.
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
        :param count: How many there are.
        :param limit: Longest wait in ms.
        :returns: Their answers.
        :raises ConnectionLostError: If they don't come.
        """
        member = lease.member
        gate = lease.lane.gate
        if not lease.single:
            # Statements of a transaction don't wait behind new ones.
            gate.pass_by()
        try:
            answers = await self._exchange(lease, payload, count, limit)
        finally:
            if not lease.single:
                gate.leave()
        member.answered(lease.wire.answered_at)
        for answer in answers:
            member.record.seen(answer.position)
            gate.judge(answer, self.clock.now())
        return answers

    # The leader.

    def led(self, lease: Lease, answer: Answer) -> None:
        """Take in an answer which proves that a backend server led.

        :param lease: The connection.
        :param answer: The answer.
        """
        if answer.position is None:
            return
        name = lease.member.server.server_id
        self.floors.add(lease.wire.sent_at, answer.position)
        self.leaderless_since = None
        before = self.leader
        if self.leadership.accepted(name, answer.position.term):
            _log.info('{} leads in term {}', name, answer.position.term)
            if before is not None and before is not lease.member:
                before.interrupt()
            self._notify()

    def not_leading(self, member: Member) -> None:
        """Take in that a backend server refused a write, or is given up.

        :param member: The backend server.
        """
        name = member.server.server_id
        was_believed = member is self.leader
        if self.leadership.refused(name, self.clock.now()):
            _log.info('{} does not lead any more', name)
        if was_believed:
            member.interrupt()
            self._notify()
        self.search()

    def search(self) -> None:
        """Look for the leader until one accepts a transaction."""
        if self.leadership.leader is not None:
            return
        if self.leaderless_since is None:
            self.leaderless_since = self.clock.now()
        self.on_leaderless()

    def doubt(self, member: Member) -> None:
        """Take in that a backend server did not answer.

        :param member: The backend server.
        """
        if member is self.leader:
            self.on_doubt(self, member.server.server_id)

    async def wait_leader(self, limit: float) -> Member | None:
        """Wait until a leader is known or likely.

        :param limit: Longest wait in ms.
        :returns: The leader, or ``None`` if there is none in time.
        """
        deadline = self.clock.now() + limit
        while self.leader is None and deadline > self.clock.now():
            self.leader_wanted_at = self.clock.now()
            self.search()
            await self.wait_change(deadline - self.clock.now())
        return self.leader

    async def wait_change(self, limit: float) -> None:
        """Wait until a backend server or the leader changes.

        :param limit: Longest wait in ms.
        """
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                await changed.wait()

    async def probe(
        self,
        member: Member,
        limit: float = PROBE_TIMEOUT,
        lane: Lane | None = None,
    ) -> Answer | None:
        """Ask a backend server whether it leads; this needs no slot.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :param lane: The connections to use, if not any.
        :returns: The answer, or ``None`` if it can't be reached.
        """
        try:
            return await self.ask(member, limit, lane)
        except (ConnectionLostError, LaneFullError, ServerGoneError):
            return None

    async def ask(
        self, member: Member, limit: float, lane: Lane | None = None
    ) -> Answer:
        """Ask a backend server whether it leads, as :meth:`probe` does.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :param lane: The connections to use, if not any.
        :returns: The answer.
        :raises ConnectionLostError: If it can't be reached, or a daemon that
            lends connections to it does not answer.
        :raises LaneFullError: If no connection can be had in time.
        :raises ServerGoneError: If its address belongs to another one.
        """
        self.telemetry.count('probes')
        lane = lane or self._maker.usable_lane(member)
        try:
            async with self._leased(member, lane, Claim(limit)) as lease:
                answer = await self.begin(lease, limit)
                text = self.dialect.rollback()
                await self.own_statement(lease, text, limit)
                lease.clean = True
                return answer
        except NotLeadingError:
            return Answer(b'', TransactionState.IDLE, code=Code.READ_ONLY)

    @contextlib.asynccontextmanager
    async def _leased(
        self, member: Member, lane: Lane, claim: Claim
    ) -> AsyncIterator[Lease]:
        lease = await self._acquire(member, lane, claim)
        try:
            yield lease
        finally:
            self.release(lease)

    def _add(self, server: Server) -> None:
        member = self._maker.make(server, self.rules)
        member.direct.on_failure = partial(self.doubt, member)
        member.borrowed.on_failure = partial(self.doubt, member)
        self.members[server.server_id] = member
        member.lane.warm_up()

    async def _acquire(self, member: Member, lane: Lane, claim: Claim) -> Lease:
        with self._watched(member):
            try:
                number, wire = await lane.acquire(claim)
            except ServerGoneError:
                if self.members.get(member.server.server_id) is member:
                    self.remove(member.server.server_id)
                raise
            except ConnectionLostError:
                self.doubt(member)
                raise
        return Lease(self, member, lane, number, wire, claim.single)

    async def _exchange(
        self, lease: Lease, payload: bytes, count: int, limit: float
    ) -> list[Answer]:
        with self._watched(lease.member):
            try:
                async with asyncio.timeout(seconds(max(1, int(limit)))):
                    return await lease.wire.exchange(payload, count, limit)
            except TimeoutError:
                lease.wire.abort()
                self.doubt(lease.member)
                address = lease.member.server.address
                raise ConnectionLostError(
                    f'{address}: no answer in time', sent=True
                ) from None
            except ConnectionLostError:
                self.doubt(lease.member)
                raise

    @contextlib.contextmanager
    def _watched(self, member: Member) -> Iterator[None]:
        """Check the leader again and again while it does not answer."""
        if member is not self.leader:
            yield
            return
        watch = Watch(lambda: self._overdue(member))
        try:
            yield
        finally:
            watch.cancel()

    def _overdue(self, member: Member) -> None:
        now = self.clock.now()
        if now - member.answered_at < SILENCE:
            # It answers others; this one only takes long.
            return
        if member.silent_since is None:
            member.silent_since = now
        self.doubt(member)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _is_another(old: Server, new: Server) -> bool:
    """Tell whether a backend server started again, or elsewhere."""
    return old.address != new.address or old.born != new.born


def _ignore(_cluster: Cluster, _server_id: str) -> None:
    """Do nothing; stands in until somebody watches the leader."""


def _do_nothing() -> None:
    """Do nothing; stands in until somebody looks for a leader."""
