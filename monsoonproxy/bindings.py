"""Parameters of prepared statements and query attributes."""

import re
import struct

import attrs

from monsoonproxy.exceptions import StatementError
from monsoonproxy.streams import PacketError

#: A parameter's type code, whether it is unsigned, and its name.
Binding = tuple[int, bool, str]

_NULL = b'NULL'
_ESCAPES = re.compile(rb"[\x00\n\r\x1a\\']")
_ESCAPED = {
    b'\x00': rb'\0',
    b'\n': rb'\n',
    b'\r': rb'\r',
    b'\x1a': rb'\Z',
    b'\\': rb'\\',
    b"'": rb'\'',
}
_DECIMAL = re.compile(rb'[+-]?[0-9]{1,65}(?:\.[0-9]{1,30})?')
_TEXTS = frozenset((0x0F, 0xF5, 0xF7, 0xF8, 0xFD, 0xFE))
_BLOBS = frozenset((0x10, 0xF9, 0xFA, 0xFB, 0xFC, 0xFF))
_DECIMALS = frozenset((0x00, 0xF6))
_INTEGERS: dict[int, str] = {
    0x01: 'b',
    0x02: 'h',
    0x03: 'i',
    0x08: 'q',
    0x09: 'i',
    0x0D: 'h',
    0xF4: 'b',
}
_FLOATS: dict[int, str] = {0x04: '<f', 0x05: '<d'}
_DATES = frozenset((0x07, 0x0A, 0x0C))
_TIME = 0x0B
_NULL_TYPE = 0x06
_COUNT_FLAG = 0x08
_LONG_SIZES: dict[int, int] = {0xFC: 2, 0xFD: 3, 0xFE: 8}
_SHORT = 251


@attrs.define
class Prepared:
    """A prepared statement of one caller.

    :param parts: The texts between its placeholders.
    :param types: Types of the parameters, from the latest execution that
        sent them.
    :param long_data: Parameters that were sent in pieces.
    """

    parts: list[bytes]
    types: list[Binding] | None = None
    long_data: dict[int, bytearray] | None = None


@attrs.define
class Reader:
    """Reads the fields of a packet.

    :param content: The packet.
    :param start: Where to go on.
    """

    content: bytes
    start: int = 0

    def take(self, size: int) -> bytes:
        """Read some bytes.

        :param size: How many.
        :returns: The bytes.
        :raises PacketError: If the packet is too short.
        """
        end = self.start + size
        if end > len(self.content):
            raise PacketError(1835, 'the packet ends too early')
        taken = self.content[self.start : end]
        self.start = end
        return taken

    def number(self, size: int) -> int:
        """Read an unsigned number.

        :param size: Its size in bytes.
        :returns: The number.
        """
        return int.from_bytes(self.take(size), 'little')

    def length(self) -> int:
        """Read a length-encoded number.

        :returns: The number.
        """
        first = self.number(1)
        if first < _SHORT:
            return first
        if first not in _LONG_SIZES:
            raise PacketError(1835, 'the packet has a malformed length')
        return self.number(_LONG_SIZES[first])

    def rest(self) -> bytes:
        """Read what is left.

        :returns: The bytes.
        """
        return self.content[self.start :]


