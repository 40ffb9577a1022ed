"""Signed session tokens."""

from collections.abc import Sequence

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.models import Position


@attrs.frozen
class Key:
    """A key that signs tokens.

    :param key_id: Name of the key; part of each token.
    :param secret: The secret.
    :param active_from: Wall-clock time from which the key signs; it is
        accepted before that, so that all daemons know it by then.
    :param expires: Wall-clock time from which its tokens are refused.
    """

    key_id: str
    secret: bytes = attrs.field(repr=False)
    active_from: Millis = Millis(0)
    expires: Millis | None = None


@attrs.define
class Signer:
    """Signs and checks tokens.

    :param keys: All keys that are accepted.
    """

    keys: Sequence[Key]

    def sign(self, service: str, position: Position, now: Millis) -> str:
        """Make a token.

        :param service: The service that the position belongs to.
        :param position: The floor of the session.
        :param now: The wall-clock time.
        :returns: The token.
        """
        raise NotImplementedError

    def check(self, token: str, service: str, now: Millis) -> Position:
        """Check a token.

        :param token: What a caller sent.
        :param service: The service of the caller's session.
        :param now: The wall-clock time.
        :returns: The floor that the token carries.
        """
        raise NotImplementedError
