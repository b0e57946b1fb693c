"""Addresses of listeners, as ``HOST:PORT``."""

_PORT_MAX = 65_535
_N_PORT_DIGITS_MAX = 5
_N_CHARACTERS_LOGGED = 64


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address that can be connected to.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)

    :raises ValueError: where the host is missing or the port isn't from 1 to 65535.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _N_PORT_DIGITS_MAX
    if not host or not is_number or not 1 <= int(port) <= _PORT_MAX:
        raise ValueError(
            f"expected a host and a port from 1 to {_PORT_MAX}, "
            f"got {address[:_N_CHARACTERS_LOGGED]!r}"
        )
    return host, int(port)
