"""A simulated platform: table service, object store and host list."""

import asyncio
import hashlib
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
from aiohttp import web

from emulator.control import address_of, serve
from emulator.signals import Signal

HostList = list[dict[str, str]]
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.define
class PlatformSwitches:
    """Faults of the platform; all times are in ms.

    :param down: Whether connections are closed without an answer.
    :param hung: Whether requests wait until this is turned off; writes take
        effect then, even if their senders have given up.
    :param slow_ms: Added to every request.
    :param lose_answers: How many of the next writes take effect without
        their answers being sent.
    :param hosts_late_ms: By how much the host list lags behind.
    """

    down: bool = False
    hung: bool = False
    slow_ms: float = 0
    lose_answers: int = 0
    hosts_late_ms: float = 0


@attrs.define
class PlatformCounters:
    """What the platform has counted since its start.

    :param reads: GET requests received, whether answered or not.
    :param writes: PUT requests received, whether answered or not.
    :param refused_writes: Writes that were refused with 412.
    :param lost_answers: Writes that took effect without an answer.
    :param unchanged: Reads that were answered with 304.
    """

    reads: int = 0
    writes: int = 0
    refused_writes: int = 0
    lost_answers: int = 0
    unchanged: int = 0


class Platform:
    """The platform's services on one port.

    Besides the services there are ``GET /control/counters``, ``POST
    /control/switches`` and ``POST /control/hosts``, which no fault affects.

    :param host: Address to listen on.
    :param port: Port; 0 lets the system choose.
    """

    def __init__(self, host: str = '127.0.0.1', port: int = 0) -> None:
        self.switches = PlatformSwitches()
        self.counters = PlatformCounters()
        self.table: dict[str, bytes] = {}
        self.objects: dict[str, bytes] = {}
        self._changed = Signal()
        self._versions: dict[str, int] = {}
        self._lists: list[tuple[float, HostList]] = [(0, [])]
        self._endpoint = (host, port)
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Return the address.

        :returns: ``host:port``.
        """
        return address_of(self._runner)

    @property
    def url(self) -> str:
        """Return the base URL.

        :returns: ``http://host:port``.
        """
        return f'http://{self.address}'

    async def start(self) -> None:
        """Start to listen."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        for method, path, handler in (
            ('GET', '/table/{key}', self._read),
            ('PUT', '/table/{key}', self._write),
            ('GET', '/objects/{key}', self._get_object),
            ('PUT', '/objects/{key}', self._put_object),
            ('GET', '/hosts', self._hosts),
        ):
            app.router.add_route(method, path, self._faulty(handler))
        app.router.add_get('/control/counters', self._show)
        app.router.add_post('/control/switches', self._switch)
        app.router.add_post('/control/hosts', self._list_hosts)
        self._runner = await serve(app, *self._endpoint)

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def set_hosts(self, hosts: HostList) -> None:
        """Change the host list.

        :param hosts: ``address``, ``availability_zone`` and ``state`` of
            each host.
        """
        self._lists.append((time.monotonic(), hosts))

    def switch(self, changes: Mapping[str, Any]) -> None:
        """Change some faults.

        :param changes: New values by the names of ``PlatformSwitches``.
        :raises TypeError: If a name is unknown.
        """
        self.switches = attrs.evolve(self.switches, **changes)
        self._changed.notify()

    def _faulty(self, handler: _Handler) -> _Handler:
        async def handle(request: web.Request) -> web.StreamResponse:
            if request.method == 'GET':
                self.counters.reads += 1
            else:
                self.counters.writes += 1
            while self.switches.hung:
                await self._changed.wait()
            await asyncio.sleep(self.switches.slow_ms / 1000)
            if self.switches.down:
                return _dropped(request)
            return await handler(request)

        return handle

    async def _read(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        if key not in self.table:
            raise web.HTTPNotFound
        return self._conditional(request, self.table[key], self._etag(key))

    async def _write(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        body = await request.read()
        if not self._condition_holds(request, key):
            self.counters.refused_writes += 1
            raise web.HTTPPreconditionFailed
        self.table[key] = body
        self._versions[key] = self._versions.get(key, 0) + 1
        return self._written(request, {'ETag': self._etag(key)})

    async def _get_object(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        if key not in self.objects:
            raise web.HTTPNotFound
        return web.Response(body=self.objects[key])

    async def _put_object(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.objects[request.match_info['key']] = body
        return self._written(request, {})

    async def _hosts(self, request: web.Request) -> web.Response:
        limit = time.monotonic() - self.switches.hosts_late_ms / 1000
        due = [hosts for since, hosts in self._lists if since <= limit]
        body = json.dumps(due[-1] if due else []).encode()
        digest = hashlib.sha256(body).hexdigest()[:16]
        return self._conditional(request, body, f'"{digest}"')

    async def _show(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'counters': attrs.asdict(self.counters),
                'switches': attrs.asdict(self.switches),
            }
        )

    async def _switch(self, request: web.Request) -> web.Response:
        try:
            self.switch(await request.json())
        except (TypeError, ValueError) as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        return await self._show(request)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        self.set_hosts(await request.json())
        return web.Response()

    def _conditional(
        self, request: web.Request, body: bytes, etag: str
    ) -> web.Response:
        """Send a body unless the sender of the request has it already."""
        headers = {'ETag': etag}
        if request.headers.get('If-None-Match') == etag:
            self.counters.unchanged += 1
            return web.Response(status=304, headers=headers)
        return web.Response(body=body, headers=headers)

    def _condition_holds(self, request: web.Request, key: str) -> bool:
        if request.headers.get('If-None-Match') == '*':
            return key not in self.table
        if key not in self.table:
            return False
        return request.headers.get('If-Match') == self._etag(key)

    def _etag(self, key: str) -> str:
        version = self._versions[key]
        digest = hashlib.sha256(self.table[key]).hexdigest()[:16]
        return f'"{version}-{digest}"'

    def _written(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.Response:
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            self.counters.lost_answers += 1
            return _dropped(request)
        return web.Response(headers=headers)


def _dropped(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    # The server needs a response, but can't send it any more.
    return web.Response()
