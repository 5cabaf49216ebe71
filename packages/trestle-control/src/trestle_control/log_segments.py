"""The log: entries in memory, made durable through the segment files.

Appending adds entries in memory and wakes the writer. The writer writes all
unwritten entries as one batch and syncs them with one `fdatasync` in a thread
(group commit), so the number of commands per second is not bounded by the
number of syncs per second.

Invariants:
- `synced_index` never covers an entry that is not synced.
- After a failed write or sync nothing more is written: `failure` is set and
  the replica has to be opened anew.
"""

from collections.abc import Callable
from os import fdatasync
from pathlib import Path
from typing import Final

from gevent import Greenlet, spawn
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from trestle_control.control_errors import StorageFailedError
from trestle_control.folder_work import FolderWork
from trestle_control.log_records import LogEntry, encode_record
from trestle_control.log_recovery import recover_entries
from trestle_control.segment_files import SegmentFiles, SyncFile
from trestle_control.signals import Signal
from trestle_core.logs import part_logger

_STOP_TIMEOUT_SECONDS: Final = 5

_log = part_logger('log')


class SegmentLog:
    """All entries after the snapshot, durable up to `synced_index`."""

    def __init__(
        self,
        folder: Path,
        segment_bytes: int,
        sync_file: SyncFile = fdatasync,
    ) -> None:
        """Recover the entries and truncate a torn tail.

        Raises `DamagedLogError` and `OSError`.
        """
        self.files = SegmentFiles(folder, segment_bytes, sync_file)
        self.entries = recover_entries(self.files.segments)
        self.files.rewrite_last()
        segments = self.files.segments
        self.first_index = segments[0].first_index if segments else 1
        self.synced_index = self.last_index
        self.unwritten: list[LogEntry] = []
        self.failure: StorageFailedError | None = None
        self.on_failed: list[Callable[[StorageFailedError], None]] = []
        self.sync_signal = Signal()
        self.wake_writer = Event()
        self.file_lock = BoundedSemaphore()
        self.folder_work = FolderWork()
        self.writer: Greenlet[..., None] | None = None

    @property
    def last_index(self) -> int:
        """Index of the last entry, synced or not."""
        return self.first_index + len(self.entries) - 1

    def start(self) -> None:
        """Start the writer greenlet."""
        self.writer = spawn(self._run_writer)

    def stop(self) -> None:
        """Wait until all entries are synced, then close the file.

        It is closed later if a write hangs.
        """
        self.sync_signal.wait_until(
            lambda: (
                self.failure is not None or self.synced_index >= self.last_index
            ),
            _STOP_TIMEOUT_SECONDS,
        )
        if self.writer:
            self.writer.kill()
        self.folder_work.when_idle(self.files.close)

    def entry_at(self, index: int) -> LogEntry | None:
        """Return the entry at an index, or None outside of the log."""
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index]
        return None

    def entries_from(self, index: int, limit_bytes: int) -> list[LogEntry]:
        """Return the entries from an index on, limited by payload size.

        The batch has at least one entry if there is one at the index.
        """
        batch: list[LogEntry] = []
        size = 0
        entry = self.entry_at(index)
        while entry and (not batch or size < limit_bytes):
            batch.append(entry)
            size += len(entry.payload)
            entry = self.entry_at(index + len(batch))
        return batch

    def append(self, entries: list[LogEntry]) -> None:
        """Add entries in memory; `wait_synced` waits until they are durable."""
        if entries[0].log_index != self.last_index + 1:
            raise AssertionError('the entries do not follow the last entry')
        self.entries.extend(entries)
        self.unwritten.extend(entries)
        self.wake_writer.set()

    def wait_synced(self, index: int) -> None:
        """Wait until an index is durable; raises `StorageFailedError`."""
        while self.synced_index < index:
            if self.failure:
                raise self.failure
            self.sync_signal.event.wait()

    def truncate_from(self, index: int) -> None:
        """Remove the entries from an index on; return once that is synced."""
        with self.file_lock:
            self.unwritten = [
                entry for entry in self.unwritten if entry.log_index < index
            ]
            del self.entries[max(0, index - self.first_index) :]
            self.synced_index = min(self.synced_index, index - 1)
            self._run_storage_operation(lambda: self.files.truncate_from(index))

    def drop_before(self, index: int) -> None:
        """Remove the segments whose entries all precede an index."""
        with self.file_lock:
            self._run_storage_operation(lambda: self.files.drop_before(index))
            if self.files.segments:
                first_index = self.files.segments[0].first_index
                del self.entries[: first_index - self.first_index]
                self.first_index = first_index

    def reset(self, first_index: int) -> None:
        """Remove all entries; the next one gets the index `first_index`."""
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
            except Exception as error:
                # Otherwise nothing would ever be synced again, unnoticed.
                _log.exception('The writer of the log failed.')
                self._fail(StorageFailedError(repr(error)))
                return
            self.sync_signal.notify()

    def _write_next_batch(self) -> None:
        with self.file_lock:
            batch = self.unwritten
            self.unwritten = []
            if batch:
                self._write_batch(batch)

    def _write_batch(self, batch: list[LogEntry]) -> None:
        packed = b''.join(
            encode_record(entry, self.synced_index) for entry in batch
        )
        first_index = batch[0].log_index
        self._run_storage_operation(
            lambda: self.files.append(first_index, packed)
        )
        self.synced_index = batch[-1].log_index

    def _run_storage_operation(self, operation: Callable[[], None]) -> None:
        if self.failure:
            raise self.failure
        try:
            self.folder_work.run(operation)
        except StorageFailedError as error:
            self._fail(error)
            raise

    def _fail(self, error: StorageFailedError) -> None:
        _log.error(
            'Storage failed; the log accepts no more writes: {}.',
            error.message,
        )
        self.failure = error
        self.sync_signal.notify()
        for hook in self.on_failed:
            hook(error)
