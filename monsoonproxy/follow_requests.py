"""Requests to group members to follow the current primary."""

import attrs

from monsoonproxy import failover_events
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Role
from monsoonproxy.quorum import GroupView


def is_outdated(report: BackendReport, term: int) -> bool:
    """Tell whether a member has yet to join the term in force.

    A member that has promised a higher term does not count, because it would
    refuse to follow.

    :param report: Report of a member other than the current primary.
    :param term: The term in force.
    :returns: Whether the member still acts as the primary of an older term, or
        its log ends in an older term.
    """
    if report.promised_term > term:
        return False
    return report.role is Role.PRIMARY or report.log_term < term


@attrs.define
class _FollowRequest:
    """An open request to one member.

    :param term: The term to join.
    :param created_at: When the member was found to be outdated.
    :param last_sent: When the request was last sent, or ``None`` before.
    """

    term: int
    created_at: Millis
    last_sent: Millis | None = None


class FollowRequests:
    """Repeats requests to follow until each member has joined the term.

    :param rules: Time limits of the failover.
    """

    def __init__(self, rules: failover_events.FailoverRules) -> None:
        self._rules = rules
        self._requests: dict[str, _FollowRequest] = {}

    def send_all(
        self, view: GroupView, now: Millis
    ) -> list[failover_events.Command]:
        """Request all other members to follow a new primary.

        :param view: State of the group, which has a primary.
        :param now: The current time.
        :returns: One command per member.
        """
        self._requests = {
            name: _FollowRequest(view.term, now)
            for name in view.members
            if name != view.primary
        }
        return [self._send(name, view, now) for name in self._requests]

    def send_due(
        self, view: GroupView, rank: int, now: Millis
    ) -> list[failover_events.Command]:
        """Request members to follow that have not joined the term.

        :param view: State of the group.
        :param rank: Rank of this daemon, which delays the first request by
            ``rank_delay`` per rank, so that lower ranks act first.
        :param now: The current time.
        :returns: Commands for the members whose request is due.
        """
        if view.primary is None:
            return []
        self._update(view, now)
        delay = rank * self._rules.rank_delay
        due = [
            name
            for name, request in self._requests.items()
            if now >= request.created_at + delay and self._is_due(request, now)
        ]
        return [self._send(name, view, now) for name in due]

    def sent_at(self, name: str) -> Millis | None:
        """Return when a member was last requested to follow.

        :param name: Name of the member.
        :returns: The time, or ``None`` if no request was sent.
        """
        request = self._requests.get(name)
        return request.last_sent if request else None

    def _update(self, view: GroupView, now: Millis) -> None:
        outdated = {
            name
            for name in view.members
            if name != view.primary and self._is_outdated(name, view)
        }
        kept = {
            name: request
            for name, request in self._requests.items()
            if name in outdated and request.term == view.term
        }
        for name in outdated - kept.keys():
            kept[name] = _FollowRequest(view.term, now)
        self._requests = kept

    def _is_outdated(self, name: str, view: GroupView) -> bool:
        report = view.report(name)
        return report is not None and is_outdated(report, view.term)

    def _is_due(self, request: _FollowRequest, now: Millis) -> bool:
        if request.last_sent is None:
            return True
        return now - request.last_sent >= self._rules.follow_retry

    def _send(
        self, name: str, view: GroupView, now: Millis
    ) -> failover_events.Command:
        self._requests[name].last_sent = now
        return failover_events.Follow(name, view.term, view.primary or '')
