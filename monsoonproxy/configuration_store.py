"""Operations on a site's configuration in the platform's store."""

import asyncio
import contextlib
import uuid
from typing import Any, Protocol

import attrs

from monsoonproxy.configuration import (
    Change,
    Configuration,
    DocumentHeader,
    diff,
    read_header,
)
from monsoonproxy.exceptions import (
    ConflictError,
    PlatformError,
    PreconditionError,
)
from monsoonproxy.models import Host

CONFIGURATION_KEY = 'configuration'

#: Waits before the stored document is read back after a lost answer, in s.
READ_BACK_WAITS = (0, 0.2, 1, 2)


class Versioned(Protocol):
    """A value of the table service."""

    @property
    def etag(self) -> str:
        """Identify the stored value."""

    @property
    def body(self) -> bytes:
        """Hold the value."""


class Platform(Protocol):
    """What the commands need of a platform adapter."""

    async def read(self, key: str) -> Versioned | None:
        """Read a value of the table service."""

    async def write(self, key: str, body: bytes, etag: str | None) -> str:
        """Replace a value if its etag matches; ``None`` means it is new."""

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Read an object."""

    async def hosts(self) -> tuple[Host, ...]:
        """Read the host list."""


class OutcomeUnknownError(PlatformError):
    """It could not be determined whether a write took effect."""


@attrs.frozen
class Applied:
    """An accepted version.

    :param version: Its number.
    :param changes: Differences to the version before.
    :param archived: Whether the object store has it.
    """

    version: int
    changes: tuple[str, ...]
    archived: bool


@attrs.frozen
class _Stored:
    etag: str | None
    body: bytes
    found: Configuration


async def read_current(platform: Platform) -> Configuration:
    """Read the accepted configuration.

    :param platform: The platform.
    :returns: The configuration; version 0 if there is none yet.
    :raises PlatformError: If the store does not answer.
    """
    stored = await _read(platform)
    return stored.found


async def _read(platform: Platform) -> _Stored:
    stored = await platform.read(CONFIGURATION_KEY)
    if stored is None:
        return _Stored(None, b'', Configuration())
    found = Configuration.from_document(stored.body)
    return _Stored(stored.etag, stored.body, found)


async def apply(
    platform: Platform,
    wanted: Configuration,
    change: Change,
    expected: int | None = None,
) -> Applied:
    """Make a configuration the accepted one.

    The write happens at most once. A lost answer is resolved by reading.

    :param platform: The platform.
    :param wanted: A checked configuration.
    :param change: Who makes the change, and why.
    :param expected: Version that must be the accepted one, if given.
    :returns: The accepted version; the same as before if nothing differs.
    :raises ConflictError: If another operator's change came first.
    :raises OutcomeUnknownError: If the write may still take effect.
    :raises PlatformError: If the store can't be reached; nothing changed.
    """
    stored = await _read(platform)
    current = stored.found
    if expected is not None and expected != current.version:
        await _raise_conflict(platform, expected, current)
    changes = tuple(diff(current, wanted))
    if not changes:
        return Applied(current.version, (), archived=True)
    if stored.body:
        # The previous operator's tool may have ended before it archived.
        await platform.put_object(_object_key(current.version), stored.body)
    wanted = attrs.evolve(
        wanted,
        version=current.version + 1,
        change=attrs.evolve(change, identity=uuid.uuid4().hex),
    )
    document = wanted.to_document()
    await _write(platform, document, stored)
    archived = await _archive(platform, wanted.version, document)
    return Applied(wanted.version, changes, archived)


async def _write(platform: Platform, document: bytes, before: _Stored) -> None:
    try:
        await platform.write(CONFIGURATION_KEY, document, before.etag)
    except PreconditionError:
        # A transport may have repeated the write, so it is read back as well.
        await _resolve_outcome(platform, document, before, refused=True)
    except PlatformError:
        await _resolve_outcome(platform, document, before, refused=False)


async def _resolve_outcome(
    platform: Platform, document: bytes, before: _Stored, *, refused: bool
) -> None:
    """Find out whether a write took effect.

    :raises ConflictError: If another one took effect instead.
    :raises OutcomeUnknownError: If the store still has the old document.
    """
    ours = read_header(document)
    stored = await _read_back(platform, ours, refused=refused)
    if stored is None:
        raise OutcomeUnknownError(
            f'outcome unknown: version {ours.version} may still take effect;'
            " don't repeat the command before 'monsoonctl show' answers",
        )
    if not await _is_accepted(platform, ours, stored):
        raise _conflict(before.found, stored.found)


async def _read_back(
    platform: Platform,
    ours: DocumentHeader,
    *,
    refused: bool,
) -> _Stored | None:
    """Read until the stored document decides; ``None`` if it never does."""
    for wait in READ_BACK_WAITS:
        await asyncio.sleep(wait)
        with contextlib.suppress(PlatformError):
            stored = await _read(platform)
            if refused or stored.found.version >= ours.version:
                return stored
    return None


async def _is_accepted(
    platform: Platform, ours: DocumentHeader, stored: _Stored
) -> bool:
    if stored.found.version > ours.version:
        # Whoever wrote the later version archived the one before it.
        archived = await platform.get_object(_object_key(ours.version))
        return archived is not None and _matches(archived, ours.digest)
    return bool(stored.body) and _matches(stored.body, ours.digest)


def _matches(document: bytes, digest: str) -> bool:
    return read_header(document).digest == digest


async def _raise_conflict(
    platform: Platform, expected: int, current: Configuration
) -> None:
    seen = await read_version(platform, expected)
    raise _conflict(seen or Configuration(version=expected), current)


def _conflict(before: Configuration, now: Configuration) -> ConflictError:
    who = now.change.operator or 'another operator'
    lines = diff(before, now)
    head = f'version {now.version} of {who} was accepted first; it changed:'
    return ConflictError('\n'.join((head, *lines)))


async def _archive(platform: Platform, version: int, document: bytes) -> bool:
    try:
        await platform.put_object(_object_key(version), document)
    except PlatformError:
        return False
    return True


async def read_version(
    platform: Platform, version: int
) -> Configuration | None:
    """Read an accepted configuration.

    :param platform: The platform.
    :param version: Its version.
    :returns: The configuration, or ``None`` if it is not stored.
    :raises PlatformError: If the store does not answer.
    """
    return await _find_version(platform, version, await read_current(platform))


async def _find_version(
    platform: Platform, version: int, current: Configuration
) -> Configuration | None:
    if current.version == version:
        return current
    if version > current.version:
        return None
    document = await platform.get_object(_object_key(version))
    return Configuration.from_document(document) if document else None


async def history(platform: Platform, limit: int) -> list[dict[str, Any]]:
    """List the latest accepted versions.

    :param platform: The platform.
    :param limit: How many at most.
    :returns: Version, time, operator and comment, latest first.
    :raises PlatformError: If the store does not answer.
    """
    current = await read_current(platform)
    rows = []
    first = max(0, current.version - limit)
    for version in range(current.version, first, -1):
        found = await _find_version(platform, version, current)
        change = found.change if found else Change(comment='(not archived)')
        rows.append(
            {
                'version': version,
                'time': change.time,
                'operator': change.operator,
                'comment': change.comment,
            }
        )
    return rows


def _object_key(version: int) -> str:
    return f'{CONFIGURATION_KEY}/{version}'
