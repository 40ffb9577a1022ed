"""Service side: the queue, the transactions and the reads of one service."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable, Mapping

import attrs

from monsoonproxy import admission, deadline_queues, messages, records, retries
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
from monsoonproxy.logs import log_for
from monsoonproxy.models import BackendReport, StatementKind
from monsoonproxy.recorded import RecordedWrites
from monsoonproxy.request_routing import RequestRouter
from monsoonproxy.transactions import Transactions

_log = log_for('holder')

_BAD_MARK = 4102
_SQLSTATE = 'HY000'
#: Time in ms between two looks at deadlines and entry sides that have gone.
_SWEEP_INTERVAL = 20
_SWEEP_INTERVAL_IDLE = 50
_RETRIED = (ConnectionLostError, StaleAnswerError, TermChangedError)
_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))


@attrs.define
class _Running:
    """The calls of a holder and their tasks."""

    calls: dict[tuple[bytes, int], Call] = attrs.Factory(dict)
    tasks: dict[int, asyncio.Task[None]] = attrs.Factory(dict)


class Holder:
    """Runs the statements of one service.

    :param service: Declaration of the service.
    :param group: Its backend servers.
    :param clock: Source of time.
    :param rng: Source of jitter.
    """

    def __init__(
        self, service: Service, group: Group, clock: Clock, rng: random.Random
    ) -> None:
        self.service = service
        self.group = group
        self._clock = clock
        self._numbers = itertools.count(1)
        self._executor = Executor(group, clock)
        self._recorded = RecordedWrites(group, self._executor, clock)
        self.transactions = Transactions(
            group, self._executor, self._recorded, clock
        )
        self._admission = admission.Admission(_admission_rules(service), rng)
        budget = retries.RetryRules(ratio=service.retry_budget)
        self._budget = retries.RetryBudget(budget, clock.now())
        self._backoff = retries.Backoff(budget, rng)
        self._waiting: dict[int, Call] = {}
        self._tickets: dict[int, deadline_queues.Ticket] = {}
        self._running = _Running()
        self._choices = RequestRouter(
            group, self._waiting, self._schedule_pump, clock
        )
        self._pump_due = False
        self._released = False
        self.reads: dict[str, int] = {}

    async def run(self) -> None:
        """Watch deadlines until cancelled, then roll back transactions."""
        try:
            while True:
                self._sweep()
                idle = not self._waiting
                pause = _SWEEP_INTERVAL_IDLE if idle else _SWEEP_INTERVAL
                await asyncio.sleep(seconds(pause))
        finally:
            for task in self._running.tasks.values():
                task.cancel()
            self.transactions.end_where(lambda _key: True)

    async def reconfigure(
        self, service: Service, backends: Mapping[str, Backend]
    ) -> None:
        """Take a new declaration into use without a restart.

        :param service: The declaration.
        :param backends: Backend servers of its members.
        """
        self.service = service
        self._admission.reconfigure(_admission_rules(service))
        await self.group.change_members(backends, leaving_members(service))

    async def hand_over(self) -> None:
        """Send the waiting requests back, so that another holder runs them."""
        self._released = True
        self.group.stop_lending()
        waiting = tuple(self._waiting.values())
        self._waiting.clear()
        for call in waiting:
            ticket = self._tickets.pop(call.number, None)
            if ticket is not None:
                self._admission.cancel(ticket)
            self._start(call, call.refuse(NOT_HELD, RETRY_AFTER_MS))

    def open_requests(self) -> int:
        """Return the number of requests in flight.

        :returns: Waiting and running requests and open transactions.
        """
        running = len(self._running.tasks)
        return len(self._waiting) + running + len(self.transactions)

    def submit(
        self, sender: bytes, req: messages.StatementRequest, send: Send
    ) -> None:
        """Take a request of an entry side.

        :param sender: Identity of the entry side's socket.
        :param req: The request.
        :param send: Sends replies to the entry side.
        """
        now = self._clock.now()
        call = Call(next(self._numbers), sender, req, now, send)
        self._running.calls[(sender, req.request)] = call
        self.group.touch()
        if req.request_id is not None and not records.is_valid(req.request_id):
            text = 'request_id: not a valid id'
            self._start(call, call.fail(_BAD_MARK, _SQLSTATE, text))
            return
        tx = self.transactions.get(call)
        if tx is not None:
            self._start(call, self.transactions.run(call, tx))
            return
        if call.kind in _ENDS:
            self._start(call, call.end('', 'no transaction is open'))
            return
        self._budget.record_try(now)
        self._offer(call)

    def credit(self, sender: bytes, message: messages.Credit) -> None:
        """Allow more row messages of an answer.

        :param sender: Identity of the entry side's socket.
        :param message: Its message.
        """
        call = self._running.calls.get((sender, message.request))
        if call is not None:
            for _ in range(message.messages):
                call.credit.release()

    def cancel(self, sender: bytes, message: messages.Cancel) -> None:
        """Give up a request whose caller has gone.

        A write that was started is left to finish, since its outcome counts
        for the caller's next try.

        :param sender: Identity of the entry side's socket.
        :param message: Its message.
        """
        call = self._running.calls.get((sender, message.request))
        if call is None:
            return
        if self._waiting.pop(call.number, None) is not None:
            ticket = self._tickets.pop(call.number, None)
            if ticket is not None:
                self._admission.cancel(ticket)
            self._running.calls.pop((sender, message.request), None)
        elif call.kind is StatementKind.READ:
            task = self._running.tasks.get(call.number)
            if task is not None:
                task.cancel()

    def end_sender(self, sender: bytes) -> None:
        """Roll back all transactions of an entry side that has gone.

        :param sender: Identity of its socket.
        """
        self.transactions.end_where(lambda key: key[0] == sender)

    def group_changed(self) -> None:
        """Look at the queue again after a report of a backend server."""
        view = self.group.view
        slots = {}
        for name in self.group.backends:
            report = view.report(name)
            if report is not None and name not in self.group.leaving:
                slots[name] = self.service.slots
        self._admission.update_servers(slots, view.primary)
        self._schedule_pump()

    def status(self) -> dict[str, object]:
        """Describe the holder for the operators' tool.

        :returns: Plain data for JSON.
        """
        view = self.group.view
        now = self._clock.now()
        members = {}
        for name in self.group.backends:
            report = view.report(name)
            members[name] = {
                'age_ms': self.group.router.age(name, now),
                'report': _plain(report) if report else None,
            }
        return {
            'service': self.service.name,
            'term': view.term,
            'primary': view.primary,
            'queue': len(self._admission),
            'running': len(self._running.tasks),
            'transactions': len(self.transactions),
            'reads_by_reason': self.reads,
            'members': members,
        }

    def _offer(self, call: Call) -> None:
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
        self._schedule_pump()

    def _offer_again(self, call: Call) -> None:
        # The caller may have gone, or the service been released meanwhile.
        if self._waiting.get(call.number) is call:
            self._offer(call)

    def _refuse(self, call: Call, refusal: admission.Refused) -> None:
        self._start(
            call, call.refuse(refusal.reason.value, refusal.retry_after)
        )

    def _schedule_pump(self) -> None:
        if not self._pump_due and self._waiting:
            self._pump_due = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._pump_due = False
        now = self._clock.now()
        for start in self._admission.next_ready(now, self._choices.choose):
            number = start.ticket.number
            call = self._waiting.pop(number)
            self._start(call, self._run(call, start.server), start.ticket)

    def _sweep(self) -> None:
        for ejected in self._admission.take_ejected(self._clock.now()):
            number = ejected.ticket.number
            self._tickets.pop(number, None)
            call = self._waiting.pop(number, None)
            if call is not None:
                self._refuse(call, ejected.refusal)
        self._schedule_pump()

    def _start(
        self,
        call: Call,
        work: Awaitable[None],
        ticket: deadline_queues.Ticket | None = None,
    ) -> None:
        task = asyncio.ensure_future(self._guard(call, work, ticket))
        self._running.tasks[call.number] = task

    async def _guard(
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
        self._running.tasks.pop(call.number, None)
        self._choices.routes.pop(call.number, None)
        if call.number not in self._waiting:
            key = (call.sender, call.req.request)
            self._running.calls.pop(key, None)
        if ticket is None:
            return
        now = self._clock.now()
        if self._tickets.get(ticket.number) is ticket:
            self._tickets.pop(ticket.number)
        if done:
            self._admission.finished(ticket, None, now)
        else:
            self._admission.failed(ticket, now)
        self._schedule_pump()

    async def _run(self, call: Call, server: str) -> None:
        """Run an admitted request; it is offered again if it may be retried."""
        limit = max(1, call.deadline - self._clock.now())
        try:
            async with asyncio.timeout(seconds(limit)):
                await self._run_kind(call, server)
        except TimeoutError:
            await call.unknown('no answer before the deadline')
        except _RETRIED as exc:
            sent = getattr(exc, 'sent', False)
            call.primary_only = isinstance(exc, StaleAnswerError)
            await self._again(call, sent=sent, reason=str(exc))

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
            await self._recorded.write(call, server)
        else:
            await self._executor.write(call, server)

    async def _again(self, call: Call, *, sent: bool, reason: str) -> None:
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
            call.tries += 1
            delay = seconds(self._backoff.delay(call.tries))
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._offer_again, call)
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


def _plain(report: BackendReport) -> dict[str, object]:
    """Return a report as plain data for JSON."""
    return {**attrs.asdict(report), 'role': report.role.value}
