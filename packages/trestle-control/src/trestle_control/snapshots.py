"""Snapshots: the state up to one index, in place of the log's head.

Invariant: the newest snapshot is synced under its name before an older one
or a part of the log is removed.
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
    """The state after `log_index`, and the members that were in force there."""

    log_index: int
    term: int
    members: bytes
    state: bytes


def pack_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot for the links."""
    packed: bytes = packb(snapshot)
    return packed


def unpack_snapshot(packed: bytes) -> Snapshot:
    """Decode a snapshot; raises `ValueError` when it is malformed."""
    return convert(unpackb(packed), Snapshot)


def store_snapshot(folder: Path, snapshot: Snapshot) -> None:
    """Write a snapshot, then remove older ones; blocks until synced."""
    path = folder / f'snapshot-{snapshot.log_index:020d}.state'
    older = [other for other in folder.glob(_PATTERN) if other != path]
    write_checked_file(path, pack_snapshot(snapshot))
    for other in older:
        other.unlink()
    sync_folder(folder)


def load_snapshot(folder: Path) -> Snapshot | None:
    """Return the newest snapshot.

    Raises `DamagedLogError` when it cannot be read: the log before it may
    be gone, so an older one is no substitute.
    """
    paths = sorted(folder.glob(_PATTERN))
    if not paths:
        return None
    return unpack_snapshot(read_checked_file(paths[-1]))
