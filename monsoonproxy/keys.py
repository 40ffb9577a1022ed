"""Key files: keys of session tokens and CURVE keys of the daemons.

All daemons of a site have the same file. It is TOML with two lists. ``tokens``
has the newest key first. ``peers`` has the pair in use, the next one, and the
previous one: a pair is known everywhere for one rotation before it is used, so
daemons with the old and the new file reach each other.
"""

import os
import pathlib
import secrets
import tempfile
import tomllib
from collections.abc import Mapping
from typing import Any

import attrs
import zmq

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import SettingsError, TokenError
from monsoonproxy.peers import CurveKeys
from monsoonproxy.session_tokens import Key

_SECRET_BYTES = 32
_KEY_ID_BYTES = 4
_Z85_KEY_LENGTH = 40
_INVALID_KEY_ERRORS = (KeyError, TypeError, ValueError, TokenError)
#: Time in ms from its creation until a token key signs, so that all daemons
#: have read the file by then.
ACTIVATION_DELAY = 60_000


@attrs.frozen
class KeyRing:
    """The keys of a site.

    :param tokens: Keys of session tokens, newest first.
    :param peers: Key pairs of the daemons: the one in use, the next and the
        previous one; empty for connections without encryption.
    """

    tokens: tuple[Key, ...]
    peers: tuple[CurveKeys, ...] = ()

    def to_toml(self) -> str:
        """Write the key file.

        :returns: The file's text. It holds secrets.
        """
        lines: list[str] = []
        for key in self.tokens:
            lines.append('[[tokens]]')
            lines.append(f'key_id = "{key.key_id}"')
            lines.append(f'secret = "{key.secret.hex()}"')
            lines.append(f'active_from = {key.active_from}')
            if key.expires is not None:
                lines.append(f'expires = {key.expires}')
        for pair in self.peers:
            lines.append('[[peers]]')
            # Z85 has no single quote or backslash.
            lines.append(f"public = '{pair.public.decode()}'")
            lines.append(f"secret = '{pair.secret.decode()}'")
        return '\n'.join((*lines, ''))


def create(now: Millis) -> KeyRing:
    """Create the first keys of a site.

    :param now: Wall-clock time.
    :returns: The keys; the token key signs at once.
    """
    return KeyRing((_new_token_key(now),), (_new_peer_keys(), _new_peer_keys()))


def rotate(ring: KeyRing, now: Millis, overlap: int) -> KeyRing:
    """Add new keys and limit the life of the old ones.

    :param ring: The present keys.
    :param now: Wall-clock time.
    :param overlap: Time in ms for which old keys are still accepted.
    :returns: The new keys and those of the old that have not expired.
    """
    active_from = Millis(now + ACTIVATION_DELAY)
    expires = Millis(active_from + overlap)
    kept = tuple(
        key if key.expires else attrs.evolve(key, expires=expires)
        for key in ring.tokens
        if not key.expired(now)
    )
    tokens = (_new_token_key(active_from), *kept)
    if len(ring.peers) < 2:
        return KeyRing(tokens, (*ring.peers, _new_peer_keys()))
    current, upcoming = ring.peers[:2]
    return KeyRing(tokens, (upcoming, _new_peer_keys(), current))


def load(path: str) -> KeyRing:
    """Read a key file.

    :param path: The file.
    :returns: Its keys.
    :raises SettingsError: If the file can't be read or a key is wrong.
    """
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    except tomllib.TOMLDecodeError as exc:
        # The parser's message may quote a secret.
        raise SettingsError(f'{path}: not valid TOML') from exc
    try:
        return KeyRing(
            tuple(_read_token_key(entry) for entry in fields['tokens']),
            tuple(_read_peer_keys(entry) for entry in fields.get('peers', ())),
        )
    except _INVALID_KEY_ERRORS as exc:
        raise SettingsError(f'{path}: a key is not valid: {exc!r}') from None


def save(path: str, ring: KeyRing) -> None:
    """Write a key file, readable by its owner only.

    :param path: The file; it is replaced as a whole.
    :param ring: The keys.
    :raises SettingsError: If it can't be written.
    """
    target = pathlib.Path(path)
    try:
        # The temporary file has mode 0600 from the start.
        descriptor, name = tempfile.mkstemp(dir=target.parent)
        with os.fdopen(descriptor, 'w', encoding='utf-8') as file:
            file.write(ring.to_toml())
            file.flush()
            os.fsync(file.fileno())
        pathlib.Path(name).replace(target)
    except OSError as exc:
        raise SettingsError(f'{path}: {exc.strerror}') from exc


def _new_token_key(active_from: Millis) -> Key:
    return Key(
        secrets.token_hex(_KEY_ID_BYTES),
        secrets.token_bytes(_SECRET_BYTES),
        active_from,
    )


def _new_peer_keys() -> CurveKeys:
    return CurveKeys(*zmq.curve_keypair())


def _read_token_key(entry: Mapping[str, Any]) -> Key:
    return Key(
        entry['key_id'],
        bytes.fromhex(entry['secret']),
        Millis(entry.get('active_from', 0)),
        entry.get('expires'),
    )


def _read_peer_keys(entry: Mapping[str, Any]) -> CurveKeys:
    pair = CurveKeys(entry['public'].encode(), entry['secret'].encode())
    if {len(pair.public), len(pair.secret)} != {_Z85_KEY_LENGTH}:
        raise ValueError('a CURVE key has 40 characters')
    return pair
