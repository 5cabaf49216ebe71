"""Requests by customer that the entries have told, on the leader.

In memory only: an entry tells a new leader all that it has counted. What a
process has told stays when it ends.
"""

from collections import Counter, defaultdict
from math import inf
from typing import Final

from trestle_core.errorcodes import BAD_FRAME
from trestle_core.errors import TrestleError
from trestle_links.load_messages import MAX_LOAD_FIGURE
from trestle_links.usage_messages import CustomerShare, CustomerUsage

# Windows that are kept where nobody asks for reports.
_MAX_WINDOWS: Final = 240
# Customers of whom entries are told, those that ask most.
_MAX_SHARES: Final = 48
_RATIO_DIGITS: Final = 1
# A customer that is served less than this part as often as all counts as one
# that gets nothing, however much that is.
_LEAST_SERVED_PART: Final = 0.5
# Time between two comparisons of the customers.
_COMPARE_SECONDS: Final = 1.0
# Windows over which customers are compared, the last of them not ended.
_COMPARED_WINDOWS: Final = 2


class UsageTable:
    """The counts of each process of an entry, by window."""

    def __init__(self) -> None:
        """Start without counts."""
        # By window, then by process and customer.
        self.told: defaultdict[int, dict[tuple[str, str], CustomerUsage]] = (
            defaultdict(dict)
        )
        self.sums: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.refused: defaultdict[int, Counter[str]] = defaultdict(Counter)
        # The last window that is recorded.
        self.recorded = 0
        self.compared_at = -inf

    def note(self, process: str, usage: list[CustomerUsage]) -> None:
        """Record what a process has counted; raises `TrestleError`."""
        for counted in usage:
            if not all(
                0 <= figure <= MAX_LOAD_FIGURE for figure in counted[2:]
            ):
                raise TrestleError(BAD_FRAME, 'usage is not a possible figure')
            if counted.window > self.recorded:
                self._add(process, counted)
        if len(self.told) > _MAX_WINDOWS:
            self._forget(min(self.told))

    def counts(self, window: int) -> dict[str, int]:
        """Return the requests of each customer in a window, by name."""
        sums = self.sums.get(window, Counter())
        return {name: sums[name] for name in sorted(sums) if sums[name]}

    def take_shares(self, now: float) -> list[CustomerShare] | None:
        """Return the shares if it is time to tell them again."""
        if now - self.compared_at < _COMPARE_SECONDS:
            return None
        self.compared_at = now
        return self.shares()

    def shares(self) -> list[CustomerShare]:
        """Return who has asked for more than its share lately."""
        served, refused = self._lately(self.sums), self._lately(self.refused)
        asked = served + refused
        level = fair_level(list(asked.values()), served.total())
        least_part = _part(served, asked) * _LEAST_SERVED_PART
        shares = []
        for customer, requests in asked.most_common(_MAX_SHARES):
            if requests <= level:
                break
            ratio = served[customer] / level
            if served[customer] < requests * least_part:
                # It is refused far more often than the others.
                ratio = 0.0
            shares.append(CustomerShare(customer, round(ratio, _RATIO_DIGITS)))
        return shares

    def forget_through(self, recorded: int) -> None:
        """Drop the windows up to the last one that is recorded.

        Those over which customers are compared stay for that.
        """
        self.recorded = recorded
        for window in tuple(self.told):
            if window <= recorded - _COMPARED_WINDOWS:
                self._forget(window)

    def _add(self, process: str, counted: CustomerUsage) -> None:
        window, customer, requests, refused = counted
        told = self.told[window]
        known = told.get((process, customer), CustomerUsage(window, '', 0))
        told[process, customer] = counted
        self.sums[window][customer] += requests - known.requests
        self.refused[window][customer] += refused - known.refused

    def _lately(self, counts: dict[int, Counter[str]]) -> Counter[str]:
        lately: Counter[str] = Counter()
        for window in sorted(counts)[-_COMPARED_WINDOWS:]:
            lately.update(counts[window])
        return lately

    def _forget(self, window: int) -> None:
        for by_window in (self.told, self.sums, self.refused):
            by_window.pop(window)


def fair_level(asked: list[int], served: float) -> float:
    """Return the most that one gets if what is served is shared by need.

    Whoever asks for less gets all of it.
    """
    left = served
    for number, requests in enumerate(sorted(asked)):
        level = left / (len(asked) - number)
        if requests > level:
            return level
        left -= requests
    return float(max(asked, default=0))


def _part(served: Counter[str], asked: Counter[str]) -> float:
    return served.total() / max(1, asked.total())
