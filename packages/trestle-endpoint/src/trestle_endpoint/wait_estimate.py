"""The predicted time to the first token, learned from what completed.

The prediction has three parts: the wait for a place, the prompt tokens that
the engine reads first, and a fixed part. Each rate is a moving average of
what this process itself saw, so no lagging load report enters. The engine
honours priorities, so only work at least as urgent counts as ahead.
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
# Streams shorter than this measure the batching of frames.
_MIN_STREAM_TOKENS: Final = 4
_SLOW_STREAM_WEIGHT: Final = 0.02
# Below this the fixed part hides the reading of the prompt.
_MIN_PREFILL_TOKENS: Final = 500


class Occupancy(NamedTuple):
    """The work ahead of a demand, counted where it waits.

    `is_prefilling` tells whether the engine reads some prompt, however urgent: its
    steps are longer then, for everyone.
    """

    prefill_tokens: int
    running: int
    queued: int
    long_prompts: int
    is_prefilling: bool = False


NOTHING_AHEAD: Final = Occupancy(0, 0, 0, 0)


class WaitEstimate:
    """Moving averages of one target."""

    def __init__(self, max_running: int) -> None:
        """Start from cautious rates."""
        self.max_running = max_running
        self.prefill_seconds_per_token = 1 / _INITIAL_PREFILL_TOKENS_PER_SECOND
        self.overhead_seconds = _INITIAL_OVERHEAD_SECONDS
        self.prefill_overhead_seconds = _INITIAL_PREFILL_OVERHEAD_SECONDS
        self.stream_rate = _INITIAL_STREAM_TOKENS_PER_SECOND
        self.seconds_per_token = 1 / _INITIAL_STREAM_TOKENS_PER_SECOND
        self.run_seconds = _INITIAL_RUN_SECONDS
        self.long_run_seconds = _INITIAL_RUN_SECONDS

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens per second."""
        return 1 / self.prefill_seconds_per_token

    def first_token_seconds(
        self, demand: Demand, ahead: Occupancy, long_limit: int
    ) -> float:
        """Predict the time from dispatch to the first token."""
        tokens = ahead.prefill_tokens + demand.prefill_tokens
        return (
            self._current_overhead(ahead)
            + tokens / self.prefill_rate
            + self._slot_wait_seconds(demand, ahead, long_limit)
        )

    def record_first_token(self, ahead: Occupancy, seconds: float) -> None:
        """Take in a first token that came after the work ahead."""
        tokens = ahead.prefill_tokens
        if tokens < _MIN_PREFILL_TOKENS:
            self._record_overhead(ahead, seconds)
            return
        prefill_seconds = max(
            seconds - self._current_overhead(ahead), seconds / 2, 0.001
        )
        # Times are averaged, not rates: an engine that became slow shows at
        # once, for a mean of rates is ruled by the fast ones.
        self.prefill_seconds_per_token = _moving_average(
            self.prefill_seconds_per_token, prefill_seconds / tokens
        )

    def record_run(self, demand: Demand, seconds: float) -> None:
        """Take in how long a place was held."""
        if demand.is_long:
            self.long_run_seconds = _moving_average(
                self.long_run_seconds, seconds
            )
        self.run_seconds = _moving_average(self.run_seconds, seconds)

    def record_stream(self, tokens: int, seconds: float) -> None:
        """Take in the pace of one stream after its first token.

        The rate is that of an engine which only decodes, so faster streams
        count at once and slower ones, held up by prompts, little.
        """
        if tokens < _MIN_STREAM_TOKENS or seconds <= 0:
            return
        rate = tokens / seconds
        self.seconds_per_token = _moving_average(
            self.seconds_per_token, 1 / rate
        )
        if rate > self.stream_rate:
            self.stream_rate = _moving_average(self.stream_rate, rate)
        else:
            change = rate - self.stream_rate
            self.stream_rate += _SLOW_STREAM_WEIGHT * change

    def answer_seconds(self, tokens: int) -> float:
        """Predict the time from the first token to the last one."""
        return max(0, tokens - 1) * self.seconds_per_token

    def decode_rate(self) -> float:
        """Return the tokens per second of a full batch of streams."""
        return self.stream_rate * self.max_running

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
        self, demand: Demand, ahead: Occupancy, long_limit: int
    ) -> float:
        excess = ahead.running + ahead.queued + 1 - self.max_running
        seconds = max(0, excess) * self.run_seconds / self.max_running
        if demand.is_long:
            excess = ahead.long_prompts + 1 - long_limit
            long_seconds = max(0, excess) * self.long_run_seconds / long_limit
            seconds = max(seconds, long_seconds)
        return seconds


def occupancy(
    priority: int,
    running: Iterable[WorkItem],
    others: Iterable[WorkItem],
) -> Occupancy:
    """Count the work ahead of a demand of this priority.

    All that runs holds a place; of the others only the more or equally
    urgent come first.
    """
    running = list(running)
    ahead = [work for work in others if work.demand.priority <= priority]
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
