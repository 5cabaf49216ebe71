"""Predicts the time to the first token from completed work.

The prediction is the sum of the wait for a slot, the prefill time of the
prompt and of the prompts ahead, and a fixed overhead. Each rate is a moving
average of this process's own measurements, so lagging load reports have no
effect. The engine honours priorities, so only work that is at least as
urgent counts as ahead.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from trestle_endpoint.permits import Demand, WorkItem

_SAMPLE_WEIGHT: Final = 0.2
_INITIAL_PREFILL_TOKENS_PER_SECOND: Final = 20_000.0
_INITIAL_RUN_SECONDS: Final = 1.0
_INITIAL_OVERHEAD_SECONDS: Final = 0.02
_INITIAL_PREFILL_OVERHEAD_SECONDS: Final = 0.06
_INITIAL_STREAM_TOKENS_PER_SECOND: Final = 25.0
# The rate of a shorter stream reflects the batching of frames.
_MIN_STREAM_TOKENS: Final = 4
_SLOW_STREAM_WEIGHT: Final = 0.02
# The fixed overhead hides the prefill time of a shorter prompt.
_MIN_PREFILL_TOKENS: Final = 500


class Occupancy(NamedTuple):
    """The work that is ahead of a request on the target.

    `is_prefilling` is true while the engine prefills a prompt of any
    priority, which makes its steps longer for all requests.
    """

    prefill_tokens: int
    running: int
    queued: int
    long_prompts: int
    is_prefilling: bool = False


NOTHING_AHEAD: Final = Occupancy(0, 0, 0, 0)


class WaitEstimate:
    """The moving averages of one target."""

    def __init__(self, max_running: int) -> None:
        """Start with conservative rates."""
        self.max_running = max_running
        self.prefill_seconds_per_token = 1 / _INITIAL_PREFILL_TOKENS_PER_SECOND
        self.overhead_seconds = _INITIAL_OVERHEAD_SECONDS
        self.prefill_overhead_seconds = _INITIAL_PREFILL_OVERHEAD_SECONDS
        self.stream_tokens_per_second = _INITIAL_STREAM_TOKENS_PER_SECOND
        self.seconds_per_token = 1 / _INITIAL_STREAM_TOKENS_PER_SECOND
        self.run_seconds = _INITIAL_RUN_SECONDS
        self.long_run_seconds = _INITIAL_RUN_SECONDS

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens per second."""
        return 1 / self.prefill_seconds_per_token

    def predict_first_token_seconds(
        self, demand: Demand, ahead: Occupancy, long_prompt_limit: int
    ) -> float:
        """Predict the time from dispatch to the first token."""
        tokens = ahead.prefill_tokens + demand.prefill_tokens
        return (
            self._current_overhead(ahead)
            + tokens / self.prefill_rate
            + self._slot_wait_seconds(demand, ahead, long_prompt_limit)
        )

    def record_first_token(self, ahead: Occupancy, seconds: float) -> None:
        """Record the time to a first token, given the work ahead of it."""
        tokens = ahead.prefill_tokens
        if tokens < _MIN_PREFILL_TOKENS:
            self._record_overhead(ahead, seconds)
            return
        prefill_seconds = max(
            seconds - self._current_overhead(ahead), seconds / 2, 0.001
        )
        # Averaging times rather than rates detects an engine that became
        # slow immediately; high rates dominate an average of rates.
        self.prefill_seconds_per_token = _moving_average(
            self.prefill_seconds_per_token, prefill_seconds / tokens
        )

    def record_run(self, demand: Demand, seconds: float) -> None:
        """Record how long a slot was occupied."""
        if demand.is_long:
            self.long_run_seconds = _moving_average(
                self.long_run_seconds, seconds
            )
        self.run_seconds = _moving_average(self.run_seconds, seconds)

    def record_stream(self, tokens: int, seconds: float) -> None:
        """Record the rate of one stream after its first token.

        The stream rate estimates an engine that only decodes, so a faster
        stream has a large weight and a slower one, which prefills may have
        delayed, a small weight.
        """
        if tokens < _MIN_STREAM_TOKENS or seconds <= 0:
            return
        rate = tokens / seconds
        self.seconds_per_token = _moving_average(
            self.seconds_per_token, 1 / rate
        )
        if rate > self.stream_tokens_per_second:
            self.stream_tokens_per_second = _moving_average(
                self.stream_tokens_per_second, rate
            )
        else:
            change = rate - self.stream_tokens_per_second
            self.stream_tokens_per_second += _SLOW_STREAM_WEIGHT * change

    def predict_answer_seconds(self, tokens: int) -> float:
        """Predict the time from the first token to the last one."""
        return max(0, tokens - 1) * self.seconds_per_token

    def decode_rate(self) -> float:
        """Return the tokens per second of a full batch of streams."""
        return self.stream_tokens_per_second * self.max_running

    def _current_overhead(self, ahead: Occupancy) -> float:
        if ahead.is_prefilling:
            return self.prefill_overhead_seconds
        return self.overhead_seconds

    def _record_overhead(self, ahead: Occupancy, seconds: float) -> None:
        updated = _moving_average(self._current_overhead(ahead), seconds)
        if ahead.is_prefilling:
            self.prefill_overhead_seconds = updated
        else:
            self.overhead_seconds = updated

    def _slot_wait_seconds(
        self, demand: Demand, ahead: Occupancy, long_prompt_limit: int
    ) -> float:
        excess = ahead.running + ahead.queued + 1 - self.max_running
        seconds = max(0, excess) * self.run_seconds / self.max_running
        if demand.is_long:
            excess = ahead.long_prompts + 1 - long_prompt_limit
            long_seconds = (
                max(0, excess) * self.long_run_seconds / long_prompt_limit
            )
            seconds = max(seconds, long_seconds)
        return seconds


def measure_occupancy(
    priority: int,
    running: Iterable[WorkItem],
    pending: Iterable[WorkItem],
) -> Occupancy:
    """Return the work that is ahead of a request of a priority.

    All running work occupies slots; of the pending work, only work that is
    at least as urgent counts as ahead.
    """
    running = list(running)
    ahead = [work for work in pending if work.demand.priority <= priority]
    tokens = sum(
        work.demand.prefill_tokens
        for work in (*running, *ahead)
        if work.demand.priority <= priority and not work.is_prefilled
    )
    long_prompts = sum(work.demand.is_long for work in (*running, *ahead))
    is_prefilling = any(
        work.demand.prefill_tokens > _MIN_PREFILL_TOKENS
        for work in running
        if not work.is_prefilled
    )
    return Occupancy(
        tokens, len(running), len(ahead), long_prompts, is_prefilling
    )


def _moving_average(average: float, sample: float) -> float:
    return average + _SAMPLE_WEIGHT * (sample - average)
