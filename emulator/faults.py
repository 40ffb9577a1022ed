"""Faults that experiments inject into a running site."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from emulator.cluster import Process
from emulator.scenes import Scene
from monsoonproxy.configuration import Configuration
from monsoonproxy.exceptions import PreconditionError
from monsoonproxy.platforms import HttpPlatform
from monsoonproxy.registries import Registry

EVERYONE = ['*']
#: User name of the daemons on the backend servers.
_DAEMONS = 'proxy'
_CONFIGURATION = 'configuration'


Fault = Callable[[Scene], Awaitable[None]]
faults: Registry[Fault] = Registry('fault')


@faults.register('none')
async def no_fault(scene: Scene) -> None:
    """Do nothing, for comparison."""
    scene.note('nothing')
    await asyncio.sleep(scene.hold)


@faults.register('kill-primary')
async def kill_primary(scene: Scene) -> None:
    """Kill the primary; start it again later."""
    primary = await scene.primary()
    scene.note(f'kill {primary.name}')
    await primary.kill()
    await asyncio.sleep(scene.hold)
    scene.note(f'start {primary.name}')
    await primary.start()


@faults.register('cut-primary')
async def cut_primary(scene: Scene) -> None:
    """Cut the primary off from everyone."""
    await _cut(scene, EVERYONE)


@faults.register('cut-primary-members')
async def cut_primary_from_members(scene: Scene) -> None:
    """Cut the primary off from its replicas, but not from the daemons."""
    await _cut(scene, [each.name for each in await scene.replicas()])


@faults.register('cut-primary-daemons')
async def cut_primary_from_daemons(scene: Scene) -> None:
    """Cut the primary off from the daemons, but not from its replicas."""
    await _cut(scene, [_DAEMONS])


async def _cut(scene: Scene, names: list[str]) -> None:
    primary = await scene.primary()
    scene.note(f'cut {primary.name} off from {names}')
    await scene.switch(primary, cut=names)
    await asyncio.sleep(scene.hold)
    scene.note('end the cut')
    await scene.switch(primary, cut=[])


@faults.register('stop-primary')
async def stop_primary(scene: Scene) -> None:
    """Stop the primary's process by a signal; continue it later."""
    await _stop(scene, await scene.primary(), scene.hold)


async def _stop(scene: Scene, process: Process, hold: float) -> None:
    scene.note(f'stop {process.name}')
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(hold)
    scene.note(f'continue {process.name}')
    process.send_signal(signal.SIGCONT)


@faults.register('freeze-primary')
async def freeze_primary(scene: Scene) -> None:
    """Freeze the primary by its switch; its sockets stay open."""
    primary = await scene.primary()
    scene.note(f'freeze {primary.name}')
    await scene.switch(primary, frozen=True)
    await asyncio.sleep(scene.hold)
    scene.note(f'wake {primary.name}')
    await scene.switch(primary, frozen=False)


@faults.register('lag-and-kill-primary')
async def lag_and_kill_primary(scene: Scene) -> None:
    """Put a replica far behind, then kill the primary."""
    behind = (await scene.replicas())[0]
    lag = scene.hold * 1000
    scene.note(f'delay {behind.name} by {lag} ms', main=False)
    await scene.switch(behind, receive_lag_ms=lag, apply_lag_ms=lag)
    await asyncio.sleep(scene.hold / 2)
    # From now on it catches up; with two members left, no write can be
    # acknowledged before it has.
    await scene.switch(behind, receive_lag_ms=0, apply_lag_ms=0)
    await kill_primary(scene)


@faults.register('kill-daemon')
async def kill_daemon(scene: Scene) -> None:
    """Kill the daemon at rank 0, with transactions open."""
    daemon = scene.holder()
    scene.note(f'kill {daemon.name}')
    await daemon.kill()
    await asyncio.sleep(scene.hold)
    scene.note(f'start {daemon.name}')
    await daemon.start()


@faults.register('stop-candidate')
async def stop_candidate(scene: Scene) -> None:
    """Kill the primary and stop the daemon at rank 0 during the failover."""
    primary = await scene.primary()
    scene.note(f'kill {primary.name}')
    await primary.kill()
    # About when the detection time for refused connections has passed.
    await asyncio.sleep(0.45)
    await _stop(scene, scene.holder(), scene.hold)
    await primary.start()


