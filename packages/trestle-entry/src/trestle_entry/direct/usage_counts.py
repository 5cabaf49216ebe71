"""Counts the requests of each customer that began to run, by window of time.

The counts are those since the start of this process, so that one that is told
twice, or to a new leader, changes nothing.
"""

from collections import Counter
from secrets import token_hex
from typing import Final

from trestle_links.agreed_clock import FollowedClock
from trestle_links.usage_messages import CustomerUsage

_INCARNATION_BYTES: Final = 8
# Older windows are given up if no leader records them.
_MAX_WINDOWS: Final = 240


class UsageCounts:
    """The counts of the windows that are not recorded yet."""

    def __init__(self) -> None:
        """Start without a window; nothing is counted until one is set."""
        # Tells this process from others that its host starts.
        self.incarnation = token_hex(_INCARNATION_BYTES)
        self.clock = FollowedClock()
        self.window_ms = 0
        self.counts: dict[int, Counter[str]] = {}
        self.refused: dict[int, Counter[str]] = {}
        self.unreported: set[tuple[int, str]] = set()

    def note_begun(self, customer: str, unix_ms: int) -> None:
        """Count a request that began at a time."""
        if self.window_ms:
            self._count(self.counts, customer, unix_ms)

    def note_refused(self, customer: str) -> None:
        """Count a request that is refused now for want of room."""
        if self.window_ms:
            self._count(self.refused, customer, self.clock.unix_ms())

    def report_all(self) -> None:
        """Tell all counts again, to a leader that may be new."""
        self.unreported = {
            (window, customer)
            for window, by_customer in self.counts.items()
            for customer in by_customer | self.refused[window]
        }

    def take_unreported(self) -> list[CustomerUsage]:
        """Return the counts that have changed since the last call."""
        taken = [
            CustomerUsage(
                window,
                customer,
                self.counts[window][customer],
                self.refused[window][customer],
            )
            for window, customer in sorted(self.unreported)
        ]
        self.unreported.clear()
        return taken

    def forget_through(self, recorded: int) -> None:
        """Drop the windows up to the last one that is recorded."""
        for window in tuple(self.counts):
            if window <= recorded:
                self._forget(window)

    def _count(
        self, counts: dict[int, Counter[str]], customer: str, unix_ms: int
    ) -> None:
        window = unix_ms // self.window_ms
        for by_window in (self.counts, self.refused):
            by_window.setdefault(window, Counter())
        counts[window][customer] += 1
        self.unreported.add((window, customer))
        if len(self.counts) > _MAX_WINDOWS:
            self._forget(min(self.counts))

    def _forget(self, window: int) -> None:
        known = self.counts.pop(window) | self.refused.pop(window)
        for customer in known:
            self.unreported.discard((window, customer))
