"""Reads and writes of a site's configuration in the platform service.

The table service keeps the accepted configuration; the object store archives
every accepted version.
"""

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

#: Key of the configuration in the table service, and prefix of its archived
#: versions in the object store.
CONFIGURATION_KEY = 'configuration'

#: Delays in s before each attempt to read the stored document back after a
#: write whose response was lost.
READ_BACK_WAITS = (0, 0.2, 1, 2)


class Versioned(Protocol):
    """A value of the table service with its etag."""

    @property
    def etag(self) -> str:
        """Return the etag, which changes with every write of the value."""

    @property
    def body(self) -> bytes:
        """Return the stored bytes."""


class Platform(Protocol):
    """The methods of a platform adapter that the commands call."""

    async def read(self, key: str) -> Versioned | None:
        """Read a value of the table service."""

    async def write(self, key: str, body: bytes, etag: str | None) -> str:
        """Write a value if the etag matches; ``None`` if it must not exist."""

    async def put_object(self, key: str, body: bytes) -> None:
        """Write an object to the object store."""

    async def get_object(self, key: str) -> bytes | None:
        """Read an object; ``None`` if the object store does not have it."""

    async def hosts(self) -> tuple[Host, ...]:
        """Read the hosts that are listed in the platform service."""


class OutcomeUnknownError(PlatformError):
    """Whether a write of the configuration took effect is unknown."""


@attrs.frozen
class Applied:
    """Outcome of :func:`apply`.

    :param version: Version that is accepted now.
    :param changes: Differences from the previous version.
    :param archived: Whether the version was written to the object store.
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
    :returns: The configuration; version 0 if none was accepted yet.
    :raises PlatformError: If the platform service does not answer.
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
    """Store a configuration as the next accepted version.

    The write is sent at most once. If its response is lost, the stored document
    is read back to find out whether the write took effect.

    :param platform: The platform.
    :param wanted: The new configuration, already validated.
    :param change: Operator, time and reason of the change.
    :param expected: Refuse the change unless this version is accepted now.
    :returns: The accepted version; the current one if nothing differs.
    :raises ConflictError: If another operator's change was accepted first.
    :raises OutcomeUnknownError: If the write may still take effect.
    :raises PlatformError: If the platform service can't be reached; nothing
        was changed.
    """
    stored = await _read(platform)
    current = stored.found
    if expected is not None and expected != current.version:
        await _raise_conflict(platform, expected, current)
    changes = tuple(diff(current, wanted))
    if not changes:
        return Applied(current.version, (), archived=True)
    if stored.body:
        # The tool that wrote the current version may have ended before it
        # archived that version.
        await platform.put_object(_object_key(current.version), stored.body)
    wanted = attrs.evolve(
        wanted,
        version=await _next_version(platform, current.version),
        change=attrs.evolve(change, identity=uuid.uuid4().hex),
    )
    document = wanted.to_document()
    await _write(platform, document, stored)
    archived = await _archive(platform, wanted.version, document)
    return Applied(wanted.version, changes, archived)


async def _next_version(platform: Platform, current: int) -> int:
    """Return a version above the current one that no daemon can have.

    If the table service was restored from an older copy, the archive has the
    versions that it lost, and daemons still have them in force.
    """
    version = current + 1
    while await platform.get_object(_object_key(version)) is not None:
        version += 1
    return version


async def _write(platform: Platform, document: bytes, before: _Stored) -> None:
    try:
        await platform.write(CONFIGURATION_KEY, document, before.etag)
    except PreconditionError:
        # The etag also differs if the transport repeated a write of ours that
        # had taken effect, so the document is read back here, too.
        await _resolve_outcome(platform, document, before, refused=True)
    except PlatformError:
        await _resolve_outcome(platform, document, before, refused=False)


async def _resolve_outcome(
    platform: Platform, document: bytes, before: _Stored, *, refused: bool
) -> None:
    """Read the stored document back to find out if a write took effect.

    :raises ConflictError: If another operator's write took effect instead.
    :raises OutcomeUnknownError: If the old document is still stored, or no
        read succeeded.
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
    """Read the stored document until it shows the outcome of a write.

    :returns: The stored document; ``None`` if all attempts failed or found an
        older version, which a delayed write may still replace.
    """
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
        # The tool that wrote a later version archived the one before it first.
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
    """Read the current or an earlier version of the configuration.

    :param platform: The platform.
    :param version: Version to read.
    :returns: The configuration, or ``None`` if that version is not stored.
    :raises PlatformError: If the platform service does not answer.
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
    :param limit: Maximum number of versions.
    :returns: Version, time, operator and comment, latest first.
    :raises PlatformError: If the platform service does not answer.
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
