"""Logs and counts the outcomes of callers' statements."""

from monsoonproxy.clock import Millis
from monsoonproxy.conversations import Conversation
from monsoonproxy.jobs import Job
from monsoonproxy.logs import log_for
from monsoonproxy.models import Outcome, Position
from monsoonproxy.queries import Answer, Code, Query
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

    def ended(
        self,
        conversation: Conversation,
        query: Query,
        answer: Answer,
        took: Millis,
    ) -> None:
        """Record that a statement ended.

        :param conversation: The caller's session.
        :param query: The statement.
        :param answer: The answer to the statement.
        :param took: Time in ms from its arrival to the answer.
        """
        job = conversation.job
        if job is None:
            # Answered without a backend server, such as a session value set.
            if answer.code is not None:
                self._log(conversation, query, answer, took)
            return
        outcome = _OUTCOMES.get(answer.code, Outcome.NOT_RUN)
        route = job.route
        kind = route.freshness.value
        self._telemetry.record(route.service, kind, outcome, took)
        if answer.code is not None or took > route.objective:
            self._log(conversation, query, answer, took, job)

    def _log(
        self,
        conversation: Conversation,
        query: Query,
        answer: Answer,
        took: Millis,
        job: Job | None = None,
    ) -> None:
        fields = {
            'request': query.request_id.decode(errors='replace'),
            'session': conversation.session.number,
            'database': conversation.database,
            'verb': query.verb.value,
            'outcome': answer.code.value if answer.code else 'answered',
            'reason': answer.reason,
            'took_ms': took,
        }
        if job is not None:
            fields |= _decision_fields(job)
        event = 'Statement failed' if answer.code else 'Statement late'
        _log.bind(**fields).info(event)


def _decision_fields(job: Job) -> dict[str, object]:
    """Return the log fields that explain the outcome of a statement."""
    route = job.route
    return {
        'service': route.service,
        'kind': route.freshness.value,
        'timeout_ms': route.timeout,
        'max_age_ms': route.max_age,
        'floor': _position_text(job.floor),
        'own_floor': _position_text(job.session.floor),
        'tried': job.tried,
        'refusals': job.refusals,
        'sent': job.sent,
    }


def _position_text(position: Position | None) -> str:
    return f'{position.term}.{position.offset}' if position else ''
