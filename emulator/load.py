"""Load generator: callers that write a history of what they saw."""

import asyncio
import collections
import contextlib
import random
from collections.abc import Mapping
from typing import Any

import attrs

from emulator.callers import PATIENCE, Link, Reconnector, RequestError, now
from emulator.history import Kind, Operation, Session
from emulator.ledger import CLASSES, PARTS, Job, parts, run, texts_of
from monsoonproxy.models import Outcome

_MOST_TRIES = 8
#: Longest pause in ms between two tries.
_LONGEST_PAUSE = 3_000
_RECONNECT_PAUSE = 0.1
_ITEMS = 40
_OWN_ITEMS = 5


@attrs.frozen
class Mix:
    """The requests of a deployment.

    :param shares: Share of each kind of request.
    :param bounds: Age bounds in ms of enquiries, equally often.
    :param catalogue: Share of the enquiries that read rows that never change.
    """

    shares: Mapping[Kind, float]
    bounds: tuple[int, ...]
    catalogue: float = 0.2


#: Al Suwaiq: confirmations, return notes and stock enquiries.
AL_SUWAIQ = Mix(
    {
        Kind.BOOKING: 0.2,
        Kind.RETURN: 0.15,
        Kind.TRANSACTION: 0.1,
        Kind.ENQUIRY: 0.55,
    },
    (0, 500),
)
#: Gqeberha: bookings with payment, workshop marks and portal checks.
GQEBERHA = Mix(
    {
        Kind.BOOKING: 0.05,
        Kind.RETURN: 0.15,
        Kind.TRANSACTION: 0.15,
        Kind.ENQUIRY: 0.65,
    },
    (0, 200),
)
MIXES = {'al-suwaiq': AL_SUWAIQ, 'gqeberha': GQEBERHA}


@attrs.frozen
class Plan:
    """How much load, and for how long.

    :param seconds: Duration of the arrivals.
    :param rate: Mean arrivals per s.
    :param callers: Number of callers.
    :param seed: Seed of all choices.
    :param mix: What is asked.
    :param limit: Greatest number of arrivals.
    :param moves: Probability that a caller changes to another daemon after a
        request.
    """

    seconds: float
    rate: float = 100
    callers: int = 24
    seed: int = 1
    mix: Mix = AL_SUWAIQ
    limit: int = 20_000
    moves: float = 0.05


class Caller:
    """Makes one request at a time and records how it ended.

    :param name: Its name.
    :param reconnector: Its connection.
    :param seed: Seed of its choices.
    :param moves: Probability of a move after a request.
    """

    def __init__(
        self, name: str, reconnector: Reconnector, seed: str, moves: float
    ) -> None:
        self.name = name
        self.operations: list[Operation] = []
        self._reconnector = reconnector
        self._rng = random.Random(seed)
        self._moves = moves
        self._uses_token = self._rng.choice((True, False))
        self._token = ''
        self._own: collections.deque[str] = collections.deque(maxlen=_OWN_ITEMS)

    async def perform(self, job: Job) -> None:
        """Make a request, with the tries that a caller would make.

        :param job: The request.
        """
        if job.kind is Kind.ENQUIRY and self._own and not job.catalogue:
            if self._rng.choice((True, False)):
                own = self._rng.choice(self._own)
                job = attrs.evolve(job, items=(own,))
        tries = 1 if job.kind is Kind.ENQUIRY else _MOST_TRIES
        for attempt in range(1, tries + 1):
            pause = await self._try(job, attempt)
            if pause is None:
                break
            await asyncio.sleep(min(pause, _LONGEST_PAUSE) / 1000)
        if self._rng.random() < self._moves:
            self._reconnector.drop()

    def close(self) -> None:
        """Close the connection."""
        self._reconnector.drop()

    async def _try(self, job: Job, attempt: int) -> int | None:
        """Make one try and return the pause in ms before the next one."""
        try:
            link = await self._reconnector.get(self._token)
        except OSError:
            return int(_RECONNECT_PAUSE * 1000)
        texts = texts_of(job, attempt)
        operation = Operation(
            Session(
                self.name, self._reconnector.number, link.daemon, link.token
            ),
            job.kind,
            job.request,
            job.items,
            now(),
            0,
            Outcome.ANSWERED,
            attempt,
            CLASSES[job.kind],
            texts=texts,
            max_age=job.max_age,
            expected=parts(job.items[0]) if job.catalogue else None,
        )
        pause = None
        try:
            rows = await run(link, job, texts)
        except RequestError as exc:
            pause = exc.retry_after
            self._record(operation, outcome=exc.outcome, code=exc.code)
            await self._recover(link, exc, job)
        else:
            self._record(operation, rows=rows)
            await self._answered(link, job)
        return pause

    def _record(self, operation: Operation, **found: Any) -> None:
        ended = attrs.evolve(operation, completed=now(), **found)
        self.operations.append(ended)

    async def _recover(self, link: Link, exc: RequestError, job: Job) -> None:
        """Make the connection usable, or drop it."""
        alive = exc.alive
        if alive and job.kind is Kind.TRANSACTION:
            try:
                await link.run('ROLLBACK', PATIENCE)
            except RequestError as second:
                alive = second.alive
        if not alive:
            self._reconnector.drop()

    async def _answered(self, link: Link, job: Job) -> None:
        """Note the item of a write, and fetch the token that covers it."""
        if job.kind is Kind.ENQUIRY:
            return
        self._own.append(job.items[0])
        self._token = ''
        if self._uses_token:
            with contextlib.suppress(RequestError, LookupError):
                rows = await link.run('SELECT @@monsoonproxy_token', PATIENCE)
                self._token = str(rows[0][0])