def read_query(
    content: bytes, with_attributes: bool
) -> tuple[bytes, dict[str, bytes | None]]:
    """Read a text statement and its query attributes.

    :param content: The packet after the command byte.
    :param with_attributes: Whether the caller sends query attributes.
    :returns: The statement's text and the attributes.
    """
    if not with_attributes:
        return content, {}
    reader = Reader(content)
    count = reader.length()
    reader.length()
    if not count:
        return reader.rest(), {}
    nulls = reader.take((count + 7) // 8)
    bindings = _read_bindings(reader, count, named=True)
    if bindings is None:
        raise PacketError(1835, 'query attributes without types')
    attributes = _read_attributes(reader, nulls, bindings, 0)
    return reader.rest(), attributes


def read_execution(
    reader: Reader, prepared: Prepared, with_attributes: bool
) -> tuple[bytes, dict[str, bytes | None]]:
    """Put the parameters of an execution into the statement's text.

    :param reader: The packet, after the statement's number.
    :param prepared: The statement.
    :param with_attributes: Whether the caller may send query attributes.
    :returns: The statement's text and the query attributes.
    """
    flags = reader.number(1)
    reader.take(4)
    own = count = len(prepared.parts) - 1
    if with_attributes and (own or flags & _COUNT_FLAG):
        count = reader.length()
    if count < own:
        raise PacketError(1835, f'{count} parameters instead of {own}')
    if not count:
        return prepared.parts[0], {}
    nulls = reader.take((count + 7) // 8)
    bindings = _read_bindings(reader, count, named=with_attributes)
    if bindings is not None:
        prepared.types = bindings
    if prepared.types is None or len(prepared.types) != count:
        raise PacketError(1835, 'parameters without types')
    pieces = [prepared.parts[0]]
    for index, part in enumerate(prepared.parts[1:]):
        pieces.append(_parameter(reader, prepared, index, nulls))
        pieces.append(part)
    attributes = _read_attributes(reader, nulls, prepared.types, own)
    return b''.join(pieces), attributes


def quote(content: bytes) -> bytes:
    """Write a string as a literal.

    :param content: The string; bytes that are not UTF-8 become a hexadecimal
        literal, which no character set conversion can change.
    :returns: The literal.
    """
    try:
        content.decode()
    except UnicodeDecodeError:
        return _binary(content)
    escaped = _ESCAPES.sub(lambda match: _ESCAPED[match[0]], content)
    return b"'%b'" % escaped


def _binary(content: bytes) -> bytes:
    # Without the introducer the literal would be a number in a numeric
    # context.
    return b"_binary X'%b'" % content.hex().encode()


def _read_bindings(
    reader: Reader, count: int, *, named: bool
) -> list[Binding] | None:
    if not reader.number(1):
        return None
    bindings = []
    for _ in range(count):
        code = reader.number(1)
        unsigned = reader.number(1) >= 0x80
        name = reader.take(reader.length()) if named else b''
        bindings.append((code, unsigned, name.decode(errors='replace')))
    return bindings


def _read_attributes(
    reader: Reader, nulls: bytes, bindings: list[Binding], first: int
) -> dict[str, bytes | None]:
    attributes: dict[str, bytes | None] = {}
    for index, (code, unsigned, name) in enumerate(bindings):
        if index < first:
            continue
        is_null = _is_null(nulls, index)
        attributes[name] = None if is_null else _read(reader, code, unsigned)
    return attributes


def _parameter(
    reader: Reader, prepared: Prepared, index: int, nulls: bytes
) -> bytes:
    code, unsigned, _name = (prepared.types or [])[index]
    if prepared.long_data and index in prepared.long_data:
        content = bytes(prepared.long_data[index])
    elif _is_null(nulls, index) or code == _NULL_TYPE:
        return _NULL
    else:
        content = _read(reader, code, unsigned)
    if code in _BLOBS:
        return _binary(content)
    if code in _INTEGERS or code in _FLOATS:
        return content
    if code in _DECIMALS and _DECIMAL.fullmatch(content):
        return content
    return quote(content)


def _is_null(nulls: bytes, index: int) -> bool:
    return bool(nulls[index // 8] >> index % 8 & 1)


def _read(reader: Reader, code: int, unsigned: bool) -> bytes:
    if code in _TEXTS or code in _BLOBS or code in _DECIMALS:
        return reader.take(reader.length())
    if code in _INTEGERS:
        letter = _INTEGERS[code]
        layout = f'<{letter.upper() if unsigned else letter}'
        return str(_unpack(reader, layout)).encode()
    if code in _FLOATS:
        return _float(_unpack(reader, _FLOATS[code]))
    if code in _DATES:
        return _date(reader.take(reader.number(1)))
    if code == _TIME:
        return _time(reader.take(reader.number(1)))
    raise StatementError(f'parameters of type {code} are not supported')


def _unpack(reader: Reader, layout: str) -> float:
    (number,) = struct.unpack(layout, reader.take(struct.calcsize(layout)))
    return number  # type: ignore[no-any-return]


def _float(number: float) -> bytes:
    text = repr(number)
    if text.lstrip('-') in {'inf', 'nan'}:
        raise StatementError(f'{text} is not a number of the database')
    # A number without an exponent would be an exact decimal.
    return (text if 'e' in text else f'{text}e0').encode()


def _date(packed: bytes) -> bytes:
    padded = packed.ljust(11, b'\x00')
    year, month, day, hour, minute, second, micros = struct.unpack(
        '<HBBBBBI', padded[:11]
    )
    text = f'{year:04}-{month:02}-{day:02}'
    if len(packed) > 4:
        text = f'{text} {hour:02}:{minute:02}:{second:02}'
    if len(packed) > 7:
        text = f'{text}.{micros:06}'
    return text.encode()


def _time(packed: bytes) -> bytes:
    padded = packed.ljust(12, b'\x00')
    negative, days, hour, minute, second, micros = struct.unpack(
        '<BIBBBI', padded[:12]
    )
    sign = '-' if negative else ''
    text = f'{sign}{days * 24 + hour:02}:{minute:02}:{second:02}'
    if len(packed) > 8:
        text = f'{text}.{micros:06}'
    return text.encode()
