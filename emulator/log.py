"""The replicated log of a backend server."""

import pathlib
import struct
from collections.abc import Iterable
from typing import TypeAlias

import msgspec

#: A stored value; text is kept as the bytes that the client sent.
Cell: TypeAlias = int | bytes | None
Key: TypeAlias = tuple[Cell, ...]
Starts: TypeAlias = tuple[tuple[int, int], ...]

_LENGTH = struct.Struct('>I')


class ColumnSpec(msgspec.Struct, frozen=True, array_like=True):
    """A column of a table.

    :param name: Column name.
    :param kind: ``int``, ``text`` or ``blob``.
    :param auto: Whether it is filled by auto increment.
    :param default: Value if an insert leaves the column out.
    """

    name: str
    kind: str
    auto: bool = False
    default: Cell = None


class Schema(msgspec.Struct, frozen=True, array_like=True):
    """The definition of a table.

    :param columns: The columns in order.
    :param key: Indexes of the primary key's columns; empty if there is none.
    """

    columns: list[ColumnSpec]
    key: list[int]


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change to one row, or the creation of a table.

    :param table: Name of the table.
    :param key: Primary key of the row.
    :param row: The new row; ``None`` if the row is deleted.
    :param schema: Definition of a table to create.
    """

    table: str
    key: Key = ()
    row: tuple[Cell, ...] | None = None
    schema: Schema | None = None


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """What one transaction committed, or the start of a term.

    :param term: Term of the primary that wrote it.
    :param offset: Its place in the log, counted from 1.
    :param transaction: Identifies the transaction in the audit log.
    :param changes: The changes; none at the start of a term.
    """

    term: int
    offset: int
    transaction: str
    changes: list[Change]


_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(Entry)
_entries_decoder = msgspec.msgpack.Decoder(list[Entry])


def encode_entries(entries: list[Entry]) -> bytes:
    """Encode entries for the replication stream.

    :param entries: Consecutive entries, or none for a heartbeat.
    :returns: Their MessagePack form.
    """
    return _encoder.encode(entries)


def decode_entries(frame: bytes) -> list[Entry]:
    """Decode what :func:`encode_entries` returned.

    :param frame: The MessagePack form.
    :returns: The entries.
    """
    return _entries_decoder.decode(frame)


class Log:
    """An append log that may be kept in a file.

    Writes reach the operating system before :meth:`append` returns, so the
    log survives a killed process, though not a host that loses power.

    :param path: The file, or ``None`` to keep the log in memory only.
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self._entries: list[Entry] = []
        self._starts: list[tuple[int, int]] = []
        self._ends: list[int] = []
        self._file = None
        if path is not None:
            path.touch()
            self._file = path.open('r+b', buffering=0)
            self._load(self._file.read())

    @property
    def end(self) -> int:
        """Return the offset of the last entry.

        :returns: The offset, 0 if the log is empty.
        """
        return len(self._entries)

    @property
    def term(self) -> int:
        """Return the term of the last entry.

        :returns: The term, 0 if the log is empty.
        """
        return self._starts[-1][0] if self._starts else 0

    @property
    def starts(self) -> Starts:
        """Return the first offset of each term.

        :returns: Pairs of term and offset.
        """
        return tuple(self._starts)

    def append(self, entry: Entry) -> None:
        """Append an entry.

        :param entry: The entry that follows the last one.
        :raises ValueError: If it doesn't follow the last one.
        """
        if entry.offset != self.end + 1 or entry.term < self.term:
            raise ValueError(f'entry {entry.offset} does not follow {self.end}')
        if self._file is not None:
            frame = _encoder.encode(entry)
            self._file.write(_LENGTH.pack(len(frame)) + frame)
            self._ends.append(self._file.tell())
        self._add(entry)

    def truncate(self, end: int) -> None:
        """Remove all entries after an offset.

        :param end: Offset of the last entry that stays.
        """
        self._entries = self._entries[:end]
        self._starts = [start for start in self._starts if start[1] <= end]
        if self._file is not None:
            self._ends = self._ends[:end]
            size = self._ends[-1] if self._ends else 0
            self._file.truncate(size)
            self._file.seek(size)

    def after(self, offset: int, limit: int | None = None) -> list[Entry]:
        """Return the entries after an offset.

        :param offset: The offset.
        :param limit: The greatest number of entries to return.
        :returns: The entries in order.
        """
        stop = None if limit is None else offset + limit
        return self._entries[offset:stop]

    def common_end(self, starts: Iterable[tuple[int, int]], end: int) -> int:
        """Find where another log stops being the same as this one.

        A term has one primary, so two logs agree on a term from its start to
        the end of the shorter one.

        :param starts: First offset of each term in the other log.
        :param end: Offset of the last entry of the other log.
        :returns: Offset of the last common entry.
        """
        theirs = list(starts)
        common = 0
        for index, (mine, other) in enumerate(zip(self._starts, theirs)):
            if mine != other:
                break
            common = min(
                _segment_end(self._starts, index, self.end),
                _segment_end(theirs, index, end),
            )
        return common

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _add(self, entry: Entry) -> None:
        if entry.term != self.term or not self._starts:
            self._starts.append((entry.term, entry.offset))
        self._entries.append(entry)

    def _load(self, stored: bytes) -> None:
        place = 0
        while place + _LENGTH.size <= len(stored):
            length = _LENGTH.unpack_from(stored, place)[0]
            stop = place + _LENGTH.size + length
            if stop > len(stored):
                break
            self._add(_entry_decoder.decode(stored[stop - length : stop]))
            self._ends.append(stop)
            place = stop
        # Drops an entry whose write the kill interrupted.
        self.truncate(self.end)


def _segment_end(starts: list[tuple[int, int]], index: int, end: int) -> int:
    if index + 1 < len(starts):
        return starts[index + 1][1] - 1
    return end
