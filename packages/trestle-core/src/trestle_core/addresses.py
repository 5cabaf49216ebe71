"""Addresses: `ip:port`, or `@file` for a file that holds `ip:port`.

A process may bind port 0; it then writes the address that it got to a file,
and its peers read that file at each connect.
"""

import re
from os import replace
from pathlib import Path
from typing import Final, NamedTuple

_MAX_PORT: Final = 65_535
# In ASCII digits only; int reads others, too.
_PORT: Final = re.compile('[0-9]{1,5}')


class Address(NamedTuple):
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return `ip:port`."""
        return f'{self.ip}:{self.port}'


def resolve_address(text: str) -> Address:
    """Parse `ip:port`, or read it from the file named after `@`.

    Raises `OSError` when the file cannot be read, `ValueError` when the
    text is not an address.
    """
    if text.startswith('@'):
        text = Path(text[1:]).read_text(encoding='ascii')
    ip, _, port = text.strip().rpartition(':')
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError(f'{text!r} has no possible port')
    return Address(ip, int(port))


def write_address_file(path: str, address: Address) -> None:
    """Write an address so that a reader sees all of it or nothing."""
    if not path:
        return
    draft = Path(f'{path}.draft')
    draft.write_text(str(address), encoding='ascii')
    replace(draft, path)
