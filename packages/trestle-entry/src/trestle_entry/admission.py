"""Admission checks of an entry.

They run before any endpoint is contacted, so a request that they refuse has
not run.
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
    """Raise `stale-node` when the local control state is too old."""
    if context.control.is_fresh():
        return
    age = context.control.freshness_seconds()
    raise TrestleError(STALE_NODE, STALE_NODE_TEXT.format(age=age))


def check_model_request(
    context: EntryContext,
    request: ModelRequest,
    route: ModelRoute,
) -> None:
    """Check a request against the quarantine and the limits of its route.

    Raises `quarantined` or `bad-request`.
    """
    if request.content_digest in context.control.view.quarantined:
        raise TrestleError(QUARANTINED, QUARANTINED_TEXT)
    if request.prompt_tokens > route.max_prompt_tokens:
        raise TrestleError(
            BAD_REQUEST,
            f'The prompt has {request.prompt_tokens} tokens; '
            f'the limit of the route is {route.max_prompt_tokens}.',
        )
    if request.max_tokens > route.max_output_tokens:
        raise TrestleError(
            BAD_REQUEST,
            f'max_tokens is {request.max_tokens}; '
            f'the limit of the route is {route.max_output_tokens}.',
        )


@contextmanager
def admit(
    context: EntryContext,
    caller: str,
    route: str,
    caller_concurrency: int,
) -> Iterator[None]:
    """Count a request as in flight while the block runs.

    Raises `overloaded` or `caller-limit` when a limit is reached.
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
