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
_TEXTS = frozenset((15, 0xF5, 0xF7, 0xF8, 0xFD, 0xFE))
_BLOBS = frozenset((0x10, 0xF9, 0xFA, 0xFB, 0xFC, 0xFF))
_DECIMALS = frozenset((0, 0xF6))
#: Sizes of integers in bytes.
_INTEGERS: dict[int, int] = {1: 1, 2: 2, 3: 4, 8: 8, 9: 4, 13: 2, 0xF4: 1}
_FLOATS = {4: struct.Struct('<f'), 5: struct.Struct('<d')}
_DATES = frozenset((7, 10, 12))
_TIME = 11
_DATE = struct.Struct('<HBBBBBI')
_DURATION = struct.Struct('<BIBBBI')
_NULL_TYPE = 6
_COUNT_FLAG = 8
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
    own = len(prepared.parts) - 1
    count = own
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
    size = _INTEGERS.get(code)
    if size is not None:
        number = int.from_bytes(
            reader.take(size), 'little', signed=not unsigned
        )
        return str(number).encode()
    layout = _FLOATS.get(code)
    if layout is not None:
        return _float(*layout.unpack(reader.take(layout.size)))
    if code in _DATES:
        return _date(reader.take(reader.number(1)))
    if code == _TIME:
        return _time(reader.take(reader.number(1)))
    raise StatementError(f'parameters of type {code} are not supported')


def _float(number: float) -> bytes:
    text = repr(number)
    if text.lstrip('-') in {'inf', 'nan'}:
        raise StatementError(f'{text} is not a number of the database')
    # A number without an exponent would be an exact decimal.
    return (text if 'e' in text else f'{text}e0').encode()


def _date(packed: bytes) -> bytes:
    fields = _DATE.unpack(packed.ljust(_DATE.size, b'\x00')[: _DATE.size])
    text = '{0:04}-{1:02}-{2:02}'.format(*fields)
    if len(packed) > 4:
        text += ' {0:02}:{1:02}:{2:02}'.format(*fields[3:])
    return _with_micros(text, fields[-1])


def _time(packed: bytes) -> bytes:
    fields = _DURATION.unpack(
        packed.ljust(_DURATION.size, b'\x00')[: _DURATION.size]
    )
    sign = '-' if fields[0] else ''
    hours = fields[1] * 24 + fields[2]
    text = '{0}{1:02}:{2:02}:{3:02}'.format(sign, hours, *fields[3:])
    return _with_micros(text, fields[-1])


def _with_micros(text: str, micros: int) -> bytes:
    if micros:
        digits = str(micros).zfill(6)
        text = f'{text}.{digits}'
    return text.encode()
