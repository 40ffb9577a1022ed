"""What the commands of ``monsoonctl`` do and print."""

import asyncio
import contextlib
import importlib
import pathlib
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, TypeAlias

import attrs

from monsoonproxy import configuration, inquiries, keys, operations, reports
from monsoonproxy.clock import Clock
from monsoonproxy.exceptions import ConfigurationError, PeerError, PlatformError

Opened: TypeAlias = Callable[[], operations.Platform]

#: How many daemons are told of a new version; they tell the others.
_NOTIFIED = 3
#: Time in ms for which rotated keys are still accepted.
_KEY_OVERLAP = 24 * 3600 * 1000


@attrs.frozen
class Answer:
    """What a command prints.

    :param lines: Lines for people.
    :param data: The same for ``--json``.
    :param code: Exit code.
    :param failed: Whether the lines tell of an error.
    """

    lines: list[str]
    data: Any
    code: int = 0
    failed: bool = False


def check(base: str, overlay: str | None) -> Answer:
    """Check files.

    :param base: Base file.
    :param overlay: Overlay file.
    :returns: The answer.
    :raises ConfigurationError: If they are wrong.
    """
    found = load_checked(base, overlay)
    warnings = found.warnings()
    lines = [f'warning: {text}' for text in warnings]
    services = len(found.services)
    users = len(found.users)
    lines.append(f'valid: services {services}, users {users}')
    data = {'valid': True, 'warnings': warnings, 'services': services}
    return Answer(lines, data)


def load_checked(base: str, overlay: str | None) -> configuration.Configuration:
    """Load files, and check the adapters that they name.

    :param base: Base file.
    :param overlay: Overlay file.
    :returns: The configuration.
    :raises ConfigurationError: If they are wrong.
    """
    return configuration.load(base, overlay, _fencing())


def _fencing() -> dict[str, bool] | None:
    """Return which database adapters can refuse lower terms, by name."""
    try:
        importlib.import_module('monsoonproxy.databases')
    except ModuleNotFoundError:
        return None
    adapters = importlib.import_module('monsoonproxy.adapters')
    registry = adapters.databases
    return {name: _fences(registry.get(name)) for name in registry.names()}


def _fences(adapter: Any) -> bool:
    """Return whether an adapter's class says that it can refuse lower terms.

    The class of an attrs field with a default has a descriptor there, which is
    true whatever the default is. What says nothing counts as not fencing.
    """
    if attrs.has(adapter):
        field = attrs.fields_dict(adapter).get('fences')
        return field is not None and field.default is True
    return getattr(adapter, 'fences', False) is True


async def compare(opened: Opened, base: str, overlay: str | None) -> Answer:
    """Compare files with the accepted configuration.

    :param opened: Opens the platform.
    :param base: Base file.
    :param overlay: Overlay file.
    :returns: The answer.
    """
    wanted = load_checked(base, overlay)
    current = await operations.read_current(opened())
    lines = configuration.diff(current, wanted)
    data = {'version': current.version, 'changes': lines}
    return Answer(lines or ['no difference'], data)


async def apply(
    platform: operations.Platform,
    wanted: configuration.Configuration,
    change: configuration.Change,
    expected: int | None,
) -> Answer:
    """Make a configuration the accepted one.

    :param platform: The platform.
    :param wanted: The configuration.
    :param change: Who makes the change, and why.
    :param expected: Version that must be the accepted one, if given.
    :returns: The answer.
    """
    applied = await operations.apply(platform, wanted, change, expected)
    data = {
        **attrs.asdict(applied),
        'warnings': wanted.warnings(),
        'notified': [],
    }
    if not applied.changes:
        return Answer([f'no difference to version {applied.version}'], data)
    data['notified'] = await _notify(platform, applied.version)
    lines = [*applied.changes, f'accepted as version {applied.version}']
    if not applied.archived:
        lines.append('warning: the object store did not keep this version')
    lines.extend(f'warning: {text}' for text in wanted.warnings())
    return Answer(lines, data)


async def _notify(platform: operations.Platform, version: int) -> list[str]:
    # Daemons also read the store, so a failure only costs some time.
    try:
        hosts = await platform.hosts()
    except PlatformError:
        return []
    notified: list[str] = []
    for host in hosts[:_NOTIFIED]:
        with contextlib.suppress(PeerError):
            await inquiries.notify(host.address, version)
            notified.append(host.address)
    return notified


async def show(platform: operations.Platform, version: int | None) -> Answer:
    """Show an accepted configuration.

    :param platform: The platform.
    :param version: Its version; the current one by default.
    :returns: The answer.
    :raises ConfigurationError: If there is no such version.
    """
    if version is None:
        found: (
            configuration.Configuration | None
        ) = await operations.read_current(platform)
    else:
        found = await operations.read_version(platform, version)
    if found is None:
        raise ConfigurationError(f'version {version} is not stored')
    lines = [f'version = {found.version}', *configuration.show(found)]
    return Answer(lines, configuration.redacted(found))


