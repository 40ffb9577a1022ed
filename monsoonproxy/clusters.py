"""The backend servers of one service, as one daemon uses them."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import attrs

from monsoonproxy import floors, pools, selection
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import ConnectionLostError
from monsoonproxy.gates import Gate
from monsoonproxy.lanes import Lane, LaneFullError, ServerGoneError
from monsoonproxy.leadership import Leadership
from monsoonproxy.logs import log_for
from monsoonproxy.models import Position, Role
from monsoonproxy.queries import OWN_ID, Answer, Code, TransactionState
from monsoonproxy.routes import ServiceRules
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry
from monsoonproxy.wires import ServerWire, open_wire

_log = log_for('cluster')

#: Longest time in ms for the answer to a statement that needs no slot.
PROBE_TIMEOUT = Millis(300)
#: Time in ms without an answer after which a leader is checked. Checks are
#: cheap, since they need no slot.
SILENCE = Millis(120)
#: Time in ms without an answer after which a connection is opened just to see
#: whether a backend server is alive. Opening takes 12 to 27 ms of a slot, too
#: much for one that is only busy.
_OPEN_TO_PROBE = Millis(350)
#: Longest time in ms in which a leader is replaced: detection, orders that
#: are sent again, and 1 s to carry one out. Later, callers are told at once
#: that nothing runs here.
TAKEOVER_LIMIT = Millis(2_500)
#: Pause in ms between two looks for a leader.
_SEARCH_PAUSE = Millis(50)
#: Idle connections beyond the first are closed after this time in ms. After a
#: loss of power the databases count the old connections for 3 s, so about
#: half of the limit has to stay free for those who come back.
_IDLE_CONNECTION = Millis(1_500)
#: Longest pause in ms between attempts to open a connection.
_OPEN_BACKOFF = Millis(200)


class NotLeadingError(Exception):
    """A backend server refused a transaction since it does not lead."""


@attrs.define
class Member:
    """A backend server with its connections and what is known about it.

    :param server: Its entry.
    :param lane: The connections.
    :param record: Measurements.
    :param gate: Limits the own statements in work on it.
    :param answered_at: When it last answered.
    :param silent_since: Since when an answer is overdue, or ``None``.
    """

    server: Server
    lane: Lane
    record: selection.Record = attrs.Factory(selection.Record)
    gate: Gate = attrs.Factory(Gate)
    answered_at: Millis = Millis(0)
    silent_since: Millis | None = None

    def answered(self, now: Millis) -> None:
        """Take in a sign of life.

        :param now: When it came.
        """
        self.answered_at = now
        self.silent_since = None


@attrs.define
class Lease:
    """A connection in use.

    :param member: The backend server.
    :param number: Number of the connection in its lane.
    :param wire: The connection.
    :param clean: Whether it may be used again.
    """

    member: Member
    number: int
    wire: ServerWire
    clean: bool = False


class Cluster:
    """Connections, positions and leader of one service.

    :param rules: Declaration of the service.
    :param dialect: Protocol of its backend servers.
    :param zone: Availability zone of the daemon.
    :param clock: Source of time.
    :param telemetry: Counts what happens.
    """

    def __init__(
        self,
        rules: ServiceRules,
        dialect: Dialect,
        zone: str,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self.telemetry = telemetry
        self.rules = rules
        self.dialect = dialect
        self.clock = clock
        self.floors = floors.Floors()
        self.leadership = Leadership()
        self.members: dict[str, Member] = {}
        #: Number of daemons that share the connections.
        self.daemons = 1
        #: Is told when the leader may have failed.
        self.on_doubt: Callable[[Cluster, str], None] = _ignore
        self._zone = zone
        self._unreachable: str | None = None
        self._leaderless_since: Millis | None = None
        self._changed = asyncio.Event()
        self._searches: dict[str, asyncio.Task[None]] = {}
        self._sampling: asyncio.Task[bool] | None = None

    @property
    def leader(self) -> Member | None:
        """Return the backend server to send writes to.

        :returns: The leader, if one is known or likely.
        """
        believed = self.leadership.believed()
        return self.members.get(believed) if believed else None

    def put(self, server: Server) -> None:
        """Add a backend server, or take in what it says of itself now.

        :param server: Its entry.
        """
        now = self.clock.now()
        member = self.members.get(server.server_id)
        if member is not None and (
            member.server.address != server.address
            or member.server.born != server.born
        ):
            self.remove(server.server_id)
            member = None
        if member is None:
            lane = Lane(
                server,
                self.dialect,
                self._pool_rules(),
                self.clock,
                self.telemetry,
            )
            new = Member(server, lane)
            lane.on_failure = lambda: self.doubt(new)
            self.members[server.server_id] = new
            lane.warm_up()
            was_primary = False
        else:
            was_primary = member.server.role is Role.PRIMARY
            member.server = server
        if server.role is Role.PRIMARY and not was_primary:
            self.leadership.said(server.server_id, now)
        elif server.role is Role.REPLICA:
            self.leadership.unsaid(server.server_id)
        self._notify()

    def remove(self, server_id: str) -> None:
        """Stop using a backend server.

        :param server_id: Its identity.
        """
        member = self.members.pop(server_id, None)
        if member is not None:
            member.lane.close()
            self.leadership.gone(server_id)
            self._notify()

    def close(self) -> None:
        """Close all connections."""
        for member in self.members.values():
            member.lane.abort()

    def options(self) -> Iterator[selection.Option]:
        """Yield the backend servers that a read may go to.

        :yields: Options.
        """
        leader = self.leader
        for name, member in self.members.items():
            yield selection.Option(
                name,
                member.record,
                member.gate.running + member.gate.waiting,
                member.server.slots,
                is_near=member.server.availability_zone == self._zone,
                is_leader=member is leader,
                is_leaving=member.server.leaving,
                is_reachable=bool(len(member.lane)),
            )

    @contextlib.asynccontextmanager
    async def leased(self, member: Member, limit: float):
        """Lease a connection for one statement.

        The connection is closed unless the body marks the lease as clean.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :yields: The lease.
        """
        lease = await self.acquire(member, limit)
        try:
            yield lease
        finally:
            self.release(lease)

    async def acquire(self, member: Member, limit: float) -> Lease:
        """Lease a connection.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :returns: The lease.
        :raises ServerGoneError: If the address belongs to another one now.
        """
        watch = self._watch(member)
        try:
            number, wire = await member.lane.acquire(limit)
        except ServerGoneError:
            self._drop(member)
            raise
        except ConnectionLostError:
            self.doubt(member)
            raise
        finally:
            if watch is not None:
                watch.cancel()
        return Lease(member, number, wire)

    def release(self, lease: Lease) -> None:
        """Return a connection.

        :param lease: The lease.
        """
        if lease.clean:
            lease.member.lane.release(lease.number, clean=True)
        else:
            lease.member.lane.forget(lease.number)

    @contextlib.asynccontextmanager
    async def place(self, member: Member, priority: int, limit: float):
        """Wait until a statement that needs a slot may be sent.

        :param member: The backend server.
        :param priority: Priority of the route; 0 is the highest.
        :param limit: Longest wait in ms.
        :yields: The limit, which is told how the statement ended.
        :raises GateClosedError: If it may not be sent in time.
        """
        await member.gate.enter(priority, limit)
        try:
            yield member.gate.limit
        finally:
            member.gate.leave()

    def judge_load(self, member: Member, answer: Answer) -> None:
        """Take in whether a statement found a slot.

        :param member: The backend server.
        :param answer: The answer.
        """
        gate = member.gate
        if answer.code is Code.BUSY:
            gate.limit.turned_away(self.clock.now())
        else:
            gate.limit.served(gate.running)

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
        payload = self.dialect.query(OWN_ID, text, floor)
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
        watch = self._watch(member)
        try:
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                answers = await lease.wire.exchange(payload, count)
        except TimeoutError:
            lease.wire.abort()
            self.doubt(member)
            raise ConnectionLostError(
                f'{member.server.address}: no answer in time', sent=True
            ) from None
        except ConnectionLostError:
            self.doubt(member)
            raise
        finally:
            if watch is not None:
                watch.cancel()
        member.answered(lease.wire.answered_at)
        for answer in answers:
            member.record.seen(answer.position)
        return answers

    def led(self, lease: Lease, answer: Answer) -> None:
        """Take in an answer which proves that a backend server led.

        :param lease: The connection.
        :param answer: The answer.
        """
        if answer.position is None:
            return
        name = lease.member.server.server_id
        self.floors.add(lease.wire.sent_at, answer.position)
        self._leaderless_since = None
        if self.leadership.accepted(name, answer.position.term):
            _log.info('{} leads in term {}', name, answer.position.term)
            self._notify()

    def not_leading(self, member: Member) -> None:
        """Take in that a backend server refused a write.

        :param member: The backend server.
        """
        name = member.server.server_id
        if self.leadership.refused(name, self.clock.now()):
            _log.info('{} does not lead any more', name)
        member.lane.interrupt()
        member.gate.interrupt()
        self._notify()
        self.search()

    def doubt(self, member: Member) -> None:
        """Take in that a backend server did not answer.

        :param member: The backend server.
        """
        if member is self.leader:
            self.on_doubt(self, member.server.server_id)

    async def responds(self, member: Member, limit: float) -> bool:
        """Tell whether a backend server gives a sign of life.

        If all connections are in use, another one is opened for it; that it
        is refused for the number of connections is an answer too.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :returns: Whether it answered.
        """
        if member.lane.has_idle:
            return await self.probe(member, limit) is not None
        if self.clock.now() - member.answered_at < _OPEN_TO_PROBE:
            await asyncio.sleep(seconds(_SEARCH_PAUSE))
            return True
        self.telemetry.count('probes_by_opening')
        try:
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                wire, _answer = await open_wire(
                    self.dialect, member.server, self.clock
                )
        except (ConnectionLostError, TimeoutError):
            return False
        wire.close()
        return True

    def _watch(self, member: Member) -> '_Watch | None':
        """Check a leader again and again while it does not answer."""
        if member is not self.leader:
            return None
        return _Watch(lambda: self._overdue(member))

    def _overdue(self, member: Member) -> None:
        now = self.clock.now()
        if now - member.answered_at < SILENCE:
            # It answers others; this one only takes long.
            return
        if member.silent_since is None:
            member.silent_since = now
        self.doubt(member)

    async def wait_leader(self, limit: float) -> Member | None:
        """Wait until a leader is known or likely.

        :param limit: Longest wait in ms.
        :returns: The leader, or ``None`` if there is none in time.
        """
        deadline = self.clock.now() + limit
        while self.leader is None and deadline > self.clock.now():
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
        self, member: Member, limit: float = PROBE_TIMEOUT
    ) -> Answer | None:
        """Ask a backend server whether it leads; this needs no slot.

        :param member: The backend server.
        :param limit: Longest wait in ms.
        :returns: The answer, or ``None`` if it can't be reached.
        """
        self.telemetry.count('probes')
        try:
            async with self.leased(member, limit) as lease:
                answer = await self.begin(lease, limit)
                text = self.dialect.rollback()
                await self.own_statement(lease, text, limit)
                lease.clean = True
                return answer
        except NotLeadingError:
            return Answer(b'', TransactionState.IDLE, code=Code.READ_ONLY)
        except (ConnectionLostError, LaneFullError, ServerGoneError):
            return None

    async def sample(self, limit: float) -> bool:
        """Make a sample of the leader's position; callers share it.

        :param limit: Longest wait in ms.
        :returns: Whether there is a new sample.
        """
        if self._sampling is None or self._sampling.done():
            self._sampling = asyncio.get_running_loop().create_task(
                self._take_sample()
            )
        sampling = self._sampling
        done, _pending = await asyncio.wait(
            (sampling,), timeout=seconds(max(1, int(limit)))
        )
        return bool(done) and sampling.result()

    async def _take_sample(self) -> bool:
        member = self.leader
        if member is None:
            self.search()
            return False
        answer = await self.probe(member)
        return answer is not None and answer.succeeded

    def set_unreachable(self, server_id: str | None) -> None:
        """Note that only this daemon can't reach the leader.

        :param server_id: Identity of the leader; ``None`` if it is reached.
        """
        if self._unreachable != server_id:
            self._unreachable = server_id
            self._notify()

    @property
    def is_hopeless(self) -> bool:
        """Tell whether waiting for a leader is in vain.

        :returns: Whether only this daemon can't reach the leader, or none was
            found for longer than a replacement takes.
        """
        if self.is_cut_off:
            return True
        since = self._leaderless_since
        if since is None or self.leadership.leader is not None:
            return False
        return self.clock.now() - since > TAKEOVER_LIMIT

    @property
    def is_cut_off(self) -> bool:
        """Tell whether the leader is up but out of this daemon's reach."""
        leader = self.leader
        if self._unreachable is None or leader is None:
            return False
        return leader.server.server_id == self._unreachable

    def search(self) -> None:
        """Look for the leader until one accepts a transaction."""
        if self.leadership.leader is not None:
            return
        if self._leaderless_since is None:
            self._leaderless_since = self.clock.now()
        loop = asyncio.get_running_loop()
        for name in self.members:
            running = self._searches.get(name)
            if running is None or running.done():
                self._searches[name] = loop.create_task(self._search(name))

    async def _search(self, name: str) -> None:
        while self.leadership.leader is None and name in self.members:
            believed = self.leadership.believed()
            if believed is None or believed == name:
                await self.probe(self.members[name])
            await asyncio.sleep(seconds(_SEARCH_PAUSE))

    def _pool_rules(self) -> pools.PoolRules:
        limit = self.rules.connection_limit
        return pools.PoolRules(
            limit,
            slots=1,
            spare=0,
            share=max(1, min(limit, 2 * limit // max(1, self.daemons))),
            idle_timeout=_IDLE_CONNECTION,
            max_backoff=_OPEN_BACKOFF,
        )

    def _drop(self, member: Member) -> None:
        name = member.server.server_id
        if self.members.get(name) is member:
            self.remove(name)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _ignore(_cluster: Cluster, _server_id: str) -> None:
    """Do nothing; stands in until somebody watches the leader."""


class _Watch:
    """Calls something each :data:`SILENCE` until it is cancelled.

    :param call: What to call.
    """

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._arm()

    def cancel(self) -> None:
        """Stop."""
        self._timer.cancel()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds(SILENCE), self._fire)

    def _fire(self) -> None:
        self._arm()
        self._call()
