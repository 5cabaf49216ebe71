"""What an entry believes about the load of each endpoint.

The belief only chooses whom to ask for a permit: the answer to the ask is
what decides. It rests on the last answer of the endpoint and on this entry's
own dispatches since, and fades with age.
"""

from collections import OrderedDict
from time import monotonic
from typing import Final, NamedTuple

_FADE_SECONDS: Final = 2.0
_REFUSED_MS: Final = 2000.0
_DISPATCH_MS: Final = 20.0
_PIECES_KEPT: Final = 20_000


class Belief(NamedTuple):
    """A wait in milliseconds, known at a monotonic time."""

    wait_ms: float
    known_at: float


class EndpointEstimate:
    """The believed waits at one endpoint, by the priority of who asks.

    Endpoints honour priorities, so a wait of one priority tells nothing
    about that of a more urgent one.
    """

    def __init__(self) -> None:
        """Believe that an unknown endpoint is idle."""
        self.beliefs: dict[int, Belief] = {}
        self.inflight = 0

    def wait(self, priority: int) -> float:
        """Return the wait in milliseconds, faded by the age of the belief."""
        own_ms = self.inflight * _DISPATCH_MS
        belief = self.beliefs.get(priority)
        if belief is None:
            return own_ms
        age = monotonic() - belief.known_at
        fade = max(0.0, 1 - age / _FADE_SECONDS)
        return belief.wait_ms * fade + own_ms

    def learn(self, priority: int, wait_ms: float) -> None:
        """Take the figure of a fresh answer."""
        self.beliefs[priority] = Belief(wait_ms, monotonic())


class Estimates:
    """Beliefs by endpoint host, and who served which prompt piece."""

    def __init__(self) -> None:
        """Know nothing."""
        self.by_host: dict[str, EndpointEstimate] = {}
        self.piece_hosts: OrderedDict[str, str] = OrderedDict()

    def of(self, host: str) -> EndpointEstimate:
        """Return the belief about a host, made on first use."""
        estimate = self.by_host.get(host)
        if estimate is None:
            estimate = EndpointEstimate()
            self.by_host[host] = estimate
        return estimate

    def refused(self, host: str, priority: int) -> None:
        """Take note of a refusal or of no answer."""
        self.of(host).learn(priority, _REFUSED_MS)

    def served(self, host: str, pieces: list[str]) -> None:
        """Take note of the host that now holds the pieces of a prompt."""
        for piece in pieces:
            self.piece_hosts[piece] = host
            self.piece_hosts.move_to_end(piece)
        while len(self.piece_hosts) > _PIECES_KEPT:
            self.piece_hosts.popitem(last=False)

    def holder(self, pieces: list[str]) -> str | None:
        """Return the host that served the longest known prefix."""
        for piece in reversed(pieces):
            host = self.piece_hosts.get(piece)
            if host is not None:
                return host
        return None

    def known_pieces(self, pieces: list[str]) -> int:
        """Return how many leading pieces some host holds, as believed."""
        for depth in range(len(pieces), 0, -1):
            if pieces[depth - 1] in self.piece_hosts:
                return depth
        return 0

    def forget(self, host: str) -> None:
        """Drop the belief about a host that left."""
        self.by_host.pop(host, None)
