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
    BASE_MS,
    DECODE_SLOWDOWN,
    EngineLoads,
    read_ms,
)
from trestle_entry.direct.prompt_work import (
    OTHER_ZONE,
    Holder,
    PlanNeed,
    PromptWork,
    holders_of,
    work_at,
)
from trestle_entry.direct.wire_types import ModelNeed
from trestle_links.direct_messages import DECODE, PREFILL, Backend

# Cost of reading a shared beginning away from its home, ms: less than a
# short queue, more than the noise of the estimates.
_AWAY_MS: Final = 40.0
# Engine time of one more request in a decode batch, ms.
_BATCH_MS: Final = 4.0
# Handing memory over, ms: set-up and the transfer of a common prompt.
_TAKE_OVER_MS: Final = 25.0
# What a token of a body that crosses zones costs, in engine time.
_MS_PER_TOKEN_SENT: Final = 0.003
# How much dearer a token that was read twice is than its engine time.
_REREAD: Final = 3.0
_HIGHEST_SCORE: Final = 2**64 - 1
# What reading at a decode engine costs besides its time, and for each stream
# that it holds up.
_INTERFERENCE: Final = 1.5
_HELD_UP_SHARE: Final = 0.3
# Longer prompts are never read at a decode engine while others can read.
_MOST_ALONE_TOKENS: Final = 4500


class Plan(NamedTuple):
    """The engines of a request; times are predictions in ms.

    Without a `reader` the decode engine reads the prompt itself; `work` is
    that of the engine which reads.
    """

    reader: Backend | None
    decoder: Backend
    read_ms: float
    first_token_ms: float
    work: PromptWork


class Case(NamedTuple):
    """What the costs of one request rest on.

    By instance: `held` leading tokens of the prompt, and `away_ms`, the cost
    of an engine that is not the home of the prompt's beginning.
    """

    asked: PlanNeed
    loads: EngineLoads
    held: dict[str, int]
    away_ms: dict[str, float]


class Reading(NamedTuple):
    """An engine that reads the prompt: its cost, wait and engine time, ms."""

    cost: float
    wait_ms: float
    engine_ms: float
    backend: Backend
    work: PromptWork


class TakeOver(NamedTuple):
    """An engine that goes on from memory that another one made; ms.

    `move_ms` is the time of the move at an engine of common speed.
    """

    cost: float
    wait_ms: float
    backend: Backend
    move_ms: float


def plan_request(
    engines: list[Backend],
    loads: EngineLoads,
    asked: PlanNeed,
    *,
    may_copy: bool = True,
) -> Plan | None:
    """Return the plan with the earliest first token, or None.

    Without `may_copy` no engine copies memory before it reads.
    """
    decoders = _decoders_of(engines)
    readers = [entry for entry in engines if entry.role == PREFILL]
    if not decoders:
        return None
    case = _case_of(engines, loads, asked)
    alone = min(_read_alone(case, entry) for entry in decoders)
    if not readers:
        return _plan_alone(alone)
    # A decode engine copies nothing: what is left to read holds up streams.
    sources = [*readers, *decoders] if may_copy else []
    copyable = {
        entry.instance: loads.copyable_tokens(entry.instance, asked.need)
        for entry in sources
    }
    holders = holders_of(sources, copyable)
    reader = min(_read_apart(case, entry, holders) for entry in readers)
    decoder = min(
        _take_over(case, entry, reader.backend.zone) for entry in decoders
    )
    is_short = alone.engine_ms < read_ms(_MOST_ALONE_TOKENS) * DECODE_SLOWDOWN
    if is_short and alone.cost < reader.cost + decoder.cost:
        return _plan_alone(alone)
    first_token_ms = reader.wait_ms + reader.engine_ms + decoder.wait_ms
    return Plan(
        reader.backend,
        decoder.backend,
        reader.engine_ms,
        first_token_ms,
        reader.work,
    )


def choose_decoder(
    engines: list[Backend], loads: EngineLoads, asked: PlanNeed, zone: str
) -> TakeOver | None:
    """Return who takes over memory from a zone, by the loads of now."""
    decoders = _decoders_of(engines)
    if not decoders:
        return None
    case = _case_of(decoders, loads, asked)
    return min(_take_over(case, entry, zone) for entry in decoders)


