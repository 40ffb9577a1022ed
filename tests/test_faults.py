"""Short runs of faults over real processes.

They assert on invariants, and on the bound of 10 s that a failover never
exceeds, so that the speed of the machine doesn't decide.
"""

import pathlib
import tempfile

from emulator.callers import Link, RequestError, connect
from emulator.cluster import Site, running
from emulator.experiment import Run, run_once, serving
from emulator.history import Kind, check_all
from emulator.ledger import Job, read_ledger, run, texts_of
from emulator.load import Plan
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_LONGEST_FAILOVER = 10_000


async def _run(fault: str) -> Run:
    """Run a fault and check what holds after every fault."""
    with tempfile.TemporaryDirectory() as directory:
        run = await run_once(
            fault, Plan(seconds=8, rate=40), pathlib.Path(directory)
        )
    violations = check_all(run.history)
    assert not violations, violations[:5]
    figures = run.figures()
    assert figures['silent'] == 0, 'a request got no outcome'
    assert 0 <= figures['failover_gap_ms'] <= _LONGEST_FAILOVER, figures
    assert 0 <= run.recovered <= _LONGEST_FAILOVER, figures
    return run


async def test_primary_killed() -> None:
    """Guards against lost, doubled or untrue answers when a primary dies."""
    await _run('kill-primary')


async def test_primary_frozen_and_woken() -> None:
    """Guards against a primary that still acts after it was replaced."""
    await _run('stop-primary')


async def test_daemon_killed() -> None:
    """Guards against transactions and writes left half done by a daemon."""
    await _run('kill-daemon')


async def test_store_down_during_failover() -> None:
    """Guards against a failover that needs the store."""
    await _run('store-down-during')


async def test_operators_race() -> None:
    """Guards against two accepted changes of one version, and a lost one."""
    run = await _run('operators-race')
    # Round 0 starts from version 1; one operator is accepted in each.
    latest = {seen.daemon: seen.version for seen in run.history.versions}
    assert set(latest.values()) == {6}, latest
    accepted = [sorted(each) for each in run.scene.accepted]
    assert accepted == [[0, version] for version in range(2, 7)], accepted


async def test_first_request_id_comes_with_a_commit() -> None:
    """Guards against failing transactions while no request id was recorded."""
    site = Site()
    service = site.services[0]
    with tempfile.TemporaryDirectory() as directory:
        async with running(site, pathlib.Path(directory)) as cluster:
            await serving(cluster, service)
            daemon = cluster.daemons[0]
            link = await connect(daemon.name, daemon.address, service)
            codes = [await _transaction(link) for _ in range(2)]
            rows = await read_ledger(link)
            link.close()
    assert codes == [4100, 0], codes
    assert len(rows) == 2, rows


async def _transaction(link: Link) -> int:
    """Run a transaction and return the code of its error."""
    job = Job(Kind.TRANSACTION, 't1-1', ('k1', 'k2'))
    try:
        await run(link, job, texts_of(job, 1))
    except RequestError as exc:
        return exc.code
    return 0
