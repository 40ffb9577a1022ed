"""Plans for sharing a backend server's connection limit between daemons."""

import attrs

from monsoonproxy import pool_sizing
from monsoonproxy.clock import Millis
from monsoonproxy.routes import ServiceRules

#: Share of a database's connection limit up to which every daemon connects
#: directly. After a loss of power, databases count the old connections for
#: another 3 s.
_MAX_DIRECT_SHARE = 0.65
#: Daemons per slot of a database up to which every daemon connects directly.
#: After a loss of power all of them reconnect, and each new connection occupies
#: a slot for 12 to 27 ms, so that this takes the database at most 0.3 s.
_MAX_DIRECT_PER_SLOT = 12
#: Greatest number of lenders per slot of a database. Opening a connection takes
#: a lender 12 to 27 ms, during which the other lenders serve.
_MAX_LENDERS_PER_SLOT = 6
#: Share of the connection limit that all lenders use together under normal
#: load.
_LENDING_SHARE = 0.5
#: Least number of lenders; with fewer, the loss of two daemons could make a
#: database unreachable.
_MIN_LENDERS = 3
#: Connections of one lender under normal load.
_CONNECTIONS_PER_LENDER = 2
#: Time in ms after which idle connections beyond the first are closed.
_IDLE_TIMEOUT = Millis(1_500)
#: The same for connections that serve one organisation, whose next statement
#: may come after many seconds.
_KEYED_IDLE_TIMEOUT = Millis(40_000)
#: Longest pause in ms between attempts to open a connection after failures.
_MAX_OPEN_BACKOFF = Millis(200)


@attrs.frozen
class ConnectionPlan:
    """Decides which daemons connect to the backend servers of a service.

    :param lenders: Number of daemons that hold connections to each backend
        server and lend them; 0 if every daemon connects directly.
    :param share: Greatest number of connections of one daemon to each backend
        server.
    :param by_organisation: Whether a connection serves only the organisation
        that it was opened for.
    """

    lenders: int = 0
    share: int = 2
    by_organisation: bool = False

    @property
    def is_shared(self) -> bool:
        """Tell whether only some daemons connect and lend connections."""
        return self.lenders > 0

    def pool_rules(
        self, rules: ServiceRules, *, connects: bool
    ) -> pool_sizing.PoolRules:
        """Return the settings of a daemon's pool of direct connections.

        :param rules: Declaration of the service.
        :param connects: Whether the daemon keeps a connection open. In any
            case it opens one on request of a peer, since peers may learn of
            changes of the plan earlier or later.
        :returns: The settings.
        """
        return pool_sizing.PoolRules(
            rules.connection_limit,
            slots=int(connects),
            min_idle=0,
            share=self.share,
            idle_timeout=(
                _KEYED_IDLE_TIMEOUT if self.by_organisation else _IDLE_TIMEOUT
            ),
            max_backoff=_MAX_OPEN_BACKOFF,
            keyed=self.by_organisation,
        )


def make_plan(
    connection_limit: int,
    slots: int,
    daemons: int,
    current: ConnectionPlan,
    *,
    by_organisation: bool = False,
) -> ConnectionPlan:
    """Plan how the daemons share connections.

    :param connection_limit: Connections that a backend server accepts.
    :param slots: Statements that a backend server runs concurrently.
    :param daemons: Number of daemons, including this one.
    :param current: The plan in force. Switching from direct connections to
        lending takes 10% more daemons than switching back (hysteresis).
    :param by_organisation: Whether a connection serves only one organisation.
        Then few daemons connect even if there are connections for all, so that
        statements of an organisation find one that is open.
    :returns: The new plan.
    """
    max_direct = min(
        connection_limit * _MAX_DIRECT_SHARE, slots * _MAX_DIRECT_PER_SLOT
    )
    threshold = max_direct * 1.1 if not current.is_shared else max_direct
    if by_organisation:
        threshold = _MIN_LENDERS
    if daemons <= max(1, threshold):
        share = max(1, min(connection_limit, 2 * connection_limit // daemons))
        return ConnectionPlan(0, share, by_organisation)
    lenders = int(connection_limit * _LENDING_SHARE / _CONNECTIONS_PER_LENDER)
    lenders = min(lenders, slots * _MAX_LENDERS_PER_SLOT)
    lenders = min(connection_limit, max(_MIN_LENDERS, lenders))
    lenders = min(lenders, daemons)
    share = max(1, connection_limit // lenders)
    return ConnectionPlan(lenders, share, by_organisation)
