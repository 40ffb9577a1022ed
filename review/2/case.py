"""A daemon that is stopped cuts off statements of transactions."""

import asyncio
import contextlib
import itertools
import pathlib
import random
import time

import attrs

from harness import site as deployment
from harness.callers import Client, Sent
from harness.site import GRACE, Daemon, Site
from stand_ins.sessions import ExecutedStatement

#: Sessions of all clients, the statements of a transaction, and the pause in s
#: after each.
_SESSIONS = 64
_STATEMENTS = 11
_THINKING = 0.38
#: Sessions of a single read per second.
_LOOKUPS = 50
#: Time in s that a statement occupies a slot of a database.
_WORK = 0.022
#: Rounds of planned restarts, the pause in s between two restarts of a round,
#: the daemons of a round, and the pause after a round.
_ROUNDS = 10
_GAP = 1.3
_RESTARTED = 2
_SETTLING = 1.5
#: Time in s after SIGTERM from which on a request counts although its database
#: may be at work until the end of the grace time, and until which it counts.
_COUNTS_FROM = 3
_COUNTS_UNTIL = GRACE + 1
_MISSES = 2
_RECORD = pathlib.Path(__file__).with_name('record.txt')


@attrs.define
class _Balancer:
    """Forwards new connections as the platform does, in one zone.

    :param site: The deployment.
    :param misses: Failed probes in a row, by name of the daemon.
    """

    site: Site
    misses: dict[str, int] = attrs.Factory(dict)

    async def probe(self) -> None:
        """Probe each daemon once a second."""
        while True:
            await asyncio.gather(*map(self._probe, self.site.daemons))
            await asyncio.sleep(1)

    def choose(self) -> Daemon:
        """Return the daemon that gets a new connection.

        If fewer than half of the daemons are in rotation, all are used.
        """
        daemons = self.site.daemons
        usable = [
            daemon
            for daemon in daemons
            if self.misses.get(daemon.name, 0) < _MISSES
        ]
        is_few = 2 * len(usable) < len(daemons)
        return random.choice(daemons if is_few else usable)

    async def _probe(self, daemon: Daemon) -> None:
        is_ready = await daemon.is_ready()
        misses = self.misses.get(daemon.name, 0)
        self.misses[daemon.name] = 0 if is_ready else misses + 1


async def _run_transactions(balancer: _Balancer, log: list[Sent]) -> None:
    """Run transactions one after the other; reconnect after a close."""
    await asyncio.sleep(random.uniform(0, _SETTLING))
    while True:
        daemon = balancer.choose()
        client = Client(daemon.name, daemon.address, log)
        try:
            await client.open('status')
            while True:
                await _run_transaction(client)
        except (ConnectionError, OSError):
            await asyncio.sleep(0.1)


async def _run_lookup(daemon: Daemon, log: list[Sent]) -> None:
    client = Client(daemon.name, daemon.address, log)
    with contextlib.suppress(ConnectionError, OSError):
        await client.open('status')
        await client.run('READ item')
        client.close()


async def _run_lookups(balancer: _Balancer, log: list[Sent]) -> None:
    """Open sessions of a single read at random times."""
    tasks = set()
    while True:
        work = _run_lookup(balancer.choose(), log)
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(_LOOKUPS))


async def _run_transaction(client: Client) -> None:
    await client.run('BEGIN READ')
    for _ in range(_STATEMENTS):
        sent = await client.run('READ item')
        if not sent.succeeded:
            await client.run('ROLLBACK')
            return
        await asyncio.sleep(random.uniform(0.5, 1.5) * _THINKING)
    await client.run('COMMIT')
    await asyncio.sleep(random.uniform(0.5, 1.5) * _THINKING)


async def _restart_some(site: Site, stops: list[tuple[str, float]]) -> None:
    """Restart two of the three daemons, one after the other."""
    chosen = random.sample(site.daemons, _RESTARTED)
    restarts = []
    for daemon in chosen:
        restarts.append(asyncio.create_task(daemon.restart()))
        await asyncio.sleep(0)
        stops.append((daemon.name, daemon.stopped_at or 0))
        await asyncio.sleep(_GAP)
    await asyncio.gather(*restarts)
    while not all([await each.is_ready() for each in site.daemons]):
        await asyncio.sleep(0.2)


def _violations(
    log: list[Sent], stops: list[tuple[str, float]], ran: set[str]
) -> list[str]:
    """Explain each request that was passed on and not answered."""
    return [
        f'{sent.daemon} got request {sent.request_id} {sent.at - at:.3f} s'
        ' after its SIGTERM and passed it on; the connection ended'
        f' {sent.ended_at - sent.at:.3f} s later without an answer'
        for sent, (name, at) in itertools.product(log, stops)
        if sent.answer is None
        and sent.request_id in ran
        and name == sent.daemon
        and _COUNTS_FROM < sent.at - at < _COUNTS_UNTIL
    ]


def _start_clients(site: Site, log: list[Sent]) -> list[asyncio.Task[None]]:
    balancer = _Balancer(site)
    work = [_run_transactions(balancer, log) for _ in range(_SESSIONS)]
    work += [balancer.probe(), _run_lookups(balancer, log)]
    return list(map(asyncio.create_task, work))


async def _main() -> None:
    log: list[Sent] = []
    stops: list[tuple[str, float]] = []
    async with deployment.running_site() as site:
        for database in site.databases:
            database.faults.work = _WORK
        tasks = _start_clients(site, log)
        await asyncio.sleep(2 * _SETTLING)
        for _ in range(_ROUNDS):
            if deployment.is_disturbed():
                await _restart_some(site, stops)
            await asyncio.sleep(_SETTLING)
        # Cancelling the clients ends the statements that are under way.
        ended_at = time.monotonic()
        for task in tasks:
            task.cancel()
        executed = site.group.executed
    _judge(executed, [sent for sent in log if sent.ended_at < ended_at], stops)


def _judge(
    executed: list[ExecutedStatement],
    log: list[Sent],
    stops: list[tuple[str, float]],
) -> None:
    lines = [str(entry) for entry in (*log, *executed)]
    lines += [f'SIGTERM to {name} at {at}' for name, at in stops]
    ran = {each.request_id.decode() for each in executed}
    deployment.finish(_RECORD, lines, _violations(log, stops, ran))


if __name__ == '__main__':
    asyncio.run(_main())
