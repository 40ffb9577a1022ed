"""Service level reports: burn rates of the error budgets of services."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from monsoonproxy import structures
from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.models import Outcome

#: Lengths in minutes of the windows for which burn rates are computed.
WINDOWS = (5, 60, 360)
#: Share of requests to be answered if a service sets no objective.
DEFAULT_OBJECTIVE = 0.999
#: Outcomes that use no error budget. A database error is among them, because
#: the caller received a complete answer.
GOOD_OUTCOMES = frozenset((Outcome.ANSWERED.value, Outcome.FAILED.value))


class ReportError(MonsoonError):
    """Request counts are not valid, or a report can't be rendered."""


@attrs.frozen
class Count:
    """Number of requests with the same outcome within one minute.

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
    """Burn rate of one request class of a service in one window.

    :param service: Name of the service.
    :param request_class: Weight class.
    :param window: Length of the window in minutes.
    :param covered: Minutes of the window since the first recorded count.
    :param total: Number of requests in the window.
    :param bad: Number of requests that used error budget.
    :param objective: Share of requests to be answered.
    :param rate: Bad requests divided by those that the objective allows; a
        rate of 1 uses the budget exactly.
    :param by_outcome: Bad requests by outcome, most frequent first.
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
    """Parse request counts from JSON.

    :param text: A JSON list of objects with the fields of :class:`Count`.
    :returns: The counts.
    :raises ReportError: If the text is not such a list.
    """
    try:
        data = json.loads(text)
    except ValueError as exc:
        raise ReportError(
            f'the request counts are not valid JSON: {exc}'
        ) from exc
    return structure_counts(data)


def structure_counts(data: Any) -> list[Count]:
    """Convert decoded JSON to request counts, with strict type checks.

    :param data: A list of dictionaries with the fields of :class:`Count`.
    :returns: The counts.
    :raises ReportError: If the data is not such a list.
    """
    if not isinstance(data, list):
        raise ReportError('the request counts are not a JSON list')
    try:
        return structures.strict_converter.structure(data, list[Count])
    except Exception as exc:
        raise ReportError(f'the request counts are not valid: {exc}') from exc


def burn_rates(
    counts: Iterable[Count],
    objectives: Mapping[tuple[str, str], float],
    now: int | None = None,
) -> list[BurnRate]:
    """Compute the burn rates of all windows.

    :param counts: Request counts in any order; those with equal minute and
        outcome, for example from several daemons, are added up.
    :param objectives: Objective by service and class.
    :param now: Last minute of the windows; by default the last minute that has
        a count.
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
    """Convert burn rates to data that can be serialised as JSON.

    :param burns: The burn rates.
    :returns: One dictionary per burn rate.
    """
    return [attrs.asdict(item) for item in burns]


def to_text(burns: Iterable[BurnRate]) -> list[str]:
    """Render burn rates as a table with columns separated by spaces.

    :param burns: The burn rates.
    :returns: The lines of the table, the first with the column names.
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
    """Draw a bar chart of burn rates, with a line at a rate of 1.

    :param burns: The burn rates.
    :param path: Path of the image file to write.
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
