"""Loads, validates, serializes and compares the configuration of a site.

A site's configuration is a base file with an overlay. The table ``defaults``
holds values for all services. An accepted configuration is stored and sent to
daemons as a JSON document with a version and a digest.
"""

import hashlib
import json
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from monsoonproxy import sources, structures
from monsoonproxy.declarations import (
    PRIMARY,
    Member,
    PlatformRules,
    Service,
    User,
)
from monsoonproxy.exceptions import ConfigurationError

_lenient_converter = structures.make_converter(forbid_extra_keys=False)


@attrs.frozen
class Change:
    """Who created a configuration version, and why.

    :param identity: Random id, so that documents of two operators have
        different digests even if their content is the same.
    :param operator: Name of the operator.
    :param comment: Reason for the change.
    :param time: Wall-clock time of the change in ms.
    """

    identity: str = ''
    operator: str = ''
    comment: str = ''
    time: int = 0


@attrs.frozen
class DocumentHeader:
    """Version and digest of a configuration document."""

    version: int
    digest: str


@attrs.frozen
class Configuration:
    """The configuration of a site.

    :param services: Services by name.
    :param users: Users by name.
    :param platform: Rules for all daemons.
    :param version: Version under which the configuration was accepted; 0
        until then.
    :param change: Who created this version, and why.
    """

    services: Mapping[str, Service] = attrs.Factory(dict)
    users: Mapping[str, User] = attrs.Factory(dict)
    platform: PlatformRules = attrs.Factory(PlatformRules)
    version: int = 0
    change: Change = attrs.Factory(Change)

    def to_document(self) -> bytes:
        """Serialize the configuration.

        :returns: JSON document with version and digest.
        """
        body = structures.strict_converter.unstructure(self)
        return _canonical({**body, 'digest': _digest(body)})

    @classmethod
    def from_document(cls, document: bytes) -> 'Configuration':
        """Parse and validate a configuration document.

        Unknown keys are ignored, so that daemons accept the documents of a
        newer ``monsoonctl`` during an upgrade.

        :param document: What :meth:`to_document` returned.
        :returns: The configuration.
        :raises ConfigurationError: If the document is damaged or its values
            are invalid.
        """
        read_header(document)
        try:
            cfg = _lenient_converter.structure(json.loads(document), cls)
        except Exception as exc:
            raise ConfigurationError(
                f'invalid configuration document: {exc}'
            ) from exc
        problems = [text for _path, text in find_conflicts(cfg)]
        if problems:
            raise ConfigurationError(
                'invalid configuration document: {0}'.format(problems[0])
            )
        return cfg

    def warnings(self) -> list[str]:
        """Return warnings about valid but inadvisable values.

        :returns: One line per warning.
        """
        return [
            f'services.{name}: {len(service.members)} members: an even number'
            ' survives no more failures than one member less'
            for name, service in self.services.items()
            if len(service.members) % 2 == 0
        ]


def read_header(document: bytes) -> DocumentHeader:
    """Verify the digest of a configuration document.

    :param document: JSON with version and digest.
    :returns: Version and digest.
    :raises ConfigurationError: If the document is not JSON, has no version or
        does not match its digest.
    """
    try:
        body = json.loads(document)
    except (ValueError, RecursionError) as exc:
        raise ConfigurationError(
            f'the configuration document is not JSON: {exc}'
        ) from exc
    if not isinstance(body, dict) or not isinstance(body.get('version'), int):
        raise ConfigurationError(
            'the configuration document has no integer version'
        )
    digest = body.pop('digest', None)
    if digest != _digest(body):
        raise ConfigurationError(
            'the digest does not match the content of the configuration'
            ' document'
        )
    return DocumentHeader(body['version'], digest)


