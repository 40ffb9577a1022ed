"""Entry point of the daemon ``monsoonproxyd``."""

import sys
from typing import Annotated

import attrs
import cappa
import uvloop

from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.logs import configure
from monsoonproxy.server import Daemon
from monsoonproxy.settings import Settings, load_settings


@cappa.command(name='monsoonproxyd')
@attrs.define
class Arguments:
    """Run a daemon of monsoonproxy."""

    settings: Annotated[str, cappa.Arg(help='Settings file, TOML.')]


def main() -> None:
    """Run the daemon with the settings file named on the command line."""
    arguments = cappa.parse(Arguments)
    try:
        settings = load_settings(arguments.settings)
        configure(
            level=settings.log_level,
            structured=settings.log_format == 'json',
        )
        uvloop.run(_serve(settings))
    except MonsoonError as exc:
        sys.exit(f'monsoonproxyd: {exc}')


async def _serve(settings: Settings) -> None:
    await Daemon(settings).run()
