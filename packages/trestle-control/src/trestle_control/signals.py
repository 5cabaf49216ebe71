"""A signal on which several greenlets can wait for a condition."""

from collections.abc import Callable
from time import monotonic

from gevent.event import Event


class Signal:
    """Wakes all waiting greenlets, which then check their conditions."""

    def __init__(self) -> None:
        """Start without waiting greenlets."""
        self.event = Event()

    def notify(self) -> None:
        """Wake all greenlets that are waiting."""
        event = self.event
        self.event = Event()
        event.set()

    def wait_until(
        self,
        is_met: Callable[[], bool],
        timeout_seconds: float,
    ) -> bool:
        """Wait until a condition is true; return whether it is."""
        deadline = monotonic() + timeout_seconds
        while not is_met():
            remaining_seconds = deadline - monotonic()
            if remaining_seconds <= 0:
                return False
            self.event.wait(remaining_seconds)
        return True
