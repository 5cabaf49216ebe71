"""The arrivals of one request at its service, as the retry limits count them.

Every call that reaches a back end is an arrival, also one that is declined.
Each beyond the first draws on the retry limits of the fleet. Only the first
prefill call that an engine accepts is free, and whether it is accepted is
known after the call; so each call is counted before it is sent, and one that
was free or that reached nobody is taken back.
"""

from collections.abc import Callable


class Arrivals:
    """Counts arrivals.

    The callers pass what draws on the retry limits, as a request that refers
    to itself would keep its body in memory after its end.
    """

    def __init__(self) -> None:
        """Start without an arrival."""
        self.counted = 0
        self.has_prefilled = False

    def begin(self, take: Callable[[], None]) -> None:
        """Count a call that is about to be sent; raises what `take` raises."""
        if self.counted:
            take()
        self.counted += 1

    def cancel(self, give_back: Callable[[], None]) -> None:
        """Take back a call that reached no back end."""
        self.counted -= 1
        if self.counted:
            give_back()

    def note_prefilled(self, give_back: Callable[[], None]) -> None:
        """Take back the first prefill call that an engine has accepted."""
        if not self.has_prefilled:
            self.has_prefilled = True
            self.cancel(give_back)
