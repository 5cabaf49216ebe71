"""How many engines of a pool read prompts.

Reading is scarce and decoding nearly free for long prompts with short
answers. The split follows the size of the pool: the mix of prompts and
answers turns faster than an engine changes its role.
"""

from typing import Final

# Share of engines that read prompts: the best fixed split that also bears
# the loss of a decode engine (docs/design/platform.md has the runs).
COMMON_SHARE: Final = 0.67
_LEAST_ENGINES: Final = 2


def common_prefill(engines: int) -> int:
    """Return how many of a pool's engines read prompts."""
    if engines < _LEAST_ENGINES:
        return 0
    return min(engines - 1, max(1, round(engines * COMMON_SHARE)))
