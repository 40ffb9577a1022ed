"""Row locks of the primary."""

import asyncio
from collections import deque

from emulator.errors import SqlError, term_changed
from emulator.log import Key

LockKey = tuple[str, Key]
_Grant = asyncio.Future[None]

#: As long as a holder's statement deadline may be, so that a lock that is
#: never released still ends the statement.
LOCK_TIMEOUT = 10


class Owner:
    """A transaction, as far as locks are concerned."""

    def __init__(self) -> None:
        self.held: set[LockKey] = set()
        self.awaited: LockKey | None = None
        self.ended_by_term = False


_Queue = deque[tuple[Owner, _Grant]]


class Locks:
    """Exclusive locks on rows, granted in the order of the requests."""

    def __init__(self) -> None:
        self._owners: dict[LockKey, Owner] = {}
        self._queues: dict[LockKey, _Queue] = {}

    async def acquire(self, key: LockKey, owner: Owner) -> None:
        """Lock a row until the transaction ends.

        :param key: Table and primary key.
        :param owner: The transaction.
        :raises SqlError: On a deadlock (1213) or a timeout (1205), or if a
            term change ends the transaction (3100).
        """
        current = self._owners.setdefault(key, owner)
        if current is owner:
            owner.held.add(key)
            return
        if self._closes_cycle(owner, current):
            raise SqlError(
                1213, '40001', 'Deadlock found; transaction rolled back'
            )
        granted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._queues.setdefault(key, deque()).append((owner, granted))
        owner.awaited = key
        try:
            await asyncio.wait_for(granted, LOCK_TIMEOUT)
        except asyncio.TimeoutError:
            raise SqlError(
                1205, 'HY000', 'Lock wait timeout exceeded'
            ) from None
        finally:
            owner.awaited = None
        if owner.ended_by_term:
            raise term_changed()

    def release(self, owner: Owner) -> None:
        """Release all locks of a transaction.

        :param owner: The transaction.
        """
        for key in owner.held:
            self._pass_on(key)
        owner.held = set()

    def interrupt(self, owner: Owner) -> None:
        """End a transaction's wait for a lock because of a term change.

        :param owner: The transaction.
        """
        owner.ended_by_term = True
        for waiter, granted in self._queues.get(owner.awaited or ('', ()), ()):
            if waiter is owner and not granted.done():
                granted.set_exception(term_changed())

    def _pass_on(self, key: LockKey) -> None:
        queue = self._queues.get(key, deque())
        while queue:
            owner, granted = queue.popleft()
            if not granted.done():
                self._owners[key] = owner
                owner.held.add(key)
                # The search for cycles must not see the new owner wait for
                # itself before its task has run.
                owner.awaited = None
                granted.set_result(None)
                return
        self._queues.pop(key, None)
        self._owners.pop(key, None)

    def _closes_cycle(self, owner: Owner, current: Owner | None) -> bool:
        while current is not None and current.awaited is not None:
            current = self._owners.get(current.awaited)
            if current is owner:
                return True
        return False
