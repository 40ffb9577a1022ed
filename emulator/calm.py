"""Schedules of disturbances that must not cause a failover."""

import random
from collections.abc import Callable

from emulator.virtual_cluster import Cluster, Plan
from emulator.virtual_holder import STORE, StoreMode

_CALM_TIME = 1500
_ISOLATION_MARGIN = 600

Disturbance = Callable[[Cluster, random.Random], None]


def run_calm(plan: Plan, disturbances: int = 6) -> int:
    """Run disturbances that are shorter than the detection times.

    :param plan: The cluster, on a reliable network.
    :param disturbances: How many there are, one after the other.
    :returns: The number of changes of the primary.
    """
    cluster = Cluster(plan)
    rng = random.Random(f'calm-{plan.seed}')
    cluster.run(_CALM_TIME)
    for _ in range(disturbances):
        rng.choice(DISTURBANCES)(cluster, rng)
        cluster.run(_CALM_TIME + rng.randint(0, _CALM_TIME))
    return cluster.term - 1


def pause_primary(cluster: Cluster, rng: random.Random) -> None:
    """Freeze the primary for less than the silence detection time.

    :param cluster: The cluster.
    :param rng: Source of randomness.
    """
    limit = cluster.plan.rules.silence_detection
    _pause(cluster, cluster.primary, rng.randint(limit // 2, limit - 1))


def restart_primary(cluster: Cluster, rng: random.Random) -> None:
    """Restart the primary in less than the detection time.

    :param cluster: The cluster, whose primaries keep their role.
    :param rng: Source of randomness.
    """
    name = cluster.primary
    limit = cluster.plan.rules.refused_detection
    cluster.network.kill(name)
    cluster.network.after(
        rng.randint(1, limit - 1), STORE, lambda: cluster.restart_member(name)
    )


def pause_replica(cluster: Cluster, rng: random.Random) -> None:
    """Freeze a replica for any time.

    :param cluster: The cluster.
    :param rng: Source of randomness.
    """
    replicas = [name for name in cluster.members if name != cluster.primary]
    _pause(cluster, rng.choice(replicas), rng.randint(1, 4000))


def pause_holder(cluster: Cluster, rng: random.Random) -> None:
    """Freeze a holder for any time.

    :param cluster: The cluster.
    :param rng: Source of randomness.
    """
    _pause(cluster, rng.choice(list(cluster.holders)), rng.randint(1, 9000))


def cut_holder(cluster: Cluster, rng: random.Random) -> None:
    """Cut a holder off from the primary for less than the isolation time.

    :param cluster: The cluster.
    :param rng: Source of randomness.
    """
    network = cluster.network
    name = rng.choice(list(cluster.holders))
    others = [cluster.primary]
    limit = cluster.plan.rules.isolation_detection - _ISOLATION_MARGIN
    network.cut(name, others)
    delay = rng.randint(limit // 2, limit)
    network.after(delay, STORE, lambda: network.mend(name, others))
    cluster.run(delay)


def lag_replicas(cluster: Cluster, rng: random.Random) -> None:
    """Let a replica fall behind, or catch up again.

    :param cluster: The cluster.
    :param rng: Source of randomness.
    """
    member = cluster.members[rng.choice(list(cluster.members))]
    member.lagging = not member.lagging


def stop_store(cluster: Cluster, rng: random.Random) -> None:
    """Take the table service down or up.

    :param cluster: The cluster.
    :param rng: Source of randomness.
    """
    cluster.store.mode = rng.choice(list(StoreMode))


def _pause(cluster: Cluster, name: str, duration: int) -> None:
    network = cluster.network
    network.freeze(name)
    network.after(duration, STORE, lambda: network.thaw(name))
    cluster.run(duration)


DISTURBANCES: tuple[Disturbance, ...] = (
    pause_primary,
    pause_primary,
    restart_primary,
    pause_replica,
    pause_holder,
    cut_holder,
    lag_replicas,
    stop_store,
)
