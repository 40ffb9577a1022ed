"""Validated attrs fields for settings and configuration classes.

Each field holds its accepted values and a description as metadata, from which
the settings reference is generated.
"""

import ipaddress
import re
from collections.abc import Callable
from typing import Any, TypeAlias

import attrs

Check: TypeAlias = Callable[[Any], str | None]

_REFERENCE = re.compile(r'(env:[A-Za-z_]\w*|file:/\S+)')
_HEX_HASH = re.compile(r'[0-9a-f]{40}')


class FieldError(ValueError):
    """The value of a field is not accepted.

    :param key: Name of the field.
    :param text: Description of the problem.
    """

    def __init__(self, key: str, text: str) -> None:
        super().__init__(text)
        self.key = key


def checked_field(check: Check, text: str, allowed: str, **options: Any) -> Any:
    """Return an attrs field with a validator and metadata.

    :param check: Returns an error text for a value, or ``None`` if the value
        is valid.
    :param text: Description for the settings reference.
    :param allowed: Description of the accepted values.
    :param options: Options of :func:`attrs.field`, such as ``default``.
    :returns: The field.
    """

    def validator(_owner: Any, field: Any, value: Any) -> None:
        error = check(value)
        if error is not None:
            raise FieldError(field.name, error)

    metadata = {'text': text, 'allowed': allowed}
    return attrs.field(validator=validator, metadata=metadata, **options)


def number(low: float, high: float, text: str, **options: Any) -> Any:
    """Return a field for a number in a range.

    :param low: Lowest accepted value.
    :param high: Highest accepted value.
    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """

    def check(value: float) -> str | None:
        if low <= value <= high:
            return None
        return f'{value} is out of range {low} to {high}'

    return checked_field(check, text, f'{low} to {high}', **options)


def choice(names: tuple[str, ...], text: str, **options: Any) -> Any:
    """Return a field for a string from a fixed set.

    :param names: Accepted values.
    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """
    listed = ', '.join(names)

    def check(value: str) -> str | None:
        return None if value in names else f'{value!r} is not one of: {listed}'

    return checked_field(check, text, f'one of: {listed}', **options)


def address(text: str, **options: Any) -> Any:
    """Return a field for an ``ip:port`` address.

    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """
    return checked_field(_check_address, text, 'ip:port', **options)


def optional_address(text: str, **options: Any) -> Any:
    """Return a field for an ``ip:port`` address or ``None``.

    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """

    def check(value: str | None) -> str | None:
        return None if value is None else _check_address(value)

    return checked_field(check, text, 'ip:port', **options)


def addresses(text: str, **options: Any) -> Any:
    """Return a field for a list of ``ip:port`` addresses.

    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """

    def check(items: tuple[str, ...]) -> str | None:
        return next(filter(None, map(_check_address, items)), None)

    return checked_field(check, text, 'list of ip:port', **options)


def nonempty(text: str, **options: Any) -> Any:
    """Return a field for a string that is not empty; ``None`` is accepted.

    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """

    def check(value: str | None) -> str | None:
        return 'must not be empty' if value == '' else None

    return checked_field(check, text, 'text', **options)


def reference(text: str, **options: Any) -> Any:
    """Return a field for the location of a secret.

    Secrets are read from the environment or a file, so that none is stored in
    the configuration.

    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """

    def check(value: str) -> str | None:
        if _REFERENCE.fullmatch(value):
            return None
        # The error omits the value, which may be a password set by mistake.
        return "must be 'env:NAME' or 'file:/PATH', not the secret itself"

    return checked_field(check, text, 'env:NAME or file:/PATH', **options)


def password_hash(text: str, **options: Any) -> Any:
    """Return a field for the hash of a caller's password.

    :param text: Description for the settings reference.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """

    def check(value: str) -> str | None:
        if _HEX_HASH.fullmatch(value):
            return None
        return 'must be the hexadecimal SHA1(SHA1(password)) in lower case'

    return checked_field(check, text, '40 hexadecimal digits', **options)


def unchecked(text: str, allowed: str, **options: Any) -> Any:
    """Return a field without checks beyond its type.

    :param text: Description for the settings reference.
    :param allowed: Description of the accepted values.
    :param options: Options of :func:`attrs.field`.
    :returns: The field.
    """
    return checked_field(lambda _value: None, text, allowed, **options)


def _check_address(value: str) -> str | None:
    host, _colon, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return f'{value!r} is not an ip:port address'
    if port.isdecimal() and 0 < int(port) < 65536:
        return None
    return f'{value!r} has no port from 1 to 65535'
