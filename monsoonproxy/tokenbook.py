"""Tokens that order the promotions of all daemons."""

import attrs
import msgspec

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import PlatformError
from monsoonproxy.logs import log_for
from monsoonproxy.stores import StoreRow, Store, Table

_log = log_for('tokens')

#: Tries of a claim whose answer is lost.
_TRIES = 3


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
class _Known:
    """The last row seen, and the greatest token that another daemon told.

    :param version: Version of the row.
    :param token: Token in the row.
    :param heard: Greatest token told.
    :param heard_at: When it was told, or ``None``.
    """

    version: int = 0
    token: int = 0
    heard: int = 0
    heard_at: Millis | None = None


class TokenBook:
    """Takes tokens from the store.

    A token belongs to one order of one daemon. Greater tokens belong to later
    orders, since each is taken by a conditional write.

    :param name: Name of the daemon.
    :param store: The store.
    """

    def __init__(self, name: str, store: Store) -> None:
        self._name = name
        self._store = store
        self._known: dict[str, _Known] = {}
        self._loaded = False

    def newest(self, service: str) -> int:
        """Return the greatest token heard of.

        :param service: Name of the service.
        :returns: The token, 0 if none.
        """
        known = self._known.get(service)
        return max(known.token, known.heard) if known else 0

    def heard(self, service: str, token: int, now: Millis) -> None:
        """Take in a token that another daemon told.

        :param service: Name of the service.
        :param token: The token.
        :param now: The time.
        """
        known = self._known.setdefault(service, _Known())
        if token > self.newest(service):
            known.heard = token
            known.heard_at = now

    def taken_by_other(self, service: str, within: Millis, now: Millis) -> bool:
        """Tell whether another daemon has taken the newest token lately.

        :param service: Name of the service.
        :param within: How long ago at most, in ms.
        :param now: The time.
        :returns: Whether its promotion may still be under way.
        """
        known = self._known.get(service)
        if known is None or known.heard_at is None:
            return False
        return known.heard >= known.token and now - known.heard_at < within

    async def _load(self) -> None:
        """Read the tokens that are in the store, once."""
        if not self._loaded:
            changes = await self._store.read(Table.TOKENS)
            for row in changes.rows:
                self._take(row.key, row)
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
        known = self._known.setdefault(service, _Known())
        entry = _Entry(self._name, self.newest(service) + 1, server_id)
        content = msgspec.json.encode(entry)
        row = await self._write(service, content, known.version)
        found = self._take(service, row)
        return entry.token if found == entry else None

    async def _write(
        self, service: str, content: bytes, expected: int
    ) -> StoreRow:
        """Write a row; repeat that if the answer is lost.

        A repetition after a write that took effect fails its condition and
        returns the row, which tells whose it is.
        """
        problem = PlatformError('not tried')
        for _ in range(_TRIES):
            try:
                return await self._store.write(
                    Table.TOKENS, service, content, expected
                )
            except PlatformError as exc:
                _log.info('Claim for {}: {}', service, exc)
                problem = exc
        raise problem

    def _take(self, service: str, row: StoreRow) -> _Entry:
        known = self._known.setdefault(service, _Known())
        try:
            found = msgspec.json.decode(row.content or b'{}', type=_Entry)
        except msgspec.MsgspecError as exc:
            _log.error('Token row of {} is malformed: {}', service, exc)
            found = _Entry()
        known.version = row.version
        known.token = max(known.token, found.token)
        return found
