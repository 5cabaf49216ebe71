"""Predicted goodput of a split of engines between prefill and decode.

Work is counted in engines: the number of engines that would be busy all the
time with the offered prefill, or decode. A prefill engine serves prefill
only, a decode engine decode only, a mixed engine serves what is left of
both at a loss, since the phases delay each other. An answer needs both
phases, so the phase that is served less bounds the goodput.
"""

from typing import Final, Literal, NamedTuple

from trestle_control.demand_estimate import Load

Role = Literal['prefill', 'decode', 'mixed']
ROLES: Final[tuple[Role, ...]] = ('prefill', 'decode', 'mixed')

# Share of an engine that can be busy before answers come too late.
_USABLE_SHARE: Final = 0.85
_MIXED_SHARE: Final = 0.8


class EngineRates(NamedTuple):
    """Tokens per second of one engine that does only one phase."""

    prefill: float
    decode: float


class Split(NamedTuple):
    """Engines by role."""

    prefill: int
    decode: int
    mixed: int

    def moved(self, source: Role, target: Role) -> 'Split':
        """Return the split after one engine changed its role."""
        changed = self._asdict()
        changed[source] -= 1
        changed[target] += 1
        return Split(**changed)

    def without(self, role: Role) -> 'Split':
        """Return the split while one engine is away."""
        changed = self._asdict()
        changed[role] -= 1
        return Split(**changed)


def goodput(split: Split, load: Load, rates: EngineRates) -> float:
    """Return the useful work per second, in engines."""
    need_prefill = load.prefill / rates.prefill
    need_decode = load.decode / rates.decode
    need = need_prefill + need_decode
    if not need:
        return 0
    own_prefill = min(need_prefill, split.prefill * _USABLE_SHARE)
    own_decode = min(need_decode, split.decode * _USABLE_SHARE)
    over_prefill = need_prefill - own_prefill
    over_decode = need_decode - own_decode
    shared = split.mixed * _MIXED_SHARE * _USABLE_SHARE
    over = over_prefill + over_decode
    served = min(1.0, shared / over) if over else 1.0
    share = min(
        _served_share(own_prefill + over_prefill * served, need_prefill),
        _served_share(own_decode + over_decode * served, need_decode),
    )
    return share * need


def _served_share(served: float, need: float) -> float:
    return served / need if need else 1.0
