"""The daemon: its components and the supervisor tree that runs them."""

import asyncio
import json
import random
import secrets
import signal
from typing import Any

from aiohttp import web

from monsoonproxy import adapters, databases, keys, platforms
from monsoonproxy.clock import Clock, seconds
from monsoonproxy.configuration import Configuration
from monsoonproxy.control import Control
from monsoonproxy.credentials import key_ring, tls_context
from monsoonproxy.exceptions import SettingsError
from monsoonproxy.exposition import Collector, serve
from monsoonproxy.frontends import Frontend
from monsoonproxy.groups import candidate_name
from monsoonproxy.holder_manager import HolderManager
from monsoonproxy.logs import log_for
from monsoonproxy.message_dispatch import MessageDispatcher
from monsoonproxy.metrics import Metrics
from monsoonproxy.models import Host
from monsoonproxy.peer_connections import PeerConnections
from monsoonproxy.peers import Authenticator, Listener
from monsoonproxy.session_tokens import Signer
from monsoonproxy.settings import Settings
from monsoonproxy.statement_forwarding import StatementForwarder
from monsoonproxy.supervisors import Restart, RestartRule, Supervisor
from monsoonproxy.term_claims import TermClaims

_log = log_for('daemon')

#: Importing these modules registers the database and platform adapters.
ADAPTER_MODULES = (databases, platforms)
#: Interval at which a shutdown checks whether peers still use the holders.
_DRAIN_POLL_MS = 20
#: How long before the end of the shutdown timeout open transactions are rolled
#: back.
_ROLLBACK_LEAD_MS = 5_000
#: Interval at which unused connections to peers are closed.
_IDLE_CHECK_MS = 1_000
#: Interval at which the key file is read again.
_KEY_CHECK_MS = 2_000
#: For a task that may return: without a key file, nothing is reloaded.
_MAY_RETURN = RestartRule(restart=Restart.TRANSIENT)


