"""True time, as the median of what the hosts' clocks show.

A time of day may be wrong or jump on some hosts. So the leader takes the median
over its own clock and those of the entries that report to it, and tells it to
them. In between, time goes on by a clock that neither jumps nor stands still
while a host is suspended.
"""

from collections import deque
from statistics import median_low
from time import CLOCK_BOOTTIME, clock_gettime, time
from typing import Final

_MS_PER_SECOND: Final = 1000
# A told time that arrived late says too little; of so many one was in time.
_TOLD_KEPT: Final = 32


def wall_clock_ms() -> int:
    """Return the time of day of this host, Unix ms; it may be wrong."""
    return int(time() * _MS_PER_SECOND)


def _elapsed_ms() -> int:
    return int(clock_gettime(CLOCK_BOOTTIME) * _MS_PER_SECOND)


class FollowedClock:
    """True time at an entry; its own time of day until it is told another."""

    def __init__(self) -> None:
        """Start with the time of day."""
        self.offset_ms = wall_clock_ms() - _elapsed_ms()
        self.told_offsets: deque[int] = deque(maxlen=_TOLD_KEPT)

    def follow(self, unix_ms: int) -> None:
        """Go by a time that the leader has just told."""
        self.told_offsets.append(unix_ms - _elapsed_ms())
        self.offset_ms = max(self.told_offsets)

    def unix_ms(self) -> int:
        """Return the true time, Unix ms."""
        return _elapsed_ms() + self.offset_ms


class MedianClock:
    """True time at the leader, from the clocks of all entries."""

    def __init__(self) -> None:
        """Start with the clock of this host alone."""
        self.offsets: dict[str, int] = {}

    def note(self, host: str, unix_ms: int) -> None:
        """Record what an entry's clock shows now."""
        self.offsets[host] = unix_ms - _elapsed_ms()

    def drop(self, host: str) -> None:
        """Forget the clock of an entry that is gone."""
        self.offsets.pop(host, None)

    def unix_ms(self) -> int:
        """Return the true time, Unix ms."""
        elapsed_ms = _elapsed_ms()
        own_offset = wall_clock_ms() - elapsed_ms
        return elapsed_ms + median_low([own_offset, *self.offsets.values()])
