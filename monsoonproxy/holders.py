"""Holder of a service: the queue, transactions and reads of that service."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable, Mapping

import attrs

from monsoonproxy import (
    admission,
    deadline_queues,
    messages,
    request_records,
    retries,
)
from monsoonproxy.attempts import NOT_HELD
from monsoonproxy.backends import Backend
from monsoonproxy.calls import Call, Send
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.declarations import Service
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    PeerError,
    TermChangedError,
)
from monsoonproxy.executions import RETRY_AFTER_MS, Executor, StaleAnswerError
from monsoonproxy.groups import Group
from monsoonproxy.idempotent_writes import IdempotentWrites
from monsoonproxy.logs import log_for
from monsoonproxy.models import BackendReport, StatementKind
from monsoonproxy.request_routing import RequestRouter
from monsoonproxy.transactions import Transactions

_log = log_for('holder')

_INVALID_MARK_CODE = 4102
_SQLSTATE = 'HY000'
#: Time between two checks for waiting requests whose deadline has passed.
_SWEEP_INTERVAL_MS = 20
_IDLE_SWEEP_INTERVAL_MS = 50
_RETRIABLE_ERRORS = (ConnectionLostError, StaleAnswerError, TermChangedError)
_TRANSACTION_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))


@attrs.define
class _InFlight:
    """Calls that have no final answer yet, and their tasks.

    Calls are found by the sender and its request number, tasks by the call's
    number.
    """

    calls: dict[tuple[bytes, int], Call] = attrs.Factory(dict)
    tasks: dict[int, asyncio.Task[None]] = attrs.Factory(dict)


class Holder:
    """Queues and runs the statements of one service.

    Requests come from entry sides, the daemons that clients are connected to.

    :param service: Declaration of the service.
    :param group: Its backend servers.
    :param clock: Source of time.
    :param rng: Source of jitter for retries and the admission.
    """

    def __init__(
        self, service: Service, group: Group, clock: Clock, rng: random.Random
    ) -> None:
        self.service = service
        self.group = group
        self._clock = clock
        self._numbers = itertools.count(1)
        self._executor = Executor(group, clock)
        self._idempotent_writes = IdempotentWrites(group, self._executor, clock)
        self.transactions = Transactions(
            group, self._executor, self._idempotent_writes, clock
        )
        self._admission = admission.Admission(_admission_rules(service), rng)
        budget = retries.RetryRules(ratio=service.retry_budget)
        self._budget = retries.RetryBudget(budget, clock.now())
        self._backoff = retries.Backoff(budget, rng)
        self._waiting: dict[int, Call] = {}
        self._tickets: dict[int, deadline_queues.Ticket] = {}
        self._in_flight = _InFlight()
        self._choices = RequestRouter(
            group, self._waiting, self._schedule_dispatch, clock
        )
        self._dispatch_scheduled = False
        self._released = False
        self.reads: dict[str, int] = {}

    async def run(self) -> None:
        """Refuse expired requests until cancelled, then end transactions."""
        try:
            while True:
                self._refuse_expired()
                idle = not self._waiting
                pause = _IDLE_SWEEP_INTERVAL_MS if idle else _SWEEP_INTERVAL_MS
                await asyncio.sleep(seconds(pause))
        finally:
            for task in self._in_flight.tasks.values():
                task.cancel()
            self.transactions.end_where(lambda _key: True)

    async def reconfigure(
        self, service: Service, backends: Mapping[str, Backend]
    ) -> None:
        """Apply a new declaration of the service without a restart.

        :param service: The new declaration.
        :param backends: Backend servers of its members.
        """
        self.service = service
        self._admission.reconfigure(_admission_rules(service))
        await self.group.change_members(backends, leaving_members(service))

    async def hand_over(self) -> None:
        """Refuse the waiting requests, so that another holder runs them."""
        self._released = True
        self.group.stop_lending()
        waiting = tuple(self._waiting.values())
        self._waiting.clear()
        for call in waiting:
            ticket = self._tickets.pop(call.number, None)
            if ticket is not None:
                self._admission.cancel(ticket)
            self._start_task(call, call.refuse(NOT_HELD, RETRY_AFTER_MS))

    def open_requests(self) -> int:
        """Return how much work has to end before the holder can stop.

        :returns: Waiting and running requests and open transactions.
        """
        running = len(self._in_flight.tasks)
        return len(self._waiting) + running + len(self.transactions)

    def submit(
        self, sender: bytes, req: messages.StatementRequest, send: Send
    ) -> None:
        """Accept a request of an entry side and start or queue it.

        :param sender: Identity of the entry side's socket.
        :param req: The request.
        :param send: Sends replies to the entry side.
        """
        now = self._clock.now()
        call = Call(next(self._numbers), sender, req, now, send)
        self._in_flight.calls[(sender, req.request)] = call
        self.group.touch()
        if req.request_id is not None and not request_records.is_valid(
            req.request_id
        ):
            text = (
                'mark request_id: must be 1 to 64 characters out of A-Z, a-z,'
                ' 0-9 and _ . : -'
            )
            self._start_task(
                call, call.fail(_INVALID_MARK_CODE, _SQLSTATE, text)
            )
            return
        tx = self.transactions.get(call)
        if tx is not None:
            self._start_task(call, self.transactions.run(call, tx))
            return
        if call.kind in _TRANSACTION_ENDS:
            self._start_task(call, call.end('', 'no transaction is open'))
            return
        self._budget.record_try(now)
        self._enqueue(call)

    def credit(self, sender: bytes, message: messages.Credit) -> None:
        """Allow more row messages of an answer, for flow control.

        :param sender: Identity of the entry side's socket.
        :param message: The credit, with the number of messages.
        """
        call = self._in_flight.calls.get((sender, message.request))
        if call is not None:
            for _ in range(message.messages):
                call.credit.release()

    def cancel(self, sender: bytes, message: messages.Cancel) -> None:
        """Cancel a request whose caller has disconnected.

        A write that was started is left to finish, because a retry by the
        caller depends on its outcome.

        :param sender: Identity of the entry side's socket.
        :param message: The cancellation, with the request number.
        """
        call = self._in_flight.calls.get((sender, message.request))
        if call is None:
            return
        if self._waiting.pop(call.number, None) is not None:
            ticket = self._tickets.pop(call.number, None)
            if ticket is not None:
                self._admission.cancel(ticket)
            self._in_flight.calls.pop((sender, message.request), None)
        elif call.kind is StatementKind.READ:
            task = self._in_flight.tasks.get(call.number)
            if task is not None:
                task.cancel()

    def end_sender_transactions(self, sender: bytes) -> None:
        """Roll back all transactions of an entry side that has left.

        :param sender: Identity of the entry side's socket.
        """
        self.transactions.end_where(lambda key: key[0] == sender)

    def on_group_change(self) -> None:
        """Update the usable backend servers and dispatch waiting requests."""
        view = self.group.view
        slots = {}
        for name in self.group.backends:
            report = view.report(name)
            if report is not None and name not in self.group.leaving:
                slots[name] = self.service.slots
        self._admission.update_servers(slots, view.primary)
        self._schedule_dispatch()

    def status(self) -> dict[str, object]:
        """Return the state of the service for the operators' tool.

        :returns: Plain data for JSON.
        """
        view = self.group.view
        now = self._clock.now()
        members = {}
        for name in self.group.backends:
            report = view.report(name)
            members[name] = {
                'age_ms': self.group.router.age(name, now),
                'report': _report_as_json(report) if report else None,
            }
        return {
            'service': self.service.name,
            'term': view.term,
            'primary': view.primary,
            'queue': len(self._admission),
            'running': len(self._in_flight.tasks),
            'transactions': len(self.transactions),
            'reads_by_reason': self.reads,
            'members': members,
        }

    def _enqueue(self, call: Call) -> None:
        now = self._clock.now()
        is_read = call.kind is StatementKind.READ
        ticket = deadline_queues.Ticket(
            call.number,
            call.req.request_class,
            StatementKind.READ if is_read else StatementKind.WRITE,
            call.arrived,
            call.deadline,
            replica=is_read and not call.primary_only,
        )
        verdict = self._admission.offer(ticket, now)
        if isinstance(verdict, admission.Refused):
            self._waiting.pop(call.number, None)
            self._refuse(call, verdict)
            return
        self._waiting[call.number] = call
        self._tickets[call.number] = ticket
        self._schedule_dispatch()

    def _enqueue_retry(self, call: Call) -> None:
        # The request may have been cancelled or handed over during the delay.
        if self._waiting.get(call.number) is call:
            self._enqueue(call)

    def _refuse(self, call: Call, refusal: admission.Refused) -> None:
        self._start_task(
            call, call.refuse(refusal.reason.value, refusal.retry_after)
        )

    def _schedule_dispatch(self) -> None:
        if not self._dispatch_scheduled and self._waiting:
            self._dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch_ready)

    def _dispatch_ready(self) -> None:
        self._dispatch_scheduled = False
        now = self._clock.now()
        for start in self._admission.next_ready(now, self._choices.choose):
            number = start.ticket.number
            call = self._waiting.pop(number)
            self._start_task(
                call, self._run_admitted(call, start.server), start.ticket
            )

    def _refuse_expired(self) -> None:
        for ejected in self._admission.take_ejected(self._clock.now()):
            number = ejected.ticket.number
            self._tickets.pop(number, None)
            call = self._waiting.pop(number, None)
            if call is not None:
                self._refuse(call, ejected.refusal)
        self._schedule_dispatch()

    def _start_task(
        self,
        call: Call,
        work: Awaitable[None],
        ticket: deadline_queues.Ticket | None = None,
    ) -> None:
        task = asyncio.ensure_future(self._run_task(call, work, ticket))
        self._in_flight.tasks[call.number] = task

    async def _run_task(
        self,
        call: Call,
        work: Awaitable[None],
        ticket: deadline_queues.Ticket | None,
    ) -> None:
        done = False
        try:
            await work
            done = True
        except PeerError:
            self.transactions.end(call.key)
        except BackendError as exc:
            with contextlib.suppress(PeerError):
                await call.fail(exc.code, exc.sqlstate, exc.message)
        finally:
            self._finish(call, ticket, done=done)

    def _finish(
        self, call: Call, ticket: deadline_queues.Ticket | None, *, done: bool
    ) -> None:
        self._in_flight.tasks.pop(call.number, None)
        self._choices.routes.pop(call.number, None)
        if call.number not in self._waiting:
            key = (call.sender, call.req.request)
            self._in_flight.calls.pop(key, None)
        if ticket is None:
            return
        now = self._clock.now()
        if self._tickets.get(ticket.number) is ticket:
            self._tickets.pop(ticket.number)
        if done:
            self._admission.finished(ticket, None, now)
        else:
            self._admission.failed(ticket, now)
        self._schedule_dispatch()

    async def _run_admitted(self, call: Call, server: str) -> None:
        """Run an admitted request, and queue it again if it may be retried."""
        limit = max(1, call.deadline - self._clock.now())
        try:
            async with asyncio.timeout(seconds(limit)):
                await self._run_kind(call, server)
        except TimeoutError:
            await call.unknown('no answer before the deadline')
        except _RETRIABLE_ERRORS as exc:
            sent = getattr(exc, 'sent', False)
            call.primary_only = isinstance(exc, StaleAnswerError)
            await self._retry_or_refuse(call, sent=sent, reason=str(exc))

    async def _run_kind(self, call: Call, server: str) -> None:
        if call.kind is StatementKind.READ:
            route = self._choices.routes[call.number]
            key = 'primary: ' if server == self.group.view.primary else ''
            reason = key + route.reason.value
            self.reads[reason] = self.reads.get(reason, 0) + 1
            await self._executor.read(call, route)
        elif call.kind is StatementKind.BEGIN:
            await self.transactions.begin(call, server)
        elif call.req.request_id is not None:
            await self._idempotent_writes.write(call, server)
        else:
            await self._executor.write(call, server)

    async def _retry_or_refuse(
        self, call: Call, *, sent: bool, reason: str
    ) -> None:
        now = self._clock.now()
        call.may_have_run = call.may_have_run or sent
        begins = call.kind is StatementKind.BEGIN
        repeatable = call.req.repeatable
        if not begins and not retries.may_retry(call.kind, repeatable, sent):
            await call.unknown(reason)
        elif self._released:
            await call.refuse(NOT_HELD, RETRY_AFTER_MS)
        elif now < call.deadline and self._budget.take(now):
            self._waiting[call.number] = call
            call.failed_attempts += 1
            delay = seconds(self._backoff.delay(call.failed_attempts))
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._enqueue_retry, call)
        else:
            await call.refuse(reason, RETRY_AFTER_MS)


def leaving_members(service: Service) -> frozenset[str]:
    """Return the members that are declared as leaving.

    :param service: The declaration.
    :returns: Their names.
    """
    return frozenset(
        member.name for member in service.members if member.leaving
    )


def _admission_rules(service: Service) -> admission.AdmissionRules:
    weights = {name: rule.weight for name, rule in service.classes.items()}
    return admission.AdmissionRules(
        weights=weights, queue_limit=service.queue_limit
    )


def _report_as_json(report: BackendReport) -> dict[str, object]:
    """Return a report as plain data for JSON."""
    return {**attrs.asdict(report), 'role': report.role.value}
