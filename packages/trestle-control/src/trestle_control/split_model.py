"""Predicted goodput of a split of engines between prefill and decode.

Work is measured in engines: the number of engines that the offered prefill,
or decode, would keep fully busy. A prefill engine serves prefill only and a
decode engine decode only. A mixed engine serves the remainder of both, less
efficiently, since the phases delay each other. An answer needs both phases,
so the phase with the smaller served share bounds the goodput.
"""

from typing import Final, Literal, NamedTuple

from trestle_control.demand_estimate import Load

Role = Literal['prefill', 'decode', 'mixed']
ROLES: Final[tuple[Role, ...]] = ('prefill', 'decode', 'mixed')

# Utilization of an engine above which answers miss their deadlines.
_MAX_UTILIZATION: Final = 0.85
_MIXED_EFFICIENCY: Final = 0.8


class EngineRates(NamedTuple):
    """Tokens per second of one engine that does only one phase."""

    prefill: float
    decode: float


class Split(NamedTuple):
    """Engines by role."""

    prefill: int
    decode: int
    mixed: int

    def with_role_change(self, source: Role, target: Role) -> 'Split':
        """Return the split after the role of one engine has changed."""
        changed = self._asdict()
        changed[source] -= 1
        changed[target] += 1
        return Split(**changed)

    def without(self, role: Role) -> 'Split':
        """Return the split while one engine is unavailable."""
        changed = self._asdict()
        changed[role] -= 1
        return Split(**changed)


def predict_goodput(split: Split, load: Load, rates: EngineRates) -> float:
    """Return the useful work per second, in engines."""
    need_prefill = load.prefill / rates.prefill
    need_decode = load.decode / rates.decode
    need = need_prefill + need_decode
    if not need:
        return 0
    dedicated_prefill = min(need_prefill, split.prefill * _MAX_UTILIZATION)
    dedicated_decode = min(need_decode, split.decode * _MAX_UTILIZATION)
    excess_prefill = need_prefill - dedicated_prefill
    excess_decode = need_decode - dedicated_decode
    mixed_capacity = split.mixed * _MIXED_EFFICIENCY * _MAX_UTILIZATION
    excess = excess_prefill + excess_decode
    served = min(1.0, mixed_capacity / excess) if excess else 1.0
    share = min(
        _served_share(
            dedicated_prefill + excess_prefill * served, need_prefill
        ),
        _served_share(dedicated_decode + excess_decode * served, need_decode),
    )
    return share * need


def _served_share(served: float, need: float) -> float:
    return served / need if need else 1.0
