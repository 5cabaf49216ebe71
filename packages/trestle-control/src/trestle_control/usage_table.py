"""Requests by customer that the entries have told, on the leader.

In memory only: an entry tells a new leader all that it has counted. What a
process has told stays when it ends.
"""

from collections import Counter, defaultdict

from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError
from trestle_links.load_messages import MAX_LOAD_FIGURE
from trestle_links.usage_messages import CustomerUsage


class UsageTable:
    """The counts of each process of an entry, by window."""

    def __init__(self) -> None:
        """Start without counts."""
        # By window, then by process and customer.
        self.told: defaultdict[int, dict[tuple[str, str], int]] = defaultdict(
            dict
        )
        # The last window that is recorded.
        self.recorded = 0

    def note(self, process: str, usage: list[CustomerUsage]) -> None:
        """Record what a process has counted; raises `TrestleError`."""
        for window, customer, requests in usage:
            if not 0 <= requests <= MAX_LOAD_FIGURE:
                raise TrestleError(BAD_FRAME, 'usage is not a possible figure')
            if window > self.recorded:
                self.told[window][process, customer] = requests

    def counts(self, window: int) -> dict[str, int]:
        """Return the requests of each customer in a window, by name."""
        sums: Counter[str] = Counter()
        for (_, customer), requests in self.told.get(window, {}).items():
            sums[customer] += requests
        return dict(sorted(sums.items()))

    def forget_through(self, recorded: int) -> None:
        """Drop the windows up to the last one that is recorded."""
        self.recorded = recorded
        for window in tuple(self.told):
            if window <= recorded:
                self.told.pop(window)
