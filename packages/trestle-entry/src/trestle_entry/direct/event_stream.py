"""Cuts a stream of server-sent events into whole events.

Only whole events go to callers, because a back end may stop in the middle of
one, and the stream then goes on at another back end after the last whole one.
"""

from typing import Final

_ENDS: Final = (b'\n\n', b'\r\n\r\n')


class EventCutter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        """Start at the first byte of an event."""
        self.tail = b''
        self.last_id = ''
        # Whole events that passed.
        self.count = 0

    def feed(self, received: bytes) -> bytes:
        """Return the bytes of all events that are whole now."""
        waiting = self.tail + received
        end = max(_end_of_last(waiting, mark) for mark in _ENDS)
        whole = waiting[:end]
        self.tail = waiting[end:]
        if whole:
            self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b'id:'):
                self.last_id = line[3:].strip().decode('latin-1')
                self.count += 1


def _end_of_last(waiting: bytes, mark: bytes) -> int:
    place = waiting.rfind(mark)
    return 0 if place < 0 else place + len(mark)
