"""Implementation of the ``monsoonctl`` commands and their output."""

import asyncio
import contextlib
import importlib
import pathlib
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, TypeAlias

import attrs

from monsoonproxy import (
    configuration,
    configuration_store,
    daemon_client,
    keys,
    reports,
)
from monsoonproxy.clock import Clock
from monsoonproxy.exceptions import ConfigurationError, PeerError, PlatformError

PlatformGetter: TypeAlias = Callable[[], configuration_store.Platform]

#: Maximum number of daemons that are notified of a new version; gossip spreads
#: it to the others.
_MAX_NOTIFIED = 3
#: Time in ms for which old token keys stay valid after the keys of a rotation
#: become active: 24 h.
_KEY_OVERLAP_MS = 24 * 3600 * 1000


@attrs.frozen
class CommandResult:
    """Output and exit code of a command.

    :param lines: Lines of the plain text output.
    :param data: The output for ``--json``.
    :param code: Exit code of the tool.
    :param failed: Whether the lines report an error and go to stderr.
    """

    lines: list[str]
    data: Any
    code: int = 0
    failed: bool = False


def check(base: str, overlay: str | None) -> CommandResult:
    """Validate configuration files without applying them.

    :param base: Path of the base file.
    :param overlay: Path of the site's overlay file.
    :returns: The result.
    :raises ConfigurationError: If the files are not valid.
    """
    found = load_checked(base, overlay)
    warnings = found.warnings()
    lines = [f'warning: {text}' for text in warnings]
    services = len(found.services)
    users = len(found.users)
    lines.append(f'valid: services {services}, users {users}')
    data = {'valid': True, 'warnings': warnings, 'services': services}
    return CommandResult(lines, data)


def load_checked(base: str, overlay: str | None) -> configuration.Configuration:
    """Load and validate files, including the adapters that they name.

    :param base: Path of the base file.
    :param overlay: Path of the site's overlay file.
    :returns: The validated configuration.
    :raises ConfigurationError: If the files are not valid.
    """
    return configuration.load(base, overlay, _fencing_support())


def _fencing_support() -> dict[str, bool] | None:
    """Return by adapter name whether it supports fencing.

    :returns: The map; ``None`` if the database adapters are not installed.
    """
    try:
        importlib.import_module('monsoonproxy.databases')
    except ModuleNotFoundError:
        return None
    adapters = importlib.import_module('monsoonproxy.adapters')
    registry = adapters.databases
    return {
        name: _supports_fencing(registry.get(name)) for name in registry.names()
    }


def _supports_fencing(adapter: Any) -> bool:
    """Return whether an adapter class declares that it supports fencing.

    An adapter with fencing can refuse statements of a lower term. On a slotted
    attrs class, ``fences`` is a descriptor, which is true whatever the default
    of the field, so the default itself is read. An adapter class that does not
    declare ``fences`` counts as one without fencing.
    """
    if attrs.has(adapter):
        field = attrs.fields_dict(adapter).get('fences')
        return field is not None and field.default is True
    return getattr(adapter, 'fences', False) is True


async def compare(
    get_platform: PlatformGetter, base: str, overlay: str | None
) -> CommandResult:
    """Compare files with the accepted configuration.

    :param get_platform: Opens the platform adapter on its first call.
    :param base: Path of the base file.
    :param overlay: Path of the site's overlay file.
    :returns: The result.
    """
    wanted = load_checked(base, overlay)
    current = await configuration_store.read_current(get_platform())
    lines = configuration.diff(current, wanted)
    data = {'version': current.version, 'changes': lines}
    return CommandResult(lines or ['no difference'], data)


async def apply(
    platform: configuration_store.Platform,
    wanted: configuration.Configuration,
    change: configuration.Change,
    expected: int | None,
) -> CommandResult:
    """Store a configuration as the next version and notify some daemons.

    :param platform: The platform.
    :param wanted: The new configuration, already validated.
    :param change: Operator, time and reason of the change.
    :param expected: Refuse the change unless this version is accepted now.
    :returns: The result.
    """
    applied = await configuration_store.apply(
        platform, wanted, change, expected
    )
    data = {
        **attrs.asdict(applied),
        'warnings': wanted.warnings(),
        'notified': [],
    }
    if not applied.changes:
        return CommandResult(
            [f'no difference to version {applied.version}'], data
        )
    data['notified'] = await _notify(platform, applied.version)
    lines = [*applied.changes, f'accepted as version {applied.version}']
    if not applied.archived:
        lines.append(
            'warning: this version could not be archived in the object store'
        )
    lines.extend(f'warning: {text}' for text in wanted.warnings())
    return CommandResult(lines, data)


async def _notify(
    platform: configuration_store.Platform, version: int
) -> list[str]:
    # Daemons also read the table service periodically, so a failure here only
    # delays the new version.
    try:
        hosts = await platform.hosts()
    except PlatformError:
        return []
    notified: list[str] = []
    for host in hosts[:_MAX_NOTIFIED]:
        with contextlib.suppress(PeerError):
            await daemon_client.notify(host.address, version)
            notified.append(host.address)
    return notified


async def show(
    platform: configuration_store.Platform, version: int | None
) -> CommandResult:
    """Show an accepted configuration.

    :param platform: The platform.
    :param version: Version to show; ``None`` for the current one.
    :returns: The result.
    :raises ConfigurationError: If that version is not stored.
    """
    if version is None:
        found: (
            configuration.Configuration | None
        ) = await configuration_store.read_current(platform)
    else:
        found = await configuration_store.read_version(platform, version)
    if found is None:
        raise ConfigurationError(
            f'configuration version {version} is not stored'
        )
    lines = [f'version = {found.version}', *configuration.show(found)]
    return CommandResult(lines, configuration.redacted(found))


