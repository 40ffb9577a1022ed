"""How the daemons share the connections that a backend server accepts."""

import attrs

from monsoonproxy import pools
from monsoonproxy.clock import Millis
from monsoonproxy.routes import ServiceRules

#: Share of the accepted connections up to which each daemon has its own. After
#: a loss of power, databases count the old connections for 3 s more.
_DIRECT_SHARE = 0.65
#: Daemons for each slot of a database up to which each has its own. After a
#: loss of power all connect anew, and each new connection takes a slot for 12
#: to 27 ms, so that the database is busy with them for 0.3 s at most.
_DIRECT_PER_SLOT = 12
#: Most lenders for each slot. One of them connects within 12 to 27 ms, the
#: others serve meanwhile.
_LENDERS_PER_SLOT = 6
#: Share of the accepted connections that lenders use together in calm times.
_LENT_SHARE = 0.5
#: Lenders without which the loss of two daemons would cut off a database.
_LEAST_LENDERS = 3
#: Connections of one lender in calm times.
_PER_LENDER = 2
#: Idle connections beyond the first are closed after this time in ms.
_IDLE_CONNECTION = Millis(1_500)
#: Longest pause in ms between attempts to open a connection.
_OPEN_BACKOFF = Millis(200)


@attrs.frozen
class Plan:
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
    ) -> pools.PoolRules:
        """Return the settings of a pool.

        :param rules: Declaration of the service.
        :param connects: Whether the daemon is to keep a connection open. It
            lends one on request in any case, since others may know of
            changes later or sooner.
        :returns: The settings.
        """
        return pools.PoolRules(
            rules.connection_limit,
            slots=int(connects),
            spare=0,
            share=self.share,
            idle_timeout=_IDLE_CONNECTION,
            max_backoff=_OPEN_BACKOFF,
        )


def make_plan(
    connection_limit: int, slots: int, daemons: int, before: Plan
) -> Plan:
    """Decide how connections are shared.

    :param connection_limit: Connections that a backend server accepts.
    :param slots: Statements that it runs at once.
    :param daemons: Number of daemons, with this one.
    :param before: The plan in force, which is kept at the border.
    :returns: The plan.
    """
    most = min(connection_limit * _DIRECT_SHARE, slots * _DIRECT_PER_SLOT)
    border = most * 1.1 if not before.is_shared else most
    if daemons <= max(1, border):
        share = max(1, min(connection_limit, 2 * connection_limit // daemons))
        return Plan(0, share)
    lenders = int(connection_limit * _LENT_SHARE / _PER_LENDER)
    lenders = min(lenders, slots * _LENDERS_PER_SLOT)
    lenders = min(connection_limit, max(_LEAST_LENDERS, lenders))
    return Plan(lenders, max(1, connection_limit // lenders))
