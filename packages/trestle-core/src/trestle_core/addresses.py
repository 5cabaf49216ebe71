"""Addresses: `ip:port`, or `@file` for a file that holds `ip:port`.

A process may bind port 0; it then writes the address that it got to a file,
and its peers read that file at each connect.
"""

from os import replace
from pathlib import Path
from typing import NamedTuple


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
    return Address(ip, int(port))


def write_address_file(path: str, address: Address) -> None:
    """Write an address so that a reader sees all of it or nothing."""
    if not path:
        return
    draft = Path(f'{path}.draft')
    draft.write_text(str(address), encoding='ascii')
    replace(draft, path)
