"""Parsing of handshake responses and COM_CHANGE_USER requests."""

import attrs
from mysql_mimic.charset import Collation
from mysql_mimic.types import Capabilities

from monsoonproxy.bindings import Reader
from monsoonproxy.streams import PacketError

#: Connection character sets whose statements can be forwarded unchanged.
_CHARSETS = frozenset(('utf8mb4', 'utf8', 'ascii', 'binary'))
#: Size of an SSLRequest packet; a handshake response is longer.
_TLS_REQUEST_BYTES = 32


@attrs.frozen
class Login:
    """Log-in data sent by a caller.

    :param capabilities: Capabilities supported by both sides.
    :param username: The user name.
    :param response: Authentication response to the nonce.
    :param database: The default database, or an empty string.
    :param plugin: Name of the caller's authentication plugin, if sent.
    """

    capabilities: Capabilities
    username: str
    response: bytes
    database: str = ''
    plugin: str | None = None

    @property
    def service(self) -> str:
        """The service that the caller requests.

        :returns: The default database if one was sent, else the user name.
        """
        return self.database or self.username


def is_tls_request(content: bytes) -> bool:
    """Tell whether a caller requests an upgrade to TLS.

    :param content: The first packet of the caller.
    :returns: Whether the packet is an SSLRequest.
    """
    return len(content) == _TLS_REQUEST_BYTES


def parse_login(offered: Capabilities, content: bytes) -> Login:
    """Parse the handshake response of a caller.

    :param offered: Capabilities that the proxy announced.
    :param content: The packet.
    :returns: The log-in data.
    :raises PacketError: If the packet is malformed or the caller does not
        support protocol 4.1.
    """
    reader = Reader(content)
    capabilities = offered & Capabilities(reader.number(4))
    if Capabilities.CLIENT_PROTOCOL_41 not in capabilities:
        raise PacketError(1043, 'unsupported client: protocol 4.1 is required')
    reader.take(4)
    _check_charset(reader.number(1))
    reader.take(23)
    username = _read_null_terminated(reader)
    long_response = Capabilities.CLIENT_PLUGIN_AUTH_LENENC_CLIENT_DATA
    size = reader.length() if long_response in capabilities else None
    response = reader.take(reader.number(1) if size is None else size)
    return _parse_optional_fields(reader, capabilities, username, response)


def parse_change_user(capabilities: Capabilities, content: bytes) -> Login:
    """Parse a COM_CHANGE_USER request.

    :param capabilities: Capabilities supported by both sides.
    :param content: The packet after the command byte.
    :returns: The log-in data.
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
        raise PacketError(1043, 'malformed handshake: unterminated string')
    text = reader.take(size).decode(errors='replace')
    reader.take(1)
    return text


def _check_charset(collation: int) -> None:
    try:
        name = Collation(collation).charset.name
    except ValueError:
        # Collations missing from mysql-mimic belong to utf8mb4.
        return
    if name not in _CHARSETS:
        raise PacketError(
            1115, f'character set {name} is not supported, use utf8mb4'
        )
