"""Selects the engines that prefill a prompt and decode its answer.

Two placements are compared by cost. Disaggregated: a prefill engine processes
the prompt and a decode engine continues from its KV cache. Colocated: a decode
engine does both, at half the prefill speed. Every engine of a role is a
candidate. Its cost consists of the queued work, the tokens to copy or prefill,
and a small extra for engines other than the preferred one, which rendezvous
hashing selects, so that entries that share no state still send a shared prefix
to the same engine.
"""

from typing import Final, NamedTuple

from trestle_core.digests import rendezvous_score
from trestle_entry.direct.engine_loads import (
    DECODE_PREFILL_SLOWDOWN,
    EngineLoads,
)
from trestle_entry.direct.prefill_work import (
    OTHER_ZONE_FACTOR,
    CopySource,
    PlacementRequest,
    PrefillWork,
    WorkTimes,
    copy_sources,
    fastest_work,
)
from trestle_entry.direct.wire_types import ModelDemand
from trestle_links.direct_messages import DECODE, PREFILL, Backend
from trestle_links.linear_fit import COMMON_TOKENS, Line

# The weights are multiples of the time in which an engine of the pool prefills
# a prompt of common size (`EngineSpeeds.unit_ms`).
# Cost of prefilling a shared prefix at the least preferred engine: less than a
# short queue, more than the noise of the estimates.
_MAX_AFFINITY_COST: Final = 0.7
# Engine time that one more request adds to a decode batch.
_RUNNING_REQUEST_COST: Final = 0.07
# What a decode engine that prefills a prompt, in small pieces between the tokens
# of its streams, adds to the wait for the first token of another stream.
_PIECE_COST: Final = 0.35
# Set-up of a copy before a prefill, and its wait for the link of the source.
_COPY_SETUP_COST: Final = 0.14
# Cost of sending the body of a prompt of common size to another zone.
_OTHER_ZONE_COST: Final = 0.1
# Weight of prefill time in the cost: a token that is prefilled twice is more
# expensive than its engine time.
_PREFILL_COST_FACTOR: Final = 3.0
_MAX_SCORE: Final = 2**64 - 1
# Cost of a colocated prefill as a multiple of its engine time, and what each
# stream that it stalls adds to the multiple.
_COLOCATION_FACTOR: Final = 1.5
_STALL_FACTOR: Final = 0.3
# Longer prefills are never done at a decode engine while there are prefill
# engines: callers wait for the next event of the streams that they stall.
_MAX_COLOCATED_MS: Final = 220.0


class Plan(NamedTuple):
    """The engines of a request; times are predictions in ms.

    If `prefill_engine` is None, the decode engine also prefills the prompt.
    `work` is that of the engine that prefills.
    """

    prefill_engine: Backend | None
    decode_engine: Backend
    prefill_ms: float
    first_token_ms: float
    work: PrefillWork


class CostInputs(NamedTuple):
    """The inputs to the cost estimates for one request.

    `cached_tokens` has the leading tokens of the prompt that each instance has
    cached, `affinity_cost_ms` the cost of not being the preferred engine of
    the prompt's shared prefix. `unit_ms` is the unit of the weights.
    """

    request: PlacementRequest
    loads: EngineLoads
    times: WorkTimes
    unit_ms: float
    cached_tokens: dict[str, int]
    affinity_cost_ms: dict[str, float]


class PrefillCandidate(NamedTuple):
    """An engine that may prefill the prompt: cost, wait and engine time, ms."""

    cost: float
    wait_ms: float
    engine_ms: float
    backend: Backend
    work: PrefillWork


class DecodeCandidate(NamedTuple):
    """An engine that may decode after a KV transfer; times in ms.

    `link_ms` is the time for which the transfer keeps the link busy.
    """

    cost: float
    wait_ms: float
    backend: Backend
    link_ms: float


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
    decode_engines = _decode_engines(engines)
    prefill_engines = [engine for engine in engines if engine.role == PREFILL]
    if not decode_engines:
        return None
    inputs = _cost_inputs(engines, loads, request)
    colocated = min(
        _colocated_candidate(inputs, engine) for engine in decode_engines
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
        _prefill_candidate(inputs, engine, sources)
        for engine in prefill_engines
    )
    decode_engine = min(
        _decode_candidate(inputs, engine, prefill_engine.backend.zone)
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
        prefill_engine.engine_ms,
        first_token_ms,
        prefill_engine.work,
    )


def choose_decode_engine(
    engines: list[Backend],
    loads: EngineLoads,
    request: PlacementRequest,
    zone: str,
) -> DecodeCandidate | None:
    """Return the decode engine for a KV transfer from a zone.

    The choice uses the present loads.
    """
    decode_engines = _decode_engines(engines)
    if not decode_engines:
        return None
    inputs = _cost_inputs(decode_engines, loads, request)
    return min(
        _decode_candidate(inputs, engine, zone) for engine in decode_engines
    )


def _decode_engines(engines: list[Backend]) -> list[Backend]:
    """Return the engines that may decode.

    An engine that crashed is listed without a role for a while. Such engines
    are used only if no engine of the pool has a role.
    """
    if any(engine.role for engine in engines):
        return [engine for engine in engines if engine.role == DECODE]
    return engines


