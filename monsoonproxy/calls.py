"""Requests that a holder has accepted and not yet answered.

The entry side is the daemon that the caller is connected to. It forwards the
request to the holder and the replies to the caller.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import attrs

from monsoonproxy import messages
from monsoonproxy.clock import Millis
from monsoonproxy.models import Position, StatementKind

#: Sends a reply to the entry side; raises ``PeerError`` on failure.
Send: TypeAlias = Callable[[messages.Message], Awaitable[None]]

#: Row messages that a holder may send before the entry side grants more
#: credit, as the caller reads.
CREDIT_WINDOW = 8


@attrs.define(eq=False)
class Call:
    """A request that an entry side sent to a holder.

    :param number: Number of the call, unique within the holder.
    :param sender: Identity of the entry side's socket.
    :param req: The request.
    :param arrived: When the request arrived.
    :param send: Sends replies to the entry side.
    :param credit: Row messages that may be sent before more are allowed.
    :param primary_only: Whether only the primary may run the statement.
    :param may_have_run: Whether an earlier attempt may have run the
        statement.
    :param failed_attempts: How many attempts have failed.
    """

    number: int
    sender: bytes
    req: messages.StatementRequest
    arrived: Millis
    send: Send
    credit: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(CREDIT_WINDOW)
    )
    primary_only: bool = False
    may_have_run: bool = False
    failed_attempts: int = 0

    @property
    def key(self) -> tuple[bytes, int]:
        """Return the sender and session number, unique per caller session."""
        return self.sender, self.req.session

    @property
    def deadline(self) -> Millis:
        """Return the time after which the caller no longer waits."""
        return Millis(self.arrived + self.req.remaining)

    @property
    def kind(self) -> StatementKind:
        """Return the statement kind that the entry side determined."""
        return StatementKind(self.req.kind)

    @property
    def floor(self) -> Position | None:
        """Return the position that the answer must cover, or ``None``.

        Without a floor, the primary's current position applies.
        """
        return Position(*self.req.floor) if self.req.floor else None

    async def end(
        self,
        server: str,
        reason: str,
        *,
        row_messages: int = 0,
        affected_rows: int = 0,
        insert_id: int = 0,
        warnings: int = 0,
        position: Position | None = None,
        in_transaction: bool = False,
    ) -> None:
        """Send the final reply of a successful statement.

        :param server: Name of the backend server that answered.
        :param reason: Why that backend server was chosen.
        :param row_messages: Number of row messages sent before.
        :param affected_rows: Rows that a write changed.
        :param insert_id: Last insert id.
        :param warnings: Warning count.
        :param position: New floor of the session, or ``None`` if unchanged.
        :param in_transaction: Whether a transaction is open.
        """
        floor = (position.term, position.offset) if position else None
        await self.send(
            messages.ResultEnd(
                request=self.req.request,
                row_messages=row_messages,
                affected_rows=affected_rows,
                insert_id=insert_id,
                warnings=warnings,
                floor=floor,
                in_transaction=in_transaction,
                server=server,
                reason=reason,
            )
        )

    async def fail(
        self, code: int, sqlstate: str, text: str, *, open_tx: bool = False
    ) -> None:
        """Send an error that the database returned, as the final reply.

        :param code: MySQL error code.
        :param sqlstate: SQLSTATE.
        :param text: Error message of the database.
        :param open_tx: Whether the transaction is still open.
        """
        await self.send(
            messages.Failure(self.req.request, code, sqlstate, text, open_tx)
        )

    async def refuse(
        self, reason: str, retry_after: int, *, open_tx: bool = False
    ) -> None:
        """Send a refusal: the statement was not run.

        If an earlier attempt may have run the statement, its outcome is
        reported as unknown instead.

        :param reason: Why the statement was not run.
        :param retry_after: Time in ms after which the caller may retry.
        :param open_tx: Whether the transaction is still open.
        """
        if self.may_have_run:
            await self.unknown(reason)
            return
        await self.send(
            messages.Refusal(self.req.request, reason, retry_after, open_tx)
        )

    async def unknown(self, reason: str) -> None:
        """Send that the statement may or may not have run.

        :param reason: Why the outcome is unknown.
        """
        await self.send(messages.Unknown(self.req.request, reason))
