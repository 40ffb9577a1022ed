"""Authentication of callers by user name and password."""

import re
from collections.abc import Mapping, Sequence

from mysql_mimic import auth

#: Password hash as MySQL stores it: ``*`` and 40 hex digits.
_STORED_HASH = re.compile(r'\*[0-9A-Fa-f]{40}')


class AnyPasswordPlugin(auth.NativePasswordAuthPlugin):
    """Accepts any password; used while no users are configured."""

    def password_matches(
        self, user: auth.User, scramble: bytes, nonce: bytes
    ) -> bool:
        """Accept the password without checking it.

        :param user: The user; ignored.
        :param scramble: Authentication response of the caller; ignored.
        :param nonce: The nonce of the handshake; ignored.
        :returns: ``True``.
        """
        return True


class Identities(auth.IdentityProvider):
    """Authenticates users with ``mysql_native_password``.

    :param users: Passwords by user name: plain, or ``*`` and 40 hex digits.
        If empty, any user and password is accepted.
    """

    def __init__(self, users: Mapping[str, str]) -> None:
        self._users = {
            name: auth.User(
                name,
                auth_string=_auth_string(password),
                auth_plugin=auth.NativePasswordAuthPlugin.name,
            )
            for name, password in users.items()
        }
        self._plugins: list[auth.AuthPlugin] = [
            auth.NativePasswordAuthPlugin() if users else AnyPasswordPlugin(),
        ]

    def get_plugins(  # noqa: WPS615 - name set by mysql-mimic
        self,
    ) -> Sequence[auth.AuthPlugin]:
        """Return the authentication plugins that are offered to callers.

        :returns: A list of one plugin.
        """
        return self._plugins

    async def get_user(self, username: str) -> auth.User | None:
        """Look up a user by name.

        An unknown user gets a password hash that no password matches, so
        that the error doesn't reveal whether a user exists.

        :param username: User name sent by the caller.
        :returns: The user; never ``None``.
        """
        name = auth.NativePasswordAuthPlugin.name
        if not self._users:
            return auth.User(username, auth_plugin=name)
        unknown = auth.User(username, auth_string='0' * 40, auth_plugin=name)
        return self._users.get(username, unknown)


def _auth_string(password: str) -> str | None:
    if not password:
        return None
    if _STORED_HASH.fullmatch(password):
        return password[1:].lower()
    return auth.NativePasswordAuthPlugin.create_auth_string(password)
