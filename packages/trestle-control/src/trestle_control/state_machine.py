"""What the replicated log drives: a deterministic state machine."""

from typing import Protocol

from trestle_links.codec import Message


class StateMachine(Protocol):
    """State that is a function of the commands applied to it, in order.

    Every member applies the same commands at the same indexes, so the
    methods may use no clock, no random number and nothing outside the state.
    """

    def apply(self, index: int, command: Message) -> Message:
        """Apply a committed command and return its reply; never raises."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, packed: bytes) -> None:
        """Replace the whole state by one that `snapshot` returned."""
