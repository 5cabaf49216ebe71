"""When a request that may be repeated is sent a second time, and how often.

Answers a back end that is slow now and then. The operator sets the share of the
requests that may be sent once more before the first send has answered; 0 sends
none. The wait before a second send is learned: with a share of 0.05, the time in
which 95 of 100 answers of the service have come lately. So about as many requests
are late as may be sent twice.
"""

from collections import deque
from typing import Final

from trestle_core.metrics import Metrics

# Answers that the wait is learned from, and the least that it takes.
_KEPT_ANSWERS: Final = 200
_LEAST_ANSWERS: Final = 20
# Second sends that may follow each other at once.
_BURST: Final = 3.0


class ServiceHedges:
    """The answers of one service, and the second sends that are left."""

    def __init__(self) -> None:
        """Start with one second send."""
        self.seconds: deque[float] = deque(maxlen=_KEPT_ANSWERS)
        self.left = 1.0


class HedgePolicy:
    """The second sends of all services of an entry."""

    def __init__(self, share: float, metrics: Metrics) -> None:
        """Allow second sends for a share of the requests."""
        self.share = share
        self.metrics = metrics
        self.services: dict[str, ServiceHedges] = {}

    def note_request(self, service: str) -> None:
        """Count a request that could be sent twice."""
        hedges = self._of(service)
        hedges.left = min(_BURST, hedges.left + self.share)

    def note_answer(self, service: str, seconds: float) -> None:
        """Learn from the time of an answer."""
        self._of(service).seconds.append(seconds)

    def wait_seconds(self, service: str) -> float | None:
        """Return the wait before a second send, None for no second send."""
        seconds = self._of(service).seconds
        if not self.share or len(seconds) < _LEAST_ANSWERS:
            return None
        place = int(len(seconds) * (1 - self.share))
        return sorted(seconds)[min(place, len(seconds) - 1)]

    def take(self, service: str) -> bool:
        """Count a second send, if one is left."""
        hedges = self._of(service)
        if hedges.left < 1:
            self.metrics.count('hedges', 'over-share')
            return False
        hedges.left -= 1
        return True

    def _of(self, service: str) -> ServiceHedges:
        return self.services.setdefault(service, ServiceHedges())
