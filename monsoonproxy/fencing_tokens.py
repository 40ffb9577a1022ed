"""Fencing tokens, which order the promotions of all daemons."""

import attrs
import msgspec

from monsoonproxy.clock import Millis
from monsoonproxy.decoding import DECODE_ERRORS
from monsoonproxy.exceptions import PlatformError, StoreRestoredError
from monsoonproxy.logs import log_for
from monsoonproxy.stores import Revision, Store, StoreRow, Table

_log = log_for('tokens')

#: Attempts to write one claim if the store's answers are lost.
_WRITE_ATTEMPTS = 3
#: Attempts to claim a token if the store is restored meanwhile.
_CLAIM_ATTEMPTS = 2
#: Bits of a token for the version within an era. Versions last for years at
#: thousands of transactions per second.
_VERSION_BITS = 40


class _Entry(msgspec.Struct):
    """The stored row of a service.

    :param holder: Daemon that claimed the token.
    :param token: The token.
    :param server_id: Backend server to be promoted with the token.
    """

    holder: str = ''
    token: int = 0
    server_id: str = ''


@attrs.define
class _TokenState:
    """What a daemon knows about the tokens of one service.

    :param revision: Revision of the row; version 0 if there is none.
    :param token: Greatest token seen in a row.
    :param entry: Content of the latest row.
    :param announced: Greatest token that another daemon announced.
    :param announced_at: When that was announced, or ``None`` if never.
    """

    revision: Revision = Revision()
    token: int = 0
    entry: _Entry = attrs.Factory(_Entry)
    announced: int = 0
    announced_at: Millis | None = None


class FencingTokens:
    """Claims fencing tokens in the store.

    A token belongs to one promotion order of one daemon. Greater tokens belong
    to later orders: a token consists of era and version of the row that its
    claim replaced, and a row of one version can be replaced only once.

    :param name: Name of the daemon.
    :param store: The store.
    """

    def __init__(self, name: str, store: Store) -> None:
        self._name = name
        self._store = store
        self._states: dict[str, _TokenState] = {}
        #: Era in which the rows were read, ``None`` if they have to be read.
        self._era: int | None = None

    def newest(self, service: str) -> int:
        """Return the greatest token seen in the store or announced.

        :param service: Name of the service.
        :returns: The token, 0 if none.
        """
        state = self._states.get(service)
        return max(state.token, state.announced) if state else 0

    def record_announced(self, service: str, token: int, now: Millis) -> None:
        """Record a token that another daemon announced.

        :param service: Name of the service.
        :param token: The token.
        :param now: The time.
        """
        state = self._state(service)
        # The token may be known already, from the row that the peer wrote.
        if token >= self.newest(service):
            state.announced = token
            state.announced_at = now

    def claimed_by_peer(
        self, service: str, within: Millis, now: Millis
    ) -> bool:
        """Tell whether another daemon recently claimed the newest token.

        :param service: Name of the service.
        :param within: Greatest age of the announcement in ms.
        :param now: The time.
        :returns: Whether the promotion of that daemon may still be under way.
        """
        state = self._states.get(service)
        if state is None or state.announced_at is None:
            return False
        return (
            state.announced >= state.token and now - state.announced_at < within
        )

    async def claim(
        self, service: str, server_id: str, replaced: str = ''
    ) -> int | None:
        """Claim the next token of a service.

        A daemon that reads the tokens for the first time may find one that
        another daemon has just claimed for the same failure, and that it has
        not heard of.

        :param service: Name of the service.
        :param server_id: Backend server to be promoted with the token.
        :param replaced: Backend server that led until now, if one did.
        :returns: The token, or ``None`` if another daemon may just have claimed
            one; a token that this daemon claimed on top of it stays unused.
        :raises PlatformError: If the store does not answer. The token may have
            been claimed nevertheless, which does no harm.
        """
        announced = self._state(service).announced
        for _ in range(_CLAIM_ATTEMPTS - 1):
            try:
                return await self._claim(
                    service, server_id, replaced, announced
                )
            except StoreRestoredError as exc:
                # The row may be gone, and its version be given out again.
                _log.info('Reading all fencing tokens again: {}', exc)
                self._era = None
        return await self._claim(service, server_id, replaced, announced)

    async def _claim(
        self, service: str, server_id: str, replaced: str, announced: int
    ) -> int | None:
        """Claim a token, unless another one than given is announced."""
        is_first = self._era is None
        await self._load()
        state = self._state(service)
        if is_first and self._may_be_pending(state.entry, server_id, replaced):
            _log.info(
                'Fencing token {} for {} was claimed by {} to promote {}',
                state.token,
                service,
                state.entry.holder,
                state.entry.server_id,
            )
            return None
        least = _least_token(state.revision)
        token = max(least, self.newest(service) + 1)
        entry = _Entry(self._name, token, server_id)
        content = msgspec.json.encode(entry)
        expected = state.revision
        row = await self._write(service, content, expected)
        found = self._record_row(service, row)
        if found != entry or state.announced != announced:
            return None
        _log.info(
            'Claimed fencing token {} for {}: row is {} after {}',
            entry.token,
            service,
            row.revision,
            expected,
        )
        return entry.token

    def _may_be_pending(
        self, found: _Entry, server_id: str, replaced: str
    ) -> bool:
        """Tell whether the promotion of a claim may still be under way.

        It is not if its backend server is the one to be replaced, nor if this
        daemon has just made the claim itself.
        """
        own = (self._name, server_id)
        is_own = (found.holder, found.server_id) == own
        return found.server_id not in {'', replaced} and not is_own

    async def _load(self) -> None:
        """Read the tokens in the store, at the first claim in an era."""
        if self._era is not None:
            return
        changes = await self._store.read(Table.TOKENS)
        self._era = changes.revision.era
        for state in self._states.values():
            state.revision = Revision(self._era)
        for row in changes.rows:
            self._record_row(row.key, row)

    async def _write(
        self, service: str, content: bytes, expected: Revision
    ) -> StoreRow:
        """Write a row, again if the answer is lost.

        A repeated write fails its condition if the first one took effect. The
        store then returns the row, which names the daemon that wrote it.
        """
        problem = PlatformError('not tried')
        for _ in range(_WRITE_ATTEMPTS):
            try:
                return await self._store.write(
                    Table.TOKENS, service, content, expected
                )
            except StoreRestoredError:
                raise
            except PlatformError as exc:
                _log.info('Fencing token claim for {} failed: {}', service, exc)
                problem = exc
        raise problem

    def _state(self, service: str) -> _TokenState:
        unknown = _TokenState(Revision(self._era or 0))
        return self._states.setdefault(service, unknown)

    def _record_row(self, service: str, row: StoreRow) -> _Entry:
        state = self._state(service)
        try:
            found = msgspec.json.decode(row.content or b'{}', type=_Entry)
        except DECODE_ERRORS as exc:
            _log.error('Fencing token row of {} is malformed: {}', service, exc)
            found = _Entry()
        state.revision = row.revision
        state.token = max(state.token, found.token)
        state.entry = found
        return found


def _least_token(replaced: Revision) -> int:
    """Return a token that no other claim has.

    The token in the row does not suffice: the row may be missing after a
    restore of the store, or hold a claim that was carried out late.

    :param replaced: Revision of the row that the claim replaces.
    :returns: The token; at least 1.
    """
    return (replaced.era << _VERSION_BITS) + replaced.version + 1
