"""One group of backend servers at its holder: polling, waits and failover."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping, Set

from monsoonproxy import failover_events, quorum, term_claims
from monsoonproxy.backends import Backend
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.failover import Failover
from monsoonproxy.failover_steps import StepRunner
from monsoonproxy.logs import log_for
from monsoonproxy.models import BackendReport, Position
from monsoonproxy.routing import Router, RoutingRules

_log = log_for('group')

#: Time without a change after which a wait polls the backend servers again.
_PROBE_RETRY_MS = 25
#: Pause between two readings of the clock, which advances in steps of 1 ms.
_CLOCK_POLL_S = 0.0005


class Group:
    """Feeds reports to the failover and the router and runs their commands.

    :param service: Name of the service.
    :param backends: Backend servers by name.
    :param claim: Claims terms in the table service.
    :param failover: State machine of the failover.
    :param clock: Source of time.
    """

    def __init__(
        self,
        service: str,
        backends: Mapping[str, Backend],
        claim: term_claims.TermClaims,
        failover: Failover,
        clock: Clock,
    ) -> None:
        self.service = service
        self.backends = dict(backends)
        self.failover = failover
        self.router = Router(backends, RoutingRules())
        self._steps = StepRunner(service, self.backends, claim)
        self._clock = clock
        #: Called after each report, failed poll or change of members.
        self.on_change: Callable[[], None] = lambda: None
        self._changed = asyncio.Event()
        self._tasks = Background()
        self._task_group: asyncio.TaskGroup | None = None
        self._watchers: dict[str, tuple[asyncio.Task[None], ...]] = {}
        self._last_primary: str | None = None
        self._unreachable_members: set[str] = set()
        #: Backend servers that get no new work.
        self.leaving: frozenset[str] = frozenset()
        #: Whether a write is acknowledged only once a majority has it.
        self.waits_for_majority = True
        #: Latest position of the primary and when the poll for it was sent.
        self._primary_samples: dict[str, tuple[Position, Millis]] = {}

    @property
    def view(self) -> quorum.GroupView:
        """The group's term, primary and acknowledged position."""
        return self.failover.detector.view

    async def run(self) -> None:
        """Poll the backend servers and run the failover until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                self._task_group = tasks
                for backend in self.backends.values():
                    self._watch(backend)
                tasks.create_task(self._tick())
        finally:
            self._task_group = None
            for task in self._tasks:
                task.cancel()

    async def change_members(
        self, backends: Mapping[str, Backend], leaving: Set[str]
    ) -> None:
        """Replace the backend servers of the group.

        :param backends: The backend servers from now on, by name. A name that
            the group has already keeps its connections.
        :param leaving: Names of those that get no new work.
        """
        removed = self.backends.keys() - backends.keys()
        for name in backends.keys() - self.backends.keys():
            self.backends[name] = backends[name]
            self.router.add(name)
            self._watch(backends[name])
        names = tuple(backends)
        self.handle(failover_events.MembersChanged(names))
        for name in removed:
            await self._remove(name)
        for name in self.leaving - leaving:
            self.router.add(name)
        self.leaving = frozenset(leaving)
        for name in leaving:
            self.mark_leaving(name)
        self._notify()

    async def _remove(self, name: str) -> None:
        self.router.remove(name)
        for task in self._watchers.pop(name, ()):
            task.cancel()
        await self.backends.pop(name).close()

    def _watch(self, backend: Backend) -> None:
        if self._task_group is None:
            return
        backend.schedule = self.router.next_poll
        work = (
            backend.poll(self._observe, self._unreachable),
            backend.probe(self._observe, self._unreachable),
            backend.maintain_pool(),
        )
        self._watchers[backend.name] = tuple(
            self._task_group.create_task(coroutine) for coroutine in work
        )

    def mark_leaving(self, name: str) -> None:
        """Route no new statements to a backend server.

        If it is the primary, a planned switch to another one is requested.

        :param name: Its name.
        """
        self.router.set_leaving(name)
        if name == self.view.primary:
            self.handle(failover_events.SwitchRequested(name))

    async def close(self) -> None:
        """Close the connections to all backend servers."""
        for backend in self.backends.values():
            await backend.close()

    def handle(self, event: failover_events.Event) -> None:
        """Pass an event to the failover and run the commands it returns.

        :param event: The event.
        """
        for command in self.failover.handle(event, self._clock.now()):
            self._run_command(command)

    def record_commit(
        self, name: str, position: Position, sent_at: Millis
    ) -> None:
        """Record the position of a commit on the primary.

        :param name: The primary.
        :param position: The position in its answer.
        :param sent_at: When the commit was sent.
        """
        self.view.observe_commit(name, position)
        self.router.observe_commit(position, sent_at)

    def write_outcome(self, position: Position) -> bool | None:
        """Return whether a write is acknowledged or lost.

        :param position: Position of the write.
        :returns: ``True`` if it is acknowledged, ``False`` if the log of a
            later term doesn't contain it, ``None`` if neither is known yet.
        """
        view = self.view
        if view.acknowledged(position) or not self.waits_for_majority:
            return True
        done = view.committed
        if done is None or done.term <= position.term or not view.lineage:
            return None
        return quorum.contains(view.lineage, position)

    async def wait_for_outcome(
        self, position: Position, deadline: int
    ) -> bool | None:
        """Wait until :meth:`write_outcome` is known.

        :param position: Position of the write.
        :param deadline: When to stop waiting.
        :returns: What :meth:`write_outcome` returned last.
        """
        await self._wait(
            lambda: self.write_outcome(position) is not None, deadline
        )
        return self.write_outcome(position)

    async def confirm_term(self, since: Millis, deadline: int) -> bool:
        """Confirm the term by a quorum read.

        Waits until a majority has confirmed the current term in answers to
        polls that were sent after a time. The clock drops fractions of a ms, so
        only a poll sent at a later ms counts.

        If this returns ``True``, a majority has also received everything that
        an answer of the primary before ``since`` may contain.

        :param since: The time.
        :param deadline: When to stop waiting.
        :returns: Whether the term was confirmed before the deadline.
        """
        while self._clock.now() <= since:
            await asyncio.sleep(_CLOCK_POLL_S)
        self.request_probes(since, all_members=False)
        return await self._wait(
            lambda: self._confirmed(since), deadline, probe_since=since
        )

    def position_since(self, since: Millis) -> Position | None:
        """Return a position that covers all writes before a time.

        :param since: The time.
        :returns: The primary's position, or ``None`` if no report has arrived
            that answers a poll sent after then.
        """
        sample = self._primary_samples.get(self.view.primary or '')
        if sample is None or sample[1] <= since:
            return None
        return sample[0]

    def _confirmed(self, since: Millis) -> bool:
        confirmed_at = self.view.confirmed_at
        if confirmed_at is None or confirmed_at <= since:
            return False
        primary = self.view.primary
        sample = self._primary_samples.get(primary) if primary else None
        if sample is None or sample[1] <= since:
            return False
        done = self.view.committed
        return done is not None and done >= sample[0]

    async def _wait(
        self,
        condition: Callable[[], bool],
        deadline: int,
        *,
        probe_since: Millis | None = None,
    ) -> bool:
        while not condition():
            now = self._clock.now()
            if now >= deadline:
                return False
            pause = min(deadline - now, _PROBE_RETRY_MS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(pause)):
                    await self._changed.wait()
            if probe_since is not None and not condition():
                waited = self._clock.now() - now
                self.request_probes(
                    probe_since, all_members=waited >= _PROBE_RETRY_MS
                )
        return True

    def request_probes(
        self, since: Millis, *, all_members: bool = True
    ) -> None:
        """Poll backend servers that were not polled after a time.

        :param since: The time.
        :param all_members: Poll all of them instead of just a majority.
        """
        names = sorted(self.backends, key=self._probe_order)
        if not all_members:
            names = names[: quorum.majority(len(names))]
        for name in names:
            self.backends[name].request_probe(since)

    def _probe_order(self, name: str) -> tuple[bool, bool]:
        """Sort the primary first and members whose last poll failed last."""
        is_primary = name == self.view.primary
        return not is_primary, name in self._unreachable_members

    def _observe(
        self, name: str, report: BackendReport, sent_at: Millis
    ) -> None:
        now = self._clock.now()
        self._unreachable_members.discard(name)
        if report.leaving and name not in self.leaving:
            self.leaving |= {name}
            self.mark_leaving(name)
        self.handle(failover_events.Reported(name, report, sent_at))
        view = self.view
        self.router.set_group(view.term, view.primary, view.confirmed_at, now)
        self.router.observe(name, report, sent_at, now)
        if name == view.primary and report.log_term == view.term:
            position = Position(report.log_term, report.received)
            last = self._primary_samples.get(name)
            if last is None or last[1] <= sent_at:
                self._primary_samples = {name: (position, sent_at)}
        self._notify()

    def _unreachable(self, name: str, refused: bool) -> None:
        self._unreachable_members.add(name)
        self.handle(failover_events.Unreachable(name, refused))
        self._notify()

    def _notify(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        self.on_change()

    async def _tick(self) -> None:
        while True:
            now = self._clock.now()
            wakeup = self.failover.next_wakeup(now)
            pause = 100 if wakeup is None else max(1, wakeup - now)
            await asyncio.sleep(seconds(pause))
            self.handle(failover_events.Tick())
            self._notify()

    def _run_command(self, command: failover_events.Command) -> None:
        if isinstance(command, failover_events.Probe):
            self.backends[command.name].request_probe(self._clock.now())
        elif isinstance(command, failover_events.PrimaryChanged):
            self._primary_changed(command)
        elif isinstance(command, failover_events.AttemptFailed):
            _log.info(
                '{}: A failover attempt ended, no primary was confirmed: {}',
                self.service,
                command.reason,
            )
        else:
            self._tasks.spawn(self._run_step(command))

    def _primary_changed(self, command: failover_events.PrimaryChanged) -> None:
        _log.info(
            '{}: {} is primary in term {}',
            self.service,
            command.name,
            command.term,
        )
        replaced = self.backends.get(self._last_primary or '')
        if replaced is not None:
            # Statements on the old primary can no longer be acknowledged.
            replaced.abort('the primary was replaced')
        self._last_primary = command.name

    async def _run_step(self, command: failover_events.Command) -> None:
        event = await self._steps.run(command)
        if event is not None:
            self.handle(event)
            self._notify()

    def touch(self) -> None:
        """Record use of the service, so that it is polled more frequently."""
        for backend in self.backends.values():
            backend.mark_in_use()

    def stop_lending(self) -> None:
        """Close idle connections now and leased ones on their return."""
        for backend in self.backends.values():
            backend.stop_lending()


def candidate_name(address: str, rng: random.Random) -> str:
    """Return a name under which this run of a daemon stands as a candidate.

    :param address: Address of the daemon.
    :param rng: Source of the random part.
    :returns: A name that a restarted daemon does not use again.
    """
    incarnation = hex(rng.getrandbits(64))
    return f'{address}/{incarnation}'
