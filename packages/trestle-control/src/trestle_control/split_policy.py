"""The number of engines of a pool that do prefill.

For long prompts with short answers, prefill is the bottleneck and decoding
costs little. The split depends only on the size of the pool, because the mix
of prompts and answers changes faster than an engine can change its role.
"""

from typing import Final

# Share of prefill engines: the best fixed split that also tolerates the
# loss of a decode engine (docs/design/platform.md has the runs).
PREFILL_SHARE: Final = 0.67
_MIN_ENGINES: Final = 2


def prefill_engine_count(engines: int) -> int:
    """Return how many of a pool's engines do prefill."""
    if engines < _MIN_ENGINES:
        return 0
    return min(engines - 1, max(1, round(engines * PREFILL_SHARE)))