def _decoders_of(engines: list[Backend]) -> list[Backend]:
    """Return who may answer.

    A list shows an engine that crashed without a role for a while; such
    engines are used only where no engine of the pool has one.
    """
    if any(entry.role for entry in engines):
        return [entry for entry in engines if entry.role == DECODE]
    return engines


def _case_of(
    engines: list[Backend], loads: EngineLoads, asked: PlanNeed
) -> Case:
    need = asked.need
    home = _home_part(need)
    return Case(
        asked,
        loads,
        {
            entry.instance: loads.held_tokens(entry.instance, need)
            for entry in engines
        },
        {entry.instance: _away_ms(home, entry.instance) for entry in engines},
    )


def _home_part(need: ModelNeed) -> str:
    """Return the part whose engine is the prompt's home, if it has parts."""
    if not need.parts:
        return ''
    # The largest part is the one worth keeping together; the last part is
    # the request's own.
    shared = max(need.parts[:-1] or need.parts, key=lambda part: part.tokens)
    return str(shared.part)


def _away_ms(home: str, instance: str) -> float:
    """Return a cost between nothing and `_AWAY_MS` by the home rank."""
    if not home:
        return 0.0
    return _AWAY_MS * (1 - rendezvous_score(home, instance) / _HIGHEST_SCORE)


def _plan_alone(alone: Reading) -> Plan:
    return Plan(
        None,
        alone.backend,
        alone.engine_ms,
        alone.wait_ms + alone.engine_ms,
        alone.work,
    )


def _read_apart(case: Case, engine: Backend, holders: list[Holder]) -> Reading:
    work = work_at(engine, case.asked, case.held, holders)
    wait_ms = case.loads.wait_ms(engine.instance) + work.copy_ms
    engine_ms = work.read_ms * case.loads.slow(engine.instance)
    cost = wait_ms + engine_ms * _REREAD + case.away_ms[engine.instance]
    # Memory that moves is paid for besides its time.
    cost += work.copy_ms + _body_ms(case.asked, engine)
    return Reading(cost, wait_ms, engine_ms, engine, work)


def _read_alone(case: Case, engine: Backend) -> Reading:
    loads = case.loads
    work = work_at(engine, case.asked, case.held, [])
    slow = loads.slow(engine.instance)
    wait_ms = loads.wait_ms(engine.instance)
    engine_ms = work.read_ms * slow * DECODE_SLOWDOWN - BASE_MS
    running = loads.running_at(engine.instance)
    # Every stream there stands still while a piece of the prompt is read.
    held_up_ms = engine_ms * (_INTERFERENCE + running * _HELD_UP_SHARE)
    cost = wait_ms + held_up_ms + running * _BATCH_MS
    cost += case.away_ms[engine.instance] + _body_ms(case.asked, engine)
    return Reading(cost, wait_ms, engine_ms, engine, work)


def _take_over(case: Case, engine: Backend, zone: str) -> TakeOver:
    loads = case.loads
    need = case.asked.need
    moved = max(1, need.prompt_tokens - case.held[engine.instance])
    factor = 1.0 if engine.zone == zone else OTHER_ZONE
    moved_ms = moved * case.asked.ms_per_token * factor
    move_ms = _TAKE_OVER_MS + moved_ms
    wait_ms = move_ms * loads.moving.slowness_of(engine.instance)
    wait_ms += loads.wait_ms(engine.instance)
    batch_ms = loads.running_at(engine.instance) * _BATCH_MS
    cost = wait_ms + batch_ms + case.away_ms[engine.instance]
    # Memory that moves is paid for besides its time.
    cost += moved_ms + _body_ms(case.asked, engine)
    return TakeOver(cost, wait_ms, engine, move_ms)


def _body_ms(asked: PlanNeed, engine: Backend) -> float:
    """Return the cost of sending a body to another zone."""
    if engine.zone == asked.zone:
        return 0.0
    return asked.need.prompt_tokens * _MS_PER_TOKEN_SENT
