"""Rate limits of back ends and the sends to them, on their way through a leader.

The leader passes on what the entries tell: the limits as they stand, and the
sends of all entries since the last push.
"""

from collections import Counter
from math import isfinite
from typing import Final

from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError
from trestle_links.load_messages import (
    MAX_LOAD_FIGURE,
    NamedLimit,
    SendCount,
)

# Back ends that are gone are dropped only when there are more.
_MAX_LIMITS: Final = 5000


class LimitTable:
    """The named limits by instance, and what is to be pushed."""

    def __init__(self) -> None:
        """Start without limits."""
        self.rates: dict[str, float] = {}
        self.changed: dict[str, NamedLimit] = {}
        self.sends: Counter[str] = Counter()

    def record(self, limits: list[NamedLimit], sends: list[SendCount]) -> None:
        """Record what an entry told; raises `TrestleError` if impossible."""
        for named in limits:
            _check_limit(named)
            self._record_limit(named)
        for instance, count in sends:
            if abs(count) > MAX_LOAD_FIGURE:
                raise TrestleError(BAD_FRAME, 'a count is not possible')
            self.sends[instance] += count

    def take_changed(self) -> list[NamedLimit]:
        """Return the limits that have changed since the last call."""
        taken = list(self.changed.values())
        self.changed.clear()
        return taken

    def take_sends(self) -> list[SendCount]:
        """Return the sends of all entries since the last call."""
        taken = [SendCount(*counted) for counted in self.sends.items()]
        self.sends.clear()
        return taken

    def all_limits(self) -> list[NamedLimit]:
        """Return all limits."""
        return [NamedLimit(*limit) for limit in self.rates.items()]

    def _record_limit(self, named: NamedLimit) -> None:
        if named.rate == self.rates.get(named.instance):
            return
        self.changed[named.instance] = named
        self.rates.pop(named.instance, None)
        if named.rate is not None:
            self.rates[named.instance] = named.rate
        while len(self.rates) > _MAX_LIMITS:
            self.rates.pop(next(iter(self.rates)))


def _check_limit(named: NamedLimit) -> None:
    rate = named.rate
    if rate is not None and not (isfinite(rate) and rate >= 0):
        raise TrestleError(BAD_FRAME, 'a rate limit is not a rate')
