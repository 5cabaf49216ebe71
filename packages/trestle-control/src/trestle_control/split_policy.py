"""How many engines of a pool should read prompts.

Reading is scarce and decoding nearly free for long prompts with short
answers, so the split follows the engine time that callers offer of each. A
split's goodput is the share of the offered work of both kinds that its
engines can do, whichever is less: a request needs both. The present split is
kept unless another one serves clearly more.
"""

from typing import Final, NamedTuple

# Share of an engine's time that can be sold before queues grow fast.
USABLE_SHARE: Final = 0.75
# Gain in the served share that pays for engines being away for seconds.
LEAST_GAIN: Final = 0.25
# Share of engines that read prompts.
COMMON_SHARE: Final = 0.67


class OfferedTime(NamedTuple):
    """Engine time offered per second, in engines."""

    prefill: float
    decode: float


def common_prefill(engines: int) -> int:
    """Return how many of a pool's engines read prompts by its size alone."""
    if engines < 2:
        return 0
    return min(engines - 1, max(1, round(engines * COMMON_SHARE)))


def served_share(prefill: int, decode: int, offered: OfferedTime) -> float:
    """Return the share of the offered work that a split can serve."""
    shares = [
        1.0 if not work else engines * USABLE_SHARE / work
        for engines, work in (
            (prefill, offered.prefill),
            (decode, offered.decode),
        )
    ]
    return min(1.0, *shares)


def wanted_prefill(prefill: int, engines: int, offered: OfferedTime) -> int:
    """Return the number of engines that should read prompts.

    It differs from `prefill` by one at most: the next look goes on.
    """
    best = prefill
    best_share = served_share(prefill, engines - prefill, offered)
    for candidate in (prefill - 1, prefill + 1):
        if not 0 < candidate < engines:
            continue
        share = served_share(candidate, engines - candidate, offered)
        if share > best_share + LEAST_GAIN:
            best = candidate
            best_share = share
    return best
