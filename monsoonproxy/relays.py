"""Lends this daemon's connections to other daemons."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from monsoonproxy import forwards
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster, Lease
from monsoonproxy.exceptions import ConnectionLostError, PeerError
from monsoonproxy.gates import GateClosedError
from monsoonproxy.lanes import Claim, LaneFullError, ServerGoneError
from monsoonproxy.logs import log_for
from monsoonproxy.server_connections import configure_keepalive
from monsoonproxy.statement_runner import StatementRunner

_log = log_for('relay')

#: Longest time in ms for the answers to what another daemon sent. It gives up
#: earlier itself; this only bounds what a lost message leaves behind.
_ANSWER_LIMIT = Millis(10_000)

Find = Callable[[str], StatementRunner | None]


class Relay:
    """Accepts other daemons.

    :param find: Returns the runner of a service.
    """

    def __init__(self, find: Find) -> None:
        self.find = find
        self.connections: set[RelayConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen.

        :param address: ``ip:port``.
        """
        host, port = address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: RelayConnection(self), host, int(port), backlog=512
        )

    @property
    def leases(self) -> int:
        """Return how many connections are lent."""
        return sum(len(conn.leases) for conn in self.connections)

    def close(self) -> None:
        """Stop listening and end all leases."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close()


@attrs.define
class _Lent:
    """A connection that another daemon uses.

    :param lease: The lease.
    :param busy: Whether answers are still to come.
    """

    lease: Lease
    busy: bool = False


class RelayConnection(asyncio.Protocol):
    """One connection of another daemon, with its leases.

    :param relay: All connections.
    """

    def __init__(self, relay: Relay) -> None:
        self.leases: dict[int, _Lent] = {}
        self._relay = relay
        self._reader = forwards.Reader()
        self._transport: Any = None
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Start."""
        self._transport = transport
        configure_keepalive(transport.get_extra_info('socket'))
        self._relay.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Handle requests."""
        try:
            messages = self._reader.feed(data)
        except PeerError as exc:
            _log.warning('Closed a peer: {}', exc)
            self._transport.abort()
            return
        for message in messages:
            self._handle(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all leases; the backend servers roll back."""
        self._relay.connections.discard(self)
        for task in self._tasks.values():
            task.cancel()
        for lent in self.leases.values():
            lent.lease.clean = False
            self._cluster_of(lent).release(lent.lease)
        self.leases.clear()

    def _handle(self, message: forwards.Request | forwards.Response) -> None:
        handle = _handlers.get(type(message))
        if handle is not None:
            handle(self, message)

    def _take_ask(self, ask: forwards.Ask) -> None:
        self._start(ask.stream, self._lend(ask))

    def _take_send(self, sent: forwards.Send) -> None:
        self._start(sent.stream, self._pass_on(sent))

    def _take_ping(self, ping: forwards.Ping) -> None:
        self._send(forwards.Pong(ping.stream))

    def _start(self, stream: int, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[stream] = task
        task.add_done_callback(lambda done: self._ended(stream, done))

    def _ended(self, stream: int, task: asyncio.Task[None]) -> None:
        if self._tasks.get(stream) is task:
            self._tasks.pop(stream)
        if not task.cancelled() and task.exception() is not None:
            _log.opt(exception=task.exception()).error('A lease failed')

    def _cluster_of(self, lent: _Lent) -> Cluster:
        return lent.lease.cluster

    async def _lend(self, ask: forwards.Ask) -> None:
        try:
            lease = await self._acquire(ask)
        except ConnectionLostError as exc:
            self._send(forwards.Denied(ask.stream, str(exc), unreachable=True))
        except (LaneFullError, ServerGoneError, GateClosedError) as exc:
            self._send(forwards.Denied(ask.stream, str(exc), unreachable=False))
        else:
            self.leases[ask.stream] = _Lent(lease)
            wire = lease.wire
            self._send(
                forwards.Granted(
                    ask.stream,
                    wire.values,
                    list(wire.prepared),
                    lease.cluster.clock.now(),
                )
            )

    async def _acquire(self, ask: forwards.Ask) -> Lease:
        runner = self._relay.find(ask.service)
        if runner is None or ask.server_id not in runner.cluster.members:
            raise ServerGoneError(ask.server_id)
        cluster = runner.cluster
        claim = Claim(ask.limit, ask.priority, ask.single)
        return await cluster.lend(cluster.members[ask.server_id], claim)

    async def _pass_on(self, sent: forwards.Send) -> None:
        lent = self.leases.get(sent.stream)
        if lent is None or lent.busy:
            self._send(forwards.Broken(sent.stream, 'nothing is leased'))
            return
        cluster = self._cluster_of(lent)
        if cluster.clock.now() > sent.until:
            # This daemon stood still; the caller has its answer already.
            _log.info('Statements of lease {} came too late', sent.stream)
            self._send(forwards.Broken(sent.stream, 'too late'))
            return
        lent.busy = True
        try:
            answers = await cluster.exchange(
                lent.lease, sent.payload, sent.count, _ANSWER_LIMIT
            )
        except ConnectionLostError as exc:
            self._send(forwards.Broken(sent.stream, str(exc)))
        else:
            payload = b''.join(map(cluster.dialect.answer, answers))
            self._send(forwards.Answers(sent.stream, payload))
        finally:
            lent.busy = False

    def _cancel(self, cancel: forwards.Cancel) -> None:
        lent = self.leases.get(cancel.stream)
        if lent is not None:
            # Ends the exchange, which tells the other daemon; one that has not
            # begun yet finds the connection closed.
            lent.lease.wire.withdraw()

    def _take_back(self, back: forwards.Return) -> None:
        lent = self.leases.pop(back.stream, None)
        if lent is None:
            task = self._tasks.get(back.stream)
            if task is not None:
                # The other daemon gave up before it was granted.
                task.cancel()
            return
        lease = lent.lease
        lease.wire.values = dict(back.values)
        lease.wire.prepared = set(back.prepared)
        lease.clean = back.clean and not lent.busy
        self._cluster_of(lent).release(lease)

    def _send(self, message: forwards.Response) -> None:
        if not self._transport.is_closing():
            self._transport.write(forwards.encode(message))


_handlers: dict[type, Callable[[RelayConnection, Any], None]] = {
    forwards.Ask: RelayConnection._take_ask,
    forwards.Send: RelayConnection._take_send,
    forwards.Cancel: RelayConnection._cancel,
    forwards.Return: RelayConnection._take_back,
    forwards.Ping: RelayConnection._take_ping,
}


async def wait_idle(relay: Relay, limit: float) -> None:
    """Wait until no connection is lent, for a shutdown.

    :param relay: The relay.
    :param limit: Longest wait in ms.
    """
    pause = 50
    while relay.leases and limit > 0:
        await asyncio.sleep(seconds(pause))
        limit -= pause
