"""The replication stream between the members of a group.

A follower opens a MySQL connection to the primary and runs ``STREAM GROUP
LOG``. The result set has one column and does not end: its first row is the
offset up to which the logs agree, each later row holds entries, or none as a
heartbeat.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from emulator.delays import DelayLine
from emulator.errors import term_refused
from emulator.log import Entry, decode_entries, encode_entries
from emulator.member import Member
from monsoonproxy.clock import Millis
from monsoonproxy.databases import GroupAdapter, GroupConnection
from monsoonproxy.exceptions import MonsoonError

#: Prefix of the user names of followers, which no connection limit counts.
MEMBER_USER = 'member:'
HEARTBEAT = 0.1
_CONNECT_TIMEOUT = Millis(500)
_RETRY_DELAY = 0.05
_BATCH_ENTRIES = 200

#: The term that a follower follows, and entries of the primary.
_Batch = tuple[int, list[Entry]]


async def stream(
    member: Member, term: int, end: int, starts: str
) -> AsyncIterator[tuple[bytes]]:
    """Send the log to a follower until the term ends.

    :param member: The primary.
    :param term: The term that the follower follows.
    :param end: Offset of the last entry of the follower's log.
    :param starts: First offset of each term in its log, as JSON.
    :yields: Rows with one column.
    :raises SqlError: If the member is not the primary of the term.
    """
    if not member.is_primary or member.promise.term != term:
        raise term_refused('not the primary of that term')
    theirs = [(known, offset) for known, offset in json.loads(starts)]
    sent = member.log.common_end(theirs, end)
    yield (str(sent).encode(),)
    while member.is_primary and member.promise.term == term:
        entries = member.log.after(sent, _BATCH_ENTRIES)
        yield (encode_entries(entries),)
        sent += len(entries)
        if sent == member.log.end:
            await member.changed.wait(HEARTBEAT)


class Follower:
    """Follows a primary and reconnects as long as the term lasts.

    :param member: The replica.
    """

    def __init__(self, member: Member) -> None:
        self._member = member
        self._task: asyncio.Task[None] | None = None
        self._agreed = asyncio.Event()
        self._receiving: DelayLine[_Batch] = DelayLine(
            member.gate,
            lambda: (
                member.gate.switches.receive_lag_ms
                + member.gate.switches.delay_ms
            ),
            self._receive,
        )
        member.following = self

    def start(self, term: int, source: str) -> None:
        """Start to follow a primary.

        :param term: Its term.
        :param source: Its ``host:port``.
        """
        self.stop()
        self._agreed = asyncio.Event()
        self._task = asyncio.create_task(self._run(term, source))

    def stop(self) -> None:
        """Stop following; entries that a receive lag holds back are lost."""
        self._receiving.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def settle(self, limit: float) -> None:
        """Wait until the own log agrees with the primary's.

        :param limit: Greatest time to wait, in seconds.
        """
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._agreed.wait(), limit)

    async def _run(self, term: int, source: str) -> None:
        while self._member.may_receive(term):
            await self._member.gate.passage((source,))
            try:
                await self._follow(term, source)
            except MonsoonError:
                await asyncio.sleep(_RETRY_DELAY)

    async def _follow(self, term: int, source: str) -> None:
        connection = await GroupAdapter().connect(
            source,
            user=MEMBER_USER + self._member.name,
            password='',
            timeout=_CONNECT_TIMEOUT,
        )
        try:
            await self._read(connection, term, source)
        finally:
            self._receiving.clear()
            await connection.close()

    async def _read(
        self, connection: GroupConnection, term: int, source: str
    ) -> None:
        log = self._member.log
        starts = json.dumps(log.starts)
        answer = await connection.query(
            f"STREAM GROUP LOG {term} {log.end} STARTS '{starts}'".encode()
        )
        agreed = False
        async for rows in answer.rows:
            await self._member.gate.passage((source,))
            if not self._member.may_receive(term):
                return
            self._member.heard()
            frames = [row[0] or b'' for row in rows]
            if not agreed:
                self._member.truncate(int(frames.pop(0)))
                agreed = True
                self._agreed.set()
            for frame in frames:
                entries = decode_entries(frame)
                if entries:
                    self._receiving.put((term, entries))

    def _receive(self, batch: _Batch) -> None:
        term, entries = batch
        if self._member.may_receive(term):
            self._member.receive(entries)
