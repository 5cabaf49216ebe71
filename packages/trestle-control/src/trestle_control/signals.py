"""A condition that many greenlets wait for."""

from collections.abc import Callable
from time import monotonic

from gevent.event import Event


class Signal:
    """Wakes every waiting greenlet so that it looks at its condition again."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self.event = Event()

    def notify(self) -> None:
        """Wake all greenlets that wait now."""
        event = self.event
        self.event = Event()
        event.set()

    def wait_until(
        self,
        holds: Callable[[], bool],
        timeout_seconds: float,
    ) -> bool:
        """Wait for a condition; return whether it holds."""
        deadline = monotonic() + timeout_seconds
        while not holds():
            left_seconds = deadline - monotonic()
            if left_seconds <= 0:
                return False
            self.event.wait(left_seconds)
        return True