class Load:
    """Open-loop arrivals, served by a fixed number of callers.

    :param plan: How much.
    :param addresses: Caller addresses of the daemons by name.
    :param service: The service.
    """

    def __init__(
        self, plan: Plan, addresses: Mapping[str, str], service: str
    ) -> None:
        self.plan = plan
        self.dropped = 0
        self._rng = random.Random(plan.seed)
        self._jobs: asyncio.Queue[Job] = asyncio.Queue(plan.callers * 4)
        self._callers = [
            Caller(
                f'caller-{number}',
                Reconnector(
                    addresses, service, random.Random(f'{plan.seed} {number}')
                ),
                f'{plan.seed}/{number}',
                plan.moves,
            )
            for number in range(plan.callers)
        ]

    @property
    def operations(self) -> list[Operation]:
        """Return what the callers have recorded.

        :returns: Operations in the order of their completion.
        """
        found = [each for caller in self._callers for each in caller.operations]
        # The sort is stable and keeps the order of each caller.
        return sorted(found, key=lambda operation: operation.completed)

    async def run(self) -> None:
        """Generate the arrivals, then wait until each has ended."""
        tasks = [
            asyncio.create_task(self._serve(caller)) for caller in self._callers
        ]
        start = now()
        due = float(0)
        for number in range(self.plan.limit):
            due += self._rng.expovariate(self.plan.rate)
            if due > self.plan.seconds:
                break
            await asyncio.sleep(max(0, start / 1000 + due - now() / 1000))
            try:
                self._jobs.put_nowait(self._job(number))
            except asyncio.QueueFull:
                self.dropped += 1
        joined = asyncio.create_task(self._jobs.join())
        # A caller's task ends by itself only with an unexpected error.
        await asyncio.wait(
            {joined, *tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (joined, *tasks):
            if task.done():
                task.result()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, caller: Caller) -> None:
        with contextlib.closing(caller):
            while True:
                job = await self._jobs.get()
                await caller.perform(job)
                self._jobs.task_done()

    def _job(self, number: int) -> Job:
        rng = self._rng
        mix = self.plan.mix
        kind = rng.choices(list(mix.shares), list(mix.shares.values()))[0]
        request = f'{kind.value[0]}{self.plan.seed}-{number}'
        items = rng.sample(range(_ITEMS), 2 if kind is Kind.TRANSACTION else 1)
        keys = tuple(f'k{item}' for item in items)
        if kind is not Kind.ENQUIRY:
            return Job(kind, request, keys)
        catalogue = rng.random() < mix.catalogue
        if catalogue:
            keys = (f'p{rng.randrange(PARTS)}',)
        return Job(kind, request, keys, rng.choice(mix.bounds), catalogue)
