"""The interface of the state machine that the replicated log applies to."""

from typing import Protocol

from trestle_links.codec import Message


class StateMachine(Protocol):
    """State that depends only on the commands applied to it, in order.

    Every member applies the same commands at the same indexes, so the
    methods must not use a clock, random numbers or anything else outside the
    state.
    """

    def apply(self, index: int, command: Message) -> Message:
        """Apply a committed command and return its reply; never raises."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, packed: bytes) -> None:
        """Replace the whole state by one returned by `snapshot`."""