def load(
    base: str,
    overlay: str | None = None,
    fencing: Mapping[str, bool] | None = None,
) -> Configuration:
    """Load and validate a configuration from TOML files.

    :param base: Path of the base file.
    :param overlay: Path of the site's overlay.
    :param fencing: For each known database adapter, by name, whether it can
        refuse lower terms; ``None`` skips the check of the adapters.
    :returns: The configuration, with version 0.
    :raises ConfigurationError: If a file is invalid. The error's cause is a
        :class:`~monsoonproxy.sources.SourceError` with all problems.
    """
    try:
        return _build(_read_merged(base, overlay), fencing)
    except sources.SourceError as exc:
        raise ConfigurationError(str(exc)) from exc


def _read_merged(base: str, overlay: str | None) -> sources.Node:
    root = sources.read_source(base)
    if overlay is not None:
        root = sources.merge(root, sources.read_source(overlay))
    return root


def _build(
    root: sources.Node, fencing: Mapping[str, bool] | None
) -> Configuration:
    root = _apply_defaults(_fill_names(root))
    reserved = [
        sources.problem_at(root, (key,), 'unknown key')
        for key in ('version', 'change')
        if key in root.content
    ]
    if reserved:
        raise sources.SourceError(tuple(reserved))
    cfg = structures.structure(root, Configuration)
    texts = [*find_conflicts(cfg), *_adapter_problems(cfg, fencing)]
    problems = tuple(
        sources.problem_at(root, path, text) for path, text in texts
    )
    if problems:
        raise sources.SourceError(problems)
    return cfg


def _fill_names(root: sources.Node) -> sources.Node:
    """Set the field ``name`` of services and users from their table key."""
    tables = dict(root.content)
    for key in ('services', 'users'):
        if key in tables and isinstance(tables[key].content, dict):
            tables[key] = sources.Node(
                {
                    name: _with_name(name, node)
                    for name, node in tables[key].content.items()
                },
                tables[key].location,
            )
    return sources.Node(tables, root.location)


def _with_name(name: str, node: sources.Node) -> sources.Node:
    if not isinstance(node.content, dict) or 'name' in node.content:
        return node
    named = {'name': sources.Node(name, node.location), **node.content}
    return sources.Node(named, node.location)


def _apply_defaults(root: sources.Node) -> sources.Node:
    """Fill values that a service does not set from table ``defaults``."""
    tables = dict(root.content)
    defaults = tables.pop('defaults', None)
    services = tables.get('services')
    if defaults is None or services is None:
        return sources.Node(tables, root.location)
    if isinstance(services.content, dict):
        filled = {
            name: sources.Node(
                sources.merge(defaults, node).content, node.location
            )
            for name, node in services.content.items()
        }
        tables['services'] = sources.Node(filled, services.location)
    return sources.Node(tables, root.location)


def find_conflicts(
    cfg: Configuration,
) -> Iterator[tuple[sources.Path, str]]:
    """Find values that are valid alone but conflict with other values.

    :param cfg: A configuration whose single values are in range.
    :returns: Path and description of each conflict.
    """
    for key, service in cfg.services.items():
        for path, text in _service_conflicts(service):
            yield ('services', key, *path), text
        if key != service.name:
            yield ('services', key, 'name'), f'must equal the key {key!r}'
    for name, user in cfg.users.items():
        for path, text in _user_conflicts(user, cfg.services):
            yield ('users', name, *path), text
        if name != user.name:
            yield ('users', name, 'name'), f'must equal the key {name!r}'


def _user_conflicts(
    user: User, services: Mapping[str, Service]
) -> Iterator[tuple[sources.Path, str]]:
    for index, service in enumerate(user.services):
        if service not in services:
            yield ('services', index), f'unknown service {service!r}'


def _adapter_problems(
    cfg: Configuration, fencing: Mapping[str, bool] | None
) -> Iterator[tuple[sources.Path, str]]:
    if fencing is None:
        return
    for name, service in cfg.services.items():
        path = ('services', name, 'database')
        if service.database not in fencing:
            known = ', '.join(sorted(fencing))
            yield path, f'unknown adapter; known: {known}'
        elif not fencing[service.database] and not service.accept_loss:
            yield path, "can't refuse lower terms; needs accept_loss = true"


