"""Enforces the limits of organisations over all daemons.

Before an operation is passed on, a token for it is taken or asked for. The
decisions are in :mod:`monsoonproxy.organisations.allowances` and
:mod:`monsoonproxy.organisations.holding`.
"""

import asyncio
import itertools
import random
from collections.abc import Mapping

import attrs

from monsoonproxy import gossip_messages
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.gossip import Gossip
from monsoonproxy.logs import log_for
from monsoonproxy.models import Host
from monsoonproxy.organisations.allowances import Allowance
from monsoonproxy.organisations.directory import Organisation
from monsoonproxy.organisations.holding import (
    HOLDERS,
    Demand,
    Grant,
    Holding,
)
from monsoonproxy.organisations.status import OrganisationStatus
from monsoonproxy.placement import Placement
from monsoonproxy.routes import RouteTable
from monsoonproxy.telemetry import Telemetry

_log = log_for('quota')

#: Time in ms that a holder has to answer before the next one is asked. A round
#: trip takes 1 to 2 ms; a small host may be busy for some 10 ms.
_ANSWER_TIMEOUT = Millis(40)
#: Longest time in ms for which an operation waits until the list of daemons has
#: been read, and the pause between two looks.
_DISCOVERY_TIME = Millis(300)
_DISCOVERY_INTERVAL = 20
#: Time in ms after the start of this process in which operations wait for
#: tokens, longest wait of one, and the pause between two attempts.
_START_TIME = Millis(2_500)
_START_WAIT = Millis(700)
_START_INTERVAL = 50


@attrs.define(order=True)
class _Waiter:
    """An operation that waits for a token.

    :param priority: 0 is the highest.
    :param number: Order of arrival.
    :param refusal: Gets the time in ms after which to come back, or ``None``
        with a token.
    """

    priority: int
    number: int
    refusal: 'asyncio.Future[Millis | None]' = attrs.field(order=False)


@attrs.define
class _OrganisationState:
    """What a daemon keeps for an organisation whose callers it serves.

    :param allowance: Its tokens.
    :param waiters: Operations that wait for a token.
    :param asking: The task that asks for tokens.
    :param admitted: Number of operations that got a token.
    :param refused: Number of operations that were refused.
    """

    allowance: Allowance
    waiters: list[_Waiter] = attrs.Factory(list)
    asking: 'asyncio.Task[None] | None' = None
    admitted: int = 0
    refused: int = 0


