"""Closes callers that hold too many bytes, or that stop half-way.

Used by the MySQL interface, whose idle connections must stay small: a caller
that holds little and waits for nothing costs nothing here.
"""

import os
from collections.abc import Iterable
from typing import Protocol

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.overload.byte_budgets import Account, ByteBudget

#: Share of the host's memory that callers' bytes may take, and the least limit
#: in bytes: two packets of the greatest size.
_MEMORY_SHARE = 0.1
_LEAST_LIMIT = 128 * 1024 * 1024
#: Bytes from which a caller is accounted for, and may be closed for them.
_LEAST_HELD = 16 * 1024
#: Time in ms that a packet may take, and bytes per ms that have to come beyond
#: it: 64 KiB/s, a tenth of the slowest links of hosts.
_PACKET_TIME = Millis(30_000)
_PACKET_RATE = 64
#: Time in ms in which a caller has to read a part of its answer.
_READ_TIME = Millis(60_000)


def default_limit() -> int:
    """Return the limit of the bytes of all callers for this host.

    :returns: The limit in bytes.
    """
    memory = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    return max(_LEAST_LIMIT, int(memory * _MEMORY_SHARE))


@attrs.frozen
class GuardRules:
    """What callers may cost.

    :param held: Limit of the bytes that are held for all callers together.
    :param packet_time: Time in ms that a packet may take, whatever its size.
    :param read_time: Time in ms in which a part of an answer must be read.
    """

    held: int = attrs.field(factory=default_limit)
    packet_time: Millis = _PACKET_TIME
    read_time: Millis = _READ_TIME


class GuardedCaller(Protocol):
    """A caller's connection."""

    @property
    def held(self) -> int:
        """Return how many bytes are held for the caller."""

    @property
    def awaited_packet(self) -> object:
        """Return what stands for the packet that has begun to arrive.

        :returns: A value that differs for each packet, or ``None``.
        """

    @property
    def unread_answer(self) -> object:
        """Return what stands for the output that the caller has to read.

        :returns: A value that changes when it reads, or ``None``.
        """

    def shed(self, reason: str) -> None:
        """Close the connection.

        :param reason: Human-readable explanation.
        """


@attrs.define
class _Stall:
    """Something that a caller does not finish.

    :param mark: What stands for it.
    :param since: When it was first seen.
    """

    mark: object
    since: Millis


class CallerGuard:
    """Bounds what all callers of a listener cost.

    :param rules: The bounds.
    """

    def __init__(self, rules: GuardRules) -> None:
        self.budget = ByteBudget(rules.held)
        self._rules = rules
        self._accounts: dict[GuardedCaller, Account] = {}
        self._packets: dict[GuardedCaller, _Stall] = {}
        self._answers: dict[GuardedCaller, _Stall] = {}

    def update(self, caller: GuardedCaller) -> None:
        """Account for what a caller holds now; close those with most if due.

        :param caller: The caller.
        """
        held = caller.held
        account = self._accounts.get(caller)
        if account is None:
            if held < _LEAST_HELD:
                return
            account = self.budget.open()
            self._accounts[caller] = account
        if held < _LEAST_HELD:
            self.budget.close(self._accounts.pop(caller))
            return
        self.budget.set(account, held)
        if self.budget.is_exceeded:
            self._shed()

    def remove(self, caller: GuardedCaller) -> None:
        """Forget a caller whose connection has ended.

        :param caller: The caller.
        """
        account = self._accounts.pop(caller, None)
        if account is not None:
            self.budget.close(account)
        self._packets.pop(caller, None)
        self._answers.pop(caller, None)

    def close_stalled(
        self, callers: Iterable[GuardedCaller], now: Millis
    ) -> None:
        """Close the callers that stop half-way; called periodically.

        :param callers: All callers.
        :param now: The time.
        """
        for caller in tuple(callers):
            packet = _note(self._packets, caller, caller.awaited_packet, now)
            earned = caller.held // _PACKET_RATE
            if packet > self._rules.packet_time + earned:
                caller.shed(f'a packet was incomplete for {packet} ms')
            unread = caller.unread_answer
            if unread is not None:
                self.update(caller)
            answer = _note(self._answers, caller, unread, now)
            if answer > self._rules.read_time:
                caller.shed(f'an answer was not read for {answer} ms')

    def _shed(self) -> None:
        chosen = self.budget.shed(_LEAST_HELD)
        for caller, account in tuple(self._accounts.items()):
            if account in chosen:
                caller.shed(
                    f'callers hold {self.budget.used} bytes, the limit is'
                    f' {self.budget.limit}, and this one {account.held}',
                )


def _note(
    stalls: dict[GuardedCaller, _Stall],
    caller: GuardedCaller,
    mark: object,
    now: Millis,
) -> int:
    """Note what a caller does not finish.

    :returns: For how long in ms it has been the same; 0 if there is nothing.
    """
    if mark is None:
        stalls.pop(caller, None)
        return 0
    stall = stalls.get(caller)
    if stall is None or stall.mark != mark:
        stalls[caller] = _Stall(mark, now)
        return 0
    return now - stall.since
