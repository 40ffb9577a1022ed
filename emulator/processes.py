"""Reads processor time, memory and TCP byte counts of processes.

Processor time and memory come from ``/proc``. Bytes come from the kernel's
socket diagnosis (``NETLINK_SOCK_DIAG``), which counts the payload that each TCP
socket has sent (acknowledged) and received. TCP and IP headers are not counted.
"""

import os
import pathlib
import socket
import struct
from collections.abc import Iterator, Mapping

import attrs

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST_AND_DUMP = 0x301
_INET_DIAG_INFO = 2
_ALL_STATES = 0xFFFFFFFF
_DONE = 3
_HEADER = struct.Struct('<IHHII')
_REQUEST = struct.Struct('<BBBBI48x')
_PORTS = struct.Struct('>HH')
_ATTRIBUTE = struct.Struct('<HH')
_INODE = struct.Struct('<I')
_COUNTERS = struct.Struct('<QQ')
#: Offsets in ``inet_diag_msg`` and ``tcp_info``.
_PORTS_AT = 4
_INODE_AT = 68
_MESSAGE_SIZE = 72
_COUNTERS_AT = 120
_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')


@attrs.frozen
class Connection:
    """A TCP socket.

    :param inode: Its number, unique while it exists.
    :param local: Local port.
    :param remote: Remote port.
    :param sent: Bytes that the other side has acknowledged. The kernel counts
        the SYN of the end that connected as one byte.
    :param received: Bytes received.
    """

    inode: int
    local: int
    remote: int
    sent: int
    received: int


@attrs.frozen
class Usage:
    """What a process has used so far.

    :param processor: Processor time in seconds.
    :param memory: Resident memory in bytes.
    :param connections: Its TCP sockets by inode.
    """

    processor: float
    memory: int
    connections: Mapping[int, Connection]


def usage(pid: int) -> Usage:
    """Read what a process has used.

    :param pid: The process.
    :returns: Its usage.
    """
    proc = pathlib.Path('/proc', str(pid))
    # The name of the program, in brackets, may contain spaces.
    fields = (proc / 'stat').read_text().rpartition(')')[2].split()
    pages = int((proc / 'statm').read_text().split()[1])
    inodes = _inodes(proc)
    connections = {
        conn.inode: conn for conn in tcp_connections() if conn.inode in inodes
    }
    processor = (int(fields[11]) + int(fields[12])) / _TICKS
    return Usage(processor, pages * _PAGE, connections)


def tcp_connections() -> Iterator[Connection]:
    """Ask the kernel for all TCP sockets over IPv4.

    :yields: The sockets.
    """
    extension = 1 << (_INET_DIAG_INFO - 1)
    body = _REQUEST.pack(
        socket.AF_INET, socket.IPPROTO_TCP, extension, 0, _ALL_STATES
    )
    head = _HEADER.pack(
        _HEADER.size + len(body), _SOCK_DIAG_BY_FAMILY, _REQUEST_AND_DUMP, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as sock:
        sock.send(head + body)
        while True:
            reply = sock.recv(1 << 17)
            yield from _parse(reply)
            if _kinds(reply)[-1] == _DONE:
                return


def _inodes(proc: pathlib.Path) -> set[int]:
    inodes = set()
    for entry in (proc / 'fd').iterdir():
        try:
            target = str(entry.readlink())
        except FileNotFoundError:
            continue
        if target.startswith('socket:['):
            inodes.add(int(target[8:-1]))
    return inodes


def _messages(reply: bytes) -> Iterator[tuple[int, bytes]]:
    offset = 0
    while offset < len(reply):
        size, kind = _HEADER.unpack_from(reply, offset)[:2]
        yield kind, reply[offset + _HEADER.size : offset + size]
        offset += _aligned(size)


def _kinds(reply: bytes) -> list[int]:
    return [kind for kind, _body in _messages(reply)]


def _parse(reply: bytes) -> Iterator[Connection]:
    for kind, body in _messages(reply):
        if kind != _SOCK_DIAG_BY_FAMILY:
            continue
        local, remote = _PORTS.unpack_from(body, _PORTS_AT)
        inode = _INODE.unpack_from(body, _INODE_AT)[0]
        sent, received = _byte_counts(body)
        yield Connection(inode, local, remote, sent, received)


def _byte_counts(body: bytes) -> tuple[int, int]:
    offset = _MESSAGE_SIZE
    while offset < len(body):
        size, kind = _ATTRIBUTE.unpack_from(body, offset)
        if kind == _INET_DIAG_INFO:
            start = offset + _ATTRIBUTE.size + _COUNTERS_AT
            sent, received = _COUNTERS.unpack_from(body, start)
            return sent, received
        offset += _aligned(size)
    return 0, 0


def _aligned(size: int) -> int:
    return (size + 3) & ~3
