"""Entry side: sends statements to holders and gives their answers back."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from typing import TypeAlias

import attrs
from msgspec.structs import replace

from monsoonproxy import messages
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.configuration import Configuration, Service
from monsoonproxy.exceptions import PeerError
from monsoonproxy.logs import log_for
from monsoonproxy.models import Outcome, StatementKind
from monsoonproxy.sessions import Session
from monsoonproxy.statements import Statement

#: Returns the addresses of a service's holders in rank order.
HolderLookup: TypeAlias = Callable[[Service], tuple[str, ...]]
#: Records how a request of a service and class ended.
OutcomeRecorder: TypeAlias = Callable[[str, str, Outcome, Millis], None]

_log = log_for('entry')

#: Time in ms that the holder gets beyond the deadline to send its refusal.
_REPLY_GRACE = 1_000
#: Row messages that a holder may send ahead of the caller.
CREDIT_WINDOW = 8
#: Time in ms after which a caller may come back when no holder is reachable.
_NO_HOLDER_RETRY = 500
#: Rounds over the holders before a request is refused.
_MOST_ATTEMPTS = 4


class Links:
    """What the entry side needs of the sockets to peers."""

    async def send(self, address: str, message: messages.Message) -> None:
        """Send a message over an established connection.

        :param address: The peer.
        :param message: The message.
        :raises PeerError: If it was not sent and never will be.
        """
        raise NotImplementedError


@attrs.frozen
class _Lost:
    """The connection to the holder of an open request broke."""


@attrs.define
class _OpenRequest:
    """A request that was sent to a holder."""

    address: str
    replies: asyncio.Queue[messages.Reply | _Lost]
    row_messages: int = 0


class Entry:
    """Executes statements of caller sessions.

    :param links: Connections to the other daemons and to itself.
    :param holders_of: Finds the holders of a service.
    :param record: Counts outcomes for metrics and reports.
    :param clock: Source of time.
    """

    def __init__(
        self,
        links: Links,
        holders_of: HolderLookup,
        record: OutcomeRecorder,
        clock: Clock,
    ) -> None:
        self._links = links
        self._holders_of = holders_of
        self._record = record
        self._clock = clock
        self._cfg: Configuration | None = None
        self._numbers = itertools.count(1)
        self._open: dict[int, _OpenRequest] = {}
        self._pinned: dict[int, str] = {}
        self.stale_replies = 0

    def configure(self, cfg: Configuration) -> None:
        """Take a new configuration into use.

        :param cfg: The configuration in force.
        """
        self._cfg = cfg

    def known(self, service: str) -> bool:
        """Tell whether a service is declared.

        :param service: Name of the service.
        :returns: Whether callers may use it.
        """
        return self._cfg is not None and service in self._cfg.services

    def open_requests(self) -> int:
        """Return the number of requests in flight.

        :returns: Requests that have no final answer yet.
        """
        return len(self._open)

    def deliver(self, address: str, reply: messages.AnyMessage) -> None:
        """Hand a holder's reply to the request that waits for it.

        :param address: Address of the holder.
        :param reply: Its reply.
        """
        number = getattr(reply, 'request', None)
        waiting = self._open.get(number) if number is not None else None
        if waiting is None or waiting.address != address:
            self.stale_replies += 1
            return
        waiting.replies.put_nowait(reply)  # type: ignore[arg-type]

    def holder_lost(self, address: str) -> None:
        """Tell the open requests of a holder that its connection broke.

        :param address: Address of the holder.
        """
        for waiting in self._open.values():
            if waiting.address == address:
                waiting.replies.put_nowait(_Lost())

    async def close(self, session: Session) -> None:
        """End a session, rolling back its open transaction.

        :param session: The session of a caller that has gone.
        """
        address = self._pinned.pop(session.number, None)
        if address is not None:
            await self._try_send(address, messages.SessionEnd(session.number))

    async def execute(
        self, session: Session, statement: Statement
    ) -> AsyncIterator[messages.Reply]:
        """Run a statement and yield its answer.

        :param session: The caller's session.
        :param statement: The statement.
        :yields: Header and rows if there are any, then one final reply.
        """
        arrived = self._clock.now()
        service = self._service(session)
        needs_begin = (
            not session.autocommit
            and not session.in_transaction
            and statement.kind in {StatementKind.READ, StatementKind.WRITE}
        )
        if needs_begin:
            begin = self._request(service, session, statement, arrived)
            begin = replace(begin, sql=b'BEGIN', kind=StatementKind.BEGIN.value)
            refused = await self._begin(service, session, begin)
            if refused is not None:
                yield refused
                return
        req = self._request(service, session, statement, arrived)
        final: messages.Reply | None = None
        async for reply in self._attempts(service, session, req, arrived):
            final = reply
            yield reply
        self._count(service, req, final, arrived)

    async def _begin(
        self,
        service: Service,
        session: Session,
        begin: messages.StatementRequest,
    ) -> messages.Reply | None:
        now = self._clock.now()
        async for reply in self._attempts(service, session, begin, now):
            if not isinstance(reply, messages.ResultEnd):
                return reply
        session.in_transaction = True
        return None

    def _service(self, session: Session) -> Service:
        assert self._cfg is not None
        return self._cfg.services[session.service]

    def _request(
        self,
        service: Service,
        session: Session,
        statement: Statement,
        arrived: Millis,
    ) -> messages.StatementRequest:
        marks = statement.marks
        is_read = statement.kind is StatementKind.READ
        default_class = 'enquiry' if is_read else 'confirmation'
        request_class = marks.request_class or default_class
        max_age = marks.max_age
        if max_age is None:
            max_age = service.freshness.get(request_class, 0)
        repeatable = marks.repeatable
        floor = session.floor
        return messages.StatementRequest(
            request=next(self._numbers),
            session=session.number,
            service=service.name,
            sql=statement.sql,
            kind=statement.kind.value,
            request_class=request_class,
            max_age=max_age,
            remaining=marks.deadline or service.default_deadline,
            repeatable=is_read if repeatable is None else repeatable,
            request_id=marks.request_id,
            floor=(floor.term, floor.offset) if floor else None,
        )

    async def _attempts(
        self,
        service: Service,
        session: Session,
        req: messages.StatementRequest,
        arrived: Millis,
    ) -> AsyncIterator[messages.Reply]:
        """Try the holders in turn while a further try does no harm."""
        deadline = arrived + req.remaining
        for attempt in range(_MOST_ATTEMPTS):
            remaining = deadline - self._clock.now()
            req = replace(req, request=next(self._numbers), remaining=remaining)
            address = await self._send_to_holder(service, session, req, attempt)
            if address is None or remaining <= 0:
                self._open.pop(req.request, None)
                yield self._no_holder(session, req)
                return
            begun = False
            lost = False
            async for reply in self._replies(req, address):
                if isinstance(reply, _Lost):
                    lost = True
                    break
                begun = True
                self._track(session, address, reply)
                yield reply
            if not lost:
                return
            self._pinned.pop(session.number, None)
            if begun or session.in_transaction or not _may_repeat(req):
                session.in_transaction = False
                yield messages.Unknown(
                    req.request, 'the connection to the holder broke'
                )
                return
        yield self._no_holder(session, req)

    async def _send_to_holder(
        self,
        service: Service,
        session: Session,
        req: messages.StatementRequest,
        attempt: int,
    ) -> str | None:
        """Send a request to the first holder that can be reached."""
        pinned = self._pinned.get(session.number)
        addresses = (pinned,) if pinned else self._holders_of(service)
        start = attempt % len(addresses) if addresses else 0
        for address in addresses[start:] + addresses[:start]:
            self._open[req.request] = _OpenRequest(address, asyncio.Queue())
            if await self._try_send(address, req):
                return address
        self._open.pop(req.request, None)
        return None

    async def _try_send(self, address: str, message: messages.Message) -> bool:
        try:
            await self._links.send(address, message)
        except PeerError:
            return False
        return True

    async def _replies(
        self, req: messages.StatementRequest, address: str
    ) -> AsyncIterator[messages.Reply | _Lost]:
        """Yield the replies of one attempt, in order and whole."""
        waiting = self._open[req.request]
        limit = seconds(req.remaining + _REPLY_GRACE)
        finished = False
        try:
            while not finished:
                reply = await asyncio.wait_for(waiting.replies.get(), limit)
                if isinstance(reply, messages.ResultRows):
                    if reply.sequence != waiting.row_messages:
                        yield _Lost()
                        return
                    waiting.row_messages += 1
                    await self._try_send(
                        address, messages.Credit(req.request, 1)
                    )
                finished = _is_final(reply)
                yield _checked(reply, waiting)
        except asyncio.TimeoutError:
            yield messages.Unknown(req.request, 'no answer before the deadline')
        finally:
            self._open.pop(req.request, None)
            if not finished:
                await self._try_send(address, messages.Cancel(req.request))

    def _track(
        self,
        session: Session,
        address: str,
        reply: messages.Reply,
    ) -> None:
        if not _is_final(reply):
            return
        if getattr(reply, 'in_transaction', False):
            self._pinned[session.number] = address
        else:
            self._pinned.pop(session.number, None)

    def _no_holder(
        self, session: Session, req: messages.StatementRequest
    ) -> messages.Reply:
        lost_transaction = self._pinned.pop(session.number, None) is not None
        reason = 'no holder of the service can be reached'
        if lost_transaction:
            reason = 'the transaction was rolled back because its holder left'
        return messages.Refusal(req.request, reason, _NO_HOLDER_RETRY)

    def _count(
        self,
        service: Service,
        req: messages.StatementRequest,
        final: messages.Reply | None,
        arrived: Millis,
    ) -> None:
        if final is None:
            return
        outcome = _OUTCOMES.get(type(final), Outcome.UNKNOWN)
        took = Millis(self._clock.now() - arrived)
        self._record(service.name, req.request_class, outcome, took)


_OUTCOMES = {
    messages.ResultEnd: Outcome.ANSWERED,
    messages.Failure: Outcome.FAILED,
    messages.Refusal: Outcome.NOT_RUN,
    messages.Unknown: Outcome.UNKNOWN,
}


def _may_repeat(req: messages.StatementRequest) -> bool:
    """Tell whether a request that may have run may run again.

    A write with a request id is safe: the record in the group recognises a
    second run.
    """
    if req.kind in {StatementKind.READ.value, StatementKind.BEGIN.value}:
        return True
    return req.repeatable or req.request_id is not None


def _is_final(reply: messages.Reply) -> bool:
    return not isinstance(
        reply, (messages.ResultHeader, messages.ResultRows, _Lost)
    )


def _checked(
    reply: messages.Reply | _Lost, waiting: _OpenRequest
) -> messages.Reply | _Lost:
    """Treat an answer that misses rows as lost."""
    if isinstance(reply, messages.ResultEnd):
        if reply.row_messages != waiting.row_messages:
            return _Lost()
    return reply
