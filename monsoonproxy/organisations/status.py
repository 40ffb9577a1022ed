"""What an operator sees of the organisations on one daemon."""

from collections.abc import Iterator, Mapping

import attrs

_PREFIX = 'monsoonproxy_organisation'


@attrs.frozen
class OrganisationStatus:
    """Limit and use of an organisation.

    :param version: Version of the configuration with its keys and limit.
    :param rate: Limit in operations per second over all daemons; 0 for none.
    :param burst: Operations beyond the rate that may come at once.
    :param held_rate: The part of the rate that this daemon holds and grants.
    :param held_tokens: Operations that this daemon could grant now.
    :param admitted: Operations that this daemon has run since its start.
    :param refused: Operations that it refused since its start, because the
        limit was reached.
    """

    version: int
    rate: float
    burst: float
    held_rate: float = 0
    held_tokens: float = 0
    admitted: int = 0
    refused: int = 0


def organisations_text(statuses: Mapping[str, OrganisationStatus]) -> str:
    """Return the metrics of all organisations in the Prometheus text format.

    :param statuses: Limit and use by name of the organisation.
    :returns: The text, one sample per line.
    """
    return ''.join(f'{line}\n' for line in _lines(statuses))


def _lines(statuses: Mapping[str, OrganisationStatus]) -> Iterator[str]:
    if not statuses:
        return
    yield f'# TYPE {_PREFIX}_operations_total counter'
    for name, status in sorted(statuses.items()):
        for outcome in ('admitted', 'refused'):
            labels = f'organisation="{name}",outcome="{outcome}"'
            number = getattr(status, outcome)
            yield f'{_PREFIX}_operations_total{{{labels}}} {number}'
    for gauge in ('rate', 'held_rate', 'held_tokens'):
        yield f'# TYPE {_PREFIX}_{gauge} gauge'
        for name, status in sorted(statuses.items()):
            reading = getattr(status, gauge)
            yield f'{_PREFIX}_{gauge}{{organisation="{name}"}} {reading:g}'
