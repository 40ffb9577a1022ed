"""A database group, its holders and the store, wired up in virtual time."""

import random

import attrs

from emulator.virtual_group import START, GroupRules, Member, Promotions
from emulator.virtual_holder import STORE, Holder, Store, build_failover
from emulator.virtual_network import Network, Weather
from monsoonproxy import failover_events
from monsoonproxy.models import Role


@attrs.frozen
class Plan:
    """What a cluster consists of.

    :param seed: Seed of all randomness.
    :param members: Number of databases.
    :param holders: Number of holders.
    :param writers: How many of the holders write.
    :param write_interval: Time in ms between two writes of a holder.
    :param cold: Whether the group has never had a primary.
    :param weather: How unreliable the network is.
    :param group: How the databases behave.
    :param rules: Rules of the failover.
    """

    seed: int
    members: int = 3
    holders: int = 2
    writers: int = 1
    write_interval: int = 20
    cold: bool = False
    weather: Weather = Weather()
    group: GroupRules = GroupRules()
    rules: failover_events.FailoverRules = failover_events.FailoverRules()


class Cluster:
    """A running cluster.

    :param plan: What it consists of.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.network = Network(random.Random(plan.seed), plan.weather)
        self.promotions = Promotions()
        self.store = Store()
        names = [f'db{number}' for number in range(plan.members)]
        self.members = {
            name: Member(name, self.network, plan.group, self.promotions)
            for name in names
        }
        self.holders: dict[str, Holder] = {}
        if not plan.cold:
            self._appoint(names[0])
        for member in self.members.values():
            member.start(self.members)
        for rank in range(plan.holders):
            self.add_holder(rank, 0)

    @property
    def rng(self) -> random.Random:
        """The source of all randomness."""
        return self.network.rng

    @property
    def term(self) -> int:
        """The highest term in which a member was promoted."""
        return max(self.promotions.logs, default=1)

    @property
    def primary(self) -> str:
        """The member that was promoted last."""
        return self.promotions.logs[self.term][0]

    def add_holder(self, rank: int, incarnation: int) -> Holder:
        """Start a holder.

        :param rank: Its rank.
        :param incarnation: Number of its earlier starts.
        :returns: The holder.
        """
        plan = self.plan
        name = f'h{rank}.{incarnation}'
        failover = build_failover(
            name, tuple(self.members), rank, plan.seed, plan.rules
        )
        holder = Holder(
            failover,
            name,
            self.network,
            self.members,
            self.store,
            self.promotions,
        )
        self.holders[name] = holder
        holder.start(plan.write_interval if rank < plan.writers else None)
        return holder

    def run(self, duration: int) -> None:
        """Let time pass.

        :param duration: The time in ms.
        """
        self.network.run(self.network.now + duration)

    def restart_member(self, name: str) -> None:
        """Start a killed database again; its log and promise are durable.

        :param name: The member.
        """
        self.network.restart(name)
        self.members[name].restart()
        self.members[name].start(self.members)

    def isolate(self, name: str) -> None:
        """Cut a process off from all others.

        :param name: The process.
        """
        others = [*self.members, *self.holders, STORE]
        self.network.cut(name, [other for other in others if other != name])

    def first_ack(self, after: int, term: int) -> int | None:
        """Return when the first write of a later term was acknowledged.

        :param after: Earliest time.
        :param term: The term that has to be exceeded.
        :returns: The time, or ``None``.
        """
        times = [
            at
            for holder in self.holders.values()
            for at, ack_term in holder.journal.acks
            if at >= after and ack_term > term
        ]
        return min(times, default=None)

    def _appoint(self, name: str) -> None:
        for member in self.members.values():
            member.log = [(1, START)]
            member.promised = 1
            member.source = name
        self.members[name].role = Role.PRIMARY
        self.promotions.promoted(name, self.members[name].log)
