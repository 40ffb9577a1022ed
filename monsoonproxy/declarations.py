"""Configuration classes: services, users and platform-wide rules.

The descriptions of the fields are the text of the settings reference.
"""

from collections.abc import Mapping

import attrs

from monsoonproxy import fields
from monsoonproxy.models import CONFIRMATION, ENQUIRY, RETURN

MAJORITY = 'majority'
PRIMARY = 'primary'


@attrs.frozen
class Member:
    """A backend server of a service, with its address and availability zone."""

    name: str = fields.nonempty('Name, unique in the service.')
    address: str = fields.address('Where it accepts connections.')
    availability_zone: str = fields.nonempty('The zone it is in.')
    leaving: bool = fields.unchecked(
        'Whether it gets no new work.', 'true or false', default=False
    )


@attrs.frozen
class ClassRule:
    """Weight, read age limit and objective of one class of requests."""

    weight: int = fields.number(
        1, 100, 'Share of the slots relative to other classes.', default=1
    )
    max_age: int = fields.number(
        0, 3_600_000, 'Greatest age of data of unmarked reads, ms.', default=0
    )
    objective: float = fields.number(
        0.5, 0.99999, 'Share of requests to be answered in time.', default=0.999
    )


def default_classes() -> dict[str, ClassRule]:
    """Return the request classes of a service that declares none.

    :returns: Rules by class name.
    """
    return {
        CONFIRMATION: ClassRule(weight=2),
        RETURN: ClassRule(weight=2),
        ENQUIRY: ClassRule(weight=1),
    }


@attrs.frozen
class Service:
    """A group of backend servers and the rules for its requests."""

    name: str = fields.nonempty('Name by which callers address the service.')
    members: tuple[Member, ...] = fields.unchecked(
        'Backend servers.', 'list of tables'
    )
    credentials: str = fields.reference(
        'Where daemons find user and password for the backend servers.'
    )
    database: str = fields.nonempty('Name of the adapter.', default='group')
    slots: int = fields.number(
        1, 1024, 'Statements a member runs at a time.', default=2
    )
    connection_limit: int = fields.number(
        1, 100_000, 'Connections a member accepts.', default=35
    )
    holders: int = fields.number(
        1, 16, 'Hosts that connect to the members.', default=2
    )
    classes: Mapping[str, ClassRule] = fields.unchecked(
        'Rules per weight class.',
        'tables by class name',
        factory=default_classes,
    )
    queue_limit: int = fields.number(
        1, 1_000_000, 'Requests that wait at a time.', default=1000
    )
    default_deadline: int = fields.number(
        10, 25_000, 'Deadline of unmarked requests, ms.', default=10_000
    )
    acknowledge: str = fields.choice(
        (MAJORITY, PRIMARY), 'Who must have a write.', default=MAJORITY
    )
    accept_loss: bool = fields.unchecked(
        'Whether acknowledged writes may be lost.',
        'true or false',
        default=False,
    )
    silence_detection: int = fields.number(
        100,
        60_000,
        'Silence after which a primary is suspect, ms.',
        default=1000,
    )
    refused_detection: int = fields.number(
        50, 60_000, 'The same if connections are refused, ms.', default=400
    )
    isolation_detection: int = fields.number(
        100,
        60_000,
        'The same if replicas still hear from it, ms.',
        default=5000,
    )
    rank_delay: int = fields.number(
        0, 10_000, 'Delay per holder rank before a failover, ms.', default=300
    )
    claim_timeout: int = fields.number(
        10, 10_000, 'Wait for the store claim of a term, ms.', default=300
    )
    drain_timeout: int = fields.number(
        0, 600_000, 'Time for open transactions to finish, ms.', default=5000
    )
    retry_budget: float = fields.number(
        0, 1, 'Retries as a share of first attempts.', default=0.1
    )

    @property
    def majority(self) -> int:
        """Return the number of members that form a majority.

        :returns: More than half of the members.
        """
        return len(self.members) // 2 + 1

    def rule(self, request_class: str) -> ClassRule:
        """Return the rule of a request class.

        :param request_class: Name of the class.
        :returns: The rule of the class; the default rule if the service does
            not declare the class.
        """
        return self.classes.get(request_class, ClassRule())


@attrs.frozen
class User:
    """Login of a caller, with the services that it may use."""

    name: str = fields.nonempty('User name.')
    password_hash: str = fields.password_hash(
        'Hash of the password, SHA1(SHA1(password)).'
    )
    services: tuple[str, ...] = fields.unchecked(
        'Services that may be used, the default first; empty for all.',
        'list of names',
        default=(),
    )


@attrs.frozen
class MembershipRules:
    """Time limits by which a daemon tracks the hosts of its peers."""

    peer_timeout: int = fields.number(
        100,
        60_000,
        'Time without answer until a host failed, ms.',
        default=1500,
    )
    peer_retry: int = fields.number(
        100,
        60_000,
        'Time until a failed host is tried again, ms.',
        default=1000,
    )
    heard_lifetime: int = fields.number(
        1000, 600_000, 'How long an unlisted host counts, ms.', default=10_000
    )
    list_lag: int = fields.number(
        1000,
        600_000,
        'Longest assumed lag of the host list, ms.',
        default=120_000,
    )


@attrs.frozen
class SpreadRules:
    """Intervals and limits for distributing configuration versions."""

    readers: int = fields.number(
        1,
        16,
        'Hosts that read the version from the store. With several regions,'
        ' more than a region has zones, so that each region has one.',
        default=3,
    )
    read_interval: int = fields.number(
        100, 60_000, 'Time between their reads, ms.', default=500
    )
    compare_interval: int = fields.number(
        100, 60_000, 'Time between comparisons with a peer, ms.', default=500
    )
    fan_out: int = fields.number(
        1, 16, 'Peers told of a new version at once.', default=3
    )
    announce_rounds: int = fields.number(
        1, 16, 'How often other peers are told of a new version.', default=3
    )
    announce_interval: int = fields.number(
        10, 60_000, 'Time between these rounds, ms.', default=250
    )
    fetch_timeout: int = fields.number(
        50, 60_000, 'Wait for a document from a peer, ms.', default=200
    )
    start_wait: int = fields.number(
        100,
        60_000,
        'Wait for peers before reading the store, ms.',
        default=2000,
    )
    backoff_limit: int = fields.number(
        100,
        600_000,
        'Longest time between reads of others, ms.',
        default=30_000,
    )


@attrs.frozen
class PlatformRules:
    """Rules that apply to all daemons of a site."""

    membership: MembershipRules = fields.unchecked(
        'Rules for judging hosts.', 'table', factory=MembershipRules
    )
    spread: SpreadRules = fields.unchecked(
        'Rules for spreading versions.', 'table', factory=SpreadRules
    )
    hosts_interval: int = fields.number(
        500, 600_000, 'Time between reads of the host list, ms.', default=5000
    )
    shutdown_timeout: int = fields.number(
        1000, 600_000, 'Longest duration of a shutdown, ms.', default=30_000
    )
