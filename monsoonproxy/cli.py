"""Command line of ``monsoonctl``, the tool of a site's operators."""

import asyncio
import getpass
import importlib
import json
import sys
from collections.abc import Callable
from typing import Annotated, Any, Protocol, TypeAlias

import attrs
import cappa

from monsoonproxy import actions, daemon_client
from monsoonproxy.configuration_store import Platform
from monsoonproxy.explain_command import Explain
from monsoonproxy.exceptions import (
    ConflictError,
    MonsoonError,
    PeerError,
    PlatformError,
)
from monsoonproxy.sources import SourceError

_EXIT_CODES_HELP = (
    'Exit codes: 0 done, 1 refused by a check, 2 wrong usage, 3 another'
    " operator's change came first, 4 the platform can't be reached, 5 a"
    " daemon can't be reached."
)
_PLATFORM_VARIABLE = 'MONSOONPROXY_PLATFORM'
_KEY_FILE_VARIABLE = 'MONSOONPROXY_KEY_FILE'

Opener: TypeAlias = Callable[[str, str], Platform]
_ExitCode: TypeAlias = tuple[type[MonsoonError], int]

#: Exit codes by class of error, subclasses first. Not listed: 0 is success and
#: 2 is wrong usage, which cappa reports.
EXIT_CODES: tuple[_ExitCode, ...] = (
    (ConflictError, 3),
    (PlatformError, 4),
    (PeerError, 5),
    (MonsoonError, 1),
)

Base = Annotated[str, cappa.Arg(help='Base file.')]
Overlay = Annotated[
    str | None, cappa.Arg(long=True, help="The site's overlay file.")
]
Address = Annotated[str, cappa.Arg(help='ip:port of the peer socket.')]


