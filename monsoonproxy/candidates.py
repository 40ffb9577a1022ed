"""Asks the candidates for promotion for their log positions."""

import asyncio
from collections.abc import Iterable

from monsoonproxy.clusters import Cluster
from monsoonproxy.connection_pools import LeaseRequest
from monsoonproxy.dialects import Dialect
from monsoonproxy.exceptions import DialectError
from monsoonproxy.leader_replacement import CandidateStatus
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.queries import Answer
from monsoonproxy.reachability import PROBE_LIMIT
from monsoonproxy.statement_runner import CONNECTION_ERRORS

_log = log_for('promotion')


async def query_candidates(
    cluster: Cluster, members: Iterable[Member]
) -> list[CandidateStatus]:
    """Read the log positions of the candidates for promotion.

    :param cluster: The cluster of the service.
    :param members: The candidates.
    :returns: What each of them answered.
    """
    return await asyncio.gather(
        *(_query_candidate(cluster, member) for member in members)
    )


async def _query_candidate(cluster: Cluster, member: Member) -> CandidateStatus:
    server = member.server
    dialect = cluster.dialect
    if cluster.rules.synchronous:
        # No commit may be acknowledged after the positions are read, or the
        # chosen candidate might lack it.
        text = dialect.pause(cluster.lead.leadership.term + 1)
    else:
        text = dialect.status()
    received = None
    try:
        async with cluster.leased(member, LeaseRequest(PROBE_LIMIT)) as lease:
            answer = await cluster.internal_statement(lease, text, PROBE_LIMIT)
            lease.clean = True
            received = _received_position(dialect, answer)
    except CONNECTION_ERRORS as exc:
        _log.info(
            'Position of candidate {} not read: {}', server.server_id, exc
        )
    return CandidateStatus(
        server.server_id, received, server.leaving, server.started_at
    )


def _received_position(dialect: Dialect, answer: Answer) -> Position | None:
    if not answer.succeeded:
        # A busy backend server still reports a position, which is at most
        # the received one.
        return answer.position
    try:
        return dialect.parse_status(answer).received
    except DialectError as exc:
        _log.warning('Status answer of a candidate is malformed: {}', exc)
        return answer.position
