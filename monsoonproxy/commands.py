"""The commands of the MySQL protocol."""

from typing import TYPE_CHECKING

from mysql_mimic import packets as mimic
from mysql_mimic.types import Commands

from monsoonproxy import answers, packets
from monsoonproxy.models import StatementKind
from monsoonproxy.streams import ConnectionGoneError, PacketError

if TYPE_CHECKING:
    from monsoonproxy.connections import CallerConnection


async def run(conn: 'CallerConnection', packet: bytes) -> None:
    """Run a command and put its answer into the stream.

    :param conn: The caller's connection.
    :param packet: The command.
    """
    if not packet:
        raise PacketError(1835, 'empty command')
    command = packet[0]
    if command == Commands.COM_QUERY:
        await _query(conn, packet[1:])
    elif command == Commands.COM_PING:
        conn.stream.put(packets.ok(conn.status))
    elif command == Commands.COM_QUIT:
        raise ConnectionGoneError('the caller has quit')
    else:
        raise PacketError(1047, f'unknown command {command}')


async def _query(conn: 'CallerConnection', content: bytes) -> None:
    query = mimic.parse_com_query(
        conn.capabilities, conn.client_charset, content
    )
    statement = conn.frontend.classifier.parse(query.sql.encode())
    if statement.kind is StatementKind.SET:
        conn.stream.put(packets.ok(conn.status))
        return
    await answers.run(conn, statement, packets.text_row)
