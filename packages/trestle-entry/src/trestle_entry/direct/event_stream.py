"""Cuts a stream of server-sent events into whole events, and times them.

Only whole events go to callers, because a back end may stop in the middle of
one, and the stream then goes on at another back end after the last whole one.
"""

from time import monotonic
from typing import Final

_MS_PER_SECOND: Final = 1000
_EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n')


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        """Start at the first byte of an event."""
        self.incomplete = b''
        self.last_id = ''
        # Whole events that passed.
        self.count = 0

    def feed(self, received: bytes) -> bytes:
        """Return the bytes of all events that are whole now."""
        waiting = self.incomplete + received
        end = max(
            _end_of_last_event(waiting, separator) for separator in _EVENT_ENDS
        )
        complete = waiting[:end]
        self.incomplete = waiting[end:]
        if complete:
            self._note(complete)
        return complete

    def _note(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b'id:'):
                self.last_id = line[3:].strip().decode('latin-1')
                self.count += 1


class StreamTiming:
    """How evenly the events of one stream came, over all its engines."""

    def __init__(self) -> None:
        """Begin before the first event."""
        self.last_at: float | None = None
        self.longest_seconds = 0.0

    def note(self) -> bool:
        """Note that events came; return whether they were the first."""
        now = monotonic()
        is_first = self.last_at is None
        if self.last_at is not None:
            pause = now - self.last_at
            self.longest_seconds = max(self.longest_seconds, pause)
        self.last_at = now
        return is_first

    def fields(self, events: int) -> dict[str, int]:
        """Return what the request's line tells of the stream."""
        if self.last_at is None:
            return {}
        last_seconds = monotonic() - self.last_at
        return {
            'events': events,
            'longest_pause_ms': round(self.longest_seconds * _MS_PER_SECOND),
            'last_event_ago_ms': round(last_seconds * _MS_PER_SECOND),
        }


def _end_of_last_event(waiting: bytes, separator: bytes) -> int:
    place = waiting.rfind(separator)
    return 0 if place < 0 else place + len(separator)
