"""Subcommands that run one simulated outside system each."""

import asyncio
import pathlib
from typing import Annotated

import attrs
import cappa
import uvloop

from emulator.control import run_until_signal
from emulator.database import Database, Options
from emulator.platform import Platform
from emulator.switches import Gate, Switches


def _option(text: str, default: object = cappa.Empty) -> cappa.Arg:
    # The library takes a default of 0 or '' only from here.
    return cappa.Arg(long=True, help=text, default=default)


@cappa.command(name='database')
@attrs.define(kw_only=True)
class DatabaseCommand:
    """Runs a simulated backend server."""

    name: Annotated[str, _option('name in its group')]
    host: Annotated[str, _option('address to listen on')] = '127.0.0.1'
    port: Annotated[int, _option('MySQL port, 0 for any', 0)] = 0
    control_port: Annotated[int, _option('control port, 0 for any', 0)] = 0
    slots: Annotated[int, _option('statements that run at once')] = 2
    state: Annotated[
        pathlib.Path | None, _option('directory that survives a restart')
    ] = None
    audit: Annotated[pathlib.Path | None, _option('audit log file')] = None
    primary: Annotated[bool, _option('start as the primary of term 1')] = False
    source: Annotated[str, _option('primary of term 1 to follow', '')] = ''
    switches: Annotated[
        str, _option('initial faults and limits, as name=value,...', '')
    ] = ''

    def __call__(self) -> None:
        """Run the backend server until a signal ends it."""
        fields = attrs.asdict(self) | {'switches': _switches(self.switches)}
        uvloop.install()
        asyncio.run(
            run_until_signal(
                Database(Options(**fields)),
                ('name', 'address', 'control_address'),
            )
        )


@cappa.command(name='platform')
@attrs.define(kw_only=True)
class PlatformCommand:
    """Runs a simulated platform."""

    host: Annotated[str, _option('address to listen on')] = '127.0.0.1'
    port: Annotated[int, _option('port, 0 for any', 0)] = 0

    def __call__(self) -> None:
        """Run the platform until a signal ends it."""
        uvloop.install()
        asyncio.run(
            run_until_signal(Platform(self.host, self.port), ('address',))
        )


def _switches(text: str) -> Switches:
    gate = Gate(Switches())
    pairs = [pair.partition('=') for pair in text.split(',') if pair]
    gate.update({name: _number(number) for name, _, number in pairs})
    return gate.switches


def _number(text: str) -> int | float:
    return int(text) if text.isdigit() else float(text)
