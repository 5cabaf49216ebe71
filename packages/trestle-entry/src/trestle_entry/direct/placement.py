"""Where a prompt is read and where its answer is made.

Two ways are compared by predicted time to the first token: a prefill engine
reads the prompt and a decode engine takes over its memory, or a decode engine
does both at half the reading speed. Every engine of a stage is a candidate;
its cost is the work ahead, the tokens that it must copy or read, and a small
extra for engines that are not the prompt's home, so that entries which know
nothing of each other still send a shared beginning to the same engine.
"""

from typing import Final, NamedTuple

from trestle_core.digests import rendezvous_score
from trestle_entry.direct.engine_loads import (
    DECODE_PREFILL_SLOWDOWN,
    PREFILL_BASE_MS,
    EngineLoads,
    estimate_prefill_ms,
)
from trestle_entry.direct.prompt_work import (
    OTHER_ZONE_FACTOR,
    CopySource,
    PlacementRequest,
    PrefillWork,
    cheapest_work,
    copy_sources,
)
from trestle_entry.direct.wire_types import ModelDemand
from trestle_links.direct_messages import DECODE, PREFILL, Backend

# Cost of reading a shared beginning away from its home, ms: less than a
# short queue, more than the noise of the estimates.
_MAX_AFFINITY_COST_MS: Final = 40.0
# Engine time of one more request in a decode batch, ms.
_MS_PER_RUNNING_REQUEST: Final = 4.0
# Handing memory over, ms: set-up and the transfer of a common prompt.
_KV_TRANSFER_BASE_MS: Final = 25.0
# What a token of a body that crosses zones costs, in engine time.
_OTHER_ZONE_MS_PER_TOKEN: Final = 0.003
# How much dearer a token that was read twice is than its engine time.
_PREFILL_COST_FACTOR: Final = 3.0
_MAX_SCORE: Final = 2**64 - 1
# What reading at a decode engine costs besides its time, and for each stream
# that it holds up.
_COLOCATION_FACTOR: Final = 1.5
_STALL_FACTOR: Final = 0.3
# Longer prompts are never read at a decode engine while others can read.
_MAX_COLOCATED_TOKENS: Final = 4500


class Plan(NamedTuple):
    """The engines of a request; times are predictions in ms.

    Without a `reader` the decode engine reads the prompt itself; `work` is
    that of the engine which reads.
    """

    prefill_engine: Backend | None
    decode_engine: Backend
    prefill_ms: float
    first_token_ms: float
    work: PrefillWork


class CostInputs(NamedTuple):
    """What the costs of one request rest on.

    By instance: `held` leading tokens of the prompt, and `away_ms`, the cost
    of an engine that is not the home of the prompt's beginning.
    """

    request: PlacementRequest
    loads: EngineLoads
    cached_tokens: dict[str, int]
    affinity_cost_ms: dict[str, float]


class PrefillCandidate(NamedTuple):
    """An engine that reads the prompt: its cost, wait and engine time, ms."""

    cost: float
    wait_ms: float
    engine_ms: float
    backend: Backend
    work: PrefillWork


class DecodeCandidate(NamedTuple):
    """An engine that goes on from memory that another one made; ms.

    `move_ms` is the time of the move at an engine of common speed.
    """

    cost: float
    wait_ms: float
    backend: Backend
    transfer_ms: float


def plan_request(
    engines: list[Backend],
    loads: EngineLoads,
    request: PlacementRequest,
    *,
    may_copy: bool = True,
) -> Plan | None:
    """Return the plan with the earliest first token, or None.

    Without `may_copy` no engine copies memory before it reads.
    """
    decode_engines = _decode_engines(engines)
    prefill_engines = [entry for entry in engines if entry.role == PREFILL]
    if not decode_engines:
        return None
    inputs = _cost_inputs(engines, loads, request)
    colocated = min(
        _colocated_candidate(inputs, entry) for entry in decode_engines
    )
    if not prefill_engines:
        return _colocated_plan(colocated)
    # A decode engine copies nothing: what is left to read holds up streams.
    source_engines = [*prefill_engines, *decode_engines] if may_copy else []
    copyable = {
        entry.instance: loads.copyable_tokens(entry.instance, request.demand)
        for entry in source_engines
    }
    sources = copy_sources(source_engines, copyable)
    prefill_engine = min(
        _prefill_candidate(inputs, entry, sources) for entry in prefill_engines
    )
    decode_engine = min(
        _decode_candidate(inputs, entry, prefill_engine.backend.zone)
        for entry in decode_engines
    )
    is_short = (
        colocated.engine_ms
        < estimate_prefill_ms(_MAX_COLOCATED_TOKENS) * DECODE_PREFILL_SLOWDOWN
    )
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
    """Return who takes over memory from a zone, by the loads of now."""
    decode_engines = _decode_engines(engines)
    if not decode_engines:
        return None
    inputs = _cost_inputs(decode_engines, loads, request)
    return min(
        _decode_candidate(inputs, entry, zone) for entry in decode_engines
    )


