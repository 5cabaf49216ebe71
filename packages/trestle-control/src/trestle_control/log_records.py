"""Records of the log on disk.

A record is a marker, the length of its body, a checksum over length and
body, and the body in msgpack. The marker's first byte (0xc1) is the one that
msgpack never writes, so a reader finds records behind a damaged one.

Each record also carries the index that was synced when it was written. A
record that cannot be read may be a torn write, which was never acknowledged,
or damage to a synced record. It was synced exactly if a readable record
behind it says so.
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
    """What the payload of an entry is."""

    NO_OP = 0
    COMMAND = 1
    MEMBERS = 2


class LogEntry(NamedTuple):
    """One position of the log."""

    log_index: int
    term: int
    kind: EntryKind
    payload: bytes


class Record(NamedTuple):
    """An entry as it stands in a file; `end` is the offset behind it."""

    entry: LogEntry
    synced_index: int
    end: int


def pack_entry(entry: LogEntry) -> bytes:
    """Encode an entry for the links."""
    packed: bytes = packb(entry)
    return packed


def unpack_entry(packed: bytes) -> LogEntry:
    """Decode an entry; raises `ValueError` when it is malformed."""
    return convert(unpackb(packed), LogEntry)


def encode_record(entry: LogEntry, synced_index: int) -> bytes:
    """Encode one record; `synced_index` is what was synced before it."""
    body: bytes = packb((synced_index, entry))
    length = _LENGTH.pack(len(body))
    checksum = xxh3_64_intdigest(length + body)
    return _HEADER.pack(_MARKER, len(body), checksum) + body


def read_records(content: bytes) -> Iterator[Record]:
    """Return the records from the start to the first unreadable one."""
    offset = 0
    record = _record_at(content, offset)
    while record:
        yield record
        offset = record.end
        record = _record_at(content, offset)


def find_records(content: bytes, offset: int) -> Iterator[Record]:
    """Return every readable record at or behind an offset."""
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
