"""Requests that a holder is running."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import attrs

from monsoonproxy import messages
from monsoonproxy.clock import Millis
from monsoonproxy.models import Position, StatementKind

#: Sends a reply to the entry side that asked; raises ``PeerError``.
Send: TypeAlias = Callable[[messages.Message], Awaitable[None]]

#: Row messages that a holder may send ahead of the caller.
CREDIT_WINDOW = 8


@attrs.define(eq=False)
class Call:
    """A request of an entry side.

    :param number: Number of the call within the holder.
    :param sender: Identity of the entry side's socket.
    :param req: The request.
    :param arrived: When it arrived.
    :param send: Sends replies to the entry side.
    :param credit: Row messages that may be sent.
    :param primary_only: Whether no replica may answer it.
    :param may_have_run: Whether an earlier attempt may have run.
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
        """Return what identifies the caller's session."""
        return self.sender, self.req.session

    @property
    def deadline(self) -> Millis:
        """Return when the answer is of no use any more."""
        return Millis(self.arrived + self.req.remaining)

    @property
    def kind(self) -> StatementKind:
        """Return the kind of the statement."""
        return StatementKind(self.req.kind)

    @property
    def floor(self) -> Position | None:
        """Return the position that the answer must cover, if it is known."""
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
        """Send the end of an answer.

        :param server: Name of the backend server that answered.
        :param reason: Why it was chosen.
        :param row_messages: Row messages sent before.
        :param affected_rows: Rows that a write changed.
        :param insert_id: Last insert id.
        :param warnings: Warning count.
        :param position: New floor of the session.
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
        """Send an error of the database.

        :param code: MySQL error code.
        :param sqlstate: SQLSTATE.
        :param text: Message.
        :param open_tx: Whether the transaction is still open.
        """
        await self.send(
            messages.Failure(self.req.request, code, sqlstate, text, open_tx)
        )

    async def refuse(
        self, reason: str, retry_after: int, *, open_tx: bool = False
    ) -> None:
        """Tell the caller that the request was not run.

        After an attempt that may have run the outcome is unknown instead.

        :param reason: Why.
        :param retry_after: Time in ms after which to come back.
        :param open_tx: Whether the transaction is still open.
        """
        if self.may_have_run:
            await self.unknown(reason)
            return
        await self.send(
            messages.Refusal(self.req.request, reason, retry_after, open_tx)
        )

    async def unknown(self, reason: str) -> None:
        """Tell the caller that the outcome is unknown.

        :param reason: Why.
        """
        await self.send(messages.Unknown(self.req.request, reason))
