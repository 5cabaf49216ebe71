"""Whether an entry takes a request at all.

These checks come before any endpoint is asked. What they refuse has not run.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from trestle_core.errorcodes import (
    BAD_REQUEST,
    CALLER_LIMIT,
    OVERLOADED,
    QUARANTINED,
    STALE_NODE,
)
from trestle_core.errors import TrestleError
from trestle_core.namedset import ModelRoute
from trestle_core.texts import CALLER_LIMIT as CALLER_LIMIT_TEXT
from trestle_core.texts import QUARANTINED as QUARANTINED_TEXT
from trestle_core.texts import STALE_NODE as STALE_NODE_TEXT
from trestle_entry.caller_requests import ModelRequest
from trestle_entry.entry_context import EntryContext


def check_fresh(context: EntryContext) -> None:
    """Raise `stale-node` when this node's state is too old to act on."""
    if context.control.is_fresh():
        return
    age = context.control.freshness_seconds()
    raise TrestleError(STALE_NODE, STALE_NODE_TEXT.format(age=age))


def check_model_request(
    context: EntryContext,
    request: ModelRequest,
    route: ModelRoute,
) -> None:
    """Raise when the content is quarantined or over the route's limits."""
    if request.content in context.control.view.quarantined:
        raise TrestleError(QUARANTINED, QUARANTINED_TEXT)
    if request.prompt_tokens > route.max_prompt_tokens:
        raise TrestleError(
            BAD_REQUEST,
            f'The prompt has {request.prompt_tokens} tokens; '
            f'the route takes {route.max_prompt_tokens}.',
        )
    if request.max_tokens > route.max_output_tokens:
        raise TrestleError(
            BAD_REQUEST,
            f'max_tokens is {request.max_tokens}; '
            f'the route gives {route.max_output_tokens}.',
        )


@contextmanager
def admitted(
    context: EntryContext,
    caller: str,
    route: str,
    caller_concurrency: int,
) -> Iterator[None]:
    """Count a request as in work while the block runs.

    Raises `overloaded` or `caller-limit` when a bound is reached.
    """
    inflight = context.inflight
    if inflight.total >= context.settings.max_inflight:
        raise TrestleError(OVERLOADED)
    if inflight.by_caller.get((caller, route), 0) >= caller_concurrency:
        text = CALLER_LIMIT_TEXT.format(caller=caller, route=route)
        raise TrestleError(CALLER_LIMIT, text)
    inflight.add(caller, route)
    try:
        yield
    finally:
        inflight.remove(caller, route)
