"""Routes messages between the sockets and the components of a daemon."""

import asyncio
from collections.abc import Callable

from monsoonproxy import messages
from monsoonproxy.attempts import NOT_HELD
from monsoonproxy.background import Background
from monsoonproxy.clock import seconds
from monsoonproxy.control import Control
from monsoonproxy.exceptions import PeerError
from monsoonproxy.holder_manager import HolderManager
from monsoonproxy.holders import Holder
from monsoonproxy.logs import log_for
from monsoonproxy.peers import Listener
from monsoonproxy.statement_forwarding import StatementForwarder

_log = log_for('dispatch')

#: Sender identity of requests that this daemon sends to itself.
LOCAL_SENDER = b'local'
#: Suggested delay before a retry when a service is not held here.
_RETRY_AFTER_MS = 500
#: Interval between checks for senders that are no longer connected.
_SENDER_CHECK_MS = 500


class MessageDispatcher:
    """Routes incoming messages by their type.

    :param own: Address of this daemon.
    :param forwarder: Receives the replies of holders.
    :param holder_manager: Finds the holders that run on this daemon.
    :param control: Receives membership and configuration messages.
    :param answer_operator: Returns the JSON answer to an operator's request
        on a topic.
    """

    def __init__(
        self,
        own: str,
        forwarder: StatementForwarder,
        holder_manager: HolderManager,
        control: Control,
        answer_operator: Callable[[str], bytes],
    ) -> None:
        self._own = own
        self._forwarder = forwarder
        self._holder_manager = holder_manager
        self._control = control
        self._answer_operator = answer_operator
        self._tasks = Background()
        self.listener: Listener | None = None

    def handle_local(self, message: messages.Message) -> None:
        """Handle a message that this daemon sent to itself.

        :param message: The message.
        """
        self.handle_request(LOCAL_SENDER, message)

    def handle_reply(self, address: str, message: messages.Message) -> None:
        """Handle a reply from a peer that this daemon connected to.

        :param address: Address of the peer.
        :param message: The message.
        """
        self._forwarder.deliver(address, message)

    def handle_lost_peer(self, address: str) -> None:
        """Handle the loss of a connection to a peer.

        :param address: Address of the peer.
        """
        self._forwarder.holder_lost(address)
        self._control.peer_lost(address)

    def handle_request(self, sender: bytes, message: messages.Message) -> None:
        """Handle a message that a peer sent to the listener.

        :param sender: Identity of the sender's socket.
        :param message: The message.
        """
        if isinstance(message, messages.StatementRequest):
            self._submit_statement(sender, message)
        elif isinstance(message, messages.StatusRequest):
            document = self._answer_operator(message.topic)
            reply = messages.StatusReply(message.request, document)
            self._tasks.spawn(self._try_send_reply(sender, reply))
        elif isinstance(message, _HOLDER_MESSAGES):
            for holder in self._holder_manager.all_holders():
                _forward_to_holder(holder, sender, message)
        else:
            peer = sender.decode(errors='replace').partition('/')[0]
            self._control.receive(peer, message)

    async def check_senders(self) -> None:
        """Roll back the transactions of senders that have disconnected.

        The listener only notices a broken connection when it sends, so each
        sender with an open transaction is pinged.
        """
        while True:
            await asyncio.sleep(seconds(_SENDER_CHECK_MS))
            for holder in self._holder_manager.all_holders():
                for sender in holder.transactions.senders() - {LOCAL_SENDER}:
                    await self._check_sender(holder, sender)

    async def _check_sender(self, holder: Holder, sender: bytes) -> None:
        try:
            await self._send_reply(sender, messages.Ping(0))
        except PeerError:
            holder.end_sender_transactions(sender)

    def _submit_statement(
        self, sender: bytes, req: messages.StatementRequest
    ) -> None:
        holder = self._holder_manager.find_holder(
            req.service, (sender, req.session)
        )
        if holder is None:
            refusal = messages.Refusal(req.request, NOT_HELD, _RETRY_AFTER_MS)
            self._tasks.spawn(self._try_send_reply(sender, refusal))
            return
        holder.submit(
            sender, req, lambda reply: self._send_reply(sender, reply)
        )

    async def _send_reply(self, sender: bytes, reply: messages.Message) -> None:
        if sender == LOCAL_SENDER:
            self._forwarder.deliver(self._own, reply)
        elif self.listener is not None:
            await self.listener.send(sender, reply)

    async def _try_send_reply(
        self, sender: bytes, reply: messages.Message
    ) -> None:
        try:
            await self._send_reply(sender, reply)
        except PeerError as exc:
            _log.info('A reply could not be sent to {!r}: {}', sender, exc)


#: Messages that are offered to every holder; those without the request or
#: session ignore them.
_HOLDER_MESSAGES = (messages.Credit, messages.Cancel, messages.SessionEnd)


def _forward_to_holder(
    holder: Holder, sender: bytes, message: messages.Message
) -> None:
    if isinstance(message, messages.Credit):
        holder.credit(sender, message)
    elif isinstance(message, messages.Cancel):
        holder.cancel(sender, message)
    elif isinstance(message, messages.SessionEnd):
        holder.transactions.end((sender, message.session))
