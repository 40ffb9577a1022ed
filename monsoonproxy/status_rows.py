"""Parser of the status rows in which backend servers report positions."""

import functools
import json
from collections.abc import Mapping

from monsoonproxy.clock import Millis
from monsoonproxy.models import BackendReport, Role


def parse(row: Mapping[str, bytes | None]) -> BackendReport:
    """Parse a status row of the group protocol.

    :param row: Cells by column name, as the text protocol encodes them.
    :returns: The report.
    :raises LookupError: If a column is missing.
    :raises ValueError: If a cell can't be parsed.
    """
    cells = {name: (cell or b'').decode() for name, cell in row.items()}
    return BackendReport(
        name=cells['name'],
        role=Role(cells['role']),
        promised_term=int(cells['promised_term']),
        candidate=cells['candidate'],
        log_term=int(cells['log_term']),
        received=int(cells['received']),
        applied=int(cells['applied']),
        source_silence=Millis(int(cells['source_silence_ms'])),
        leaving=cells['leaving'] == '1',
        term_starts=_parse_term_starts(cells['term_starts']),
    )


@functools.lru_cache(maxsize=64)
def _parse_term_starts(text: str) -> tuple[tuple[int, int], ...]:
    """Parse the term starts; cached, since they change only with the term."""
    return tuple((term, offset) for term, offset in json.loads(text))
