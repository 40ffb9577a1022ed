"""Records when each member of a group was last reached.

Silence is measured in awake time, which does not advance while this process
is paused: such a pause is no evidence that a member is silent.
"""

from collections.abc import Iterable

import attrs

from monsoonproxy import failover_events
from monsoonproxy.clock import Millis


@attrs.define
class _Contact:
    """Results of the polls of one member.

    :param reached_at: Awake time at which this or another holder last reached
        the member.
    :param refused: Whether the host refused or reset the last connection.
    :param probed_at: Awake time of the last probe, if any.
    :param sent_at: Clock time at which the latest answered poll was sent.
    """

    reached_at: int
    refused: bool = False
    probed_at: int | None = None
    sent_at: Millis | None = None


class MemberContacts:
    """Tracks for how long the members of a group have been silent.

    :param members: Names of the configured members.
    :param rules: Time limits of the failover.
    """

    def __init__(
        self, members: tuple[str, ...], rules: failover_events.FailoverRules
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
        """Advance the awake time by the time since the last call.

        A longer gap than ``pause_limit`` means that this process was paused,
        and only that limit is counted.

        :param now: The current time.
        """
        if self._now is not None:
            self.awake_time += min(now - self._now, self._rules.pause_limit)
        self._now = now

    def record_answer(self, name: str, sent_at: Millis) -> None:
        """Record that a member answered a poll.

        :param name: Name of the member.
        :param sent_at: Clock time at which the poll was sent.
        """
        contact = self._contacts[name]
        contact.reached_at = self.awake_time
        contact.refused = False
        contact.sent_at = max(sent_at, contact.sent_at or sent_at)

    def record_failure(self, name: str, *, refused: bool) -> None:
        """Record that a poll of a member failed.

        :param name: Name of the member.
        :param refused: Whether the host refused or reset the connection.
        """
        contact = self._contacts.get(name)
        if contact is not None:
            contact.refused = refused

    def record_peer_answer(self, name: str, age: int) -> None:
        """Record that another holder reached a member.

        :param name: Name of the member.
        :param age: Time in ms since it was reached.
        """
        contact = self._contacts.get(name)
        if contact is not None:
            contact.reached_at = max(contact.reached_at, self.awake_time - age)

    def change_members(self, members: tuple[str, ...]) -> None:
        """Replace the configured members, keeping the records of known ones.

        :param members: Names of all members from now on.
        """
        self._contacts = {
            name: self._contacts.get(name, _Contact(self.awake_time))
            for name in members
        }

    def silence(self, names: Iterable[str], since: int) -> int:
        """Return for how long none of the given members was reached.

        :param names: Names of the members.
        :param since: Awake time before which silence is not counted.
        :returns: The silence in ms.
        """
        reached = [self._contacts[name].reached_at for name in names]
        return self.awake_time - max(reached + [since])

    def suspicion_limit(self, names: Iterable[str]) -> int:
        """Return the silence after which members are suspected to have failed.

        :param names: Names of the members.
        :returns: A time in ms, which is shorter if all refuse connections.
        """
        if all(self._contacts[name].refused for name in names):
            return self._rules.refused_detection
        return self._rules.silence_detection

    def is_fresh(self, name: str) -> bool:
        """Tell whether the latest report of a member is recent.

        :param name: Name of the member.
        :returns: Whether the report is at most ``evidence_age`` old.
        """
        sent_at = self._contacts[name].sent_at
        if self._now is None or sent_at is None:
            return False
        return self._now - sent_at <= self._rules.evidence_age

    def due_probes(self, interval: int) -> list[failover_events.Command]:
        """Return the due probes, which then count as sent.

        :param interval: Shortest time in ms between two probes of a member.
        :returns: One command per member to probe.
        """
        due = [
            (name, contact)
            for name, contact in self._contacts.items()
            if contact.probed_at is None
            or self.awake_time - contact.probed_at >= interval
        ]
        for _name, contact in due:
            contact.probed_at = self.awake_time
        return [failover_events.Probe(name) for name, _contact in due]
