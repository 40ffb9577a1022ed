"""Log output: one line per event, with a fixed prefix for each component.

Logs contain neither statement text nor values nor keys.
"""

import json
import os
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

from monsoonproxy.clock import Clock

if TYPE_CHECKING:
    from loguru import Logger, Record

_TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[part]}: {message}'
)
#: Rate limit of log lines: average per second, and burst. At 300 bytes a line
#: this is 30 KB/s, which takes one core a few ms.
_MAX_LINES_PER_S = 100
_BURST_LINES = 300
#: Limit of buffered bytes while the reader of the output is too slow.
_MAX_PENDING_BYTES = 256 * 1024
_WARNING_LEVEL = 30
#: Share of the burst that is reserved for warnings, errors and the lines of
#: components that don't log each request. Otherwise, refused statements would
#: crowd out the lines of a start, a stop or a lost dependency.
_RESERVE = 0.25
_REQUEST_PARTS = frozenset(('statement', 'read', 'handover', 'client', 'relay'))


def configure(*, level: str = 'INFO', structured: bool = False) -> None:
    """Send logs to standard error.

    :param level: Lowest level that is written.
    :param structured: Write one JSON object per line.
    """
    logger.remove()
    logger.configure(extra={'part': 'main'})
    logger.add(
        sys.stderr,
        level=level,
        format=_TEXT_FORMAT,
        serialize=structured,
        backtrace=False,
        # Values of variables in a traceback could contain callers' data.
        diagnose=False,
    )


def configure_output(clock: Clock, *, level: str = 'INFO') -> None:
    """Send logs to standard output, one JSON object per line.

    Writing never blocks, and the rate is limited: further lines are dropped,
    and their number is written with the next line that is not.

    :param clock: Source of time.
    :param level: Lowest level that is written.
    """
    logger.remove()
    logger.configure(extra={'part': 'main'})
    logger.add(
        RateLimitedOutput(sys.stdout.fileno(), clock),
        level=level,
        format=_json_format,
        backtrace=False,
        diagnose=False,
    )


def log_for(part: str) -> 'Logger':
    """Return the logger of a component.

    :param part: Prefix of its messages, such as ``holder``.
    :returns: The logger.
    """
    return logger.bind(part=part)


class RateLimitedOutput:
    """Writes log lines to a file descriptor without blocking.

    A token bucket limits the rate of lines.

    :param descriptor: The file descriptor, which is set to non-blocking.
    :param clock: Source of time.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._pending = b''
        self._credit: float = _BURST_LINES
        self._credit_updated_at = clock.now()
        os.set_blocking(descriptor, False)

    def __call__(self, message: Any) -> None:
        """Write a line, or drop it if it exceeds a limit.

        :param message: A formatted message of ``loguru``.
        """
        record = message.record
        is_warning = record['level'].no >= _WARNING_LEVEL
        is_request = record['extra'].get('part') in _REQUEST_PARTS
        if not self._has_credit(uses_reserve=is_warning or not is_request):
            self.dropped += 1
            return
        line = message.encode()
        if self.dropped:
            note = {'part': 'log', 'event': 'lines dropped'}
            note['count'] = str(self.dropped)
            line = json.dumps(note).encode() + b'\n' + line
            self.dropped = 0
        if len(self._pending) + len(line) > _MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line
        self._flush()

    def _has_credit(self, *, uses_reserve: bool) -> bool:
        now = self._clock.now()
        earned = (now - self._credit_updated_at) * _MAX_LINES_PER_S / 1000
        self._credit_updated_at = now
        self._credit = min(_BURST_LINES, self._credit + earned)
        required = 1 if uses_reserve else _BURST_LINES * _RESERVE
        if self._credit < required:
            return False
        self._credit -= 1
        return True

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The output was closed; the daemon goes on without logs.
                self._pending = b''
                return
            self._pending = self._pending[written:]


def _json_format(record: 'Record') -> str:
    """Return a record as a JSON line, escaped as a ``loguru`` format."""
    fields: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name.lower(),
        **record['extra'],
        'event': record['message'],
    }
    if record['exception'] is not None:
        fields['error'] = repr(record['exception'].value)
        fields['trace'] = _innermost_frames(record['exception'].traceback)
    text = json.dumps(fields, default=str)
    return f'{_escape_format(text)}\n'


def _innermost_frames(traceback: Any) -> list[str]:
    """Return file and line of the innermost frames."""
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        place = f'{os.path.basename(code.co_filename)}:{traceback.tb_lineno}'
        frames.append(f'{place} {code.co_name}')
        traceback = traceback.tb_next
    return frames[-6:]


def _escape_format(text: str) -> str:
    # ``loguru`` takes the result as a format string with markup.
    return text.replace('{', '{{').replace('}', '}}').replace('<', r'\<')
