"""Rows of the binary protocol."""

import re
import struct
from collections.abc import Callable

from monsoonproxy import messages, packets

Encoder = Callable[[messages.Row], bytes]
_Convert = Callable[[bytes], bytes]

_UNSIGNED = 0x20
_INTEGERS: dict[int, str] = {
    0x01: '<b',
    0x02: '<h',
    0x03: '<i',
    0x08: '<q',
    0x09: '<i',
    0x0D: '<H',
}
_FLOATS: dict[int, str] = {0x04: '<f', 0x05: '<d'}
_DATES = frozenset((0x07, 0x0A, 0x0C))
_TIME = 0x0B
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
    if code in _INTEGERS:
        layout = _INTEGERS[code]
        if column.flags & _UNSIGNED:
            layout = layout.upper()
        return lambda cell: struct.pack(layout, int(cell))
    if code in _FLOATS:
        layout = _FLOATS[code]
        return lambda cell: struct.pack(layout, float(cell))
    if code in _DATES:
        return _date
    return _time if code == _TIME else packets.length_prefixed


def _date(cell: bytes) -> bytes:
    match = _DATE_TEXT.fullmatch(cell)
    if match is None:
        raise ValueError(f'not a date: {cell!r}')
    numbers = [int(part or 0) for part in match.groups()[:6]]
    return _pack('<HBBBBB', (*numbers,), match[7], (0, 4, 7))


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
