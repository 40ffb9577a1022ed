"""Backend servers with the connections to them."""

from collections.abc import Callable, Iterable

import attrs

from monsoonproxy import pool_sizing, selection
from monsoonproxy.borrowed_pools import BorrowedPool
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.connection_plans import ConnectionPlan
from monsoonproxy.connection_pools import ConnectionPool
from monsoonproxy.dialects import Dialect
from monsoonproxy.direct_pools import DirectPool
from monsoonproxy.models import Host
from monsoonproxy.relay_client import RelayClients
from monsoonproxy.routes import ServiceRules
from monsoonproxy.servers import Server
from monsoonproxy.telemetry import Telemetry

#: Number of daemons that may lend connections to a daemon without its own, if
#: the plan makes all daemons keep some; as many as are polled about a leader.
_FALLBACK_LENDERS = 16


#: Time in ms before the end of a backend server's drain time from which it gets
#: no new statements: the news that it leaves take some time, and so does a
#: statement that waits for a connection.
_DRAIN_MARGIN = Millis(1_000)
#: Time in ms that a backend server may need to open a connection after all
#: daemons restarted: up to 12 openings for each slot take 27 ms each, and
#: those that were under way before the restart take as long again.
_STARTUP_OPENING_TIME = Millis(700)


@attrs.define
class Member:
    """A backend server with its connections and what is known about it.

    :param server: Entry of the backend server.
    :param pool: The connections in use, own or borrowed.
    :param direct: Own connections, which may also be lent.
    :param borrowed: Connections of other daemons, for use without own ones.
    :param is_cut_off: Whether the backend server probably serves other daemons
        while this one does not reach it.
    :param is_partitioned: Whether most of the polled daemons are silent as
        well.
    :param stats: Measurements of the backend server.
    :param answered_at: When the backend server last answered.
    :param silent_since: Since when an answer is overdue, or ``None``.
    :param reads: Reads of this daemon that are in work on the backend server
        or wait for a connection to it.
    :param opening_since: Since when its host accepts connections while the
        backend server has never answered, or ``None``.
    :param drained_at: From when it gets no new statements, since it is about to
        leave; ``None`` while it stays.
    """

    server: Server
    pool: ConnectionPool
    direct: DirectPool
    borrowed: BorrowedPool
    is_cut_off: bool = False
    is_partitioned: bool = False
    stats: selection.ServerStats = attrs.Factory(selection.ServerStats)
    answered_at: Millis = Millis(0)
    silent_since: Millis | None = None
    reads: int = 0
    opening_since: Millis | None = None
    drained_at: Millis | None = None

    @property
    def outstanding(self) -> int:
        """Number of this daemon's statements in work or waiting there.

        A limiter of borrowed connections counts nothing, since the lender's
        limits them; :attr:`reads` counts the reads there.
        """
        limiter = self.pool.limiter
        return max(self.reads, limiter.running + limiter.waiting)

    def answered(self, now: Millis) -> None:
        """Record that the backend server answered.

        :param now: When the answer came.
        """
        self.answered_at = now
        self.silent_since = None

    def clear_unreachable(self) -> None:
        """Clear the state of a backend server that only peers may reach."""
        self.is_cut_off = False
        self.is_partitioned = False
        self.borrowed.restrict(None)

    def update_entry(self, server: Server, now: Millis, drain: Millis) -> None:
        """Replace the entry of the backend server.

        :param server: Its latest entry.
        :param now: The time.
        :param drain: Time in ms for which a backend server may be used after
            it has said that it leaves.
        """
        self.server = server
        if not server.leaving:
            self.drained_at = None
        elif self.drained_at is None:
            self.drained_at = Millis(now + drain - _DRAIN_MARGIN)

    def is_drained(self, now: Millis) -> bool:
        """Tell whether the backend server may get no new statements.

        :param now: The time.
        :returns: Whether it is about to leave.
        """
        return self.drained_at is not None and now >= self.drained_at

    def interrupt(self) -> None:
        """End all waits for connections, whose requests need another leader."""
        self.direct.interrupt()
        self.borrowed.interrupt()

    def may_be_busy(self, now: Millis) -> bool:
        """Record that the host accepted a connection without an answer.

        :param now: The time.
        :returns: Whether the backend server may only be busy with opening
            connections, because the daemons have just started.
        """
        if self.opening_since is None:
            self.opening_since = now
        is_new = self.answered_at == 0 and self.direct.open_answered_at == 0
        return is_new and now - self.opening_since < _STARTUP_OPENING_TIME


