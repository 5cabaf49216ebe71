"""The segment files of the log: appended to, cut and removed.

All methods block and run in a thread, one at a time. A new segment is started
only when everything before it is synced, because each write is synced before
the next one begins.
"""

from collections.abc import Callable
from os import O_APPEND, O_CREAT, O_WRONLY, close, write
from os import open as open_file
from pathlib import Path
from typing import Final

from trestle_control.durable_files import sync_folder
from trestle_control.log_recovery import (
    Segment,
    cut_segment,
    list_segments,
    offset_of,
    segment_path,
)

_FILE_MODE: Final = 0o600

SyncFile = Callable[[int], None]


class SegmentFiles:
    """The segments of one folder; the last one is open for appending."""

    def __init__(
        self, folder: Path, segment_bytes: int, sync_file: SyncFile
    ) -> None:
        """List the segments; `segment_bytes` is the size that closes one."""
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.sync_file = sync_file
        self.segments = list_segments(folder)
        self.descriptor: int | None = None
        self.size = 0

    def sync_last(self) -> None:
        """Sync what an earlier process may have left unsynced.

        A process killed between a write and its sync leaves records that the
        kernel shows and the disk may lack.
        """
        if not self.segments:
            return
        descriptor = open_file(self.segments[-1].path, O_WRONLY)
        try:
            self.sync_file(descriptor)
        finally:
            close(descriptor)

    def append(self, first_index: int, packed: bytes) -> None:
        """Write records with one sync; `first_index` is that of the first."""
        descriptor = self._segment_for(first_index)
        offset = 0
        while offset < len(packed):
            offset += write(descriptor, packed[offset:])
        self.sync_file(descriptor)
        self.size += len(packed)

    def truncate_from(self, index: int) -> None:
        """Remove the records from an index on."""
        self.close()
        # Newest first: a crash in between leaves a log without gaps.
        while self.segments and self.segments[-1].first_index >= index:
            self.segments.pop().path.unlink()
        if self.segments:
            path = self.segments[-1].path
            cut_segment(path, offset_of(path, index))
        sync_folder(self.folder)

    def drop_before(self, index: int) -> None:
        """Remove segments that hold nothing at or behind an index.

        The last segment stays but is closed, so that a later call drops it.
        """
        following = self.segments[1:]
        dropped = [
            segment
            for segment, after in zip(self.segments, following, strict=False)
            if after.first_index <= index
        ]
        # Oldest first: a crash in between leaves a log without gaps.
        for segment in dropped:
            segment.path.unlink()
        self.segments = self.segments[len(dropped) :]
        sync_folder(self.folder)
        self.size = max(self.size, self.segment_bytes)

    def close(self) -> None:
        """Close the open segment."""
        if self.descriptor is not None:
            close(self.descriptor)
            self.descriptor = None

    def _segment_for(self, first_index: int) -> int:
        if self.descriptor is not None and self.size < self.segment_bytes:
            return self.descriptor
        self.close()
        path = segment_path(self.folder, first_index)
        if self._starts_segment(path):
            self.segments.append(Segment(first_index, path))
        path = self.segments[-1].path
        self.descriptor = open_file(
            path, O_WRONLY | O_CREAT | O_APPEND, _FILE_MODE
        )
        self.size = path.stat().st_size
        sync_folder(self.folder)
        return self.descriptor

    def _starts_segment(self, path: Path) -> bool:
        if not self.segments:
            return True
        last = self.segments[-1].path
        is_closed = self.size >= self.segment_bytes
        is_full = last.stat().st_size >= self.segment_bytes
        # A closed segment that is still empty has the name of the next one.
        return (is_closed or is_full) and last != path
