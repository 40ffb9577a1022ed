"""Loads the credentials, keys and certificates that the settings name."""

import os
import pathlib
import ssl

from monsoonproxy import keys
from monsoonproxy.backends import Credentials
from monsoonproxy.clock import Clock
from monsoonproxy.exceptions import ConfigurationError, SettingsError
from monsoonproxy.logs import log_for
from monsoonproxy.settings import Settings

_log = log_for('credentials')


def read_credentials(reference: str) -> Credentials:
    """Read the credentials for backend servers.

    :param reference: ``env:NAME`` for an environment variable or
        ``file:/PATH`` for a file; either contains ``user:password``.
    :returns: User name and password.
    :raises ConfigurationError: If the variable is not set or the file can't be
        read.
    """
    kind, location = reference.split(':', 1)
    try:
        text = (
            os.environ[location]
            if kind == 'env'
            else pathlib.Path(location).read_text()
        )
    except (KeyError, OSError):
        raise ConfigurationError(f'{reference} can not be read') from None
    login = text.strip().split(':', 1)
    return Credentials(login[0], ''.join(login[1:]))


def key_ring(settings: Settings, clock: Clock) -> keys.KeyRing:
    """Read the key file, or create a token key for this daemon alone.

    Without a key file, connections to peers are not encrypted.

    :param settings: The daemon's settings.
    :param clock: Source of the wall-clock time.
    :returns: The keys.
    :raises SettingsError: If the file is not valid.
    """
    if settings.key_file is not None:
        return keys.load(settings.key_file)
    _log.warning(
        'No key_file is set; session tokens of this daemon are not valid'
        ' on its peers or after a restart'
    )
    ring = keys.create(clock.wall())
    return keys.KeyRing(ring.tokens)


def tls_context(settings: Settings) -> ssl.SSLContext | None:
    """Load the certificate for TLS connections from callers.

    :param settings: The daemon's settings.
    :returns: The TLS context, or ``None`` if no certificate is configured.
    :raises SettingsError: If the certificate or its key can't be loaded.
    """
    if settings.tls_certificate_file is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(
            settings.tls_certificate_file, settings.tls_key_file
        )
    except OSError as exc:
        raise SettingsError(f'{settings.tls_certificate_file}: {exc}') from exc
    return context
