"""Users and passwords of callers."""

import re
from collections.abc import Mapping, Sequence

from mysql_mimic import auth

_STORED_HASH = re.compile(r'\*[0-9A-Fa-f]{40}')


class AnyPasswordPlugin(auth.NativePasswordAuthPlugin):
    """Accepts any password."""

    def password_matches(
        self, user: auth.User, scramble: bytes, nonce: bytes
    ) -> bool:
        """Accept the password.

        :param user: The user.
        :param scramble: What the caller sent; not looked at.
        :param nonce: The nonce of the handshake.
        :returns: ``True``.
        """
        return True


class Identities(auth.IdentityProvider):
    """Checks users with ``mysql_native_password``.

    :param users: Passwords by user name: plain, or ``*`` and 40 hex digits.
        Everyone is accepted if it is empty.
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

    def get_plugins(  # noqa: WPS615 - the name is given by mysql-mimic
        self,
    ) -> Sequence[auth.AuthPlugin]:
        """Return the authentication plugins.

        :returns: The only one.
        """
        return self._plugins

    async def get_user(self, username: str) -> auth.User | None:
        """Look up a user.

        An unknown user gets a password that nothing matches, so that the
        answer doesn't tell whether a name exists.

        :param username: The name that the caller gave.
        :returns: The user.
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
