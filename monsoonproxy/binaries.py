"""Rows of the binary protocol."""

import re
import struct
from collections.abc import Callable

from monsoonproxy import messages, packets

Encoder = Callable[[messages.Row], bytes]
_Convert = Callable[[bytes], bytes]

_UNSIGNED = 0x20
_INTEGERS: dict[int, str] = {
    1: '<b',
    2: '<h',
    3: '<i',
    8: '<q',
    9: '<i',
    13: '<H',
}
_FLOATS = {4: struct.Struct('<f'), 5: struct.Struct('<d')}
_DATES = frozenset((7, 10, 12))
_TIME = 11
_HOURS = 24
_DATE_TEXT = re.compile(
    rb'(\d+)-(\d+)-(\d+)(?:[ T](\d+):(\d+):(\d+)(?:\.(\d{1,6}))?)?'
)
_TIME_TEXT = re.compile(rb'(-?)(\d+):(\d+):(\d+)(?:\.(\d{1,6}))?')


def text_encoder(_columns: list[messages.Column]) -> Encoder:
    """Return the encoder of the text protocol.

    :param _columns: The columns of the result; not needed.
    :returns: The encoder.
    """
    return packets.text_row


def binary_encoder(columns: list[messages.Column]) -> Encoder:
    """Return an encoder of the binary protocol.

    :param columns: The columns of the result.
    :returns: The encoder; it takes values as text, as backend servers send
        them.
    """
    converts = list(map(_converter, columns))
    size = (len(columns) + 9) // 8

    def encode(row: messages.Row) -> bytes:
        nulls = bytearray(size)
        parts: list[bytes | bytearray] = [b'\x00', nulls]
        for index, cell in enumerate(row):
            if cell is None:
                place = index + 2
                nulls[place // 8] |= 1 << place % 8
            else:
                parts.append(converts[index](cell))
        return b''.join(parts)

    return encode


def _converter(column: messages.Column) -> _Convert:
    code = column.type_code
    integer = _INTEGERS.get(code)
    if integer is not None:
        if column.flags & _UNSIGNED:
            integer = integer.upper()
        whole = struct.Struct(integer)
        return lambda cell: whole.pack(int(cell))
    real = _FLOATS.get(code)
    if real is not None:
        return lambda cell: real.pack(float(cell))
    if code in _DATES:
        return _date
    return _time if code == _TIME else packets.length_prefixed


def _date(cell: bytes) -> bytes:
    match = _DATE_TEXT.fullmatch(cell)
    if match is None:
        raise ValueError(f'not a date: {cell!r}')
    numbers = [int(part or 0) for part in match.groups()[:6]]
    return _pack('<HBBBBB', tuple(numbers), match[7], (0, 4, 7))


def _time(cell: bytes) -> bytes:
    match = _TIME_TEXT.fullmatch(cell)
    if match is None:
        raise ValueError(f'not a time: {cell!r}')
    days, hours = divmod(int(match[2]), _HOURS)
    fields = (match[1] == b'-', days, hours, int(match[3]), int(match[4]))
    return _pack('<BIBBB', fields, match[5], (0, 8))


def _pack(
    layout: str,
    fields: tuple[int, ...],
    fraction: bytes | None,
    sizes: tuple[int, ...],
) -> bytes:
    packed = struct.pack(layout, *fields)
    micros = int((fraction or b'').ljust(6, b'0'))
    if micros:
        packed += micros.to_bytes(4, 'little')
        return bytes((len(packed),)) + packed
    size = next(
        size for size in (*sizes, len(packed)) if not any(packed[size:])
    )
    return bytes((size,)) + packed[:size]
