"""What a case has seen, in the order in which it happened."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Collects events with their time in s since the start of the case."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the time in s since the start of the case."""
        return time.monotonic() - self._began

    def add(self, kind: str, **fields: Any) -> float:
        """Add an event.

        :param kind: What happened.
        :param fields: Details, as JSON can encode them.
        :returns: The time of the event in s.
        """
        at = self.now()
        self.events.append({'at': round(at, 4), 'kind': kind, **fields})
        return at

    def write(self, path: pathlib.Path) -> None:
        """Write all events, one JSON object per line.

        :param path: The file.
        """
        lines = [json.dumps(event) for event in self.events]
        path.write_text('\n'.join((*lines, '')))
