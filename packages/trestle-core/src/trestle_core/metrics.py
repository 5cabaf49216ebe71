"""Counters and histograms of one process, in Prometheus text.

Counters carry at most one label, `code` or `reason`. Histograms are
hdrhistogram's, in microseconds, with two significant digits.
"""

from collections import defaultdict
from typing import Final, Self

from hdrh.histogram import HdrHistogram

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_US_PER_SECOND: Final = 1_000_000
_QUANTILES: Final = (0.5, 0.95, 0.99)
_PERCENT: Final = 100
_PREFIX: Final = 'kingcuptrestle'


class Metrics:
    """All counters, gauges and histograms of a process."""

    def __init__(self) -> None:
        """Start with no series."""
        self.counters: defaultdict[tuple[str, str], int] = defaultdict(int)
        self.gauges: dict[tuple[str, str], float] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    @classmethod
    def empty(cls) -> Self:
        """Return a registry with no series."""
        return cls()

    def count(self, name: str, label: str = '', amount: int = 1) -> None:
        """Add to a counter; `label` is a code or a reason."""
        self.counters[name, label] += amount

    def set_gauge(self, name: str, value: float, label: str = '') -> None:
        """Set a gauge to its current value."""
        self.gauges[name, label] = value

    def observe_seconds(self, name: str, seconds: float) -> None:
        """Record a duration."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self.histograms[name] = histogram
        histogram.record_value(max(_LOWEST_US, int(seconds * _US_PER_SECOND)))

    def render(self) -> str:
        """Return every series as Prometheus text."""
        lines = [
            _series_line(f'{name}_total', label, value)
            for (name, label), value in sorted(self.counters.items())
        ]
        lines.extend(
            _series_line(name, label, value)
            for (name, label), value in sorted(self.gauges.items())
        )
        for name, histogram in sorted(self.histograms.items()):
            lines.extend(_summary_lines(name, histogram))
        return '\n'.join([*lines, ''])


def _series_line(name: str, label: str, value: float) -> str:
    labels = f'{{code="{label}"}}' if label else ''
    return f'{_PREFIX}_{name}{labels} {value}'


def _summary_lines(name: str, histogram: HdrHistogram) -> list[str]:
    lines = [
        f'{_PREFIX}_{name}_seconds{{quantile="{quantile}"}} '
        f'{_quantile_seconds(histogram, quantile):.6f}'
        for quantile in _QUANTILES
    ]
    count = histogram.get_total_count()
    return [*lines, f'{_PREFIX}_{name}_seconds_count {count}']


def _quantile_seconds(histogram: HdrHistogram, quantile: float) -> float:
    value = histogram.get_value_at_percentile(quantile * _PERCENT)
    return float(value) / _US_PER_SECOND
