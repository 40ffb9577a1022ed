"""Registries of implementations, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

from monsoonproxy.exceptions import MonsoonError

_Entry = TypeVar('_Entry')


class Registry(Generic[_Entry]):
    """Maps names to interchangeable implementations.

    :param kind: Kind of the entries, such as ``dialect``, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, _Entry] = {}

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers its argument.

        :param name: The name under which the entry is found.
        :returns: The decorator, which returns its argument unchanged.
        """

        def decorator(entry: _Entry) -> _Entry:
            self._entries[name] = entry
            return entry

        return decorator

    def get(self, name: str) -> _Entry:
        """Return the entry with a name.

        :param name: A registered name.
        :returns: The entry.
        :raises MonsoonError: If nothing is registered under that name.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ', '.join(self.names())
            raise MonsoonError(
                f'unknown {self._kind} {name!r}; known: {known}',
            ) from None

    def names(self) -> tuple[str, ...]:
        """Return all registered names.

        :returns: The names in alphabetical order.
        """
        return tuple(sorted(self._entries))
