"""The arrivals of one request at its service, as the retry limits count them.

Every call that reaches a back end is an arrival, also one that is declined.
Each beyond the first draws on the retry limits of the fleet. Only the first
prefill call that an engine accepts is free, and whether it is accepted is
known after the call; so each call is counted before it is sent, and one that
was free or that reached nobody is taken back.
"""

from collections.abc import Callable


class Arrivals:
    """Counts arrivals; `take` and `give_back` draw on the retry limits."""

    def __init__(
        self, take: Callable[[], None], give_back: Callable[[], None]
    ) -> None:
        """Start without an arrival; `take` raises if none is allowed."""
        self.take = take
        self.give_back = give_back
        self.counted = 0
        self.has_prefilled = False

    def begin(self) -> None:
        """Count a call that is about to be sent; raises what `take` raises."""
        if self.counted:
            self.take()
        self.counted += 1

    def cancel(self) -> None:
        """Take back a call that reached no back end."""
        self.counted -= 1
        if self.counted:
            self.give_back()

    def note_prefilled(self) -> None:
        """Take back the first prefill call that an engine has accepted."""
        if not self.has_prefilled:
            self.has_prefilled = True
            self.cancel()
