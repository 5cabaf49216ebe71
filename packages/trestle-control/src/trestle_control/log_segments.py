"""The log: entries in memory, durable through the segment files.

Appending puts entries into memory and wakes the writer. The writer takes
everything that waits, writes it with one system call and syncs it with one
`fdatasync` in a thread (group commit), so the number of commands per second
is not bounded by the number of syncs per second.

Invariants:
- `synced_index` never covers an entry that is not synced.
- After a failed write or sync the log takes nothing more: `failure` is set
  and the process has to exit.
"""

from collections.abc import Callable
from os import fdatasync
from pathlib import Path
from typing import Final

from gevent import Greenlet, spawn
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from trestle_control.control_errors import StorageFailedError
from trestle_control.durable_files import run_blocking
from trestle_control.log_records import LogEntry, encode_record
from trestle_control.log_recovery import recover_entries
from trestle_control.segment_files import SegmentFiles, SyncFile
from trestle_control.signals import Signal
from trestle_core.logs import part_logger

_STOP_SECONDS: Final = 5

_log = part_logger('log')


class SegmentLog:
    """All entries after the snapshot, durable up to `synced_index`."""

    def __init__(
        self,
        folder: Path,
        segment_bytes: int,
        sync_file: SyncFile = fdatasync,
    ) -> None:
        """Read the folder and cut a torn tail.

        Raises `DamagedLogError` and `OSError`.
        """
        self.files = SegmentFiles(folder, segment_bytes, sync_file)
        self.entries = recover_entries(self.files.segments)
        self.files.sync_last()
        segments = self.files.segments
        self.first_index = segments[0].first_index if segments else 1
        self.synced_index = self.last_index
        self.waiting: list[LogEntry] = []
        self.failure: StorageFailedError | None = None
        self.on_failed: list[Callable[[StorageFailedError], None]] = []
        self.synced = Signal()
        self.wake_writer = Event()
        self.file_lock = BoundedSemaphore()
        self.writer: Greenlet[..., None] | None = None

    @property
    def last_index(self) -> int:
        """Index of the last entry, synced or not."""
        return self.first_index + len(self.entries) - 1

    def start(self) -> None:
        """Start the writer."""
        self.writer = spawn(self._run_writer)

    def stop(self) -> None:
        """Sync what waits and close the file."""
        self.synced.wait_until(
            lambda: (
                self.failure is not None or self.synced_index >= self.last_index
            ),
            _STOP_SECONDS,
        )
        if self.writer:
            self.writer.kill()
        self.files.close()

    def entry_at(self, index: int) -> LogEntry | None:
        """Return an entry, or None outside of the log."""
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index]
        return None

    def entries_from(self, index: int, limit_bytes: int) -> list[LogEntry]:
        """Return entries from an index on, at least one, up to a size."""
        batch: list[LogEntry] = []
        size = 0
        entry = self.entry_at(index)
        while entry and (not batch or size < limit_bytes):
            batch.append(entry)
            size += len(entry.payload)
            entry = self.entry_at(index + len(batch))
        return batch

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries in memory; `wait_synced` tells when they are durable."""
        if entries[0].log_index != self.last_index + 1:
            raise AssertionError('an entry does not follow the last one')
        self.entries.extend(entries)
        self.waiting.extend(entries)
        self.wake_writer.set()

    def wait_synced(self, index: int) -> None:
        """Wait until an index is durable; raises `StorageFailedError`."""
        while self.synced_index < index:
            if self.failure:
                raise self.failure
            self.synced.event.wait()

    def truncate_from(self, index: int) -> None:
        """Remove an entry and all behind it; blocks until that is synced."""
        with self.file_lock:
            self.waiting = [
                entry for entry in self.waiting if entry.log_index < index
            ]
            del self.entries[max(0, index - self.first_index) :]
            self.synced_index = min(self.synced_index, index - 1)
            self._change_files(lambda: self.files.truncate_from(index))

    def drop_before(self, index: int) -> None:
        """Remove segments that hold nothing at or behind an index."""
        with self.file_lock:
            self._change_files(lambda: self.files.drop_before(index))
            if self.files.segments:
                first_index = self.files.segments[0].first_index
                del self.entries[: first_index - self.first_index]
                self.first_index = first_index

    def reset(self, first_index: int) -> None:
        """Remove all entries; the next one will be `first_index`."""
        self.truncate_from(0)
        self.first_index = first_index
        self.synced_index = first_index - 1

    def _run_writer(self) -> None:
        while self.failure is None:
            self.wake_writer.wait()
            self.wake_writer.clear()
            try:
                self._write_next_batch()
            except StorageFailedError:
                return
            self.synced.notify()

    def _write_next_batch(self) -> None:
        with self.file_lock:
            batch = self.waiting
            self.waiting = []
            if batch:
                self._write_batch(batch)

    def _write_batch(self, batch: list[LogEntry]) -> None:
        packed = b''.join(
            encode_record(entry, self.synced_index) for entry in batch
        )
        first_index = batch[0].log_index
        self._change_files(lambda: self.files.append(first_index, packed))
        self.synced_index = batch[-1].log_index

    def _change_files(self, change: Callable[[], None]) -> None:
        if self.failure:
            raise self.failure
        try:
            run_blocking(change)
        except StorageFailedError as error:
            _log.error('Storage failed; no more writes: {}.', error.message)
            self.failure = error
            self.synced.notify()
            for hook in self.on_failed:
                hook(error)
            raise
