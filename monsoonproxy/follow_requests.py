"""Members that have to be last_sent to follow the current primary."""

import attrs

from monsoonproxy import signals
from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Role
from monsoonproxy.quorum import GroupView


def is_outdated(report: BackendReport, term: int) -> bool:
    """Tell whether a member has not joined the term in force.

    A member that has promised a higher term would refuse to follow.

    :param report: Report of a member that is not the primary.
    :param term: The term in force.
    :returns: Whether it is a primary of an older term or behind in its log.
    """
    if report.promised_term > term:
        return False
    return report.role is Role.PRIMARY or report.log_term < term


@attrs.define
class _FollowRequest:
    """A request to follow; ``last_sent`` is ``None`` until it was sent."""

    term: int
    created_at: Millis
    last_sent: Millis | None = None


class FollowRequests:
    """Repeats the request to follow until a member has joined the term.

    :param rules: Time limits.
    """

    def __init__(self, rules: signals.FailoverRules) -> None:
        self._rules = rules
        self._requests: dict[str, _FollowRequest] = {}

    def send_all(self, view: GroupView, now: Millis) -> list[signals.Command]:
        """Tell all other members to follow the new primary.

        :param view: The group, with a primary.
        :param now: The current time.
        :returns: The requests.
        """
        self._requests = {
            name: _FollowRequest(view.term, now)
            for name in view.members
            if name != view.primary
        }
        return [self._send(name, view, now) for name in self._requests]

    def send_due(
        self, view: GroupView, rank: int, now: Millis
    ) -> list[signals.Command]:
        """Tell members to follow that have not joined the term.

        :param view: The group.
        :param rank: Rank of this daemon; higher ranks wait longer.
        :param now: The current time.
        :returns: The requests.
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
        """Return when a member was last last_sent to follow.

        :param name: The member.
        :returns: The time, if a request is open.
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

    def _send(self, name: str, view: GroupView, now: Millis) -> signals.Command:
        self._requests[name].last_sent = now
        return signals.Follow(name, view.term, view.primary or '')
