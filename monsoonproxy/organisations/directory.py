"""Organisations, and which one a caller's key belongs to."""

import hashlib
from collections.abc import Iterable, Mapping

import attrs

#: Length of a digest of a key in bytes.
_DIGEST_BYTES = 16


@attrs.frozen
class Organisation:
    """An organisation whose callers use the databases.

    :param name: Name, which backend servers are told.
    :param rate: Operations per second of all its callers together; 0 if they
        are not limited.
    :param burst: Operations beyond the rate that may come at once.
    """

    name: str
    rate: float = 0
    burst: float = 0


def digest_key(key: bytes) -> bytes:
    """Return the digest that daemons keep and pass on instead of a key.

    Keys are random, so that the digest needs no salt against guesses.

    :param key: The caller's key.
    :returns: 16 bytes.
    """
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()


@attrs.frozen
class Directory:
    """The organisations of a configuration.

    :param organisations: Organisations by name.
    :param owners: Name of the organisation by keyed digest of the key. Callers
        don't know the secret, so the time of a look-up tells them nothing.
    :param secret: Secret of this process for the keyed digests.
    """

    organisations: Mapping[str, Organisation] = attrs.Factory(dict)
    owners: Mapping[bytes, str] = attrs.field(factory=dict, repr=False)
    secret: bytes = attrs.field(default=b'', repr=False)

    @classmethod
    def of(
        cls,
        organisations: Iterable[Organisation],
        keys: Mapping[bytes, str],
        secret: bytes,
    ) -> 'Directory':
        """Make the directory of a configuration.

        :param organisations: The organisations.
        :param keys: Name of the organisation by digest of the key, as
            :func:`digest_key` returns it.
        :param secret: Secret of this process.
        :returns: The directory.
        """
        return cls(
            {each.name: each for each in organisations},
            {_keyed(digest, secret): name for digest, name in keys.items()},
            secret,
        )

    def __bool__(self) -> bool:
        """Tell whether there are any organisations."""
        return bool(self.organisations)

    def identify(self, key: bytes) -> bytes:
        """Return what a session keeps of its caller's key.

        :param key: The caller's key.
        :returns: Its keyed digest, which is the same for all configurations
            within this process.
        """
        return _keyed(digest_key(key), self.secret)

    def owner(self, identity: bytes) -> str | None:
        """Return the organisation that holds a key.

        :param identity: What :meth:`identify` returned for the key.
        :returns: Its name, or ``None`` if the key is unknown.
        """
        return self.owners.get(identity)

    def share(self, name: str) -> float:
        """Return an organisation's share of the rates of all.

        :param name: Name of the organisation.
        :returns: The share, from 0 to 1; equal shares if none has a rate.
        """
        total = sum(each.rate for each in self.organisations.values())
        found = self.organisations.get(name)
        if not total or found is None:
            return 1 / max(1, len(self.organisations))
        return found.rate / total


def _keyed(digest: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(
        digest, key=secret, digest_size=_DIGEST_BYTES
    ).digest()