class Quotas:
    """Asks for tokens, and grants those of the limits that this daemon holds.

    :param gossip: Sends messages to the other daemons, and knows them.
    :param zone: Availability zone of this daemon.
    :param clock: Source of time.
    :param telemetry: Counts admitted and refused operations.
    :param rng: Source of jitter.
    """

    def __init__(
        self,
        gossip: Gossip,
        zone: str,
        clock: Clock,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._gossip = gossip
        self._own = Host(gossip.name, zone)
        self._started_at = clock.now()
        self._clock = clock
        self._telemetry = telemetry
        self._rng = rng
        self._placement = Placement()
        self._hosts: frozenset[Host] = frozenset()
        self.holding = Holding(gossip.name, self._holders, clock.now())
        self._organisations: Mapping[str, Organisation] = {}
        self._version = 0
        self._states: dict[str, _OrganisationState] = {}
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Grant | None]] = {}
        self._tasks = Background()
        gossip.handlers[gossip_messages.TokenRequest] = self._on_request
        gossip.handlers[gossip_messages.TokenGrant] = self._on_grant

    def configure(self, table: RouteTable) -> None:
        """Apply the limits of a configuration.

        :param table: The configuration.
        """
        if table.version == self._version:
            return
        self._version = table.version
        self._organisations = table.directory.organisations
        self._place()
        priorities = (route.priority for route in table.routes.values())
        self.holding.configure(
            self._organisations, min(priorities, default=0), self._clock.now()
        )

    def update_daemons(self) -> None:
        """Choose the holders again if the listed daemons have changed.

        Daemons that are silent stay holders: one that is cut off may go on
        granting tokens.
        """
        if self._organisations and self._place():
            self.holding.update_daemons(self._clock.now())

    async def admit(self, organisation: str, priority: int) -> Millis | None:
        """Take a token for an operation.

        :param organisation: Name of the organisation; empty for none.
        :param priority: Priority of the operation; 0 is the highest.
        :returns: ``None`` if the operation may run, or else the time in ms
            after which the caller may come back.
        """
        limit = self._organisations.get(organisation)
        if limit is None or not limit.rate:
            return None
        state = self._state(organisation)
        now = self._clock.now()
        state.allowance.record_operation(now)
        refusal = await self._take(organisation, state, priority)
        while refusal is not None and self._may_wait(now):
            await asyncio.sleep(seconds(_START_INTERVAL))
            refusal = await self._take(organisation, state, priority)
        if refusal is None:
            state.admitted += 1
        else:
            state.refused += 1
            self._telemetry.count('operations_over_limit')
        return refusal

    def refusal(self, organisation: str, priority: int) -> Millis | None:
        """Tell whether an operation would be refused now without asking.

        :param organisation: Name of the organisation; empty for none.
        :param priority: Priority of the operation; 0 is the highest.
        :returns: The time in ms after which the caller may come back, or
            ``None`` if a holder of the limit would be asked.
        """
        state = self._states.get(organisation)
        if state is None or organisation not in self._organisations:
            return None
        now, holders = self._clock.now(), self._holders(organisation)
        if state.allowance.order(holders, priority, now):
            return None
        return state.allowance.retry_after(holders, priority, now)

    def _may_wait(self, since: Millis) -> bool:
        """Tell whether an operation had better wait than be refused.

        After a start of all daemons, the holders have no tokens for a moment.

        :param since: When the operation began.
        """
        now = self._clock.now()
        is_start = now - self._started_at < _START_TIME
        return is_start and now - since < _START_WAIT

    def status(self) -> dict[str, OrganisationStatus]:
        """Return limit and use of each organisation, for operators.

        :returns: They by name of the organisation.
        """
        return {name: self._status_of(name) for name in self._organisations}

    def _status_of(self, name: str) -> OrganisationStatus:
        limit, state = self._organisations[name], self._state(name)
        part = self.holding.parts().get(name)
        return OrganisationStatus(
            self._version,
            limit.rate,
            limit.burst,
            part.rate if part else 0,
            part.fill(self._clock.now()) if part else 0,
            state.admitted,
            state.refused,
        )

    def _place(self) -> bool:
        """Choose the holders again; return whether the daemons have changed."""
        listed = self._gossip.peers.all()
        hosts = frozenset(Host(peer.name, peer.zone) for peer in listed)
        hosts |= {self._own}
        if hosts == self._hosts:
            return False
        self._hosts = hosts
        self._placement.update(hosts)
        return True

    def _state(self, organisation: str) -> _OrganisationState:
        state = self._states.get(organisation)
        if state is None:
            state = _OrganisationState(Allowance(self._rng))
            self._states[organisation] = state
        return state

    async def _take(
        self, organisation: str, state: _OrganisationState, priority: int
    ) -> Millis | None:
        now = self._clock.now()
        if not state.waiters and state.allowance.take(now):
            return None
        await self._wait_for_daemons()
        holders = self._holders(organisation)
        if not state.allowance.order(holders, priority, now):
            return state.allowance.retry_after(holders, priority, now)
        loop = asyncio.get_running_loop()
        waiter = _Waiter(priority, next(self._numbers), loop.create_future())
        state.waiters.append(waiter)
        if state.asking is None or state.asking.done():
            state.asking = self._tasks.spawn(self._ask(organisation, state))
        try:
            return await waiter.refusal
        finally:
            if waiter in state.waiters:
                state.waiters.remove(waiter)

    async def _ask(self, organisation: str, state: _OrganisationState) -> None:
        """Ask the holders in turn until no operation waits any more."""
        while state.waiters:
            await self._ask_holders(organisation, state)
            self._refuse_waiters(organisation, state)

    async def _ask_holders(
        self, organisation: str, state: _OrganisationState
    ) -> None:
        """Ask each holder for what is missing, and hand the tokens out."""
        allowance = state.allowance
        now = self._clock.now()
        urgent = min(waiter.priority for waiter in state.waiters)
        holders = self._holders(organisation)
        for holder in allowance.order(holders, urgent, now):
            asked_at = self._clock.now()
            urgent = min(waiter.priority for waiter in state.waiters)
            grant = await self._request(holder, organisation, state, urgent)
            now = self._clock.now()
            if grant is None:
                allowance.record_silence(holder, now)
                continue
            allowance.record_grant(holder, grant, urgent, now)
            allowance.add(grant.count, asked_at)
            self._hand_out(state)
            if grant.is_contended or not state.waiters:
                return

    def _refuse_waiters(
        self, organisation: str, state: _OrganisationState
    ) -> None:
        """Refuse the operations that wait after all holders were asked."""
        now, holders = self._clock.now(), self._holders(organisation)
        for waiter in state.waiters:
            wait = state.allowance.retry_after(holders, waiter.priority, now)
            _settle(waiter, wait)
        if state.waiters:
            _log.bind(organisation=organisation, refused=state.refused).debug(
                'Operations refused: no holder of the limit has tokens'
            )
        state.waiters.clear()

    async def _wait_for_daemons(self) -> None:
        """Wait until other daemons are known, or this one is known to be alone.

        Just after a start, it would take itself for the only holder.
        """
        until = self._clock.now() + _DISCOVERY_TIME
        while not (self.holding.is_started or len(self._gossip.peers)):
            if self._clock.now() >= until:
                return
            await asyncio.sleep(seconds(_DISCOVERY_INTERVAL))
        self._place()

    def _hand_out(self, state: _OrganisationState) -> None:
        state.waiters.sort()
        now = self._clock.now()
        while state.waiters and state.allowance.take(now):
            _settle(state.waiters.pop(0), None)

    async def _request(
        self,
        holder: str,
        organisation: str,
        state: _OrganisationState,
        urgent: int,
    ) -> Grant | None:
        demand = Demand(
            organisation, len(state.waiters), state.allowance.expected, urgent
        )
        if holder == self._own.address:
            return self.holding.grant(demand, self._clock.now())
        peer = self._gossip.peers.get(holder)
        if peer is None:
            return None
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        self._telemetry.count('token_requests')
        request = gossip_messages.TokenRequest(
            self._gossip.name, number, *attrs.astuple(demand)
        )
        self._gossip.send(request, peer.address)
        try:
            async with asyncio.timeout(seconds(_ANSWER_TIMEOUT)):
                grant: Grant | None = await reply
                return grant
        except TimeoutError:
            self._telemetry.count('token_requests_unanswered')
            return None
        finally:
            self._replies.pop(number, None)

    def _holders(self, organisation: str) -> tuple[str, ...]:
        hosts = self._placement.holders(organisation, HOLDERS)
        return tuple(host.address for host in hosts)

    def _on_request(
        self, request: gossip_messages.TokenRequest, address: str
    ) -> None:
        demand = Demand(
            request.organisation,
            request.count,
            request.expected,
            request.priority,
        )
        grant = self.holding.grant(demand, self._clock.now())
        reply = gossip_messages.TokenGrant(
            self._gossip.name, request.number, -1
        )
        if grant is not None:
            reply = gossip_messages.TokenGrant(
                self._gossip.name,
                request.number,
                grant.count,
                grant.left,
                grant.retry_after,
                grant.is_contended,
            )
        self._gossip.send(reply, address)

    def _on_grant(
        self, message: gossip_messages.TokenGrant, _address: str
    ) -> None:
        reply = self._replies.get(message.number)
        if reply is None or reply.done():
            return
        if message.count < 0:
            reply.set_result(None)
            return
        reply.set_result(
            Grant(
                message.count,
                message.left,
                Millis(message.retry_after),
                message.is_contended,
            )
        )


def _settle(waiter: _Waiter, refusal: Millis | None) -> None:
    if not waiter.refusal.done():
        waiter.refusal.set_result(refusal)
