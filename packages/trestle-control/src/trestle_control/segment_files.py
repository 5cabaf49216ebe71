"""The segment files of the log: appending, truncating and removing.

The methods that change files block, so they run in a thread, one at a time.
Each write is synced before the next one begins, so a new segment is started
only when everything before it is synced.
"""

from collections.abc import Callable
from os import O_APPEND, O_CREAT, O_TRUNC, O_WRONLY, close, replace, write
from os import open as open_file
from pathlib import Path
from typing import Final

from trestle_control.durable_files import DRAFT_SUFFIX, sync_folder
from trestle_control.log_recovery import (
    Segment,
    list_segments,
    offset_of,
    segment_path,
    truncate_segment,
)

_FILE_MODE: Final = 0o600

SyncFile = Callable[[int], None]


class SegmentFiles:
    """The segments of one folder; the last one is open for appending."""

    def __init__(
        self, folder: Path, segment_bytes: int, sync_file: SyncFile
    ) -> None:
        """List the segments; one that reaches `segment_bytes` is closed."""
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.sync_file = sync_file
        self.segments = list_segments(folder)
        self.descriptor: int | None = None
        self.size = 0

    def rewrite_last(self) -> None:
        """Write the last segment anew, as it may not be on the disk as it reads.

        A process killed between a write and its sync leaves records in the page
        cache. Those of a sync that failed are there, too, but the kernel has
        given up writing them, and a later sync of the file reports success.
        """
        if not self.segments:
            return
        path = self.segments[-1].path
        draft = path.with_suffix(DRAFT_SUFFIX)
        descriptor = open_file(draft, O_WRONLY | O_CREAT | O_TRUNC, _FILE_MODE)
        try:
            _write_all(descriptor, path.read_bytes())
            self.sync_file(descriptor)
        finally:
            close(descriptor)
        replace(draft, path)
        sync_folder(self.folder)

    def append(self, first_index: int, packed: bytes) -> None:
        """Write records with one sync; the first one has `first_index`."""
        descriptor = self._segment_for(first_index)
        _write_all(descriptor, packed)
        self.sync_file(descriptor)
        self.size += len(packed)

    def truncate_from(self, index: int) -> None:
        """Remove the records from an index on."""
        self.close()
        # Newest first, so that a crash in between leaves no gap in the log.
        while self.segments and self.segments[-1].first_index >= index:
            self.segments.pop().path.unlink()
        if self.segments:
            path = self.segments[-1].path
            truncate_segment(path, offset_of(path, index))
        sync_folder(self.folder)

    def drop_before(self, index: int) -> None:
        """Remove the segments whose entries all precede an index.

        The last segment stays but is closed, so that a later call can remove
        it.
        """
        following = self.segments[1:]
        dropped = [
            segment
            for segment, next_segment in zip(
                self.segments, following, strict=False
            )
            if next_segment.first_index <= index
        ]
        # Oldest first, so that a crash in between leaves no gap in the log.
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
        if self._needs_new_segment(path):
            self.segments.append(Segment(first_index, path))
        path = self.segments[-1].path
        self.descriptor = open_file(
            path, O_WRONLY | O_CREAT | O_APPEND, _FILE_MODE
        )
        self.size = path.stat().st_size
        sync_folder(self.folder)
        return self.descriptor

    def _needs_new_segment(self, path: Path) -> bool:
        if not self.segments:
            return True
        last = self.segments[-1].path
        is_closed = self.size >= self.segment_bytes
        is_full = last.stat().st_size >= self.segment_bytes
        # A closed segment without entries already has the name of the new one.
        return (is_closed or is_full) and last != path


def _write_all(descriptor: int, content: bytes) -> None:
    offset = 0
    while offset < len(content):
        offset += write(descriptor, content[offset:])
