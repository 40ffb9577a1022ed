"""Tests of the measurement of capacity: fits and counters of processes."""

import os
import socket
import time

from emulator import processes
from emulator.capacity_memory import slope
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

_SIZE = 100_000


def test_slope() -> None:
    """Guards against slopes that a constant cost or its sign distorts."""
    fit = slope([(1, 5), (2, 3), (4, -1)])
    assert _rounded(fit) == {
        'slope': -2,
        'intercept': 7,
        'largest_deviation': 0,
    }


def test_deviation() -> None:
    """Guards against a fit that hides a point off the line."""
    fit = slope([(0, 0), (1, 3), (2, 0)])
    assert _rounded(fit) == {
        'slope': 0,
        'intercept': 1,
        'largest_deviation': 2,
    }


def test_byte_counts() -> None:
    """Guards against bytes read from the wrong place of the kernel's answer.

    The sender counts what the receiver's kernel has acknowledged, which may
    take a moment after the receiver has read it. The kernel counts the SYN of
    the end that connected as one byte.
    """
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = server.getsockname()[1]
        with socket.create_connection(('127.0.0.1', port)) as sender:
            receiver, _ = server.accept()
            with receiver:
                sender.sendall(bytes(_SIZE))
                left = _SIZE
                while left:
                    left -= len(receiver.recv(left))
                local = sender.getsockname()[1]
                sent, received = _counted(local, port)
    assert sent == (_SIZE + 1, 0)
    assert received == (0, _SIZE)


def _rounded(fit: dict[str, float]) -> dict[str, float]:
    return {name: round(figure, 9) for name, figure in fit.items()}


def _counted(local: int, port: int) -> tuple[tuple[int, int], tuple[int, int]]:
    """Return bytes sent and received of both ends, once acknowledged."""
    until = time.monotonic() + 10
    while True:
        conns = processes.usage(os.getpid()).connections.values()
        ends = {(conn.local, conn.remote): conn for conn in conns}
        sender, receiver = ends[local, port], ends[port, local]
        if sender.sent >= _SIZE or time.monotonic() > until:
            return (
                (sender.sent, sender.received),
                (receiver.sent, receiver.received),
            )
        time.sleep(0.01)
