"""Who is taken and who is told to come back.

A request is taken while the work ahead of it leaves time for a request of
common size within the objective; beyond that it would cost the engine time of
another one that could still be served in time. Its own size does not count
against it, or the largest requests would never be served. A refusal is made at once and says
when the work ahead will be short enough, spread by a draw so that callers do
not return together.
"""

from typing import Final, NamedTuple

# Share of the objective that the work ahead may take.
_TAKEN_SHARE: Final = 0.9
_SHORTEST_RETURN_SECONDS: Final = 0.05
_LONGEST_RETURN_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000


class Prospect(NamedTuple):
    """What is predicted of a request; ms."""

    wait_ms: float
    first_token_ms: float
    target_ms: float
    left_ms: float


class Refusal(NamedTuple):
    """Why a request is refused and when to come back, in seconds."""

    reason: str
    retry_after: float


def refusal_of(prospect: Prospect, draw: float) -> Refusal | None:
    """Return the refusal of a request, or None if it is taken."""
    if prospect.first_token_ms > prospect.left_ms:
        return Refusal('deadline', _return_seconds(prospect, draw))
    if prospect.wait_ms <= prospect.target_ms * _TAKEN_SHARE:
        return None
    return Refusal('overload', _return_seconds(prospect, draw))


def _return_seconds(prospect: Prospect, draw: float) -> float:
    surplus_ms = max(prospect.wait_ms - prospect.target_ms * _TAKEN_SHARE, 0)
    seconds = surplus_ms / _MS_PER_SECOND * (0.5 + draw)
    return min(_LONGEST_RETURN_SECONDS, max(_SHORTEST_RETURN_SECONDS, seconds))
