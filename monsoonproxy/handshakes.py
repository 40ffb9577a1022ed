"""What callers send in the handshake and to change the user."""

import attrs
from mysql_mimic.charset import Collation
from mysql_mimic.types import Capabilities

from monsoonproxy.bindings import Reader
from monsoonproxy.streams import PacketError

#: Character sets whose statements can be passed on unchanged.
_CHARSETS = frozenset(('utf8mb4', 'utf8', 'ascii', 'binary'))
_TLS_REQUEST_BYTES = 32


@attrs.frozen
class Login:
    """Who a caller wants to be.

    :param capabilities: What both sides can do.
    :param username: The user.
    :param response: The answer to the nonce.
    :param database: The default database, or an empty text.
    :param plugin: The caller's authentication plugin.
    """

    capabilities: Capabilities
    username: str
    response: bytes
    database: str = ''
    plugin: str | None = None

    @property
    def service(self) -> str:
        """The service that the caller asks for.

        :returns: The default database, or else the user name.
        """
        return self.database or self.username


def is_tls_request(content: bytes) -> bool:
    """Tell whether a caller asks for TLS.

    :param content: The first packet of the caller.
    :returns: Whether it is a request for TLS.
    """
    return len(content) == _TLS_REQUEST_BYTES


def parse_login(offered: Capabilities, content: bytes) -> Login:
    """Read the caller's part of the handshake.

    :param offered: What the entry side can do.
    :param content: The packet.
    :returns: The login.
    :raises PacketError: If the packet is malformed or the caller too old.
    """
    reader = Reader(content)
    capabilities = offered & Capabilities(reader.number(4))
    if Capabilities.CLIENT_PROTOCOL_41 not in capabilities:
        raise PacketError(1043, 'the caller does not use protocol 4.1')
    reader.take(4)
    _check_charset(reader.number(1))
    reader.take(23)
    username = _read_null_terminated(reader)
    long_response = Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
    size = reader.length() if long_response in capabilities else None
    response = reader.take(reader.number(1) if size is None else size)
    return _parse_optional_fields(reader, capabilities, username, response)


def parse_change_user(capabilities: Capabilities, content: bytes) -> Login:
    """Read a request to change the user.

    :param capabilities: What both sides can do.
    :param content: The packet after the command byte.
    :returns: The login.
    """
    reader = Reader(content)
    username = _read_null_terminated(reader)
    response = reader.take(reader.number(1))
    database = _read_null_terminated(reader)
    plugin = None
    if reader.rest():
        _check_charset(reader.number(2))
    if reader.rest() and Capabilities.CLIENT_PLUGIN_AUTH in capabilities:
        plugin = _read_null_terminated(reader)
    return Login(capabilities, username, response, database, plugin)


def _parse_optional_fields(
    reader: Reader, capabilities: Capabilities, username: str, response: bytes
) -> Login:
    database = ''
    plugin = None
    if Capabilities.CLIENT_CONNECT_WITH_DB in capabilities:
        database = _read_null_terminated(reader)
    if Capabilities.CLIENT_PLUGIN_AUTH in capabilities:
        plugin = _read_null_terminated(reader)
    return Login(capabilities, username, response, database, plugin)


def _read_null_terminated(reader: Reader) -> str:
    size = reader.rest().find(b'\x00')
    if size < 0:
        raise PacketError(1043, 'a text of the handshake has no end')
    text = reader.take(size).decode(errors='replace')
    reader.take(1)
    return text


def _check_charset(collation: int) -> None:
    try:
        name = Collation(collation).charset.name
    except ValueError:
        # Collations that mysql-mimic does not list belong to utf8mb4.
        return
    if name not in _CHARSETS:
        raise PacketError(
            1115, f'character set {name} is not supported, use utf8mb4'
        )
