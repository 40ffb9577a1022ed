"""What one daemon knows about which backend server of a service leads."""

from collections.abc import Iterable

import attrs

from monsoonproxy.clock import Millis


@attrs.define
class _LeaderClaim:
    """When one backend server claimed or denied to lead.

    :param claimed_at: When it was last reported as the leader; -1 if never.
    :param refused_at: When it last answered that it does not lead; -1 if
        never.
    """

    claimed_at: int = -1
    refused_at: int = -1

    @property
    def is_plausible(self) -> bool:
        return self.claimed_at >= 0 and self.claimed_at > self.refused_at


class Leadership:
    """One daemon's view of which backend server leads a service.

    The view is a hint that saves round trips. Correctness does not depend on
    it: a backend server that does not lead refuses writes and transactions.
    """

    def __init__(self) -> None:
        #: The backend server that last accepted a transaction.
        self.leader: str | None = None
        #: The highest term seen in answers.
        self.term = 0
        self._claims: dict[str, _LeaderClaim] = {}
        #: The backend server that was last ordered to take the lead, and when.
        self._successor = ''
        self._successor_ordered_at = Millis(0)

    def record_acceptance(self, server_id: str, term: int) -> bool:
        """Record that a backend server accepted a read-write transaction.

        Answers of an earlier term are ignored.

        :param server_id: Identity of the backend server.
        :param term: Term of its log.
        :returns: Whether the leader changed.
        """
        if term < self.term:
            return False
        self.term = term
        changed = self.leader != server_id
        self.leader = server_id
        return changed

    def record_refusal(self, server_id: str, now: Millis) -> bool:
        """Record that a backend server answered that it does not lead.

        :param server_id: Identity of the backend server.
        :param now: The time.
        :returns: Whether the leader changed.
        """
        self._claim(server_id).refused_at = now
        return self._clear_leader(server_id)

    def record_claim(self, server_id: str, now: Millis) -> None:
        """Record a report that a backend server leads.

        :param server_id: Identity of the backend server.
        :param now: The time.
        """
        self._claim(server_id).claimed_at = now

    def announce_successor(self, server_id: str, now: Millis) -> None:
        """Record that a backend server was ordered to take the lead.

        :param server_id: Identity of the backend server.
        :param now: The time.
        """
        self._successor = server_id
        self._successor_ordered_at = now
        self.record_claim(server_id, now)

    def successor(self, now: Millis, within: Millis) -> str | None:
        """Return the backend server that was ordered to lead, until it does.

        :param now: The time.
        :param within: Longest time in ms since the order.
        :returns: Its identity, or ``None`` if no order is that recent or the
            backend server already leads.
        """
        is_recent = now - self._successor_ordered_at <= within
        if not is_recent or self._successor in {'', self.leader}:
            return None
        return self._successor

    def withdraw_claim(self, server_id: str) -> None:
        """Drop the claim of a backend server that reports to be a replica.

        :param server_id: Identity of the backend server.
        """
        self._claim(server_id).claimed_at = -1

    def forget(self, server_id: str) -> bool:
        """Forget a backend server that was removed from the service.

        :param server_id: Identity of the backend server.
        :returns: Whether the leader changed.
        """
        self._claims.pop(server_id, None)
        return self._clear_leader(server_id)

    def have_all_refused(
        self, server_ids: Iterable[str], since: Millis
    ) -> bool:
        """Tell whether some backend servers all answered not to lead.

        :param server_ids: Their identities.
        :param since: Time from which an answer counts.
        :returns: Whether each of them did.
        """
        return all(
            self._claim(server_id).refused_at >= since
            for server_id in server_ids
        )

    def likely_leader(self) -> str | None:
        """Return the backend server to send writes to.

        :returns: Identity of the leader. If none is known, that of the backend
            server with the latest claim to lead that it has not denied since,
            or ``None``.
        """
        if self.leader is not None:
            return self.leader
        plausible = [
            (claim.claimed_at, name)
            for name, claim in self._claims.items()
            if claim.is_plausible
        ]
        return max(plausible)[1] if plausible else None

    def _claim(self, server_id: str) -> _LeaderClaim:
        return self._claims.setdefault(server_id, _LeaderClaim())

    def _clear_leader(self, server_id: str) -> bool:
        if self.leader != server_id:
            return False
        self.leader = None
        return True
