"""Membership: which hosts may get new requests.

The platform's host list lags behind, so this daemon's own observations take
precedence. A goodbye or a failed send excludes a listed host, and a message
includes a host that is not listed yet.
"""

from collections.abc import Iterable
from typing import TypeAlias

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.declarations import MembershipRules
from monsoonproxy.models import Host, HostState

#: Greatest number of host records, so that forged addresses can't exhaust the
#: memory. Installations are designed for up to 2,400 hosts, all of which may be
#: replaced at once.
RECORD_LIMIT = 8192


@attrs.frozen
class HostsListed:
    """The platform's host list was read."""

    hosts: tuple[Host, ...]


@attrs.frozen
class HostsReported:
    """A peer reported the hosts that it considers usable.

    The hosts are usable until the platform's list is read the next time.
    """

    hosts: tuple[Host, ...]


@attrs.frozen
class MessageReceived:
    """A message of a host arrived.

    :param address: Address of the host.
    :param availability_zone: Its availability zone, or empty if the message
        doesn't contain it.
    :param announced: Whether the message is an announcement. A daemon sends
        none after its goodbye, so an announcement after a goodbye comes from
        a restarted daemon.
    """

    address: str
    availability_zone: str = ''
    announced: bool = False


@attrs.frozen
class SendFailed:
    """A message or ping to a host failed or is not yet answered.

    :param address: Address of the host.
    :param sent_at: When the unanswered message was sent. The host counts as
        failed ``peer_timeout`` later unless it is heard from. ``None`` if the
        failure is certain, such as a refused connection.
    """

    address: str
    sent_at: Millis | None = None


@attrs.frozen
class GoodbyeReceived:
    """A host sent a goodbye because it is shutting down."""

    address: str


@attrs.frozen
class Tick:
    """A periodic wake-up, on which time limits are checked."""


Event: TypeAlias = (
    HostsListed
    | HostsReported
    | MessageReceived
    | SendFailed
    | GoodbyeReceived
    | Tick
)


@attrs.define
class _HostRecord:
    host: Host
    listed: bool = False
    reported: bool = False
    heard_at: Millis | None = None
    fails_at: Millis | None = None
    left_at: Millis | None = None
    probed_at: Millis | None = None

    @property
    def is_known(self) -> bool:
        known = self.listed or self.reported
        return known or self.heard_at is not None or self.left_at is not None


