"""Recovers the log entries from the segment files at start.

Rules:
- A segment is closed only after all of it is synced. An unreadable record in
  any segment but the last is damage, and the member refuses to start.
- In the last segment, an unreadable record is damage if a readable record
  after it was written when the unreadable one was already synced. Otherwise
  it is a torn write, which was never acknowledged: the file is truncated
  there.
- Indexes have no gaps.

Damage to the last synced batch cannot be distinguished from a torn write.
Such a loss is detected when the leader sends the index that this member
acknowledged before.
"""

from os import fsync, ftruncate
from pathlib import Path
from typing import NamedTuple

from trestle_control.control_errors import DamagedLogError
from trestle_control.log_records import LogEntry, find_records, read_records
from trestle_core.logs import part_logger

_log = part_logger('log')


class Segment(NamedTuple):
    """A segment file of the log."""

    first_index: int
    path: Path


def segment_path(folder: Path, first_index: int) -> Path:
    """Return the path of the segment that starts at an index."""
    return folder / f'log-{first_index:020d}.segment'


def list_segments(folder: Path) -> list[Segment]:
    """Return the segments in log order."""
    paths = sorted(folder.glob('log-*.segment'))
    return [Segment(int(path.stem.partition('-')[2]), path) for path in paths]


def recover_entries(segments: list[Segment]) -> list[LogEntry]:
    """Read all entries and truncate a torn tail.

    Raises `DamagedLogError`.
    """
    entries: list[LogEntry] = []
    for segment in segments:
        expected = segments[0].first_index + len(entries)
        if segment.first_index != expected:
            raise DamagedLogError(
                f'{segment.path.name} does not follow the previous segment'
            )
        is_last = segment is segments[-1]
        entries.extend(_read_segment(segment, is_last=is_last))
    return entries


def truncate_segment(path: Path, size: int) -> None:
    """Truncate a segment to a size in bytes and sync it."""
    with path.open('r+b') as file:
        ftruncate(file.fileno(), size)
        fsync(file.fileno())


def offset_of(path: Path, index: int) -> int:
    """Return the byte offset of the record of an index."""
    offset = 0
    for record in read_records(path.read_bytes()):
        if record.entry.log_index >= index:
            return offset
        offset = record.end
    return offset


def _read_segment(segment: Segment, *, is_last: bool) -> list[LogEntry]:
    content = segment.path.read_bytes()
    entries: list[LogEntry] = []
    end = 0
    expected = segment.first_index
    for record in read_records(content):
        if record.entry.log_index != expected:
            raise DamagedLogError(
                f'{segment.path.name}: no entry at index {expected}'
            )
        entries.append(record.entry)
        end = record.end
        expected += 1
    if end < len(content):
        _check_torn_tail(segment, content, end, expected, is_last=is_last)
        truncate_segment(segment.path, end)
    return entries


def _check_torn_tail(
    segment: Segment,
    content: bytes,
    end: int,
    unreadable_index: int,
    *,
    is_last: bool,
) -> None:
    location = f'{segment.path.name} at byte {end}, index {unreadable_index}'
    was_synced = any(
        record.synced_index >= unreadable_index
        for record in find_records(content, end)
    )
    if was_synced or not is_last:
        raise DamagedLogError(f'Damaged record in {location}.')
    _log.warning(
        'Torn tail truncated: {}, {} bytes.', location, len(content) - end
    )
