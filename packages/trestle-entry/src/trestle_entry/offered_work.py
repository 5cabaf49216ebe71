"""Offered work by engine pool, reported to the control hosts.

The figures are growing counters, so a lost report loses nothing. They count
what callers ask for, also when it is refused: the leader's role policy needs
the work that is wanted, not the work that the present roles let through.
"""

from typing import Final

from trestle_core.digests import PIECE_TOKENS
from trestle_entry.caller_requests import ModelRequest
from trestle_entry.estimates import Estimates
from trestle_links.watch_messages import DECODE_FIGURE, PREFILL_FIGURE

_RATIO_WEIGHT: Final = 0.05


class OfferedWork:
    """The counters of this entry."""

    def __init__(self, figures: dict[str, float], estimates: Estimates) -> None:
        """Write into the figures that ride on the node's stamp asks."""
        self.figures = figures
        self.estimates = estimates
        # Share of `max_tokens` that answers use, by route.
        self.used_share: dict[str, float] = {}

    def add(self, pool: str, request: ModelRequest) -> None:
        """Count a request that a caller offers to a pool."""
        known = self.estimates.known_pieces(request.pieces)
        prefill = max(0, request.prompt_tokens - known * PIECE_TOKENS)
        decode = request.max_tokens * self.used_share.get(request.route, 1.0)
        self._grow(PREFILL_FIGURE + pool, prefill)
        self._grow(DECODE_FIGURE + pool, decode)

    def expected_tokens(self, request: ModelRequest) -> int:
        """Return the likely length of an answer, its bound at first."""
        return int(request.max_tokens * self.used_share.get(request.route, 1))

    def knows(self, route: str) -> bool:
        """Tell whether a whole answer of the route has been seen."""
        return route in self.used_share

    def learn(self, request: ModelRequest, tokens: int) -> None:
        """Take in the length of a whole answer."""
        used = tokens / request.max_tokens
        before = self.used_share.get(request.route, used)
        self.used_share[request.route] = (
            before + (used - before) * _RATIO_WEIGHT
        )

    def _grow(self, name: str, amount: float) -> None:
        self.figures[name] = self.figures.get(name, 0.0) + amount
