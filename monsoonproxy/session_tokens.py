"""Signed session tokens."""

import base64
import binascii
import hashlib
import hmac
import struct
from collections.abc import Sequence

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.exceptions import TokenError
from monsoonproxy.models import Position

#: Longest token that is looked at.
MAX_LENGTH = 512
_VERSION = 1
_HEADER = struct.Struct('>BQQB')
#: Half of a SHA-256 digest; 128 bits are the usual strength of a tag.
_TAG_BYTES = 16
_MIN_SECRET_BYTES = 16
_MAX_KEY_ID_BYTES = 64


def _check_key_id(_key: 'Key', _field: object, name: str) -> None:
    if not 0 < len(name.encode()) <= _MAX_KEY_ID_BYTES:
        raise TokenError(f'a key id has 1 to {_MAX_KEY_ID_BYTES} bytes')


def _check_secret(_key: 'Key', _field: object, secret: bytes) -> None:
    if len(secret) < _MIN_SECRET_BYTES:
        raise TokenError(f'a secret has at least {_MIN_SECRET_BYTES} bytes')


@attrs.frozen
class Key:
    """A key that signs tokens.

    :param key_id: Name of the key; part of each token.
    :param secret: The secret.
    :param active_from: Wall-clock time from which the key signs; it is
        accepted before that, so that all daemons know it by then.
    :param expires: Wall-clock time from which its tokens are refused.
    """

    key_id: str = attrs.field(validator=_check_key_id)
    secret: bytes = attrs.field(repr=False, validator=_check_secret)
    active_from: Millis = Millis(0)
    expires: Millis | None = None

    def expired(self, now: Millis) -> bool:
        """Tell whether tokens of this key are refused.

        :param now: The wall-clock time.
        :returns: Whether the key has expired.
        """
        return self.expires is not None and now >= self.expires

    def tag(self, body: bytes) -> bytes:
        """Compute the tag of a token's body.

        :param body: The body.
        :returns: The tag.
        """
        return hmac.digest(self.secret, body, hashlib.sha256)[:_TAG_BYTES]


@attrs.define
class Signer:
    """Signs and checks tokens.

    :param keys: All keys that are accepted.
    """

    keys: Sequence[Key]

    def sign(self, service: str, position: Position, now: Millis) -> str:
        """Make a token.

        The newest active key signs.

        :param service: The service that the position belongs to.
        :param position: The floor of the session.
        :param now: The wall-clock time.
        :returns: The token.
        :raises TokenError: If no key is active.
        """
        active = [
            key
            for key in self.keys
            if key.active_from <= now and not key.expired(now)
        ]
        if not active:
            raise TokenError('no key is active')
        key = max(active, key=_activation_time)
        name = key.key_id.encode()
        body = b''.join(
            (
                _HEADER.pack(
                    _VERSION, position.term, position.offset, len(name)
                ),
                name,
                service.encode(),
            )
        )
        return base64.urlsafe_b64encode(body + key.tag(body)).decode()

    def check(self, token: str, service: str, now: Millis) -> Position:
        """Check a token.

        :param token: What a caller sent.
        :param service: The service of the caller's session.
        :param now: The wall-clock time.
        :returns: The floor that the token carries.
        :raises TokenError: If the token is malformed, forged, expired or
            belongs to another service.
        """
        if len(token) > MAX_LENGTH:
            raise TokenError('the token is malformed')
        body, tag = _decode(token)
        _version, term, offset, size = _HEADER.unpack_from(body)
        name = body[_HEADER.size : _HEADER.size + size]
        key = self._find_key(name)
        owner = body[_HEADER.size + size :]
        fault = ''
        if not hmac.compare_digest(key.tag(body), tag):
            fault = 'is not signed with a known key'
        elif key.expired(now):
            fault = 'has expired'
        elif owner != service.encode():
            fault = 'belongs to another service'
        if fault:
            raise TokenError(f'the token {fault}')
        return Position(term, offset)

    def _find_key(self, name: bytes) -> Key:
        for key in self.keys:
            if key.key_id.encode() == name:
                return key
        raise TokenError('the token is not signed with a known key')


def _activation_time(key: Key) -> int:
    return key.active_from


def _decode(token: str) -> tuple[bytes, bytes]:
    try:
        packed = base64.b64decode(token.encode(), b'-_', validate=True)
    except (UnicodeEncodeError, binascii.Error):
        packed = b''
    # Base64 has several spellings of the same bytes; only one is accepted.
    canonical = base64.urlsafe_b64encode(packed).decode() == token
    long_enough = len(packed) >= _HEADER.size + _TAG_BYTES
    if not canonical or not long_enough or packed[0] != _VERSION:
        raise TokenError('the token is malformed')
    return packed[:-_TAG_BYTES], packed[-_TAG_BYTES:]