@faults.register('store-down-before')
async def store_down_before(scene: Scene) -> None:
    """Kill the primary while the store is down."""
    scene.note('store down', main=False)
    await scene.store(down=True)
    await asyncio.sleep(scene.hold / 4)
    await kill_primary(scene)
    await scene.store(down=False)


@faults.register('store-down-during')
async def store_down_during(scene: Scene) -> None:
    """Take the store down just after the primary was killed."""
    await _store_fails_after(scene, 0.3)


@faults.register('store-down-after')
async def store_down_after(scene: Scene) -> None:
    """Take the store down when the failover is over."""
    await _store_fails_after(scene, scene.hold / 2)


async def _store_fails_after(scene: Scene, delay: float) -> None:
    primary = await scene.primary()
    scene.note(f'kill {primary.name}')
    await primary.kill()
    await asyncio.sleep(delay)
    scene.note('store down')
    await scene.store(down=True)
    await asyncio.sleep(scene.hold)
    await primary.start()
    await scene.store(down=False)


@faults.register('lose-store-answers')
async def lose_store_answers(scene: Scene) -> None:
    """Lose the answers of the store's writes around a failover."""
    await scene.store(lose_answers=3)
    await kill_primary(scene)
    await scene.store(lose_answers=0)


@faults.register('operators-race')
async def operators_race(scene: Scene) -> None:
    """Let two operators change the configuration at the same time."""
    scene.note('two operators')
    for number in range(5):
        deadlines = (5000 + number, 6000 + number)
        # Both have read before either writes; one after the other, both would
        # rightly be accepted.
        both_read = asyncio.Barrier(len(deadlines))
        accepted = await asyncio.gather(
            *(
                _apply(scene, f'default_deadline = {each}', both_read)
                for each in deadlines
            )
        )
        scene.note(f'round {number}: accepted {accepted}')
        scene.accepted.append(accepted)
        await asyncio.sleep(scene.hold / 5)


async def _apply(scene: Scene, lines: str, both_read: asyncio.Barrier) -> int:
    """Apply a configuration unless another operator was faster."""
    cluster = scene.cluster
    platform = HttpPlatform(f'http://{cluster.platform.address}')
    stored = await platform.read(_CONFIGURATION)
    if stored is None:
        raise RuntimeError('the site has no configuration')
    await both_read.wait()
    cfg = await asyncio.to_thread(cluster.configuration, lines)
    version = Configuration.from_document(stored.body).version + 1
    document = attrs.evolve(cfg, version=version).to_document()
    try:
        await platform.write(_CONFIGURATION, document, stored.etag)
    except PreconditionError:
        return 0
    finally:
        await platform.close()
    cluster.version = version
    return version


@faults.register('second-failure')
async def second_failure(scene: Scene) -> None:
    """Kill the primary, then stop another member during the recovery."""
    primary, replica = await scene.primary(), (await scene.replicas())[0]
    scene.note(f'kill {primary.name}')
    await primary.kill()
    await asyncio.sleep(0.5)
    await _stop(scene, replica, scene.hold / 3)
    await asyncio.sleep(scene.hold / 3)
    scene.note(f'start {primary.name}')
    await primary.start()


@faults.register('late-host-list')
async def late_host_list(scene: Scene) -> None:
    """Kill a daemon while the host list lags by 30 s."""
    await scene.store(hosts_late_ms=30_000)
    await kill_daemon(scene)
    await scene.store(hosts_late_ms=0)


@faults.register('leaving-replica')
async def leaving_replica(scene: Scene) -> None:
    """Let a replica report that it is leaving."""
    replica = (await scene.replicas())[0]
    scene.note(f'{replica.name} leaves')
    begun = _unix_time()
    await scene.switch(replica, leaving=True)
    await asyncio.sleep(scene.hold)
    scene.left = (replica.name, begun, _unix_time())
    await scene.switch(replica, leaving=False)


@faults.register('terminate-daemon')
async def terminate_daemon(scene: Scene) -> None:
    """Shut the daemon at rank 0 down gracefully; start it again later."""
    daemon = scene.holder()
    scene.note(f'terminate {daemon.name}')
    code = await daemon.stop()
    scene.note(f'{daemon.name} ended with {code}')
    await asyncio.sleep(scene.hold)
    await daemon.start()


def _unix_time() -> int:
    return time.time_ns() // 1_000_000
