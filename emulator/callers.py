"""Callers of the daemons, as a load generator and its experiments use them."""

import asyncio
import random
import re
import struct
import time
from collections.abc import Mapping, Sequence

import attrs
from asyncmy import errors
from asyncmy.connection import Connection

from monsoonproxy.models import Outcome

#: Time in s that a caller waits beyond a request's deadline. A daemon that
#: stays silent for that long has broken its promise of an outcome.
PATIENCE = 3
_CONNECT_TIMEOUT = 2
_NOT_RUN = 4100
_UNKNOWN = 4101
#: Code of a lost connection.
LOST = 2013
#: Codes that the client library raises itself.
_LIBRARY_CODES = range(2000, 3000)
_RETRY_AFTER = re.compile(r'come back after (\d+) ms')
#: Time in ms until the next try if the daemon named none.
_DEFAULT_RETRY = 200
_LIBRARY_ERRORS = (
    errors.MySQLError,
    OSError,
    RuntimeError,
    ValueError,
    LookupError,
    AssertionError,
    struct.error,
)


@attrs.frozen
class RequestError(Exception):
    """A request without an answer.

    :param outcome: How it ended.
    :param code: Code of the error.
    :param text: Its message.
    :param alive: Whether the connection can still be used.
    """

    outcome: Outcome
    code: int
    text: str
    alive: bool = True

    @property
    def retry_after(self) -> int:
        """Return the time after which to try again.

        :returns: The time in ms.
        """
        match = _RETRY_AFTER.search(self.text)
        return int(match.group(1)) if match else _DEFAULT_RETRY


class _Wire(Connection):
    # The library's stubs leave this attribute out.
    _stream_broken: bool

    def broken(self) -> bool:
        """Tell whether the other end has closed the connection."""
        return not self.connected or self._stream_broken


@attrs.define
class Link:
    """A connection of a caller.

    :param daemon: Name of the daemon.
    :param token: Whether the session began with a token.
    """

    daemon: str
    token: bool
    _conn: _Wire

    async def run(self, sql: str, limit: float) -> Sequence[tuple]:
        """Run a statement.

        :param sql: Its text.
        :param limit: Time in s to wait for the answer.
        :returns: The rows.
        :raises RequestError: If there is no answer.
        """
        try:
            async with asyncio.timeout(limit):
                cursor = self._conn.cursor()
                await cursor.execute(sql)
                return await cursor.fetchall() or ()
        except TimeoutError:
            self.close()
            raise RequestError(
                Outcome.UNKNOWN, 0, 'no outcome came', alive=False
            ) from None
        except _LIBRARY_ERRORS as exc:
            raise self._converted(exc) from exc

    @property
    def broken(self) -> bool:
        """Tell whether the daemon has closed the connection.

        :returns: Whether it has, so that nothing should be sent any more.
        """
        return self._conn.broken()

    def close(self) -> None:
        """Close the connection without a farewell."""
        self._conn.close()

    def _converted(self, exc: Exception) -> RequestError:
        code = exc.args[0] if exc.args else LOST
        is_answer = isinstance(exc, errors.MySQLError) and isinstance(code, int)
        if not is_answer or code in _LIBRARY_CODES:
            self.close()
            return RequestError(Outcome.UNKNOWN, LOST, str(exc), alive=False)
        outcomes = {_NOT_RUN: Outcome.NOT_RUN, _UNKNOWN: Outcome.UNKNOWN}
        outcome = outcomes.get(code, Outcome.FAILED)
        return RequestError(outcome, code, str(exc))


async def connect(daemon: str, address: str, service: str) -> Link:
    """Connect to a daemon or a backend server.

    :param daemon: Its name.
    :param address: ``ip:port`` of its MySQL port.
    :param service: The service.
    :returns: The connection.
    :raises OSError: If no connection came about.
    """
    host, port = address.split(':')
    conn = _Wire(
        host=host,
        port=int(port),
        user='caller',
        password='',  # noqa: S106  The stand-ins check no passwords.
        database=service,
        connect_timeout=_CONNECT_TIMEOUT,
        autocommit=None,
    )
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT):
            await conn.connect()
    # A timeout is an OSError too.
    except _LIBRARY_ERRORS as exc:
        conn.close()
        raise OSError(f'{daemon}: {exc}') from exc
    return Link(daemon, token=False, conn=conn)


class Reconnector:
    """Keeps a caller connected to some daemon.

    :param addresses: Caller addresses of the daemons by name.
    :param service: The service.
    :param rng: Chooses daemons.
    """

    def __init__(
        self, addresses: Mapping[str, str], service: str, rng: random.Random
    ) -> None:
        self._addresses = addresses
        self._service = service
        self._rng = rng
        self.number = 0
        self.link: Link | None = None

    async def get(self, token: str = '') -> Link:
        """Return the connection; open one to another daemon if it is gone.

        :param token: Session token to bring along.
        :returns: The connection.
        :raises OSError: If no daemon can be reached now.
        """
        if self.link is not None and not self.link.broken:
            return self.link
        self.drop()
        names = list(self._addresses)
        self._rng.shuffle(names)
        problem = OSError('no daemon')
        for name in names:
            try:
                link = await connect(name, self._addresses[name], self._service)
            except OSError as exc:
                problem = exc
                continue
            self.number += 1
            self.link = link
            await self._bring(link, token)
            return link
        raise problem

    def drop(self) -> None:
        """Close the connection; the next one goes to any daemon."""
        if self.link is not None:
            self.link.close()
            self.link = None

    async def _bring(self, link: Link, token: str) -> None:
        if not token:
            return
        try:
            await link.run(f"SET @@monsoonproxy_token = '{token}'", PATIENCE)
        except RequestError as exc:
            self.drop()
            raise OSError(f'the token was refused: {exc.text}') from exc
        link.token = True


def now() -> int:
    """Return the time of the load process.

    :returns: Monotonic time in ms, rounded down.
    """
    return time.monotonic_ns() // 1_000_000
