"""In-memory platform and a runner of ``monsoonctl`` that uses it."""

import asyncio
import contextlib
import io
import pathlib

import attrs

from monsoonproxy import cli
from monsoonproxy.configuration import read_header
from monsoonproxy.exceptions import PlatformError, PreconditionError
from monsoonproxy.models import Host


@attrs.define
class StoredValue:
    """A value of the table service with its ETag."""

    etag: str
    body: bytes


class MemoryPlatform:
    """Table service, object store and host list in memory.

    ``faults`` lists the faults of the next writes in order: ``lost`` (the write
    takes effect but its answer is lost), or ``late`` or ``failed`` (the write
    is not stored and gets no answer). ``before_write`` is called before each
    write. ``pause`` returns for how many turns of the event loop a call waits,
    and ``down`` makes every call fail.
    """

    def __init__(self) -> None:
        self.table: dict[str, StoredValue] = {}
        self.objects: dict[str, bytes] = {}
        self.host_list: tuple[Host, ...] = ()
        self.faults: list[str] = []
        self.down = False
        self.writes = 0
        self.before_write = list
        self.pause = int

    async def read(self, key: str) -> StoredValue | None:
        await self._simulate_call()
        return self.table.get(key)

    async def write(self, key: str, body: bytes, etag: str | None) -> str:
        await self._simulate_call()
        self.writes += 1
        self.before_write()
        fault = self.faults.pop(0) if self.faults else ''
        if fault in {'failed', 'late'}:
            raise PlatformError('no answer')
        stored = self.table.get(key)
        if etag != (stored and stored.etag):
            raise PreconditionError('etag differs')
        self.table[key] = StoredValue(f'e{self.writes}', body)
        await self._simulate_call()
        if fault == 'lost':
            raise PlatformError('no answer')
        return self.table[key].etag

    async def put_object(self, key: str, body: bytes) -> None:
        await self._simulate_call()
        self.objects[key] = body

    async def get_object(self, key: str) -> bytes | None:
        await self._simulate_call()
        return self.objects.get(key)

    async def hosts(self) -> tuple[Host, ...]:
        await self._simulate_call()
        return self.host_list

    async def _simulate_call(self) -> None:
        for _ in range(self.pause()):
            await asyncio.sleep(0)
        if self.down:
            raise PlatformError('connection refused')


class MonsoonctlRunner:
    """Runs ``monsoonctl`` with files in a temporary folder."""

    def __init__(self, folder: pathlib.Path, base: str) -> None:
        self.folder = folder
        self.platform = MemoryPlatform()
        self.write_file(base)

    def write_file(self, text: str) -> None:
        (self.folder / 'base.toml').write_text(text)

    def path(self, name: str) -> str:
        return str(self.folder / name)

    async def run(self, *argv: str) -> tuple[int, str]:
        """Run a command line and return its exit code and output.

        An argument with a dot is taken as the name of a file in the folder.
        """
        output = io.StringIO()
        names = [self.path(item) if '.' in item else item for item in argv]
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            code = await asyncio.to_thread(self._run, names)
        return code, output.getvalue()

    def _run(self, argv: list[str]) -> int:
        try:
            return cli.run(argv, lambda _name, _url: self.platform)
        except SystemExit as exc:
            return exc.code

    def version(self) -> int:
        stored = self.platform.table.get('configuration')
        return read_header(stored.body).version if stored else 0
