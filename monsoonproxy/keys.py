"""Key files: signing keys of session tokens, CURVE key pairs of daemons.

All daemons of a site share one TOML file with two lists. ``tokens`` holds the
signing keys, newest first. ``peers`` holds the current key pair, the next one
and the previous one. A pair is distributed one rotation before it comes into
use, so daemons that still have the old file and daemons that already have the
new one can connect to each other.
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
#: Delay in ms between creating a token key and signing with it. It gives all
#: daemons time to read the new key file.
ACTIVATION_DELAY = 60_000


@attrs.frozen
class KeyRing:
    """All keys of a site, as stored in its key file.

    :param tokens: Signing keys of session tokens, newest first.
    :param peers: CURVE key pairs of the daemons: current, next and previous.
        If empty, connections between daemons are not encrypted.
    """

    tokens: tuple[Key, ...]
    peers: tuple[CurveKeys, ...] = ()

    def to_toml(self) -> str:
        """Serialise the keys in the format of the key file.

        :returns: The file's text, which contains the secrets.
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
            # The Z85 alphabet has no single quote and no backslash, so a TOML
            # literal string needs no escaping.
            lines.append(f"public = '{pair.public.decode()}'")
            lines.append(f"secret = '{pair.secret.decode()}'")
        return '\n'.join((*lines, ''))


def create(now: Millis) -> KeyRing:
    """Create the first keys of a site.

    :param now: Wall-clock time.
    :returns: The keys; the token key is active immediately.
    """
    return KeyRing((_new_token_key(now),), (_new_peer_keys(), _new_peer_keys()))


def rotate(ring: KeyRing, now: Millis, overlap: int) -> KeyRing:
    """Add new keys and set an expiry for the old token keys.

    The next key pair becomes the current one, and the current one the previous.

    :param ring: The current keys.
    :param now: Wall-clock time.
    :param overlap: Time in ms for which old token keys stay valid after the
        new one becomes active.
    :returns: The new keys, followed by the old ones that have not expired.
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

    :param path: Path of the file.
    :returns: Its keys.
    :raises SettingsError: If the file can't be read or a key is not valid.
    """
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    except tomllib.TOMLDecodeError as exc:
        # The parser's message is left out because it may quote a secret.
        raise SettingsError(f'{path}: not valid TOML') from exc
    try:
        return KeyRing(
            tuple(_read_token_key(entry) for entry in fields['tokens']),
            tuple(_read_peer_keys(entry) for entry in fields.get('peers', ())),
        )
    except _INVALID_KEY_ERRORS as exc:
        raise SettingsError(f'{path}: invalid key entry: {exc!r}') from None


def save(path: str, ring: KeyRing) -> None:
    """Write a key file that only its owner can read.

    :param path: Path of the file, which is replaced atomically.
    :param ring: The keys to write.
    :raises SettingsError: If the file can't be written.
    """
    target = pathlib.Path(path)
    try:
        # mkstemp creates the file with mode 0600, so the secrets are never
        # readable by other users.
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
        raise ValueError(f'a CURVE key must have {_Z85_KEY_LENGTH} characters')
    return pair
