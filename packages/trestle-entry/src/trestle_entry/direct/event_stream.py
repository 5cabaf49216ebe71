"""Splits a stream of server-sent events into complete events, and times them.

Only complete events are relayed to callers, because a back end may fail in the
middle of one; the stream is then resumed at another back end after the last
complete one. Bytes that are no event of the stream, such as an error's text, and
an event that does not follow the last one are a fault of the back end.

Blocks that tell callers nothing are passed, too: comments, `retry`, and an `event`
without data. Those before the first event are held back until it comes, so that
until then the answer has not begun. Names of fields have no capitals here, though
the standard allows them: within an event those are a sign of an error's head.
"""

import re
from time import monotonic
from typing import Final

from trestle_core.event_blocks import MAX_BLOCK_BYTES, BlockCutter

_MS_PER_SECOND: Final = 1000
# Comments and the like between two events; a sound back end sends a few bytes of
# them now and then to keep its connection open.
_MAX_SILENT_BYTES: Final = 65_536
_NUMBER: Final = re.compile('[0-9]{1,100}')
# An empty line, a comment, a field, or a field without a value.
_LINE: Final = re.compile(rb'$|[a-z0-9_-]*:|(?:data|event|retry)$')
# A line that causes no event by itself.
_SILENT_LINE: Final = re.compile(rb'$|:|event(?:$|:)|retry(?:$|: ?[0-9]*$)')
_EVENT_TYPE: Final = b'event'
# Empty lines and comments, all of them ended.
_SILENT_END: Final = re.compile(rb'(?:(?::[^\r\n]*)?(?:\r\n|\n|\r))*')
# May stand at the start of a stream.
_BYTE_ORDER_MARK: Final = b'\xef\xbb\xbf'


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        """Start at the first byte of an event."""
        self.cutter = BlockCutter()
        # Complete blocks that are passed with the next event.
        self.held = bytearray()
        self.last_id = ''
        # Complete events so far.
        self.count = 0
        # Bytes of complete blocks since the last event.
        self.silent_bytes = 0
        # Why the bytes after the last event were not passed, empty if they were.
        self.fault = ''
        # Whether the next block is the first one of its back end.
        self.is_at_start = True
        # Whether an event's type has come, but not the event.
        self.is_announced = False

    def feed(self, received: bytes) -> bytes:
        """Return the bytes of all events that are complete now.

        Sets `fault` and returns the events before it if bytes are no event.
        """
        passed = bytearray()
        for block in self.cutter.feed(received):
            self._take(block)
            if self.fault:
                return bytes(passed)
            if self.count and not self.is_announced:
                passed += self.held
                self.held.clear()
        if len(self.cutter.incomplete) + len(self.held) > MAX_BLOCK_BYTES:
            self.fault = 'an event that does not end'
        if self.silent_bytes > _MAX_SILENT_BYTES:
            self.fault = 'comments that do not end'
        return bytes(passed)

    def finish(self) -> bytes:
        """Return the bytes left at the end of the stream.

        Sets `fault` if it ended within an event.
        """
        left = self.cutter.incomplete
        if self.is_announced or not _SILENT_END.fullmatch(left):
            self.fault = 'the stream ended within an event'
        return self._release_held() + left

    def go_on(self) -> None:
        """Expect the event after the last one, from another back end."""
        self.cutter = BlockCutter()
        self.held.clear()
        self.silent_bytes = 0
        self.fault = ''
        self.is_at_start = True
        self.is_announced = False

    def _take(self, block: bytes) -> None:
        if not self.is_at_start and _SILENT_END.fullmatch(block):
            # A block of comments alone: a back end may send many at little cost.
            self.held += block
            self.silent_bytes += len(block)
            return
        content = block
        if self.is_at_start:
            self.is_at_start = False
            content = block.removeprefix(_BYTE_ORDER_MARK)
        # A mark is no part of a stream that another back end began.
        self.held += content if self.count else block
        self.silent_bytes += len(block)
        self.fault = self._note(content.splitlines())

    def _release_held(self) -> bytes:
        released = bytes(self.held)
        self.held.clear()
        return released

    def _note(self, lines: list[bytes]) -> str:
        """Record a block if it is sound; return its fault, or nothing."""
        if not all(_LINE.match(line) for line in lines):
            return 'bytes that are no event'
        ids = [line[3:].strip() for line in lines if line.startswith(b'id:')]
        if not (ids and ids[-1]):
            return self._note_silent(lines)
        event_id = ids[-1].decode('latin-1')
        if not _follows(self.last_id, event_id):
            return f'event {event_id} after {self.last_id}'
        self.last_id = event_id
        self.count += 1
        self.silent_bytes = 0
        self.is_announced = False
        return ''

    def _note_silent(self, lines: list[bytes]) -> str:
        """Record a block that is no event; return its fault, or nothing."""
        if not all(_SILENT_LINE.match(line) for line in lines):
            return 'an event without an id'
        if any(line.startswith(_EVENT_TYPE) for line in lines):
            self.is_announced = True
        return ''


class StreamTiming:
    """The timing of the events of one stream, over all its engines."""

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_at: float | None = None
        self.longest_seconds = 0.0

    def note(self) -> bool:
        """Record that events arrived; return whether they were the first."""
        now = monotonic()
        is_first = self.last_at is None
        if self.last_at is not None:
            pause = now - self.last_at
            self.longest_seconds = max(self.longest_seconds, pause)
        self.last_at = now
        return is_first

    def fields(self, events: int) -> dict[str, int]:
        """Return the fields of the stream for the request's log line."""
        if self.last_at is None:
            return {}
        last_seconds = monotonic() - self.last_at
        return {
            'events': events,
            'longest_pause_ms': round(self.longest_seconds * _MS_PER_SECOND),
            'last_event_ago_ms': round(last_seconds * _MS_PER_SECOND),
        }


def _follows(last_id: str, event_id: str) -> bool:
    """Return whether no event is missing between two, or came before."""
    if not (_NUMBER.fullmatch(last_id) and _NUMBER.fullmatch(event_id)):
        return True
    return int(event_id) == int(last_id) + 1
