"""How much slower than expected each engine works, from the calls to it.

The leader keeps one estimate from the calls of all entries; an entry starts
from it and adds its own calls until the next exchange. An engine that nobody
calls any more drifts back to the figure of the fastest one, so that it is
tried again.
"""

from time import monotonic
from typing import Final, NamedTuple

# Weight of one call in an estimate.
_CALL_WEIGHT: Final = 0.25
_LEAST: Final = 0.5
_MOST: Final = 40.0
# Time without a call after which half of a difference is forgotten, s.
_FORGET_SECONDS: Final = 2.5
# Time without a call after which nothing is left of it, s: the engine may
# have ended.
_GONE_SECONDS: Final = 40.0


class Estimate(NamedTuple):
    """A slowness and when a call last showed it."""

    slowness: float
    noted_at: float


class SlownessTable:
    """Estimates by instance."""

    def __init__(self) -> None:
        """Know no engine."""
        self.estimates: dict[str, Estimate] = {}
        # The least slowness; 1 before anything is known.
        self.fastest = 1.0

    def note(self, instance: str, slowness: float) -> None:
        """Learn from a call."""
        shown = min(_MOST, max(_LEAST, slowness))
        known = self.slowness_of(instance)
        self.estimates[instance] = Estimate(
            known + _CALL_WEIGHT * (shown - known), monotonic()
        )
        self.fastest = min(
            estimate.slowness for estimate in self.estimates.values()
        )

    def slowness_of(self, instance: str) -> float:
        """Return how many times slower than expected an engine is."""
        estimate = self.estimates.get(instance)
        if estimate is None:
            return self.fastest
        halvings = (monotonic() - estimate.noted_at) / _FORGET_SECONDS
        share = float(0.5 ** max(0.0, halvings - 1))
        return self.fastest + (estimate.slowness - self.fastest) * share

    def figures(self) -> dict[str, float]:
        """Return the present slowness of engines that were called lately."""
        oldest = monotonic() - _GONE_SECONDS
        self.estimates = {
            instance: estimate
            for instance, estimate in self.estimates.items()
            if estimate.noted_at > oldest
        }
        return {
            instance: round(self.slowness_of(instance), 2)
            for instance in self.estimates
        }

    def take(self, figures: dict[str, float]) -> None:
        """Take over estimates of another table."""
        now = monotonic()
        for instance, slowness in figures.items():
            self.estimates[instance] = Estimate(slowness, now)
        if figures:
            self.fastest = min(
                estimate.slowness for estimate in self.estimates.values()
            )

    def forget(self, instance: str) -> None:
        """Forget an engine that ended."""
        self.estimates.pop(instance, None)
