"""Starts a small site of processes on loopback: platform, groups, daemons."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import attrs

from emulator.ports import HOST, free_port, wait_port
from monsoonproxy import configuration, keys
from monsoonproxy.clock import Clock
from monsoonproxy.platforms import HttpPlatform

_START_TIMEOUT = 20
_STOP_TIMEOUT = 40
_POLL_PAUSE = 0.05
#: A process that was stopped by a signal accepts connections, but is silent.
_STATUS_TIMEOUT = aiohttp.ClientTimeout(total=1)


@attrs.frozen
class Site:
    """What to start.

    :param zones: Names of the availability zones.
    :param daemons: Number of daemons, spread over the zones.
    :param services: Names of the services.
    :param members: Backend servers per service.
    :param switches: Initial switches of each backend server.
    :param slots: Slots of each backend server.
    :param connection_limit: Connections that each accepts.
    :param holders: Holders per service.
    :param service_lines: Further TOML lines of each service.
    """

    zones: tuple[str, ...] = ('sohar', 'suwaiq', 'saham')
    daemons: int = 3
    services: tuple[str, ...] = ('hire-ledger-1',)
    members: int = 3
    switches: str = 'read_ms=1,write_ms=2,open_ms=10'
    slots: int = 2
    connection_limit: int = 35
    holders: int = 2
    service_lines: str = ''


#: Marks the start of a process in its log.
START_LINE = '== process started =='


@attrs.define
class Process:
    """A running process.

    :param name: Name for messages.
    :param address: Address that others use.
    :param arguments: Its command line, for a restart.
    :param control: Address of its control port, if it has one.
    :param log: File with its output.
    :param environment: Further environment variables.
    """

    name: str
    address: str
    arguments: tuple[str, ...]
    log: pathlib.Path
    control: str = ''
    environment: Mapping[str, str] = attrs.Factory(dict)
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, with a line in its log that tells so."""
        with self.log.open('ab') as output:
            output.write(f'{START_LINE}\n'.encode())
            output.flush()
            self.process = await asyncio.create_subprocess_exec(
                *self.arguments,
                stdout=output,
                stderr=output,
                env=os.environ
                | {'MONSOONPROXY_LOGIN': 'proxy:'}
                | dict(self.environment),
            )

    def send_signal(self, number: int) -> None:
        """Send a signal if the process is running.

        :param number: The signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def ended(self) -> bool:
        """Tell whether the process was started and has ended.

        :returns: Whether it has.
        """
        return self.process is not None and self.process.returncode is not None

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def stop(self) -> int | None:
        """Ask the process to end and wait for it.

        :returns: Its exit code.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.wait(), _STOP_TIMEOUT)
        await self.kill()
        return self.process.returncode if self.process else None

    async def wait(self) -> None:
        """Wait for the end of the process."""
        if self.process is not None:
            await self.process.wait()


