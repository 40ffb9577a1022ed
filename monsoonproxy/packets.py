"""Packets that the entry side sends to callers."""

import functools
import itertools

from mysql_mimic.types import Capabilities, ServerStatus, uint_len

from monsoonproxy import messages

#: What the entry side offers. Multi statements are left out: an answer has one
#: result. So is session tracking: the info of an OK packet is plain text.
CAPABILITIES = (
    Capabilities.CLIENT_LONG_PASSWORD
    | Capabilities.CLIENT_LONG_FLAG
    | Capabilities.CLIENT_CONNECT_WITH_DB
    | Capabilities.CLIENT_PROTOCOL_41
    | Capabilities.CLIENT_TRANSACTIONS
    | Capabilities.CLIENT_SECURE_CONNECTION
    | Capabilities.CLIENT_MULTI_RESULTS
    | Capabilities.CLIENT_PLUGIN_AUTH
    | Capabilities.CLIENT_CONNECT_ATTRS
    | Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
    | Capabilities.CLIENT_DEPRECATE_EOF
    | Capabilities.CLIENT_QUERY_ATTRIBUTES
)
_IN_TRANSACTION = ServerStatus.SERVER_STATUS_IN_TRANS.value
_AUTOCOMMIT = ServerStatus.SERVER_STATUS_AUTOCOMMIT.value
_OK = b'\x00'
_EOF = b'\xfe'
_NULL = b'\xfb'
_SHORT = 251
_LENGTHS = tuple(bytes((size,)) for size in range(_SHORT))
_COLUMN_LENGTH = 0xFFFFFF
_FLOAT_TYPES = frozenset((4, 5))
_NO_DECIMALS = 31


def status_flags(in_transaction: bool, autocommit: bool) -> int:
    """Return the status flags of a session.

    :param in_transaction: Whether a transaction is open.
    :param autocommit: Whether autocommit is on.
    :returns: The flags.
    """
    flags = _AUTOCOMMIT if autocommit else 0
    return flags | _IN_TRANSACTION if in_transaction else flags


def ok(
    status: int,
    affected_rows: int = 0,
    insert_id: int = 0,
    warnings: int = 0,
    info: bytes = b'',
) -> bytes:
    """Encode an OK packet.

    :param status: Status flags.
    :param affected_rows: Number of rows that a write changed.
    :param insert_id: Last insert id.
    :param warnings: Warning count.
    :param info: Text for people.
    :returns: The payload.
    """
    return b''.join(
        (
            _OK,
            uint_len(affected_rows),
            uint_len(insert_id),
            status.to_bytes(2, 'little'),
            _count(warnings),
            info,
        )
    )


def end_of_rows(status: int, warnings: int, short: bool) -> bytes:
    """Encode the packet that ends the rows of a result.

    :param status: Status flags.
    :param warnings: Warning count.
    :param short: Whether the caller takes no EOF packets but OK packets.
    :returns: The payload.
    """
    flags = status.to_bytes(2, 'little')
    if short:
        return b''.join((_EOF, b'\x00\x00', flags, _count(warnings)))
    return b''.join((_EOF, _count(warnings), flags))


def error(code: int, sqlstate: str, text: str) -> bytes:
    """Encode an ERR packet.

    :param code: Error code.
    :param sqlstate: The five-character SQLSTATE.
    :param text: The message.
    :returns: The payload.
    """
    state = sqlstate.encode('ascii', 'replace')[:5].ljust(5, b'0')
    return b''.join(
        (
            b'\xff',
            code.to_bytes(2, 'little'),
            b'#',
            state,
            text.encode(errors='replace'),
        )
    )


def unknown_service(service: str) -> bytes:
    """Encode the answer to a caller that names an unknown service.

    :param service: What the caller asked for.
    :returns: The payload.
    """
    shown = service[:64]
    return error(1049, '42000', f'Unknown database {shown!r}')


def header(
    columns: list[messages.Column], status: int, short: bool
) -> list[bytes]:
    """Encode the packets that start a result with rows.

    :param columns: The columns.
    :param status: Status flags.
    :param short: Whether the caller takes no EOF packets.
    :returns: The payloads.
    """
    packets = [uint_len(len(columns)), *map(_definition, columns)]
    if not short:
        packets.append(end_of_rows(status, 0, short=False))
    return packets


def text_row(row: messages.Row) -> bytes:
    """Encode a row of the text protocol.

    :param row: The values.
    :returns: The payload.
    """
    parts = []
    for cell in row:
        if cell is None:
            parts.append(_NULL)
            continue
        size = len(cell)
        parts.append(_LENGTHS[size] if size < _SHORT else uint_len(size))
        parts.append(cell)
    return b''.join(parts)


def length_prefixed(content: bytes) -> bytes:
    """Encode bytes with their length in front.

    :param content: The bytes.
    :returns: Length and bytes.
    """
    return uint_len(len(content)) + content


def prepared(
    statement: int, parameters: int, status: int, short: bool
) -> list[bytes]:
    """Encode the answer to a request to prepare a statement.

    The result's columns are not known before it runs; none are announced.

    :param statement: Number of the statement.
    :param parameters: Number of its parameters.
    :param status: Status flags.
    :param short: Whether the caller takes no EOF packets.
    :returns: The payloads.
    """
    head = b''.join(
        (
            _OK,
            statement.to_bytes(4, 'little'),
            b'\x00\x00',
            parameters.to_bytes(2, 'little'),
            b'\x00\x00\x00',
        )
    )
    marker = _definition(messages.Column('?', 0xFD, 63, 0))
    answer = [head, *itertools.repeat(marker, parameters)]
    if parameters and not short:
        answer.append(end_of_rows(status, 0, short=False))
    return answer


# Most results have columns that an earlier result had too.
@functools.lru_cache(maxsize=4096)
def _definition(column: messages.Column) -> bytes:
    name = length_prefixed(column.name.encode())
    decimals = _NO_DECIMALS if column.type_code in _FLOAT_TYPES else 0
    return b''.join(
        (
            b'\x03def\x00\x00\x00',
            name,
            name,
            b'\x0c',
            column.charset.to_bytes(2, 'little'),
            _COLUMN_LENGTH.to_bytes(4, 'little'),
            bytes((column.type_code,)),
            (column.flags & 0xFFFF).to_bytes(2, 'little'),
            bytes((decimals, 0, 0)),
        )
    )


def _count(warnings: int) -> bytes:
    return min(warnings, 0xFFFF).to_bytes(2, 'little')
