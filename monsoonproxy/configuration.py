"""The configuration of a site: loading, checks, documents and differences.

A site's configuration is a base file with an overlay. The table ``defaults``
holds values for all services. An accepted configuration travels as a JSON
document with a version and a digest.
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
    """Who made a version, and why.

    :param identity: Random id; it makes the digests of two operators differ
        even if they write the same content.
    :param operator: Name of the operator.
    :param comment: Why.
    :param time: Wall-clock time in ms.
    """

    identity: str = ''
    operator: str = ''
    comment: str = ''
    time: int = 0


@attrs.frozen
class DocumentHeader:
    """Version and digest of a document."""

    version: int
    digest: str


@attrs.frozen
class Configuration:
    """The configuration of a site.

    :param services: Services by name.
    :param users: Users by name.
    :param platform: Rules for all daemons.
    :param version: Version under which it was accepted; 0 if it wasn't yet.
    :param change: Who made it.
    """

    services: Mapping[str, Service] = attrs.Factory(dict)
    users: Mapping[str, User] = attrs.Factory(dict)
    platform: PlatformRules = attrs.Factory(PlatformRules)
    version: int = 0
    change: Change = attrs.Factory(Change)

    def to_document(self) -> bytes:
        """Return the configuration as a document.

        :returns: JSON with version and digest.
        """
        body = structures.strict_converter.unstructure(self)
        return _canonical({**body, 'digest': _digest(body)})

    @classmethod
    def from_document(cls, document: bytes) -> 'Configuration':
        """Read a document.

        Unknown keys are ignored, so that daemons accept the documents of a
        newer ``monsoonctl`` during an upgrade.

        :param document: What :meth:`to_document` returned.
        :returns: The configuration.
        :raises ConfigurationError: If the document is damaged or wrong.
        """
        read_header(document)
        try:
            cfg = _lenient_converter.structure(json.loads(document), cls)
        except Exception as exc:
            raise ConfigurationError(f'wrong document: {exc}') from exc
        problems = [text for _path, text in find_conflicts(cfg)]
        if problems:
            raise ConfigurationError('wrong document: {0}'.format(problems[0]))
        return cfg

    def warnings(self) -> list[str]:
        """Return what is allowed but unwise.

        :returns: One line each.
        """
        return [
            f'services.{name}: {len(service.members)} members: an even number'
            ' survives no more failures than one member less'
            for name, service in self.services.items()
            if len(service.members) % 2 == 0
        ]


def read_header(document: bytes) -> DocumentHeader:
    """Check the digest of a document.

    :param document: JSON with version and digest.
    :returns: Version and digest.
    :raises ConfigurationError: If the document is damaged.
    """
    try:
        body = json.loads(document)
    except ValueError as exc:
        raise ConfigurationError(f'the document is not JSON: {exc}') from exc
    if not isinstance(body, dict) or not isinstance(body.get('version'), int):
        raise ConfigurationError('the document has no version')
    digest = body.pop('digest', None)
    if digest != _digest(body):
        raise ConfigurationError('the digest does not match the document')
    return DocumentHeader(body['version'], digest)


def load(
    base: str,
    overlay: str | None = None,
    fencing: Mapping[str, bool] | None = None,
) -> Configuration:
    """Load a configuration from files.

    :param base: Path of the base file.
    :param overlay: Path of the site's overlay.
    :param fencing: Whether the known database adapters can refuse lower terms,
        by name; ``None`` if the adapters are not to be checked.
    :returns: The configuration, with version 0.
    :raises ConfigurationError: If a file is wrong. The error's cause is a
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
    """Turn the keys of services and users into their names."""
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
    """Find values that contradict each other.

    :param cfg: A configuration whose single values are in range.
    :returns: sources.Path and text of each contradiction.
    """
    for key, service in cfg.services.items():
        for path, text in _service_conflicts(service):
            yield ('services', key, *path), text
        if key != service.name:
            yield ('services', key, 'name'), 'differs from the key'
    for name, user in cfg.users.items():
        for path, text in _user_conflicts(user, cfg.services):
            yield ('users', name, *path), text
        if name != user.name:
            yield ('users', name, 'name'), 'differs from the key'


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

    :param old: The earlier one.
    :param new: The later one.
    :returns: Lines that start with ``+``, ``-`` or ``~``; none if both hold
        the same values. Password hashes are not shown.
    """
    before = dict(_flatten(old))
    after = dict(_flatten(new))
    return [
        _diff_line(key, before, after)
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def show(cfg: Configuration) -> list[str]:
    """Render a configuration for people.

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
    """Return plain data for display.

    :param cfg: A configuration.
    :param hide: Whether password hashes are replaced.
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
