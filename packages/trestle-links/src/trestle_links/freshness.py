"""How old a node's view of the control state is, by its own clock.

A stamp says how old the control host's state was when the ask arrived. The
node subtracts that age from the time at which it asked, so neither the delay
of the answer nor another host's clock makes the view fresher.

Invariant: a view counts as current only from a stamp younger than the node's
start. The node may have served a newer set before than a lagging control host
would hand it, or a leader that is cut off and does not know it yet.
"""

from math import inf
from time import monotonic
from typing import Final

from trestle_links.watch_messages import Stamp

_MS_PER_SECOND: Final = 1000


class Freshness:
    """The asks that are out and the time at which the view was current."""

    def __init__(self) -> None:
        """Start with a view that was never current."""
        self.fresh_at = -inf
        self.started_at = monotonic()
        self.asked: dict[int, float] = {}

    def age_seconds(self) -> float:
        """Return the age of the view; infinity before the first that counts."""
        return monotonic() - self.fresh_at

    @property
    def was_ever_fresh(self) -> bool:
        """Whether a stamp has counted since the start."""
        return self.fresh_at > -inf

    @property
    def unanswered(self) -> int:
        """How many asks of this stream have no stamp yet."""
        return len(self.asked)

    def begin_stream(self) -> None:
        """Forget the asks of an earlier stream: their stamps never come."""
        self.asked.clear()

    def note_ask(self, number: int) -> None:
        """Note that an ask leaves now."""
        self.asked[number] = monotonic()

    def take(self, stamp: Stamp) -> None:
        """Take the stamp of an ask on this stream; others do not count."""
        asked_at = self.asked.pop(stamp.number, None)
        if asked_at is None:
            return
        fresh_at = asked_at - stamp.age_ms / _MS_PER_SECOND
        if fresh_at >= self.started_at:
            self.fresh_at = max(self.fresh_at, fresh_at)
