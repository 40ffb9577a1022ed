"""Measures the failover gap in virtual time and prints the figures as JSON.

The gap is the time from the fault to the acknowledgement of the first write in
a later term.
"""

from collections.abc import Callable


from emulator.virtual_cluster import Cluster, Plan
from emulator.virtual_holder import StoreMode

Fault = Callable[[Cluster], None]

_WARM_UP = 2000
_LIMIT = 20_000


def kill(cluster: Cluster) -> None:
    """Kill the primary.

    :param cluster: The cluster.
    """
    cluster.network.kill(cluster.primary)


def cut(cluster: Cluster) -> None:
    """Cut the primary off from everything.

    :param cluster: The cluster.
    """
    cluster.isolate(cluster.primary)


def freeze(cluster: Cluster) -> None:
    """Freeze the primary.

    :param cluster: The cluster.
    """
    cluster.network.freeze(cluster.primary)


def store_down(cluster: Cluster) -> None:
    """Kill the primary while the table service is down.

    :param cluster: The cluster.
    """
    cluster.store.mode = StoreMode.DOWN
    kill(cluster)


FAULTS: dict[str, Fault] = {
    'killed': kill,
    'cut': cut,
    'frozen': freeze,
    'store down': store_down,
}


def measure_gap(plan: Plan, fault: Fault) -> int | None:
    """Measure one gap.

    :param plan: The cluster.
    :param fault: What happens to it.
    :returns: The gap in ms, or ``None`` if it was over the limit.
    """
    cluster = Cluster(plan)
    cluster.run(_WARM_UP + cluster.rng.randint(0, 1000))
    start = cluster.network.now
    term = cluster.term
    fault(cluster)
    while cluster.network.now < start + _LIMIT:
        cluster.run(100)
        end = cluster.first_ack(start, term)
        if end is not None:
            return end - start
    return None


if __name__ == '__main__':
    for name, fault in FAULTS.items():
        print(name, [measure_gap(Plan(seed=seed), fault) for seed in range(8)])
