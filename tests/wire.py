"""A caller that speaks the MySQL protocol packet by packet."""

import asyncio
import struct

import attrs

PREPARE = 0x16
EXECUTE = 0x17
_CAPABILITIES = 0x200 | 0x8000 | 0x8 | 0x80000


@attrs.define
class RawCaller:
    """One connection.

    :param reader: Its reading end.
    :param writer: Its writing end.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, port: int) -> 'RawCaller':
        """Connect without a handshake.

        :param port: The port.
        :returns: The connection.
        """
        return cls(*await asyncio.open_connection('127.0.0.1', port))

    async def read(self) -> bytes:
        """Read one packet.

        :returns: Its payload.
        """
        head = await self.reader.readexactly(4)
        size = int.from_bytes(head[:3], 'little')
        return await self.reader.readexactly(size)

    def send(self, payload: bytes, sequence: int = 0) -> None:
        """Send one packet.

        :param payload: Its payload.
        :param sequence: Its sequence number.
        """
        head = (len(payload) | sequence << 24).to_bytes(4, 'little')
        self.writer.writelines((head, payload))

    async def ask(self, payload: bytes) -> bytes:
        """Send a command and read the first packet of its answer.

        :param payload: The command.
        :returns: The packet.
        """
        self.send(payload)
        return await self.read()

    async def log_in(
        self, database: bytes, user: bytes = b'u', extra: int = 0
    ) -> bytes:
        """Shake hands.

        :param database: The default database.
        :param user: The user.
        :param extra: More capabilities.
        :returns: The answer.
        """
        await self.read()
        head = struct.pack('<IIB23x', _CAPABILITIES | extra, 1 << 24, 45)
        tail = b'%b\x00\x00%b\x00mysql_native_password\x00' % (user, database)
        self.send(b''.join((head, tail)), 1)
        return await self.read()

    async def prepare(self, sql: bytes) -> int:
        """Prepare a statement.

        :param sql: Its text.
        :returns: Its number.
        """
        answer = await self.ask(b'%c%b' % (PREPARE, sql))
        parameters = int.from_bytes(answer[7:9], 'little')
        for _ in range(parameters + bool(parameters)):
            await self.read()
        return int.from_bytes(answer[1:5], 'little')

    async def execute(
        self, number: int, values: list[tuple[int, bytes | None]]
    ) -> bytes:
        """Execute a prepared statement.

        :param number: The statement.
        :param values: Type codes (the unsigned flag in bit 15) and values.
        :returns: The first packet of the answer.
        """
        nulls = sum(
            1 << index for index, (_, value) in enumerate(values) if not value
        )
        parts = [struct.pack('<BIBI', EXECUTE, number, 0, 1)]
        if values:
            parts.append(nulls.to_bytes((len(values) + 7) // 8, 'little'))
            parts.append(b'\x01')
            parts.extend(struct.pack('<H', code) for code, _ in values)
            parts.extend(value or b'' for _, value in values)
        return await self.ask(b''.join(parts))

    async def closed(self) -> bool:
        """Wait until the other side closes the connection.

        :returns: ``True``.
        """
        try:
            await self.reader.read()
        except ConnectionError:
            return True
        return True


def error_code(packet: bytes) -> int:
    """Read the code of an ERR packet.

    :param packet: The payload.
    :returns: The code, or 0 if it is another packet.
    """
    return int.from_bytes(packet[1:3], 'little') if packet[0] == 0xFF else 0
