"""Costs of the engines that may prefill a prompt or decode its answer.

The cost of an engine consists of the queued work, the tokens to copy or
prefill, and a small extra for engines other than the preferred one, which
rendezvous hashing selects. Costs are in ms of engine time.
"""

from math import inf
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
    fastest_work,
)
from trestle_entry.direct.wire_types import ModelDemand
from trestle_links.direct_messages import PREFILL, Backend
from trestle_links.linear_fit import COMMON_TOKENS, Line

# The weights are multiples of the time in which an engine of the pool prefills
# a prompt of common size (`EngineSpeeds.unit_ms`).
# Cost of prefilling a shared prefix at the least preferred engine: less than a
# short queue, more than the noise of the estimates.
_MAX_AFFINITY_COST: Final = 0.7
# Engine time that one more request adds to a decode batch.
_RUNNING_REQUEST_COST: Final = 0.07
# Share of the slots and of the KV cache of an engine up to which a request
# finds room at once, and the cost of an engine that is full.
_FREE_SHARE: Final = 0.6
_FULL_ENGINE_COST: Final = 10.0
# What a decode engine that prefills a prompt, in small pieces between the tokens
# of its streams, adds to the wait for the first token of another stream.
_PIECE_COST: Final = 0.35
# Set-up of a copy before a prefill, and its wait for the link of the source.
_COPY_SETUP_COST: Final = 0.14
# Cost of sending the body of a prompt of common size to another zone.
_OTHER_ZONE_COST: Final = 0.1
# Weight of prefill time in the cost. Time of an idle engine costs little more
# than the caller's wait; time of a busy one also delays the prompts after it.
_IDLE_PREFILL_COST: Final = 1.3
_BUSY_PREFILL_COST: Final = 1.7
_MAX_SCORE: Final = 2**64 - 1
# Cost of a colocated prefill as a multiple of its engine time, and what each
# stream that it stalls adds to the multiple.
_COLOCATION_FACTOR: Final = 1.5
_STALL_FACTOR: Final = 0.3


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
    prefill_cost: float
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


def cost_inputs(
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
        _prefill_cost(engines, loads),
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


def _prefill_cost(engines: list[Backend], loads: EngineLoads) -> float:
    """Return the weight of prefill time at the present load of a pool."""
    depths = [
        loads.prompts_at(engine.instance)
        for engine in engines
        if engine.role == PREFILL
    ]
    mean_depth = sum(depths) / max(1, len(depths))
    return _IDLE_PREFILL_COST + _BUSY_PREFILL_COST * min(1.0, mean_depth)


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


def prefill_candidate(
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
        + engine_ms * inputs.prefill_cost
        + inputs.affinity_cost_ms[engine.instance]
    )
    # A KV transfer has a cost besides the time that it takes.
    cost += work.copy_ms + _body_cost_ms(inputs, engine)
    return PrefillCandidate(cost, wait_ms, engine_ms, engine, work)


def colocated_candidate(
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


def decode_candidate(
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
    """Return the cost of joining the running requests of an engine.

    Near the end of its slots or of its KV cache, a request would wait there.
    """
    running = inputs.loads.running_at(engine.instance)
    kv_tokens = inputs.loads.kv_tokens_at(engine.instance)
    kv_tokens += inputs.request.demand.prompt_tokens
    use = max(
        running / max(1, engine.slots),
        kv_tokens / (inputs.request.kv_capacity or inf),
    )
    excess = max(0.0, use - _FREE_SHARE) / (1 - _FREE_SHARE)
    cost = running * _RUNNING_REQUEST_COST + excess**2 * _FULL_ENGINE_COST
    return cost * inputs.unit_ms


def _body_cost_ms(inputs: CostInputs, engine: Backend) -> float:
    """Return the cost of sending the request body to the engine's zone."""
    if engine.zone == inputs.request.zone:
        return 0.0
    size = inputs.request.demand.prompt_tokens / COMMON_TOKENS
    return size * inputs.unit_ms * _OTHER_ZONE_COST
