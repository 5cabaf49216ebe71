"""Policies that decide whether one engine of a pool changes its role.

A policy is a function from the figures of a pool to a proposal or None.

`propose_by_plan` predicts the goodput of the present split and of each
neighbour over the plan's horizon. A change costs the engine-seconds that it
takes the engine away, times the plan's weight: Medena's plan weighs goodput
more, Malabar's the changes. It proposes the best neighbour whose gain is
over its cost with some margin.

`propose_by_threshold` is the baseline: it moves an engine to the phase that
is busier by a fixed ratio.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from trestle_control.demand_estimate import Load, PoolDemand
from trestle_control.split_model import (
    ROLES,
    EngineRates,
    Role,
    Split,
    goodput,
)
from trestle_core.namedset import Plan

_STEPS: Final = 12
_MARGIN: Final = 1.2
_MS_PER_SECOND: Final = 1000
_BUSIER_RATIO: Final = 1.5


class PoolFigures(NamedTuple):
    """What a policy may look at; `change_seconds` is one change's length."""

    pool: str
    plan: Plan
    split: Split
    demand: PoolDemand
    rates: EngineRates
    change_seconds: float


class Proposal(NamedTuple):
    """One engine of role `source` is to become `target`, and why."""

    source: Role
    target: Role
    cause: str


Propose = Callable[[PoolFigures], Proposal | None]


def propose_never(_figures: PoolFigures) -> Proposal | None:
    """Keep every role as it is."""
    return None


def propose_by_plan(figures: PoolFigures) -> Proposal | None:
    """Propose the neighbour whose predicted gain is most over its cost."""
    best: Proposal | None = None
    best_surplus = 0.0
    cost = figures.plan.role_change_weight * figures.change_seconds
    for source, target in _neighbours(figures):
        gain = _gain_engine_seconds(figures, source, target)
        surplus = gain - cost * _MARGIN
        if surplus > best_surplus:
            best_surplus = surplus
            best = Proposal(source, target, _cause(figures, gain, cost))
    return best


def propose_by_threshold(figures: PoolFigures) -> Proposal | None:
    """Propose a move to the phase that is busier by a fixed ratio."""
    load = figures.demand.fast
    split = figures.split
    prefill = _need(load.prefill, figures.rates.prefill, split.prefill)
    decode = _need(load.decode, figures.rates.decode, split.decode)
    moves: list[tuple[Role, Role]] = []
    if prefill > decode * _BUSIER_RATIO:
        moves = [('decode', 'prefill'), ('mixed', 'prefill')]
    elif decode > prefill * _BUSIER_RATIO:
        moves = [('prefill', 'decode'), ('mixed', 'decode')]
    for source, target in moves:
        if _is_allowed(figures, source, target):
            cause = f'prefill {prefill:.2f}, decode {decode:.2f} by engine'
            return Proposal(source, target, cause)
    return None


def _need(tokens: float, rate: float, engines: int) -> float:
    return tokens / rate / max(engines, 1)


def _neighbours(figures: PoolFigures) -> Iterator[tuple[Role, Role]]:
    for source in ROLES:
        for target in ROLES:
            if source != target and _is_allowed(figures, source, target):
                yield source, target


def _is_allowed(figures: PoolFigures, source: Role, target: Role) -> bool:
    """Keep the plan's least number of engines for each phase."""
    if not getattr(figures.split, source):
        return False
    after = figures.split.moved(source, target)
    plan = figures.plan
    return (
        after.prefill + after.mixed >= plan.min_prefill
        and after.decode + after.mixed >= plan.min_decode
    )


def _gain_engine_seconds(
    figures: PoolFigures, source: Role, target: Role
) -> float:
    """Sum the gain over the horizon; the engine is away at first."""
    horizon = figures.plan.horizon_ms / _MS_PER_SECOND
    step_seconds = horizon / _STEPS
    away = figures.split.without(source)
    after = figures.split.moved(source, target)
    gain = 0.0
    for step in range(_STEPS):
        ahead = (step + 0.5) * step_seconds
        load = figures.demand.forecast(ahead)
        split = away if ahead < figures.change_seconds else after
        changed = goodput(split, load, figures.rates)
        present = goodput(figures.split, load, figures.rates)
        gain += (changed - present) * step_seconds
    return gain


def _cause(figures: PoolFigures, gain: float, cost: float) -> str:
    now = figures.demand.fast
    later = figures.demand.slow
    split = figures.split
    return (
        f'need now {_engines(now, figures.rates)}, '
        f'usual {_engines(later, figures.rates)}; '
        f'split {split.prefill}/{split.decode}/{split.mixed}; '
        f'gain {gain:.1f} over cost {cost:.1f} engine-s'
    )


def _engines(load: Load, rates: EngineRates) -> str:
    prefill = load.prefill / rates.prefill
    decode = load.decode / rates.decode
    return f'{prefill:.1f}+{decode:.1f} engines'
