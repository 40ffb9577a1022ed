"""Which backend server leads a service, for the statements that need it."""

import asyncio
import contextlib
from collections.abc import Callable, Mapping

from monsoonproxy.clock import Clock, Millis, seconds
from monsoonproxy.floors import Floors
from monsoonproxy.leadership import Leadership
from monsoonproxy.logs import log_for
from monsoonproxy.members import Member
from monsoonproxy.queries import Answer

_log = log_for('cluster')

#: Longest time in ms that replacing a leader takes: failure detection, orders
#: that are sent again, and 1 s to carry one out. Without a leader for longer,
#: requests that need one are refused at once.
TAKEOVER_LIMIT = Millis(2_500)


class ServiceLeader:
    """The leader of a service, and the statements that wait for one.

    :param service: Name of the service.
    :param members: The backend servers of the service, by identity.
    :param clock: Source of time.
    """

    def __init__(
        self, service: str, members: Mapping[str, Member], clock: Clock
    ) -> None:
        self.leadership = Leadership()
        #: Log positions of the leader.
        self.floors = Floors()
        #: Called with the identity of the leader when it may have failed.
        self.on_suspected: Callable[[str], None] = _ignore
        #: Called to start the search for a leader.
        self.on_missing: Callable[[], None] = _do_nothing
        self.missing_since: Millis | None = None
        #: When a statement last waited for a leader.
        self.wanted_at = Millis(0)
        #: The leader that left as announced, until another one leads.
        self.left = ''
        self._service = service
        self._members = members
        self._clock = clock
        #: The leaving leader whose commits no other backend server receives.
        self._stalled: Member | None = None
        self._changed = asyncio.Event()

    @property
    def member(self) -> Member | None:
        """Return the backend server to send writes to.

        :returns: The confirmed leader, or else the one last reported as such;
            ``None`` if there is neither.
        """
        believed = self.leadership.likely_leader()
        return self._members.get(believed) if believed else None

    @property
    def is_drained(self) -> bool:
        """Tell whether the leader may get no new statements.

        :returns: Whether it is about to leave.
        """
        leader = self.member
        return leader is not None and leader.is_drained(self._clock.now())

    @property
    def ordered_successor(self) -> Member | None:
        """Return the backend server that was recently ordered to lead."""
        name = self.leadership.successor(self._clock.now(), TAKEOVER_LIMIT)
        return self._members.get(name) if name else None

    @property
    def is_stalled(self) -> bool:
        """Tell whether commits would be lost with the leader.

        :returns: Whether the leader leaves and no other backend server receives
            its commits.
        """
        return self._stalled is not None and self._stalled is self.member

    def mark_stalled(self, member: Member | None) -> None:
        """Record whether commits of a leaving leader are received by others.

        :param member: The leader whose commits no other backend server
            receives, or ``None`` once one does.
        """
        if member is self._stalled:
            return
        self._stalled = member
        if member is None:
            _log.info('Writes to {} are run again', self._service)
        else:
            _log.warning(
                'Writes to {} are refused: its leader {} leaves, and no replica'
                ' receives its commits',
                self._service,
                member.server.server_id,
            )

    def confirm(self, member: Member, sent_at: Millis, answer: Answer) -> None:
        """Record an answer which proves that a backend server was the leader.

        :param member: The backend server.
        :param sent_at: When the statement was sent.
        :param answer: Answer to a statement that only a leader accepts.
        """
        if answer.position is None:
            return
        name = member.server.server_id
        self.floors.add(sent_at, answer.position)
        self.missing_since = None
        before = self.member
        if self.leadership.record_acceptance(name, answer.position.term):
            self.left = ''
            _log.info('{} is the leader in term {}', name, answer.position.term)
            if before is not None and before is not member:
                before.interrupt()
            self.notify_changed()

    def mark_not_leading(self, member: Member) -> None:
        """Record that a backend server refused a write, or has failed.

        Requests that wait for connections to the believed leader fail. The
        search for a leader starts unless another one is confirmed.

        :param member: The backend server.
        """
        name = member.server.server_id
        was_believed = member is self.member
        if self.leadership.record_refusal(name, self._clock.now()):
            _log.info('{} is no longer the leader', name)
        if was_believed:
            member.interrupt()
            self.notify_changed()
        self.find()

    def forget(self, member: Member) -> None:
        """Forget a backend server that was removed from the service.

        :param member: The backend server.
        """
        name = member.server.server_id
        if member.server.leaving and self.leadership.leader == name:
            self.left = name
        self.leadership.forget(name)
        self.notify_changed()

    def find(self) -> None:
        """Start the search for a leader, unless one is confirmed."""
        if self.leadership.leader is not None:
            return
        if self.missing_since is None:
            self.missing_since = self._clock.now()
        self.on_missing()

    def suspect(self, member: Member) -> None:
        """Suspect a backend server that did not answer, if it is the leader.

        :param member: The backend server.
        """
        if member is self.member:
            self.on_suspected(member.server.server_id)

    async def wait(self, limit: float) -> Member | None:
        """Wait until a leader is confirmed or reported.

        :param limit: Longest wait in ms.
        :returns: The leader, or ``None`` if there is none in time, or it is
            about to leave and no successor was ordered to lead.
        """
        deadline = self._clock.now() + limit
        while deadline > self._clock.now():
            if self.member is None:
                self.wanted_at = self._clock.now()
                self.find()
            elif not self.is_drained:
                return self.member
            elif self.ordered_successor is None:
                return None
            await self.wait_for_change(deadline - self._clock.now())
        return None

    async def wait_for_change(self, limit: float) -> None:
        """Wait until the backend servers or the leader change.

        :param limit: Longest wait in ms.
        """
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds(max(1, int(limit)))):
                await changed.wait()

    def notify_changed(self) -> None:
        """Wake the tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()


def _ignore(_server_id: str) -> None:
    """Default for :attr:`ServiceLeader.on_suspected`."""


def _do_nothing() -> None:
    """Default for :attr:`ServiceLeader.on_missing`."""
