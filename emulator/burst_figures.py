"""Figures of a burst: answers in time, refusals, return to normal."""

import bisect
import math
from collections import defaultdict
from typing import Any, TypeAlias

import attrs

from emulator.clairvoyant import Demand, Schedule
from emulator.virtual_load import HOP, Deployment
from monsoonproxy.models import CONFIRMATION, ENQUIRY

_Gaps: TypeAlias = list[tuple[float, float]]

_WIDTH = 50
# No statement of the mix is shorter.
_SHORT = 2


@attrs.define
class Request:
    """A caller's request and what became of it.

    :param name: Its class.
    :param weight: Value of its answer in time.
    :param arrived: When it first arrived.
    :param patience: Time within which the answer is of use.
    :param service: Its time on a slot.
    """

    name: str
    weight: int
    arrived: float
    patience: int
    service: float
    deadline: float = 0
    tries: int = 0
    server: str = ''
    begun: float = 0
    ended: float = 0
    answered: float = 0
    refused_at: float = 0
    reason: str = ''
    stale: bool = False

    @property
    def read(self) -> bool:
        """Tell whether replicas can serve it.

        :returns: Whether it is an enquiry.
        """
        return self.name == ENQUIRY

    @property
    def in_time(self) -> bool:
        """Tell whether its answer was of use.

        :returns: Whether it was answered before its deadline.
        """
        return 0 < self.answered <= self.deadline and not self.stale

    @property
    def eligible(self) -> str:
        """Return the backend servers that could run it.

        :returns: Their names.
        """
        return 'prs' if self.read else 'p'


def figures(
    requests: list[Request], size: Deployment, burst: tuple[int, int]
) -> dict[str, Any]:
    """Sum up a run.

    :param requests: All requests.
    :param size: The deployment.
    :param burst: Start and end of the burst.
    :returns: Figures by name.
    """
    during = [one for one in requests if burst[0] <= one.arrived < burst[1]]
    in_time = [one for one in during if one.in_time]
    late = [one for one in requests if one.answered and not one.in_time]
    wrong = wrong_refusals(requests)
    late_writes = [one for one in late if one.name == CONFIRMATION]
    return {
        'requests': len(during),
        **_value(during, size),
        'share_in_time': round(len(in_time) / len(during), 4),
        'late': len(late),
        'late_confirmations': len(late_writes),
        'stale': len([one for one in requests if one.stale]),
        'refused': _refused(during),
        'wrong_refusals': sum(wrong.values()),
        'wrong': wrong,
        'most_tries': max(one.tries for one in requests),
        'back_to_normal_ms': round(back_to_normal(requests, burst)),
    }


def _value(during: list[Request], size: Deployment) -> dict[str, float]:
    value = sum(one.weight for one in during if one.in_time)
    if any(one.tries > 1 for one in during):
        # The bound knows one deadline per request only.
        return {'value': value}
    bound = best_value(during, size, exact=False)
    exact = best_value(during, size, exact=True)
    return {
        'value': value,
        'bound': round(bound),
        'of_bound': round(value / bound, 4),
        'of_bound_known_times': round(value / exact, 4),
    }


def best_value(requests: list[Request], size: Deployment, exact: bool) -> float:
    """Bound the weighted answers in time.

    :param requests: The requests, as if no others existed.
    :param size: The deployment.
    :param exact: Whether each service time is known in advance, instead of
        the mean of its class.
    :returns: The bound.
    """
    groups: dict[tuple[str, int, int], list[Request]] = defaultdict(list)
    for one in requests:
        mean = size.read_time if one.read else size.write_time
        speed = math.ceil(one.service / mean * 10) if exact else 0
        groups[one.name, int(one.arrived // _WIDTH), speed].append(one)
    schedule = Schedule((size.slots, 2 * size.slots), _WIDTH)
    return schedule.value(
        _demand(group, size, exact) for group in groups.values()
    )


def _demand(group: list[Request], size: Deployment, exact: bool) -> Demand:
    one = group[0]
    mean = size.read_time if one.read else size.write_time
    work = len(group) * mean
    if exact:
        work = sum(request.service for request in group)
    return Demand(
        first=int(min(request.arrived for request in group) // _WIDTH),
        last=int(max(request.deadline for request in group) // _WIDTH),
        work=work,
        density=one.weight * len(group) / work,
        pools=(0, 1) if one.read else (0,),
    )


def wrong_refusals(requests: list[Request]) -> dict[str, int]:
    """Count refused requests that could have been served in time.

    :param requests: All requests.
    :returns: How many had an idle slot, and how many saw a later request of
        lower weight run instead.
    """
    refused = [one for one in requests if one.refused_at and not one.answered]
    gaps = {name: _gaps(requests, name) for name in 'prs'}
    light = sorted(
        (one.begun, one.arrived)
        for one in requests
        if one.read and one.server == 'p' and one.begun
    )
    return {
        'idle': sum(1 for one in refused if _had_gap(one, gaps)),
        'inverted': sum(
            1 for one in refused if not one.read and _inverted(one, light)
        ),
    }


def _gaps(requests: list[Request], name: str) -> _Gaps:
    """Find the times at which a server had an idle slot, in order."""
    changes = [
        change
        for one in requests
        if one.server == name and one.ended
        for change in ((one.begun, 1), (one.ended, -1))
    ]
    gaps = []
    running = 0
    idle_since: float = 0
    for time, change in sorted(changes):
        if running == 1 and change > 0:
            gaps.append((idle_since, time))
        elif running == 2:
            idle_since = time
        running += change
    # Nothing is known about the time after the run.
    gaps.append((idle_since, max(one.ended for one in requests)))
    return [gap for gap in gaps if gap[1] - gap[0] >= _SHORT]


def _had_gap(one: Request, gaps: dict[str, _Gaps]) -> bool:
    earliest = one.refused_at + HOP
    latest = one.deadline - HOP
    found: _Gaps = []
    for name in one.eligible:
        first = bisect.bisect_right(gaps[name], (earliest, math.inf)) - 1
        last = bisect.bisect_right(gaps[name], (latest, math.inf))
        found += gaps[name][max(0, first) : last]
    return any(
        min(end, latest) - max(start, earliest) >= one.service
        for start, end in found
    )


def _inverted(one: Request, light: list[tuple[float, float]]) -> bool:
    first = bisect.bisect_left(light, (one.refused_at, 0))
    last = bisect.bisect_left(light, (one.deadline - one.service, 0))
    return any(arrived > one.refused_at for _, arrived in light[first:last])


def _refused(requests: list[Request]) -> dict[str, int]:
    counts: dict[str, int] = defaultdict(int)
    for one in requests:
        if one.refused_at and not one.answered:
            counts[f'{one.name} {one.reason}'] += 1
    return dict(counts)


def back_to_normal(requests: list[Request], burst: tuple[int, int]) -> float:
    """Return how long after the burst requests were still affected.

    :param requests: All requests.
    :param burst: Start and end of the burst.
    :returns: Time in ms until the last request arrived that was refused or
        took over twice the slowest time before the burst.
    """
    normal = max(
        one.answered - one.arrived
        for one in requests
        if one.answered and one.answered < burst[0]
    )
    affected = [
        one.arrived
        for one in requests
        if not one.answered or one.answered - one.arrived > 2 * normal
    ]
    # The last requests are still on their way when the run ends.
    end = max(one.arrived for one in requests) - 100
    return max([at for at in affected if at < end], default=0) - burst[1]
