"""Offered work of each engine pool, as two moving averages.

Entries report how many prompt and output tokens callers have requested of
each pool since the entry started. The offered work is measured rather than
the served work: an overloaded phase serves less than is requested, which
would hide the overload.

The fast average follows short-term changes of the mix; the slow average is
the level to which the mix is expected to return. A forecast decays
exponentially from the first to the second.
"""

from collections import defaultdict
from collections.abc import Iterable
from math import exp
from typing import Final, NamedTuple

from trestle_links.watch_messages import (
    DECODE_FIGURE,
    PREFILL_FIGURE,
    NodeReport,
)

_FAST_WINDOW_SHARE: Final = 0.1


class Load(NamedTuple):
    """Tokens per second of prefill and of decode."""

    prefill: float
    decode: float


class PoolDemand:
    """The averages of one pool; times are monotonic seconds."""

    def __init__(self, horizon_seconds: float) -> None:
        """Start without load; the horizon sets both averaging windows."""
        self.horizon_seconds = horizon_seconds
        self.fast = Load(0, 0)
        self.slow = Load(0, 0)
        self.observed_seconds = 0.0

    def observe(self, load: Load, seconds: float) -> None:
        """Update the averages with the load of the last `seconds`."""
        self.observed_seconds += seconds
        fast_seconds = self.horizon_seconds * _FAST_WINDOW_SHARE
        # Until a horizon has passed, all observations weigh the same.
        slow_seconds = min(self.horizon_seconds, self.observed_seconds)
        self.fast = _update_average(self.fast, load, seconds / fast_seconds)
        self.slow = _update_average(self.slow, load, seconds / slow_seconds)

    def forecast(self, ahead_seconds: float) -> Load:
        """Return the expected load in `ahead_seconds` from now."""
        decay = exp(-ahead_seconds / self.horizon_seconds)
        return Load(
            self.slow.prefill + (self.fast.prefill - self.slow.prefill) * decay,
            self.slow.decode + (self.fast.decode - self.slow.decode) * decay,
        )


class TokenCounters:
    """Turns the cumulative counters of the entries into tokens by pool."""

    def __init__(self) -> None:
        """Start without counters."""
        self.last_values: dict[tuple[str, str], float] = {}

    def take_increments(self, reports: Iterable[NodeReport]) -> dict[str, Load]:
        """Return the tokens by pool that were added since the last call."""
        prefill: defaultdict[str, float] = defaultdict(float)
        decode: defaultdict[str, float] = defaultdict(float)
        for report in reports:
            for name, value in report.figures.items():
                increment = self._increment(report.host, name, value)
                if name.startswith(PREFILL_FIGURE):
                    prefill[name.removeprefix(PREFILL_FIGURE)] += increment
                elif name.startswith(DECODE_FIGURE):
                    decode[name.removeprefix(DECODE_FIGURE)] += increment
        return {
            pool: Load(prefill[pool], decode[pool])
            for pool in (*prefill, *decode)
        }

    def _increment(self, host: str, name: str, value: float) -> float:
        last_value = self.last_values.get((host, name))
        self.last_values[host, name] = value
        # A lower value means that the entry restarted; it is the new baseline.
        if last_value is None or value < last_value:
            return 0
        return value - last_value


def _update_average(average: Load, sample: Load, weight: float) -> Load:
    bounded_weight = min(1.0, weight)
    return Load(
        average.prefill + (sample.prefill - average.prefill) * bounded_weight,
        average.decode + (sample.decode - average.decode) * bounded_weight,
    )
