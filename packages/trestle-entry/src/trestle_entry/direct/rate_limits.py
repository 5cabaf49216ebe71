"""The rate limits that back ends name in their answers."""

from math import inf

from trestle_core.logs import part_logger

_log = part_logger('limits')


class RateLimits:
    """The named limits, in requests a second from all entries, by instance."""

    def __init__(self) -> None:
        """Start without limits."""
        self.rates: dict[str, float] = {}

    def note_named(self, instance: str, rate: float) -> None:
        """Record the limit in an answer, infinite for none."""
        known = self.rates.get(instance, inf)
        if rate == known:
            return
        if rate == inf:
            self.rates.pop(instance)
            _log.info('{} names no rate limit any more.', instance)
            return
        self.rates[instance] = rate
        _log.info('{} names a limit of {:.2f} requests/s.', instance, rate)
