"""How many engines of a pool do prefill, from the load of both roles.

For long prompts with short answers, prefill is the bottleneck and decoding
costs little, so two thirds of an unloaded pool do prefill. The mix shifts:
when the slots of the decode engines run out while prefill engines have little
to do, or prompts queue while decode slots are free, engines move to the role
that lacks them. A pool without any engine of a role serves nothing, so that is
mended first.
"""

from typing import Final, NamedTuple

# Share of prefill engines without load: the best fixed split that also
# tolerates the loss of a decode engine (docs/design/platform.md has the runs).
PREFILL_SHARE: Final = 0.67
_MIN_ENGINES: Final = 2
# Pools of this size keep two engines of each role, so that one may crash.
_SPARE_ENGINES: Final = 5
# Share of the decode slots above which answers wait, and the share that may be
# in use after an engine was taken away.
_DECODE_FULL: Final = 0.8
_DECODE_FREE: Final = 0.5
# Mean prompts at a prefill engine above which callers wait too long, and below
# which an engine may be taken away.
_PROMPTS_QUEUED: Final = 2.0
_PROMPTS_FEW: Final = 0.8
# Part of a pool that changes at once.
_STEP_SHARE: Final = 1 / 12
# How long a pool must need the same change before it is ordered. An engine
# that crashed restarts within the longest of these times; after a start the
# list is complete within the one for a pool without requests.
_USUAL_SETTLE_SECONDS: Final = 4.0
_IDLE_SETTLE_SECONDS: Final = 1.8
_LOADED_SETTLE_SECONDS: Final = 1.5
_MISSING_SETTLE_SECONDS: Final = 0.4


class PoolLoad(NamedTuple):
    """Engines of a pool by role, and how busy they are.

    `prompts` is the mean number of unfinished prompts at a prefill engine,
    `decode_use` the share of the decode slots that requests take, `running`
    the number of requests at the pool.
    """

    prefill: int
    decode: int
    prompts: float
    decode_use: float
    running: int

    @property
    def engines(self) -> int:
        """The engines of both roles."""
        return self.prefill + self.decode


class WantedSplit(NamedTuple):
    """A number of prefill engines, and how long it must be wanted before.

    `is_usual` tells that it is the split of a pool without load.
    """

    prefill: int
    settle_seconds: float
    is_usual: bool = False


def wanted_split(load: PoolLoad) -> WantedSplit:
    """Return the split that a pool needs at its present load."""
    usual = usual_prefill_count(load.engines)
    if not load.decode or (usual and not load.prefill):
        return WantedSplit(usual, _MISSING_SETTLE_SECONDS)
    step = max(1, round(load.engines * _STEP_SHARE))
    if _lacks_decode(load):
        return WantedSplit(
            max(_least(load), load.prefill - step), _LOADED_SETTLE_SECONDS
        )
    if _lacks_prefill(load, step):
        return WantedSplit(load.prefill + step, _LOADED_SETTLE_SECONDS)
    if _fits(load, usual):
        settle_seconds = (
            _USUAL_SETTLE_SECONDS if load.running else _IDLE_SETTLE_SECONDS
        )
        return WantedSplit(usual, settle_seconds, is_usual=True)
    return WantedSplit(load.prefill, _USUAL_SETTLE_SECONDS)


def usual_prefill_count(engines: int) -> int:
    """Return how many engines of a pool without load do prefill."""
    if engines < _MIN_ENGINES:
        return 0
    least_decode = 2 if engines >= _SPARE_ENGINES else 1
    return min(engines - least_decode, max(1, round(engines * PREFILL_SHARE)))


def _least(load: PoolLoad) -> int:
    return 2 if load.engines >= _SPARE_ENGINES else 1


def _lacks_decode(load: PoolLoad) -> bool:
    is_full = load.decode_use > _DECODE_FULL
    return is_full and load.prompts < _PROMPTS_FEW


def _lacks_prefill(load: PoolLoad, step: int) -> bool:
    remaining = load.decode - step
    if remaining < _least(load) or load.prompts < _PROMPTS_QUEUED:
        return False
    return load.decode_use * load.decode / remaining < _DECODE_FREE


def _fits(load: PoolLoad, usual: int) -> bool:
    """Return whether the load would leave the usual split in place."""
    if usual == load.prefill:
        return True
    decode = load.engines - usual
    decode_use = load.decode_use * load.decode / max(1, decode)
    prompts = load.prompts * load.prefill / max(1, usual)
    if usual > load.prefill:
        return decode_use < _DECODE_FREE
    return prompts < _PROMPTS_FEW
