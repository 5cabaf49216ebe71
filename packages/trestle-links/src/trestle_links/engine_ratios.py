"""How each engine's prefill times compare with those of its pool, for good.

Answers a pool whose engines differ lastingly: one in three may be more than
twice as slow. A ratio rests on the calls of all entries, some tens of them, and
on their logarithms, so that slow and fast count alike. One call moves it by a
bounded step: an engine that is slow for a moment, or whose host was paused, says
little of what it is. An engine without calls counts as one of its pool.
"""

from math import exp, log, log2
from typing import Final, NamedTuple

# A call multiplies the weight of all earlier ones by this factor.
_KEPT: Final = 0.97
# Calls that an engine is assumed to have made at the pool's speed.
_PRIOR_CALLS: Final = 1.0
# Furthest that a call may be from what is known, as a factor.
_MAX_STEP: Final = log(2.5)
_MAX_RATIO: Final = log(8.0)
_RATIO_DIGITS: Final = 2


class RatioSample(NamedTuple):
    """A call that took `ratio` times as long as the pool's engines would.

    `weight` is 1 for a call that had the engine to itself, less for others.
    """

    instance: str
    ratio: float
    weight: float


class RatioEstimate(NamedTuple):
    """The mean logarithm of an engine's ratios, and the calls behind it."""

    mean: float = 0.0
    calls: float = 0.0


_UNKNOWN: Final = RatioEstimate()


class EngineRatios:
    """The estimates by instance."""

    def __init__(self) -> None:
        """Know no engine."""
        self.estimates: dict[str, RatioEstimate] = {}

    def note(self, sample: RatioSample) -> None:
        """Learn from a call."""
        known = self.estimates.get(sample.instance, _UNKNOWN)
        shown = _bounded(log(max(sample.ratio, 1e-6)), 0.0, _MAX_RATIO)
        if known.calls > _PRIOR_CALLS:
            shown = _bounded(shown, known.mean, _MAX_STEP)
        kept = known.calls * _KEPT
        calls = kept + sample.weight
        mean = (known.mean * kept + shown * sample.weight) / max(calls, 1e-6)
        self.estimates[sample.instance] = RatioEstimate(mean, calls)

    def ratio_of(self, instance: str) -> float:
        """Return how many times as long as its pool an engine takes."""
        mean, calls = self.estimates.get(instance, _UNKNOWN)
        return round(exp(mean * calls / (calls + _PRIOR_CALLS)), _RATIO_DIGITS)

    def forget_all_but(self, instances: set[str]) -> None:
        """Drop the engines that are gone."""
        for instance in set(self.estimates) - instances:
            self.estimates.pop(instance)


def speed_class(ratio: float) -> int:
    """Return a rank for a ratio; engines that differ little share one."""
    return round(log2(ratio))


def _bounded(figure: float, middle: float, distance: float) -> float:
    return min(middle + distance, max(middle - distance, figure))
