"""How the daemons share the connections that a backend server accepts."""

import attrs

from monsoonproxy import pool_sizing
from monsoonproxy.clock import Millis
from monsoonproxy.routes import ServiceRules

#: Share of the accepted connections up to which each daemon has its own. After
#: a loss of power, databases count the old connections for 3 s more.
_MAX_DIRECT_SHARE = 0.65
#: Daemons for each slot of a database up to which each has its own. After a
#: loss of power all connect anew, and each new connection takes a slot for 12
#: to 27 ms, so that the database is busy with them for 0.3 s at most.
_MAX_DIRECT_PER_SLOT = 12
#: Most lenders for each slot. One of them connects within 12 to 27 ms, the
#: others serve meanwhile.
_MAX_LENDERS_PER_SLOT = 6
#: Share of the accepted connections that lenders use together in calm times.
_LENDING_SHARE = 0.5
#: Lenders without which the loss of two daemons would cut off a database.
_MIN_LENDERS = 3
#: Connections of one lender in calm times.
_CONNECTIONS_PER_LENDER = 2
#: Idle connections beyond the first are closed after this time in ms.
_IDLE_TIMEOUT = Millis(1_500)
#: Longest pause in ms between attempts to open a connection.
_MAX_OPEN_BACKOFF = Millis(200)


@attrs.frozen
class ConnectionPlan:
    """Who connects to the backend servers of a service.

    :param lenders: Daemons that hold connections to each backend server and
        lend them; 0 if every daemon connects itself.
    :param share: Greatest number of connections of one daemon.
    """

    lenders: int = 0
    share: int = 2

    @property
    def is_shared(self) -> bool:
        """Tell whether connections are lent."""
        return self.lenders > 0

    def pool_rules(
        self, rules: ServiceRules, *, connects: bool
    ) -> pool_sizing.PoolRules:
        """Return the settings of a pool.

        :param rules: Declaration of the service.
        :param connects: Whether the daemon is to keep a connection open. It
            lends one on request in any case, since others may know of
            changes later or sooner.
        :returns: The settings.
        """
        return pool_sizing.PoolRules(
            rules.connection_limit,
            slots=int(connects),
            min_idle=0,
            share=self.share,
            idle_timeout=_IDLE_TIMEOUT,
            max_backoff=_MAX_OPEN_BACKOFF,
        )


def make_plan(
    connection_limit: int, slots: int, daemons: int, current: ConnectionPlan
) -> ConnectionPlan:
    """Decide how connections are shared.

    :param connection_limit: Connections that a backend server accepts.
    :param slots: Statements that it runs at once.
    :param daemons: Number of daemons, with this one.
    :param current: The plan in force, which is kept at the border.
    :returns: The plan.
    """
    max_direct = min(
        connection_limit * _MAX_DIRECT_SHARE, slots * _MAX_DIRECT_PER_SLOT
    )
    threshold = max_direct * 1.1 if not current.is_shared else max_direct
    if daemons <= max(1, threshold):
        share = max(1, min(connection_limit, 2 * connection_limit // daemons))
        return ConnectionPlan(0, share)
    lenders = int(connection_limit * _LENDING_SHARE / _CONNECTIONS_PER_LENDER)
    lenders = min(lenders, slots * _MAX_LENDERS_PER_SLOT)
    lenders = min(connection_limit, max(_MIN_LENDERS, lenders))
    return ConnectionPlan(lenders, max(1, connection_limit // lenders))
