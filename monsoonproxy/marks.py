"""Parser of marks: request options in SQL comments and query attributes."""

import re
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import unquote_to_bytes

from monsoonproxy.exceptions import MarksError
from monsoonproxy.models import Marks

#: Greatest ``max_age_ms`` that a request may set.
MAX_AGE = 3_600_000
#: Greatest ``deadline_ms`` that a request may set. A shutdown takes at most
#: 30,000 ms, and the last 5,000 ms are reserved for ending transactions; every
#: request has to end before that.
MAX_DEADLINE = 25_000
_Parser = Callable[[str], Any]
_FieldParser = tuple[str, _Parser]

_INTEGER = re.compile('[0-9]{1,9}')
#: Allows no character that needs escaping in the SQL that records request ids.
_REQUEST_ID = re.compile(r'[A-Za-z0-9_.:\-]{1,64}')
_REQUEST_CLASS = re.compile('[A-Za-z][A-Za-z0-9_-]{0,31}')
_TOKEN = re.compile('[A-Za-z0-9_=-]{1,512}')
#: Longer comments are ignored. All marks at their greatest length fit in.
_MAX_COMMENT_BYTES = 4096
_BOOLEANS: dict[str, bool] = {'true': True, 'false': False}

_QUOTED_PAIR = re.compile(
    rb"\s*([^=,'\s]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*(?:,|$)", re.S
)
_UNQUOTED = re.compile(
    rb'(?:^|,)\s*(max_age_ms|deadline_ms|repeatable|request_id)\s*='
)


def _integer_within(least: int, greatest: int) -> Callable[[str], int]:
    def convert(text: str) -> int:
        if not _INTEGER.fullmatch(text):
            raise ValueError('not an integer of 1 to 9 digits')
        number = int(text)
        if not least <= number <= greatest:
            raise ValueError(f'not between {least} and {greatest}')
        return number

    return convert


def _text_matching(pattern: re.Pattern[str]) -> Callable[[str], str]:
    def validate(text: str) -> str:
        if not pattern.fullmatch(text):
            raise ValueError('empty, too long or has a forbidden character')
        return text

    return validate


def _boolean(text: str) -> bool:
    if text not in _BOOLEANS:
        raise ValueError('neither true nor false')
    return _BOOLEANS[text]


#: For each key, the field of :class:`Marks` and the parser of its value.
KEYS: dict[str, _FieldParser] = {
    'max_age_ms': ('max_age', _integer_within(0, MAX_AGE)),
    'deadline_ms': ('deadline', _integer_within(1, MAX_DEADLINE)),
    'repeatable': ('repeatable', _boolean),
    'request_id': ('request_id', _text_matching(_REQUEST_ID)),
    'class': ('request_class', _text_matching(_REQUEST_CLASS)),
    'token': ('token', _text_matching(_TOKEN)),
}
_NO_MARKS = Marks()


def parse(sql: bytes, attributes: Mapping[str, bytes | None] | None) -> Marks:
    """Parse the marks of a request.

    A query attribute takes precedence over the same key in the comment.

    :param sql: The statement, which may end with a sqlcommenter comment.
    :param attributes: The query attributes; those with other keys are ignored.
    :returns: The marks.
    :raises MarksError: If a mark is malformed.
    """
    found = _parse_comment(sql)
    for key, text in (attributes or {}).items():
        if key in KEYS and text is not None:
            found[key] = text
    if not found:
        return _NO_MARKS
    return Marks(**dict(map(_parse_bytes, found, found.values())))


def parse_one(key: str, text: str) -> tuple[str, Any]:
    """Parse one mark.

    :param key: One of :data:`KEYS`.
    :param text: Value of the mark as text.
    :returns: The field of :class:`Marks` and the parsed value.
    :raises MarksError: If the value is not valid for the key.
    """
    field, parser = KEYS[key]
    try:
        return field, parser(text)
    except ValueError as exc:
        shown = text[:64]
        raise MarksError(f'mark {key}: {shown!r} is {exc}') from None


def _parse_bytes(key: str, text: bytes) -> tuple[str, Any]:
    return parse_one(key, text.decode(errors='replace'))


def _parse_comment(sql: bytes) -> dict[str, bytes]:
    text = sql.rstrip(b'; \t\r\n')
    if not text.endswith(b'*/'):
        return {}
    start = text.rfind(b'/*')
    body = text[start + 2 : -2].strip() if start >= 0 else b''
    if len(body) > _MAX_COMMENT_BYTES:
        return {}
    found = {}
    end = 0
    while match := _QUOTED_PAIR.match(body, end):
        end = match.end()
        key = unquote_to_bytes(match[1]).decode(errors='replace')
        if key in KEYS:
            found[key] = unquote_to_bytes(_unescape(match[2]))
    malformed = _UNQUOTED.search(body[end:])
    if malformed is not None:
        name = malformed[1].decode()
        raise MarksError(f'mark {name}: the value must be in single quotes')
    return found


def _unescape(text: bytes) -> bytes:
    return text.replace(rb'\'', b"'")
