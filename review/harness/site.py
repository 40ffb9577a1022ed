"""A small deployment: store, databases and daemons as processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from typing import Any

from emulator.ports import HOST, free_port
from harness.links import Link
from harness.store import PlatformStore
from stand_ins.databases import Database, Group

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SERVICE = 'katalog-1'
#: Routes, with their kinds, as database names of the clients.
ROUTES = {'status': 'bounded', 'save': 'session', 'submission': 'primary'}
#: Largest age in ms of reads on each kind of route, as on the site's sheet.
_MAX_AGES = {'bounded': 1_500, 'session': 2_500, 'primary': 0}
_TIMEOUTS = {'bounded': 1_500, 'session': 800, 'primary': 800}
_CONNECTION_LIMIT = 36
_START_TIMEOUT = 30
_PROBE_TIMEOUT = 1
#: Time in s between SIGTERM and SIGKILL.
GRACE = 6
_SETTINGS = """
node = "{name}"
role = "proxy"
class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "zone-1"
region = "region-1"
port_range = [{ports[3]}, {ports[4]}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[listen]
front = "{host}:{ports[0]}"
ready = "{host}:{ports[1]}"
control = "{host}:{ports[2]}"
[limits]
max_fds = 1605
[bounds]
grace_s = {grace}
drain_ms = 7000
config_ms = 3000
[platform]
addr = "{store}"
[cloud]
addr = "{store}"
"""


class Daemon:
    """A daemon, run as a process with the command of the deploy file.

    :param name: Its name.
    :param directory: Folder for its settings and its log.
    :param store: Address of the store.
    """

    def __init__(self, name: str, directory: pathlib.Path, store: str) -> None:
        ports = [free_port() for _ in range(5)]
        self.name = name
        self.address = f'{HOST}:{ports[0]}'
        #: Monotonic time in s of the latest SIGTERM, or ``None``.
        self.stopped_at: float | None = None
        self._ready_port = ports[1]
        self._log = directory / f'{name}.log'
        self._settings = directory / f'{name}.toml'
        self._settings.write_text(
            _SETTINGS.format(
                name=name, host=HOST, ports=ports, store=store, grace=GRACE
            )
        )
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        document = tomllib.loads((_ROOT / 'deploy/system.toml').read_text())
        words = document['roles']['proxy']['run'].split()
        environment = {
            name: text
            for name, text in os.environ.items()
            if name in {'PATH', 'HOME', 'LANG'}
        }
        environment['MONSOONPROXY_BOOT'] = str(self._settings)
        environment['PYTHONPATH'] = str(_ROOT / 'target' / 'deps')
        self.stopped_at = None
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, env=environment, cwd=_ROOT, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def restart(self) -> None:
        """Stop as the platform does: SIGTERM, SIGKILL after the grace time."""
        self.stopped_at = time.monotonic()
        self.send_signal(signal.SIGTERM)
        await self.kill(after=GRACE)
        await self.start()

    async def kill(self, after: float = 0) -> None:
        """Wait for the end of the process, then end it with SIGKILL.

        :param after: Time in s that it gets to end by itself.
        """
        process = self._process
        if process is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(after):
                await process.wait()
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        request = b'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT):
                reader, writer = await asyncio.open_connection(
                    HOST, self._ready_port
                )
                writer.write(request)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class Site:
    """Store and databases in this process, daemons as its children.

    :param directory: Folder for settings and logs.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.store = PlatformStore()
        self.group = Group(SERVICE, max_connections=_CONNECTION_LIMIT)
        self.links: dict[str, Link] = {}
        self.daemons: list[Daemon] = []
        self._directory = directory

    @property
    def databases(self) -> list[Database]:
        """Return the databases of the service."""
        return list(self.group.members.values())

    async def start(self, daemons: int) -> None:
        """Start everything and wait until all daemons are ready.

        :param daemons: Number of daemons.
        """
        await self.store.start()
        self.store.add_group(self.group)
        self.store.put('op', 'config', json.dumps(_configuration()).encode())
        for _ in range(3):
            await self.add_database()
        for number in range(daemons):
            daemon = Daemon(
                f'front-{number}', self._directory, self.store.address
            )
            self.daemons.append(daemon)
            await daemon.start()
        async with asyncio.timeout(_START_TIMEOUT):
            for started in self.daemons:
                while not await started.is_ready():
                    await asyncio.sleep(0.1)

    async def add_database(self) -> Database:
        """Start one more database, behind a link of its own.

        :returns: The database.
        """
        database = self.group.add(f'i-{len(self.links)}')
        link = Link(database)
        await link.start()
        self.links[database.server_id] = link
        database.advertised_address = link.address
        await database.start()
        return database

    async def stop(self) -> None:
        """End all daemons and close all sockets."""
        for daemon in self.daemons:
            await daemon.kill()
        for link in self.links.values():
            link.close()
        for database in self.databases:
            await database.stop()
        self.store.close()


@contextlib.asynccontextmanager
async def running_site(daemons: int = 3) -> AsyncIterator[Site]:
    """Run a site in a temporary folder for the time of the body.

    :param daemons: Number of daemons.
    :yields: The site, once all daemons are ready.
    """
    with tempfile.TemporaryDirectory() as directory:
        site = Site(pathlib.Path(directory))
        try:
            await site.start(daemons)
            yield site
        finally:
            await site.stop()


def is_disturbed() -> bool:
    """Tell whether the script injects the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def finish(record: pathlib.Path, lines: list[str], broken: list[str]) -> None:
    """Write the record and exit with 1 if the rule was broken, or 0.

    :param record: Path of the record.
    :param lines: What was sent, answered and run.
    :param broken: Explanations of the violations.
    """
    verdict = [f'violations: {len(broken)}', *broken]
    record.write_text('\n'.join((*lines, *verdict, '')))
    sys.stdout.write('\n'.join((*verdict[:4], '')))
    sys.stdout.flush()
    # Skips the clean-up of connections that belong to no process any more.
    os._exit(1 if broken else 0)


def _configuration() -> dict[str, Any]:
    routes = [
        {
            'name': f'r-{database}',
            'host': database,
            'service': SERVICE,
            'kind': kind,
            'timeout_ms': _TIMEOUTS[kind],
            'slo_ms': 200,
            'priority': 1,
            'max_staleness_ms': _MAX_AGES[kind],
        }
        for database, kind in ROUTES.items()
    ]
    services = [
        {'name': SERVICE, 'max_conns': _CONNECTION_LIMIT, 'sync_replicas': 0}
    ]
    limits = {'tx_idle_ms': 3_000}
    return {
        'version': 1,
        'routes': routes,
        'services': services,
        'limits': limits,
    }
