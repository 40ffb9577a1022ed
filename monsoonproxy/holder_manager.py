"""Starts and stops holders for the services placed on this daemon."""

import asyncio
import itertools
import random
from collections.abc import Iterable

import attrs

from monsoonproxy import adapters, failover_events, placement, pool_sizing
from monsoonproxy.backends import Backend
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.configuration import Configuration
from monsoonproxy.credentials import read_credentials
from monsoonproxy.declarations import MAJORITY, Service
from monsoonproxy.exceptions import ConfigurationError
from monsoonproxy.failover import Failover
from monsoonproxy.groups import Group
from monsoonproxy.holders import Holder, leaving_members
from monsoonproxy.logs import log_for
from monsoonproxy.models import Host
from monsoonproxy.supervisors import Supervisor
from monsoonproxy.term_claims import TermClaims

_log = log_for('hosting')

#: Interval at which a released holder is checked for open requests.
_DRAIN_POLL_MS = 50


@attrs.define
class _HeldService:
    """A holder and the names of its supervised tasks."""

    holder: Holder
    rank: int
    tasks: tuple[str, ...]


class HolderManager:
    """Runs a holder for each service that is placed on this daemon.

    :param own: Address of this daemon.
    :param claims: Claims terms in the table service.
    :param supervisor: Runs the tasks of the holders.
    :param clock: Source of time.
    :param rng: Source of jitter.
    """

    def __init__(
        self,
        own: str,
        claims: TermClaims,
        supervisor: Supervisor,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._claims = claims
        self._supervisor = supervisor
        self._clock = clock
        self._rng = rng
        self._held: dict[str, _HeldService] = {}
        self._background = Background()
        self._released: list[Holder] = []
        self._task_numbers = itertools.count(1)
        self._cfg = Configuration()
        self._placement = placement.Placement()

    def holders_of(self, service: Service) -> tuple[str, ...]:
        """Return the addresses of a service's holders in rank order.

        :param service: The service.
        :returns: Addresses, lowest rank first.
        """
        chosen = self._placement.holders(service.name, service.holders)
        return tuple(host.address for host in chosen)

    def find_holder(
        self, service: str, key: tuple[bytes, int]
    ) -> Holder | None:
        """Return the holder on this daemon for a session's request.

        The statements of an open transaction go to the holder that has it,
        even while that holder is being released.

        :param service: Name of the service.
        :param key: Identity of the sender and number of the session.
        :returns: The holder, or ``None`` if this daemon does not hold the
            service.
        """
        for holder in self._released:
            if holder.service.name == service and key in holder.transactions:
                return holder
        held = self._held.get(service)
        return held.holder if held else None

    def all_holders(self) -> tuple[Holder, ...]:
        """Return the active holders and those being released.

        :returns: The active ones first.
        """
        held = tuple(held.holder for held in self._held.values())
        return (*held, *self._released)

    def configure(self, cfg: Configuration) -> None:
        """Start, reconfigure or release holders for a new configuration.

        :param cfg: The configuration in force.
        """
        self._cfg = cfg
        for name, held in tuple(self._held.items()):
            service = cfg.services.get(name)
            if service is None or _needs_restart(held.holder.service, service):
                self._release(name)
            elif service != held.holder.service:
                self._background.spawn(self._reconfigure(held.holder, service))
        self._placement.keep_only(
            [
                (service.name, service.holders)
                for service in cfg.services.values()
            ]
        )
        self._apply_placement()

    def update_hosts(self, hosts: Iterable[Host]) -> None:
        """Start or release holders after the usable hosts changed.

        :param hosts: The hosts that services may be placed on.
        """
        self._placement.update(hosts)
        self._apply_placement()

    def _apply_placement(self) -> None:
        for name, service in self._cfg.services.items():
            addresses = self.holders_of(service)
            if self._own in addresses:
                self._ensure_held(service, addresses.index(self._own))
            elif name in self._held:
                self._release(name)

    async def stop(self) -> None:
        """Release all holders and wait until they are drained."""
        for name in tuple(self._held):
            self._release(name)
        await asyncio.gather(*self._background)

    def _ensure_held(self, service: Service, rank: int) -> None:
        held = self._held.get(service.name)
        if held is None:
            try:
                self._start_holder(service, rank)
            except ConfigurationError as exc:
                # A configuration error of one service must not stop the others.
                _log.error('Service {} cannot be held: {}', service.name, exc)
        elif held.rank != rank:
            held.rank = rank
            held.holder.group.handle(failover_events.RankChanged(rank))

    def _start_holder(self, service: Service, rank: int) -> None:
        _log.info(
            'Starting holder of service {} at rank {}', service.name, rank
        )
        backends = self._create_backends(service)
        rules = failover_events.FailoverRules(
            silence_detection=service.silence_detection,
            refused_detection=service.refused_detection,
            isolation_detection=service.isolation_detection,
            rank_delay=service.rank_delay,
            claim_timeout=service.claim_timeout,
        )
        failover = Failover(
            self._claims.candidate, tuple(backends), rank, rules, self._rng
        )
        group = Group(
            service.name, backends, self._claims, failover, self._clock
        )
        group.waits_for_majority = service.acknowledge == MAJORITY
        holder = Holder(service, group, self._clock, self._rng)
        group.on_change = holder.on_group_change
        number = next(self._task_numbers)
        tasks = (f'group {number}', f'holder {number}')
        self._held[service.name] = _HeldService(holder, rank, tasks)
        self._supervisor.start_child(tasks[0], group.run)
        self._supervisor.start_child(tasks[1], holder.run)
        group.leaving = leaving_members(service)
        for name in group.leaving:
            group.mark_leaving(name)

    def _create_backends(self, service: Service) -> dict[str, Backend]:
        adapter = adapters.databases.get(service.database)()
        rules = pool_sizing.PoolRules(
            service.connection_limit, service.holders, service.slots
        )
        return {
            member.name: Backend(
                member.name,
                member.address,
                adapter,
                credentials=read_credentials(service.credentials),
                rules=rules,
                clock=self._clock,
            )
            for member in service.members
        }

    async def _reconfigure(self, holder: Holder, service: Service) -> None:
        try:
            await holder.reconfigure(service, self._create_backends(service))
        except ConfigurationError as exc:
            _log.error(
                'Service {} keeps its previous configuration: {}',
                service.name,
                exc,
            )

    def _release(self, name: str) -> None:
        held = self._held.pop(name)
        _log.info('Releasing service {}', name)
        self._background.spawn(self._drain(held))

    async def _drain(self, held: _HeldService) -> None:
        """Wait for the open requests of a holder, then stop its tasks.

        Waiting requests are handed over at once. The others have the drain
        timeout of the service to finish.
        """
        holder = held.holder
        self._released.append(holder)
        await holder.hand_over()
        deadline = self._clock.now() + holder.service.drain_timeout
        while holder.open_requests() and self._clock.now() < deadline:
            await asyncio.sleep(seconds(_DRAIN_POLL_MS))
        for task in reversed(held.tasks):
            await self._supervisor.stop_child(task)
        self._released.remove(holder)
        await holder.group.close()


#: Fields of a service that can change without a restart of its holder.
_RELOADABLE_FIELDS = frozenset(
    (
        'members',
        'classes',
        'queue_limit',
        'default_deadline',
        'drain_timeout',
        'retry_budget',
    )
)


def _needs_restart(old: Service, new: Service) -> bool:
    """Tell whether a change requires new connections or failover rules."""
    return any(
        getattr(old, field.name) != getattr(new, field.name)
        for field in attrs.fields(Service)
        if field.name not in _RELOADABLE_FIELDS
    ) or _addresses_changed(old, new)


def _addresses_changed(old: Service, new: Service) -> bool:
    known = {member.name: member.address for member in old.members}
    return any(
        known.get(member.name, member.address) != member.address
        for member in new.members
    )
