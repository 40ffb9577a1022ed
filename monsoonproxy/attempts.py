"""State of the entry side's requests to holders."""

import asyncio

import attrs

from monsoonproxy import messages
from monsoonproxy.models import StatementKind

#: Reason of a daemon that does not hold the service; another one may.
NOT_HELD = 'this daemon does not hold the service'


@attrs.frozen
class ReplyLost:
    """A holder will not answer an open request.

    :param may_have_run: Whether the request may have run.
    """

    may_have_run: bool = True


@attrs.define
class OpenRequest:
    """A request that was sent to a holder."""

    address: str
    session: int
    replies: asyncio.Queue[messages.Reply | ReplyLost] = attrs.field(
        factory=asyncio.Queue
    )
    row_messages: int = 0

    def check(
        self, reply: messages.Reply | ReplyLost
    ) -> messages.Reply | ReplyLost:
        """Treat an answer that misses rows as lost.

        :param reply: The next reply.
        :returns: The reply, or that the answer is lost.
        """
        if isinstance(reply, messages.Refusal) and reply.reason == NOT_HELD:
            return ReplyLost(may_have_run=False)
        if isinstance(reply, messages.ResultRows):
            self.row_messages += 1
            if reply.sequence != self.row_messages - 1:
                return ReplyLost()
        if isinstance(reply, messages.ResultEnd):
            if reply.row_messages != self.row_messages:
                return ReplyLost()
        return reply


@attrs.define
class AttemptState:
    """What the attempts at one request have come to.

    :param started: Whether the caller has a part of the answer.
    :param answered: Whether the caller has the whole answer.
    :param retry_unsafe: Whether another attempt could do harm.
    :param may_have_run: Whether any attempt may have run. Once it is set, no
        later refusal may be passed on as ``not run``.
    :param transaction_lost: Whether the session's transaction is gone.
    """

    started: bool = False
    answered: bool = False
    retry_unsafe: bool = False
    may_have_run: bool = False
    transaction_lost: bool = False

    @property
    def ended(self) -> bool:
        """Tell whether no further attempt is to be made."""
        return self.answered or self.retry_unsafe

    def record_loss(
        self, req: messages.StatementRequest, lost: ReplyLost, *, pinned: bool
    ) -> None:
        """Take in that a holder did not finish its answer.

        :param req: The request.
        :param lost: What is known.
        :param pinned: Whether it belongs to an open transaction.
        """
        self.may_have_run = self.may_have_run or lost.may_have_run
        self.transaction_lost = self.transaction_lost or pinned
        # Another holder would run a statement of a lost transaction by itself.
        self.retry_unsafe = self.transaction_lost
        if lost.may_have_run and not self.retry_unsafe:
            self.retry_unsafe = self.started or not is_retry_safe(req)

    def correct_refusal(self, reply: messages.Reply) -> messages.Reply:
        """Correct a refusal after an attempt that may have run.

        :param reply: The reply of a holder.
        :returns: The reply for the caller.
        """
        if isinstance(reply, messages.Refusal) and self.may_have_run:
            return messages.Unknown(reply.request, reply.reason)
        return reply


def is_retry_safe(req: messages.StatementRequest) -> bool:
    """Tell whether a request that may have run may run again.

    A write with a request id is safe: the record in the group recognises a
    second run.
    """
    if req.kind in {StatementKind.READ.value, StatementKind.BEGIN.value}:
        return True
    return req.repeatable or req.request_id is not None


def is_final(reply: messages.Reply | ReplyLost) -> bool:
    """Tell whether a reply ends its request.

    :param reply: The reply.
    :returns: Whether no other reply follows.
    """
    return not isinstance(reply, (messages.ResultHeader, messages.ResultRows))
