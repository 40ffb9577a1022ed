"""Runs faults against a site under load and checks the history.

``python -m emulator.experiment --fault NAME --runs N --seconds S --seed K``
prints JSON. The seed fixes arrivals and choices of the callers; ports, and
with them the placement of the service, differ from run to run.
"""

import argparse
import asyncio
import collections
import itertools
import json
import pathlib
import re
import shutil
import sys
import tempfile
from typing import Any

import attrs
import uvloop

from emulator import audit_checks, checks
from emulator.callers import LOST, Link, RequestError, connect, now
from emulator.cluster import START_LINE, Cluster, Process, Site, running
from emulator.faults import faults
from emulator.history import (
    History,
    Operation,
    VersionSeen,
    check_all,
    load_audits,
)
from emulator.ledger import prepare, read_ledger
from emulator.load import MIXES, Load, Plan
from emulator.scenes import Scene, heal
from monsoonproxy.models import Outcome

#: Importing these modules registers the checks.
CHECK_MODULES = (checks, audit_checks)
_START_LIMIT = 40
#: Time in s for which the load runs before the fault.
_WARM_UP = 2
#: Time in s beyond the arrivals until a run is given up.
_PATIENCE = 60
#: Age in ms that the catalogue reaches before the load starts.
_SETTLE = 1
#: Time in ms that a daemon has to learn that a backend server is leaving.
_LEAVING_KNOWN = 3_000
_SHOWN = 10
_IN_FORCE = re.compile(r'Configuration version (\d+) is in force')


@attrs.frozen
class Run:
    """A finished run.

    :param history: What it left behind.
    :param scene: What was done to the site.
    :param dropped: Arrivals that no caller was free for.
    :param recovered: Time in ms from the end of the load until a write was
        acknowledged; -1 if none was.
    """

    history: History
    scene: Scene
    dropped: int
    recovered: int

    def figures(self) -> dict[str, Any]:
        """Measure the run.

        :returns: Figures by name.
        """
        history = self.history
        violations = check_all(history)
        names = collections.Counter(each.invariant for each in violations)
        reads = audit_checks.replica_share(history.audits, ' FROM ledger')
        started = history.operations[0].invoked if history.operations else 0
        return {
            'violations': dict(names),
            'examples': [each.explanation for each in violations[:_SHOWN]],
            'operations': len(history.operations),
            'outcomes': outcomes(history.operations),
            'codes': dict(
                collections.Counter(each.code for each in history.operations)
            ),
            'lost_connections': dict(
                collections.Counter(
                    each.session.daemon
                    for each in history.operations
                    if each.code == LOST
                )
            ),
            'late_work': late_work(self),
            'silent': sum(_is_silent(each) for each in history.operations),
            'failover_gap_ms': write_gap(
                history.operations, self.scene.injected
            ),
            'recovered_ms': self.recovered,
            'reads_by_replicas': reads[0],
            'reads': reads[1],
            'dropped': self.dropped,
            'notes': [
                f'{moment - started} ms: {text}'
                for moment, text in self.scene.notes
            ],
        }


def outcomes(operations: list[Operation]) -> dict[str, dict[str, int]]:
    """Count tries by class and outcome.

    :param operations: The tries.
    :returns: Counts by class, then outcome.
    """
    found: dict[str, dict[str, int]] = {}
    for each in operations:
        counts = found.setdefault(each.request_class, {})
        counts[each.outcome.value] = counts.get(each.outcome.value, 0) + 1
    return found


def write_gap(operations: list[Operation], since: int) -> int:
    """Measure the longest time without an acknowledged write.

    :param operations: The tries.
    :param since: Time in ms of the fault.
    :returns: The time in ms, from the last acknowledgement before the fault
        on; -1 if no write was acknowledged after the fault.
    """
    moments = sorted(
        each.completed
        for each in operations
        if each.answered and not each.is_read
    )
    before = [moment for moment in moments if moment <= since][-1:]
    after = [moment for moment in moments if moment > since]
    if not after:
        return -1
    pairs = itertools.pairwise(before + after)
    return max((right - left for left, right in pairs), default=0)


def _is_silent(operation: Operation) -> bool:
    return operation.outcome is Outcome.UNKNOWN and operation.code == 0


