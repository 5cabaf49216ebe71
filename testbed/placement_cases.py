"""Engines and prompts for cases on placement, without any network."""

from behave.runner import Context

from trestle_entry.direct.engine_loads import EngineLoads
from trestle_entry.direct.placement import Plan, plan_request
from trestle_entry.direct.prefill_work import PlacementRequest
from trestle_entry.direct.wire_types import ModelDemand, PromptPart
from trestle_links.direct_messages import Backend, LoadView

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


def view(context: Context, prefill_ms: dict[str, float]) -> LoadView:
    """Return a view of the others' prompts."""
    return LoadView(4, prefill_ms, {}, [], [], 0, 0)
