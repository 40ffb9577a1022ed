"""Session state of callers, as the entry side keeps it."""

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
    """State of a caller's session on the entry side.

    :param number: Number of the session, unique per incarnation of the
        sender.
    :param service: Name of the service that the caller uses.
    :param floor: Lowest position that later answers must cover, so that the
        caller reads its own writes.
    :param in_transaction: Whether a transaction is open.
    :param autocommit: Whether a statement outside a transaction commits
        by itself.
    :param defaults: Marks that apply where a request has none of its own.
    :param insert_id: Insert id of the latest write that returned one.
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
        """Raise the floor to a position; a lower position has no effect.

        :param position: Position that later answers must cover.
        """
        if self.floor is None or position > self.floor:
            self.floor = position

    def apply_reply(self, reply: messages.Reply) -> None:
        """Update the session state from the end of an answer.

        :param reply: The last message of an answer.
        """
        if isinstance(reply, messages.ResultEnd):
            self._apply_result(reply)
        if isinstance(reply, messages.Unknown):
            # An unknown outcome implies that the connection of the transaction
            # is lost.
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
        """Add the session's defaults to the marks of a request.

        :param marks: The marks of the request, which take precedence.
        :returns: The marks to run the request with.
        """
        if self.defaults == _NO_MARKS:
            return marks
        own = attrs.asdict(marks)
        return attrs.evolve(
            self.defaults,
            **{key: mark for key, mark in own.items() if mark is not None},
        )

    def renew(self, number: int, service: str) -> 'Session':
        """Return a new session after a reset or a change of user or service.

        The floor is kept if the service is the same, so that a caller that
        resets a pooled connection still reads its own writes.

        :param number: Number of the new session.
        :param service: Service of the new session.
        :returns: The new session.
        """
        floor = self.floor if service == self.service else None
        return Session(number, service, floor)


_NO_MARKS = Marks()


def numbers(start: int = 1) -> Iterator[int]:
    """Generate session numbers.

    :param start: The first number.
    :returns: An iterator over consecutive numbers, without an end.
    """
    return itertools.count(start)
