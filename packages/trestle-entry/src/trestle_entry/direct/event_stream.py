"""Splits a stream of server-sent events into complete events, and times them.

Only complete events are relayed to callers, because a back end may fail in the
middle of one; the stream is then resumed at another back end after the last
complete one.
"""

from time import monotonic
from typing import Final

_MS_PER_SECOND: Final = 1000
_EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n')


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        """Start at the first byte of an event."""
        self.incomplete = b''
        self.last_id = ''
        # Complete events so far.
        self.count = 0

    def feed(self, received: bytes) -> bytes:
        """Return the bytes of all events that are complete now."""
        buffered = self.incomplete + received
        end = max(
            _end_of_last_event(buffered, separator) for separator in _EVENT_ENDS
        )
        complete = buffered[:end]
        self.incomplete = buffered[end:]
        if complete:
            self._record_ids(complete)
        return complete

    def _record_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b'id:'):
                self.last_id = line[3:].strip().decode('latin-1')
                self.count += 1


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


def _end_of_last_event(buffered: bytes, separator: bytes) -> int:
    position = buffered.rfind(separator)
    return 0 if position < 0 else position + len(separator)
