"""Passes messages between the sockets and the parts of a daemon."""

import asyncio
from collections.abc import Callable

from monsoonproxy import messages
from monsoonproxy.attempts import NOT_HELD
from monsoonproxy.background import Background
from monsoonproxy.clock import seconds
from monsoonproxy.control import Control
from monsoonproxy.entry import Entry
from monsoonproxy.exceptions import PeerError
from monsoonproxy.holders import Holder
from monsoonproxy.hosting import Hosting
from monsoonproxy.logs import log_for
from monsoonproxy.peers import Listener

_log = log_for('dispatch')

#: Identity under which this daemon's own entry side sends requests.
LOCAL = b'local'
_RETRY_AFTER = 500
_SENDER_CHECK = 500


class Dispatch:
    """Routes messages by their type.

    :param own: Address of this daemon.
    :param entry: The entry side.
    :param hosting: The held services.
    :param control: Membership and configuration.
    :param operate: Answers an operator's request by its topic, as JSON.
    """

    def __init__(
        self,
        own: str,
        entry: Entry,
        hosting: Hosting,
        control: Control,
        operate: Callable[[str], bytes],
    ) -> None:
        self._own = own
        self._entry = entry
        self._hosting = hosting
        self._control = control
        self._operate = operate
        self._tasks = Background()
        self.listener: Listener | None = None

    def local(self, message: messages.Message) -> None:
        """Take a message of this daemon to itself.

        :param message: The message.
        """
        self.request(LOCAL, message)

    def reply(self, address: str, message: messages.Message) -> None:
        """Take a message that came back on a link.

        :param address: Address of the peer.
        :param message: The message.
        """
        self._entry.deliver(address, message)

    def lost(self, address: str) -> None:
        """Take in that the connection to a peer broke.

        :param address: Address of the peer.
        """
        self._entry.holder_lost(address)
        self._control.peer_lost(address)

    def request(self, sender: bytes, message: messages.Message) -> None:
        """Take a message that came in on the listener.

        :param sender: Identity of the sender's socket.
        :param message: The message.
        """
        if isinstance(message, messages.StatementRequest):
            self._submit(sender, message)
        elif isinstance(message, messages.StatusRequest):
            document = self._operate(message.topic)
            reply = messages.StatusReply(message.request, document)
            self._tasks.spawn(self._answer(sender, reply))
        elif isinstance(message, _FOR_HOLDERS):
            for holder in self._hosting.all():
                _pass_on(holder, sender, message)
        else:
            peer = sender.decode(errors='replace').partition('/')[0]
            self._control.receive(peer, message)

    async def watch_senders(self) -> None:
        """Roll back the transactions of entry sides that have gone."""
        while True:
            await asyncio.sleep(seconds(_SENDER_CHECK))
            for holder in self._hosting.all():
                for sender in holder.transactions.senders() - {LOCAL}:
                    await self._check_sender(holder, sender)

    async def _check_sender(self, holder: Holder, sender: bytes) -> None:
        try:
            await self._send(sender, messages.Ping(0))
        except PeerError:
            holder.end_sender_transactions(sender)

    def _submit(self, sender: bytes, req: messages.StatementRequest) -> None:
        holder = self._hosting.find(req.service, (sender, req.session))
        if holder is None:
            refusal = messages.Refusal(req.request, NOT_HELD, _RETRY_AFTER)
            self._tasks.spawn(self._answer(sender, refusal))
            return
        holder.submit(sender, req, lambda reply: self._send(sender, reply))

    async def _send(self, sender: bytes, reply: messages.Message) -> None:
        if sender == LOCAL:
            self._entry.deliver(self._own, reply)
        elif self.listener is not None:
            await self.listener.send(sender, reply)

    async def _answer(self, sender: bytes, reply: messages.Message) -> None:
        try:
            await self._send(sender, reply)
        except PeerError as exc:
            _log.info('A reply could not be sent: {}', exc)


_FOR_HOLDERS = (messages.Credit, messages.Cancel, messages.SessionEnd)


def _pass_on(holder: Holder, sender: bytes, message: messages.Message) -> None:
    if isinstance(message, messages.Credit):
        holder.credit(sender, message)
    elif isinstance(message, messages.Cancel):
        holder.cancel(sender, message)
    elif isinstance(message, messages.SessionEnd):
        holder.transactions.end((sender, message.session))
