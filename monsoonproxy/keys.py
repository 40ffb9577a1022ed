"""Key files for session tokens.

A file holds the key that signs, the next one and the previous one. All three
verify, so that files can be replaced host by host without a gap.
"""

import json
import os
import pathlib
import secrets
import tempfile

import attrs

from monsoonproxy import structures
from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import SettingsError

NEXT = 'next'
ACTIVE = 'active'
PREVIOUS = 'previous'
_SECRET_BYTES = 32
_ID_BYTES = 4


@attrs.frozen
class Key:
    """A key for session tokens.

    :param identity: Public id, part of each token.
    :param state: ``next``, ``active`` or ``previous``; the active key signs.
    :param created: Wall-clock time in ms.
    :param secret: The secret in hexadecimal digits.
    """

    identity: str
    state: str
    created: int
    secret: str = attrs.field(repr=False)


def generate(state: str, now: Millis) -> Key:
    """Make a key from the system's random source.

    :param state: Its state.
    :param now: Wall-clock time.
    :returns: The key.
    """
    identity = secrets.token_hex(_ID_BYTES)
    return Key(identity, state, now, secrets.token_hex(_SECRET_BYTES))


def create(now: Millis) -> tuple[Key, ...]:
    """Make the keys of a new file.

    :param now: Wall-clock time.
    :returns: An active key and the next one.
    """
    return generate(ACTIVE, now), generate(NEXT, now)


def rotate(keys: tuple[Key, ...], now: Millis) -> tuple[Key, ...]:
    """Let the next key sign.

    The next key has been in all files since the previous rotation, so tokens
    signed with it are accepted by hosts that still have the old file.

    :param keys: The keys of a file.
    :param now: Wall-clock time.
    :returns: The keys of the new file.
    """
    states = {NEXT: ACTIVE, ACTIVE: PREVIOUS}
    kept = [
        attrs.evolve(key, state=states[key.state])
        for key in keys
        if key.state in states
    ]
    ordered = sorted(kept, key=lambda key: key.state)
    return (*ordered, generate(NEXT, now))


def load_keys(path: str) -> tuple[Key, ...]:
    """Read a key file.

    :param path: The file.
    :returns: Its keys.
    :raises SettingsError: If it can't be read or has not exactly one active
        key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        keys = structures.strict_converter.structure(
            json.loads(text), tuple[Key, ...]
        )
    except Exception as exc:
        # The cause may quote secrets, so only its kind is shown.
        kind = type(exc).__name__
        raise SettingsError(f'{path}: not a key file ({kind})') from None
    if [key.state for key in keys].count(ACTIVE) != 1:
        raise SettingsError(f'{path}: exactly one key must be active')
    return keys


def save_keys(path: str, keys: tuple[Key, ...]) -> None:
    """Write a key file, readable by its owner only.

    :param path: The file; it is replaced as a whole.
    :param keys: Its keys.
    :raises SettingsError: If it can't be written.
    """
    text = json.dumps([attrs.asdict(key) for key in keys], indent=1)
    target = pathlib.Path(path)
    try:
        descriptor, name = tempfile.mkstemp(dir=target.parent)
        with os.fdopen(descriptor, 'w', encoding='utf-8') as file:
            file.write(f'{text}\n')
            file.flush()
            os.fsync(file.fileno())
        pathlib.Path(name).replace(target)
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}') from exc
