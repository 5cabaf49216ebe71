"""How often back ends decline calls at present, over all entries.

A back end that declines most calls answers them fast and looks idle. Each entry
alone needs several declined calls to learn that, all entries together far too
many: each is an arrival that draws on the retry limits. So the entries tell each
other, and the rate counts the calls of all.
"""

from time import monotonic
from typing import Final

# Weight of one call in the moving average.
_CALL_WEIGHT: Final = 0.25
# Above this rate a back end is used only if no other is left.
_HIGH_RATE: Final = 0.5
# A rate halves in this time, so that a back end that is not called is tried again.
_HALF_LIFE_SECONDS: Final = 3.0
# Below this rate the calls that are accepted are not worth telling.
_LOW_RATE: Final = 0.05


class DeclineRate:
    """The share of declined calls of one back end."""

    def __init__(self) -> None:
        """Start without a call."""
        self.rate = 0.0
        self.updated_at = monotonic()

    def current(self) -> float:
        """Return the rate, decayed since the last call."""
        halvings = (monotonic() - self.updated_at) / _HALF_LIFE_SECONDS
        return float(self.rate * 0.5**halvings)

    def note(self, declined: int, accepted: int) -> None:
        """Count calls, the declined ones first."""
        rate = self.current()
        rate = 1 - (1 - rate) * (1 - _CALL_WEIGHT) ** declined
        self.rate = rate * (1 - _CALL_WEIGHT) ** accepted
        self.updated_at = monotonic()


class DeclineRates:
    """The rates of all back ends that have declined calls."""

    def __init__(self) -> None:
        """Start without a declined call."""
        self.rates: dict[str, DeclineRate] = {}

    def note(self, instance: str, declined: int, accepted: int) -> None:
        """Count calls of a back end."""
        if declined or instance in self.rates:
            rate = self.rates.setdefault(instance, DeclineRate())
            rate.note(declined, accepted)

    def is_high(self, instance: str) -> bool:
        """Return whether a back end declines most calls."""
        rate = self.rates.get(instance)
        return rate is not None and rate.current() > _HIGH_RATE

    def is_notable(self, instance: str) -> bool:
        """Return whether calls that a back end accepts are worth telling."""
        rate = self.rates.get(instance)
        return rate is not None and rate.current() > _LOW_RATE

    def keep_only(self, instances: set[str]) -> None:
        """Drop the rates of all other back ends."""
        for instance in set(self.rates) - instances:
            self.rates.pop(instance)
