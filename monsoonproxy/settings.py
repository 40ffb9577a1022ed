"""Loads the local settings of a daemon from a TOML file."""

import attrs

from monsoonproxy import fields, sources, structures
from monsoonproxy.exceptions import SettingsError

LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@attrs.frozen
class Settings:
    """Local settings that a daemon needs before it has a configuration."""

    peer_address: str = fields.address(
        'Where other daemons reach this one; its identity.'
    )
    availability_zone: str = fields.nonempty('The zone that the host is in.')
    platform_url: str = fields.nonempty("Base URL of the platform's service.")
    listen_address: str = fields.address(
        'Where callers connect.', default='127.0.0.1:3306'
    )
    metrics_address: str | None = fields.optional_address(
        'Where metrics are served; unset for nowhere.', default=None
    )
    platform: str = fields.nonempty(
        'Name of the platform adapter.', default='http'
    )
    seed_peers: tuple[str, ...] = fields.addresses(
        'Daemons to ask while the platform is down.', default=()
    )
    key_file: str | None = fields.nonempty(
        'Keys for tokens and peers, made by monsoonctl keys.', default=None
    )
    tls_certificate_file: str | None = fields.nonempty(
        'Certificate for callers; unset for no TLS.', default=None
    )
    tls_key_file: str | None = fields.nonempty(
        'Private key of the certificate.', default=None
    )
    log_format: str = fields.choice(
        ('text', 'json'), 'Form of log lines.', default='text'
    )
    log_level: str = fields.choice(
        LOG_LEVELS, 'Lowest level that is logged.', default='INFO'
    )


def load_settings(path: str) -> Settings:
    """Load a daemon's settings.

    :param path: Path of a TOML file.
    :returns: The settings.
    :raises SettingsError: If the file is invalid; the error names file, line
        and key.
    """
    try:
        return _build(sources.read_source(path))
    except sources.SourceError as exc:
        raise SettingsError(str(exc)) from exc


def _build(root: sources.Node) -> Settings:
    settings = structures.structure(root, Settings)
    if (settings.tls_certificate_file is None) != (
        settings.tls_key_file is None
    ):
        text = 'tls_certificate_file and tls_key_file must be set together'
        problem = sources.problem_at(root, ('tls_key_file',), text)
        raise sources.SourceError((problem,))
    addresses = [settings.peer_address, settings.listen_address]
    if settings.metrics_address is not None:
        addresses.append(settings.metrics_address)
    if len(set(addresses)) < len(addresses):
        text = 'peer, listen and metrics addresses must differ'
        problem = sources.problem_at(root, ('peer_address',), text)
        raise sources.SourceError((problem,))
    return settings
