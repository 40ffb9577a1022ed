"""Logs and counts the outcomes of callers' statements."""

from monsoonproxy.client_sessions import PendingStatement
from monsoonproxy.clock import Millis
from monsoonproxy.logs import log_for
from monsoonproxy.models import Outcome, Position
from monsoonproxy.queries import Answer, Code, Query
from monsoonproxy.session_handlers import SessionHandler
from monsoonproxy.telemetry import Telemetry

_log = log_for('statement')

_OUTCOMES = {
    None: Outcome.ANSWERED,
    Code.FAILED: Outcome.FAILED,
    Code.IN_DOUBT: Outcome.UNKNOWN,
    Code.TIMEOUT: Outcome.UNKNOWN,
}


class StatementRecorder:
    """Records the outcomes of statements.

    A statement that failed or missed its latency objective is logged with the
    values that decided its course; the others are only counted.

    :param telemetry: Counts the statements.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def statement_ended(
        self,
        handler: SessionHandler,
        query: Query,
        answer: Answer,
        took: Millis,
    ) -> None:
        """Record that a statement ended.

        :param handler: The caller's session.
        :param query: The statement.
        :param answer: The answer to the statement.
        :param took: Time in ms from its arrival to the answer.
        """
        stmt = handler.stmt
        if stmt is None:
            # Answered without a backend server, such as a session value set.
            if answer.code is not None:
                self._log(handler, query, answer, took)
            return
        outcome = _OUTCOMES.get(answer.code, Outcome.NOT_RUN)
        route = stmt.route
        kind = route.freshness.value
        self._telemetry.record(route.service, kind, outcome, took)
        if answer.code is not None or took > route.objective:
            self._log(handler, query, answer, took, stmt)

    def statement_unanswered(
        self, handler: SessionHandler, query: Query, *, by_caller: bool
    ) -> None:
        """Record that the connection of a statement ended before its answer.

        :param handler: The caller's session.
        :param query: The statement, which the daemon has read.
        :param by_caller: Whether the caller ended the connection, and not the
            daemon.
        """
        ended_by = 'caller' if by_caller else 'daemon'
        self._telemetry.count(f'statements_unanswered_{ended_by}')
        _log.bind(
            request=query.request_id.decode(errors='replace'),
            session=handler.session.number,
            verb=query.verb.value,
            ended_by=ended_by,
        ).info('Connection ended before the answer')

    def _log(
        self,
        handler: SessionHandler,
        query: Query,
        answer: Answer,
        took: Millis,
        stmt: PendingStatement | None = None,
    ) -> None:
        fields = {
            'request': query.request_id.decode(errors='replace'),
            'session': handler.session.number,
            'database': handler.database,
            'verb': query.verb.value,
            'outcome': answer.code.value if answer.code else 'answered',
            'reason': answer.reason,
            'took_ms': took,
        }
        if stmt is not None:
            fields |= _decision_fields(stmt)
        event = 'Statement failed' if answer.code else 'Statement late'
        _log.bind(**fields).info(event)


def _decision_fields(stmt: PendingStatement) -> dict[str, object]:
    """Return the log fields that explain the outcome of a statement."""
    route = stmt.route
    return {
        'service': route.service,
        'kind': route.freshness.value,
        'timeout_ms': route.timeout,
        'max_age_ms': route.max_age,
        'floor': _position_text(stmt.floor),
        'own_floor': _position_text(stmt.session.floor),
        'tried': stmt.tried,
        'refusals': stmt.refusals,
        'sent': stmt.sent,
    }


def _position_text(position: Position | None) -> str:
    return f'{position.term}.{position.offset}' if position else ''