async def history(platform: operations.Platform, limit: int) -> Answer:
    """List accepted versions.

    :param platform: The platform.
    :param limit: How many at most.
    :returns: The answer.
    """
    rows = await operations.history(platform, limit)
    lines = [_history_line(row) for row in rows]
    return Answer(lines or ['no version yet'], rows)


def _history_line(row: dict[str, Any]) -> str:
    moment = datetime.fromtimestamp(row['time'] / 1000, UTC)
    columns = (
        str(row['version']),
        moment.isoformat(timespec='seconds') if row['time'] else '-',
        row['operator'] or '-',
        row['comment'],
    )
    return ' '.join(columns).rstrip()


async def status(opened: Opened, addresses: list[str]) -> Answer:
    """Show the status of daemons.

    :param opened: Opens the platform.
    :param addresses: Daemons; all listed hosts if empty.
    :returns: The answer; its code is 5 if a daemon did not answer.
    """
    asked = addresses or await _listed(opened)
    found = await asyncio.gather(*(_try_ask(name, 'status') for name in asked))
    answers = dict(zip(asked, found, strict=True))
    lines = [f'{address}: {_brief(item)}' for address, item in answers.items()]
    failed = any(isinstance(item, PeerError) for item in found)
    data = {
        address: {'error': str(item)} if isinstance(item, PeerError) else item
        for address, item in answers.items()
    }
    return Answer(lines, data, 5 if failed else 0)


async def _listed(opened: Opened) -> list[str]:
    return [host.address for host in await opened().hosts()]


async def _try_ask(address: str, topic: str) -> Any:
    try:
        return await inquiries.ask(address, topic)
    except PeerError as exc:
        return exc


def _brief(item: Any) -> str:
    if isinstance(item, PeerError):
        return f"can't be reached: {item}"
    if isinstance(item, dict):
        return ', '.join(f'{key} {value}' for key, value in item.items())
    return str(item)


async def drain(address: str) -> Answer:
    """Ask a daemon to shut down.

    :param address: The daemon.
    :returns: The answer.
    :raises PeerError: If it does not answer.
    """
    data = await inquiries.ask(address, 'drain')
    return Answer([f'{address}: {_brief(data)}'], data)


async def report_burn(
    opened: Opened,
    addresses: list[str],
    file: str | None,
    image: str | None,
) -> Answer:
    """Show how fast services use up their error budgets.

    :param opened: Opens the platform.
    :param addresses: Daemons; all listed hosts if empty.
    :param file: File with counters, instead of asking daemons.
    :param image: Image file to draw.
    :returns: The answer.
    """
    counts: list[reports.Count] = []
    if file is None:
        for address in addresses or await _listed(opened):
            answer = await inquiries.ask(address, 'burn')
            counts.extend(reports.structure_counts(answer))
    else:
        counts = reports.parse_counts(_read(file))
    found = reports.burn_rates(counts, await _objectives(opened, file))
    if image is not None:
        reports.plot(found, image)
    return Answer(reports.to_text(found), reports.to_data(found))


def _read(file: str) -> bytes:
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise reports.ReportError(f'{file}: {exc.strerror}') from exc


async def _objectives(
    opened: Opened, file: str | None
) -> dict[tuple[str, str], float]:
    try:
        found = await operations.read_current(opened())
    except PlatformError:
        # A report on a file must also work without a platform.
        if file is None:
            raise
        return {}
    return {
        (service.name, name): rule.objective
        for service in found.services.values()
        for name, rule in service.classes.items()
    }


def make_change(operator: str, comment: str) -> configuration.Change:
    """Describe a change made now.

    :param operator: Who makes it.
    :param comment: Why.
    :returns: The description.
    """
    return configuration.Change(
        operator=operator, comment=comment, time=Clock().wall()
    )


def keys_new(file: str) -> Answer:
    """Make a key file.

    :param file: The file, which must not exist.
    :returns: The answer.
    :raises ConfigurationError: If it exists.
    """
    if pathlib.Path(file).exists():
        raise ConfigurationError(f"{file} exists; use 'keys rotate'")
    made = keys.create(Clock().wall())
    keys.save(file, made)
    return _keys_answer(made)


def keys_rotate(file: str) -> Answer:
    """Add new keys to a file; the old ones are accepted for a day.

    :param file: The file.
    :returns: The answer.
    """
    made = keys.rotate(keys.load(file), Clock().wall(), _KEY_OVERLAP)
    keys.save(file, made)
    return _keys_answer(made)


def keys_show(file: str) -> Answer:
    """List the keys of a file.

    :param file: The file.
    :returns: The answer.
    """
    return _keys_answer(keys.load(file))


def _keys_answer(ring: keys.KeyRing) -> Answer:
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
    return Answer([f'{row["use"]} {row["id"]}' for row in rows], rows)
