"""Signed session tokens, which carry the floor of a session to another one."""

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

#: Longest token in characters that is decoded.
MAX_LENGTH = 512
_VERSION = 1
#: Version, term, offset and the length of the key id.
_HEADER = struct.Struct('>BQQB')
#: The tag is half of a SHA-256 digest; 128 bits are customary for a tag.
_TAG_BYTES = 16
_MIN_SECRET_BYTES = 16
_MAX_KEY_ID_BYTES = 64


def _check_key_id(_key: 'Key', _field: object, name: str) -> None:
    if not 0 < len(name.encode()) <= _MAX_KEY_ID_BYTES:
        raise TokenError(f'the key id must have 1 to {_MAX_KEY_ID_BYTES} bytes')


def _check_secret(_key: 'Key', _field: object, secret: bytes) -> None:
    if len(secret) < _MIN_SECRET_BYTES:
        raise TokenError(
            f'the secret must have at least {_MIN_SECRET_BYTES} bytes'
        )


@attrs.frozen
class Key:
    """A symmetric key that signs and verifies session tokens.

    :param key_id: Identifier of the key, which each token contains.
    :param secret: Secret of the HMAC.
    :param active_from: Wall-clock time from which the key signs. It is accepted
        earlier, so that all daemons know the key before any signs with it.
    :param expires: Wall-clock time from which its tokens are rejected.
    """

    key_id: str = attrs.field(validator=_check_key_id)
    secret: bytes = attrs.field(repr=False, validator=_check_secret)
    active_from: Millis = Millis(0)
    expires: Millis | None = None

    def expired(self, now: Millis) -> bool:
        """Tell whether tokens that this key signed are rejected.

        :param now: The wall-clock time.
        :returns: Whether the key has expired.
        """
        return self.expires is not None and now >= self.expires

    def tag(self, body: bytes) -> bytes:
        """Compute the truncated HMAC of a token's body.

        :param body: All bytes of the token before the tag.
        :returns: The tag.
        """
        return hmac.digest(self.secret, body, hashlib.sha256)[:_TAG_BYTES]


@attrs.define
class Signer:
    """Signs and verifies session tokens.

    :param keys: All known keys, including expired ones.
    """

    keys: Sequence[Key]

    def sign(self, service: str, position: Position, now: Millis) -> str:
        """Create a token, signed with the key that became active last.

        :param service: Name of the service that the position belongs to.
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
        """Verify a token and return its position.

        :param token: The token that a caller sent.
        :param service: Name of the service that the caller's session uses.
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
        token_service = body[_HEADER.size + size :]
        reason = ''
        if not hmac.compare_digest(key.tag(body), tag):
            reason = 'is not signed with a known key'
        elif key.expired(now):
            reason = 'has expired'
        elif token_service != service.encode():
            reason = 'belongs to another service'
        if reason:
            raise TokenError(f'the token {reason}')
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
    # Several Base64 texts decode to the same bytes, since unused bits of the
    # last character are ignored; only the canonical one is accepted.
    canonical = base64.urlsafe_b64encode(packed).decode() == token
    long_enough = len(packed) >= _HEADER.size + _TAG_BYTES
    if not canonical or not long_enough or packed[0] != _VERSION:
        raise TokenError('the token is malformed')
    return packed[:-_TAG_BYTES], packed[-_TAG_BYTES:]
