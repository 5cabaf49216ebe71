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
_MAX_WAIT_SHARE: Final = 0.9
_MIN_RETRY_AFTER_SECONDS: Final = 0.05
_MAX_RETRY_AFTER_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000


class Prediction(NamedTuple):
    """What is predicted of a request; ms."""

    wait_ms: float
    first_token_ms: float
    target_ms: float
    remaining_ms: float


class Refusal(NamedTuple):
    """Why a request is refused and when to come back, in seconds."""

    reason: str
    retry_after: float


def check_admission(prediction: Prediction, jitter: float) -> Refusal | None:
    """Return the refusal of a request, or None if it is taken."""
    if prediction.first_token_ms > prediction.remaining_ms:
        return Refusal('deadline', _retry_after_seconds(prediction, jitter))
    if prediction.wait_ms <= prediction.target_ms * _MAX_WAIT_SHARE:
        return None
    return Refusal('overload', _retry_after_seconds(prediction, jitter))


def _retry_after_seconds(prediction: Prediction, jitter: float) -> float:
    surplus_ms = max(
        prediction.wait_ms - prediction.target_ms * _MAX_WAIT_SHARE, 0
    )
    seconds = surplus_ms / _MS_PER_SECOND * (0.5 + jitter)
    return min(_MAX_RETRY_AFTER_SECONDS, max(_MIN_RETRY_AFTER_SECONDS, seconds))
