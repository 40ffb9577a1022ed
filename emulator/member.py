"""A backend server as a member of its group: terms, log and tables."""

import json
import pathlib
import time
from collections.abc import Iterable
from typing import Protocol

import attrs

from emulator.audit import Audit
from emulator.delays import DelayLine
from emulator.errors import SqlError, read_only, term_changed, term_refused
from emulator.log import Cell, Change, Entry, Log
from emulator.signals import Signal
from emulator.switches import Gate, Switches
from emulator.tables import Tables
from emulator.transactions import Transaction, Transactions

PRIMARY = 'primary'
REPLICA = 'replica'


@attrs.define
class Promise:
    """What a member keeps besides its log.

    :param term: The promised term.
    :param candidate: Who was granted it.
    :param role: ``primary`` or ``replica``.
    :param source: ``host:port`` of the primary that it follows.
    """

    term: int = 0
    candidate: str = ''
    role: str = REPLICA
    source: str = ''


class Following(Protocol):
    """Receives the log of a primary."""

    def start(self, term: int, source: str) -> None:
        """Start to follow a primary."""

    def stop(self) -> None:
        """Stop following."""

    async def settle(self, limit: float) -> None:
        """Wait until the own log agrees with the primary's."""


class Member:
    """A member of a group.

    :param name: Its name.
    :param directory: Where its state survives a restart, if anywhere.
    :param switches: Its faults and limits.
    """

    def __init__(
        self,
        name: str,
        directory: pathlib.Path | None = None,
        switches: Switches | None = None,
        audit: Audit | None = None,
    ) -> None:
        self.name = name
        self.gate = Gate(switches or Switches())
        self.audit = audit or Audit(name, None)
        self.following: Following | None = None
        self._meta = directory / 'promise.json' if directory else None
        self.promise = _load_promise(self._meta)
        self.log = Log(directory / 'log' if directory else None)
        self.tables = Tables()
        self.transactions = Transactions(name, self.tables, self.audit)
        self.applied = 0
        self._heard_at = time.monotonic()
        self.changed = Signal()
        self._applying: DelayLine[int] = DelayLine(
            self.gate, lambda: self.gate.switches.apply_lag_ms, self._apply
        )
        self._apply(self.log.end)

    @property
    def is_primary(self) -> bool:
        """Tell whether the member is a primary.

        :returns: Whether it accepts writes.
        """
        return self.promise.role == PRIMARY

    def resume(self) -> None:
        """Take up the role that the member had before a restart."""
        if self.is_primary and self.log.term < self.promise.term:
            # It was killed before it had written the start of its term.
            self._start_term()
        elif self.following is not None and self.promise.source:
            self.following.start(self.promise.term, self.promise.source)

    def status(self) -> dict[str, str]:
        """Return the status row.

        :returns: Columns and values.
        """
        silence = 0
        if not self.is_primary:
            silence = int((time.monotonic() - self._heard_at) * 1000)
        return {
            'name': self.name,
            'role': self.promise.role,
            'promised_term': str(self.promise.term),
            'candidate': self.promise.candidate,
            'log_term': str(self.log.term),
            'received': str(self.log.end),
            'applied': str(self.applied),
            'source_silence_ms': str(silence),
            'leaving': str(int(self.gate.switches.leaving)),
            'term_starts': json.dumps(self.log.starts),
        }

    def set_term(self, term: int, candidate: str) -> None:
        """Grant a term if it is newer than the promised one.

        A member that grants a term also stops following the primary of the
        lower term. Otherwise that primary could still get a write
        acknowledged that the candidate's choice doesn't contain.

        :param term: The term.
        :param candidate: Who asks.
        """
        if term <= self.promise.term:
            return
        self._step_down()
        self._keep(Promise(term, candidate))
        self.audit.write('term', term=term, end=self.log.end)

    def promote(self, term: int, candidate: str) -> None:
        """Become the primary of a granted term.

        :param term: The term.
        :param candidate: Who was granted it.
        :raises SqlError: If the term was not granted to the candidate.
        """
        if (term, candidate) != (self.promise.term, self.promise.candidate):
            raise _promised(self.promise)
        if self.is_primary:
            return
        if self.log.term >= term:
            raise term_refused('the log is already in that term')
        self._stop_following()
        self._apply(self.log.end)
        self._keep(Promise(term, candidate, PRIMARY))
        self._start_term()

    def follow(self, term: int, source: str) -> None:
        """Follow the primary of a term.

        :param term: The term.
        :param source: ``host:port`` of the primary.
        :raises SqlError: If a higher term was promised, or the member is
            itself the primary of that term.
        """
        if term < self.promise.term:
            raise _promised(self.promise)
        if self.is_primary and term == self.promise.term:
            raise term_refused('this is the primary of that term')
        candidate = self.promise.candidate if term == self.promise.term else ''
        self._step_down()
        self._keep(Promise(term, candidate, REPLICA, source))
        self.audit.write('follow', term=term, end=self.log.end, source=source)
        if self.following is not None:
            self.following.start(term, source)

    def may_receive(self, term: int) -> bool:
        """Tell whether entries of a primary may still be accepted.

        :param term: The term of the primary.
        :returns: Whether the member still follows that term.
        """
        return not self.is_primary and self.promise.term == term

    def heard(self) -> None:
        """Note that the primary was heard from."""
        self._heard_at = time.monotonic()

    def truncate(self, end: int) -> None:
        """Remove what the primary's log doesn't contain.

        :param end: Offset of the last common entry.
        """
        if end == self.log.end:
            return
        self.audit.write('truncate', term=self.promise.term, end=end)
        self._applying.clear()
        self.log.truncate(end)
        if self.applied > end:
            self.tables.clear()
            self.applied = 0
            self._apply(end)
        self.changed.notify()

    def receive(self, entries: list[Entry]) -> None:
        """Append entries of the primary.

        :param entries: Entries that follow the own log.
        """
        for entry in entries:
            self.log.append(entry)
        self._applying.put(self.log.end)
        self.changed.notify()

    def commit(
        self, transaction: Transaction, extra: Change | None = None
    ) -> tuple[int, int]:
        """Commit a transaction.

        :param transaction: The transaction.
        :param extra: A table to create.
        :returns: Term and offset of the end of the log.
        :raises SqlError: If a term change ended it, or it can't write here.
        """
        changes = transaction.changes()
        changes += [extra] if extra else []
        if transaction.ended_by_term:
            raise term_changed()
        if changes:
            if not self.is_primary:
                raise read_only()
            offset = self.log.end + 1
            entry = Entry(self.promise.term, offset, transaction.name, changes)
            self._append(entry)
            self.audit.write(
                'commit',
                connection=transaction.connection,
                transaction=transaction.name,
                term=entry.term,
                offset=offset,
                rows=[_audited(change) for change in changes],
            )
        self.transactions.close(transaction)
        return self.log.term, self.log.end

    async def close(self) -> None:
        """End all tasks and close the files."""
        self._stop_following()
        await self._applying.close()
        self.log.close()
        self.audit.close()

    def _start_term(self) -> None:
        term = self.promise.term
        self._append(Entry(term, self.log.end + 1, '', []))
        self.audit.write('promote', term=term, end=self.log.end)

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self._apply(self.log.end)

    def _apply(self, end: int) -> None:
        if end > self.applied:
            self.tables.apply(self.log.after(self.applied, end - self.applied))
            self.applied = end
            self.changed.notify()

    def _step_down(self) -> None:
        self._stop_following()
        if self.is_primary:
            self.heard()
            self.transactions.end_all()

    def _stop_following(self) -> None:
        if self.following is not None:
            self.following.stop()

    def _keep(self, promise: Promise) -> None:
        self.promise = promise
        if self._meta is not None:
            fresh = self._meta.with_suffix('.new')
            fresh.write_text(json.dumps(attrs.asdict(promise)))
            fresh.replace(self._meta)
        self.changed.notify()


def _load_promise(meta: pathlib.Path | None) -> Promise:
    if meta is None or not meta.exists():
        return Promise()
    return Promise(**json.loads(meta.read_text()))


def _audited(change: Change) -> list[object]:
    row = None if change.row is None else _texts(change.row)
    return [change.table, _texts(change.key), row]


def _texts(cells: Iterable[Cell]) -> list[int | str | None]:
    return [
        cell.decode('utf-8', 'surrogateescape')
        if isinstance(cell, bytes)
        else cell
        for cell in cells
    ]


def _promised(promise: Promise) -> SqlError:
    term, candidate = promise.term, promise.candidate
    return term_refused(f'term {term} was promised to {candidate!r}')
