"""Which backend server of a service leads, as a daemon believes."""

import attrs

from monsoonproxy.clock import Millis


@attrs.define
class _LeaderClaim:
    """What was heard about one backend server.

    :param claimed_at: When it was last said to lead.
    :param refused_at: When it last answered that it does not lead.
    """

    claimed_at: int = -1
    refused_at: int = -1

    @property
    def is_plausible(self) -> bool:
        return self.claimed_at >= 0 and self.claimed_at > self.refused_at


class Leadership:
    """The belief of one daemon about one service.

    It only saves time: a backend server that does not lead refuses writes
    and transactions itself.
    """

    def __init__(self) -> None:
        #: The backend server that last accepted a transaction.
        self.leader: str | None = None
        #: The greatest term seen in answers.
        self.term = 0
        self._claims: dict[str, _LeaderClaim] = {}
        #: Who was last ordered to take the lead, and when.
        self._successor = ''
        self._successor_ordered_at = Millis(0)

    def record_acceptance(self, server_id: str, term: int) -> bool:
        """Take in that a backend server accepted a plain transaction.

        :param server_id: Its identity.
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
        """Take in that a backend server does not lead.

        :param server_id: Its identity.
        :param now: The time.
        :returns: Whether the leader changed.
        """
        self._claim(server_id).refused_at = now
        return self._clear_leader(server_id)

    def record_claim(self, server_id: str, now: Millis) -> None:
        """Take in that a backend server is said to lead.

        :param server_id: Its identity.
        :param now: The time.
        """
        self._claim(server_id).claimed_at = now

    def announce_successor(self, server_id: str, now: Millis) -> None:
        """Take in that a backend server was ordered to take the lead.

        :param server_id: Its identity.
        :param now: The time.
        """
        self._successor = server_id
        self._successor_ordered_at = now
        self.record_claim(server_id, now)

    def successor(self, now: Millis, within: Millis) -> str | None:
        """Return who was ordered to take the lead, and does not lead yet.

        :param now: The time.
        :param within: Longest time in ms since the order.
        :returns: The identity, or ``None`` if there was no order lately.
        """
        is_recent = now - self._successor_ordered_at <= within
        if not is_recent or self._successor in {'', self.leader}:
            return None
        return self._successor

    def withdraw_claim(self, server_id: str) -> None:
        """Take in that a backend server calls itself a replica.

        :param server_id: Its identity.
        """
        self._claim(server_id).claimed_at = -1

    def forget(self, server_id: str) -> bool:
        """Forget a backend server.

        :param server_id: Its identity.
        :returns: Whether the leader changed.
        """
        self._claims.pop(server_id, None)
        return self._clear_leader(server_id)

    def likely_leader(self) -> str | None:
        """Return the backend server to send writes to.

        :returns: The leader, or else the one that was last said to lead.
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
