"""Policies that decide whether one engine of a pool changes its role.

A policy is a function from the figures of a pool to a proposal or None.

`propose_by_plan` predicts the goodput of the current split, and of every
split that differs by one role change, over the plan's horizon. A change
costs the engine-seconds during which the engine is unavailable, times the
plan's weight: Medena's plan favours goodput, Malabar's favours few changes.
The policy proposes the change whose gain exceeds its cost, including a
margin, by the largest amount.

`propose_by_threshold` is the baseline: when the load per engine of one phase
exceeds that of the other by a fixed ratio, it adds an engine to that phase.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from trestle_control.demand_estimate import Load, PoolDemand
from trestle_control.split_model import (
    ROLES,
    EngineRates,
    Role,
    Split,
    predict_goodput,
)
from trestle_core.namedset import Plan

_FORECAST_STEPS: Final = 12
_GAIN_MARGIN: Final = 1.2
_MS_PER_SECOND: Final = 1000
_IMBALANCE_RATIO: Final = 1.5


class PoolFigures(NamedTuple):
    """The input of a policy; `change_seconds` is the time of one change."""

    pool: str
    plan: Plan
    split: Split
    demand: PoolDemand
    rates: EngineRates
    change_seconds: float


class Proposal(NamedTuple):
    """A change of one engine from role `source` to `target`."""

    source: Role
    target: Role
    cause: str


RolePolicy = Callable[[PoolFigures], Proposal | None]


def propose_never(_figures: PoolFigures) -> Proposal | None:
    """Propose no change."""
    return None


def propose_by_plan(figures: PoolFigures) -> Proposal | None:
    """Propose the change with the largest gain net of its cost."""
    best: Proposal | None = None
    best_surplus = 0.0
    cost = figures.plan.role_change_weight * figures.change_seconds
    for source, target in _allowed_changes(figures):
        gain = _predict_gain(figures, source, target)
        surplus = gain - cost * _GAIN_MARGIN
        if surplus > best_surplus:
            best_surplus = surplus
            best = Proposal(
                source, target, _describe_cause(figures, gain, cost)
            )
    return best


def propose_by_threshold(figures: PoolFigures) -> Proposal | None:
    """Propose adding an engine to a phase that is overloaded by a ratio."""
    load = figures.demand.fast
    split = figures.split
    prefill = _load_per_engine(
        load.prefill, figures.rates.prefill, split.prefill
    )
    decode = _load_per_engine(load.decode, figures.rates.decode, split.decode)
    changes: list[tuple[Role, Role]] = []
    if prefill > decode * _IMBALANCE_RATIO:
        changes = [('decode', 'prefill'), ('mixed', 'prefill')]
    elif decode > prefill * _IMBALANCE_RATIO:
        changes = [('prefill', 'decode'), ('mixed', 'decode')]
    for source, target in changes:
        if _is_allowed(figures, source, target):
            cause = f'prefill {prefill:.2f}, decode {decode:.2f} by engine'
            return Proposal(source, target, cause)
    return None


def _load_per_engine(tokens: float, rate: float, engines: int) -> float:
    return tokens / rate / max(engines, 1)


def _allowed_changes(figures: PoolFigures) -> Iterator[tuple[Role, Role]]:
    for source in ROLES:
        for target in ROLES:
            if source != target and _is_allowed(figures, source, target):
                yield source, target


def _is_allowed(figures: PoolFigures, source: Role, target: Role) -> bool:
    """Return whether a change keeps the plan's minimum for each phase."""
    if not getattr(figures.split, source):
        return False
    after = figures.split.with_role_change(source, target)
    plan = figures.plan
    return (
        after.prefill + after.mixed >= plan.min_prefill
        and after.decode + after.mixed >= plan.min_decode
    )


def _predict_gain(figures: PoolFigures, source: Role, target: Role) -> float:
    """Return the gain over the horizon, in engine-seconds.

    The engine serves nothing for the first `change_seconds`.
    """
    horizon_seconds = figures.plan.horizon_ms / _MS_PER_SECOND
    step_seconds = horizon_seconds / _FORECAST_STEPS
    during_change = figures.split.without(source)
    after = figures.split.with_role_change(source, target)
    gain = 0.0
    for step in range(_FORECAST_STEPS):
        ahead_seconds = (step + 0.5) * step_seconds
        load = figures.demand.forecast(ahead_seconds)
        split = (
            during_change if ahead_seconds < figures.change_seconds else after
        )
        changed = predict_goodput(split, load, figures.rates)
        present = predict_goodput(figures.split, load, figures.rates)
        gain += (changed - present) * step_seconds
    return gain


def _describe_cause(figures: PoolFigures, gain: float, cost: float) -> str:
    current = figures.demand.fast
    usual = figures.demand.slow
    split = figures.split
    return (
        f'need now {_format_need(current, figures.rates)}, '
        f'usual {_format_need(usual, figures.rates)}; '
        f'split {split.prefill}/{split.decode}/{split.mixed}; '
        f'gain {gain:.1f} over cost {cost:.1f} engine-s'
    )


def _format_need(load: Load, rates: EngineRates) -> str:
    prefill = load.prefill / rates.prefill
    decode = load.decode / rates.decode
    return f'{prefill:.1f}+{decode:.1f} engines'
