"""Estimates of the wait at each endpoint, and of where prompts are cached.

Estimates only choose the endpoints to request a permit from; the endpoints'
replies decide. An estimate combines the endpoint's last reply, which decays
with age, and the dispatches of this entry that are in flight.
"""

from collections import OrderedDict
from time import monotonic
from typing import Final, NamedTuple

_DECAY_SECONDS: Final = 2.0
_REFUSAL_WAIT_MS: Final = 2000.0
_WAIT_PER_DISPATCH_MS: Final = 20.0
_MAX_TRACKED_PIECES: Final = 20_000


class WaitEstimate(NamedTuple):
    """A wait in milliseconds, and the monotonic time of the reply."""

    wait_ms: float
    updated_at: float


class EndpointEstimate:
    """The estimated waits at one endpoint, by request priority.

    Endpoints serve by priority, so the wait at one priority does not apply
    to a more urgent one.
    """

    def __init__(self) -> None:
        """Assume that an unknown endpoint is idle."""
        self.by_priority: dict[int, WaitEstimate] = {}
        self.inflight = 0

    def wait_ms(self, priority: int) -> float:
        """Return the wait in milliseconds, decayed by the estimate's age."""
        own_ms = self.inflight * _WAIT_PER_DISPATCH_MS
        estimate = self.by_priority.get(priority)
        if estimate is None:
            return own_ms
        age = monotonic() - estimate.updated_at
        decay = max(0.0, 1 - age / _DECAY_SECONDS)
        return estimate.wait_ms * decay + own_ms

    def update(self, priority: int, wait_ms: float) -> None:
        """Store the wait from a new reply of the endpoint."""
        self.by_priority[priority] = WaitEstimate(wait_ms, monotonic())


class Estimates:
    """Estimates by endpoint host, and the host of each prompt piece."""

    def __init__(self) -> None:
        """Start with no estimates."""
        self.by_host: dict[str, EndpointEstimate] = {}
        self.piece_hosts: OrderedDict[str, str] = OrderedDict()

    def for_host(self, host: str) -> EndpointEstimate:
        """Return the estimate of a host, created on first use."""
        estimate = self.by_host.get(host)
        if estimate is None:
            estimate = EndpointEstimate()
            self.by_host[host] = estimate
        return estimate

    def record_refusal(self, host: str, priority: int) -> None:
        """Record that a host refused a request or did not reply."""
        self.for_host(host).update(priority, _REFUSAL_WAIT_MS)

    def record_prompt(self, host: str, pieces: list[str]) -> None:
        """Record the host that caches the pieces of a prompt."""
        for piece in pieces:
            self.piece_hosts[piece] = host
            self.piece_hosts.move_to_end(piece)
        while len(self.piece_hosts) > _MAX_TRACKED_PIECES:
            self.piece_hosts.popitem(last=False)

    def prefix_host(self, pieces: list[str]) -> str | None:
        """Return the host of the longest recorded prefix of a prompt."""
        for piece in reversed(pieces):
            host = self.piece_hosts.get(piece)
            if host is not None:
                return host
        return None

    def cached_pieces(self, pieces: list[str]) -> int:
        """Return how many leading pieces some host is assumed to cache."""
        for length in range(len(pieces), 0, -1):
            if pieces[length - 1] in self.piece_hosts:
                return length
        return 0

    def forget(self, host: str) -> None:
        """Drop the estimate of a host that left."""
        self.by_host.pop(host, None)
