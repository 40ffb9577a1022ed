"""Statements of the group protocol, except for the replication stream."""

from emulator import syntax
from emulator.executor import Outcome
from emulator.member import Member

#: Time in seconds that FOLLOW waits until the logs agree. It answers anyway,
#: since the source may be down.
_SETTLE_LIMIT = 0.5


async def run(member: Member, statement: syntax.Group) -> Outcome:
    """Run a statement of the group protocol.

    :param member: The backend server.
    :param statement: The statement.
    :returns: The status row after it.
    :raises SqlError: If a term is refused.
    """
    numbers = statement.numbers
    if statement.verb == 'wait':
        await _wait_change(member, *numbers)
    elif statement.verb == 'set':
        member.set_term(numbers[0], statement.text)
    elif statement.verb == 'promote':
        member.promote(numbers[0], statement.text)
    elif statement.verb == 'follow':
        await _follow(member, numbers[0], statement.text)
    row = member.status()
    columns = [(name, 'text') for name in row]
    return Outcome(columns, [tuple(cell.encode() for cell in row.values())])


async def _wait_change(
    member: Member, received: int, applied: int, limit: int
) -> None:
    # A change of the term or role also ends the wait.
    if (received, applied) == (member.log.end, member.applied):
        await member.changed.wait(limit / 1000)
    await member.gate.running()


async def _follow(member: Member, term: int, source: str) -> None:
    member.follow(term, source)
    if member.following is not None:
        await member.following.settle(_SETTLE_LIMIT)
