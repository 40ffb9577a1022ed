"""Chooses the backend server of each request that waits at a holder."""

import asyncio
from collections.abc import Callable, Mapping

from msgspec.structs import replace

from monsoonproxy import deadline_queues
from monsoonproxy.calls import Call
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.groups import Group
from monsoonproxy.models import StatementKind
from monsoonproxy.routing import Load, ReadRequest, Route, WaitFor


class RequestRouter:
    """Routes waiting requests and keeps the routes of running reads.

    Writes go to the primary; reads are routed by the group's router.

    :param group: The replicated group.
    :param waiting: Waiting requests by number.
    :param wake: Called when a read that waits for a replica may be routed.
    :param clock: Source of time.
    """

    def __init__(
        self,
        group: Group,
        waiting: Mapping[int, Call],
        wake: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._group = group
        self._waiting = waiting
        self._wake = wake
        self._clock = clock
        #: Routes of running reads, by number of the request.
        self.routes: dict[int, Route] = {}

    def choose(
        self, ticket: deadline_queues.Ticket, loads: Mapping[str, Load]
    ) -> str | None:
        """Choose the backend server of a request.

        :param ticket: The request.
        :param loads: Load of each backend server.
        :returns: Name of the server, or ``None`` if the request can't start
            now.
        """
        now = self._clock.now()
        view = self._group.view
        if not ticket.replica:
            if ticket.kind is StatementKind.READ and view.primary:
                route = self._group.router.primary_route()
                if route is None:
                    return None
                self.routes[ticket.number] = route
            return view.primary
        call = self._waiting[ticket.number]
        if call.req.max_age and not self._ensure_floor(call):
            return None
        req = ReadRequest(call.req.max_age or 0, call.floor, call.deadline)
        return self._apply_choice(ticket, req, loads, now)

    def _ensure_floor(self, call: Call) -> bool:
        """Set the floor of a read without one to the primary's position.

        The position is that of the time when the request arrived. If it is not
        known yet, the members are probed and the read has to wait.
        """
        if call.floor is not None:
            return True
        floor = self._group.position_since(call.arrived)
        if floor is None:
            self._group.request_probes(call.arrived)
            return False
        call.req = replace(call.req, floor=(floor.term, floor.offset))
        return True

    def _apply_choice(
        self,
        ticket: deadline_queues.Ticket,
        req: ReadRequest,
        loads: Mapping[str, Load],
        now: Millis,
    ) -> str | None:
        choice = self._group.router.choose_read(req, loads, now)
        if isinstance(choice, Route):
            self.routes[ticket.number] = choice
            return choice.server
        if isinstance(choice, WaitFor):
            delay = seconds(max(1, choice.until - now))
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._wake)
        return None
