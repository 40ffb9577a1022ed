"""Forwards the statements of callers to the holders of their services.

The daemon that accepted a caller's connection is its entry daemon. It sends
each statement to a holder, which may be itself, and returns the answer.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from typing import TypeAlias, TypeVar

from msgspec.structs import replace

from monsoonproxy import messages
from monsoonproxy.attempts import AttemptState, OpenRequest, ReplyLost, is_final
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.configuration import Configuration
from monsoonproxy.declarations import Service
from monsoonproxy.models import (
    CONFIRMATION,
    ENQUIRY,
    Outcome,
    StatementKind,
)
from monsoonproxy.peer_connections import PeerConnections
from monsoonproxy.sessions import Session
from monsoonproxy.statements import Statement

_Value = TypeVar('_Value')

#: Returns the addresses of a service's holders in rank order.
HolderLookup: TypeAlias = Callable[[Service], tuple[str, ...]]
#: Records the outcome and duration of a request, by service and class.
OutcomeRecorder: TypeAlias = Callable[[str, str, Outcome, Millis], None]

#: How long a holder may overrun the deadline of a request, so that its refusal
#: still arrives.
_REPLY_GRACE_MS = 1_000
#: Suggested delay before a caller retries when no holder is reachable or no
#: configuration is loaded.
_NO_HOLDER_RETRY_MS = 500
#: Attempts at one request before it is refused; each may try all holders.
_MAX_ATTEMPTS = 4


class StatementForwarder:
    """Forwards statements and keeps transactions on their holder.

    :param connections: Sends messages to peers and to this daemon.
    :param holders_of: Returns the holders of a service in rank order.
    :param record: Records outcomes for metrics and reports.
    :param clock: Source of time.
    """

    def __init__(
        self,
        connections: PeerConnections,
        holders_of: HolderLookup,
        record: OutcomeRecorder,
        clock: Clock,
    ) -> None:
        self._connections = connections
        self._holders_of = holders_of
        self._record = record
        self._clock = clock
        self._cfg: Configuration | None = None
        self._request_numbers = itertools.count(1)
        self._open_requests: dict[int, OpenRequest] = {}
        self._transaction_holders: dict[int, str] = {}
        self._tasks = Background()
        self.stale_replies = 0

    def configure(self, cfg: Configuration) -> None:
        """Apply a new configuration to the requests that follow.

        :param cfg: The configuration in force.
        """
        self._cfg = cfg

    def is_declared(self, service: str) -> bool:
        """Tell whether a service is declared.

        :param service: Name of the service.
        :returns: Whether the configuration has the service. Before the first
            configuration this is true for any name, and statements are
            refused instead.
        """
        return self._cfg is None or service in self._cfg.services

    def used_holders(self) -> set[str]:
        """Return the holders that have open requests or transactions.

        :returns: Their addresses.
        """
        waiting = {request.address for request in self._open_requests.values()}
        return waiting | set(self._transaction_holders.values())

    def open_requests(self) -> int:
        """Return the number of requests in flight.

        :returns: How many requests have no final reply yet.
        """
        return len(self._open_requests)

    def deliver(self, address: str, reply: messages.Message) -> None:
        """Pass a holder's reply to the request that waits for it.

        A reply to a request that has ended, or that is now open at another
        holder, is dropped and counted as stale.

        :param address: Address of the holder.
        :param reply: The reply.
        """
        number = getattr(reply, 'request', None)
        waiting = (
            self._open_requests.get(number) if number is not None else None
        )
        if waiting is None or waiting.address != address:
            self.stale_replies += 1
            return
        waiting.replies.put_nowait(reply)  # type: ignore[arg-type]

    def holder_lost(self, address: str) -> None:
        """Mark the open requests of a holder as lost with its connection.

        :param address: Address of the holder.
        """
        for waiting in self._open_requests.values():
            if waiting.address == address:
                waiting.replies.put_nowait(ReplyLost())

    async def close(self, session: Session) -> None:
        """End a session and have its holder roll back an open transaction.

        :param session: Session of a caller that has disconnected.
        """
        address = self._transaction_holders.pop(session.number, None)
        if address is not None:
            await self._connections.try_send(
                address, messages.SessionEnd(session.number)
            )

    async def execute(
        self, session: Session, statement: Statement
    ) -> AsyncIterator[messages.Reply]:
        """Run a statement at a holder and yield the replies.

        :param session: The caller's session.
        :param statement: The statement.
        :yields: The result header and rows, if any, then one final reply.
        """
        arrived = self._clock.now()
        service = self._find_service(session)
        if service is None:
            reason = 'this daemon has not received a configuration yet'
            yield messages.Refusal(0, reason, _NO_HOLDER_RETRY_MS)
            return
        req = self._build_request(service, session, statement)
        final: messages.Reply | None = None
        async for reply in self._run_attempts(service, req, arrived):
            final = reply
            yield reply
        self._record_outcome(req, final, arrived)

    def cancel(self, session: Session) -> None:
        """Cancel the running statement of a caller that has disconnected.

        :param session: The caller's session.
        """
        for number, waiting in tuple(self._open_requests.items()):
            if waiting.session == session.number:
                self._open_requests.pop(number)
                cancel = messages.Cancel(number)
                self._tasks.spawn(
                    self._connections.try_send(waiting.address, cancel)
                )

    def _find_service(self, session: Session) -> Service | None:
        if self._cfg is None:
            return None
        return self._cfg.services.get(session.service)

    def _build_request(
        self,
        service: Service,
        session: Session,
        statement: Statement,
    ) -> messages.StatementRequest:
        marks = statement.marks
        is_read = statement.kind is StatementKind.READ
        request_class = marks.request_class or _DEFAULT_CLASSES[is_read]
        repeatable = marks.repeatable
        floor = session.floor
        return messages.StatementRequest(
            request=next(self._request_numbers),
            session=session.number,
            service=service.name,
            sql=statement.sql,
            kind=statement.kind.value,
            request_class=request_class,
            max_age=_marked_or(
                marks.max_age, service.rule(request_class).max_age
            ),
            remaining=marks.deadline or service.default_deadline,
            repeatable=_marked_or(repeatable, is_read),
            request_id=marks.request_id,
            floor=(floor.term, floor.offset) if floor else None,
        )

    async def _run_attempts(
        self,
        service: Service,
        req: messages.StatementRequest,
        arrived: Millis,
    ) -> AsyncIterator[messages.Reply]:
        """Retry at other holders as long as a second run is safe."""
        progress = AttemptState()
        for attempt in range(_MAX_ATTEMPTS):
            remaining = arrived + req.remaining - self._clock.now()
            numbered = replace(
                req, request=next(self._request_numbers), remaining=remaining
            )
            address = await self._send_to_holder(service, numbered, attempt)
            if address is None:
                break
            async for reply in self._run_attempt(numbered, address, progress):
                yield reply
            if progress.ended:
                break
        if not progress.answered:
            yield self._unanswered_reply(req, progress)

    async def _run_attempt(
        self,
        req: messages.StatementRequest,
        address: str,
        progress: AttemptState,
    ) -> AsyncIterator[messages.Reply]:
        async for reply in self._receive_replies(req, address):
            if isinstance(reply, ReplyLost):
                pinned = self._transaction_holders.pop(req.session, None)
                progress.record_loss(req, reply, pinned=pinned is not None)
            else:
                progress.started = True
                progress.answered = progress.answered or is_final(reply)
                yield progress.correct_refusal(reply)

    async def _send_to_holder(
        self, service: Service, req: messages.StatementRequest, attempt: int
    ) -> str | None:
        """Send a request to the first reachable holder.

        :returns: Address of that holder, or ``None`` if the deadline has
            passed or no holder is reachable.
        """
        if req.remaining <= 0:
            return None
        for address in self._holders_to_try(service, req.session, attempt):
            self._open_requests[req.request] = OpenRequest(address, req.session)
            if await self._connections.try_send(address, req):
                return address
        self._open_requests.pop(req.request, None)
        return None

    def _holders_to_try(
        self, service: Service, session: int, attempt: int
    ) -> tuple[str, ...]:
        """Return the holders in the order in which to try them.

        The statements of a transaction only go to the holder that has it.
        """
        pinned = self._transaction_holders.get(session)
        if pinned:
            return (pinned,)
        addresses = self._holders_of(service)
        start = attempt % max(1, len(addresses))
        return addresses[start:] + addresses[:start]

    async def _receive_replies(
        self, req: messages.StatementRequest, address: str
    ) -> AsyncIterator[messages.Reply | ReplyLost]:
        """Yield the replies of one attempt until the final one.

        The answer counts as lost if row messages are missing or out of order.
        If the caller stops early, the holder is told to cancel the request.
        """
        waiting = self._open_requests[req.request]
        limit = seconds(req.remaining + _REPLY_GRACE_MS)
        finished = False
        try:
            while not finished:
                reply = await asyncio.wait_for(waiting.replies.get(), limit)
                reply = waiting.check(reply)
                finished = is_final(reply)
                await self._handle_reply(req, address, reply)
                yield reply
        except asyncio.TimeoutError:
            yield messages.Unknown(req.request, 'no answer before the deadline')
        finally:
            still_open = self._open_requests.pop(req.request, None) is not None
            if still_open and not finished:
                await self._connections.try_send(
                    address, messages.Cancel(req.request)
                )

    async def _handle_reply(
        self,
        req: messages.StatementRequest,
        address: str,
        reply: messages.Reply | ReplyLost,
    ) -> None:
        """Grant credit for the next rows and update transaction affinity."""
        if isinstance(reply, messages.ResultRows):
            credit = messages.Credit(req.request, 1)
            await self._connections.try_send(address, credit)
        if not is_final(reply):
            return
        if getattr(reply, 'in_transaction', False):
            self._transaction_holders[req.session] = address
        elif not isinstance(reply, ReplyLost):
            self._transaction_holders.pop(req.session, None)

    def _unanswered_reply(
        self, req: messages.StatementRequest, progress: AttemptState
    ) -> messages.Reply:
        """Return the final reply for a request that no holder answered.

        It is a refusal only if the request cannot have run.
        """
        if progress.may_have_run:
            return messages.Unknown(
                req.request,
                'the holder was lost before its answer was complete',
            )
        reason = 'no holder of the service can be reached'
        pinned = self._transaction_holders.pop(req.session, None)
        if progress.transaction_lost or pinned is not None:
            reason = (
                'the transaction was rolled back because its holder is no'
                ' longer available'
            )
        return messages.Refusal(req.request, reason, _NO_HOLDER_RETRY_MS)

    def _record_outcome(
        self,
        req: messages.StatementRequest,
        final: messages.Reply | None,
        arrived: Millis,
    ) -> None:
        if final is None:
            return
        outcome = _OUTCOMES.get(type(final), Outcome.UNKNOWN)
        took = Millis(self._clock.now() - arrived)
        self._record(req.service, req.request_class, outcome, took)


#: Class of a request whose statement sets none, by whether it is a read.
_DEFAULT_CLASSES = {True: ENQUIRY, False: CONFIRMATION}

#: Recorded outcome by type of the final reply.
_OUTCOMES = {
    messages.ResultEnd: Outcome.ANSWERED,
    messages.Failure: Outcome.FAILED,
    messages.Refusal: Outcome.NOT_RUN,
    messages.Unknown: Outcome.UNKNOWN,
}


def _marked_or(marked: _Value | None, default: _Value) -> _Value:
    return default if marked is None else marked
