"""A holder's view of one group of backend servers, and its failover."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping, Set

from monsoonproxy import claims, quorum, signals
from monsoonproxy.backends import Backend
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.failover import Failover
from monsoonproxy.logs import log_for
from monsoonproxy.models import BackendReport, Position
from monsoonproxy.routing import Router, RoutingRules
from monsoonproxy.steps import Steps

_log = log_for('group')

#: Time in ms after which a wait asks the backend servers again.
_ASK_AGAIN = 25
#: Pause in seconds while the clock has not reached the next ms.
_CLOCK_STEP = 0.0005


class Group:
    """Feeds reports to the decisions about a group and runs their commands.

    :param service: Name of the service.
    :param backends: Backend servers by name.
    :param claim: Claims terms in the table service.
    :param failover: The failover's state machine.
    :param clock: Source of time.
    """

    def __init__(
        self,
        service: str,
        backends: Mapping[str, Backend],
        claim: claims.TermClaims,
        failover: Failover,
        clock: Clock,
    ) -> None:
        self.service = service
        self.backends = dict(backends)
        self.failover = failover
        self.router = Router(backends, RoutingRules())
        self._steps = Steps(service, self.backends, claim)
        self._clock = clock
        #: Called after each report.
        self.on_change: Callable[[], None] = lambda: None
        self._changed = asyncio.Event()
        self._tasks = Background()
        self._task_group: asyncio.TaskGroup | None = None
        self._watchers: dict[str, tuple[asyncio.Task[None], ...]] = {}
        self._last_primary: str | None = None
        self._silent: set[str] = set()
        #: Backend servers that get no new work.
        self.leaving: frozenset[str] = frozenset()
        #: Whether a write is acknowledged only once a majority has it.
        self.waits_for_majority = True
        #: Latest position of the primary and when it was asked for.
        self._samples: dict[str, tuple[Position, Millis]] = {}

    @property
    def view(self) -> quorum.GroupView:
        """What is known of the group's terms and positions."""
        return self.failover.evidence.view

    async def run(self) -> None:
        """Watch the backend servers until cancelled."""
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

        :param backends: The backend servers to have from now on. Those with a
            known name stay as they are.
        :param leaving: Names of those that get no new work.
        """
        removed = self.backends.keys() - backends.keys()
        for name in backends.keys() - self.backends.keys():
            self.backends[name] = backends[name]
            self.router.add(name)
            self._watch(backends[name])
        names = tuple(backends)
        self.handle(signals.MembersChanged(names))
        for name in removed:
            await self._forget(name)
        for name in self.leaving - leaving:
            self.router.add(name)
        self.leaving = frozenset(leaving)
        for name in leaving:
            self.mark_leaving(name)
        self._notify()

    async def _forget(self, name: str) -> None:
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
        """Give a backend server no new work.

        :param name: Its name.
        """
        self.router.set_leaving(name)
        if name == self.view.primary:
            self.handle(signals.SwitchRequested(name))

    async def close(self) -> None:
        """Close the connections to all backend servers."""
        for backend in self.backends.values():
            await backend.close()

    def handle(self, event: signals.Event) -> None:
        """Pass an event to the failover and run its commands.

        :param event: What happened.
        """
        for command in self.failover.handle(event, self._clock.now()):
            self._run(command)

    def committed_at(
        self, name: str, position: Position, sent_at: Millis
    ) -> None:
        """Take in the position of a commit on the primary.

        :param name: The primary.
        :param position: The position in its answer.
        :param sent_at: When the commit was sent.
        """
        self.view.observe_commit(name, position)
        self.router.observe_commit(position, sent_at)

    def fate(self, position: Position) -> bool | None:
        """Tell what became of a write.

        :param position: Position of the write.
        :returns: ``True`` if it is acknowledged, ``False`` if a later term
            went on without it, ``None`` if that isn't known yet.
        """
        view = self.view
        if view.acknowledged(position) or not self.waits_for_majority:
            return True
        done = view.committed
        if done is None or done.term <= position.term or not view.lineage:
            return None
        return quorum.contains(view.lineage, position)

    async def wait_fate(self, position: Position, deadline: int) -> bool | None:
        """Wait until :meth:`fate` is known.

        :param position: Position of the write.
        :param deadline: When to stop waiting.
        :returns: What :meth:`fate` returned last.
        """
        await self._wait(lambda: self.fate(position) is not None, deadline)
        return self.fate(position)

    async def confirm(self, since: Millis, deadline: int) -> bool:
        """Wait until a majority confirmed the term after a time.

        The clock drops fractions, so only a poll sent at a later ms counts.

        When this returns ``True``, a majority has also received all that an
        answer of the primary before ``since`` may contain.

        :param since: The time.
        :param deadline: When to stop waiting.
        :returns: Whether it was confirmed.
        """
        while self._clock.now() <= since:
            await asyncio.sleep(_CLOCK_STEP)
        self.ask(since, everyone=False)
        return await self._wait(
            lambda: self._confirmed(since), deadline, ask_since=since
        )

    def position_since(self, since: Millis) -> Position | None:
        """Return a position that covers all writes before a time.

        :param since: The time.
        :returns: The primary's position, or ``None`` if no status has arrived
            that was asked for since then.
        """
        sample = self._samples.get(self.view.primary or '')
        if sample is None or sample[1] <= since:
            return None
        return sample[0]

    def _confirmed(self, since: Millis) -> bool:
        confirmed_at = self.view.confirmed_at
        if confirmed_at is None or confirmed_at <= since:
            return False
        primary = self.view.primary
        sample = self._samples.get(primary) if primary else None
        if sample is None or sample[1] <= since:
            return False
        done = self.view.committed
        return done is not None and done >= sample[0]

    async def _wait(
        self,
        condition: Callable[[], bool],
        deadline: int,
        *,
        ask_since: Millis | None = None,
    ) -> bool:
        while not condition():
            now = self._clock.now()
            if now >= deadline:
                return False
            pause = min(deadline - now, _ASK_AGAIN)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(pause)):
                    await self._changed.wait()
            if ask_since is not None and not condition():
                waited = self._clock.now() - now
                self.ask(ask_since, everyone=waited >= _ASK_AGAIN)
        return True

    def ask(self, since: Millis, *, everyone: bool = True) -> None:
        """Ask backend servers for a status of a later time.

        Those that have been asked since then are not asked again.

        :param since: The time.
        :param everyone: Ask all of them, and not just enough for a majority.
        """
        names = sorted(self.backends, key=self._last_to_ask)
        if not everyone:
            names = names[: quorum.majority(len(names))]
        for name in names:
            self.backends[name].request_probe(since)

    def _last_to_ask(self, name: str) -> tuple[bool, bool]:
        """Sort the primary first, then members that were heard from lately."""
        is_primary = name == self.view.primary
        return not is_primary, name in self._silent

    def _observe(
        self, name: str, report: BackendReport, sent_at: Millis
    ) -> None:
        now = self._clock.now()
        self._silent.discard(name)
        if report.leaving and name not in self.leaving:
            self.leaving |= {name}
            self.mark_leaving(name)
        self.handle(signals.Reported(name, report, sent_at))
        view = self.view
        self.router.set_group(view.term, view.primary, view.confirmed_at, now)
        self.router.observe(name, report, sent_at, now)
        if name == view.primary and report.log_term == view.term:
            position = Position(report.log_term, report.received)
            last = self._samples.get(name)
            if last is None or last[1] <= sent_at:
                self._samples = {name: (position, sent_at)}
        self._notify()

    def _unreachable(self, name: str, refused: bool) -> None:
        self._silent.add(name)
        self.handle(signals.Unreachable(name, refused))
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
            self.handle(signals.Tick())
            self._notify()

    def _run(self, command: signals.Command) -> None:
        if isinstance(command, signals.Probe):
            self.backends[command.name].request_probe(self._clock.now())
        elif isinstance(command, signals.PrimaryChanged):
            self._primary_changed(command)
        elif isinstance(command, signals.GiveUp):
            _log.info(
                '{}: A failover attempt ended: {}', self.service, command.reason
            )
        else:
            self._tasks.spawn(self._step(command))

    def _primary_changed(self, command: signals.PrimaryChanged) -> None:
        _log.info(
            '{}: {} is primary in term {}',
            self.service,
            command.name,
            command.term,
        )
        replaced = self.backends.get(self._last_primary or '')
        if replaced is not None:
            # Its statements can no longer be acknowledged.
            replaced.abort('the primary was replaced')
        self._last_primary = command.name

    async def _step(self, command: signals.Command) -> None:
        event = await self._steps.run(command)
        if event is not None:
            self.handle(event)
            self._notify()

    def touch(self) -> None:
        """Note that the service is in use."""
        for backend in self.backends.values():
            backend.mark_in_use()

    def stop_lending(self) -> None:
        """Close idle connections; leased ones close on their return."""
        for backend in self.backends.values():
            backend.stop_lending()


def candidate_name(address: str, rng: random.Random) -> str:
    """Return a name for a daemon's incarnation as a candidate.

    :param address: Address of the daemon.
    :param rng: Source of the random part.
    :returns: A name that a restarted daemon does not use again.
    """
    incarnation = hex(rng.getrandbits(64))
    return f'{address}/{incarnation}'
