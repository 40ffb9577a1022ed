"""Explains where a statement would go now, without sending it.

Uses the functions that decide about statements.
"""

import attrs

from monsoonproxy import selection
from monsoonproxy.catalog import Catalog
from monsoonproxy.client_sessions import PendingStatement, Session
from monsoonproxy.clock import Clock, Millis
from monsoonproxy.limiters import OverloadError
from monsoonproxy.members import Member
from monsoonproxy.models import Position
from monsoonproxy.organisations.quotas import Quotas
from monsoonproxy.routes import Route
from monsoonproxy.statement_runner import StatementRunner


@attrs.frozen
class Question:
    """A statement to explain.

    :param database: The database name that the caller opens.
    :param is_read: Whether it only reads.
    :param organisation: The caller's organisation; empty for none.
    """

    database: str
    is_read: bool = True
    organisation: str = ''


@attrs.frozen
class Candidate:
    """A backend server that a statement might go to.

    :param name: Its identity.
    :param role: ``leader`` or ``replica``.
    :param share: Share of such statements that it would get.
    :param expected_ms: Expected time of a statement.
    :param waiting: Statements of this daemon that wait for it.
    :param limit: Statements of this daemon that it may work on at once.
    :param position: Latest log position seen in its answers.
    :param through: ``direct``, or the peers that would lend a connection.
    :param refusal: Why it would not get the statement; empty if it might.
    """

    name: str
    role: str
    share: float
    expected_ms: float
    waiting: int
    limit: float
    position: str
    through: str
    refusal: str = ''


@attrs.frozen
class Explanation:
    """Where a statement would go.

    :param service: The service of the route; empty without a route.
    :param kind: Freshness that the route asks for.
    :param floor: Log position that a read would have to reflect.
    :param refusal: Why it would be refused; empty if it would be sent.
    :param candidates: The backend servers of the service.
    """

    service: str = ''
    kind: str = ''
    floor: str = ''
    refusal: str = ''
    candidates: tuple[Candidate, ...] = ()


class Explainer:
    """Answers questions about statements on one daemon.

    :param catalog: Routes and services.
    :param quotas: Limits of organisations.
    :param clock: Source of time.
    """

    def __init__(self, catalog: Catalog, quotas: Quotas, clock: Clock) -> None:
        self._catalog = catalog
        self._quotas = quotas
        self._clock = clock

    def explain(self, question: Question) -> Explanation:
        """Explain where a statement would go now.

        :param question: The statement.
        :returns: The explanation.
        """
        table = self._catalog.table
        if table is None:
            return Explanation(refusal='no configuration was received yet')
        route = table.routes.get(question.database)
        if route is None:
            return Explanation(refusal='no route has that database name')
        runner = self._catalog.runner(route.service)
        if runner is None:
            return Explanation(refusal='the service is not configured')
        names = table.directory.organisations
        if names and not route.is_public and question.organisation not in names:
            return Explanation(
                route.service, refusal='the organisation is unknown'
            )
        return self._explain(question, route, runner)

    def _explain(
        self, question: Question, route: Route, runner: StatementRunner
    ) -> Explanation:
        stmt = PendingStatement(
            b'',
            b'',
            question.is_read,
            route,
            Session(0),
            self._clock.now(),
            question.organisation,
        )
        floor = None if stmt.needs_leader else runner.known_floor(stmt)
        shares = self._shares(runner, stmt, floor)
        candidates = tuple(
            self._candidate(runner, stmt, member, shares.get(name, 0))
            for name, member in runner.cluster.members.items()
        )
        return Explanation(
            route.service,
            route.freshness.value,
            str(floor or ''),
            self._refusal(runner, stmt, candidates),
            candidates,
        )

    def _shares(
        self,
        runner: StatementRunner,
        stmt: PendingStatement,
        floor: Position | None,
    ) -> dict[str, float]:
        leader = runner.cluster.leader
        if stmt.needs_leader:
            return {leader.server.server_id: 1} if leader else {}
        targets, weights = selection.weigh(
            runner.cluster.options(stmt.organisation),
            floor,
            {},
            self._clock.now(),
        )
        return {
            target.name: weight / sum(weights)
            for target, weight in zip(targets, weights, strict=True)
        }

    def _candidate(
        self,
        runner: StatementRunner,
        stmt: PendingStatement,
        member: Member,
        share: float,
    ) -> Candidate:
        now = self._clock.now()
        limiter = member.pool.limiter
        refusal = 'it is about to leave' if member.is_drained(now) else ''
        try:
            limiter.check(runner.lease_request(stmt, single=True).urgency(now))
        except OverloadError as exc:
            refusal = str(exc)
        is_direct = member.pool is member.direct
        lenders = ' '.join(sorted(member.borrowed.lenders()))
        position = member.stats.position
        return Candidate(
            member.server.server_id,
            'leader' if member is runner.cluster.leader else 'replica',
            round(share, 3),
            round(member.stats.expected_latency(now), 1),
            limiter.waiting,
            round(limiter.limit.current, 1),
            f'{position.term}.{position.offset}' if position else '',
            'direct' if is_direct else lenders,
            refusal,
        )

    def _refusal(
        self,
        runner: StatementRunner,
        stmt: PendingStatement,
        candidates: tuple[Candidate, ...],
    ) -> str:
        wait = self._quotas.refusal(stmt.organisation, stmt.priority)
        if wait is not None:
            return _over_limit(stmt.organisation, wait)
        if not stmt.is_read and runner.leaders.refuses_writes:
            return 'no leader takes writes now'
        if stmt.needs_leader and runner.leaders.is_unavailable:
            return 'the leader is not available'
        if not any(each.share for each in candidates):
            return 'no backend server is known'
        if all(each.refusal for each in candidates if each.share):
            return next(each.refusal for each in candidates if each.share)
        return ''


def _over_limit(organisation: str, wait: Millis) -> str:
    return f'limit of {organisation} reached; tokens in {wait} ms'
