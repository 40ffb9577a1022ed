"""When each member of a group was last reached.

Times are counted while this process is awake: a pause of this process is no
evidence of anyone else's silence.
"""

from collections.abc import Iterable

import attrs

from monsoonproxy import signals
from monsoonproxy.clock import Millis


@attrs.define
class _Contact:
    """Contact with one member; ``sent_at`` is not awake time."""

    reached_at: int
    refused: bool = False
    probed_at: int | None = None
    sent_at: Millis | None = None


class MemberContacts:
    """Records contact with the members of a group.

    :param members: Names of the configured members.
    :param rules: Time limits.
    """

    def __init__(
        self, members: tuple[str, ...], rules: signals.FailoverRules
    ) -> None:
        self.awake_time = 0
        self._rules = rules
        self._now: Millis | None = None
        self._contacts = {name: _Contact(0) for name in members}

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the configured members."""
        return tuple(self._contacts)

    def advance(self, now: Millis) -> None:
        """Let time pass, without counting a pause of this process.

        :param now: The current time.
        """
        if self._now is not None:
            self.awake_time += min(now - self._now, self._rules.pause_limit)
        self._now = now

    def record_answer(self, name: str, sent_at: Millis) -> None:
        """Record an answer of a member.

        :param name: The member.
        :param sent_at: When the poll was sent that it answered.
        """
        contact = self._contacts[name]
        contact.reached_at = self.awake_time
        contact.refused = False
        contact.sent_at = max(sent_at, contact.sent_at or sent_at)

    def record_failure(self, name: str, *, refused: bool) -> None:
        """Record that a poll failed.

        :param name: The member.
        :param refused: Whether its host refused or reset the connection.
        """
        contact = self._contacts.get(name)
        if contact is not None:
            contact.refused = refused

    def record_peer_answer(self, name: str, age: int) -> None:
        """Record that another holder reached a member.

        :param name: The member.
        :param age: How long ago, in ms.
        """
        contact = self._contacts.get(name)
        if contact is not None:
            contact.reached_at = max(contact.reached_at, self.awake_time - age)

    def change_members(self, members: tuple[str, ...]) -> None:
        """Replace the configured members.

        :param members: Names of the new members.
        """
        self._contacts = {
            name: self._contacts.get(name, _Contact(self.awake_time))
            for name in members
        }

    def silence(self, names: Iterable[str], since: int) -> int:
        """Return for how long none of some members was reached.

        :param names: Members.
        :param since: Start of the period that counts, in awake time.
        :returns: A time in ms.
        """
        reached = [self._contacts[name].reached_at for name in names]
        return self.awake_time - max(reached + [since])

    def suspicion_limit(self, names: Iterable[str]) -> int:
        """Return the silence after which some members are suspected.

        :param names: Members.
        :returns: A time in ms, shorter if all refuse connections.
        """
        if all(self._contacts[name].refused for name in names):
            return self._rules.refused_detection
        return self._rules.silence_detection

    def is_fresh(self, name: str) -> bool:
        """Tell whether the latest report of a member is recent.

        :param name: A member.
        :returns: Whether its report may count as evidence.
        """
        sent_at = self._contacts[name].sent_at
        if self._now is None or sent_at is None:
            return False
        return self._now - sent_at <= self._rules.evidence_age

    def due_probes(self, interval: int) -> list[signals.Command]:
        """Return the probes that are due.

        :param interval: Least time between two probes of a member.
        :returns: Probes.
        """
        due = [
            (name, contact)
            for name, contact in self._contacts.items()
            if contact.probed_at is None
            or self.awake_time - contact.probed_at >= interval
        ]
        for _name, contact in due:
            contact.probed_at = self.awake_time
        return [signals.Probe(name) for name, _contact in due]
