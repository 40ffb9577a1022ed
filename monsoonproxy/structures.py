"""Builds attrs objects from TOML tables and JSON documents.

Types are checked strictly, and each error is mapped to the path of its value.
"""

from collections.abc import Iterator, Mapping
from types import GenericAlias
from typing import Any, TypeVar, cast, get_args, get_origin

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from monsoonproxy.fields import FieldError
from monsoonproxy.sources import (
    Node,
    Path,
    SourceError,
    problem_at,
    strip_locations,
)

_Class = TypeVar('_Class')


def structure(node: Node, kind: type[_Class]) -> _Class:
    """Build an attrs object from a TOML table.

    :param node: The table.
    :param kind: Attrs class of the object.
    :returns: The object.
    :raises SourceError: If a key is unknown or missing, or a value is invalid;
        the error lists all problems with their source lines.
    """
    try:
        return strict_converter.structure(strip_locations(node), kind)
    except Exception as exc:
        problems = tuple(
            problem_at(node, path, text) for path, text in _explain(exc, ())
        )
        raise SourceError(problems) from exc


def make_converter(*, forbid_extra_keys: bool) -> cattrs.Converter:
    """Return a converter that rejects scalars of another type.

    :param forbid_extra_keys: Whether an unknown key is an error.
    :returns: The converter.
    """
    converter = cattrs.Converter()
    for scalar in (int, str, bool, float):
        converter.register_structure_hook(scalar, _structure_scalar)

    def class_hook(kind: Any) -> Any:
        structure_attrs = make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=forbid_extra_keys
        )

        def checked_hook(value: Any, target: Any) -> Any:
            if not isinstance(value, Mapping):
                raise TypeError('must be a table')
            return structure_attrs(value, target)

        return checked_hook

    def tuple_hook(value: Any, target: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError('must be a list')
        item = get_args(target)[0]
        return tuple(
            converter.structure(value, cast(Any, GenericAlias(list, (item,))))
        )

    converter.register_structure_hook_factory(attrs.has, class_hook)
    converter.register_structure_hook_func(
        lambda kind: get_origin(kind) is tuple, tuple_hook
    )
    return converter


def _structure_scalar(value: Any, target: Any) -> Any:
    # bool is a subclass of int, but true and false are not valid numbers.
    is_bool = isinstance(value, bool)
    accepted = (int, float) if target is float else target
    if isinstance(value, accepted) and is_bool == (target is bool):
        return target(value)
    names = {int: 'an integer', str: 'a string', bool: 'true or false'}
    raise TypeError('must be {0}'.format(names.get(target, 'a number')))


def _explain(exc: BaseException, path: Path) -> Iterator[tuple[Path, str]]:
    """Yield path and description of each error in a cattrs error tree."""
    if isinstance(exc, cattrs.BaseValidationError):
        yield from _explain_all(exc, path)
    elif isinstance(exc, cattrs.ForbiddenExtraKeysError):
        for name in sorted(exc.extra_fields):
            yield (*path, name), 'unknown key'
    else:
        yield _explain_one(exc, path)


def _explain_all(
    group: cattrs.BaseValidationError, path: Path
) -> Iterator[tuple[Path, str]]:
    for exc in group.exceptions:
        yield from _explain(exc, path + _noted_path(exc))


def _explain_one(exc: BaseException, path: Path) -> tuple[Path, str]:
    if isinstance(exc, KeyError):
        return path, 'missing'
    if isinstance(exc, FieldError):
        return (*path, exc.key), str(exc)
    return path, str(exc)


def _noted_path(exc: BaseException) -> Path:
    """Return the attribute name or list index that cattrs noted on an error."""
    for note in getattr(exc, '__notes__', ()):
        part = getattr(note, 'name', getattr(note, 'index', None))
        if part is not None:
            return (part,)
    return ()


strict_converter = make_converter(forbid_extra_keys=True)
