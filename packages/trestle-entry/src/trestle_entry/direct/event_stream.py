"""Splits a stream of server-sent events into complete events, and times them.

Only complete events are relayed to callers, because a back end may fail in the
middle of one; the stream is then resumed at another back end after the last
complete one. Bytes that are no event of the stream, such as an error's text, and
an event that does not follow the last one are a fault of the back end.
"""

import re
from collections.abc import Iterator
from time import monotonic
from typing import Final

_MS_PER_SECOND: Final = 1000
_EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n')
# Far more than an event of a few tokens takes.
_MAX_EVENT_BYTES: Final = 1_048_576
_EVENT: Final = re.compile(rb'.*?(?:\n\n|\r\n\r\n)', re.DOTALL)
_NUMBER: Final = re.compile('[0-9]{1,100}')
# An empty line, a comment, or a field, whose names are in lower case.
_LINE: Final = re.compile(rb'$|[a-z-]*:')


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        """Start at the first byte of an event."""
        self.incomplete = b''
        # Complete comments that are passed with the first event.
        self.held = b''
        self.last_id = ''
        # Complete events so far.
        self.count = 0
        # Why the bytes after the last event were not passed, empty if they were.
        self.fault = ''

    def feed(self, received: bytes) -> bytes:
        """Return the bytes of all events that are complete now.

        Sets `fault` and returns the events before it if bytes are no event.
        """
        buffered = self.incomplete + received
        end = max(
            _end_of_last_event(buffered, separator) for separator in _EVENT_ENDS
        )
        self.incomplete = buffered[end:]
        self.held += b''.join(self._take_sound(buffered[:end]))
        passed = self._release_held() if self.count else b''
        if not self.fault and self._buffered_bytes() > _MAX_EVENT_BYTES:
            self.fault = 'an event that does not end'
        return passed

    def finish(self) -> bytes:
        """Return the bytes left at the end of the stream.

        Sets `fault` if it ended within an event.
        """
        if self.incomplete:
            self.fault = 'the stream ended within an event'
        return self._release_held()

    def go_on(self) -> None:
        """Expect the event after the last one, from another back end."""
        self.incomplete = b''
        self.held = b''
        self.fault = ''

    def _release_held(self) -> bytes:
        released = self.held
        self.held = b''
        return released

    def _buffered_bytes(self) -> int:
        return len(self.incomplete) + len(self.held)

    def _take_sound(self, complete: bytes) -> Iterator[bytes]:
        """Record and return events up to the first that is not sound."""
        for match in _EVENT.finditer(complete):
            lines = match.group().splitlines()
            self.fault = self.fault or self._fault_of(lines)
            if self.fault:
                return
            yield match.group()

    def _fault_of(self, lines: list[bytes]) -> str:
        """Record an event if it is sound; return its fault, or nothing."""
        if not all(_LINE.match(line) for line in lines):
            return 'bytes that are no event'
        ids = [line[3:].strip() for line in lines if line.startswith(b'id:')]
        if not ids:
            is_comment = all(line[:1] in {b'', b':'} for line in lines)
            return '' if is_comment else 'an event without an id'
        event_id = ids[-1].decode('latin-1')
        if not _follows(self.last_id, event_id):
            return f'event {event_id} after {self.last_id}'
        self.last_id = event_id
        self.count += 1
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


def _end_of_last_event(buffered: bytes, separator: bytes) -> int:
    position = buffered.rfind(separator)
    return 0 if position < 0 else position + len(separator)
