"""The subcommand ``monsoonctl explain``."""

from collections.abc import Callable, Iterator
from typing import Annotated, Any

import aiohttp
import attrs
import cappa

from monsoonproxy.actions import CommandResult
from monsoonproxy.configuration_store import Platform
from monsoonproxy.exceptions import PeerError

#: Time limit in s of the question.
_TIMEOUT = aiohttp.ClientTimeout(total=3)
_COLUMNS = (
    'name',
    'role',
    'share',
    'expected_ms',
    'waiting',
    'limit',
    'position',
    'through',
    'refusal',
)


@cappa.command(
    help='Explain where a statement would go now, without sending it.',
    description=(
        'Example: monsoonctl explain 10.20.1.1:7455 orders'
        ' --verb write --organisation north'
    ),
)
@attrs.frozen
class Explain:
    """Arguments of ``explain``."""

    address: Annotated[
        str, cappa.Arg(help='ip:port of the metrics of a daemon.')
    ]
    database: Annotated[
        str, cappa.Arg(help='The database name that the caller opens.')
    ]
    verb: Annotated[
        str,
        cappa.Arg(long=True, choices=['read', 'write'], help='What it does.'),
    ] = 'read'
    organisation: Annotated[
        str, cappa.Arg(long=True, help="The caller's organisation.")
    ] = ''

    async def run(self, _platform: Callable[[], Platform]) -> CommandResult:
        """Run the command and return its output."""
        fields = {
            'database': self.database,
            'verb': self.verb,
            'organisation': self.organisation,
        }
        url = f'http://{self.address}/explain'
        try:
            async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
                async with session.get(url, params=fields) as response:
                    found = await response.json()
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise PeerError(f'{self.address}: {exc!r}') from exc
        return CommandResult(list(_lines(found)), found)


def _lines(found: dict[str, Any]) -> Iterator[str]:
    verdict = found['refusal'] or 'would be sent'
    yield f'service {found["service"]}, {found["kind"]}: {verdict}'
    if found['floor']:
        yield f'log position that the answer must reflect: {found["floor"]}'
    if found['candidates']:
        yield ' '.join(_COLUMNS)
    for candidate in found['candidates']:
        yield ' '.join([str(candidate[name] or '-') for name in _COLUMNS])
