"""Which backend server of a service leads, as a daemon believes."""

import attrs

from monsoonproxy.clock import Millis


@attrs.define
class _Claim:
    """What was heard about one backend server.

    :param said_at: When it was last said to lead.
    :param refused_at: When it last answered that it does not lead.
    """

    said_at: int = -1
    refused_at: int = -1

    @property
    def is_plausible(self) -> bool:
        return self.said_at >= 0 and self.said_at > self.refused_at


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
        self._claims: dict[str, _Claim] = {}
        #: Who was last ordered to take the lead, and when.
        self._successor = ''
        self._announced_at = Millis(0)

    def accepted(self, server_id: str, term: int) -> bool:
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

    def refused(self, server_id: str, now: Millis) -> bool:
        """Take in that a backend server does not lead.

        :param server_id: Its identity.
        :param now: The time.
        :returns: Whether the leader changed.
        """
        self._claim(server_id).refused_at = now
        return self._depose(server_id)

    def said(self, server_id: str, now: Millis) -> None:
        """Take in that a backend server is said to lead.

        :param server_id: Its identity.
        :param now: The time.
        """
        self._claim(server_id).said_at = now

    def announced(self, server_id: str, now: Millis) -> None:
        """Take in that a backend server was ordered to take the lead.

        :param server_id: Its identity.
        :param now: The time.
        """
        self._successor = server_id
        self._announced_at = now
        self.said(server_id, now)

    def successor(self, now: Millis, within: Millis) -> str | None:
        """Return who was ordered to take the lead, and does not lead yet.

        :param now: The time.
        :param within: Longest time in ms since the order.
        :returns: The identity, or ``None`` if there was no order lately.
        """
        is_recent = now - self._announced_at <= within
        if not is_recent or self._successor in {'', self.leader}:
            return None
        return self._successor

    def unsaid(self, server_id: str) -> None:
        """Take in that a backend server calls itself a replica.

        :param server_id: Its identity.
        """
        self._claim(server_id).said_at = -1

    def gone(self, server_id: str) -> bool:
        """Forget a backend server.

        :param server_id: Its identity.
        :returns: Whether the leader changed.
        """
        self._claims.pop(server_id, None)
        return self._depose(server_id)

    def believed(self) -> str | None:
        """Return the backend server to send writes to.

        :returns: The leader, or else the one that was last said to lead.
        """
        if self.leader is not None:
            return self.leader
        plausible = [
            (claim.said_at, name)
            for name, claim in self._claims.items()
            if claim.is_plausible
        ]
        return max(plausible)[1] if plausible else None

    def _claim(self, server_id: str) -> _Claim:
        return self._claims.setdefault(server_id, _Claim())

    def _depose(self, server_id: str) -> bool:
        if self.leader != server_id:
            return False
        self.leader = None
        return True
