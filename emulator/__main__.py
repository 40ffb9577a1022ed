"""Runs the emulator: ``python -m emulator <command>``."""

import cappa

from emulator.commands import DatabaseCommand, PlatformCommand
from emulator.demo import DemoCommand


@cappa.command(name='emulator')
class Emulator:
    """Simulated backend servers and platform."""

    # Further commands are added to this union.
    command: cappa.Subcommands[DatabaseCommand | PlatformCommand | DemoCommand]


if __name__ == '__main__':
    cappa.invoke(Emulator)