class Daemon:
    """Connects the components of a daemon and runs their supervisor tree.

    The root supervisor ``daemon`` runs the tasks ``listener``, ``control``,
    ``senders``, ``idle links`` and ``keys``, and the supervisors ``links`` (one
    task per peer connection) and ``services`` (two tasks per held service).

    :param settings: The daemon's settings.
    """

    def __init__(self, settings: Settings) -> None:
        clock = Clock()
        rng = random.Random(secrets.randbits(64))
        own = settings.peer_address
        self.settings = settings
        self._clock = clock
        self._root = Supervisor('daemon', clock)
        self._connection_tasks = Supervisor('links', clock)
        self._service_tasks = Supervisor('services', clock)
        candidate = candidate_name(own, rng)
        platform = adapters.platforms.get(settings.platform)(
            settings.platform_url
        )
        self._platform = platform
        ring = key_ring(settings, clock)
        self._signer = Signer(ring.tokens)
        self._authenticator = Authenticator(ring.peers) if ring.peers else None
        self._connections = PeerConnections(
            own,
            candidate.encode(),
            self._connection_tasks,
            handler=lambda peer, reply: self._dispatcher.handle_reply(
                peer, reply
            ),
            lost=lambda peer: self._dispatcher.handle_lost_peer(peer),
            keys=ring.peers,
        )
        self.control = Control(
            settings, self._connections, platform, clock, rng
        )
        claims = TermClaims(platform, candidate)
        self.holder_manager = HolderManager(
            own, claims, self._service_tasks, clock, rng
        )
        self.metrics = Metrics(clock)
        self.forwarder = StatementForwarder(
            self._connections,
            self.holder_manager.holders_of,
            self.metrics.record,
            clock,
        )
        self._dispatcher = MessageDispatcher(
            own,
            self.forwarder,
            self.holder_manager,
            self.control,
            self._answer_operator,
        )
        self._connections.local_handler = self._dispatcher.handle_local
        self._listener = Listener(
            own, self._dispatcher.handle_request, ring.peers
        )
        self._dispatcher.listener = self._listener
        self.frontend = Frontend(self.forwarder, self._signer)
        self.frontend.ready = False
        self.control.on_configuration = self._apply_configuration
        self.control.on_hosts = self._apply_hosts
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        self._start_tasks()
        host, port = self.settings.listen_address.rsplit(':', 1)
        await self.frontend.start(host, int(port), tls_context(self.settings))
        metrics = await self._serve_metrics()
        _log.info('Accepting callers on {}', self.settings.listen_address)
        running = asyncio.create_task(self._root.run())
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait(
            {running, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        if not running.done():
            await self._shut_down()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        if metrics is not None:
            await metrics.cleanup()
        await self._platform.close()

    def _start_tasks(self) -> None:
        root = self._root
        root.start_child('links', self._connection_tasks.run)
        root.start_child('services', self._service_tasks.run)
        root.start_child('listener', self._listener.run)
        root.start_child('control', self.control.run)
        root.start_child('senders', self._dispatcher.check_senders)
        root.start_child('idle links', self._close_idle_connections)
        root.start_child('keys', self._reload_token_keys, _MAY_RETURN)

    async def _serve_metrics(self) -> web.AppRunner | None:
        if self.settings.metrics_address is None:
            return None
        collector = Collector(self.metrics, self.status)
        return await serve(collector, self.settings.metrics_address)

    async def _shut_down(self) -> None:
        """Let requests in flight finish, within the shutdown timeout."""
        _log.info('Shutting down: draining callers and holders')
        self.frontend.stop_accepting()
        await self.control.announce_shutdown()
        rules = self.control.cfg.platform
        drained = asyncio.create_task(self._drain())
        await self._wait_at_most(
            drained, rules.shutdown_timeout - _ROLLBACK_LEAD_MS
        )
        self.frontend.end_transactions()
        await self._wait_at_most(drained, _ROLLBACK_LEAD_MS)
        if not drained.done():
            _log.warning(
                'Shutdown timeout of {} ms passed with requests in flight',
                rules.shutdown_timeout,
            )
            drained.cancel()
        self.frontend.abort()
        _log.info('Shutdown finished; stopping the remaining tasks')

    async def _drain(self) -> None:
        await self.frontend.drain()
        await self._finish_requests()
        await self.holder_manager.stop()

    async def _wait_at_most(self, task: asyncio.Task[None], limit: int) -> None:
        await asyncio.wait({task}, timeout=seconds(limit))

    async def _finish_requests(self) -> None:
        """Wait until the holders of this daemon have no open requests."""
        while any(
            holder.open_requests()
            for holder in self.holder_manager.all_holders()
        ):
            await asyncio.sleep(seconds(_DRAIN_POLL_MS))

    def _apply_configuration(self, cfg: Configuration) -> None:
        self.forwarder.configure(cfg)
        users = cfg.users.items()
        self.frontend.change_users(
            {name: f'*{user.password_hash}' for name, user in users},
            {name: user.services for name, user in users},
        )
        self.holder_manager.configure(cfg)

    def _apply_hosts(self, hosts: tuple[Host, ...]) -> None:
        self.holder_manager.update_hosts(hosts)

    def _answer_operator(self, topic: str) -> bytes:
        """Answer a request of ``monsoonctl``; ``drain`` starts a shutdown."""
        if topic == 'drain':
            self._stopping.set()
        if topic == 'burn':
            return json.dumps(self.metrics.counters()).encode()
        return json.dumps(self.status(), default=str).encode()

    def status(self) -> dict[str, Any]:
        """Describe the daemon for operators.

        :returns: Plain data for JSON.
        """
        return {
            'address': self.settings.peer_address,
            'availability_zone': self.settings.availability_zone,
            'configuration_version': self.control.version,
            'draining': self._stopping.is_set(),
            'hosts': [host.address for host in self.control.hosts()],
            'connected': sorted(self._connections.connected()),
            'open_requests': self.forwarder.open_requests(),
            'stale_replies': self.forwarder.stale_replies,
            'store_reads': self.control.store_reads,
            'services': [
                holder.status() for holder in self.holder_manager.all_holders()
            ],
        }

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(seconds(_IDLE_CHECK_MS))
            await self._connections.close_idle(self.forwarder.used_holders())

    async def _reload_token_keys(self) -> None:
        """Read the session token keys again at intervals, for rotations."""
        path = self.settings.key_file
        while path is not None:
            await asyncio.sleep(seconds(_KEY_CHECK_MS))
            try:
                self._signer.keys = keys.load(path).tokens
            except SettingsError as exc:
                _log.error(
                    'Key file {} can not be used, keeping the old keys: {}',
                    path,
                    exc,
                )
