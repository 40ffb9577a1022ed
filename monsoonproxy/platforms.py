"""HTTP client of the platform: table service, object store, host list."""

import asyncio
import json
from urllib.parse import quote

import aiohttp
import attrs

from monsoonproxy import adapters
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.exceptions import PlatformError, PreconditionError
from monsoonproxy.models import Host, HostState

_SUCCESS_STATUSES = frozenset((200, 201, 204))
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_DEFAULT_TIMEOUT = Millis(1000)

#: Errors of decoding a malformed list; deep nesting raises the last one.
_MALFORMED = (ValueError, KeyError, TypeError, RecursionError)


@attrs.frozen
class _Reply:
    status: int
    etag: str
    body: bytes


@adapters.platforms.register('http')
@attrs.define
class HttpPlatform:
    """Platform adapter for services that share one base URL.

    An instance may be created before the event loop runs: its HTTP session is
    opened by the first call.

    :param url: Base URL, such as ``http://127.0.0.1:8300``.
    :param timeout: Time limit of each call in ms.
    """

    url: str
    timeout: Millis = _DEFAULT_TIMEOUT
    _session: aiohttp.ClientSession | None = attrs.field(
        default=None, init=False
    )
    _cached: dict[str, '_Reply'] = attrs.field(factory=dict, init=False)

    async def read(self, key: str) -> adapters.Versioned | None:
        """Read a key of the table service.

        :param key: The key.
        :returns: Value and version, or ``None`` if the key doesn't exist.
        """
        reply = await self._fetch(_path('table', key))
        if reply.status == _NOT_FOUND:
            return None
        return adapters.Versioned(_require_etag(reply), reply.body)

    async def write(self, key: str, body: bytes, etag: str | None) -> str:
        """Write a key of the table service if its version is as expected.

        :param key: The key.
        :param body: The new value.
        :param etag: The expected version; ``None`` if the key must not exist.
        :returns: The new version.
        :raises PreconditionError: If the stored version differs.
        """
        condition = (
            {'If-None-Match': '*'} if etag is None else {'If-Match': etag}
        )
        reply = await self._call(
            'PUT', _path('table', key), body=body, headers=condition
        )
        if reply.status == _PRECONDITION_FAILED:
            raise PreconditionError(f'{key} was changed by another writer')
        return _require_etag(reply)

    async def put_object(self, key: str, body: bytes) -> None:
        """Write to the object store.

        :param key: Key of the object.
        :param body: Its content.
        """
        _raise_for_status(
            await self._call('PUT', _path('objects', key), body=body)
        )

    async def get_object(self, key: str) -> bytes | None:
        """Read from the object store.

        :param key: Key of the object.
        :returns: Its content, or ``None`` if the key doesn't exist.
        """
        reply = await self._call('GET', _path('objects', key))
        if reply.status == _NOT_FOUND:
            return None
        _raise_for_status(reply)
        return reply.body

    async def hosts(self) -> list[Host]:
        """Read the platform's list of hosts.

        :returns: The listed hosts.
        :raises PlatformError: If the list is malformed.
        """
        reply = await self._fetch('/hosts')
        _raise_for_status(reply)
        try:
            return [_parse_host(entry) for entry in json.loads(reply.body)]
        except _MALFORMED as exc:
            raise PlatformError(f'malformed host list: {exc}') from exc

    async def close(self) -> None:
        """Close the HTTP session; the next call opens a new one."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch(self, path: str) -> _Reply:
        """Read a document that seldom changes, with a conditional GET.

        The request carries the ETag of the cached reply, so the platform does
        not send an unchanged document again.
        """
        cached = self._cached.get(path)
        headers = {'If-None-Match': cached.etag} if cached else {}
        reply = await self._call('GET', path, headers=headers)
        if cached is not None and reply.status == _NOT_MODIFIED:
            return cached
        if reply.etag:
            self._cached[path] = reply
        return reply

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> _Reply:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=seconds(self.timeout)),
                middlewares=(_disable_retries,),
            )
        try:
            async with self._session.request(
                method, self.url + path, data=body, headers=headers
            ) as response:
                return _Reply(
                    response.status,
                    response.headers.get('ETag', ''),
                    await response.read(),
                )
        except asyncio.TimeoutError as exc:
            raise PlatformError(
                f'{method} {path}: no answer within {self.timeout} ms'
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise PlatformError(f'{method} {path}: {exc}') from exc


async def _disable_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp sends a PUT again if the connection fails before the answer. If
    # the first PUT took effect, the second would be refused with status 412,
    # as if another writer had changed the key.
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise PlatformError(f'{request.method} {request.url}: {exc}') from exc


def _path(service: str, key: str) -> str:
    return f'/{service}/{quote(key, safe="")}'


def _raise_for_status(reply: _Reply) -> None:
    if reply.status not in _SUCCESS_STATUSES:
        raise PlatformError(f'the platform answered with status {reply.status}')


def _require_etag(reply: _Reply) -> str:
    _raise_for_status(reply)
    if not reply.etag:
        raise PlatformError('the answer of the platform has no ETag')
    return reply.etag


def _parse_host(entry: dict[str, str]) -> Host:
    return Host(
        address=entry['address'],
        availability_zone=entry['availability_zone'],
        state=HostState(entry['state']),
    )
