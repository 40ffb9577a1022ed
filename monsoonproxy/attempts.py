"""State of requests that the entry side has sent to holders."""

import asyncio

import attrs

from monsoonproxy import messages
from monsoonproxy.models import StatementKind

#: Refusal reason of a daemon that does not hold the service. The entry side
#: matches it and tries another daemon.
NOT_HELD = 'this daemon does not hold the service'


@attrs.frozen
class ReplyLost:
    """The holder will not complete its answer to an open request.

    :param may_have_run: Whether the request may have run.
    """

    may_have_run: bool = True


@attrs.define
class OpenRequest:
    """A request that was sent to a holder and awaits its replies.

    :param address: Address of the holder.
    :param session: Session that the request belongs to.
    :param replies: Replies that have not been consumed yet.
    :param row_messages: Row messages received so far.
    """

    address: str
    session: int
    replies: asyncio.Queue[messages.Reply | ReplyLost] = attrs.field(
        factory=asyncio.Queue
    )
    row_messages: int = 0

    def check(
        self, reply: messages.Reply | ReplyLost
    ) -> messages.Reply | ReplyLost:
        """Turn a reply after missing rows, or of a non-holder, into a loss.

        :param reply: The next reply.
        :returns: The reply, or :class:`ReplyLost` if the answer has a gap or
            the daemon does not hold the service.
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
    """Combined result of the attempts at one request.

    :param started: Whether the caller has received part of the answer.
    :param answered: Whether the caller has received the whole answer.
    :param retry_unsafe: Whether another attempt could run the request twice or
        outside its transaction, or repeat rows that the caller has.
    :param may_have_run: Whether any attempt may have run. Once set, no later
        refusal may be reported to the caller as ``not run``.
    :param transaction_lost: Whether the session's transaction was lost with
        its holder.
    """

    started: bool = False
    answered: bool = False
    retry_unsafe: bool = False
    may_have_run: bool = False
    transaction_lost: bool = False

    @property
    def ended(self) -> bool:
        """Tell whether no further attempt must be made."""
        return self.answered or self.retry_unsafe

    def record_loss(
        self, req: messages.StatementRequest, lost: ReplyLost, *, pinned: bool
    ) -> None:
        """Record that a holder did not complete its answer.

        :param req: The request.
        :param lost: Whether the request may have run.
        :param pinned: Whether the request belongs to an open transaction.
        """
        self.may_have_run = self.may_have_run or lost.may_have_run
        self.transaction_lost = self.transaction_lost or pinned
        # Another holder would run the statement outside the lost transaction.
        self.retry_unsafe = self.transaction_lost
        if lost.may_have_run and not self.retry_unsafe:
            self.retry_unsafe = self.started or not is_retry_safe(req)

    def correct_refusal(self, reply: messages.Reply) -> messages.Reply:
        """Replace a refusal if an earlier attempt may have run.

        The caller would take the refusal as proof that nothing was run.

        :param reply: The reply of a holder.
        :returns: The reply for the caller: an unknown outcome in this case.
        """
        if isinstance(reply, messages.Refusal) and self.may_have_run:
            return messages.Unknown(reply.request, reply.reason)
        return reply


def is_retry_safe(req: messages.StatementRequest) -> bool:
    """Tell whether a request that may have run can be sent again.

    A write with a request id is safe: the group stores the ids of completed
    writes and so detects a second run.
    """
    if req.kind in {StatementKind.READ.value, StatementKind.BEGIN.value}:
        return True
    return req.repeatable or req.request_id is not None


def is_final(reply: messages.Reply | ReplyLost) -> bool:
    """Tell whether a reply is the last one of its request.

    :param reply: The reply.
    :returns: Whether no further reply follows.
    """
    return not isinstance(reply, (messages.ResultHeader, messages.ResultRows))
