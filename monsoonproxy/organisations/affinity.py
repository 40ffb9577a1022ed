"""Sends the statements of an organisation to where its connections are.

A connection to a backend server serves one organisation only, and opening one
takes the server as long as a statement.
"""

import math
from collections.abc import Iterable

from monsoonproxy.models import Host
from monsoonproxy.placement import ranked, score

#: Lenders of an organisation, as a multiple of its share of all rates. It is
#: more than one, since the load of an organisation varies.
_LENDER_FACTOR = 1.5
#: The same for the replicas that serve its reads.
_REPLICA_FACTOR = 4.0


def order_lenders(
    lenders: Iterable[Host], organisation: str, share: float, own: str
) -> tuple[Host, ...]:
    """Order the lenders of a backend server for one organisation.

    :param lenders: The daemons that lend connections to the server.
    :param organisation: Name of the organisation.
    :param share: Its share of the rates of all organisations, from 0 to 1.
    :param own: Name of this daemon. Large organisations have several lenders,
        and the daemons begin with different ones.
    :returns: The lenders, the best first.
    """
    by_hash = ranked(organisation, lenders)
    count = _count(share * _LENDER_FACTOR, len(by_hash))
    return ranked(own, by_hash[:count]) + by_hash[count:]


def preferred_replicas(
    replicas: Iterable[str], organisation: str, share: float
) -> frozenset[str]:
    """Choose the replicas that serve the reads of an organisation.

    :param replicas: Identities of the replicas of a service.
    :param organisation: Name of the organisation.
    :param share: Its share of the rates of all organisations, from 0 to 1.
    :returns: The chosen replicas. The others serve it when these are busier.
    """
    by_hash = sorted(replicas, key=lambda name: score(organisation, name))
    count = _count(share * _REPLICA_FACTOR, len(by_hash))
    return frozenset(by_hash[:count])


def _count(share: float, total: int) -> int:
    return min(total, max(1, math.ceil(share * total)))
