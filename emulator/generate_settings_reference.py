"""Writes the settings reference ``docs/settings.md``.

``python -m emulator.generate_settings_reference``
"""

import pathlib
from collections.abc import Iterator
from typing import Any

import attrs

from monsoonproxy import declarations, settings

REFERENCE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
_SECTIONS: tuple[tuple[str, type, str], ...] = (
    (
        '`[services.NAME]` and `[defaults]`',
        declarations.Service,
        'A service. Values in `[defaults]` apply to all services.',
    ),
    (
        '`[[services.NAME.members]]`',
        declarations.Member,
        'A backend server. Members of base and overlay merge by name; an'
        ' overlay removes one with `remove = true`.',
    ),
    (
        '`[services.NAME.classes.CLASS]`',
        declarations.ClassRule,
        'Rules for one weight class of requests.',
    ),
    ('`[users.NAME]`', declarations.User, 'A user name of callers.'),
    ('`[platform]`', declarations.PlatformRules, 'Rules for all daemons.'),
    (
        '`[platform.membership]`',
        declarations.MembershipRules,
        'Rules for judging hosts.',
    ),
    (
        '`[platform.spread]`',
        declarations.SpreadRules,
        'Rules for spreading configuration versions.',
    ),
)


def reference() -> str:
    """Return the settings reference.

    :returns: Markdown.
    """
    return '\n'.join(_lines())


def _lines() -> Iterator[str]:
    yield '# Settings'
    yield ''
    yield 'This page is generated from the classes of the package by'
    yield '`python -m emulator.generate_settings_reference`.'
    yield ''
    yield '## Configuration of a site (base file and overlay)'
    yield ''
    for title, kind, text in _SECTIONS:
        yield from _section(f'### {title}', kind, text)
    yield from _section(
        '## Settings of a daemon',
        settings.Settings,
        'The file that `monsoonproxyd` reads.',
    )


def _section(title: str, kind: Any, text: str) -> Iterator[str]:
    yield title
    yield ''
    yield text
    yield ''
    yield '| key | accepted | default | meaning |'
    yield '|---|---|---|---|'
    for field in attrs.fields(kind):
        about = field.metadata
        cells = (
            f'`{field.name}`',
            about['allowed'],
            _default(field.default),
            about['text'],
        )
        yield '| {0} |'.format(' | '.join(cells))
    yield ''


def _default(default: Any) -> str:
    if default is attrs.NOTHING:
        return 'required'
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return 'see its table'
    if default is None or isinstance(default, tuple):
        return 'unset'
    if isinstance(default, bool):
        return str(default).lower()
    return f'`{default}`'


def main() -> None:
    """Write the reference."""
    REFERENCE.write_text(reference())


if __name__ == '__main__':
    main()