async def history(
    platform: configuration_store.Platform, limit: int
) -> CommandResult:
    """List the latest accepted versions of the configuration.

    :param platform: The platform.
    :param limit: Maximum number of versions.
    :returns: The result.
    """
    rows = await configuration_store.history(platform, limit)
    lines = [_history_line(row) for row in rows]
    return CommandResult(
        lines or ['no configuration has been accepted yet'], rows
    )


def _history_line(row: dict[str, Any]) -> str:
    moment = datetime.fromtimestamp(row['time'] / 1000, UTC)
    columns = (
        str(row['version']),
        moment.isoformat(timespec='seconds') if row['time'] else '-',
        row['operator'] or '-',
        row['comment'],
    )
    return ' '.join(columns).rstrip()


async def status(
    get_platform: PlatformGetter, addresses: list[str]
) -> CommandResult:
    """Show the status of daemons.

    :param get_platform: Opens the platform adapter on its first call.
    :param addresses: Peer addresses of the daemons; all hosts listed in the
        platform service if empty.
    :returns: The result; its exit code is 5 if a daemon did not answer.
    """
    asked = addresses or await _listed_addresses(get_platform)
    found = await asyncio.gather(*(_try_ask(name, 'status') for name in asked))
    answers = dict(zip(asked, found, strict=True))
    lines = [
        f'{address}: {_summarize(item)}' for address, item in answers.items()
    ]
    failed = any(isinstance(item, PeerError) for item in found)
    data = {
        address: {'error': str(item)} if isinstance(item, PeerError) else item
        for address, item in answers.items()
    }
    return CommandResult(lines, data, 5 if failed else 0)


async def _listed_addresses(get_platform: PlatformGetter) -> list[str]:
    return [host.address for host in await get_platform().hosts()]


async def _try_ask(address: str, topic: str) -> Any:
    try:
        return await daemon_client.ask(address, topic)
    except PeerError as exc:
        return exc


def _summarize(item: Any) -> str:
    if isinstance(item, PeerError):
        return f"can't be reached: {item}"
    if isinstance(item, dict):
        return ', '.join(f'{key} {value}' for key, value in item.items())
    return str(item)


async def drain(address: str) -> CommandResult:
    """Ask a daemon to drain its requests and shut down.

    :param address: Peer address of the daemon.
    :returns: The result.
    :raises PeerError: If the daemon does not answer.
    """
    data = await daemon_client.ask(address, 'drain')
    return CommandResult([f'{address}: {_summarize(data)}'], data)


async def report_burn(
    get_platform: PlatformGetter,
    addresses: list[str],
    file: str | None,
    image: str | None,
) -> CommandResult:
    """Show the error budget burn rates of the services.

    :param get_platform: Opens the platform adapter on its first call.
    :param addresses: Peer addresses of the daemons; all hosts listed in the
        platform service if empty.
    :param file: File with counters to use instead of those of the daemons.
    :param image: Image file to write the plot to, if given.
    :returns: The result.
    """
    counts: list[reports.Count] = []
    if file is None:
        for address in addresses or await _listed_addresses(get_platform):
            answer = await daemon_client.ask(address, 'burn')
            counts.extend(reports.structure_counts(answer))
    else:
        counts = reports.parse_counts(_read_file(file))
    found = reports.burn_rates(counts, await _objectives(get_platform, file))
    if image is not None:
        reports.plot(found, image)
    return CommandResult(reports.to_text(found), reports.to_data(found))


def _read_file(file: str) -> bytes:
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise reports.ReportError(f'{file}: {exc.strerror}') from exc


async def _objectives(
    get_platform: PlatformGetter, file: str | None
) -> dict[tuple[str, str], float]:
    try:
        found = await configuration_store.read_current(get_platform())
    except PlatformError:
        # A report on a file must also work without the platform service.
        if file is None:
            raise
        return {}
    return {
        (service.name, name): rule.objective
        for service in found.services.values()
        for name, rule in service.classes.items()
    }


def make_change(operator: str, comment: str) -> configuration.Change:
    """Describe a change that an operator makes now.

    :param operator: Name of the operator.
    :param comment: Reason for the change.
    :returns: The description, with the current time.
    """
    return configuration.Change(
        operator=operator, comment=comment, time=Clock().wall()
    )


def keys_new(file: str) -> CommandResult:
    """Create a key file.

    :param file: Path of the file, which must not exist yet.
    :returns: The result.
    :raises ConfigurationError: If the file exists.
    """
    if pathlib.Path(file).exists():
        raise ConfigurationError(
            f"key file {file} already exists; use 'keys rotate' to add keys"
        )
    made = keys.create(Clock().wall())
    keys.save(file, made)
    return _keys_result(made)


def keys_rotate(file: str) -> CommandResult:
    """Add new keys to a file and limit the validity of the old token keys.

    :param file: Path of the key file.
    :returns: The result.
    """
    made = keys.rotate(keys.load(file), Clock().wall(), _KEY_OVERLAP_MS)
    keys.save(file, made)
    return _keys_result(made)


def keys_show(file: str) -> CommandResult:
    """List the keys of a file without their secrets.

    :param file: Path of the key file.
    :returns: The result.
    """
    return _keys_result(keys.load(file))


def _keys_result(ring: keys.KeyRing) -> CommandResult:
    rows = [
        {
            'use': 'tokens',
            'id': key.key_id,
            'active_from': key.active_from,
            'expires': key.expires,
        }
        for key in ring.tokens
    ]
    rows += [
        {'use': 'peers', 'id': pair.public.decode()} for pair in ring.peers
    ]
    return CommandResult([f'{row["use"]} {row["id"]}' for row in rows], rows)
