"""Logs: short sentences with a fixed prefix for each part.

Logs hold neither statement text nor values nor keys.
"""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

_TEXT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[part]}: {message}'
)


def configure(
    *,
    level: str = 'INFO',
    structured: bool = False,
    to_output: bool = False,
) -> None:
    """Send logs to standard error.

    :param level: Lowest level that is written.
    :param structured: Write one JSON object per line.
    :param to_output: Send them to standard output instead.
    """
    logger.remove()
    logger.configure(extra={'part': 'main'})
    logger.add(
        sys.stdout if to_output else sys.stderr,
        level=level,
        format=_TEXT,
        serialize=structured,
        backtrace=False,
        # Variable values of a traceback could hold callers' data.
        diagnose=False,
    )


def log_for(part: str) -> 'Logger':
    """Return the logger of a part.

    :param part: Prefix of its messages, such as ``holder``.
    :returns: A logger.
    """
    return logger.bind(part=part)