class Membership:
    """Tracks which hosts are usable.

    :param own: This daemon's host; it is usable until it sends its goodbye.
    :param rules: Time limits.
    """

    def __init__(self, own: Host, rules: MembershipRules) -> None:
        self._own = own
        self.rules = rules
        self._records: dict[str, _HostRecord] = {own.address: _HostRecord(own)}
        self._usable: tuple[Host, ...] = (own,)
        self._recheck_at: Millis | None = None
        self._changed = False

    @property
    def changed(self) -> bool:
        """Return whether the usable hosts changed since they were last read.

        Time limits that have passed show only after a :class:`Tick`.

        :returns: Whether :meth:`usable` will return a different result.
        """
        return self._changed

    def handle(self, event: Event, now: Millis) -> None:
        """Update the records by an event.

        :param event: The event.
        :param now: The current time.
        """
        if self._apply(event, now):
            self._refresh(now)

    def _apply(self, event: Event, now: Millis) -> bool:
        """Update the records; return whether the usable hosts may change."""
        match event:
            case HostsListed(hosts):
                return self._apply_list(hosts)
            case HostsReported(hosts):
                return self._apply_peer_report(hosts)
            case MessageReceived(address):
                return self._apply_message(address, event, now)
            case SendFailed(address, sent_at):
                return self._apply_failure(address, sent_at, now)
            case GoodbyeReceived(address):
                return self._apply_goodbye(address, now)
        return _is_due(self._recheck_at, now)

    def usable(self, now: Millis) -> tuple[Host, ...]:
        """Return the hosts that may get new requests.

        :param now: The current time.
        :returns: The hosts, sorted by address.
        """
        if _is_due(self._recheck_at, now):
            self._refresh(now)
        self._changed = False
        return self._usable

    def probes(self, now: Millis) -> tuple[str, ...]:
        """Return the failed hosts that are due for a ping.

        :param now: The current time.
        :returns: Addresses; each is returned once per ``peer_retry``.
        """
        due = []
        for address, record in self._records.items():
            failed = _is_due(record.fails_at, now) and not record.left_at
            last = record.probed_at or record.fails_at
            if failed and _is_due(last, now - self.rules.peer_retry):
                record.probed_at = now
                due.append(address)
        return tuple(due)

    def heard(self, now: Millis) -> tuple[Host, ...]:
        """Return the usable hosts that sent this daemon a message lately.

        :param now: The current time.
        :returns: The hosts, which announcements to peers contain.
        """
        limit = now - self.rules.heard_lifetime
        return tuple(
            host
            for host in self.usable(now)
            if (self._records[host.address].heard_at or limit) > limit
        )

    def _apply_list(self, hosts: tuple[Host, ...]) -> bool:
        # The list should contain at least this daemon's host: an empty one is
        # a fault of the platform.
        if not hosts:
            return False
        for known in self._records.values():
            known.listed = False
            known.reported = False
        for host in hosts:
            record = self._record(host)
            record.listed = True
            if host.address != self._own.address:
                record.host = host
        return True

    def _apply_peer_report(self, hosts: Iterable[Host]) -> bool:
        is_news = False
        for host in hosts:
            record = self._record(host)
            is_news = is_news or not (record.listed or record.reported)
            record.reported = True
        return is_news

    def _apply_message(
        self, address: str, event: MessageReceived, now: Millis
    ) -> bool:
        record = self._record(Host(address, event.availability_zone))
        was_known = record.listed or record.heard_at is not None
        was_out = record.fails_at is not None or record.left_at is not None
        zone = event.availability_zone
        is_news = not record.listed and zone not in {
            '',
            record.host.availability_zone,
        }
        record.heard_at = now
        record.fails_at = None
        record.probed_at = None
        if event.announced:
            record.left_at = None
        if is_news:
            record.host = attrs.evolve(record.host, availability_zone=zone)
        return was_out or is_news or not was_known

    def _apply_failure(
        self, address: str, sent_at: Millis | None, now: Millis
    ) -> bool:
        record = self._records.get(address)
        if record is None or address == self._own.address:
            return False
        fails_at = now
        if sent_at is not None:
            if record.heard_at is not None and record.heard_at >= sent_at:
                return False
            fails_at = Millis(sent_at + self.rules.peer_timeout)
        if record.fails_at is None or fails_at < record.fails_at:
            record.fails_at = fails_at
        return True

    def _apply_goodbye(self, address: str, now: Millis) -> bool:
        was_known = address in self._records
        # An unknown host is recorded too, because the platform may list it
        # later.
        self._record(Host(address, '')).left_at = now
        return was_known

    def _record(self, host: Host) -> _HostRecord:
        record = self._records.get(host.address)
        if record is None:
            while len(self._records) >= RECORD_LIMIT:
                self._evict()
            record = _HostRecord(host)
            self._records[host.address] = record
        return record

    def _evict(self) -> None:
        """Remove the oldest record; those of unlisted hosts go first."""
        candidates = [
            address
            for address, record in self._records.items()
            if not record.listed and address != self._own.address
        ]
        address = candidates[0] if candidates else list(self._records)[1]
        self._records.pop(address)

    def _refresh(self, now: Millis) -> None:
        self._expire(now)
        found = [
            record.host
            for record in self._records.values()
            if self._is_usable(record, now)
        ]
        usable = tuple(sorted(found, key=lambda host: host.address))
        if usable != self._usable:
            self._usable = usable
            self._changed = True
        self._recheck_at = min(self._recheck_times(now), default=None)

    def _is_usable(self, record: _HostRecord, now: Millis) -> bool:
        if record.left_at is not None:
            return False
        if record.host.address == self._own.address:
            return True
        known = record.listed or record.reported or record.heard_at is not None
        live = record.host.state is HostState.LIVE
        return known and live and not _is_due(record.fails_at, now)

    def _expire(self, now: Millis) -> None:
        rules = self.rules
        for address, record in list(self._records.items()):
            if _is_due(record.heard_at, now - rules.heard_lifetime):
                record.heard_at = None
            # A restarted daemon may never announce itself to this one. A host
            # that is still listed when the longest lag of the list has passed
            # is therefore used again.
            if _is_due(record.left_at, now - rules.list_lag):
                record.left_at = None
            if not record.is_known and address != self._own.address:
                self._records.pop(address)

    def _recheck_times(self, now: Millis) -> list[Millis]:
        rules = self.rules
        times = []
        for record in self._records.values():
            if record.fails_at is not None and record.fails_at > now:
                times.append(record.fails_at)
            if record.heard_at is not None and not record.listed:
                times.append(Millis(record.heard_at + rules.heard_lifetime))
            if record.left_at is not None:
                times.append(Millis(record.left_at + rules.list_lag))
        return times


def _is_due(moment: Millis | None, now: int) -> bool:
    return moment is not None and moment <= now
