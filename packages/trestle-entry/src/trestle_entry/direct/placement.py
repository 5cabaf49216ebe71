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
    MS_PER_TOKEN_MOVED,
    OTHER_ZONE,
    Holder,
    PromptWork,
    holders_of,
    work_at,
)
from trestle_entry.direct.wire_types import ModelNeed
from trestle_links.direct_messages import Backend

PREFILL: Final = 'prefill'
DECODE: Final = 'decode'

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
# A decode engine that takes over a prompt reads nothing.
_TAKEN_OVER: Final = PromptWork(0, 0, None, 0.0, 0.0)
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


class PlanNeed(NamedTuple):
    """What a plan is made for; `zone` is the entry's."""

    need: ModelNeed
    zone: str


class Candidate(NamedTuple):
    """An engine with its cost and the engine time of the prompt there."""

    cost: float
    wait_ms: float
    engine_ms: float
    backend: Backend
    work: PromptWork


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
    alone = min(_decode_alone(loads, asked, entry) for entry in decoders)
    whole_plan = Plan(
        None,
        alone.backend,
        alone.engine_ms,
        alone.wait_ms + alone.engine_ms,
        alone.work,
    )
    if not readers:
        return whole_plan
    # A decode engine copies nothing: what is left to read holds up streams.
    holders = holders_of(engines, loads, asked.need) if may_copy else []
    reader = min(_as_reader(loads, asked, entry, holders) for entry in readers)
    decoder = min(
        _as_decoder(loads, asked, entry, reader.backend.zone)
        for entry in decoders
    )
    is_short = alone.engine_ms < read_ms(_MOST_ALONE_TOKENS) * DECODE_SLOWDOWN
    if is_short and alone.cost < reader.cost + decoder.cost:
        return whole_plan
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
) -> Backend | None:
    """Return who takes over memory from a zone, by the loads of now."""
    decoders = _decoders_of(engines)
    if not decoders:
        return None
    return min(
        _as_decoder(loads, asked, entry, zone) for entry in decoders
    ).backend


def _decoders_of(engines: list[Backend]) -> list[Backend]:
    """Return who may answer.

    A list shows an engine that crashed without a role for a while; such
    engines are used only where no engine of the pool has one.
    """
    if any(entry.role for entry in engines):
        return [entry for entry in engines if entry.role == DECODE]
    return engines


def _as_reader(
    loads: EngineLoads,
    asked: PlanNeed,
    engine: Backend,
    holders: list[Holder],
) -> Candidate:
    work = work_at(engine, loads, asked.need, holders)
    wait_ms = loads.wait_ms(engine.instance) + work.copy_ms
    engine_ms = work.read_ms * loads.slow(engine.instance)
    cost = wait_ms + engine_ms * _REREAD + _away_ms(asked, engine)
    cost += work.copy_ms + _body_ms(asked, engine)
    return Candidate(cost, wait_ms, engine_ms, engine, work)


def _decode_alone(
    loads: EngineLoads, asked: PlanNeed, engine: Backend
) -> Candidate:
    work = work_at(engine, loads, asked.need, [])
    slow = loads.slow(engine.instance)
    wait_ms = loads.wait_ms(engine.instance)
    engine_ms = work.read_ms * slow * DECODE_SLOWDOWN - BASE_MS
    running = loads.running_at(engine.instance)
    # Every stream there stands still while a piece of the prompt is read.
    held_up_ms = engine_ms * (_INTERFERENCE + running * _HELD_UP_SHARE)
    cost = wait_ms + held_up_ms + running * _BATCH_MS
    cost += _away_ms(asked, engine) + _body_ms(asked, engine)
    return Candidate(cost, wait_ms, engine_ms, engine, work)


def _as_decoder(
    loads: EngineLoads, asked: PlanNeed, engine: Backend, zone: str
) -> Candidate:
    moved = loads.uncached_tokens(engine.instance, asked.need)
    factor = 1.0 if engine.zone == zone else OTHER_ZONE
    wait_ms = _TAKE_OVER_MS + moved * MS_PER_TOKEN_MOVED * factor
    wait_ms += loads.wait_ms(engine.instance)
    batch_ms = loads.running_at(engine.instance) * _BATCH_MS
    cost = wait_ms + batch_ms + _away_ms(asked, engine)
    # Memory that moves is paid for besides its time.
    cost += moved * MS_PER_TOKEN_MOVED * factor + _body_ms(asked, engine)
    return Candidate(cost, wait_ms, 0.0, engine, _TAKEN_OVER)


def _body_ms(asked: PlanNeed, engine: Backend) -> float:
    """Return the cost of sending a body to another zone."""
    if engine.zone == asked.zone:
        return 0.0
    return asked.need.prompt_tokens * _MS_PER_TOKEN_SENT


def _away_ms(asked: PlanNeed, engine: Backend) -> float:
    """Return a cost between nothing and `_AWAY_MS` by the home rank."""
    parts = asked.need.parts
    if not parts:
        return 0.0
    # The largest part is the one worth keeping together; the last part is
    # the request's own.
    shared = max(parts[:-1] or parts, key=lambda part: part.tokens)
    score = rendezvous_score(str(shared.part), engine.instance)
    return _AWAY_MS * (1 - score / _HIGHEST_SCORE)
