"""The operator's configuration: routes from database names to services."""

import enum
from collections.abc import Mapping

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.organisations.directory import Directory


class Freshness(enum.Enum):
    """Which commits the reads on a route must reflect."""

    #: Every commit that was acknowledged before the read.
    PRIMARY = 'primary'
    #: Every commit acknowledged more than the route's bound before it.
    BOUNDED = 'bounded'
    #: As ``BOUNDED``, and every earlier commit of the same session.
    SESSION = 'session'


@attrs.frozen
class Route:
    """Service and limits of the sessions that open a database name.

    :param database: The database name that callers open.
    :param service: Name of the service.
    :param freshness: Which commits reads must reflect.
    :param max_age: Maximum age in ms of the data that reads return; 0 on
        routes with ``Freshness.PRIMARY``.
    :param timeout: Time limit of one statement in ms.
    :param objective: Latency objective of a whole operation in ms.
    :param priority: Priority of the sessions; 0 is the highest.
    :param is_public: Whether callers need no key.
    """

    database: str
    service: str
    freshness: Freshness
    max_age: Millis
    timeout: Millis
    objective: Millis
    priority: int
    is_public: bool = False


@attrs.frozen
class ServiceRules:
    """Settings of a service.

    :param name: Name of the service.
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

    :param version: Version number, which grows with every change.
    :param routes: Routes by database name.
    :param services: Services by name.
    :param idle_transaction: Time in ms without a statement after which an open
        transaction may be ended.
    :param directory: The organisations whose callers have keys; empty if
        callers need none.
    """

    version: int
    routes: Mapping[str, Route] = attrs.Factory(dict)
    services: Mapping[str, ServiceRules] = attrs.Factory(dict)
    idle_transaction: Millis = Millis(3_000)
    directory: Directory = Directory()
