"""Lends connections of this daemon to its peers."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from monsoonproxy import relay_messages
from monsoonproxy.clock import Millis, seconds
from monsoonproxy.clusters import Cluster, Lease
from monsoonproxy.connection_pools import (
    LeaseRequest,
    PoolExhaustedError,
    ServerRemovedError,
)
from monsoonproxy.exceptions import ConnectionLostError, PeerError
from monsoonproxy.limiters import ConcurrencyLimitError, OverloadError
from monsoonproxy.logs import log_for
from monsoonproxy.server_connections import configure_keepalive
from monsoonproxy.statement_runner import StatementRunner

_log = log_for('relay')

#: Longest time in ms for the answers to statements of a borrower. The borrower
#: itself times out earlier; this bounds how long a lease stays busy if the
#: message that ends it is lost.
_ANSWER_TIMEOUT = Millis(10_000)

FindRunner = Callable[[str], StatementRunner | None]


class RelayServer:
    """Accepts connections of peers that borrow backend connections.

    :param find_runner: Returns the runner of a service, if this daemon has one.
    :param max_bytes: Bytes of statements in work beyond which no more are read.
    """

    def __init__(self, find_runner: FindRunner, max_bytes: int) -> None:
        self.find_runner = find_runner
        self.max_bytes = max_bytes
        #: Bytes of statements that are not answered yet.
        self.held = 0
        self.connections: set[RelayConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen for peers.

        :param address: ``ip:port`` to bind.
        """
        host, port = address.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: RelayConnection(self), host, int(port), backlog=512
        )

    @property
    def leases(self) -> int:
        """Return how many backend connections are lent."""
        return sum(len(conn.leases) for conn in self.connections)

    def close(self) -> None:
        """Stop listening and end all leases."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close()


@attrs.define
class _LentConnection:
    """A backend connection that is lent to a peer.

    :param lease: The lease.
    :param busy: Whether answers to its statements are outstanding.
    """

    lease: Lease
    busy: bool = False


class RelayConnection(asyncio.Protocol):
    """Connection of one borrowing peer, with its leases.

    :param relay: The server that accepted the connection.
    """

    def __init__(self, relay: RelayServer) -> None:
        self.leases: dict[int, _LentConnection] = {}
        self._relay = relay
        self._reader = relay_messages.Reader()
        self._transport: Any = None
        self._tasks: dict[int, asyncio.Task[None]] = {}
        #: Bytes of statements of this peer, and whether reading is paused.
        self._held = 0
        self._is_paused = False

    def close(self) -> None:
        """Close the connection to the peer at once."""
        if self._transport is not None:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: Any) -> None:
        """Register the connection and set options that detect a silent path."""
        self._transport = transport
        configure_keepalive(transport.get_extra_info('socket'))
        self._relay.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Decode and handle requests of the peer."""
        try:
            messages = self._reader.feed(data)
        except PeerError as exc:
            _log.warning('Closed the connection of a borrowing peer: {}', exc)
            self._transport.abort()
            return
        for message in messages:
            self._handle(message)
        if self._relay.held > self._relay.max_bytes and self._held:
            self._is_paused = True
            self._transport.pause_reading()

    def _hold(self, count: int) -> None:
        """Count bytes of statements; read again once there is room."""
        self._held += count
        self._relay.held += count
        if self._is_paused and self._relay.held <= self._relay.max_bytes:
            self._is_paused = False
            self._transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """End all leases of the peer; the backend servers roll back."""
        self._relay.connections.discard(self)
        self._is_paused = False
        for task in self._tasks.values():
            task.cancel()
        for lent in self.leases.values():
            lent.lease.clean = False
            self._cluster_of(lent).release(lent.lease)
        self.leases.clear()

    def _handle(
        self, message: relay_messages.Request | relay_messages.Response
    ) -> None:
        handle = _handlers.get(type(message))
        if handle is not None:
            handle(self, message)

    def _on_ask(self, ask: relay_messages.Ask) -> None:
        self._start(ask.stream, self._lend(ask))

    def _on_send(self, sent: relay_messages.Send) -> None:
        self._start(sent.stream, self._forward_counted(sent))

    async def _forward_counted(self, sent: relay_messages.Send) -> None:
        size = len(sent.payload)
        self._hold(size)
        try:
            await self._forward(sent)
        finally:
            self._hold(-size)

    def _on_ping(self, ping: relay_messages.Ping) -> None:
        self._send(relay_messages.Pong(ping.stream))

    def _start(self, stream: int, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[stream] = task
        task.add_done_callback(lambda done: self._on_task_done(stream, done))

    def _on_task_done(self, stream: int, task: asyncio.Task[None]) -> None:
        if self._tasks.get(stream) is task:
            self._tasks.pop(stream)
        if not task.cancelled() and task.exception() is not None:
            _log.opt(exception=task.exception()).error(
                'Handling a request of a borrowing peer failed'
            )
            self._report_failure(stream)

    def _report_failure(self, stream: int) -> None:
        reason = 'unexpected error at the lender'
        if stream in self.leases:
            self._send(relay_messages.Broken(stream, reason))
        else:
            self._send(relay_messages.Denied(stream, reason, unreachable=False))

    def _cluster_of(self, lent: _LentConnection) -> Cluster:
        return lent.lease.cluster

    async def _lend(self, ask: relay_messages.Ask) -> None:
        try:
            lease = await self._acquire(ask)
        except ConnectionLostError as exc:
            self._send(
                relay_messages.Denied(ask.stream, str(exc), unreachable=True)
            )
        except OverloadError as exc:
            self._send(
                relay_messages.Denied(
                    ask.stream,
                    str(exc),
                    unreachable=False,
                    retry_after=exc.retry_after,
                )
            )
        except (
            PoolExhaustedError,
            ServerRemovedError,
            ConcurrencyLimitError,
        ) as exc:
            self._send(
                relay_messages.Denied(ask.stream, str(exc), unreachable=False)
            )
        else:
            self.leases[ask.stream] = _LentConnection(lease)
            conn = lease.conn
            self._send(
                relay_messages.Granted(
                    ask.stream,
                    conn.values,
                    list(conn.prepared),
                    lease.cluster.clock.now(),
                )
            )

    async def _acquire(self, ask: relay_messages.Ask) -> Lease:
        runner = self._relay.find_runner(ask.service)
        if runner is None or ask.server_id not in runner.cluster.members:
            raise ServerRemovedError(
                f'{ask.server_id} is not known to the lender'
            )
        cluster = runner.cluster
        request = LeaseRequest(
            ask.limit,
            ask.priority,
            ask.single,
            ask.organisation,
            math.inf
            if ask.objective == relay_messages.NO_OBJECTIVE
            else ask.objective,
            ask.statements,
        )
        return await cluster.lend(cluster.members[ask.server_id], request)

    async def _forward(self, sent: relay_messages.Send) -> None:
        lent = self.leases.get(sent.stream)
        if lent is None or lent.busy:
            self._send(
                relay_messages.Broken(
                    sent.stream, 'no idle connection is leased on this stream'
                )
            )
            return
        cluster = self._cluster_of(lent)
        if cluster.clock.now() > sent.until:
            # This process was frozen; meanwhile the borrower has answered its
            # caller that the statements did not run.
            _log.info(
                'Refused statements of lease {}, read after their deadline',
                sent.stream,
            )
            self._send(
                relay_messages.Broken(
                    sent.stream, 'statements were read after their deadline'
                )
            )
            return
        lent.busy = True
        try:
            answers = await cluster.exchange(
                lent.lease, sent.payload, sent.count, _ANSWER_TIMEOUT
            )
        except ConnectionLostError as exc:
            self._send(relay_messages.Broken(sent.stream, str(exc)))
        else:
            payload = b''.join(map(cluster.dialect.answer, answers))
            self._send(relay_messages.Answers(sent.stream, payload))
        finally:
            lent.busy = False

    def _on_cancel(self, cancel: relay_messages.Cancel) -> None:
        lent = self.leases.get(cancel.stream)
        if lent is not None:
            # Ends the exchange, which notifies the borrower. An exchange that
            # has not started yet finds the connection closed.
            lent.lease.conn.withdraw()

    def _on_return(self, returned: relay_messages.Return) -> None:
        lent = self.leases.pop(returned.stream, None)
        if lent is None:
            task = self._tasks.get(returned.stream)
            if task is not None:
                # The borrower gave up before the lease was granted.
                task.cancel()
            return
        lease = lent.lease
        lease.conn.values = dict(returned.values)
        lease.conn.prepared = set(returned.prepared)
        lease.clean = returned.clean and not lent.busy
        self._cluster_of(lent).release(lease)

    def _send(self, message: relay_messages.Response) -> None:
        if not self._transport.is_closing():
            self._transport.write(relay_messages.encode(message))


_handlers: dict[type, Callable[[RelayConnection, Any], None]] = {
    relay_messages.Ask: RelayConnection._on_ask,
    relay_messages.Send: RelayConnection._on_send,
    relay_messages.Cancel: RelayConnection._on_cancel,
    relay_messages.Return: RelayConnection._on_return,
    relay_messages.Ping: RelayConnection._on_ping,
}


async def wait_idle(relay: RelayServer, limit: float) -> None:
    """Wait until no connection is lent, before a shutdown.

    :param relay: The server that lends connections.
    :param limit: Longest wait in ms.
    """
    pause = 50
    while relay.leases and limit > 0:
        await asyncio.sleep(seconds(pause))
        limit -= pause
