"""Control task of a daemon: host membership and configuration gossip."""

import asyncio
import random
from collections.abc import Callable

from monsoonproxy import configuration_gossip, membership, messages
from monsoonproxy.adapters import PlatformAdapter
from monsoonproxy.background import Background
from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.configuration import Configuration
from monsoonproxy.exceptions import ConfigurationError, PlatformError
from monsoonproxy.logs import log_for
from monsoonproxy.models import Host, HostState
from monsoonproxy.peer_connections import PeerConnections
from monsoonproxy.settings import Settings

_log = log_for('control')

#: Key of the configuration in the table service.
CONFIGURATION_KEY = 'configuration'
#: Interval in ms of the periodic membership and gossip work.
_TICK_MS = 50
#: Interval in ms between announcements to the seed peers.
_SEED_INTERVAL_MS = 500
#: Maximum number of hosts besides the sender that an announcement lists;
#: bounds the size of the message on a large site.
_MAX_ANNOUNCED_HOSTS = 16


class Control:
    """Holds the configuration in force and the list of the site's hosts.

    Connects the membership and the configuration gossip, which do no I/O, to
    the peers and to the platform service.

    :param settings: The daemon's settings.
    :param connections: Connections to peer daemons.
    :param platform: Adapter of the platform service.
    :param clock: Source of time.
    :param rng: Random generator for the choice of peers and hosts.
    """

    def __init__(
        self,
        settings: Settings,
        connections: PeerConnections,
        platform: PlatformAdapter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.own = Host(settings.peer_address, settings.availability_zone)
        self.cfg = Configuration()
        self.on_configuration: Callable[[Configuration], None] = _no_subscriber
        self.on_hosts: Callable[[tuple[Host, ...]], None] = _no_subscriber
        self._seeds = settings.seed_peers
        self._connections = connections
        self._platform = platform
        self._clock = clock
        self._rng = rng
        rules = self.cfg.platform
        self._membership = membership.Membership(self.own, rules.membership)
        self._gossip = configuration_gossip.ConfigurationGossip(
            self.own.address, rules.spread, rng
        )
        self._hosts_read_due = Millis(0)
        self._seed_announcement_due = Millis(0)
        self._tasks = Background()
        self._store_read_pending = False
        self._stored_etag = ''
        self.store_reads = 0

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.cfg.version

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts whose daemons can be used.

        :returns: The usable hosts, this one included.
        """
        return self._membership.usable(self._clock.now())

    async def run(self) -> None:
        """Run membership, gossip and host list reads until cancelled."""
        # The only daemon of a site never gets a change of the host list.
        self._publish_hosts()
        while True:
            now = self._clock.now()
            self._membership.handle(membership.Tick(), now)
            for address in self._membership.probes(now):
                self._tasks.spawn(self._announce(address, self.version))
            if self._membership.changed:
                self._publish_hosts()
            self._handle(configuration_gossip.Tick())
            self._announce_to_seeds(now)
            if now >= self._hosts_read_due:
                self._hosts_read_due = Millis(
                    now + self.cfg.platform.hosts_interval
                )
                self._tasks.spawn(self._read_hosts())
            await asyncio.sleep(seconds(_TICK_MS))

    def receive(self, peer: str, message: messages.Message) -> None:
        """Handle a control message from a peer or from ``monsoonctl``.

        :param peer: Address of the peer; ``messages.TOOL`` for the tool.
        :param message: The message received.
        """
        now = self._clock.now()
        if peer == messages.TOOL:
            # monsoonctl runs no daemon, so it must not be listed as a host and
            # then be chosen as a holder.
            if isinstance(message, messages.Announce):
                self._handle(
                    configuration_gossip.ChangeNotified(message.version)
                )
            return
        if isinstance(message, messages.Goodbye):
            self._membership.handle(
                membership.GoodbyeReceived(message.address), now
            )
            return
        announced = isinstance(message, messages.Announce)
        zone = _zone_of(peer, message) if announced else ''
        heard = membership.MessageReceived(peer, zone, announced=announced)
        self._membership.handle(heard, now)
        if isinstance(message, messages.Announce):
            listed = tuple(
                Host(address, host_zone, HostState(state))
                for address, host_zone, state in message.hosts
                if address != self.own.address
            )
            self._membership.handle(membership.HostsReported(listed), now)
            self._handle(
                configuration_gossip.VersionAnnounced(message.version, peer)
            )
        elif isinstance(message, messages.FetchConfiguration):
            self._handle(
                configuration_gossip.FetchRequested(message.version, peer)
            )
        elif isinstance(message, messages.ConfigurationDocument):
            self._handle(
                configuration_gossip.DocumentReceived(
                    message.version, message.document
                )
            )

    def peer_lost(self, peer: str) -> None:
        """Record that the connection to a peer was lost.

        :param peer: Address of the peer.
        """
        self._membership.handle(membership.SendFailed(peer), self._clock.now())

    def read_store(self) -> None:
        """Start to read the configuration from the platform's table service."""
        self._tasks.spawn(self._read_configuration())

    async def announce_shutdown(self) -> None:
        """Tell all peers that this daemon accepts no new requests."""
        message = messages.Goodbye(self.own.address)
        await asyncio.gather(
            *(
                self._connections.try_send(host.address, message)
                for host in self.hosts()
                if host.address != self.own.address
            )
        )

    def _announce_to_seeds(self, now: Millis) -> None:
        """Announce this daemon to the seed peers while it knows no other host.

        The seed peers answer with their configuration version and hosts, so a
        daemon can join the site while the platform service is down.
        """
        alone = len(self.hosts()) <= 1
        if not alone or now < self._seed_announcement_due:
            return
        self._seed_announcement_due = Millis(now + _SEED_INTERVAL_MS)
        for seed in self._seeds:
            self._tasks.spawn(self._announce(seed, self.version))

    def _publish_hosts(self) -> None:
        hosts = self.hosts()
        self._handle(configuration_gossip.PeersChanged(hosts))
        self.on_hosts(hosts)

    def _handle(self, event: configuration_gossip.Event) -> None:
        for command in self._gossip.handle(event, self._clock.now()):
            self._run_command(command)

    def _run_command(self, command: configuration_gossip.Command) -> None:
        match command:
            case configuration_gossip.SendAnnouncement(peer, version):
                self._tasks.spawn(self._announce(peer, version))
            case configuration_gossip.FetchFrom(peer, version):
                request = messages.FetchConfiguration(version)
                self._tasks.spawn(self._send(peer, request))
            case configuration_gossip.SendDocument(peer, version, document):
                reply = messages.ConfigurationDocument(version, document)
                self._tasks.spawn(self._send(peer, reply))
            case configuration_gossip.ReadStore():
                self.read_store()
            case configuration_gossip.WriteBack(document):
                self._tasks.spawn(self._write_back(document))
            case configuration_gossip.PutInForce(document=document):
                self._apply_configuration(document)

    def _apply_configuration(self, document: bytes) -> None:
        try:
            cfg = Configuration.from_document(document)
        except ConfigurationError as exc:
            _log.error(
                'Accepted configuration is not valid; version {} stays in'
                ' force: {}',
                self.version,
                exc,
            )
            return
        self.cfg = cfg
        self._membership.rules = cfg.platform.membership
        self._gossip.rules = cfg.platform.spread
        _log.info('Configuration version {} is in force', cfg.version)
        self.on_configuration(cfg)

    async def _announce(self, peer: str, version: int) -> None:
        heard = list(self._membership.heard(self._clock.now()))
        others = self._rng.sample(heard, min(len(heard), _MAX_ANNOUNCED_HOSTS))
        named = {self.own, *others}
        hosts = [
            (host.address, host.availability_zone, host.state.value)
            for host in named
        ]
        await self._send(peer, messages.Announce(version, hosts))

    async def _send(self, peer: str, message: messages.Message) -> None:
        sent_at = self._clock.now()
        if not await self._connections.try_send(peer, message):
            self._membership.handle(
                membership.SendFailed(peer, sent_at), self._clock.now()
            )

    async def _read_hosts(self) -> None:
        self.store_reads += 1
        try:
            hosts = await self._platform.hosts()
        except PlatformError as exc:
            _log.warning(
                'Cannot read the host list from the platform service: {}', exc
            )
            return
        self._membership.handle(
            membership.HostsListed(tuple(hosts)), self._clock.now()
        )

    async def _read_configuration(self) -> None:
        if self._store_read_pending:
            return
        self._store_read_pending = True
        self.store_reads += 1
        try:
            stored = await self._platform.read(CONFIGURATION_KEY)
        except PlatformError as exc:
            _log.warning(
                'Cannot read the configuration from the table service: {}', exc
            )
            self._handle(configuration_gossip.StoreFailed())
            return
        finally:
            self._store_read_pending = False
        if stored is None:
            self._stored_etag = ''
            self._handle(configuration_gossip.StoreRead(0))
            return
        if stored.etag == self._stored_etag:
            # The document is unchanged. Parsing one of 1,267 services twice a
            # second would take 40% of a core.
            return
        self._stored_etag = stored.etag
        try:
            cfg = Configuration.from_document(stored.body)
        except ConfigurationError as exc:
            _log.error(
                'Configuration in the table service is not valid; version {}'
                ' stays in force: {}',
                self.version,
                exc,
            )
            return
        self._handle(configuration_gossip.StoreRead(cfg.version, stored.body))

    async def _write_back(self, document: bytes) -> None:
        """Write the configuration in force to a store that has lost it.

        The write is conditional on what was read, so that it undoes no change
        that an operator makes meanwhile.
        """
        _log.warning(
            'The table service has an older configuration; writing version {}'
            ' back',
            self.version,
        )
        etag, self._stored_etag = self._stored_etag or None, ''
        try:
            await self._platform.write(CONFIGURATION_KEY, document, etag)
        except PlatformError as exc:
            # The next read shows what is stored.
            _log.info('Writing the configuration back failed: {}', exc)


def _zone_of(peer: str, message: messages.Message) -> str:
    hosts = getattr(message, 'hosts', [])
    return next(
        (zone for address, zone, _state in hosts if address == peer), ''
    )


def _no_subscriber(_value: object) -> None:
    """Discard a value until the daemon has set its own callback."""
