"""A caller's session as a state machine."""

import itertools
from collections.abc import Iterator

import attrs

from monsoonproxy import messages
from monsoonproxy.models import Marks, Position

_TRANSACTION_REPLIES = (
    messages.ResultEnd,
    messages.Failure,
    messages.Refusal,
)


@attrs.define(eq=False)
class Session:
    """What the entry side knows about a caller.

    :param number: Number of the session, unique per sender incarnation.
    :param service: Name of the service that the caller uses.
    :param floor: Lowest position that the next answer must cover.
    :param in_transaction: Whether a transaction is open.
    :param autocommit: Whether a statement outside a transaction commits
        by itself.
    :param defaults: Marks of requests that have none of their own.
    :param insert_id: Last insert id of the latest write that had one.
    :param warnings: Warning count of the latest statement.
    """

    number: int
    service: str
    floor: Position | None = None
    in_transaction: bool = False
    autocommit: bool = True
    defaults: Marks = Marks()
    insert_id: int = 0
    warnings: int = 0

    def raise_floor(self, position: Position) -> None:
        """Move the floor up; a lower position leaves it where it is.

        :param position: A position that later answers must cover.
        """
        if self.floor is None or position > self.floor:
            self.floor = position

    def apply_reply(self, reply: messages.Reply) -> None:
        """Take over what the end of an answer says about the session.

        :param reply: The last message of an answer.
        """
        if isinstance(reply, messages.ResultEnd):
            self._apply_result(reply)
        if isinstance(reply, messages.Unknown):
            # The connection that held the transaction is lost.
            self.in_transaction = False
        elif isinstance(reply, _TRANSACTION_REPLIES):
            self.in_transaction = reply.in_transaction

    def _apply_result(self, end: messages.ResultEnd) -> None:
        self.warnings = end.warnings
        if end.insert_id:
            self.insert_id = end.insert_id
        if end.floor is not None:
            self.raise_floor(Position(*end.floor))

    def merge(self, marks: Marks) -> Marks:
        """Complete the marks of a request with the session's defaults.

        :param marks: The request's own marks, which take precedence.
        :returns: The marks in force.
        """
        if self.defaults == _NO_MARKS:
            return marks
        own = attrs.asdict(marks)
        return attrs.evolve(
            self.defaults,
            **{key: mark for key, mark in own.items() if mark is not None},
        )

    def renew(self, number: int, service: str) -> 'Session':
        """Start the session that follows a reset or a change of user.

        The floor stays if the service does, so that a caller that resets a
        pooled connection still reads its own writes.

        :param number: Number of the new session.
        :param service: Its service.
        :returns: The new session.
        """
        floor = self.floor if service == self.service else None
        return Session(number, service, floor)


_NO_MARKS = Marks()


def numbers(start: int = 1) -> Iterator[int]:
    """Count session numbers.

    :param start: The first number.
    :returns: An endless iterator.
    """
    return itertools.count(start)