class Cluster:
    """The processes of a site.

    :param site: What to start.
    :param directory: Where settings, logs and states are written.
    """

    def __init__(self, site: Site, directory: pathlib.Path) -> None:
        self.site = site
        self.directory = directory
        self.platform = self._platform()
        self.databases: dict[str, dict[str, Process]] = {
            service: self._group(service) for service in site.services
        }
        self._peers = [
            f'{HOST}:{free_port()}' for _number in range(site.daemons)
        ]
        self.daemons: list[Process] = [
            self._daemon(number) for number in range(site.daemons)
        ]
        self.version = 0
        self.keys = keys.create(Clock().wall())
        self.directory.joinpath('keys.toml').write_text(self.keys.to_toml())

    async def start(self) -> None:
        """Start all processes and wait until callers are served."""
        await self.platform.start()
        await wait_port(self.platform.address)
        for group in self.databases.values():
            for database in group.values():
                await database.start()
            for database in group.values():
                await wait_port(database.address)
        await self.list_hosts()
        await self.apply()
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await wait_port(daemon.address)

    async def close(self) -> None:
        """End all processes."""
        databases = [
            database
            for group in self.databases.values()
            for database in group.values()
        ]
        for process in (*self.daemons, *databases, self.platform):
            await process.kill()

    async def list_hosts(self, leaving: tuple[int, ...] = ()) -> None:
        """Publish the list of hosts.

        :param leaving: Numbers of the daemons that are listed as leaving.
        """
        hosts = [
            {
                'address': _peer_address(daemon),
                'availability_zone': self._zone(number),
                'state': 'leaving' if number in leaving else 'live',
            }
            for number, daemon in enumerate(self.daemons)
        ]
        await self.switch(self.platform.address, hosts, '/control/hosts')

    async def apply(self, lines: str | None = None) -> int:
        """Write the next configuration version to the table service.

        :param lines: Further TOML lines of each service.
        :returns: The version.
        """
        self.version += 1
        cfg = attrs.evolve(self.configuration(lines), version=self.version)
        platform = HttpPlatform(f'http://{self.platform.address}')
        stored = await platform.read('configuration')
        etag = stored.etag if stored else None
        await platform.write('configuration', cfg.to_document(), etag)
        await platform.close()
        return self.version

    def configuration(
        self, lines: str | None = None
    ) -> configuration.Configuration:
        """Load the declaration of the services.

        :param lines: Further TOML lines of each service.
        :returns: The configuration, without a version.
        """
        with tempfile.NamedTemporaryFile(suffix='.toml') as base:
            base.write(self.toml(lines).encode())
            base.flush()
            return configuration.load(base.name)

    def toml(self, lines: str | None = None) -> str:
        """Return the declaration of the services.

        :param lines: Further TOML lines of each service.
        :returns: A base file.
        """
        site = self.site
        parts = []
        for service, group in self.databases.items():
            parts.append(f'[services.{service}]')
            parts.append("credentials = 'env:MONSOONPROXY_LOGIN'")
            parts.append(f'slots = {site.slots}')
            parts.append(f'connection_limit = {site.connection_limit}')
            parts.append(f'holders = {site.holders}')
            parts.append(site.service_lines if lines is None else lines)
            for number, database in enumerate(group.values()):
                zone = self._zone(number)
                parts.append(f'[[services.{service}.members]]')
                parts.append(f"name = '{database.name}'")
                parts.append(f"address = '{database.address}'")
                parts.append(f"availability_zone = '{zone}'")
        return '\n'.join(parts)

    async def switch(
        self, address: str, changes: Any, path: str = '/switches'
    ) -> Any:
        """Change faults of a stand-in.

        :param address: Its control address.
        :param changes: What to change.
        :param path: Path of the control request.
        :returns: Its answer.
        """
        async with aiohttp.ClientSession() as session:
            url = f'http://{address}{path}'
            async with session.post(url, json=changes) as response:
                response.raise_for_status()
                return await response.json(content_type=None)

    async def status(self, database: Process) -> dict[str, Any]:
        """Ask a backend server for its status and counters.

        :param database: The backend server.
        :returns: Its answer.
        """
        async with aiohttp.ClientSession() as session:
            url = f'http://{database.control}/status'
            async with session.get(url, timeout=_STATUS_TIMEOUT) as response:
                return await response.json()

    async def reach(self, database: Process) -> None:
        """Wait until a backend server's control port accepts connections.

        :param database: The backend server.
        """
        await wait_port(database.control)

    async def primary(self, service: str) -> Process | None:
        """Find the primary of the highest term.

        :param service: The service.
        :returns: The backend server, if there is one.
        """
        best: tuple[int, Process] | None = None
        for database in self.databases[service].values():
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                status = (await self.status(database))['status']
                term = int(status['log_term'])
                if status['role'] == 'primary' and (not best or term > best[0]):
                    best = (term, database)
        return best[1] if best else None

    def _zone(self, number: int) -> str:
        return self.site.zones[number % len(self.site.zones)]

    def _platform(self) -> Process:
        port = free_port()
        arguments = _emulator('platform', '--port', str(port))
        return Process(
            'platform',
            f'{HOST}:{port}',
            arguments,
            self.directory / 'platform.log',
        )

    def _group(self, service: str) -> dict[str, Process]:
        group: dict[str, Process] = {}
        first = ''
        for number in range(self.site.members):
            name = f'{service}-{number}'
            port, control = free_port(), free_port()
            role = ('--source', first) if first else ('--primary',)
            first = first or f'{HOST}:{port}'
            arguments = _emulator(
                'database',
                f'--name={name}',
                f'--port={port}',
                f'--control-port={control}',
                f'--slots={self.site.slots}',
                f'--state={self.directory / name}',
                f'--audit={self.directory / name}.jsonl',
                f'--switches={self._switches()}',
                *role,
            )
            group[name] = Process(
                name,
                f'{HOST}:{port}',
                arguments,
                self.directory / f'{name}.log',
                f'{HOST}:{control}',
            )
        return group

    def _switches(self) -> str:
        limit = self.site.connection_limit
        return f'{self.site.switches},connection_limit={limit}'

    def _daemon(self, number: int) -> Process:
        port = free_port()
        peer = self._peers[number]
        name = f'daemon-{number}'
        settings = self.directory / f'{name}.toml'
        settings.write_text(
            '\n'.join(
                (
                    f"peer_address = '{peer}'",
                    f'seed_peers = {self._peers}',
                    f"listen_address = '{HOST}:{port}'",
                    f"availability_zone = '{self._zone(number)}'",
                    f"platform_url = 'http://{self.platform.address}'",
                    f"key_file = '{self.directory}/keys.toml'",
                )
            )
        )
        program = str(pathlib.Path(sys.executable).parent / 'monsoonproxyd')
        return Process(
            name,
            f'{HOST}:{port}',
            (program, str(settings)),
            self.directory / f'{name}.log',
            peer,
        )


@contextlib.asynccontextmanager
async def running(
    site: Site, directory: pathlib.Path
) -> AsyncIterator[Cluster]:
    """Start a site and end it afterwards.

    :param site: What to start.
    :param directory: An empty directory.
    :yields: The running site.
    """
    cluster = Cluster(site, directory)
    try:
        await cluster.start()
        yield cluster
    finally:
        await cluster.close()


def _peer_address(daemon: Process) -> str:
    return daemon.control


def _emulator(*arguments: str) -> tuple[str, ...]:
    return (sys.executable, '-m', 'emulator', *arguments)
