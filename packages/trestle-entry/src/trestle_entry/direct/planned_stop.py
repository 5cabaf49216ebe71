"""What a planned stop of the entry does to requests.

A process is killed at the end of its grace period, and a request that is cut
then gets no answer. So two things happen before:

* a request that is read late in the drain is refused as not run if it might
  not be done in time, so that its caller tries another entry at once;
* at the end of the drain, what still runs is ended like at its deadline, and
  the caller gets an answer of ours: a refusal if nothing was sent yet, else a
  failure that promises nothing. A stream that has begun is broken off.
"""

from math import inf
from time import monotonic
from typing import Final

from trestle_core.errorcodes import DRAINING
from trestle_core.errors import TrestleError
from trestle_core.route_table import Route
from trestle_entry.direct.replies import RefusedError
from trestle_entry.stop_limits import StopLimits

# Another entry takes the request at once.
_RETRY_AFTER_SECONDS: Final = 0.05
# A request that may be repeated is taken with so many times its latency target
# left, but at least with so much time.
_TARGETS_LEFT: Final = 2
_MIN_LEFT_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000


class PlannedStop(StopLimits):
    """Whether this entry stops, and the waits of its requests."""

    def __init__(self) -> None:
        """Start without a stop."""
        super().__init__()
        # Monotonic seconds at which the remaining requests are ended.
        self.ends_at = inf

    def begin(self, ends_at: float) -> None:
        """Refuse from now on what might not be done at a time."""
        self.ends_at = ends_at

    def check(self, route: Route, deadline: float) -> None:
        """Raise `RefusedError` if a request might not be done in time."""
        if self.ends_at < inf and self._is_too_late(route, deadline):
            raise draining('this entry stops before the request may be done')

    def _is_too_late(self, route: Route, deadline: float) -> bool:
        """Return whether a request may need longer than there is."""
        now = monotonic()
        needed_seconds = deadline - now
        if route.is_idempotent:
            usual_seconds = route.target_ms * _TARGETS_LEFT / _MS_PER_SECOND
            needed_seconds = min(
                needed_seconds, max(usual_seconds, _MIN_LEFT_SECONDS)
            )
        return now + needed_seconds > self.ends_at


def draining(reason: str) -> TrestleError:
    """Return the refusal of a request by an entry that stops."""
    return RefusedError(DRAINING, reason, _RETRY_AFTER_SECONDS)
