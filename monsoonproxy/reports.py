"""Reports on service levels: how fast services use up their error budgets."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from monsoonproxy import structures
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.models import Outcome

#: Lengths of the windows in minutes.
WINDOWS = (5, 60, 360)
DEFAULT_OBJECTIVE = 0.999
#: An error of the database is a whole answer, so it uses up no budget.
GOOD_OUTCOMES = frozenset((Outcome.ANSWERED.value, Outcome.FAILED.value))


class ReportError(MonsoonError):
    """A report can't be made."""


@attrs.frozen
class Count:
    """How many requests ended in one way within one minute.

    :param minute: Minutes since the epoch.
    :param service: Name of the service.
    :param request_class: Weight class.
    :param outcome: Value of :class:`~monsoonproxy.models.Outcome`.
    :param count: Number of requests.
    """

    minute: int
    service: str
    request_class: str
    outcome: str
    count: int


@attrs.frozen
class BurnRate:
    """How fast a class of a service used up its error budget in a window.

    :param service: Name of the service.
    :param request_class: Weight class.
    :param window: Length of the window in minutes.
    :param covered: Minutes from the first counted minute to the window's end.
    :param total: Requests.
    :param bad: Requests that used up budget.
    :param objective: Share of requests to be answered.
    :param rate: Bad requests relative to those that the objective allows; at
        1 the budget is used up exactly.
    :param by_outcome: Bad requests by outcome.
    """

    service: str
    request_class: str
    window: int
    covered: int
    total: int
    bad: int
    objective: float
    rate: float
    by_outcome: dict[str, int]


def parse_counts(text: str | bytes) -> list[Count]:
    """Read counters.

    :param text: A JSON list of objects with the fields of :class:`Count`.
    :returns: The counters.
    :raises ReportError: If the text is not such a list.
    """
    try:
        data = json.loads(text)
    except ValueError as exc:
        raise ReportError(f'the counters are not JSON: {exc}') from exc
    return structure_counts(data)


def structure_counts(data: Any) -> list[Count]:
    """Check counters.

    :param data: The list from JSON.
    :returns: The counters.
    :raises ReportError: If it is not such a list.
    """
    if not isinstance(data, list):
        raise ReportError('the counters are not a list')
    try:
        return structures.strict_converter.structure(data, list[Count])
    except Exception as exc:
        raise ReportError(f'the counters are not valid: {exc}') from exc


def burn_rates(
    counts: Iterable[Count],
    objectives: Mapping[tuple[str, str], float],
    now: int | None = None,
) -> list[BurnRate]:
    """Compute burn rates.

    :param counts: Counters, in any order, also several for one minute.
    :param objectives: Objective by service and class.
    :param now: Last minute of the windows; by default the last one counted.
    :returns: One entry per service, class and window.
    """
    groups: dict[tuple[str, str], list[Count]] = {}
    for count in counts:
        group = (count.service, count.request_class)
        groups.setdefault(group, []).append(count)
    if now is None:
        minutes = [item.minute for items in groups.values() for item in items]
        now = max(minutes, default=0)
    return [
        _burn_rate(groups[key], key, window, now, objectives)
        for key in sorted(groups)
        for window in WINDOWS
    ]


def _burn_rate(
    items: list[Count],
    group: tuple[str, str],
    window: int,
    now: int,
    objectives: Mapping[tuple[str, str], float],
) -> BurnRate:
    outcomes: Counter[str] = Counter()
    for item in items:
        if now - window < item.minute <= now:
            outcomes[item.outcome] += item.count
    bad = Counter(
        {
            outcome: count
            for outcome, count in outcomes.items()
            if outcome not in GOOD_OUTCOMES and count
        }
    )
    objective = objectives.get(group, DEFAULT_OBJECTIVE)
    first = min(counted.minute for counted in items)
    allowed = outcomes.total() * (1 - objective)
    return BurnRate(
        *group,
        window=window,
        covered=max(0, min(window, now - first + 1)),
        total=outcomes.total(),
        bad=bad.total(),
        objective=objective,
        rate=round(bad.total() / allowed, 3) if allowed else 0,
        by_outcome=dict(bad.most_common()),
    )


def to_data(burns: Iterable[BurnRate]) -> list[dict[str, Any]]:
    """Return plain data for JSON.

    :param burns: The burn rates.
    :returns: One dictionary each.
    """
    return [attrs.asdict(item) for item in burns]


def to_text(burns: Iterable[BurnRate]) -> list[str]:
    """Render burn rates for people.

    :param burns: The burn rates.
    :returns: Lines.
    """
    lines = ['service class window covered requests burn used up by']
    for item in burns:
        causes = ', '.join(
            f'{outcome}: {count}' for outcome, count in item.by_outcome.items()
        )
        columns = (
            item.service,
            item.request_class,
            f'{item.window}m',
            f'{item.covered}m',
            str(item.total),
            f'{item.rate:.2f}',
            causes or '-',
        )
        lines.append(' '.join(columns))
    return lines


def plot(burns: Iterable[BurnRate], path: str) -> None:
    """Draw burn rates as bars.

    :param burns: The burn rates.
    :param path: The image file to write.
    :raises ReportError: If matplotlib is not installed.
    """
    try:
        from matplotlib import figure  # noqa: PLC0415,WPS433 - optional
    except ImportError:
        raise ReportError(
            'matplotlib is not installed; install monsoonproxy[plot]',
        ) from None
    image = figure.Figure(layout='constrained')
    axes = image.subplots()
    rates = list(burns)
    names = [
        f'{item.service} {item.request_class} {item.window}m' for item in rates
    ]
    axes.barh(names, [item.rate for item in rates])
    axes.axvline(1, linestyle='--')
    axes.set_xlabel('burn rate')
    image.savefig(path)