@attrs.frozen
class ClusterContext:
    """Dependencies that the clusters of a daemon share.

    :param dialect: Protocol of the backend servers.
    :param zone: Availability zone of the daemon.
    :param clock: Source of time.
    :param telemetry: Counts what happens.
    :param links: Connections to other daemons.
    :param relay: Address at which this daemon lends connections.
    :param lenders: Returns the given number of daemons that keep connections
        to a server, the best first for an organisation; ``None`` for statements
        of the daemon itself.
    :param replicas: Returns those of some backend servers that an organisation
        prefers for its reads.
    :param drain: Time in ms for which a backend server may be used after it
        has said that it leaves.
    """

    dialect: Dialect
    zone: str
    clock: Clock
    telemetry: Telemetry
    links: RelayClients
    relay: str
    lenders: Callable[[Server, int, str | None], tuple[Host, ...]]
    replicas: Callable[[Iterable[str], str], frozenset[str]]
    drain: Millis


class MemberFactory:
    """Creates members, and decides which connections lead to them.

    :param shared: Dependencies that the clusters of a daemon share.
    """

    def __init__(self, shared: ClusterContext) -> None:
        #: ``None`` until the list of daemons is known; until then, connections
        #: are opened only on demand.
        self.plan: ConnectionPlan | None = None
        self._shared = shared

    def make(self, server: Server, rules: ServiceRules) -> Member:
        """Create the connection pools of a backend server.

        :param server: Entry of the backend server.
        :param rules: Declaration of the service.
        :returns: The member, without any open connection.
        """
        shared = self._shared
        connects = self._keeps_connections(server)
        direct = DirectPool(
            server,
            shared.dialect,
            self._pool_rules(rules, connects=connects),
            shared.clock,
            shared.telemetry,
        )
        borrowed = BorrowedPool(
            server,
            lambda organisation: self._peer_lenders(server, organisation),
            shared.links,
            shared.dialect,
            shared.clock,
            shared.telemetry,
        )
        pool = direct if connects or self.plan is None else borrowed
        member = Member(server, pool, direct, borrowed)
        if server.leaving:
            # It may have left long ago, as far as this daemon can tell.
            member.drained_at = shared.clock.now()
        return member

    def adapt(self, member: Member, rules: ServiceRules) -> None:
        """Apply a change of the plan, of the daemons or of the service.

        :param member: The backend server.
        :param rules: Declaration of the service.
        """
        connects = self._keeps_connections(member.server)
        member.direct.reconfigure(self._pool_rules(rules, connects=connects))
        if connects != (member.pool is member.direct):
            member.pool = member.direct if connects else member.borrowed
        member.pool.warm_up()

    def usable_pool(
        self, member: Member, organisation: str | None = None
    ) -> ConnectionPool:
        """Return the connection pool to use now.

        :param member: The backend server.
        :param organisation: The organisation whose statement it is for.
        :returns: The borrowed connections if the backend server can't be
            reached through own ones, or peers lend those of the organisation;
            or else the ones in use.
        """
        if not self._connects_for(member.server, organisation):
            return member.borrowed
        starved = member.pool is member.direct and member.direct.is_starved
        if (member.is_cut_off or starved) and member.borrowed.is_open:
            self._shared.telemetry.count('borrowed')
            return member.borrowed
        return member.pool

    def _pool_rules(
        self, rules: ServiceRules, *, connects: bool
    ) -> pool_sizing.PoolRules:
        return (self.plan or ConnectionPlan()).pool_rules(
            rules, connects=connects
        )

    def _keeps_connections(self, server: Server) -> bool:
        """Tell whether this daemon keeps connections to a server."""
        if self.plan is None:
            return False
        if not self.plan.is_shared:
            return True
        lenders = self._shared.lenders(server, self.plan.lenders, None)
        return any(host.address == self._shared.relay for host in lenders)

    def _connects_for(self, server: Server, organisation: str | None) -> bool:
        """Tell whether this daemon has an organisation's connections itself."""
        plan = self.plan
        if organisation is None or plan is None:
            return True
        if not (plan.by_organisation and plan.is_shared):
            return True
        best = self._shared.lenders(server, plan.lenders, organisation)[:1]
        return not best or best[0].address == self._shared.relay

    def _peer_lenders(
        self, server: Server, organisation: str | None
    ) -> tuple[Host, ...]:
        """Return the other daemons that may lend connections to a server."""
        planned = self.plan.lenders if self.plan else 0
        count = planned or _FALLBACK_LENDERS
        return tuple(
            host
            for host in self._shared.lenders(server, count, organisation)
            if host.address != self._shared.relay
        )