def _cost_inputs(
    engines: list[Backend], loads: EngineLoads, request: PlacementRequest
) -> CostInputs:
    demand = request.demand
    affinity_key = _affinity_key(demand)
    service = engines[0].service
    unit_ms = loads.speeds.unit_ms(service)
    affinity_cost_ms = unit_ms * _MAX_AFFINITY_COST
    times = WorkTimes(
        loads.speeds.prefill_line(service),
        Line(unit_ms * _COPY_SETUP_COST, request.transfer_ms_per_token),
    )
    return CostInputs(
        request,
        loads,
        times,
        unit_ms,
        {
            engine.instance: loads.cached_tokens(engine.instance, demand)
            for engine in engines
        },
        {
            engine.instance: affinity_cost_ms
            * _affinity_distance(affinity_key, engine.instance)
            for engine in engines
        },
    )


def _affinity_key(demand: ModelDemand) -> str:
    """Return the hashing key of the preferred engine, empty without parts."""
    if not demand.parts:
        return ''
    # The largest shared part saves the most when it is prefilled only once;
    # the last part belongs to this request alone.
    shared = max(
        demand.parts[:-1] or demand.parts, key=lambda part: part.tokens
    )
    return str(shared.part_id)


def _affinity_distance(affinity_key: str, instance: str) -> float:
    """Return 0 for the preferred engine of a key, up to 1 for others."""
    if not affinity_key:
        return 0.0
    return 1 - rendezvous_score(affinity_key, instance) / _MAX_SCORE


def _colocated_plan(colocated: PrefillCandidate) -> Plan:
    return Plan(
        None,
        colocated.backend,
        colocated.engine_ms,
        colocated.wait_ms + colocated.engine_ms,
        colocated.work,
    )


def _prefill_candidate(
    inputs: CostInputs, engine: Backend, sources: list[CopySource]
) -> PrefillCandidate:
    work = fastest_work(
        engine, inputs.request, inputs.cached_tokens, sources, inputs.times
    )
    loads = inputs.loads
    wait_ms = loads.wait_ms(engine) + work.copy_ms
    engine_ms = work.prefill_ms * loads.speeds.prefill_slowness_of(
        engine.instance
    )
    cost = (
        wait_ms
        + engine_ms * _PREFILL_COST_FACTOR
        + inputs.affinity_cost_ms[engine.instance]
    )
    # A KV transfer has a cost besides the time that it takes.
    cost += work.copy_ms + _body_cost_ms(inputs, engine)
    return PrefillCandidate(cost, wait_ms, engine_ms, engine, work)


def _colocated_candidate(
    inputs: CostInputs, engine: Backend
) -> PrefillCandidate:
    loads = inputs.loads
    work = fastest_work(
        engine, inputs.request, inputs.cached_tokens, [], inputs.times
    )
    slowness = loads.speeds.prefill_slowness_of(engine.instance)
    wait_ms = loads.wait_ms(engine)
    # The tokens take longer there, but not the base.
    slowed_ms = work.prefill_ms * DECODE_PREFILL_SLOWDOWN
    engine_ms = (slowed_ms - inputs.times.prefill.base) * slowness
    running = loads.running_at(engine.instance)
    # All streams of the engine stall while it prefills a chunk of the prompt.
    stall_ms = engine_ms * (_COLOCATION_FACTOR + running * _STALL_FACTOR)
    cost = wait_ms + stall_ms + _batch_cost_ms(inputs, engine)
    cost += inputs.affinity_cost_ms[engine.instance]
    cost += _body_cost_ms(inputs, engine)
    return PrefillCandidate(cost, wait_ms, engine_ms, engine, work)


def _decode_candidate(
    inputs: CostInputs, engine: Backend, zone: str
) -> DecodeCandidate:
    loads = inputs.loads
    demand = inputs.request.demand
    moved_tokens = max(
        1, demand.prompt_tokens - inputs.cached_tokens[engine.instance]
    )
    factor = 1.0 if engine.zone == zone else OTHER_ZONE_FACTOR
    speeds = loads.speeds
    link_ms = moved_tokens * inputs.request.transfer_ms_per_token * factor
    wait_ms = speeds.transfer_ms(
        engine.service, link_ms
    ) * speeds.transfer_slowness.slowness_of(engine.instance)
    piece_ms = inputs.unit_ms * _PIECE_COST
    wait_ms += min(loads.wait_ms(engine), piece_ms)
    cost = wait_ms + _batch_cost_ms(inputs, engine)
    cost += inputs.affinity_cost_ms[engine.instance]
    # A KV transfer has a cost besides the time that it takes.
    cost += link_ms + _body_cost_ms(inputs, engine)
    return DecodeCandidate(cost, wait_ms, engine, link_ms)


def _batch_cost_ms(inputs: CostInputs, engine: Backend) -> float:
    """Return the cost of joining the running requests of an engine."""
    running = inputs.loads.running_at(engine.instance)
    return running * inputs.unit_ms * _RUNNING_REQUEST_COST


def _body_cost_ms(inputs: CostInputs, engine: Backend) -> float:
    """Return the cost of sending the request body to the engine's zone."""
    if engine.zone == inputs.request.zone:
        return 0.0
    size = inputs.request.demand.prompt_tokens / COMMON_TOKENS
    return size * inputs.unit_ms * _OTHER_ZONE_COST
