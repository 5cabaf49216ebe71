"""Record format of the log on disk.

A record consists of a marker, the length of its body, a checksum over length
and body, and the body in msgpack. Msgpack never writes the marker's first
byte (0xc1), so a reader can find the records after a damaged one.

Each record also stores the index that was synced when it was written. An
unreadable record is either a torn write, which was never acknowledged, or
damage to a synced record. It is known to have been synced if a readable
record after it has a synced index that covers it.
"""

from collections.abc import Iterator
from enum import IntEnum
from struct import Struct
from typing import Final, NamedTuple

from msgpack import packb, unpackb
from msgspec import convert
from xxhash import xxh3_64_intdigest

_MARKER: Final = b'\xc1\x4c'
_HEADER: Final = Struct('>2sIQ')
_LENGTH: Final = Struct('>I')


class EntryKind(IntEnum):
    """Type of the payload of an entry."""

    NO_OP = 0
    COMMAND = 1
    MEMBERS = 2


class LogEntry(NamedTuple):
    """Entry of the replicated log."""

    log_index: int
    term: int
    kind: EntryKind
    payload: bytes


class Record(NamedTuple):
    """A record read from a file; `end` is the offset after it."""

    entry: LogEntry
    synced_index: int
    end: int


def pack_entry(entry: LogEntry) -> bytes:
    """Encode an entry for messages between members."""
    packed: bytes = packb(entry)
    return packed


def unpack_entry(packed: bytes) -> LogEntry:
    """Decode an entry; raises `ValueError` when it is malformed."""
    return convert(unpackb(packed), LogEntry)


def encode_record(entry: LogEntry, synced_index: int) -> bytes:
    """Encode a record; `synced_index` is the last index already synced."""
    body: bytes = packb((synced_index, entry))
    length = _LENGTH.pack(len(body))
    checksum = xxh3_64_intdigest(length + body)
    return _HEADER.pack(_MARKER, len(body), checksum) + body


def read_records(content: bytes) -> Iterator[Record]:
    """Yield the records from the start up to the first unreadable one."""
    offset = 0
    record = _record_at(content, offset)
    while record:
        yield record
        offset = record.end
        record = _record_at(content, offset)


def find_records(content: bytes, offset: int) -> Iterator[Record]:
    """Yield every readable record at or after an offset."""
    offset = content.find(_MARKER, offset)
    while offset >= 0:
        record = _record_at(content, offset)
        if record:
            yield record
        offset = content.find(_MARKER, record.end if record else offset + 1)


def _record_at(content: bytes, offset: int) -> Record | None:
    start = offset + _HEADER.size
    if start > len(content):
        return None
    marker, length, checksum = _HEADER.unpack_from(content, offset)
    body = content[start : start + length]
    if marker != _MARKER or len(body) < length:
        return None
    if xxh3_64_intdigest(_LENGTH.pack(length) + body) != checksum:
        return None
    synced_index, entry = unpackb(body)
    return Record(convert(entry, LogEntry), synced_index, start + length)