async def run_once(
    fault: str, plan: Plan, directory: pathlib.Path, site: Site
) -> Run:
    """Run a fault against a fresh site.

    :param fault: Name of the fault.
    :param plan: The load.
    :param directory: An empty directory for logs and states.
    :param site: What to start; its first service gets the load.
    :returns: The run.
    """
    service = site.services[0]
    # A third of the time remains for the recovery.
    hold = max(1, (plan.seconds - _WARM_UP) / 3)
    async with running(site, directory) as cluster:
        scene = Scene(cluster, service, hold)
        await serving(cluster, service)
        await asyncio.sleep(_SETTLE)
        addresses = {each.name: each.address for each in cluster.daemons}
        load = Load(plan, addresses, service)
        async with asyncio.timeout(plan.seconds + _PATIENCE):
            await asyncio.gather(load.run(), _inject(fault, scene))
        recovered = await _recovery(cluster, service)
        history = History(
            load.operations,
            await read_ledger(await _to(await scene.primary(), service)),
            load_audits(directory / f'{name}.jsonl' for name in scene.members),
            versions(cluster),
        )
    return Run(history, scene, load.dropped, recovered)


async def _inject(fault: str, scene: Scene) -> None:
    await asyncio.sleep(_WARM_UP)
    try:
        await faults.get(fault)(scene)
    finally:
        await heal(scene)


async def _to(process: Process, service: str) -> Link:
    return await connect(process.name, process.address, service)


async def serving(cluster: Cluster, service: str) -> None:
    """Wait until a site serves writes, and create the tables of the load.

    :param cluster: The site.
    :param service: The service.
    """
    async with asyncio.timeout(_START_LIMIT):
        while not await _prepared(cluster.daemons[0], service):
            await asyncio.sleep(0.2)


async def _prepared(daemon: Process, service: str) -> bool:
    try:
        link = await _to(daemon, service)
    except OSError:
        return False
    try:
        await prepare(link)
    except RequestError:
        return False
    finally:
        link.close()
    return True


async def _recovery(cluster: Cluster, service: str) -> int:
    """Return the time in ms until each daemon has had a write acknowledged."""
    started = now()
    for daemon in cluster.daemons:
        while not await _prepared(daemon, service):
            if now() - started > _START_LIMIT * 1000:
                return -1
            await asyncio.sleep(0.1)
    return now() - started


def versions(cluster: Cluster) -> list[VersionSeen]:
    """Read the configuration versions in force from the daemons' logs.

    :param cluster: The site.
    :returns: The versions, in order for each start of a daemon.
    """
    found = []
    for daemon in cluster.daemons:
        start = 0
        for line in daemon.log.read_text().splitlines():
            start += line == START_LINE
            match = _IN_FORCE.search(line)
            if match:
                name = f'{daemon.name} start {start}'
                found.append(VersionSeen(name, int(match.group(1))))
    return found


def late_work(run: Run) -> int:
    """Count new work that a leaving backend server still got.

    :param run: A run.
    :returns: The number of statements that began a transaction, or were one,
        later than a few seconds after the server had said that it leaves.
    """
    server, begun, ended = run.scene.left
    seen: set[str] = set()
    late = 0
    for line in run.history.audits:
        if line['kind'] == 'statement' and line['server'] == server:
            is_new = line['transaction'] not in seen
            seen.add(line['transaction'])
            late += is_new and begun + _LEAVING_KNOWN <= line['at'] < ended
    return late


def main() -> int:
    """Run the experiment named on the command line.

    :returns: The exit code: 1 if an invariant was violated.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--fault', choices=faults.names(), default='none')
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=14)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rate', type=float, default=60)
    parser.add_argument('--mix', choices=sorted(MIXES), default='al-suwaiq')
    parser.add_argument(
        '--service-lines', default='', help='further TOML lines of the service'
    )
    parser.add_argument('--keep', help='keep logs and states there')
    options = parser.parse_args()
    results = []
    for seed in range(options.seed, options.seed + options.runs):
        plan = Plan(
            options.seconds, options.rate, seed=seed, mix=MIXES[options.mix]
        )
        figures = _figures(options, plan)
        results.append({'fault': options.fault, 'seed': seed, **figures})
        print(json.dumps(results[-1], indent=2), flush=True)
    return int(any(result['violations'] for result in results))


def _figures(options: argparse.Namespace, plan: Plan) -> dict[str, Any]:
    directory = pathlib.Path(tempfile.mkdtemp(prefix='monsoonproxy-'))
    site = Site(service_lines=options.service_lines)
    try:
        run = uvloop.run(run_once(options.fault, plan, directory, site))
        return run.figures()
    finally:
        if options.keep:
            name = f'{options.fault}-{plan.seed}'
            target = pathlib.Path(options.keep) / name
            shutil.copytree(directory, target, dirs_exist_ok=True)
        shutil.rmtree(directory)


if __name__ == '__main__':
    sys.exit(main())
