"""The operator's configuration: which database name goes to which service."""

import enum
from collections.abc import Mapping

import attrs

from monsoonproxy.clock import Millis


class Freshness(enum.Enum):
    """What a read of a route must reflect."""

    #: Every commit that was acknowledged before the read.
    PRIMARY = 'primary'
    #: Every commit acknowledged more than the route's bound before it.
    BOUNDED = 'bounded'
    #: As ``BOUNDED``, and every commit of the same session.
    SESSION = 'session'


@attrs.frozen
class Route:
    """Where the sessions of a database name go.

    :param database: The name that callers open.
    :param service: Name of the service.
    :param freshness: What reads must reflect.
    :param max_age: Greatest age of the data in ms; 0 on primary routes.
    :param timeout: Time limit of one statement in ms.
    :param objective: Latency objective of a whole operation in ms.
    :param priority: 0 is the highest.
    """

    database: str
    service: str
    freshness: Freshness
    max_age: Millis
    timeout: Millis
    objective: Millis
    priority: int


@attrs.frozen
class ServiceRules:
    """Declaration of a service.

    :param name: Its name.
    :param connection_limit: Connections that each backend server accepts
        from all callers together.
    :param synchronous: Whether a commit is acknowledged only once a replica
        has received it.
    """

    name: str
    connection_limit: int
    synchronous: bool = False


@attrs.frozen
class RouteTable:
    """A version of the operator's configuration.

    :param version: Grows with every change.
    :param routes: Routes by database name.
    :param services: Services by name.
    :param idle_transaction: Time in ms after which a transaction without a
        statement may be ended.
    """

    version: int
    routes: Mapping[str, Route] = attrs.Factory(dict)
    services: Mapping[str, ServiceRules] = attrs.Factory(dict)
    idle_transaction: Millis = Millis(3_000)
