"""Requests at a direct entry that has no network."""

from functools import partial
from math import inf
from time import monotonic
from typing import Any, Final

from trestle_core.metrics import Metrics
from trestle_core.route_table import EngineTraits, Repeat, Route, Service, Share
from trestle_core.settings import DirectSettings
from trestle_entry.direct.backend_calls import CompleteAnswer, OpenAnswer
from trestle_entry.direct.direct_context import DirectContext, RouteMatch
from trestle_entry.direct.model_dispatch import open_at_engine
from trestle_entry.direct.model_run import ModelRun
from trestle_entry.direct.request_log import RequestTrace
from trestle_entry.direct.stream_opens import open_stream
from trestle_entry.direct.wire_types import (
    CallerRequest,
    ModelDemand,
    PromptPart,
)
from trestle_links.direct_messages import Backend

SECONDS: Final = 5.0
SERVICE: Final = Service('llm', 10, EngineTraits(500_000, 1, 1.0))
THREE_ENGINES: Final = {
    'read': 'prefill',
    'write1': 'decode',
    'write2': 'decode',
}
DEMAND: Final = ModelDemand(
    'm', 17_000, 13, (PromptPart(1, 13_000), PromptPart(2, 4_000))
)


def make_context(
    roles: dict[str, str], resends: int = 0, host: str = 'e1'
) -> DirectContext:
    """Return an entry that knows some engines, with so many resends left."""
    settings = DirectSettings(
        host=host,
        zone='z',
        key_file='',
        control=['127.0.0.1:1'],
        retry_share=0,
        # Of the limit only a part is used.
        retry_extra=resends * 2,
    )
    wire: Any = None
    context = DirectContext(settings, wire, wire, Metrics())
    # Longer ago than a window of the limits.
    context.started_at = -inf
    context.loads.entry_counts.note(1)
    context.fleet.replace_list(
        [
            Backend(name, 'llm', '127.0.0.1:1', 'z', False, role, 64)
            for name, role in roles.items()
        ]
    )
    return context


def make_request(demand: ModelDemand, body: bytes = b'') -> CallerRequest:
    """Return a request that has just arrived."""
    now = monotonic()
    return CallerRequest(
        'r1',
        'POST',
        'h',
        '/check/1',
        [],
        body,
        demand,
        '',
        now,
        now + SECONDS,
        None,
        waits_until=now + SECONDS,
    )


def make_match(attempts: int = 1) -> RouteMatch:
    """Return a route; with more than one attempt a request may run again."""
    route = Route(
        name='check',
        host='h',
        prefix='/check/',
        repeat=Repeat.STREAM,
        timeout_ms=5000,
        target_ms=600,
        gap_ms=250,
        priority=2,
        max_attempts=attempts,
        resumable=attempts > 1,
        shares=(Share('llm', 1),),
    )
    return RouteMatch(route, SERVICE)


def open_at_engines(run: ModelRun) -> OpenAnswer | CompleteAnswer:
    """Open the stream of a model request, as its relay does."""
    return open_stream(run, partial(open_at_engine, run))


def make_run(resends: int = 0, attempts: int = 1) -> ModelRun:
    """Return a model request on three engines, with so many resends left."""
    request = make_request(DEMAND)
    return ModelRun(
        make_context(THREE_ENGINES, resends),
        request,
        make_match(attempts),
        RequestTrace('r1', request.arrived_at),
    )
