"""Counts the offered load of each engine pool for the control hosts.

The figures are monotonic counters, so a lost report loses nothing. They
include requests that are refused: the leader's role policy needs the demand,
not the load that the present roles can serve.
"""

from typing import Final

from trestle_core.digests import PIECE_TOKENS
from trestle_entry.caller_requests import ModelRequest
from trestle_entry.estimates import Estimates
from trestle_links.watch_messages import DECODE_FIGURE, PREFILL_FIGURE

_SHARE_SMOOTHING: Final = 0.05


class OfferedLoad:
    """The counters of this entry, and the output share of each route."""

    def __init__(self, figures: dict[str, float], estimates: Estimates) -> None:
        """Count in `figures`, which the node's stamp requests carry."""
        self.figures = figures
        self.estimates = estimates
        # Share of `max_tokens` that answers use, by route.
        self.output_share: dict[str, float] = {}

    def record_request(self, pool: str, request: ModelRequest) -> None:
        """Count a request that a caller offers to a pool."""
        cached = self.estimates.cached_pieces(request.pieces)
        prefill_tokens = max(0, request.prompt_tokens - cached * PIECE_TOKENS)
        decode_tokens = request.max_tokens * self.output_share.get(
            request.route, 1.0
        )
        self._increase(PREFILL_FIGURE + pool, prefill_tokens)
        self._increase(DECODE_FIGURE + pool, decode_tokens)

    def expected_output_tokens(self, request: ModelRequest) -> int:
        """Return the expected tokens; `max_tokens` without history."""
        return int(request.max_tokens * self.output_share.get(request.route, 1))

    def has_history(self, route: str) -> bool:
        """Return whether an answer of the route has been completed."""
        return route in self.output_share

    def record_answer(self, request: ModelRequest, tokens: int) -> None:
        """Update the output share of a route with a completed answer."""
        share = tokens / request.max_tokens
        previous = self.output_share.get(request.route, share)
        self.output_share[request.route] = (
            previous + (share - previous) * _SHARE_SMOOTHING
        )

    def _increase(self, name: str, amount: float) -> None:
        self.figures[name] = self.figures.get(name, 0.0) + amount
