"""Tokens that order the promotions of all daemons."""

import attrs
import msgspec

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import PlatformError
from monsoonproxy.logs import log_for
from monsoonproxy.stores import Change, Store, Table

_log = log_for('tokens')

#: Tries of a claim whose answer is lost.
_CLAIM_ATTEMPTS = 3


class _Entry(msgspec.Struct):
    """The stored row of a service.

    :param holder: Daemon that has the token.
    :param token: The token.
    :param server_id: Backend server that it was taken for.
    """

    holder: str = ''
    token: int = 0
    server_id: str = ''


@attrs.define
class _TokenState:
    """The last row seen, and the greatest token that another daemon told.

    :param version: Version of the row.
    :param token: Token in the row.
    :param announced: Greatest token told.
    :param announced_at: When it was told, or ``None``.
    """

    version: int = 0
    token: int = 0
    announced: int = 0
    announced_at: Millis | None = None


class FencingTokens:
    """Takes tokens from the store.

    A token belongs to one order of one daemon. Greater tokens belong to later
    orders, since each is taken by a conditional write.

    :param name: Name of the daemon.
    :param store: The store.
    """

    def __init__(self, name: str, store: Store) -> None:
        self._name = name
        self._store = store
        self._states: dict[str, _TokenState] = {}
        self._loaded = False

    def newest(self, service: str) -> int:
        """Return the greatest token heard of.

        :param service: Name of the service.
        :returns: The token, 0 if none.
        """
        state = self._states.get(service)
        return max(state.token, state.announced) if state else 0

    def record_announced(self, service: str, token: int, now: Millis) -> None:
        """Take in a token that another daemon told.

        :param service: Name of the service.
        :param token: The token.
        :param now: The time.
        """
        state = self._states.setdefault(service, _TokenState())
        if token > self.newest(service):
            state.announced = token
            state.announced_at = now

    def claimed_by_peer(
        self, service: str, within: Millis, now: Millis
    ) -> bool:
        """Tell whether another daemon has taken the newest token lately.

        :param service: Name of the service.
        :param within: How long ago at most, in ms.
        :param now: The time.
        :returns: Whether its promotion may still be under way.
        """
        state = self._states.get(service)
        if state is None or state.announced_at is None:
            return False
        return (
            state.announced >= state.token and now - state.announced_at < within
        )

    async def _load(self) -> None:
        """Read the tokens that are in the store, once."""
        if not self._loaded:
            changes = await self._store.read(Table.TOKENS)
            for row in changes.rows:
                self._record_row(row.key, row)
            self._loaded = True

    async def claim(self, service: str, server_id: str) -> int | None:
        """Take the next token.

        :param service: Name of the service.
        :param server_id: Backend server that is to be promoted with it.
        :returns: The token, or ``None`` if another daemon has just taken one.
        :raises PlatformError: If the store does not answer. The token may be
            taken nevertheless, which does no harm.
        """
        await self._load()
        state = self._states.setdefault(service, _TokenState())
        entry = _Entry(self._name, self.newest(service) + 1, server_id)
        content = msgspec.json.encode(entry)
        row = await self._write(service, content, state.version)
        found = self._record_row(service, row)
        return entry.token if found == entry else None

    async def _write(
        self, service: str, content: bytes, expected: int
    ) -> Change:
        """Write a row; repeat that if the answer is lost.

        A repetition after a write that took effect fails its condition and
        returns the row, which tells whose it is.
        """
        problem = PlatformError('not tried')
        for _ in range(_CLAIM_ATTEMPTS):
            try:
                return await self._store.write(
                    Table.TOKENS, service, content, expected
                )
            except PlatformError as exc:
                _log.info('Claim for {}: {}', service, exc)
                problem = exc
        raise problem

    def _record_row(self, service: str, row: Change) -> _Entry:
        state = self._states.setdefault(service, _TokenState())
        try:
            found = msgspec.json.decode(row.content or b'{}', type=_Entry)
        except msgspec.MsgspecError as exc:
            _log.error('Token row of {} is malformed: {}', service, exc)
            found = _Entry()
        state.version = row.version
        state.token = max(state.token, found.token)
        return found
