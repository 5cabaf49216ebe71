"""Selects the engines that prefill a prompt and decode its answer.

Two placements are compared by cost. Disaggregated: a prefill engine processes
the prompt and a decode engine continues from its KV cache. Colocated: a decode
engine does both, at half the prefill speed. Every engine of a role is a
candidate. Its cost consists of the queued work, the tokens to copy or prefill,
and a small extra for engines other than the preferred one, which rendezvous
hashing selects, so that entries that share no state still send a shared prefix
to the same engine.

The KV cache that one software version has filled fits no other one, so the
engines of a plan, and those that a prefix is copied between, are of one version.
"""

from typing import Final, NamedTuple

from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.placement_costs import (
    DecodeCandidate,
    PrefillCandidate,
    colocated_candidate,
    cost_inputs,
    decode_candidate,
    prefill_candidate,
)
from trestle_entry.direct.prefill_work import (
    PlacementRequest,
    PrefillWork,
    copy_sources,
)
from trestle_links.direct_messages import PREFILL, Backend

# Longer prefills are never done at a decode engine while there are prefill
# engines: callers wait for the next event of the streams that they stall.
_MAX_COLOCATED_MS: Final = 220.0


class Plan(NamedTuple):
    """The engines of a request; times are predictions in ms.

    If `prefill_engine` is None, the decode engine also prefills the prompt.
    `wait_ms` is the work ahead of the prompt, `work` that of the engine that
    prefills. `cost` is what plans are compared by.
    """

    prefill_engine: Backend | None
    decode_engine: Backend
    wait_ms: float
    prefill_ms: float
    first_token_ms: float
    work: PrefillWork
    cost: float = 0.0


def plan_request(
    engines: list[Backend],
    loads: EngineLoads,
    request: PlacementRequest,
    *,
    may_copy: bool = True,
) -> Plan | None:
    """Return the plan with the lowest cost, or None without a decode engine.

    Unless `may_copy` is set, no engine copies KV cache before it prefills.
    """
    plans = [
        _plan_at(alike, loads, request, may_copy=may_copy)
        for alike in _by_software(_with_roles(engines))
    ]
    return min(
        (plan for plan in plans if plan),
        key=lambda plan: plan.cost,
        default=None,
    )


def _plan_at(
    engines: list[Backend],
    loads: EngineLoads,
    request: PlacementRequest,
    *,
    may_copy: bool,
) -> Plan | None:
    """Return the best plan at engines of one software version."""
    decode_engines = _decode_engines(engines)
    prefill_engines = [engine for engine in engines if engine.role == PREFILL]
    if not decode_engines:
        return None
    inputs = cost_inputs(engines, loads, request)
    colocated = min(
        colocated_candidate(inputs, engine) for engine in decode_engines
    )
    if not prefill_engines:
        return _colocated_plan(colocated)
    # A decode engine does not copy: prefilling the rest would stall streams.
    source_engines = [*prefill_engines, *decode_engines] if may_copy else []
    copyable = {
        engine.instance: loads.copyable_tokens(engine.instance, request.demand)
        for engine in source_engines
    }
    sources = copy_sources(source_engines, copyable)
    prefill_engine = min(
        prefill_candidate(inputs, engine, sources) for engine in prefill_engines
    )
    decode_engine = min(
        decode_candidate(inputs, engine, prefill_engine.backend.zone)
        for engine in decode_engines
    )
    is_short = colocated.engine_ms < _MAX_COLOCATED_MS
    if is_short and colocated.cost < prefill_engine.cost + decode_engine.cost:
        return _colocated_plan(colocated)
    first_token_ms = (
        prefill_engine.wait_ms
        + prefill_engine.engine_ms
        + decode_engine.wait_ms
    )
    return Plan(
        prefill_engine.backend,
        decode_engine.backend,
        prefill_engine.wait_ms,
        prefill_engine.engine_ms,
        first_token_ms,
        prefill_engine.work,
        prefill_engine.cost + decode_engine.cost,
    )


def choose_decode_engine(
    engines: list[Backend],
    loads: EngineLoads,
    request: PlacementRequest,
    source: Backend,
) -> DecodeCandidate | None:
    """Return the decode engine for a KV transfer from an engine.

    The choice uses the present loads. None if no engine of its software version
    is left.
    """
    decode_engines = [
        engine
        for engine in _decode_engines(_with_roles(engines))
        if engine.software == source.software
    ]
    if not decode_engines:
        return None
    inputs = cost_inputs(decode_engines, loads, request)
    return min(
        decode_candidate(inputs, engine, source.zone)
        for engine in decode_engines
    )


def _with_roles(engines: list[Backend]) -> list[Backend]:
    """Return the engines that have a role, or all if none has.

    An engine that crashed is listed without a role for a while.
    """
    return [engine for engine in engines if engine.role] or engines


def _by_software(engines: list[Backend]) -> list[list[Backend]]:
    """Return the engines of each software version."""
    by_software: dict[str, list[Backend]] = {}
    for engine in engines:
        by_software.setdefault(engine.software, []).append(engine)
    return list(by_software.values())


def _decode_engines(engines: list[Backend]) -> list[Backend]:
    return [engine for engine in engines if engine.role != PREFILL]


def _colocated_plan(colocated: PrefillCandidate) -> Plan:
    return Plan(
        None,
        colocated.backend,
        colocated.wait_ms,
        colocated.engine_ms,
        colocated.wait_ms + colocated.engine_ms,
        colocated.work,
        colocated.cost,
    )
