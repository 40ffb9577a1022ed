"""The audit log: what a backend server did, for a checker to read later."""

import json
import pathlib
import time
from typing import Any


class Audit:
    """Writes JSON lines; each reaches the operating system at once.

    Every line has ``kind``, ``server`` and ``at`` (Unix time in ms). Kinds:

    - ``statement``: ``connection``, ``transaction``, ``sql``, ``error``
    - ``commit``: ``connection``, ``transaction``, ``term``, ``offset``, and
      ``rows`` with the table, key and new row of each change
    - ``rollback``: ``connection``, ``transaction``, ``reason``
    - ``term``, ``promote``, ``follow``, ``truncate``: ``term``, ``end``

    :param server: Name of the backend server.
    :param path: The file, or ``None`` to keep the lines in ``lines``.
    """

    def __init__(self, server: str, path: pathlib.Path | None) -> None:
        self._server = server
        self._file = path.open('ab', buffering=0) if path else None
        self.lines: list[dict[str, Any]] = []

    def write(self, kind: str, **fields: Any) -> None:
        """Write a line.

        :param kind: What happened.
        :param fields: Its particulars.
        """
        at = time.time_ns() // 1_000_000
        line = {'kind': kind, 'server': self._server, 'at': at, **fields}
        if self._file is None:
            self.lines.append(line)
            return
        text = json.dumps(line)
        self._file.write(f'{text}\n'.encode())

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
