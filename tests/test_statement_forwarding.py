"""Tests of statement forwarding against fake holders."""

from collections.abc import AsyncIterator, Callable

import attrs

from monsoonproxy import messages
from monsoonproxy.attempts import NOT_HELD
from monsoonproxy.clock import Clock
from monsoonproxy.configuration import Configuration
from monsoonproxy.declarations import Member, Service
from monsoonproxy.models import StatementKind
from monsoonproxy.sessions import Session
from monsoonproxy.statement_forwarding import StatementForwarder
from monsoonproxy.statements import Classifier
from tests.fixtures import fixture, load_functions

load_tests = load_functions(__name__)

_HOLDERS = ('127.0.0.1:1', '127.0.0.1:2')
_Answer = Callable[[messages.StatementRequest], messages.Reply | None]


@attrs.define
class FakeHolders:
    """Fake connections to holders that answer at once.

    ``answers`` has a function per holder address. If it returns ``None``, the
    connection to the holder breaks.
    """

    answers: dict[str, _Answer] = attrs.Factory(dict)
    sent: list[tuple[str, messages.StatementRequest]] = attrs.Factory(list)
    forwarder: StatementForwarder | None = None

    async def try_send(self, address: str, message: messages.Message) -> bool:
        if not isinstance(message, messages.StatementRequest):
            return True
        self.sent.append((address, message))
        reply = self.answers[address](message)
        if reply is None:
            self.forwarder.holder_lost(address)
        else:
            self.forwarder.deliver(address, reply)
        return True

    async def run(self, sql: bytes, session: Session) -> messages.Reply:
        """Forward a statement and return the final reply."""
        statement = Classifier().parse(sql)
        replies = [
            reply async for reply in self.forwarder.execute(session, statement)
        ]
        session.apply_reply(replies[-1])
        return replies[-1]


@fixture
async def holders() -> AsyncIterator[FakeHolders]:
    """Yield two fake holders and the forwarder that sends to them."""
    fake = FakeHolders()
    member = Member(name='a', address='127.0.0.1:9', availability_zone='z')
    service = Service(name='s', members=(member,), credentials='env:X')
    fake.forwarder = StatementForwarder(
        fake, lambda _service: _HOLDERS, lambda *_outcome: None, Clock()
    )
    fake.forwarder.configure(Configuration({'s': service}))
    yield fake


def _result_end(
    req: messages.StatementRequest, *, in_transaction: bool = False
) -> messages.Reply:
    return messages.ResultEnd(
        req.request, 0, 1, 0, 0, None, in_transaction, 'a', ''
    )


def _refuser(reason: str) -> _Answer:
    return lambda req: messages.Refusal(req.request, reason, 10)


async def test_other_holder_takes_over(holders: FakeHolders) -> None:
    """Guards against a refusal while another holder could run the request.

    The first holder no longer holds the service.
    """
    holders.answers = {
        _HOLDERS[0]: _refuser(NOT_HELD),
        _HOLDERS[1]: _result_end,
    }
    reply = await holders.run(b'INSERT INTO t VALUES (1)', Session(1, 's'))
    assert isinstance(reply, messages.ResultEnd)


async def test_lost_transaction(holders: FakeHolders) -> None:
    """Guards against a statement that runs outside its lost transaction.

    The holder of the transaction has released the service. Another holder
    would run the statement on its own and commit it.
    """
    session = Session(1, 's')
    holders.answers = {
        _HOLDERS[0]: lambda req: _result_end(req, in_transaction=True),
        _HOLDERS[1]: _result_end,
    }
    await holders.run(b'BEGIN', session)
    holders.answers[_HOLDERS[0]] = _refuser(NOT_HELD)
    reply = await holders.run(b'INSERT INTO t VALUES (1)', session)
    assert isinstance(reply, messages.Refusal)
    assert not session.in_transaction
    assert all(address == _HOLDERS[0] for address, _req in holders.sent)


async def test_refusal_after_a_lost_attempt(holders: FakeHolders) -> None:
    """Guards against reporting ``not run`` for a request that may have run.

    The connection breaks after the first attempt was sent, and the second
    holder refuses the request.
    """
    holders.answers = {
        _HOLDERS[0]: lambda _req: None,
        _HOLDERS[1]: _refuser('the queue is full'),
    }
    sql = b"INSERT INTO t VALUES (1) /* request_id='r1',repeatable='false' */"
    reply = await holders.run(sql, Session(1, 's'))
    assert isinstance(reply, messages.Unknown)


async def test_lost_write_is_not_repeated(holders: FakeHolders) -> None:
    """Guards against a second run of a write without a request id.

    The connection breaks after the write was sent, so it may have run.
    """
    holders.answers = {_HOLDERS[0]: lambda _req: None, _HOLDERS[1]: _result_end}
    reply = await holders.run(b'INSERT INTO t VALUES (1)', Session(1, 's'))
    assert isinstance(reply, messages.Unknown)
    kinds = [req.kind for _address, req in holders.sent]
    assert kinds == [StatementKind.WRITE.value]


async def test_missing_rows(holders: FakeHolders) -> None:
    """Guards against returning an incomplete result as complete.

    The final reply counts two row messages, but none has arrived.
    """
    holders.answers = dict.fromkeys(
        _HOLDERS,
        lambda req: messages.ResultEnd(
            req.request, 2, 0, 0, 0, None, False, 'a', ''
        ),
    )
    reply = await holders.run(b'SELECT 1 FROM t', Session(1, 's'))
    assert isinstance(reply, messages.Unknown)
