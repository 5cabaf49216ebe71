"""Bounds the memory that the bodies of callers' requests take at one entry.

A body is held until its answer has ended, as the request may have to be sent
again. Room is taken for the whole body before the first byte of it is read, or
chunk by chunk where its length is not known; without room the request is
refused at once, so that a burst of large bodies costs some of them a retry and
not the process with all of its requests.
"""

from typing import Final

from trestle_core.errorcodes import BODY_TOO_LARGE, OVERLOADED
from trestle_core.errors import TrestleError
from trestle_entry.direct.replies import RefusedError

# A large body takes seconds to arrive and to be served.
_RETRY_SECONDS: Final = 0.5
# Share of the room up to which a body may begin.
_BEGIN_SHARE: Final = 0.8


class BodyMemory:
    """The bytes that the bodies of all requests take."""

    def __init__(self, limit_bytes: int) -> None:
        """Start without a body; a limit of 0 bounds nothing."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def has_room(self, more: int, *, begins: bool) -> bool:
        """Return whether so many bytes more may be held.

        The last part is kept for bodies in chunks that have begun: refusing
        those in favour of new ones would serve nobody.
        """
        if not self.limit_bytes:
            return True
        if begins and self.held_bytes > self.limit_bytes * _BEGIN_SHARE:
            return False
        return self.held_bytes + more <= self.limit_bytes


class BodyRoom:
    """The room of one body."""

    def __init__(self, memory: BodyMemory) -> None:
        """Start without room."""
        self.memory = memory
        self.taken_bytes = 0

    def grow_to(self, size: int) -> None:
        """Take room for so many bytes in all.

        Raises `RefusedError`, and `TrestleError` if there is never so much.
        """
        memory = self.memory
        if memory.limit_bytes and size > memory.limit_bytes:
            raise TrestleError(
                BODY_TOO_LARGE, f'this entry holds {memory.limit_bytes} bytes'
            )
        more = max(0, size - self.taken_bytes)
        if not memory.has_room(more, begins=not self.taken_bytes):
            raise RefusedError(
                OVERLOADED,
                f'bodies take {memory.held_bytes} bytes of this entry',
                _RETRY_SECONDS,
            )
        memory.held_bytes += more
        self.taken_bytes += more

    def release(self) -> None:
        """Give the room back."""
        self.memory.held_bytes -= self.taken_bytes
        self.taken_bytes = 0