class Command(Protocol):
    """A parsed subcommand with its arguments."""

    async def run(
        self, platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""


def _example(text: str) -> str:
    return f'Example: monsoonctl {text}'


@cappa.command(
    help='Check files without changing anything.',
    description=_example('check base.toml --overlay site.toml'),
)
@attrs.frozen
class Check:
    """Arguments of ``check``."""

    base: Base
    overlay: Overlay = None

    async def run(
        self, _platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return actions.check(self.base, self.overlay)


@cappa.command(
    help='Compare files with the accepted configuration.',
    description=_example('diff base.toml --overlay site.toml'),
)
@attrs.frozen
class Diff:
    """Arguments of ``diff``."""

    base: Base
    overlay: Overlay = None

    async def run(
        self, platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return await actions.compare(platform, self.base, self.overlay)


@cappa.command(
    help='Make files the accepted configuration.',
    description=_example(
        'apply base.toml --overlay site.toml --comment "add member c"'
    ),
)
@attrs.frozen
class Apply:
    """Arguments of ``apply``."""

    base: Base
    overlay: Overlay = None
    # The default is None because cappa treats an empty string as no default.
    comment: Annotated[str | None, cappa.Arg(long=True, help='Reason.')] = None
    operator: Annotated[
        str, cappa.Arg(long=True, help='Operator; login name by default.')
    ] = attrs.field(factory=getpass.getuser)
    expect: Annotated[
        int | None,
        cappa.Arg(long=True, help='Refuse unless this version is current.'),
    ] = None

    async def run(
        self, platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        wanted = actions.load_checked(self.base, self.overlay)
        change = actions.make_change(self.operator, self.comment or '')
        return await actions.apply(platform(), wanted, change, self.expect)


@cappa.command(
    help='Show the accepted configuration without secrets.',
    description=_example('show --version 12'),
)
@attrs.frozen
class Show:
    """Arguments of ``show``."""

    version: Annotated[
        int | None, cappa.Arg(long=True, help='An earlier version.')
    ] = None

    async def run(
        self, platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return await actions.show(platform(), self.version)


@cappa.command(
    help='List accepted versions.',
    description=_example('history --limit 5'),
)
@attrs.frozen
class History:
    """Arguments of ``history``."""

    limit: Annotated[int, cappa.Arg(long=True, help='Number of versions.')] = 20

    async def run(
        self, platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return await actions.history(platform(), self.limit)


@cappa.command(
    help='Show the status of daemons.',
    description=_example('status 10.0.0.1:7000'),
)
@attrs.frozen
class Status:
    """Arguments of ``status``."""

    addresses: Annotated[
        list[str], cappa.Arg(help='Daemons; all listed hosts by default.')
    ] = attrs.field(factory=list)

    async def run(
        self, platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return await actions.status(platform, self.addresses)


@cappa.command(
    help='Ask a daemon to shut down without interrupting requests.',
    description=_example('drain 10.0.0.1:7000'),
)
@attrs.frozen
class Drain:
    """Arguments of ``drain``."""

    address: Address

    async def run(
        self, _platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return await actions.drain(self.address)


@cappa.command(
    name='burn',
    help='Show how fast services use up their error budgets.',
    description=_example('report burn 10.0.0.1:7000 --plot burn.png'),
)
@attrs.frozen
class ReportBurn:
    """Arguments of ``report burn``."""

    addresses: Annotated[
        list[str], cappa.Arg(help='Daemons; all listed hosts by default.')
    ] = attrs.field(factory=list)
    counts: Annotated[
        str | None, cappa.Arg(long=True, help='Read counters from a file.')
    ] = None
    plot: Annotated[
        str | None, cappa.Arg(long=True, help='Draw an image file.')
    ] = None

    async def run(
        self, platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return await actions.report_burn(
            platform, self.addresses, self.counts, self.plot
        )


@cappa.command(
    name='new',
    help='Create the key file of a site.',
    description=_example('keys new /etc/monsoonproxy/keys.toml'),
)
@attrs.frozen
class KeysNew:
    """Arguments of ``keys new``."""

    file: str

    async def run(
        self, _platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return actions.keys_new(self.file)


@cappa.command(
    name='rotate',
    help='Add new keys to a file and set the expiry of the old ones.',
    description=_example('keys rotate /etc/monsoonproxy/keys.toml'),
)
@attrs.frozen
class KeysRotate:
    """Arguments of ``keys rotate``."""

    file: str

    async def run(
        self, _platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return actions.keys_rotate(self.file)


@cappa.command(
    name='show',
    help='List the keys of a file without their secrets.',
    description=_example('keys show /etc/monsoonproxy/keys.toml'),
)
@attrs.frozen
class KeysShow:
    """Arguments of ``keys show``."""

    file: str

    async def run(
        self, _platform: Callable[[], Platform]
    ) -> actions.CommandResult:
        """Run the command and return its output."""
        return actions.keys_show(self.file)


@cappa.command(help='Reports from the counters of daemons.')
@attrs.frozen
class Report:
    """Arguments of ``report``."""

    command: cappa.Subcommands[ReportBurn]


@cappa.command(help='Key files for session tokens and daemons.')
@attrs.frozen
class Keys:
    """Arguments of ``keys``."""

    command: cappa.Subcommands[KeysNew | KeysRotate | KeysShow]


@cappa.command(name='monsoonctl', description=_EXIT_CODES_HELP)
@attrs.frozen
class Monsoonctl:
    """Global options and the subcommand."""

    command: cappa.Subcommands[
        Check
        | Diff
        | Apply
        | Show
        | History
        | Status
        | Drain
        | Report
        | Keys
        | Explain
    ]
    json: Annotated[
        bool, cappa.Arg(long=True, propagate=True, help='Print JSON.')
    ] = False
    platform_url: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(_PLATFORM_VARIABLE, default=''),
            help=f'URL of the platform service (or {_PLATFORM_VARIABLE}).',
        ),
    ] = ''
    platform: Annotated[
        str,
        cappa.Arg(
            long=True, propagate=True, help='Name of the platform adapter.'
        ),
    ] = 'http'
    key_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(_KEY_FILE_VARIABLE, default=''),
            help=f"The site's key file (or {_KEY_FILE_VARIABLE}).",
        ),
    ] = ''


def open_platform(name: str, url: str) -> Platform:
    """Create an adapter of the platform service.

    :param name: Name that the adapter is registered under.
    :param url: Base URL of the platform service.
    :returns: The adapter.
    :raises PlatformError: If the URL is empty.
    :raises MonsoonError: If no adapter has that name.
    """
    if not url:
        raise PlatformError(
            f'no platform URL: use --platform-url or set {_PLATFORM_VARIABLE}'
        )
    # Adapters register themselves when their module is imported.
    importlib.import_module('monsoonproxy.platforms')
    adapters = importlib.import_module('monsoonproxy.adapters')
    return adapters.platforms.get(name)(url)


async def execute(
    arguments: Monsoonctl, opener: Opener
) -> actions.CommandResult:
    """Run a command and close the platform adapter that it opened.

    :param arguments: The parsed command line.
    :param opener: Opens a platform adapter by its name and URL.
    :returns: The result of the command; a ``MonsoonError`` becomes a result
        with its exit code.
    """
    opened: list[Platform] = []

    def platform() -> Platform:
        if not opened:
            opened.append(opener(arguments.platform, arguments.platform_url))
        return opened[0]

    command: Any = arguments.command
    command = getattr(command, 'command', command)
    try:
        daemon_client.use_keys(arguments.key_file)
        return await command.run(platform)
    except MonsoonError as exc:
        return _error_result(exc)
    finally:
        for item in opened:
            await _close(item)


async def _close(platform: Platform) -> None:
    close = getattr(platform, 'close', None)
    if close is not None:
        await close()


def _error_result(exc: MonsoonError) -> actions.CommandResult:
    code = next(code for kind, code in EXIT_CODES if isinstance(exc, kind))
    data: dict[str, Any] = {'error': str(exc), 'code': code}
    if isinstance(exc.__cause__, SourceError):
        data['problems'] = [
            {
                'file': problem.location.file,
                'line': problem.location.line,
                'key': problem.key,
                'text': problem.text,
            }
            for problem in exc.__cause__.problems
        ]
    return actions.CommandResult([f'error: {exc}'], data, code, failed=True)


def run(argv: list[str] | None, opener: Opener = open_platform) -> int:
    """Parse the arguments, run the command and print its output.

    :param argv: Arguments; those of the process by default.
    :param opener: Opens a platform adapter by its name and URL.
    :returns: The exit code.
    """
    arguments = cappa.parse(Monsoonctl, argv=argv)
    answer = asyncio.run(execute(arguments, opener))
    if arguments.json:
        print(json.dumps(answer.data, indent=1))
        return answer.code
    stream = sys.stderr if answer.failed else sys.stdout
    for line in answer.lines:
        print(line, file=stream)
    return answer.code


def main() -> None:
    """Run ``monsoonctl`` with the arguments of the process and exit."""
    sys.exit(run(None))
