"""Atomic, durable file writes.

New content gets the final file name only after it is synced; then the
directory entry is synced. A failed sync is never retried on the same file: the
kernel may have dropped the dirty pages and would report success.
"""

from os import O_DIRECTORY, O_RDONLY, close, fsync, replace
from os import open as open_file
from pathlib import Path
from struct import Struct
from typing import Final

from xxhash import xxh3_64_intdigest

from trestle_control.control_errors import DamagedLogError

DRAFT_SUFFIX: Final = '.draft'
_CHECKSUM: Final = Struct('>Q')


def write_checked_file(path: Path, content: bytes) -> None:
    """Replace a file by a checksum and content; block until synced."""
    draft = path.with_suffix(DRAFT_SUFFIX)
    with draft.open('wb') as file:
        file.write(_CHECKSUM.pack(xxh3_64_intdigest(content)) + content)
        file.flush()
        fsync(file.fileno())
    replace(draft, path)
    sync_folder(path.parent)


def read_checked_file(path: Path) -> bytes:
    """Return the content of a file that `write_checked_file` wrote.

    Raises `DamagedLogError`.
    """
    packed = path.read_bytes()
    content = packed[_CHECKSUM.size :]
    if packed[: _CHECKSUM.size] != _CHECKSUM.pack(xxh3_64_intdigest(content)):
        raise DamagedLogError(f'{path.name} does not match its checksum')
    return content


def remove_drafts(folder: Path) -> None:
    """Remove what writes that failed or were killed have left behind."""
    for draft in folder.glob(f'*{DRAFT_SUFFIX}'):
        draft.unlink()


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder."""
    descriptor = open_file(folder, O_RDONLY | O_DIRECTORY)
    try:
        fsync(descriptor)
    finally:
        close(descriptor)
