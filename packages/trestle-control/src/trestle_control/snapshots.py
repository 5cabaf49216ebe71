"""Snapshot files, which replace the log up to their index.

Invariant: the newest snapshot is synced under its final name before an older
one or a part of the log is removed.
"""

from pathlib import Path
from typing import Final, NamedTuple

from msgpack import packb, unpackb
from msgspec import convert

from trestle_control.durable_files import (
    read_checked_file,
    sync_folder,
    write_checked_file,
)

_PATTERN: Final = 'snapshot-*.state'


class Snapshot(NamedTuple):
    """The packed state and the encoded member set at `log_index`."""

    log_index: int
    term: int
    members: bytes
    state: bytes


def pack_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot for messages and files."""
    packed: bytes = packb(snapshot)
    return packed


def unpack_snapshot(packed: bytes) -> Snapshot:
    """Decode a snapshot; raises `ValueError` when it is malformed."""
    return convert(unpackb(packed), Snapshot)


def store_snapshot(folder: Path, snapshot: Snapshot) -> None:
    """Write a snapshot, then remove the others; block until synced."""
    path = folder / f'snapshot-{snapshot.log_index:020d}.state'
    others = [other for other in folder.glob(_PATTERN) if other != path]
    write_checked_file(path, pack_snapshot(snapshot))
    for other in others:
        other.unlink()
    sync_folder(folder)


def load_snapshot(folder: Path) -> Snapshot | None:
    """Return the newest snapshot, or None without one.

    Raises `DamagedLogError` when it cannot be read. An older one is no
    substitute, because the log after that one may already be removed.
    """
    paths = sorted(folder.glob(_PATTERN))
    if not paths:
        return None
    return unpack_snapshot(read_checked_file(paths[-1]))
