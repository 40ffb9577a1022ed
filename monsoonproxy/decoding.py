"""Checks of data that other programs have written."""

import ipaddress

import msgspec

#: Errors of the decoders of msgspec. Deep nesting raises the second one.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
_LAST_PORT = 65_535
_MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Tell whether a text is an ``ip:port`` that can be connected to.

    :param text: The text.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    # Digits of other scripts count as decimal, and int() refuses long numbers.
    is_number = port.isascii() and port.isdecimal()
    if not is_number or len(port) > _MAX_PORT_DIGITS:
        return False
    return 0 < int(port) <= _LAST_PORT
