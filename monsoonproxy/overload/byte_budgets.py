"""Bounds the memory that callers' messages take."""

import asyncio
import collections

import attrs

from monsoonproxy.clock import Millis, seconds


@attrs.define(eq=False)
class Account:
    """Bytes of one caller.

    :param held: Bytes that are held for it now.
    :param is_shed: Whether it is being closed, and frees them soon.
    """

    held: int = 0
    is_shed: bool = False


class ByteBudget:
    """A bound on the bytes of all callers together.

    :param limit: Greatest number of bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._accounts: set[Account] = set()

    def open(self) -> Account:
        """Add a caller.

        :returns: Its account.
        """
        account = Account()
        self._accounts.add(account)
        return account

    def close(self, account: Account) -> None:
        """Remove a caller and what is held for it.

        :param account: Its account.
        """
        self.set(account, 0)
        self._accounts.discard(account)

    def set(self, account: Account, held: int) -> None:
        """Note how many bytes are held for a caller.

        :param account: Its account.
        :param held: Number of bytes.
        """
        if account in self._accounts:
            self.used += held - account.held
            account.held = held

    @property
    def is_exceeded(self) -> bool:
        """Tell whether more bytes are held than allowed."""
        return self.used > self.limit

    def shed(self, least: int) -> list[Account]:
        """Choose the accounts to close so that the limit holds.

        Those with most bytes come first. Accounts that were chosen before free
        theirs soon, and are not chosen again.

        :param least: Accounts with fewer bytes are kept in any case.
        :returns: The accounts.
        """
        freed = sum([each.held for each in self._accounts if each.is_shed])
        kept = [each for each in self._accounts if not each.is_shed]
        chosen = []
        for account in sorted(kept, key=_held, reverse=True):
            if self.used - freed <= self.limit or account.held < least:
                break
            account.is_shed = True
            freed += account.held
            chosen.append(account)
        return chosen


class Reservations:
    """Bounds the bytes of large statements that are in work at once.

    :param limit: Greatest number of bytes; a single statement may exceed it.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._waiting: collections.deque[tuple[int, asyncio.Future[None]]] = (
            collections.deque()
        )

    async def acquire(self, count: int, limit: Millis) -> bool:
        """Reserve bytes, in order of arrival.

        :param count: Number of bytes.
        :param limit: Longest wait in ms.
        :returns: Whether they are reserved.
        """
        if not self._waiting and self._fits(count):
            self.used += count
            return True
        granted = asyncio.get_running_loop().create_future()
        entry = (count, granted)
        self._waiting.append(entry)
        try:
            await asyncio.wait((granted,), timeout=seconds(limit))
        finally:
            if not granted.done():
                self._waiting.remove(entry)
        return granted.done()

    def release(self, count: int) -> None:
        """Return reserved bytes, and admit the next statements.

        :param count: Number of bytes.
        """
        self.used -= count
        while self._waiting and self._fits(self._waiting[0][0]):
            wanted, granted = self._waiting.popleft()
            if not granted.done():
                self.used += wanted
                granted.set_result(None)

    def _fits(self, count: int) -> bool:
        return not self.used or self.used + count <= self.limit


def _held(account: Account) -> int:
    return account.held
