"""Reads and merges TOML files, keeping the source line of each value.

The parser of the standard library reports no line numbers for values, so that
the text is scanned a second time for tables and keys.
"""

import pathlib
import re
import tomllib
from collections.abc import Iterator
from typing import Any, TypeAlias

import attrs

from monsoonproxy.exceptions import MonsoonError

Path: TypeAlias = tuple[str | int, ...]

_KEY_PART = re.compile(r'\s*(?:"([^"]*)"|\'([^\']*)\'|([\w-]+))\s*(?:\.|$)')
_HEADER = re.compile(r'\s*(\[\[?)([^\]]+)\]\]?\s*(?:#.*)?$')
_ASSIGNMENT = re.compile(r'\s*((?:"[^"]*"|\'[^\']*\'|[\w.\s-])+?)\s*=(.*)$')
_TOKEN = re.compile(
    r'"""(?:\\.|[^\\])*?"""|\'\'\'.*?\'\'\'|(?P<open>"""|\'\'\')'
    r'|"(?:\\.|[^"\\\n])*"|\'[^\'\n]*\'|#[^\n]*',
    re.DOTALL,
)
_TOML_LINE = re.compile(r'line (\d+)')
_REMOVE = 'remove'


@attrs.frozen
class Location:
    """A line of a file, counted from 1; 0 if the file could not be read."""

    file: str
    line: int


@attrs.frozen
class Problem:
    """An invalid value or key in a file.

    :param location: Source line of the value.
    :param key: Dotted key of the value; ``-`` for the whole file.
    :param text: Description of the problem.
    """

    location: Location
    key: str
    text: str

    def __str__(self) -> str:
        """Return the problem as one line.

        :returns: File, line, key and text.
        """
        location = self.location
        return f'{location.file}:{location.line}: {self.key}: {self.text}'


class SourceError(MonsoonError):
    """A file is unreadable, is not TOML or has invalid values.

    :param problems: All problems that were found.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__('\n'.join(map(str, problems)))
        self.problems = problems


@attrs.frozen
class Node:
    """A TOML value with its source location.

    :param content: A scalar, a list of nodes or a dictionary of nodes.
    :param location: Source line of the value.
    """

    content: Any
    location: Location


def read_source(path: str) -> Node:
    """Read a TOML file.

    :param path: Path of the file.
    :returns: The root table.
    :raises SourceError: If the file can't be read or is not TOML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise SourceError((Problem(Location(path, 0), '-', str(exc)),)) from exc
    return parse_source(text, path)


