"""Decides whether a request is admitted or refused with a time to retry.

A request is admitted while the work queued ahead of it leaves time for a
request of common size within the objective. Beyond that, it would be late and
make the requests after it late as well. Its own size does not count against it
beyond the common one, or the largest requests would never be served. A refusal
is immediate and gives the time after which the queue should be short enough, with
jitter so that callers do not retry together.
"""

from typing import Final, NamedTuple

_MIN_RETRY_AFTER_SECONDS: Final = 0.05
_MAX_RETRY_AFTER_SECONDS: Final = 2.0
_MS_PER_SECOND: Final = 1000


class Prediction(NamedTuple):
    """The predicted times of a request, its objective and deadline; ms.

    `wait_ms` is the work ahead of it, `common_ms` what a request of common
    size takes besides the wait. `room_part` is the part of the objective that
    the queues may take for its customer.
    """

    wait_ms: float
    common_ms: float
    first_token_ms: float
    target_ms: float
    remaining_ms: float
    room_part: float = 1.0


class Refusal(NamedTuple):
    """The reason of a refusal, and the seconds after which to retry."""

    reason: str
    retry_after: float


def check_admission(prediction: Prediction, jitter: float) -> Refusal | None:
    """Return the refusal of a request, or None if it is admitted.

    `jitter` is a random number from 0 to 1.
    """
    if prediction.first_token_ms > prediction.remaining_ms:
        return Refusal('deadline', _retry_after_seconds(prediction, jitter))
    if _excess_ms(prediction) <= 0:
        return None
    return Refusal('overload', _retry_after_seconds(prediction, jitter))


def _retry_after_seconds(prediction: Prediction, jitter: float) -> float:
    excess_ms = max(_excess_ms(prediction), 0)
    seconds = excess_ms / _MS_PER_SECOND * (0.5 + jitter)
    return min(_MAX_RETRY_AFTER_SECONDS, max(_MIN_RETRY_AFTER_SECONDS, seconds))


def _excess_ms(prediction: Prediction) -> float:
    """Return by how much the queue is too long; negative if it is not."""
    own_ms = prediction.first_token_ms - prediction.wait_ms
    needed_ms = prediction.wait_ms + min(own_ms, prediction.common_ms)
    return needed_ms - prediction.target_ms * prediction.room_part