def _service_conflicts(
    service: Service,
) -> Iterator[tuple[sources.Path, str]]:
    loss_possible = service.acknowledge == PRIMARY
    if loss_possible and not service.accept_loss:
        yield ('acknowledge',), '"primary" needs accept_loss = true'
    if service.refused_detection > service.silence_detection:
        yield ('refused_detection',), 'must not exceed silence_detection'
    if service.isolation_detection < service.silence_detection:
        yield ('isolation_detection',), 'must not be below silence_detection'
    if service.connection_limit // (service.holders + 1) < 1:
        text = 'leaves no connection for a holder; it must exceed holders'
        yield ('connection_limit',), text
    if not service.members:
        yield ('members',), 'must not be empty'
    if not service.classes:
        yield ('classes',), 'must not be empty'
    yield from _member_conflicts(service.members)


def _member_conflicts(
    members: tuple[Member, ...],
) -> Iterator[tuple[sources.Path, str]]:
    for key in ('name', 'address'):
        values = [getattr(member, key) for member in members]
        counts = Counter(values)
        for index, value in enumerate(values):
            if counts[value] > 1:
                yield ('members', index, key), f'duplicate {key} {value!r}'


def diff(old: Configuration, new: Configuration) -> list[str]:
    """Compare two configurations.

    :param old: The earlier configuration.
    :param new: The later configuration.
    :returns: Lines that start with ``+`` (added), ``-`` (removed) or ``~``
        (changed); none if all values are equal. Password hashes are hidden.
    """
    before = dict(_flatten(old))
    after = dict(_flatten(new))
    return [
        _diff_line(key, before, after)
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def show(cfg: Configuration) -> list[str]:
    """Render a configuration as text for operators.

    :param cfg: The configuration.
    :returns: Lines of the form ``key = value``, without password hashes.
    """
    values = dict(_flatten(cfg))
    return [f'{key} = {_format_value(key, values)}' for key in sorted(values)]


def _diff_line(
    key: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> str:
    old = _format_value(key, before)
    new = _format_value(key, after)
    if key not in before:
        return f'+ {key} = {new}'
    if key not in after:
        return f'- {key} = {old}'
    return f'~ {key}: {old} -> {new}'


def _format_value(key: str, values: Mapping[str, Any]) -> str:
    if key.endswith('.password_hash'):
        return '(hidden)'
    return json.dumps(values.get(key), ensure_ascii=False)


def _flatten(cfg: Configuration) -> Iterator[tuple[str, Any]]:
    body = redacted(cfg, hide=False)
    for key in ('services', 'users', 'platform'):
        yield from _flatten_content(key, body[key])


def _flatten_content(key: str, content: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(content, Mapping):
        for name, value in content.items():
            yield from _flatten_content(f'{key}.{name}', value)
    elif key.endswith('.members'):
        for member in content:
            yield from _flatten_content(f'{key}.{member["name"]}', member)
    else:
        yield key, content


def redacted(cfg: Configuration, *, hide: bool = True) -> dict[str, Any]:
    """Return a configuration as plain data, without password hashes.

    :param cfg: The configuration.
    :param hide: Whether password hashes are replaced by ``(hidden)``.
    :returns: Dictionaries, lists and scalars.
    """
    body = structures.strict_converter.unstructure(cfg)
    users: Iterable[dict[str, Any]] = body['users'].values()
    for user in users:
        if hide:
            user['password_hash'] = '(hidden)'
    return body


def _digest(body: Mapping[str, Any]) -> str:
    return hashlib.blake2b(_canonical(body), digest_size=32).hexdigest()


def _canonical(body: Mapping[str, Any]) -> bytes:
    return json.dumps(body, sort_keys=True, separators=(',', ':')).encode()
