"""How many entries share the limits of the fleet.

A leader counts the entries that have a stream to it. Just after its election
it knows few of them, and one that is cut off from it still sends. So a smaller
number holds only once no larger one has been told for some time.
"""

from collections import deque
from time import monotonic
from typing import NamedTuple


class ToldCount(NamedTuple):
    """The number of entries that a leader told, and when."""

    entries: int
    at: float


class EntryCounts:
    """The numbers told lately, in decreasing order."""

    def __init__(self, memory_seconds: float) -> None:
        """Start without a number; each is remembered for so long."""
        self.memory_seconds = memory_seconds
        self.told: deque[ToldCount] = deque()

    def note(self, count: int) -> None:
        """Record what a leader told."""
        while self.told and self.told[-1].entries <= count:
            self.told.pop()
        self.told.append(ToldCount(max(1, count), monotonic()))

    def most(self) -> int:
        """Return the largest number that is remembered, 0 before the first."""
        oldest = monotonic() - self.memory_seconds
        while len(self.told) > 1 and self.told[0].at <= oldest:
            self.told.popleft()
        return self.told[0].entries if self.told else 0
