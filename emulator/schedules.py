"""Random schedules of faults for a cluster in virtual time."""

import random
from collections.abc import Callable

from emulator.virtual_cluster import Cluster, Plan
from emulator.virtual_group import GroupRules, Member
from emulator.virtual_holder import STORE, StoreMode
from emulator.virtual_network import Weather
from monsoonproxy import failover_events
from monsoonproxy.models import Role

Action = Callable[[Cluster], None]

_FAULT_TIME = 9000
_RECOVERY_TIME = 12_000
_HEALTHY_TIME = 1500


def hostile_plan(seed: int) -> Plan:
    """Draw a cluster on an unreliable network.

    :param seed: Seed of the draw and of the run.
    :returns: The plan.
    """
    rng = random.Random(f'plan-{seed}')
    return Plan(
        seed=seed,
        members=rng.choice([3, 3, 3, 5]),
        holders=rng.choice([1, 2, 2, 3]),
        writers=rng.choice([1, 2]),
        write_interval=rng.choice([20, 100, 100]),
        cold=rng.choice(range(10)) == 0,
        weather=Weather(
            loss=rng.choice([0, 2, 10]) / 100,
            slow=rng.choice([0, 5, 20]) / 100,
            slow_latency=rng.choice([20, 300, 1500]),
        ),
        group=GroupRules(
            keeps_role=rng.choice([True, False]),
            accepts_old_entries=rng.choice([True, False]),
        ),
    )


def run_hostile(plan: Plan) -> Cluster:
    """Run faults of all kinds, heal everything and check the recovery.

    :param plan: The cluster.
    :returns: The cluster after the run.
    :raises AssertionError: At any violation.
    """
    cluster = Cluster(plan)
    rng = random.Random(f'faults-{plan.seed}')
    for _ in range(rng.randint(1, 8)):
        cluster.run(rng.choice([1, 5, 100, 400, 1200, 3000]))
        if cluster.network.now > _FAULT_TIME:
            break
        rng.choice(_FAULTS)(cluster, rng)
    cluster.run(rng.randint(0, 3000))
    check_recovery(cluster)
    return cluster


def check_recovery(cluster: Cluster) -> None:
    """Heal everything and check that the group serves writes again.

    :param cluster: The cluster.
    """
    heal(cluster)
    deadline = cluster.network.now + _RECOVERY_TIME
    fault = 'not checked'
    while fault and cluster.network.now < deadline:
        cluster.run(_HEALTHY_TIME)
        fault = _find_fault(cluster)
    assert not fault, f'no recovery: {fault}'


def heal(cluster: Cluster) -> None:
    """End all faults, including the unreliability of the network.

    :param cluster: The cluster.
    """
    network = cluster.network
    network.weather = Weather()
    network.cuts.clear()
    cluster.store.mode = StoreMode.UP
    for name, member in cluster.members.items():
        member.lagging = False
        network.thaw(name)
        if not network.is_up(name):
            cluster.restart_member(name)
    for name in cluster.holders:
        network.thaw(name)


def _find_fault(cluster: Cluster) -> str:
    """Return why a cluster is not healthy, if so."""
    start = cluster.network.now
    cluster.run(_HEALTHY_TIME)
    if not any(
        at >= start
        for holder in cluster.holders.values()
        for at, _term in holder.journal.acks
    ):
        return 'no write is acknowledged'
    primary = cluster.members[cluster.primary]
    faults = [
        _member_fault(member, primary) for member in cluster.members.values()
    ]
    return ', '.join(filter(None, faults))


def _member_fault(member: Member, primary: Member) -> str:
    expected = Role.PRIMARY if member is primary else Role.REPLICA
    length = len(member.log)
    if member.role is not expected:
        return f'{member.name} is {member.role}'
    if member.log != primary.log[:length]:
        return f'{member.name} has another log'
    if length < len(primary.log) - 2:
        return f'{member.name} is behind'
    return ''


def _kill_member(cluster: Cluster, rng: random.Random) -> None:
    name = _victim(cluster, rng)
    cluster.network.kill(name)
    if rng.randint(1, 3) > 1:
        cluster.network.after(
            rng.randint(1, 4000),
            STORE,
            lambda: _restart_if_dead(cluster, name),
        )


def _restart_if_dead(cluster: Cluster, name: str) -> None:
    if not cluster.network.is_alive(name):
        cluster.restart_member(name)


def _freeze_member(cluster: Cluster, rng: random.Random) -> None:
    _freeze(cluster, rng, _victim(cluster, rng))


def _freeze_holder(cluster: Cluster, rng: random.Random) -> None:
    _freeze(cluster, rng, rng.choice(list(cluster.holders)))


def _freeze(cluster: Cluster, rng: random.Random, name: str) -> None:
    network = cluster.network
    network.freeze(name)
    network.after(rng.randint(1, 5000), STORE, lambda: network.thaw(name))


def _cut(cluster: Cluster, rng: random.Random) -> None:
    network = cluster.network
    names = [*cluster.members, *cluster.holders]
    name = rng.choice([_victim(cluster, rng), rng.choice(names)])
    others = [other for other in names if other != name]
    links = rng.sample(others, rng.randint(1, len(others)))
    network.cut(name, links)
    network.after(
        rng.randint(1, 7000), STORE, lambda: network.mend(name, links)
    )


def _replace_holder(cluster: Cluster, rng: random.Random) -> None:
    name = rng.choice(list(cluster.holders))
    if cluster.network.is_alive(name):
        cluster.network.kill(name)
        rank = cluster.holders[name].failover.rank
        cluster.add_holder(rank, len(cluster.holders))


def _break_store(cluster: Cluster, rng: random.Random) -> None:
    cluster.store.mode = rng.choice(list(StoreMode))


def _lag(cluster: Cluster, rng: random.Random) -> None:
    member = cluster.members[rng.choice(list(cluster.members))]
    member.lagging = not member.lagging


def _leave(cluster: Cluster, rng: random.Random) -> None:
    name = _victim(cluster, rng)
    for holder in cluster.holders.values():
        if cluster.network.is_up(holder.name):
            holder.handle(failover_events.SwitchRequested(name))


def _victim(cluster: Cluster, rng: random.Random) -> str:
    """Draw a member, mostly the primary."""
    if cluster.promotions.logs and rng.randint(1, 3) > 1:
        return cluster.primary
    return rng.choice(list(cluster.members))


_FAULTS = (
    _kill_member,
    _kill_member,
    _freeze_member,
    _freeze_holder,
    _cut,
    _cut,
    _replace_holder,
    _break_store,
    _lag,
    _leave,
)
