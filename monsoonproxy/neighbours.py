"""The other daemons that a daemon knows."""

import random
from collections.abc import Iterable

import attrs

from monsoonproxy.clock import Millis
from monsoonproxy.notices import Presence

#: Time in ms after which a daemon that was not heard is taken for gone. Each
#: daemon is heard every 2 to 4 s on average, and datagrams are lost.
SILENCE = Millis(10_000)


@attrs.define
class Neighbour:
    """Another daemon.

    :param name: Its name.
    :param address: Where it takes notices.
    :param started: When it started, in ms since the Unix epoch.
    :param heard_at: When it was last heard, or ``None``.
    :param version: Version of the configuration that it has.
    :param leaving: Whether it is about to stop.
    """

    name: str
    address: str
    started: int = 0
    heard_at: Millis | None = None
    version: int = 0
    leaving: bool = False


class Neighbours:
    """Keeps the list of daemons.

    :param own: Name of this daemon.
    :param rng: Source of the choice of receivers.
    """

    def __init__(self, own: str, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._known: dict[str, Neighbour] = {}

    def __len__(self) -> int:
        """Return the number of known daemons, without this one.

        :returns: The number.
        """
        return len(self._known)

    def add(self, name: str, address: str) -> None:
        """Add a daemon that the store lists.

        :param name: Its name.
        :param address: Where it takes notices.
        """
        if name != self._own and name not in self._known:
            self._known[name] = Neighbour(name, address)

    def get(self, name: str) -> Neighbour | None:
        """Return a daemon.

        :param name: Its name.
        :returns: The daemon, if it is known.
        """
        return self._known.get(name)

    def heard(self, presence: Presence, now: Millis) -> bool:
        """Take in a presence.

        :param presence: The notice.
        :param now: The time.
        :returns: Whether the daemon is new, or has started again.
        """
        if presence.sender == self._own:
            return False
        known = self._known.get(presence.sender)
        if known is None:
            known = Neighbour(presence.sender, presence.address)
            self._known[presence.sender] = known
        if presence.started < known.started:
            return False
        is_new = known.heard_at is None or known.started < presence.started
        known.address = presence.address
        known.started = presence.started
        known.version = presence.version
        known.leaving = presence.leaving
        known.heard_at = now
        return is_new

    def alive(self, now: Millis) -> tuple[Neighbour, ...]:
        """Return the daemons that were heard lately.

        :param now: The time.
        :returns: The daemons.
        """
        return tuple(
            known
            for known in self._known.values()
            if known.heard_at is not None and now - known.heard_at < SILENCE
        )

    def some(self, most: int, now: Millis) -> tuple[Neighbour, ...]:
        """Choose receivers of a notice.

        Now and then one that was not heard lately is chosen too, since its
        own notices may not get through.

        :param most: How many.
        :param now: The time.
        :returns: The daemons.
        """
        alive = self.alive(now)
        chosen = self._sample(alive, most)
        names = {known.name for known in alive}
        rest = [known for known in self._known.values() if known.name not in names]
        return (*chosen, *self._sample(rest, 1))

    def all(self) -> tuple[Neighbour, ...]:
        """Return all known daemons.

        :returns: The daemons.
        """
        return tuple(self._known.values())

    def _sample(
        self, known: Iterable[Neighbour], most: int
    ) -> tuple[Neighbour, ...]:
        pool = list(known)
        if len(pool) <= most:
            return tuple(pool)
        return tuple(self._rng.sample(pool, most))
