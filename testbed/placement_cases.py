"""Engines and prompts for cases on placement, without any network."""

from collections.abc import Sequence

from behave.runner import Context

from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.placement import Plan, plan_request
from trestle_entry.direct.prefill_work import PlacementRequest
from trestle_entry.direct.wire_types import ModelDemand, PromptPart
from trestle_links.direct_messages import Backend, Placement
from trestle_links.load_messages import BackendLoad, LoadDelta

ZONES = ('plovdiv-a', 'plovdiv-b', 'asenovgrad')
LIMIT_TOKENS = 500_000
# 18 KB a token at 200 Gbit/s.
MS_PER_TOKEN = 0.0007
LONG = ModelDemand(
    'm', 17_000, 13, (PromptPart(7, 13_300), PromptPart(8, 3_700))
)
SHORT = ModelDemand('m', 1_000, 19, (PromptPart(21, 350), PromptPart(22, 650)))


def engine(role: str, number: int) -> Backend:
    """Return an engine of a role."""
    address = f'10.0.0.{number}:80'
    zone = ZONES[number % len(ZONES)]
    return Backend(f'{role}-{number}', 'llm', address, zone, False, role, 64)


def plan(context: Context, loads: EngineLoads, need: ModelDemand) -> Plan:
    """Plan a request of an entry in the first zone."""
    asked = PlacementRequest(need, ZONES[0], context.ms_per_token)
    planned = plan_request(context.engines, loads, asked)
    assert planned
    return planned


def long_prompt(number: int) -> ModelDemand:
    """Return a long prompt with a beginning of its own."""
    parts = (PromptPart(number, 13_300), PromptPart(number + 1000, 3_700))
    return ModelDemand('m', 17_000, 13, parts)


def delta(placements: Sequence[Placement] = ()) -> LoadDelta:
    """Return what a leader of four entries pushes, without any load."""
    return LoadDelta(
        4, [], list(placements), [], [], [], [], {}, [], [], [], []
    )


def tokens_of(loads: EngineLoads, engine_ms: float) -> int:
    """Return the tokens of one prompt that takes an engine so long."""
    line = loads.speeds.prefill_line('llm')
    return round((engine_ms - line.base) / line.slope)


def report_others(loads: EngineLoads, prefill_ms: dict[str, float]) -> None:
    """Let an entry hear of one prompt of others at some engines."""
    reported = [
        BackendLoad(instance, 1, 1, tokens_of(loads, engine_ms))
        for instance, engine_ms in prefill_ms.items()
    ]
    loads.shared.apply(0, reported, is_first=True)
