"""Tests of parameters and of rows of the binary protocol."""

import contextlib
import re
import struct
from collections.abc import Callable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from monsoonproxy import (
    bindings,
    handshakes,
    messages,
    packets,
    statements,
)
from monsoonproxy.exceptions import StatementError
from monsoonproxy.streams import PacketError
from tests.callers import Running, end
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_UNSIGNED = st.integers(0, 2**64 - 1)


async def test_binary_rows(running: Running) -> None:
    """Guards against a value that the binary protocol changes."""
    cells = {
        (1, 0): (b'-5', b'\xfb'),
        (8, 0x20): (b'18446744073709551615', b'\xff' * 8),
        (5, 0): (b'0.1', struct.pack('<d', 0.1)),
        (12, 0): (b'2026-12-04 00:00:00', b'\x04\xea\x07\x0c\x04'),
        (10, 0): (b'0000-00-00', b'\x00'),
        (11, 0): (
            b'-25:00:01.5',
            b'\x0c\x01\x01\x00\x00\x00\x01\x00\x01\x20\xa1\x07\x00',
        ),
        (0xFC, 0): (b'\x00\xff', b'\x02\x00\xff'),
    }
    columns = [messages.Column('a', code, 63, flag) for code, flag in cells]
    row: messages.Row = [text for text, _packed in cells.values()]
    running.executor.answers[b'SELECT a'] = [
        messages.ResultHeader(1, [*columns, columns[0]]),
        messages.ResultRows(1, 0, [[*row, None]]),
        end(row_messages=1),
    ]
    caller = await running.raw()
    number = await caller.prepare(b'SELECT a')
    assert await caller.execute(number, []) == b'\x08'
    for _ in range(9):
        await caller.read()
    packed = b''.join(packed for _text, packed in cells.values())
    assert await caller.read() == b'\x00\x00\x02%b' % packed


@given(st.binary(max_size=300), st.text(max_size=50), _UNSIGNED)
def test_parameters(blob: bytes, text: str, number: int) -> None:
    """Guards against a parameter that changes on its way into the text."""
    raw = text.encode()
    fields = b''.join(
        (
            packets.length_prefixed(blob),
            packets.length_prefixed(raw),
            number.to_bytes(8, 'little'),
        )
    )
    head = b'\x00\x01\x00\x00\x00\x08\x01\xfc\x00\xfd\x00\x08\x80\x06\x00'
    prepared = bindings.Prepared(statements.split(b"S '?' ?,?,?,?"))
    sql, _ = bindings.read_execution(
        bindings.Reader(b''.join((head, fields))),
        prepared,
        with_attributes=False,
    )
    binary = b"_binary X'%b'" % blob.hex().encode()
    start = b"S '?' %b,'" % binary
    end = b"',%d,NULL" % number
    assert sql.startswith(start)
    assert sql.endswith(end)
    escaped = sql[len(start) : -len(end)]
    plain = {b'0': b'\x00', b'n': b'\n', b'r': b'\r', b'Z': b'\x1a'}
    undone = re.sub(
        rb'\\(.)', lambda match: plain.get(match[1], match[1]), escaped, 0, re.S
    )
    assert undone == raw
    assert not re.search(rb"[\x00\n\r\x1a]|(?<!\\)(?:\\\\)*'", escaped)


async def test_parameter_types(running: Running) -> None:
    """Guards against dates, numbers and broken text that change."""
    caller = await running.raw()
    number = await caller.prepare(b'INSERT ?,?,?,?,?,?,?')
    answer = await caller.execute(number, [
        (5, struct.pack('<d', 1)),
        (1, b'\xfe'),
        (12, b'\x07\xea\x07\x0c\x04\x01\x02\x03'),
        (11, b'\x08\x01\x01\x00\x00\x00\x02\x03\x04'),
        (0xFD, b'\x01\xff'),
        (0xF6, b'\x041.50'),
        (8, None),
    ])  # fmt: skip
    assert answer[0] == 0
    assert running.executor.texts() == [
        b"INSERT 1.0e0,-2,'2026-12-04 01:02:03','-26:03:04',"
        b"_binary X'ff',1.50,NULL"
    ]


async def test_query_attributes() -> None:
    """Guards against query attributes that are lost."""
    content = b'\x02\x01\x02\x01\xfe\x00\x0amax_age_ms\x08\x00\x01x\x03500S'
    assert bindings.read_query(content, with_attributes=True) == (
        b'S',
        {'max_age_ms': b'500', 'x': None},
    )


@given(st.binary(max_size=120))
def test_malformed_packets(content: bytes) -> None:
    """Guards against an unexpected error or an endless loop."""
    offered = packets.CAPABILITIES
    prepared = bindings.Prepared(statements.split(b'INSERT ?, ?'))
    reads: tuple[Callable[[], Any], ...] = (
        lambda: handshakes.parse_login(offered, content),
        lambda: handshakes.parse_change_user(offered, content),
        lambda: bindings.read_query(content, with_attributes=True),
        lambda: bindings.read_execution(
            bindings.Reader(content), prepared, with_attributes=True
        ),
    )
    for read in reads:
        with contextlib.suppress(PacketError, StatementError):
            read()
