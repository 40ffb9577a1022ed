"""Service side: the queue, the transactions and the reads of one service."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable, Mapping

import attrs
from msgspec.structs import replace

from monsoonproxy import admission, executions, messages, queues, retries
from monsoonproxy.calls import Call, Send
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.declarations import Service
from monsoonproxy.exceptions import (
    BackendError,
    ConnectionLostError,
    MarksError,
    PeerError,
    TermChangedError,
)
from monsoonproxy.executions import RETRY_AFTER, Executor, Transaction
from monsoonproxy.groups import Group
from monsoonproxy.logs import log_for
from monsoonproxy.models import StatementKind
from monsoonproxy.routing import Load, ReadRequest, Route, WaitFor

_log = log_for('holder')

_BAD_MARK = 4102
_SQLSTATE = 'HY000'
#: Time in ms between two looks at deadlines and entry sides that have gone.
_SWEEP_INTERVAL = 20
_ENDS = frozenset((StatementKind.COMMIT, StatementKind.ROLLBACK))


@attrs.define
class _Running:
    """The tasks and transactions of a holder."""

    calls: dict[tuple[bytes, int], Call] = attrs.Factory(dict)
    tasks: dict[int, asyncio.Task[None]] = attrs.Factory(dict)
    transactions: dict[tuple[bytes, int], Transaction] = attrs.Factory(dict)
    routes: dict[int, Route] = attrs.Factory(dict)


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
        rules = admission.AdmissionRules(
            weights={
                name: rule.weight for name, rule in service.classes.items()
            },
            queue_limit=service.queue_limit,
        )
        self._admission = admission.Admission(rules, rng)
        budget = retries.RetryRules(ratio=service.retry_budget)
        self._budget = retries.RetryBudget(budget, clock.now())
        self._waiting: dict[int, Call] = {}
        self._tickets: dict[int, queues.Ticket] = {}
        self._running = _Running()
        self._pump_due = False
        self.reads: dict[str, int] = {}

    async def run(self) -> None:
        """Watch deadlines until cancelled, then roll back transactions."""
        try:
            while True:
                self._sweep()
                await asyncio.sleep(seconds(_SWEEP_INTERVAL))
        finally:
            for task in self._running.tasks.values():
                task.cancel()
            for key in list(self._running.transactions):
                self.end_session(*key)

    def open_requests(self) -> int:
        """Return the number of requests in flight.

        :returns: Waiting and running requests and open transactions.
        """
        running = self._running
        return (
            len(self._waiting) + len(running.tasks) + len(running.transactions)
        )

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
        tx = self._running.transactions.get(call.key)
        if tx is not None:
            self._start(call, self._run_in_transaction(call, tx))
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
            self._admission.cancel(self._tickets.pop(call.number))
            self._running.calls.pop((sender, message.request), None)
        elif call.kind is StatementKind.READ:
            task = self._running.tasks.get(call.number)
            if task is not None:
                task.cancel()

    def end_session(self, sender: bytes, session: int) -> None:
        """Roll back a session's transaction.

        :param sender: Identity of the entry side's socket.
        :param session: Number of the session.
        """
        tx = self._running.transactions.pop((sender, session), None)
        if tx is not None and not tx.busy:
            # Closing the connection makes the backend server roll back.
            self.group.backends[tx.server].release(tx.lease)

    def end_sender(self, sender: bytes) -> None:
        """Roll back all transactions of an entry side that has gone.

        :param sender: Identity of its socket.
        """
        for key in list(self._running.transactions):
            if key[0] == sender:
                self.end_session(*key)

    def senders(self) -> set[bytes]:
        """Return the entry sides with an open transaction.

        :returns: Identities of their sockets.
        """
        return {sender for sender, _session in self._running.transactions}

    def group_changed(self) -> None:
        """Look at the queue again after a report of a backend server."""
        view = self.group.view
        slots = {}
        for name in self.group.backends:
            report = view.report(name)
            if report is not None and not report.leaving:
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
                'report': attrs.asdict(report) if report else None,
            }
        return {
            'service': self.service.name,
            'term': view.term,
            'primary': view.primary,
            'queue': len(self._admission),
            'running': len(self._running.tasks),
            'transactions': len(self._running.transactions),
            'reads_by_reason': self.reads,
            'members': members,
        }

    def _offer(self, call: Call) -> None:
        now = self._clock.now()
        is_read = call.kind is StatementKind.READ
        ticket = queues.Ticket(
            call.number,
            call.req.request_class,
            StatementKind.READ if is_read else StatementKind.WRITE,
            call.arrived,
            call.deadline,
            replica=is_read and not call.primary_only,
        )
        verdict = self._admission.offer(ticket, now)
        if isinstance(verdict, admission.Refused):
            self._refuse(call, verdict)
            return
        self._waiting[call.number] = call
        self._tickets[call.number] = ticket
        self._schedule_pump()

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
        for start in self._admission.next_ready(now, self._choose):
            number = start.ticket.number
            call = self._waiting.pop(number)
            self._start(call, self._run(call, start.server), start.ticket)

    def _sweep(self) -> None:
        for ejected in self._admission.expired(self._clock.now()):
            number = ejected.ticket.number
            self._tickets.pop(number, None)
            call = self._waiting.pop(number, None)
            if call is not None:
                self._refuse(call, ejected.refusal)
        self._schedule_pump()

    def _choose(
        self, ticket: queues.Ticket, loads: Mapping[str, Load]
    ) -> str | None:
        now = self._clock.now()
        view = self.group.view
        if not ticket.replica:
            if ticket.kind is StatementKind.READ and view.primary:
                route = self.group.router.primary_route()
                self._running.routes[ticket.number] = route
            return view.primary
        call = self._waiting[ticket.number]
        req = ReadRequest(call.req.max_age or 0, call.floor, call.deadline)
        if call.floor is None and call.req.max_age:
            # Without a floor the primary's position at arrival applies.
            return self._choose_unfloored(ticket, call, loads, now)
        return self._take(ticket, req, loads, now)

    def _choose_unfloored(
        self,
        ticket: queues.Ticket,
        call: Call,
        loads: Mapping[str, Load],
        now: Millis,
    ) -> str | None:
        floor = self.group.position_since(call.arrived)
        if floor is None:
            self.group.ask()
            return None
        call.req = replace(call.req, floor=(floor.term, floor.offset))
        req = ReadRequest(call.req.max_age or 0, floor, call.deadline)
        return self._take(ticket, req, loads, now)

    def _take(
        self,
        ticket: queues.Ticket,
        req: ReadRequest,
        loads: Mapping[str, Load],
        now: Millis,
    ) -> str | None:
        choice = self.group.router.choose_read(req, loads, now)
        if isinstance(choice, Route):
            self._running.routes[ticket.number] = choice
            return choice.server
        if isinstance(choice, WaitFor):
            delay = seconds(max(1, choice.until - now))
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._schedule_pump)
        return None

    def _start(
        self,
        call: Call,
        work: Awaitable[None],
        ticket: queues.Ticket | None = None,
    ) -> None:
        task = asyncio.ensure_future(self._guard(call, work, ticket))
        self._running.tasks[call.number] = task

    async def _guard(
        self,
        call: Call,
        work: Awaitable[None],
        ticket: queues.Ticket | None,
    ) -> None:
        done = False
        try:
            await work
            done = True
        except PeerError:
            self.end_session(*call.key)
        except BackendError as exc:
            with contextlib.suppress(PeerError):
                await call.fail(exc.code, exc.sqlstate, exc.message)
        finally:
            self._running.tasks.pop(call.number, None)
            self._running.routes.pop(call.number, None)
            if call.number not in self._waiting:
                key = (call.sender, call.req.request)
                self._running.calls.pop(key, None)
            if ticket is not None:
                self._finish(ticket, done=done)

    def _finish(self, ticket: queues.Ticket, *, done: bool) -> None:
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
        try:
            async with asyncio.timeout(
                seconds(max(1, call.deadline - self._clock.now()))
            ):
                await self._run_kind(call, server)
        except TimeoutError:
            await call.unknown('no answer before the deadline')
        except executions.StaleAnswerError:
            call.primary_only = True
            await self._again(call, sent=False, reason='the answer was stale')
        except TermChangedError:
            await self._again(call, sent=False, reason='the term changed')
        except ConnectionLostError as exc:
            await self._again(call, sent=exc.sent, reason=str(exc))
        except MarksError as exc:
            await call.fail(_BAD_MARK, _SQLSTATE, str(exc))

    async def _run_kind(self, call: Call, server: str) -> None:
        if call.kind is StatementKind.READ:
            route = self._running.routes[call.number]
            key = 'primary: ' if server == self.group.view.primary else ''
            reason = key + route.reason.value
            self.reads[reason] = self.reads.get(reason, 0) + 1
            await self._executor.read(call, route)
        elif call.kind is StatementKind.BEGIN:
            await self._begin(call, server)
        else:
            await self._executor.write(call, server)

    async def _again(self, call: Call, *, sent: bool, reason: str) -> None:
        now = self._clock.now()
        call.attempts += 1
        allowed = retries.may_retry(call.kind, call.req.repeatable, sent)
        if call.kind is StatementKind.BEGIN:
            allowed = True
        if not allowed:
            await call.unknown(reason)
        elif now < call.deadline and self._budget.take(now):
            asyncio.get_running_loop().call_soon(self._offer, call)
            self._waiting[call.number] = call
        elif call.kind is StatementKind.READ and sent:
            await call.unknown(reason)
        else:
            await call.refuse(reason, RETRY_AFTER)

    async def _begin(self, call: Call, server: str) -> None:
        backend = self.group.backends[server]
        lease = await backend.acquire(
            call.number, max(1, call.deadline - self._clock.now())
        )
        try:
            await lease.conn.query(call.req.sql)
        except BaseException:
            backend.release(lease)
            raise
        self._running.transactions[call.key] = Transaction(
            server, self.group.view.term, lease
        )
        await call.end(server, 'transaction', in_transaction=True)

    async def _run_in_transaction(self, call: Call, tx: Transaction) -> None:
        if tx.busy:
            await call.refuse(
                'the transaction is busy', RETRY_AFTER, open_tx=True
            )
            return
        tx.busy = True
        still_open = False
        try:
            async with asyncio.timeout(
                seconds(max(1, call.deadline - self._clock.now()))
            ):
                still_open = await self._step(call, tx)
        except TimeoutError:
            await self._end_broken(call, tx, 'no answer before the deadline')
        except (ConnectionLostError, TermChangedError) as exc:
            await self._end_broken(call, tx, str(exc))
        finally:
            tx.busy = False
            alive = self._running.transactions.get(call.key) is tx
            if not (still_open and alive):
                if alive:
                    self._running.transactions.pop(call.key)
                self.group.backends[tx.server].release(tx.lease)

    async def _step(self, call: Call, tx: Transaction) -> bool:
        if call.kind is StatementKind.COMMIT:
            await self._executor.commit(call, tx)
            tx.lease.clean = False
            return False
        if call.kind is StatementKind.ROLLBACK:
            await tx.lease.conn.query(call.req.sql)
            await call.end(tx.server, 'transaction')
            return False
        return await self._executor.in_transaction(call, tx)

    async def _end_broken(
        self, call: Call, tx: Transaction, reason: str
    ) -> None:
        """Answer a statement whose transaction was lost."""
        if call.kind is not StatementKind.COMMIT:
            await call.refuse(
                f'the transaction was rolled back: {reason}', RETRY_AFTER
            )
        elif call.req.request_id is not None:
            await self._executor.resolve(call, tx.lease)
        else:
            await call.unknown(reason)