def parse_source(text: str, file: str) -> Node:
    """Parse TOML text.

    :param text: Content of the file.
    :param file: Name of the file for error messages.
    :returns: The root table.
    :raises SourceError: If the text is not TOML.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        match = _TOML_LINE.search(str(exc))
        line = int(match[1]) if match else text.count('\n') + 1
        problem = Problem(Location(file, line), '-', str(exc))
        raise SourceError((problem,)) from exc
    return _with_locations(table, (), scan_lines(text), Location(file, 1))


def scan_lines(text: str) -> dict[Path, int]:
    """Find the source line of each table and key.

    A value that spans several lines has the number of its first line.

    :param text: Valid TOML text.
    :returns: Line numbers, counted from 1, by path.
    """
    lines: dict[Path, int] = {}
    arrays: dict[Path, int] = {}
    table: Path = ()
    for line, statement in _statements(text):
        header = _HEADER.match(statement)
        assignment = _ASSIGNMENT.match(statement)
        if header:
            is_array = header[1] == '[['
            table = _header_path(
                _split_key(header[2]), arrays, is_array=is_array
            )
            lines.setdefault(table, line)
        elif assignment:
            lines[table + _split_key(assignment[1])] = line
    return lines


def _statements(text: str) -> Iterator[tuple[int, str]]:
    """Yield the number and text of the first line of each statement."""
    pending = ''
    start = 0
    for line, content in enumerate(text.splitlines(), 1):
        start = start if pending else line
        pending = f'{pending}{content}\n'
        if _is_complete(pending):
            yield start, pending.split('\n', 1)[0]
            pending = ''


def _is_complete(statement: str) -> bool:
    """Return whether all strings, brackets and braces are closed."""
    if _HEADER.match(statement):
        return True
    if any(token['open'] for token in _TOKEN.finditer(statement)):
        return False
    bare = _TOKEN.sub('', statement)
    opened = bare.count('[') + bare.count('{')
    return opened <= bare.count(']') + bare.count('}')


def _split_key(text: str) -> Path:
    parts = _KEY_PART.findall(text.strip())
    return tuple(''.join(part) for part in parts)


def _header_path(key: Path, arrays: dict[Path, int], *, is_array: bool) -> Path:
    path: Path = ()
    for part in key[:-1]:
        path += (part,)
        index = arrays.get(path)
        path += () if index is None else (index,)
    path += key[-1:]
    if is_array:
        arrays[path] = arrays.get(path, -1) + 1
        path += (arrays[path],)
    return path


def _with_locations(
    content: Any, path: Path, lines: dict[Path, int], parent: Location
) -> Node:
    location = Location(parent.file, lines.get(path, parent.line))
    if isinstance(content, dict):
        table = {
            key: _with_locations(value, (*path, key), lines, location)
            for key, value in content.items()
        }
        return Node(table, location)
    if isinstance(content, list):
        nodes = [
            _with_locations(value, (*path, index), lines, location)
            for index, value in enumerate(content)
        ]
        return Node(nodes, location)
    return Node(content, location)


def merge(base: Node, overlay: Node) -> Node:
    """Merge an overlay into a base.

    Tables are merged by key, and lists of tables by the value of ``name``.
    Other values of the overlay, empty lists included, replace those of the
    base. An overlay table with ``remove = true`` removes the base table of the
    same key or name.

    :param base: Node of the base file.
    :param overlay: Node of the overlay file.
    :returns: The merged node.
    :raises SourceError: If the overlay removes a table that the base doesn't
        have, or ``remove`` is not ``true``.
    """
    if isinstance(base.content, dict) and isinstance(overlay.content, dict):
        merged = _merge_tables(base.content, overlay.content)
        return Node(merged, base.location)
    named_base = _by_name(base)
    named_overlay = _by_name(overlay)
    if named_base is None or named_overlay is None:
        return overlay
    merged = _merge_tables(named_base, named_overlay)
    return Node(list(merged.values()), overlay.location)


def _by_name(node: Node) -> dict[str, Node] | None:
    """Return list items by name; ``None`` unless all have unique names."""
    if not isinstance(node.content, list) or not node.content:
        return None
    named = {}
    for item in node.content:
        name = _get_name(item)
        if name is None or name in named:
            return None
        named[name] = item
    return named


def _get_name(item: Node) -> str | None:
    if not _is_table(item) or 'name' not in item.content:
        return None
    return item.content['name'].content


def _merge_tables(
    base: dict[str, Node], overlay: dict[str, Node]
) -> dict[str, Node]:
    merged = dict(base)
    for key, node in overlay.items():
        if _is_table(node) and _REMOVE in node.content:
            _remove(merged, key, node)
        else:
            existing = merged.get(key)
            merged[key] = node if existing is None else merge(existing, node)
    return merged


def _remove(merged: dict[str, Node], key: str, node: Node) -> None:
    flag = node.content[_REMOVE]
    if flag.content is not True:
        text = 'the only accepted value is true'
        raise SourceError((Problem(flag.location, f'{key}.{_REMOVE}', text),))
    if merged.pop(key, None) is None:
        text = 'nothing of this name to remove'
        raise SourceError((Problem(flag.location, f'{key}.{_REMOVE}', text),))


def _is_table(node: Node) -> bool:
    return isinstance(node.content, dict)


def strip_locations(node: Node) -> Any:
    """Return the plain value of a node, without locations.

    :param node: The node.
    :returns: Plain dictionaries, lists and scalars.
    """
    if isinstance(node.content, dict):
        return {
            key: strip_locations(value) for key, value in node.content.items()
        }
    if isinstance(node.content, list):
        return [strip_locations(value) for value in node.content]
    return node.content


def problem_at(node: Node, path: Path, text: str) -> Problem:
    """Create a problem with the source location of a path.

    :param node: The root table.
    :param path: Path of the value. If it does not exist, the location is that
        of its deepest existing part.
    :param text: Description of the problem.
    :returns: The problem.
    """
    deepest = node
    for part in path:
        try:
            deepest = deepest.content[part]
        except (KeyError, IndexError, TypeError):
            break
    return Problem(deepest.location, '.'.join(map(str, path)) or '-', text)