def _decode_engines(engines: list[Backend]) -> list[Backend]:
    """Return who may answer.

    A list shows an engine that crashed without a role for a while; such
    engines are used only where no engine of the pool has one.
    """
    if any(entry.role for entry in engines):
        return [entry for entry in engines if entry.role == DECODE]
    return engines


def _cost_inputs(
    engines: list[Backend], loads: EngineLoads, request: PlacementRequest
) -> CostInputs:
    demand = request.demand
    affinity_key = _affinity_key(demand)
    return CostInputs(
        request,
        loads,
        {
            entry.instance: loads.cached_tokens(entry.instance, demand)
            for entry in engines
        },
        {
            entry.instance: _affinity_cost_ms(affinity_key, entry.instance)
            for entry in engines
        },
    )


def _affinity_key(demand: ModelDemand) -> str:
    """Return the part whose engine is the prompt's home, if it has parts."""
    if not demand.parts:
        return ''
    # The largest part is the one worth keeping together; the last part is
    # the request's own.
    shared = max(
        demand.parts[:-1] or demand.parts, key=lambda part: part.tokens
    )
    return str(shared.part_id)


def _affinity_cost_ms(affinity_key: str, instance: str) -> float:
    """Return a cost between nothing and `_AWAY_MS` by the home rank."""
    if not affinity_key:
        return 0.0
    return _MAX_AFFINITY_COST_MS * (
        1 - rendezvous_score(affinity_key, instance) / _MAX_SCORE
    )


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
    work = cheapest_work(engine, inputs.request, inputs.cached_tokens, sources)
    wait_ms = inputs.loads.wait_ms(engine.instance) + work.copy_ms
    engine_ms = work.prefill_ms * inputs.loads.prefill_slowness_of(
        engine.instance
    )
    cost = (
        wait_ms
        + engine_ms * _PREFILL_COST_FACTOR
        + inputs.affinity_cost_ms[engine.instance]
    )
    # Memory that moves is paid for besides its time.
    cost += work.copy_ms + _body_cost_ms(inputs.request, engine)
    return PrefillCandidate(cost, wait_ms, engine_ms, engine, work)


def _colocated_candidate(
    inputs: CostInputs, engine: Backend
) -> PrefillCandidate:
    loads = inputs.loads
    work = cheapest_work(engine, inputs.request, inputs.cached_tokens, [])
    slowness = loads.prefill_slowness_of(engine.instance)
    wait_ms = loads.wait_ms(engine.instance)
    engine_ms = (
        work.prefill_ms * slowness * DECODE_PREFILL_SLOWDOWN - PREFILL_BASE_MS
    )
    running = loads.running_at(engine.instance)
    # Every stream there stands still while a piece of the prompt is read.
    stall_ms = engine_ms * (_COLOCATION_FACTOR + running * _STALL_FACTOR)
    cost = wait_ms + stall_ms + running * _MS_PER_RUNNING_REQUEST
    cost += inputs.affinity_cost_ms[engine.instance] + _body_cost_ms(
        inputs.request, engine
    )
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
    payload_ms = moved_tokens * inputs.request.transfer_ms_per_token * factor
    transfer_ms = _KV_TRANSFER_BASE_MS + payload_ms
    wait_ms = transfer_ms * loads.transfer_slowness.slowness_of(engine.instance)
    wait_ms += loads.wait_ms(engine.instance)
    batch_ms = loads.running_at(engine.instance) * _MS_PER_RUNNING_REQUEST
    cost = wait_ms + batch_ms + inputs.affinity_cost_ms[engine.instance]
    # Memory that moves is paid for besides its time.
    cost += payload_ms + _body_cost_ms(inputs.request, engine)
    return DecodeCandidate(cost, wait_ms, engine, transfer_ms)


def _body_cost_ms(request: PlacementRequest, engine: Backend) -> float:
    """Return the cost of sending a body to another zone."""
    if engine.zone == request.zone:
        return 0.0
    return request.demand.prompt_tokens * _OTHER_ZONE_MS_PER_TOKEN
