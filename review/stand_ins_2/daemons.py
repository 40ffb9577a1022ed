"""Daemons as separate processes, with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import tomllib

from stand_ins_2.platform_store import HOST

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_PORTS = range(10_000, 32_000)
_ENDED = 'the daemon ended before it was ready'
#: Settings of a front machine of a site, on loopback.
_SETTINGS = """
node = "{name}"
role = "proxy"
class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "za-central-a"
region = "za-central"
port_range = [{relay}, {metrics}]
seeds = {seeds}
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
za-central-a = "za-central"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.602
cores = 2
memory_mb = 420
max_fds = 10450
link_mbps = 5.0
disk_mb = 0
[bounds]
stability_ms = 5000
drain_ms = 10000
grace_s = 6
lost_slack_ms = 200
config_ms = 5000
recovery_s = 15
fencing = true
[platform]
addr = "{store}"
form = "table"
[cloud]
addr = "{store}"
duties = ["promotion"]
"""


class Daemon:
    """One daemon.

    :param name: Its name.
    :param folder: Folder for its settings and its log.
    :param store: Address of the platform's store.
    """

    def __init__(self, name: str, folder: pathlib.Path, store: str) -> None:
        self.name = name
        self.process: asyncio.subprocess.Process | None = None
        names = ('relay', 'metrics', 'front', 'ready', 'control')
        self._ports = dict(zip(names, _free_ports(len(names)), strict=True))
        self._settings = folder / f'{name}.toml'
        self._log = folder / f'{name}.log'
        self._settings.write_text(
            _SETTINGS.format(
                name=name, host=HOST, store=store, seeds=[], **self._ports
            )
        )

    @property
    def port(self) -> int:
        """Return the port where callers connect."""
        return self._ports['front']

    async def start(self) -> None:
        """Start the process, with nothing of this one's environment."""
        deployed = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deployed['roles']['proxy']['run'].split()
        kept = {name: os.environ[name] for name in ('PATH', 'HOME')}
        with self._log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={
                    **kept,
                    'MONSOONPROXY_BOOT': str(self._settings),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
            )

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self._ports['ready']
            )
        except OSError:
            return False
        writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line

    async def wait_ready(self) -> None:
        """Wait until it is ready.

        :raises RuntimeError: If the process has ended.
        """
        while not await self.is_ready():
            if self.process is None or self.process.returncode is not None:
                raise RuntimeError(_ENDED)
            await asyncio.sleep(0.1)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs.

        :param number: The signal.
        """
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process, also one that stands still."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _free_ports(count: int) -> list[int]:
    """Return ports that nothing uses, none of which the kernel hands out."""
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = random.SystemRandom().choice(_PORTS)
            with contextlib.suppress(OSError):
                stack.enter_context(socket.socket()).bind((HOST, port))
                ports.append(port)
        return ports
