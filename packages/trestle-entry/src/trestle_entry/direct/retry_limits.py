"""Limits the resends of this entry to its part of the fleet's budget.

The budget applies to the whole fleet: a share of the requests plus a fixed
number, over a sliding window. Every entry uses the share of its own requests
and an equal part of the fixed number, so that together they stay below the
budget however the load is distributed.

The process before this one may have used its part in the window before the
start, and the back ends remember that. So an entry that starts has the share
of its own requests, and the fixed part only after a window.
"""

from collections import deque
from time import monotonic
from typing import Final

# Share of the budget that is used. The platform counts requests that callers
# cancelled later than this entry does.
_USED_SHARE: Final = 0.7


class RetryLimits:
    """Requests and resends of one service in a sliding window."""

    def __init__(
        self, share: float, extra: int, window_seconds: float, started_at: float
    ) -> None:
        """Set the limits of the whole fleet.

        Other processes of this host may have sent until `started_at`, in
        monotonic seconds.
        """
        self.share = share
        self.extra = extra
        self.window_seconds = window_seconds
        self.started_at = started_at
        self.requests: deque[float] = deque()
        self.resends: deque[float] = deque()

    def note_request(self) -> None:
        """Count a request of a caller."""
        self.requests.append(monotonic())

    def allowance(self, entry_count: int) -> float:
        """Return the resends that this entry may make in the window.

        While the number of entries is not known (0), it has no fixed part.
        """
        oldest = monotonic() - self.window_seconds
        _drop_before(self.requests, oldest)
        allowed = len(self.requests) * self.share
        if entry_count and self.started_at <= oldest:
            allowed += self.extra / entry_count
        return allowed * _USED_SHARE

    def used(self) -> int:
        """Return the resends that this entry has made in the window."""
        _drop_before(self.resends, monotonic() - self.window_seconds)
        return len(self.resends)

    def allows(self, entry_count: int) -> bool:
        """Return whether one more resend stays within the limits."""
        return self.used() + 1 <= self.allowance(entry_count)

    def take(self, entry_count: int) -> bool:
        """Count a resend if the limits allow it; return whether they do."""
        allowed = self.allows(entry_count)
        if allowed:
            self.resends.append(monotonic())
        return allowed

    def give_back(self) -> None:
        """Take back the last resend, which reached no back end."""
        if self.resends:
            self.resends.pop()


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
